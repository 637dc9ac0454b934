package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/membership"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Bounds of the sides that one entry speaks to, for each kind of upstream. A full
// mesh of 750 entries and 3,500 sides would alone exceed an entry's 64 MB.
const (
	// sidesLimit is the number of sides that an entry chooses for itself.
	maxSides = 64
	// sideCover is the number of entries that speak to each side at least.
	minEntriesPerSide = 4
	// meshInterval is the time between two looks at the members.
	meshInterval = time.Second
)

// mesh is the duty that keeps connections to the entry's subset of sides, chosen by
// rendezvous hashing over the members.
type mesh struct {
	entry   *entry
	workers sync.WaitGroup
	// watched ends the duties of each side that the entry speaks to.
	watched map[structs.UpstreamID]context.CancelFunc
}

// run follows the members until ctx ends.
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

// choose starts the duties of sides that joined the subset and ends those of sides that left.
func (m *mesh) updateSubset(ctx context.Context, nodes []structs.NodeID) {
	subset := map[structs.UpstreamID]bool{}
	for _, kind := range []structs.UpstreamKind{structs.KindModel, structs.KindApplication} {
		for _, id := range membership.Subset(m.entry.cfg.Node, nodes, m.entry.upstreams(kind), maxSides, minEntriesPerSide) {
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

func (m *mesh) start(ctx context.Context, id structs.UpstreamID, kind structs.UpstreamKind) {
	e := m.entry
	node := e.cfg.Node
	ctx, m.watched[id] = context.WithCancel(ctx)
	m.workers.Go(func() { e.links[id].watch(ctx, node, e.router) })
	if kind == structs.KindModel {
		m.workers.Go(func() { _ = e.holds.run(ctx, id) })
	}
}

// upstreams returns the upstreams of a kind in the settings.
func (e *entry) upstreams(kind structs.UpstreamKind) []structs.UpstreamID {
	var out []structs.UpstreamID
	for _, s := range e.cfg.Sides {
		if s.Kind == kind {
			out = append(out, s.Upstream)
		}
	}
	return out
}
