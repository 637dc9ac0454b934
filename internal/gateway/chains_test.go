package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/relay"
)

// scriptedTable counts the reads of kept turns; while silent it answers nothing.
type scriptedTable struct {
	platformapi.Watcher
	turnReads    atomic.Int64
	unresponsive atomic.Bool
	// noTurns says that kept turns can't be read.
	noTurns atomic.Bool
}

func (s *scriptedTable) await(ctx context.Context) error {
	if !s.unresponsive.Load() {
		return nil
	}
	<-ctx.Done()
	return platformapi.ErrUnavailable
}

func (s *scriptedTable) Get(ctx context.Context, key string) (platformapi.Row, error) {
	if strings.HasPrefix(key, "turns/") {
		s.turnReads.Add(1)
		if s.noTurns.Load() {
			return platformapi.Row{}, platformapi.ErrUnavailable
		}
	}
	if err := s.await(ctx); err != nil {
		return platformapi.Row{}, err
	}
	return s.Watcher.Get(ctx, key)
}

func (s *scriptedTable) Apply(ctx context.Context, txn platformapi.Txn) error {
	if err := s.await(ctx); err != nil {
		return err
	}
	return s.Watcher.Apply(ctx, txn)
}

func (s *scriptedTable) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platformapi.Change, int64, error) {
	if err := s.await(ctx); err != nil {
		return nil, 0, err
	}
	return s.Watcher.Changes(ctx, prefix, after, wait)
}

func (s *scriptedTable) Snapshot(ctx context.Context, prefix string) ([]platformapi.Row, int64, error) {
	if err := s.await(ctx); err != nil {
		return nil, 0, err
	}
	return s.Watcher.Snapshot(ctx, prefix)
}

// testPrograms are owned by either entry.
var testPrograms = []string{"p1", "p2", "p3", "p4"}

// startTwoEntries is two entries that know each other, on one table.
func startTwoEntries(t *testing.T) (*testEntry, *testEntry, *scriptedUpstream, *scriptedTable) {
	t.Helper()
	p := newTestPlatform(t)
	l := newScriptedUpstream(t, "llm-1", answerEvents(0, 1, false))
	p.writeDocument(1)
	p.registerUpstream(l, "llm", "ready", 1)
	shared := &scriptedTable{Watcher: p.standin.Table}
	e, other := startEntry(t, "entry-1", shared), startEntry(t, "entry-2", shared)
	eventually(t, "the entries agree on who counts which budget", func() bool {
		for _, program := range testPrograms {
			if (e.mesh.owner(program) == nil) == (other.mesh.owner(program) == nil) {
				return false
			}
		}
		return true
	})
	return e, other, l, shared
}

// makeTableUnreachable silences the table and waits until the entries' own calls have shown that.
func makeTableUnreachable(t *testing.T, shared *scriptedTable, entries ...*testEntry) {
	t.Helper()
	shared.unresponsive.Store(true)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	for _, e := range entries {
		for range 2 * unreachablePartitions {
			go func() {
				for ctx.Err() == nil && !e.table.unreachable() {
					_, _ = e.table.Get(ctx, budgetKey(newID()))
				}
			}()
		}
	}
	for _, e := range entries {
		eventually(t, "the table is lost", e.table.unreachable)
	}
}

// turnsOf sends turns of one line through an entry and returns the id of the last and
// what an upstream receives before the next.
func turnsOf(t *testing.T, e *testEntry, program string, n int) (last, history string) {
	t.Helper()
	for range n {
		h := turnHeader(program, 5000, 50)
		h["X-Request-Id"], h["X-Session-Id"] = newID(), "line"
		if last != "" {
			h["X-Previous-Turn"] = last
		}
		input := "in" + h["X-Request-Id"] + " "
		if r := e.call("POST", "/draft/1", input, h); r.status != http.StatusOK || r.err != nil {
			t.Fatalf("%+v", r)
		}
		last = h["X-Request-Id"]
		history += input + "e0\ne1\n"
	}
	return last, history
}

// nextTurn sends the next turn of such a line.
func nextTurn(e *testEntry, program, previous string) reply {
	h := turnHeader(program, 5000, 50)
	h["X-Session-Id"], h["X-Previous-Turn"] = "line", previous
	return e.call("POST", "/draft/1", "more", h)
}

func (e *testEntry) knowsWhoKept(program, turn string) bool {
	e.budgets.mu.Lock()
	defer e.budgets.mu.Unlock()
	of := e.budgets.accounts[program]
	return of != nil && of.storedBy[turn] != ""
}

// TestChainComesFromTheEntryThatHasIt: a line that moves to another entry costs no read of
// the table for each of its turns.
func TestChainComesFromTheEntryThatHasIt(t *testing.T) {
	for _, program := range testPrograms {
		e, other, l, shared := startTwoEntries(t)
		last, history := turnsOf(t, e, program, 4)
		eventually(t, "the end of the last turn is told", func() bool {
			return e.knowsWhoKept(program, last) || other.knowsWhoKept(program, last)
		})
		if r := nextTurn(other, program, last); r.status != http.StatusOK || r.err != nil {
			t.Fatalf("%+v", r)
		}
		seen := l.requests()
		if got := seen[len(seen)-1].body; got != history+"more" {
			t.Fatalf("the upstream got %q, want %q", got, history+"more")
		}
		if n := shared.turnReads.Load(); n != 0 {
			t.Errorf("%d turns of program %s were read from the table", n, program)
		}
	}
}

