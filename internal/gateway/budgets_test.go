package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/ledger"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
)

// turnHeader returns the headers of a turn of a program with a budget of total tokens.
func turnHeader(program string, total, maxTokens int) map[string]string {
	return map[string]string{
		"X-Program-Id": program, "X-Token-Budget": fmt.Sprint(total), "X-Token-Count": fmt.Sprintf("100,%d", maxTokens),
	}
}

// TestBudgetOverEntries sends concurrent turns of one program through 3 entries. All
// together must use exactly the budget: no entry may exceed it, and none may withhold tokens
// that it drew and does not use.
func TestBudgetOverEntries(t *testing.T) {
	p, e, _, l := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false)) // 5 events of 10 tokens each
	entries := []*testEntry{e, startEntry(t, "entry-2", p.standin.Table), startEntry(t, "entry-3", p.standin.Table)}
	eventually(t, "the entries know each other", func() bool {
		for _, e := range entries {
			if e.mesh.Size() != len(entries) {
				return false
			}
		}
		return true
	})
	var mu sync.Mutex
	answered, refused := 0, 0
	var wait sync.WaitGroup
	for i := range 30 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			r := entries[i%3].call("POST", "/ask/1", "x", turnHeader("runaway", 500, 50))
			mu.Lock()
			defer mu.Unlock()
			switch r.status {
			case http.StatusOK:
				answered++
			case http.StatusPaymentRequired:
				refused++
			}
		}()
	}
	wait.Wait()
	if answered != 10 || refused != 20 {
		t.Errorf("%d turns answered, %d refused because the budget is spent; want 10 and 20", answered, refused)
	}
	if n := len(l.requests()); n != answered {
		t.Errorf("%d turns ran, %d were answered", n, answered)
	}
}

// TestBudgetDuringAnOutage: new programs are served while the table is unreachable, and all
// turns of a program, through several entries, during and after the outage, stay within its
// budget.
func TestBudgetDuringAnOutage(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	entries := []*testEntry{e, startEntry(t, "entry-2", p.standin.Table), startEntry(t, "entry-3", p.standin.Table)}
	eventually(t, "the entries know each other", func() bool {
		for _, e := range entries {
			if e.mesh.Size() != len(entries) {
				return false
			}
		}
		return true
	})
	p.injectFault(standin.Fault{Kind: standin.FaultDown})
	for _, e := range entries {
		eventually(t, "the table counts as unreachable", e.table.Unreachable)
	}
	answered := 0
	for i := range 12 {
		if r := entries[i%3].call("POST", "/ask/1", "x", turnHeader("runaway", 200, 50)); r.status == http.StatusOK {
			answered++
		}
	}
	if answered == 0 {
		t.Error("no turn of a new program was served during the outage")
	}
	p.injectFault(standin.Fault{Kind: "all", Clear: true})
	for _, e := range entries {
		eventually(t, "the table is reachable again", func() bool { return !e.table.Unreachable() })
	}
	for i := range 12 {
		if r := entries[i%3].call("POST", "/ask/1", "x", turnHeader("runaway", 200, 50)); r.status == http.StatusOK {
			answered++
		}
	}
	if answered != 4 {
		t.Errorf("%d turns of 50 tokens ran on a budget of 200, want 4", answered)
	}
}

// refusingTable is a table that refuses the calls of one entry.
type refusingTable struct{ platformapi.Watcher }

func (refusingTable) Apply(context.Context, platformapi.Txn) error { return platformapi.ErrNotApplied }
func (refusingTable) Get(context.Context, string) (platformapi.Row, error) {
	return platformapi.Row{}, platformapi.ErrUnavailable
}
func (refusingTable) Snapshot(context.Context, string) ([]platformapi.Row, int64, error) {
	return nil, 0, platformapi.ErrNotApplied
}
func (refusingTable) Changes(context.Context, string, int64, time.Duration) ([]platformapi.Change, int64, error) {
	return nil, 0, platformapi.ErrUnavailable
}

