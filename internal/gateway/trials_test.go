package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/quarantine"
	"github.com/buckthornroute/buckthornroute/relay"
)

// maxLateRetries is the number of times that a refused request may still reach upstreams, over all
// entries and trials.
const maxLateRetries = 3

// setTrialDelay sets the delay of the first trial of a request at entries.
func setTrialDelay(d time.Duration, entries ...*testEntry) {
	for _, e := range entries {
		e.mu.Lock()
		e.crashes.TrialDelay = d
		e.mu.Unlock()
	}
}

// callAtOnce sends a request through all entries in the same moment.
func callAtOnce(entries []*testEntry, path, body string) {
	var wg sync.WaitGroup
	for _, e := range entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			e.call("POST", path, body, nil)
		}()
	}
	wg.Wait()
}

// TestDueTrialIsGrantedOnceOverAllEntries sends a request that has crashed three upstreams through
// 16 entries in the same moment, again and again: a trial that is due must not be sent by each.
func TestDueTrialIsGrantedOnceOverAllEntries(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	pool := newCrashingPool(t, p, "llm", 24, answerEvents(0, 1, false))
	var entries []*testEntry
	for i := range 16 {
		entries = append(entries, startEntry(t, fmt.Sprintf("entry-%d", i), slowReadsTable{p.standin.Table}))
	}
	setTrialDelay(500*time.Millisecond, entries...)
	for _, e := range entries {
		eventually(t, "the entries list each other", func() bool { return e.mesh.Size() == len(entries) })
	}
	for range defaultCrashes {
		entries[0].call("POST", "/draft/1", "poison", nil)
	}
	fingerprint := entries[0].fingerprintOf("POST", "/draft/1", "poison")
	for _, e := range entries {
		eventually(t, "all entries refuse the request", func() bool { return e.crashCount(fingerprint) >= defaultCrashes })
	}
	before := pool.crashed()
	for range 8 {
		<-time.After(600 * time.Millisecond)
		callAtOnce(entries, "/draft/1", "poison")
	}
	if late := pool.crashed() - before; late > maxLateRetries {
		t.Errorf("the request crashed %d more upstreams, want %d at most", late, maxLateRetries)
	}
}

// slowReadsTable is a table whose answers to reads of a row are on their way for a while.
type slowReadsTable struct{ platformapi.Watcher }

func (s slowReadsTable) Get(ctx context.Context, key string) (platformapi.Row, error) {
	row, err := s.Watcher.Get(ctx, key)
	<-time.After(30 * time.Millisecond)
	return row, err
}

// TestTrialOutlivesItsEntry lets entries that start one after the other grant a trial of a refused
// request and end before they could tell anyone what became of it.
func TestTrialOutlivesItsEntry(t *testing.T) {
	c, e := startCrashingPool(t)
	c.repeat("/draft/1", "poison", nil, e)
	eventually(t, "the refused request is stored", func() bool { return len(quarantineRows(t, c.p)) == 1 })
	e.stop()
	granted := 0
	for i := range 6 {
		cfg := testSettings(t, fmt.Sprintf("entry-%d", i+2))
		cfg.FirstStart = false
		next, err := startEntryWith(t, cfg, c.p.standin.Table)
		if err != nil {
			t.Fatal(err)
		}
		setTrialDelay(50*time.Millisecond, next)
		<-time.After(100 * time.Millisecond)
		if next.admitPoison() {
			granted++
		}
		next.stop()
	}
	if granted > maxLateRetries {
		t.Errorf("%d trials were granted, want %d at most", granted, maxLateRetries)
	}
}

// admitPoison decides on a request with the body poison, as send does.
func (e *testEntry) admitPoison() bool {
	return e.admitContent(e.t.Context(), &job{call: &relay.Call{ID: newID()}, fingerprint: e.fingerprintOf("POST", "/draft/1", "poison")})
}

