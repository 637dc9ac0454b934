package entry

import (
	"context"
	"fmt"
	"testing"

	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
)

// A single entry watches every side. Among 100 entries, each watches a bounded subset, and
// every side is in the subsets of at least minEntriesPerSide entries; otherwise an upstream
// could be left without work.
func TestMeshSubsetFollowsMembership(t *testing.T) {
	const sides = 300
	pool := peer.NewPool(peer.Options{})
	defer pool.Close()
	cfg := &settings.Entry{Node: "e000"}
	e := &entry{cfg: cfg, links: map[structs.UpstreamID]*sideLink{}}
	for i := range sides {
		id := structs.UpstreamID(fmt.Sprintf("m%03d", i))
		conn, err := pool.Conn("127.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		cfg.Sides = append(cfg.Sides, settings.SideAddress{Upstream: id, Kind: structs.KindModel})
		e.links[id] = newSideLink(id, "", "", conn)
	}
	var err error
	if e.router, err = newRouter(routing.Config{}, structs.Preset{Policy: "cost"}, 1); err != nil {
		t.Fatal(err)
	}
	e.holds = newCacheHolds("e000-1", e.links, func() structs.Preset { return structs.Preset{} }, func(structs.ProgramID) uint64 { return 1 })
	ctx, cancel := context.WithCancel(context.Background())
	m := &mesh{entry: e, watched: map[structs.UpstreamID]context.CancelFunc{}}
	defer m.workers.Wait()
	defer cancel()

	m.updateSubset(ctx, []structs.NodeID{"e000"})
	if len(m.watched) != sides {
		t.Fatalf("a single entry watches %d sides, want all %d", len(m.watched), sides)
	}
	var nodes []structs.NodeID
	for i := range 100 {
		nodes = append(nodes, structs.NodeID(fmt.Sprintf("e%03d", i)))
	}
	covered := map[structs.UpstreamID]int{}
	for _, node := range nodes {
		cfg.Node = node
		m.updateSubset(ctx, nodes)
		if n := len(m.watched); n < sidesPerEntry || n > sidesPerEntry+sides*minEntriesPerSide/10 {
			t.Errorf("entry %s watches %d sides, want %d to %d", node, n, sidesPerEntry, sidesPerEntry+sides*minEntriesPerSide/10)
		}
		for id := range m.watched {
			covered[id]++
		}
	}
	for _, s := range cfg.Sides {
		if covered[s.Upstream] < minEntriesPerSide {
			t.Errorf("%d entries watch side %s, want at least %d", covered[s.Upstream], s.Upstream, minEntriesPerSide)
		}
	}
}