// TestEntryWithoutTheTableGoesThroughAnother: the table refuses one entry. That entry must
// store turns, draw from budgets and follow the document through another entry.
func TestEntryWithoutTheTableGoesThroughAnother(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	switching := &switchTable{Watcher: p.standin.Table}
	other := startEntry(t, "entry-2", switching)
	eventually(t, "the entries know each other", func() bool { return e.mesh.Size() == 2 && other.mesh.Size() == 2 })
	eventually(t, "the entry knows that the other reaches the table", func() bool {
		via, _ := other.TableThroughPeer()
		return via != nil
	})
	switching.set(refusingTable{p.standin.Table})
	for i := range 3 {
		if r := other.call("POST", "/draft/1", "x", turnHeader(fmt.Sprintf("p%d", i), 500, 50)); r.status != http.StatusOK || r.err != nil {
			t.Fatalf("turn of program p%d: %+v", i, r)
		}
	}
	p.writeDocument(9)
	eventually(t, "the document arrives through the other entry", func() bool { return other.routes.Load().Document().Version == 9 })
	if other.table.Unreachable() {
		t.Error("the table counts as unreachable though another entry reaches it")
	}
}

// switchTable is a table that a test can replace by another.
type switchTable struct {
	mu sync.Mutex
	platformapi.Watcher
}

func (s *switchTable) set(t platformapi.Watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Watcher = t
}

func (s *switchTable) current() platformapi.Watcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Watcher
}

func (s *switchTable) Apply(ctx context.Context, txn platformapi.Txn) error {
	return s.current().Apply(ctx, txn)
}
func (s *switchTable) Get(ctx context.Context, key string) (platformapi.Row, error) {
	return s.current().Get(ctx, key)
}
func (s *switchTable) Snapshot(ctx context.Context, prefix string) ([]platformapi.Row, int64, error) {
	return s.current().Snapshot(ctx, prefix)
}
func (s *switchTable) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platformapi.Change, int64, error) {
	return s.current().Changes(ctx, prefix, after, wait)
}

// TestDrawWhoseAnswerIsLost: the table applied a draw, but its answer was lost. The entry
// must find the draw when it reads the row again, and not draw a second time.
func TestDrawWhoseAnswerIsLost(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	eventually(t, "the entry owns budgets", e.mesh.CanOwn)
	p.injectFault(standin.Fault{Kind: standin.FaultLoseAnswer, Match: "/table/apply", Count: 1})
	if r := e.call("POST", "/ask/1", "x", turnHeader("p", 400, 50)); r.status != http.StatusOK {
		t.Fatalf("the turn failed: %+v", r)
	}
	row, err := p.standin.Table.Get(t.Context(), budgetKey("p"))
	if err != nil {
		t.Fatal(err)
	}
	budget, _, err := decodeBudget(row)
	if err != nil || budget.Remaining() != 200 {
		t.Fatalf("%d of 400 tokens remain after one draw of half, want 200; error %v", budget.Remaining(), err)
	}
}

// TestOnlyTheOwnerGrantsProvisionally: no entry is synchronised, so the owner can't know the
// earlier grants and must not grant provisionally. No other entry may grant in its place.
func TestOnlyTheOwnerGrantsProvisionally(t *testing.T) {
	p, e, _, l := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	entries := []*testEntry{e, startEntry(t, "entry-2", p.standin.Table), startEntry(t, "entry-3", p.standin.Table)}
	eventually(t, "the entries know each other", func() bool {
		for _, e := range entries {
			if e.mesh.Size() != len(entries) {
				return false
			}
		}
		return true
	})
	// One entry must consider itself the owner; otherwise the refusals below would show nothing.
	var owner *testEntry
	program := "p"
	for _, e := range entries {
		if e.mesh.Owner(program) == nil {
			owner = e
		}
	}
	owner.budgetPeers.synchronised.Store(false)
	for _, e := range entries {
		e.budgetPeers.synchronised.Store(false)
	}
	p.injectFault(standin.Fault{Kind: standin.FaultDown})
	for _, e := range entries {
		eventually(t, "the table counts as unreachable", e.table.Unreachable)
	}
	for _, e := range entries {
		if r := e.call("POST", "/ask/1", "x", turnHeader(program, 200, 50)); r.status != http.StatusServiceUnavailable {
			t.Errorf("turn through entry %s, want status 503: %+v", e.cfg.Node, r)
		}
	}
	if n := len(l.requests()); n != 0 {
		t.Errorf("%d turns ran, want none", n)
	}
}