// TestLineMovesDuringAnOutage: with the table away and silent, a turn through another
// entry reaches an upstream without a wait for the table.
func TestLineMovesDuringAnOutage(t *testing.T) {
	e, other, l, shared := startTwoEntries(t)
	last, history := turnsOf(t, e, "p1", 4)
	makeTableUnreachable(t, shared, e, other)
	start := time.Now()
	r := make(chan reply, 1)
	go func() { r <- nextTurn(other, "p1", last) }()
	eventually(t, "the turn reaches an upstream", func() bool { return len(l.requests()) == 5 })
	if took := time.Since(start); took > 300*time.Millisecond {
		t.Errorf("the turn reached an upstream after %v", took)
	}
	if got := l.requests()[4].body; got != history+"more" {
		t.Errorf("the upstream got %q", got)
	}
	if got := <-r; got.err == nil {
		t.Errorf("a turn that the table has not was promised: %+v", got)
	}
}

// TestUnreadableTurnIsRefusedAtOnce: a turn that no entry has at hand is not held while
// the table is away.
func TestUnreadableTurnIsRefusedAtOnce(t *testing.T) {
	e, other, _, shared := startTwoEntries(t)
	makeTableUnreachable(t, shared, e, other)
	start := time.Now()
	r := other.call("POST", "/draft/1", "x", map[string]string{"X-Previous-Turn": "nobody-has-it"})
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" {
		t.Errorf("%+v", r)
	}
	if took := time.Since(start); took > turnPeerTimeout+100*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
}

// TestEndWaitsAsLongAsTheCaller replays an outage of seven seconds: the turn that it meets
// and the two times that the caller sends it again must last to its end.
func TestEndWaitsAsLongAsTheCaller(t *testing.T) {
	const (
		outage = 7 * time.Second
		turn   = 300 * time.Millisecond
		again  = 250 * time.Millisecond // the middle of a caller's wait before it sends a turn again
		sends  = 3
	)
	route := &relay.Route{LatencyTarget: 200 * time.Millisecond, GapTarget: 300 * time.Millisecond, Timeout: 3 * time.Second}
	begun := time.Unix(100, 0)
	now := begun
	for range sends {
		now = keepUntil(&job{route: route, deadline: now.Add(route.Timeout)}, now.Add(turn)).Add(again)
	}
	if lasted := now.Sub(begun); lasted < outage {
		t.Errorf("a turn lasts %v through an outage of %v", lasted, outage)
	}
	short := &job{route: route, deadline: begun.Add(time.Second)}
	if until := keepUntil(short, begun); !until.Before(short.deadline) {
		t.Errorf("the end waits until %v, the caller until %v", until, short.deadline)
	}
}

// noPeers reaches no other entry.
type noPeers struct{}

func (noPeers) tableThroughPeer() (platformapi.Watcher, func()) { return nil, nil }

// TestReturnOfTheTableIsNoticedSoon: while nothing else asks the table, or what asked it
// waits in vain, the entry still finds out that it is back.
func TestReturnOfTheTableIsNoticedSoon(t *testing.T) {
	shared := &scriptedTable{Watcher: newTestPlatform(t).standin.Table}
	l := newTableClient(shared, noPeers{}, func(eventlog.Event, eventlog.Fields) {})
	shared.unresponsive.Store(true)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	for !l.unreachable() {
		_, _ = l.Get(ctx, budgetKey(newID()))
	}
	go l.probe(ctx)
	shared.unresponsive.Store(false)
	within, cancel := context.WithTimeout(ctx, 2*probeInterval+100*time.Millisecond)
	defer cancel()
	if l.waitReachable(within); l.unreachable() {
		t.Error("the table counts as lost though it is back")
	}
}

// TestUnreadableTurnDrawsNothing replays the return of entries that lost power during an
// outage: a turn whose history can't be read is refused, and its program's budget, which
// holds one turn alone, is still there for the next try through another entry.
func TestUnreadableTurnDrawsNothing(t *testing.T) {
	e, other, _, shared := startTwoEntries(t)
	shared.noTurns.Store(true)
	for _, program := range testPrograms {
		h := turnHeader(program, 50, 50)
		h["X-Previous-Turn"] = "nobody-has-it"
		if r := e.call("POST", "/draft/1", "x", h); r.status != http.StatusServiceUnavailable {
			t.Fatalf("%+v", r)
		}
		row, _, err := other.budgets.read(t.Context(), budgetKey(program), 50)
		if err != nil || row.Remaining() != 50 {
			t.Errorf("program %s: %d of 50 tokens are left after a turn that was refused, %v", program, row.Remaining(), err)
		}
	}
}
