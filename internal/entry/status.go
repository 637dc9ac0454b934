package entry

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/query"
	"github.com/buckthornroute/buckthornroute/membership"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Nodes implements query.System. It returns the entries known to the membership, and the
// upstreams whose sides have reported a load.
func (o operators) Nodes(context.Context) ([]query.Node, error) {
	var out []query.Node
	for _, m := range o.peers.view.Load().all {
		out = append(out, query.Node{
			Node:          m.Node,
			Kind:          "entry",
			VM:            m.VM,
			Domain:        m.Domain,
			State:         entryState(m),
			PresetVersion: m.Preset,
			Ready:         m.Ready && !m.Suspected,
		})
	}
	for _, s := range o.router.upstreamLoads(time.Now()) {
		out = append(out, query.Node{
			Node:   structs.NodeID(s.Upstream),
			Kind:   string(s.Kind),
			VM:     s.VM,
			Domain: s.Domain,
			State:  sideState(s),
			Ready:  !s.Draining,
		})
	}
	return out, nil
}

// entryState returns the state of an entry as operators see it.
func entryState(m membership.View) string {
	switch {
	case m.State == membership.Leaving:
		return "leaving"
	case m.Suspected:
		return "suspected"
	}
	return "live"
}

// sideState returns the state of a side as operators see it.
func sideState(s structs.Load) string {
	if s.Draining {
		return "draining"
	}
	return "live"
}

// Status implements query.System.
func (o operators) Status(context.Context) (query.Status, error) {
	inForce := o.presets.inForce.Load()
	homeLog := o.committer.Status()
	reason := o.notReady()
	status := query.Status{
		Node:          o.cfg.Node,
		Log:           o.log,
		Ready:         reason == "",
		NotReady:      reason,
		Preset:        inForce.Preset.Name,
		PresetVersion: inForce.Version,
		Programs:      homeLog.Programs,
		RunningTurns:  o.local.running(),
		Platform:      "answers",
		PendingBytes:  homeLog.PendingBytes,
		OpenCircuits:  o.guard.openCircuits(),
	}
	if !homeLog.OutageSince.IsZero() {
		status.Platform = "silent since " + homeLog.OutageSince.UTC().Format(time.RFC3339)
	}
	for _, s := range o.router.upstreamLoads(time.Now()) {
		status.Upstreams++
		if s.Draining {
			status.Draining++
		}
	}
	return status, nil
}