// TestCutOffOwnerGrantsOneTurn: three entries lose the table and the sight of three others, which may still
// reach it and draw the whole budget. The three that rank first for the program hear of each other,
// and must grant no more than the tokens of one turn before the row records them.
func TestCutOffOwnerGrantsOneTurn(t *testing.T) {
	p, e, _, l := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	entries := []*testEntry{e, startEntry(t, "entry-2", p.standin.Table), startEntry(t, "entry-3", p.standin.Table)}
	eventually(t, "the entries know each other", func() bool {
		for _, e := range entries {
			if e.mesh.Size() != len(entries) || !e.mesh.CanOwn() {
				return false
			}
		}
		return true
	})
	// A program for which the entries that are not heard of rank last.
	program, missing := "", []string{"entry-7", "entry-8", "entry-9"}
	for i := 0; program == ""; i++ {
		name, last := "p"+strconv.Itoa(i), true
		for _, e := range entries {
			for _, m := range missing {
				last = last && routing.Rendezvous(name, m) < routing.Rendezvous(name, string(e.cfg.Node))
			}
		}
		if last {
			program = name
		}
	}
	for _, e := range entries {
		for _, m := range missing {
			setPeer(t, e.Gateway, mesh.Peer{
				Node: m, Incarnation: "x", UDPAddress: "127.0.0.1:9", Flags: mesh.FlagSynchronised | mesh.FlagOwner,
				LastDigest: time.Now().Add(-5 * time.Second), ListedAt: time.Now().Add(-time.Hour),
			})
		}
	}
	p.injectFault(standin.Fault{Kind: standin.FaultDown})
	for _, e := range entries {
		eventually(t, "the table counts as unreachable", e.table.Unreachable)
	}
	if r := e.call("POST", "/ask/1", "x", turnHeader(program, 1000, 50)); r.status != http.StatusOK {
		t.Fatalf("first turn: %+v", r)
	}
	if r := e.call("POST", "/ask/1", "x", turnHeader(program, 1000, 50)); r.status != http.StatusServiceUnavailable {
		t.Errorf("second turn, want status 503 since others may draw the budget: %+v", r)
	}
	if n := len(l.requests()); n != 1 {
		t.Errorf("%d turns ran, want 1", n)
	}
}

// TestSlowTableDelaysNoFirstTurn: the table takes 250 ms for an answer. A program's first
// turn must not wait for it, and the grant must be recorded afterwards.
func TestSlowTableDelaysNoFirstTurn(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries know each other", func() bool {
		return e.mesh.CanOwn() && other.mesh.CanOwn() && e.mesh.Size() == 2 && other.mesh.Size() == 2
	})
	p.injectFault(standin.Fault{Kind: standin.FaultSlow, Delay: structs.Duration(250 * time.Millisecond)})
	n := 0
	// own returns another program whose budget the first entry owns.
	own := func() string {
		for {
			n++
			if program := fmt.Sprintf("p%d", n); e.mesh.Owner(program) == nil {
				return program
			}
		}
	}
	eventually(t, "the entry knows that the table is slow", func() bool {
		e.call("POST", "/ask/1", "x", turnHeader(own(), 500, 50))
		return e.table.Slow()
	})
	program := own()
	start := time.Now()
	if r := e.call("POST", "/ask/1", "x", turnHeader(program, 500, 50)); r.status != http.StatusOK {
		t.Fatalf("the first turn failed: %+v", r)
	}
	if took := time.Since(start); took > 200*time.Millisecond {
		t.Errorf("the first turn took %v, want at most 200 ms", took)
	}
	eventually(t, "the grant is recorded", func() bool {
		row, err := p.standin.Table.Get(t.Context(), budgetKey(program))
		if err != nil {
			return false
		}
		budget, _, err := decodeBudget(row)
		return err == nil && budget.Remaining() < 500
	})
}

