package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/membership"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Limits of the sides that one entry watches, for each kind of upstream. A full mesh of
// 750 entries and 3,500 sides would by itself exceed the 64 MB of memory of an entry.
const (
	// sidesPerEntry is the number of sides that an entry chooses for itself. It may watch
	// more to satisfy minEntriesPerSide.
	sidesPerEntry = 64
	// minEntriesPerSide is the least number of entries that watch each side.
	minEntriesPerSide = 4
	// meshInterval is the time between two checks for changed members.
	meshInterval = time.Second
)

// mesh watches the loads and cache events of the entry's subset of sides, and renews the
// holds there. The subset is chosen by rendezvous hashing over the members.
type mesh struct {
	entry   *entry
	workers sync.WaitGroup
	// watched holds the function that stops the workers of each side in the subset.
	watched map[structs.UpstreamID]context.CancelFunc
}

// run updates the subset when the members change, until ctx ends.
func (m *mesh) run(ctx context.Context) error {
	defer m.workers.Wait()
	ticker := time.NewTicker(meshInterval)
	defer ticker.Stop()
	var known []structs.NodeID
	for {
		nodes := m.entry.peers.nodes()
		if !slices.Equal(nodes, known) {
			known = nodes
			m.updateSubset(ctx, nodes)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// updateSubset starts the workers of sides that joined the subset and stops those of
// sides that left it.
func (m *mesh) updateSubset(ctx context.Context, nodes []structs.NodeID) {
	subset := map[structs.UpstreamID]bool{}
	for _, kind := range []structs.UpstreamKind{structs.KindModel, structs.KindApplication} {
		for _, id := range membership.Subset(m.entry.cfg.Node, nodes, m.entry.upstreams(kind), sidesPerEntry, minEntriesPerSide) {
			subset[id] = true
		}
	}
	for _, s := range m.entry.cfg.Sides {
		stop, watched := m.watched[s.Upstream]
		switch {
		case subset[s.Upstream] && !watched:
			m.start(ctx, s.Upstream, s.Kind)
		case !subset[s.Upstream] && watched:
			stop()
			delete(m.watched, s.Upstream)
			m.entry.router.remove(s.Upstream)
		}
	}
}

// start starts the workers of one side: one receives its loads and cache events and, for a
// model engine, another one sends its grants, renewals and releases of holds.
func (m *mesh) start(ctx context.Context, id structs.UpstreamID, kind structs.UpstreamKind) {
	e := m.entry
	node := e.cfg.Node
	ctx, m.watched[id] = context.WithCancel(ctx)
	m.workers.Go(func() { e.links[id].watch(ctx, node, e.router) })
	if kind == structs.KindModel {
		m.workers.Go(func() { _ = e.holds.run(ctx, id) })
	}
}

// upstreams returns the upstreams of the kind that are in the settings.
func (e *entry) upstreams(kind structs.UpstreamKind) []structs.UpstreamID {
	var out []structs.UpstreamID
	for _, s := range e.cfg.Sides {
		if s.Kind == kind {
			out = append(out, s.Upstream)
		}
	}
	return out
}
