// Package query holds the read-only operations: handlers that read programs for callers
// and operators, and the interface System with the views that operators get.
package query

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Node describes one entry or one side, as the entry that is asked sees it.
type Node struct {
	// Node is the id of the entry, or for a side the id of its upstream.
	Node structs.NodeID `json:"node"`
	// Kind is "entry", or for a side the kind of its upstream.
	Kind   string                `json:"kind"`
	VM     structs.VMID          `json:"vm"`
	Domain structs.FailureDomain `json:"domain"`
	// State is "live", "leaving" or "suspected" for an entry, and "live" or "draining" for a side.
	State string `json:"state"`
	// PresetVersion is the version of the preset in force at an entry; it is 0 for a side.
	PresetVersion uint64 `json:"preset_version"`
	// Ready reports whether the process accepts new work.
	Ready bool `json:"ready"`
}

// Action is an operator's view of an action. State is the state of its row, such as "in_doubt".
type Action struct {
	Organisation structs.OrganisationID `json:"organisation"`
	Key          string                 `json:"key"`
	Name         string                 `json:"name"`
	Program      structs.ProgramID      `json:"program,omitempty"`
	State        string                 `json:"state"`
	Created      time.Time              `json:"created"`
}

// Status is an operator's view of one entry, and of the system as seen by that entry.
type Status struct {
	Node structs.NodeID `json:"node"`
	// Log is the id of the entry's home log.
	Log   structs.LogID `json:"log"`
	Ready bool          `json:"ready"`
	// NotReady states why the entry is not ready; it is empty if it is.
	NotReady string `json:"not_ready,omitempty"`
	// Preset is the name of the preset in force at the entry.
	Preset        string `json:"preset"`
	PresetVersion uint64 `json:"preset_version"`
	// Programs is the number of programs whose home is the entry.
	Programs     int `json:"programs"`
	RunningTurns int `json:"running_turns"`
	// Upstreams is the number of upstreams whose sides have reported a load to the entry;
	// Draining is the number of those that drain.
	Upstreams int `json:"upstreams"`
	Draining  int `json:"draining"`
	// Platform is text: whether the platform answers, or since when it has not.
	Platform string `json:"platform"`
	// PendingBytes is the size of the records that wait for their commit to the home log.
	PendingBytes int `json:"pending_bytes"`
	// OpenCircuits are the upstreams that get no calls because their circuit breaker is open.
	OpenCircuits []structs.UpstreamID `json:"open_circuits,omitempty"`
}

// System answers operators' queries at one entry.
type System interface {
	// Nodes returns the entries that the entry knows, and the sides that have reported a load to
	// it.
	Nodes(ctx context.Context) ([]Node, error)
	Status(ctx context.Context) (Status, error)
	// InForce returns the preset in force at the entry.
	InForce(ctx context.Context) (structs.PresetInForce, error)
	// Presets returns the stored preset definitions, ordered by name.
	Presets(ctx context.Context) ([]structs.Preset, error)
	// Preset returns the definition of the named preset.
	Preset(ctx context.Context, name string) (structs.Preset, error)
	// UnresolvedActions returns the actions whose outcome is not recorded: those in doubt and
	// those in progress. An entry returns only the first 1,000, in the order of their keys.
	UnresolvedActions(ctx context.Context) ([]Action, error)
}