// TestGrantsOfCrashedOwnerAreRecorded: the owner crashes before it has recorded its
// provisional grants. The entries that it notified must record them, or the tokens could be
// granted again once those entries have ended too.
func TestGrantsOfCrashedOwnerAreRecorded(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries know each other", func() bool {
		return e.mesh.CanOwn() && other.mesh.CanOwn() && e.mesh.Size() == 2 && other.mesh.Size() == 2
	})
	program := "p0"
	for n := 1; e.mesh.Owner(program) != nil; n++ {
		program = fmt.Sprintf("p%d", n)
	}
	// The notice stands for that of an owner that crashed before it recorded the grant.
	notice := grantNotice{Program: program, Holder: "crashed/1", Granted: 150, Total: 500, Provisional: true}
	if _, quorate := e.budgetPeers.askWitnesses(t.Context(), program, &notice); !quorate {
		t.Fatal("the other entry has not acknowledged the notice")
	}
	eventually(t, "the other entry records the grant", func() bool {
		row, err := p.standin.Table.Get(t.Context(), budgetKey(program))
		if err != nil {
			return false
		}
		budget, _, err := decodeBudget(row)
		return err == nil && budget.Remaining() == 350
	})
}

// TestSettledBeforeGranted: the entry that requested a reservation has given up and settled
// it before the owner granted it. The owner must not grant it, so that its tokens stay free.
func TestSettledBeforeGranted(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	eventually(t, "the entry owns budgets", e.mesh.CanOwn)
	first := reserveCall{Program: "p", ID: "first", Total: 50, MaxTokens: 50}
	e.budgets.mu.Lock()
	e.budgets.programLocked(first)
	e.budgets.mu.Unlock()
	e.budgets.settleLocal(settleCall{Program: "p", ID: "first"})
	if a, _ := e.budgets.grant(t.Context(), first, true); a.outcome == reserveGranted {
		t.Error("a reservation that was already settled was granted")
	}
	if r := e.call("POST", "/ask/1", "x", turnHeader("p", 50, 50)); r.status != http.StatusOK {
		t.Errorf("the next turn failed: %+v", r)
	}
}

// TestClaimsStayKnown: neither a delayed notice of a crashed owner nor notices of other entries
// replace what the owner claimed, and a change of the row leaves those tokens in it. A notice that arrives
// after the claim has ended must not raise it again.
func TestClaimsStayKnown(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	b := e.budgets
	b.applyNotice(grantNotice{Program: "p", Holder: "turn:crashed", Granted: 1144, Total: 1716, Provisional: true})
	b.applyNotice(grantNotice{Program: "p", Holder: "turn:crashed", Granted: 500, Total: 1716})
	b.applyNotice(grantNotice{Program: "p", Holder: "turn:other", Granted: 572, Total: 1716, Provisional: true})
	b.applyNotice(grantNotice{Program: "p", Holder: "turn:ended", Returned: true})
	b.applyNotice(grantNotice{Program: "p", Holder: "turn:ended", Granted: 572, Total: 1716, Provisional: true})
	got := decodeGrants(encodeGrants(b.grantsFor("p")))
	if got["turn:crashed"] != 1144 || got["turn:other"] != 572 || got["turn:ended"] != 0 {
		t.Fatalf("known claims %v, want 1144 of the crashed entry, 572 of the other and none that has ended", got)
	}
	b.mu.Lock()
	provisional := b.known["p"].provisional["turn:crashed"]
	b.mu.Unlock()
	if !provisional {
		t.Fatal("the crashed owner's claim counts as recorded")
	}
	change := ledger.NewProgram(1716, "h/1/1").Change("t", 572, b.grantsFor("p"))
	res, _, err := b.changeRow(t.Context(), reserveCall{Program: "p", Total: 1716, MaxTokens: 572}, &change, &heldRow{})
	if err != nil || !res.Short || res.Drawn != 0 {
		t.Fatalf("drew %d though all 1716 tokens are claimed, error %v", res.Drawn, err)
	}
}

