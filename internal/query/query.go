// Package query holds the read-only operations for callers and operators: the queries,
// their handlers and the views of the system that they return.
package query

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Node describes one process of the system.
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

// Action is an operator's view of an action.
type Action struct {
	Organisation structs.OrganisationID `json:"organisation"`
	Key          string                 `json:"key"`
	Name         string                 `json:"name"`
	Program      structs.ProgramID      `json:"program,omitempty"`
	State        string                 `json:"state"`
	Created      time.Time              `json:"created"`
}

// Status is an operator's view of one entry and of the system as that entry knows it.
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
	ActionsInDoubt(ctx context.Context) ([]Action, error)
}
