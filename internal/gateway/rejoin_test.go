package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/settings"
)

// TestRestartedEntriesAskForClaimsOnce: all entries have started again, so that none knows all claims. Each asks each
// other once, not at each interval until they do.
func TestRestartedEntriesAskForClaimsOnce(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	p.registerUpstream(newScriptedUpstream(t, "app-1", answerNotRun), "app", "ready", 1)
	const n = 3
	var entries []*testEntry
	for i := range n {
		entries = append(entries, startEntryChanged(t, fmt.Sprint("entry-", i+1), p.standin.Table, func(s *settings.Gateway) { s.FirstStart = false }))
	}
	asked := func(e *testEntry) int64 { return e.scope.Snapshot().Counters()["gateway.budget_claims_asked+"].Value() }
	for _, e := range entries {
		eventually(t, "the entry has asked the others", func() bool { return asked(e) >= n-1 })
	}
	time.Sleep(5 * synchroniseInterval)
	for _, e := range entries {
		if k := asked(e); k != n-1 {
			t.Errorf("%s asked %d times, want each of %d others once", e.cfg.Node, k, n-1)
		}
	}
}

// slowListTable is a table that holds back the list of entries, once this entry has registered, until it is released.
type slowListTable struct {
	platformapi.Watcher
	node    string
	release chan struct{}
}

func (s slowListTable) Snapshot(ctx context.Context, prefix string) ([]platformapi.Row, int64, error) {
	if _, err := s.Get(ctx, mesh.EntriesPrefix+s.node); err == nil && prefix == mesh.EntriesPrefix {
		select {
		case <-s.release:
		case <-ctx.Done():
			return nil, 0, errors.Mark(ctx.Err(), platformapi.ErrUnavailable)
		}
	}
	return s.Watcher.Snapshot(ctx, prefix)
}

// TestRestartedEntryWaitsForTheList reproduces review case 6: an entry that has started again hears one that stayed before it
// has read the list of entries. One that was killed with it may know claims that its node acknowledged, so it must not
// be a witness, neither before the list is read nor after.
func TestRestartedEntryWaitsForTheList(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	p.registerUpstream(newScriptedUpstream(t, "app-1", answerNotRun), "app", "ready", 1)
	stayed := startEntry(t, "entry-1", p.standin.Table)
	killed, err := json.Marshal(mesh.Peer{Node: "entry-3", Incarnation: "x", UDPAddress: "127.0.0.1:9", HTTPAddress: "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}
	table := slowListTable{Watcher: p.standin.Table, node: "entry-2", release: make(chan struct{})}
	e := startEntryChanged(t, "entry-2", table, func(s *settings.Gateway) { s.FirstStart = false })
	eventually(t, "the entry has registered", e.mesh.CanOwn)
	p.write(mesh.EntriesPrefix+"entry-3", string(killed))
	peer := stayed.mesh.Self()
	peer.LastDigest, peer.Flags = time.Now().Add(time.Minute), mesh.FlagSynchronised|mesh.FlagOwner
	setPeer(t, e.Gateway, peer)
	eventually(t, "the entry that stayed was asked", func() bool {
		return e.scope.Snapshot().Counters()["gateway.budget_claims_asked+"].Value() > 0
	})
	for _, listRead := range []bool{false, true} {
		time.Sleep(2 * synchroniseInterval)
		if e.budgetPeers.isWitness() {
			t.Fatalf("list read %v: the entry is a witness and has not heard of one that was killed with it", listRead)
		}
		if known := e.mesh.Named("entry-3") != nil; known != listRead || e.mesh.ListComplete() != listRead {
			t.Fatalf("list read %v: the entry that was killed is listed: %v", listRead, known)
		}
		if !listRead {
			close(table.release)
			eventually(t, "the list is read", e.mesh.ListComplete)
		}
	}
}