// TestRunawayDuringAnOutage: the first turn of a program is granted provisionally. None of
// the 16 turns that it then sends at once may be granted so, because provisional grants may
// be lost.
func TestRunawayDuringAnOutage(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries know each other", func() bool {
		return e.mesh.CanOwn() && other.mesh.CanOwn() && e.mesh.Size() == 2 && other.mesh.Size() == 2
	})
	p.injectFault(standin.Fault{Kind: standin.FaultDown})
	eventually(t, "the table counts as unreachable", func() bool { return e.table.Unreachable() && other.table.Unreachable() })
	if r := e.call("POST", "/ask/1", "x", turnHeader("runaway", 200, 50)); r.status != http.StatusOK {
		t.Fatalf("the first turn failed: %+v", r)
	}
	var wait sync.WaitGroup
	var answered atomic.Int64
	for range 16 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if e.call("POST", "/ask/1", "x", turnHeader("runaway", 200, 50)).status == http.StatusOK {
				answered.Add(1)
			}
		}()
	}
	wait.Wait()
	if n := answered.Load(); n != 0 {
		t.Errorf("%d of 16 turns sent at once were granted provisionally, want none", n)
	}
}

// TestDurableTurnsDuringAnOutage: a turn that must be stored can't complete while the table
// is unreachable, so its caller sends it again. No more than the tokens of one turn may be
// granted provisionally for all these attempts.
func TestDurableTurnsDuringAnOutage(t *testing.T) {
	p, e, _, l := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries know each other", func() bool {
		return e.mesh.CanOwn() && other.mesh.CanOwn() && e.mesh.Size() == 2 && other.mesh.Size() == 2
	})
	p.injectFault(standin.Fault{Kind: standin.FaultDown})
	eventually(t, "the table counts as unreachable", func() bool { return e.table.Unreachable() && other.table.Unreachable() })
	for range 3 {
		e.call("POST", "/draft/1", "x", turnHeader("kept", 200, 50))
	}
	if n := len(l.requests()); n != 1 {
		t.Errorf("%d turns of 50 tokens ran, want 1", n)
	}
}

// TestUnansweredDrawsDelayNoFirstTurn covers the start of an outage, before it is detected. The
// draws of new programs get no answer, and their first turns, sent through the owner or
// another entry, must not wait for them.
func TestUnansweredDrawsDelayNoFirstTurn(t *testing.T) {
	e, other, _, shared := startTwoEntries(t)
	shared.unresponsive.Store(true)
	for _, program := range testPrograms {
		start := time.Now()
		if r := e.call("POST", "/ask/1", "x", turnHeader(program, 500, 50)); r.status != http.StatusOK {
			t.Errorf("the first turn of program %s failed: %+v", program, r)
		}
		if took := time.Since(start); took > peerCallTimeout {
			t.Errorf("the first turn of program %s took %v, want at most %v", program, took, peerCallTimeout)
		}
	}
	shared.unresponsive.Store(false)
	eventually(t, "the grants are recorded", func() bool {
		for _, program := range testPrograms {
			if row, _, err := other.budgets.read(t.Context(), budgetKey(program), 500); err != nil || row.Remaining() == 500 {
				return false
			}
		}
		return true
	})
}

// spendTurns sends turns of 50 tokens of a program with a budget of 200 through the entry, calls
// between after each, and returns how many were answered.
func spendTurns(e *testEntry, program string, turns int, between func()) int {
	answered := 0
	for range turns {
		if r := e.call("POST", "/ask/1", "x", turnHeader(program, 200, 50)); r.status == http.StatusOK {
			answered++
		}
		between()
	}
	return answered
}

// TestForgottenBudgetStaysSpent checks that tokens spent by an account that was dropped for being idle
// are not granted again by its successor, and that those which it had not used are.
func TestForgottenBudgetStaysSpent(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false)) // 5 events of 10 tokens each
	eventually(t, "the entry owns budgets", e.mesh.CanOwn)
	remaining := func() int {
		row, err := p.standin.Table.Get(t.Context(), budgetKey("p"))
		if err != nil {
			t.Fatal(err)
		}
		budget, _, err := decodeBudget(row)
		if err != nil {
			t.Fatal(err)
		}
		return budget.Remaining()
	}
	spent := 0
	answered := spendTurns(e, "p", 12, func() {
		spent = min(200, spent+50)
		e.budgets.forgetIdle(time.Now().Add(budgetIdle + time.Second))
		eventually(t, "unused tokens are returned", func() bool { return remaining() == 200-spent })
	})
	if answered != 4 {
		t.Errorf("%d turns of 50 tokens ran on a budget of 200, want 4", answered)
	}
}

