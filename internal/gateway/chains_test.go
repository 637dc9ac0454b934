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
	"github.com/buckthornroute/buckthornroute/internal/tablerelay"
	"github.com/buckthornroute/buckthornroute/relay"
)

// faultyTable counts the reads of stored turns. While it is unresponsive, calls get no
// answer until their context ends.
type faultyTable struct {
	platformapi.Watcher
	turnReads    atomic.Int64
	unresponsive atomic.Bool
	// turnsUnreadable makes the reads of stored turns fail at once.
	turnsUnreadable atomic.Bool
}

// awaitResponse returns nil, or ErrUnavailable once ctx ends while the table is
// unresponsive.
func (f *faultyTable) awaitResponse(ctx context.Context) error {
	if !f.unresponsive.Load() {
		return nil
	}
	<-ctx.Done()
	return platformapi.ErrUnavailable
}

func (f *faultyTable) Get(ctx context.Context, key string) (platformapi.Row, error) {
	if strings.HasPrefix(key, "turns/") {
		f.turnReads.Add(1)
		if f.turnsUnreadable.Load() {
			return platformapi.Row{}, platformapi.ErrUnavailable
		}
	}
	if err := f.awaitResponse(ctx); err != nil {
		return platformapi.Row{}, err
	}
	return f.Watcher.Get(ctx, key)
}

func (f *faultyTable) Apply(ctx context.Context, txn platformapi.Txn) error {
	if err := f.awaitResponse(ctx); err != nil {
		return err
	}
	return f.Watcher.Apply(ctx, txn)
}

func (f *faultyTable) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platformapi.Change, int64, error) {
	if err := f.awaitResponse(ctx); err != nil {
		return nil, 0, err
	}
	return f.Watcher.Changes(ctx, prefix, after, wait)
}

func (f *faultyTable) Snapshot(ctx context.Context, prefix string) ([]platformapi.Row, int64, error) {
	if err := f.awaitResponse(ctx); err != nil {
		return nil, 0, err
	}
	return f.Watcher.Snapshot(ctx, prefix)
}

// testPrograms are the programs of tests with two entries: several, so that usually each
// entry owns some.
var testPrograms = []string{"p1", "p2", "p3", "p4"}

// startTwoEntries starts two entries on one table and waits until they agree on the
// owners of testPrograms.
func startTwoEntries(t *testing.T) (*testEntry, *testEntry, *scriptedUpstream, *faultyTable) {
	t.Helper()
	p := newTestPlatform(t)
	upstream := newScriptedUpstream(t, "llm-1", answerEvents(0, 1, false))
	p.writeDocument(1)
	p.registerUpstream(upstream, "llm", "ready", 1)
	shared := &faultyTable{Watcher: p.standin.Table}
	e, other := startEntry(t, "entry-1", shared), startEntry(t, "entry-2", shared)
	eventually(t, "the entries agree on the owners of the programs", func() bool {
		for _, program := range testPrograms {
			if (e.mesh.Owner(program) == nil) == (other.mesh.Owner(program) == nil) {
				return false
			}
		}
		return true
	})
	return e, other, upstream, shared
}

// makeTableUnreachable makes the table unresponsive and waits until the entries have
// noticed by their own calls.
func makeTableUnreachable(t *testing.T, shared *faultyTable, entries ...*testEntry) {
	t.Helper()
	shared.unresponsive.Store(true)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	for _, e := range entries {
		for range 2 * tablerelay.UnreachablePartitions {
			go func() {
				for ctx.Err() == nil && !e.table.Unreachable() {
					_, _ = e.table.Get(ctx, budgetKey(newID()))
				}
			}()
		}
	}
	for _, e := range entries {
		eventually(t, "the entry has noticed that the table is unreachable", e.table.Unreachable)
	}
}

// sendTurns sends n turns of one conversation through an entry. It returns the id of the
// last one and the history that an upstream receives before the next.
func sendTurns(t *testing.T, e *testEntry, program string, n int) (last, history string) {
	t.Helper()
	for range n {
		h := turnHeader(program, 5000, 50)
		h["X-Request-Id"], h["X-Session-Id"] = newID(), "conversation"
		if last != "" {
			h["X-Previous-Turn"] = last
		}
		input := "in" + h["X-Request-Id"] + " "
		if r := e.call("POST", "/draft/1", input, h); r.status != http.StatusOK || r.err != nil {
			t.Fatalf("got %+v, want a complete answer with status 200", r)
		}
		last = h["X-Request-Id"]
		history += input + "e0\ne1\n"
	}
	return last, history
}

// sendNextTurn sends the next turn of the conversation of sendTurns.
func sendNextTurn(e *testEntry, program, previous string) reply {
	h := turnHeader(program, 5000, 50)
	h["X-Session-Id"], h["X-Previous-Turn"] = "conversation", previous
	return e.call("POST", "/draft/1", "more", h)
}

// knowsStoringEntry reports whether the entry knows which entry has stored the turn.
func (e *testEntry) knowsStoringEntry(program, turn string) bool {
	e.budgets.mu.Lock()
	defer e.budgets.mu.Unlock()
	pb := e.budgets.programs[program]
	return pb != nil && pb.storedBy[turn] != ""
}

