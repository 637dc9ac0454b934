// Package query holds what only reads: one file for each query and its handler.
package query

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Node is what is known of one process of the system.
type Node struct {
	Node   structs.NodeID        `json:"node"`
	Kind   string                `json:"kind"`
	VM     structs.VMID          `json:"vm"`
	Domain structs.FailureDomain `json:"domain"`
	State  string                `json:"state"`
	// PresetVersion is the version of the preset in force there.
	PresetVersion uint64 `json:"preset_version"`
	Ready         bool   `json:"ready"`
}

// Action is what an operator sees of an action.
type Action struct {
	Organisation structs.OrganisationID `json:"organisation"`
	Key          string                 `json:"key"`
	Name         string                 `json:"name"`
	Program      structs.ProgramID      `json:"program,omitempty"`
	State        string                 `json:"state"`
	Created      time.Time              `json:"created"`
}

// Status is what an operator sees of one entry and, through it, of the system.
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
	// PendingBytes is what waits for its commit in the home log.
	PendingBytes int `json:"pending_bytes"`
	// OpenCircuits are the upstreams that get no calls since they fail.
	OpenCircuits []structs.UpstreamID `json:"open_circuits,omitempty"`
}

// System answers the operators' queries of one entry.
type System interface {
	Nodes(ctx context.Context) ([]Node, error)
	Status(ctx context.Context) (Status, error)
	InForce(ctx context.Context) (structs.PresetInForce, error)
	Presets(ctx context.Context) ([]structs.Preset, error)
	Preset(ctx context.Context, name string) (structs.Preset, error)
	ActionsInDoubt(ctx context.Context) ([]Action, error)
}
