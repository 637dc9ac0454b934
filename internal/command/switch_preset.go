package command

import (
	"context"

	"github.com/buckthornroute/buckthornroute/structs"
)

// SwitchPreset puts a preset in force.
type SwitchPreset struct {
	Name     string
	Operator string
	// Expected is the version in force that the operator expects to replace; 0 matches any version.
	Expected uint64
}

// SwitchPresetHandler handles SwitchPreset.
type SwitchPresetHandler struct {
	Presets Presets
}

// Handle returns the preset in force after the switch.
func (h SwitchPresetHandler) Handle(ctx context.Context, c SwitchPreset) (structs.PresetInForce, error) {
	if c.Name == "" {
		return structs.PresetInForce{}, badRequest("switch preset", "the preset's name is empty")
	}
	return h.Presets.Switch(ctx, c.Name, c.Operator, c.Expected)
}