// TestChainIsReadFromTheEntryThatStoredIt guards against reads of the table for each
// turn of a conversation that moves to another entry: the chain comes from the memory of
// the entry that stored its turns.
func TestChainIsReadFromTheEntryThatStoredIt(t *testing.T) {
	for _, program := range testPrograms {
		e, other, upstream, shared := startTwoEntries(t)
		last, history := sendTurns(t, e, program, 4)
		eventually(t, "the owner of the program is notified of the end of the last turn", func() bool {
			return e.knowsStoringEntry(program, last) || other.knowsStoringEntry(program, last)
		})
		if r := sendNextTurn(other, program, last); r.status != http.StatusOK || r.err != nil {
			t.Fatalf("got %+v, want a complete answer with status 200", r)
		}
		seen := upstream.requests()
		if got := seen[len(seen)-1].body; got != history+"more" {
			t.Fatalf("the upstream received %q, want %q", got, history+"more")
		}
		if n := shared.turnReads.Load(); n != 0 {
			t.Errorf("%d turns of program %s were read from the table", n, program)
		}
	}
}

// TestConversationMovesDuringAnOutage guards against a wait for the table while it is
// unreachable: a turn sent through another entry than the last one reaches an upstream
// within 300 ms.
func TestConversationMovesDuringAnOutage(t *testing.T) {
	e, other, upstream, shared := startTwoEntries(t)
	last, history := sendTurns(t, e, "p1", 4)
	makeTableUnreachable(t, shared, e, other)
	start := time.Now()
	r := make(chan reply, 1)
	go func() { r <- sendNextTurn(other, "p1", last) }()
	eventually(t, "the turn reaches an upstream", func() bool { return len(upstream.requests()) == 5 })
	if took := time.Since(start); took > 300*time.Millisecond {
		t.Errorf("the turn reached an upstream after %v", took)
	}
	if got := upstream.requests()[4].body; got != history+"more" {
		t.Errorf("the upstream received %q, want %q", got, history+"more")
	}
	if got := <-r; got.err == nil {
		t.Errorf("a turn that is not stored in the table was answered as complete: %+v", got)
	}
}

// TestUnreadableTurnIsRefusedAtOnce guards against a caller that waits for its deadline:
// while the table is unreachable, a turn is refused when no entry has the previous turn
// in memory.
func TestUnreadableTurnIsRefusedAtOnce(t *testing.T) {
	e, other, _, shared := startTwoEntries(t)
	makeTableUnreachable(t, shared, e, other)
	start := time.Now()
	r := other.call("POST", "/draft/1", "x", map[string]string{"X-Previous-Turn": "nobody-has-it"})
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" {
		t.Errorf("got %+v, want status 503 with Retry-After", r)
	}
	if took := time.Since(start); took > turnPeerTimeout+100*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
}

// TestTurnEndWaitsThroughAnOutage guards against the loss of a turn in an outage of 7 s:
// its caller sends it 3 times in all, and the waits of the 3 answers for the table must
// together outlast the outage. A wait must also end before the caller's deadline.
func TestTurnEndWaitsThroughAnOutage(t *testing.T) {
	const (
		outage     = 7 * time.Second
		turn       = 300 * time.Millisecond
		resendWait = 250 * time.Millisecond // the mean time that a caller waits before it sends a turn again
		sends      = 3
	)
	route := &relay.Route{LatencyTarget: 200 * time.Millisecond, GapTarget: 300 * time.Millisecond, Timeout: 3 * time.Second}
	begun := time.Unix(100, 0)
	now := begun
	for range sends {
		now = storeDeadline(&job{route: route, deadline: now.Add(route.Timeout)}, now.Add(turn)).Add(resendWait)
	}
	if lasted := now.Sub(begun); lasted < outage {
		t.Errorf("the waits for the table last %v in all, the outage %v", lasted, outage)
	}
	short := &job{route: route, deadline: begun.Add(time.Second)}
	if until := storeDeadline(short, begun); !until.Before(short.deadline) {
		t.Errorf("the end of the answer waits until %v, the caller only until %v", until, short.deadline)
	}
}

// noPeers is a tablerelay.Peers without other entries.
type noPeers struct{}

func (noPeers) TableThroughPeer() (platformapi.Watcher, func()) { return nil, nil }

// TestReturnOfTheTableIsNoticedSoon guards against an entry that still considers the table
// unreachable after it has recovered, because no call is sent to it any more, or because
// the calls sent before the recovery get no answer.
func TestReturnOfTheTableIsNoticedSoon(t *testing.T) {
	shared := &faultyTable{Watcher: newTestPlatform(t).standin.Table}
	client := tablerelay.NewClient(shared, noPeers{}, func(eventlog.Event, eventlog.Fields) {})
	shared.unresponsive.Store(true)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	for !client.Unreachable() {
		_, _ = client.Get(ctx, budgetKey(newID()))
	}
	go client.Probe(ctx)
	shared.unresponsive.Store(false)
	within, cancel := context.WithTimeout(ctx, 2*tablerelay.ProbeInterval+100*time.Millisecond)
	defer cancel()
	if client.WaitReachable(within); client.Unreachable() {
		t.Error("the table is back but the entry still considers it unreachable")
	}
}

// TestUnreadableTurnDrawsNothing guards against tokens that stay reserved for a turn that
// was refused because its history can't be read. This happened when entries restarted after
// a power loss during an outage: the program's budget, which suffices for a single turn,
// was then not available to the next attempt through another entry.
func TestUnreadableTurnDrawsNothing(t *testing.T) {
	e, other, _, shared := startTwoEntries(t)
	shared.turnsUnreadable.Store(true)
	for _, program := range testPrograms {
		h := turnHeader(program, 50, 50)
		h["X-Previous-Turn"] = "nobody-has-it"
		if r := e.call("POST", "/draft/1", "x", h); r.status != http.StatusServiceUnavailable {
			t.Fatalf("got %+v, want status 503", r)
		}
		row, _, err := other.budgets.read(t.Context(), budgetKey(program), 50)
		if err != nil || row.Remaining() != 50 {
			t.Errorf("program %s: %d of 50 tokens are left after a refused turn, error %v", program, row.Remaining(), err)
		}
	}
}
