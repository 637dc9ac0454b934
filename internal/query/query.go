// Package query holds the read-only operations: handlers that read programs for callers
// and operators, and the interface System with the views that operators get.
package query

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Node describes one process of the system. Kind is "entry", or for a side the kind of
// its upstream; State is "live", "leaving", "suspected" or "draining".
type Node struct {
	Node   structs.NodeID        `json:"node"`
	Kind   string                `json:"kind"`
	VM     structs.VMID          `json:"vm"`
	Domain structs.FailureDomain `json:"domain"`
	State  string                `json:"state"`
	// PresetVersion is the version of the preset in force at that process.
	PresetVersion uint64 `json:"preset_version"`
	Ready         bool   `json:"ready"`
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
// Programs is the number of programs whose home is the entry; Upstreams and Draining are
// the numbers of all upstreams and of the draining ones. Platform is text: whether the
// platform answers, or since when it has not.
type Status struct {
	Node          structs.NodeID `json:"node"`
	Log           structs.LogID  `json:"log"`
	Ready         bool           `json:"ready"`
	NotReady      string         `json:"not_ready,omitempty"`
	Preset        string         `json:"preset"`
	PresetVersion uint64         `json:"preset_version"`
	Programs      int            `json:"programs"`
	RunningTurns  int            `json:"running_turns"`
	Upstreams     int            `json:"upstreams"`
	Draining      int            `json:"draining"`
	Platform      string         `json:"platform"`
	// PendingBytes is the size of the records that wait for their commit to the home log.
	PendingBytes int `json:"pending_bytes"`
	// OpenCircuits are the upstreams that get no calls because their circuit breaker is open.
	OpenCircuits []structs.UpstreamID `json:"open_circuits,omitempty"`
}

// System answers operators' queries at one entry.
type System interface {
	Nodes(ctx context.Context) ([]Node, error)
	Status(ctx context.Context) (Status, error)
	InForce(ctx context.Context) (structs.PresetInForce, error)
	Presets(ctx context.Context) ([]structs.Preset, error)
	Preset(ctx context.Context, name string) (structs.Preset, error)
	// ActionsInDoubt returns all unresolved actions: those in doubt and those in progress.
	ActionsInDoubt(ctx context.Context) ([]Action, error)
}