// TestBudgetOutlivesItsRow checks that an account does not draw tokens again that it drew before its
// row was deleted.
func TestBudgetOutlivesItsRow(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	eventually(t, "the entry owns budgets", e.mesh.CanOwn)
	if n := spendTurns(e, "p", 12, func() { p.removeRow(budgetKey("p")) }); n != 4 {
		t.Errorf("%d turns of 50 tokens ran on a budget of 200, want 4", n)
	}
}

// TestUnreachableOwnerLeavesTheReservation: the owner of a budget does not answer, so another entry reserves a turn in
// the row. That the owner can't be told to forget the turn must not end it there while it runs: its tokens would be
// handed out again.
func TestUnreachableOwnerLeavesTheReservation(t *testing.T) {
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, func(w http.ResponseWriter, r *http.Request) {
		answerEvents(0, 0, false)(w, r)
		<-release
	})
	t.Cleanup(end) // before that of the upstream, which waits for its answers
	eventually(t, "the entry owns budgets", e.mesh.CanOwn)
	program := "p0"
	for n := 1; routing.Rendezvous(program, "silent") < routing.Rendezvous(program, string(e.cfg.Node)); n++ {
		program = fmt.Sprintf("p%d", n)
	}
	setPeer(t, e.Gateway, mesh.Peer{
		Node: "silent", Incarnation: "x", UDPAddress: "127.0.0.1:9", HTTPAddress: "127.0.0.1:9", Flags: mesh.FlagSynchronised | mesh.FlagOwner, LastDigest: time.Now(),
	})
	ended := make(chan reply)
	go func() { ended <- e.call("POST", "/ask/1", "x", turnHeader(program, 500, 50)) }()
	remaining := func() int {
		row, _, err := e.budgets.read(t.Context(), budgetKey(program), 500)
		if err != nil {
			t.Fatal(err)
		}
		return row.Remaining()
	}
	eventually(t, "the turn is reserved", func() bool { return remaining() == 450 })
	eventually(t, "the owner could not be told", func() bool { return e.scope.Snapshot().Counters()["gateway.settles_lost+"].Value() > 0 })
	for range 40 {
		if n := remaining(); n != 450 {
			t.Fatalf("%d of 500 tokens remain while a turn of 50 runs", n)
		}
		time.Sleep(10 * time.Millisecond)
	}
	end()
	<-ended
	eventually(t, "the turn has ended in the row", func() bool { return remaining() == 490 })
}

// TestBudgetRowStaysWhileItChanges: a program outlasts the retention of its row, counted from the first write. The entry
// that wrote it first must not delete it after another has changed it: the whole budget would be handed out again.
func TestBudgetRowStaysWhileItChanges(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	eventually(t, "the entry owns budgets", e.mesh.CanOwn)
	if n := spendTurns(e, "p", 1, func() {}); n != 1 {
		t.Fatal("the turn failed")
	}
	b, key := e.budgets, budgetKey("p")
	read := func() (ledger.Row, int64) {
		row, version, err := b.read(t.Context(), key, 200)
		if err != nil {
			t.Fatal(err)
		}
		return row, version
	}
	row, version := read()
	b.expiry.watch(key, version, time.Now())
	row.Drawn["another/1/1"] = 10
	if err := b.commits.apply(t.Context(), []platformapi.Condition{{Key: key, Version: version}}, []platformapi.Write{{Key: key, Value: row.Encode()}}); err != nil {
		t.Fatal(err)
	}
	now := time.Now().Add(budgetRowRetention + time.Second)
	b.expiry.sweep(t.Context(), now)
	if _, version := read(); version == platformapi.Absent {
		t.Fatal("a row that another entry had changed was deleted")
	}
	b.expiry.sweep(t.Context(), now.Add(budgetRowRetention/2))
	if _, version := read(); version == platformapi.Absent {
		t.Fatal("a row was deleted before its retention had passed since the change was seen")
	}
	b.expiry.sweep(t.Context(), now.Add(budgetRowRetention+time.Second))
	if _, version := read(); version != platformapi.Absent {
		t.Error("a row that nobody changes any more stays in the table")
	}
}