// quarantineRows returns the stored records of refused requests.
func quarantineRows(t *testing.T, p *testPlatform) []platformapi.Row {
	rows, _, err := p.standin.Table.Snapshot(t.Context(), quarantinePrefix)
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// loneTable is a table that hides the entries from each other.
type loneTable struct{ platformapi.Watcher }

func (l loneTable) Snapshot(ctx context.Context, prefix string) ([]platformapi.Row, int64, error) {
	rows, version, err := l.Watcher.Snapshot(ctx, prefix)
	if prefix == mesh.EntriesPrefix {
		rows = nil
	}
	return rows, version, err
}

func (l loneTable) Apply(ctx context.Context, txn platformapi.Txn) error {
	if len(txn.Writes) == 1 && strings.HasPrefix(txn.Writes[0].Key, mesh.EntriesPrefix) {
		return nil
	}
	return l.Watcher.Apply(ctx, txn)
}

// TestEntryWithoutPeersLearnsOfRefusal checks that an entry which reaches the table but no other
// entry refuses a request within 3 s after the others have.
func TestEntryWithoutPeersLearnsOfRefusal(t *testing.T) {
	c, e := startCrashingPool(t)
	lone := startEntry(t, "entry-2", loneTable{c.p.standin.Table})
	c.repeat("/draft/1", "poison", nil, e)
	before := c.crashed()
	<-time.After(3 * time.Second)
	if r := lone.call("POST", "/draft/1", "poison", nil); r.status != http.StatusServiceUnavailable || c.crashed() != before {
		t.Errorf("%+v and %d further crashes, want status 503 and none", r, c.crashed()-before)
	}
}

// startRefusing starts an entry that refuses a request with the body harmless on the path, and whose
// trial is due.
func startRefusing(t *testing.T, path string, table platformapi.Watcher, p *testPlatform) *testEntry {
	t.Helper()
	e := startEntry(t, "entry-1", table)
	setTrialDelay(50*time.Millisecond, e)
	var reports []quarantine.CrashReport
	for upstream := range uint64(defaultCrashes) {
		reports = append(reports, quarantine.CrashReport{Kind: quarantine.Crash, Request: e.fingerprintOf("POST", path, "harmless"), Upstream: upstream})
	}
	e.publish(time.Now(), reports)
	eventually(t, "the refused request is stored", func() bool { return len(quarantineRows(t, p)) == 1 })
	<-time.After(60 * time.Millisecond)
	return e
}

// TestTrialMovesOnUntilItRuns checks that the trial of a harmless request goes on at another upstream if
// the first one says that it has not run it, and that its row is removed once it has completed.
func TestTrialMovesOnUntilItRuns(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	first := true
	var mu sync.Mutex
	answer := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		busy := first
		first = false
		mu.Unlock()
		if busy {
			answerNotRun(w, r)
			return
		}
		answerEvents(0, 1, false)(w, r)
	}
	for i := range 2 {
		p.registerUpstream(newScriptedUpstream(t, fmt.Sprintf("llm-%d", i+1), answer), "llm", "ready", 1)
	}
	e := startRefusing(t, "/ask/1", p.standin.Table, p)
	if r := e.call("POST", "/ask/1", "harmless", nil); r.status != http.StatusOK {
		t.Errorf("%+v, want the trial to be answered by the second upstream", r)
	}
	eventually(t, "the row is deleted", func() bool { return len(quarantineRows(t, p)) == 0 })
}

// TestTrialNeedsTheTable checks that a trial is not sent while it can't be claimed, and is once it
// can be.
func TestTrialNeedsTheTable(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	llm := newScriptedUpstream(t, "llm-1", answerEvents(0, 1, false))
	p.registerUpstream(llm, "llm", "ready", 1)
	table := &switchTable{}
	table.set(p.standin.Table)
	e := startRefusing(t, "/ask/1", table, p)
	table.set(refusingTable{})
	if r := e.call("POST", "/ask/1", "harmless", nil); r.status != http.StatusServiceUnavailable || len(llm.requests()) > 0 {
		t.Errorf("%+v and %d sends without the table, want status 503 and none", r, len(llm.requests()))
	}
	table.set(p.standin.Table)
	eventually(t, "the request is answered", func() bool {
		return e.call("POST", "/ask/1", "harmless", nil).status == http.StatusOK
	})
}

// TestCrashesAreStoredWhileAPeerIsSilent checks that a crash below the limit reaches entries that no
// datagram reaches, through the table.
func TestCrashesAreStoredWhileAPeerIsSilent(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	lone := startEntry(t, "entry-2", loneTable{p.standin.Table})
	setPeer(t, e.Gateway, mesh.Peer{Node: "entry-3", UDPAddress: freeAddress(t), ListedAt: time.Now()}) // sends nothing
	now := time.Now()
	e.publish(now, []quarantine.CrashReport{{Kind: quarantine.Crash, Request: 1, Upstream: 1}})
	eventually(t, "the other entry counts the crash", func() bool { return lone.crashCount(1) == 1 })
	e.publish(now, []quarantine.CrashReport{{Kind: quarantine.Withdrawn, Request: 1, Upstream: 1}})
	eventually(t, "the row is deleted", func() bool { return len(quarantineRows(t, p)) == 0 })
}

// blindTable is a table that reports no changes of the refused requests.
type blindTable struct{ platformapi.Watcher }

func (b blindTable) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platformapi.Change, int64, error) {
	if prefix == quarantinePrefix {
		sleep(ctx, wait)
		return nil, after, ctx.Err()
	}
	return b.Watcher.Changes(ctx, prefix, after, wait)
}

// TestTrialKnownOnlyToTheTableIsNotRepeated checks that an entry which has not heard of a trial finds
// it in the table when it claims one itself.
func TestTrialKnownOnlyToTheTableIsNotRepeated(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	llm := newScriptedUpstream(t, "llm-1", answerEvents(0, 1, false))
	p.registerUpstream(llm, "llm", "ready", 1)
	e := startRefusing(t, "/ask/1", blindTable{p.standin.Table}, p)
	fingerprint := e.fingerprintOf("POST", "/ask/1", "harmless")
	e.mu.Lock()
	record, _ := e.crashes.TrialClaim(time.Now(), fingerprint)
	e.mu.Unlock()
	if err := e.quarantine.putRow(t.Context(), record, quarantineRows(t, p)[0].Version); err != nil {
		t.Fatal(err)
	}
	if r := e.call("POST", "/ask/1", "harmless", nil); r.status != http.StatusServiceUnavailable || len(llm.requests()) > 0 {
		t.Errorf("%+v and %d sends, want status 503 and none", r, len(llm.requests()))
	}
}
