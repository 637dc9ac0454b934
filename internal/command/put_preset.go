package command

import (
	"context"

	"github.com/buckthornroute/buckthornroute/structs"
)

// PutPreset defines a preset or replaces its definition.
type PutPreset struct {
	Preset structs.Preset
}

// Presets stores preset definitions and switches the preset in force.
type Presets interface {
	// Put stores the definition under its name and replaces an earlier one.
	Put(ctx context.Context, preset structs.Preset) error
	// Switch puts the named preset in force. If expected is above 0 and is not the
	// version in force, it returns a refusal with CodeConflict.
	Switch(ctx context.Context, name, operator string, expectedVersion uint64) (structs.PresetInForce, error)
}

// PutPresetHandler handles PutPreset.
type PutPresetHandler struct {
	Presets Presets
}

// policies are the valid values of a preset's policy; settings.CheckPreset lists the same ones.
var policies = map[string]bool{"cost": true, "round_robin": true, "least_load": true, "sticky_hash": true}

// Handle validates and stores the preset. The definition takes effect only with a switch to it.
// The checks are weaker than those of settings.CheckPreset, which applies to presets in settings
// files and preset files: that function also checks the characters of the name, the minimum of
// each duration, hold_max, and that the two weights are not both 0.
func (h PutPresetHandler) Handle(ctx context.Context, c PutPreset) error {
	const step = "put preset"
	p := c.Preset
	if p.Name == "" {
		return badRequest(step, "the preset's name is empty")
	}
	if !policies[p.Policy] {
		return badRequest(step, "preset %q has unknown policy %q", p.Name, p.Policy)
	}
	if p.LatencyWeight < 0 || p.WasteWeight < 0 {
		return badRequest(step, "preset %q has a negative weight: latency %v, waste %v", p.Name, p.LatencyWeight, p.WasteWeight)
	}
	if p.MaxQueue < 1 {
		return badRequest(step, "preset %q has max_queue %d, which is below 1", p.Name, p.MaxQueue)
	}
	for kind, timeout := range p.TurnTimeouts {
		if timeout <= 0 {
			return badRequest(step, "preset %q has a patience for %q that is not positive", p.Name, kind)
		}
	}
	return h.Presets.Put(ctx, p)
}
