package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/ledger"
	"github.com/buckthornroute/buckthornroute/structs"
)

func turnHeader(program string, total, most int) map[string]string {
	return map[string]string{
		"X-Program-Id": program, "X-Token-Budget": fmt.Sprint(total), "X-Token-Count": fmt.Sprintf("100,%d", most),
	}
}

// TestBudgetOverEntries runs a program's turns through three entries at once: what the
// caller gets stays within the budget, and nothing is left stranded at one entry.
func TestBudgetOverEntries(t *testing.T) {
	p, e, _, l := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false)) // five events of ten tokens
	entries := []*testEntry{e, startEntry(t, "entry-2", p.standin.Table), startEntry(t, "entry-3", p.standin.Table)}
	eventually(t, "the entries know each other", func() bool {
		for _, e := range entries {
			if e.mesh.size() != len(entries) {
				return false
			}
		}
		return true
	})
	var mu sync.Mutex
	answered, spent := 0, 0
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
				spent++
			}
		}()
	}
	wait.Wait()
	if answered != 10 || spent != 20 {
		t.Errorf("%d turns answered, %d told that the budget is spent; want 10 and 20", answered, spent)
	}
	if n := len(l.requests()); n != answered {
		t.Errorf("%d turns ran", n)
	}
}

// TestBudgetDuringAnOutage: new programs go on while the table is away, and the whole of
// a runaway's turns through several entries stays within its budget and one turn.
func TestBudgetDuringAnOutage(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	entries := []*testEntry{e, startEntry(t, "entry-2", p.standin.Table), startEntry(t, "entry-3", p.standin.Table)}
	eventually(t, "the entries know each other", func() bool {
		for _, e := range entries {
			if e.mesh.size() != len(entries) {
				return false
			}
		}
		return true
	})
	p.injectFault(standin.Fault{Kind: standin.FaultDown})
	for _, e := range entries {
		eventually(t, "the table is lost", e.table.unreachable)
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
		eventually(t, "the table is back", func() bool { return !e.table.unreachable() })
	}
	for i := range 12 {
		if r := entries[i%3].call("POST", "/ask/1", "x", turnHeader("runaway", 200, 50)); r.status == http.StatusOK {
			answered++
		}
	}
	if answered != 4 {
		t.Errorf("%d turns of 50 tokens ran on a budget of 200", answered)
	}
}

// turnedAway is a table that refuses one entry.
type turnedAway struct{ platformapi.Watcher }

func (turnedAway) Apply(context.Context, platformapi.Txn) error { return platformapi.ErrNotApplied }
func (turnedAway) Get(context.Context, string) (platformapi.Row, error) {
	return platformapi.Row{}, platformapi.ErrUnavailable
}
func (turnedAway) Snapshot(context.Context, string) ([]platformapi.Row, int64, error) {
	return nil, 0, platformapi.ErrNotApplied
}
func (turnedAway) Changes(context.Context, string, int64, time.Duration) ([]platformapi.Change, int64, error) {
	return nil, 0, platformapi.ErrUnavailable
}

// TestEntryWithoutTheTableGoesThroughAnother: the table turns one entry away; it keeps
// turns, draws budgets and follows documents through another one.
func TestEntryWithoutTheTableGoesThroughAnother(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	switching := &switchTable{Watcher: p.standin.Table}
	other := startEntry(t, "entry-2", switching)
	eventually(t, "the entries know each other", func() bool { return e.mesh.size() == 2 && other.mesh.size() == 2 })
	eventually(t, "the entry has heard that the other reaches the table", func() bool {
		via, _ := other.mesh.tableThroughPeer()
		return via != nil
	})
	switching.set(turnedAway{p.standin.Table})
	for i := range 3 {
		if r := other.call("POST", "/draft/1", "x", turnHeader(fmt.Sprintf("p%d", i), 500, 50)); r.status != http.StatusOK || r.err != nil {
			t.Fatalf("%+v", r)
		}
	}
	p.writeDocument(9)
	eventually(t, "the document comes through the other entry", func() bool { return other.routes.Load().Document().Version == 9 })
	if other.table.unreachable() {
		t.Error("the table counts as lost though another entry reaches it")
	}
}

// switchTable is a table that a test replaces.
type switchTable struct {
	mu sync.Mutex
	platformapi.Watcher
}

func (s *switchTable) set(t platformapi.Watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Watcher = t
}

func (s *switchTable) now() platformapi.Watcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Watcher
}

func (s *switchTable) Apply(ctx context.Context, txn platformapi.Txn) error {
	return s.now().Apply(ctx, txn)
}
func (s *switchTable) Get(ctx context.Context, key string) (platformapi.Row, error) {
	return s.now().Get(ctx, key)
}
func (s *switchTable) Snapshot(ctx context.Context, prefix string) ([]platformapi.Row, int64, error) {
	return s.now().Snapshot(ctx, prefix)
}
func (s *switchTable) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platformapi.Change, int64, error) {
	return s.now().Changes(ctx, prefix, after, wait)
}

// TestDrawWhoseAnswerIsLost: a draw that went through though its answer was lost is
// found by reading back, and not drawn again.
func TestDrawWhoseAnswerIsLost(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	eventually(t, "the entry owns budgets", e.mesh.canOwnBudgets)
	p.injectFault(standin.Fault{Kind: standin.FaultLoseAnswer, Match: "/table/apply", Count: 1})
	if r := e.call("POST", "/ask/1", "x", turnHeader("p", 400, 50)); r.status != http.StatusOK {
		t.Fatalf("%+v", r)
	}
	row, err := p.standin.Table.Get(t.Context(), budgetKey("p"))
	if err != nil {
		t.Fatal(err)
	}
	budget, _, err := decodeBudget(row)
	if err != nil || budget.Remaining() != 200 {
		t.Fatalf("%d are left of 400 after one draw of half, %v", budget.Remaining(), err)
	}
}

// TestOnlyTheOwnerGrantsAheadOfTheRow: the owner can't tell, since it does not know what
// was granted before; no other entry grants in its place.
func TestOnlyTheOwnerGrantsAheadOfTheRow(t *testing.T) {
	p, e, _, l := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	entries := []*testEntry{e, startEntry(t, "entry-2", p.standin.Table), startEntry(t, "entry-3", p.standin.Table)}
	eventually(t, "the entries know each other", func() bool {
		for _, e := range entries {
			if e.mesh.size() != len(entries) {
				return false
			}
		}
		return true
	})
	var owner *testEntry
	program := "p"
	for _, e := range entries {
		if e.mesh.owner(program) == nil {
			owner = e
		}
	}
	owner.mesh.synchronised.Store(false)
	for _, e := range entries {
		e.mesh.synchronised.Store(false)
	}
	p.injectFault(standin.Fault{Kind: standin.FaultDown})
	for _, e := range entries {
		eventually(t, "the table is lost", e.table.unreachable)
	}
	for _, e := range entries {
		if r := e.call("POST", "/ask/1", "x", turnHeader(program, 200, 50)); r.status != http.StatusServiceUnavailable {
			t.Errorf("%s: %+v", e.cfg.Node, r)
		}
	}
	if n := len(l.requests()); n != 0 {
		t.Errorf("%d turns ran", n)
	}
}

// TestSlowTableHoldsNoFirstTurn: a table that takes 250 ms for an answer is not waited
// for; what was granted is recorded afterwards.
func TestSlowTableHoldsNoFirstTurn(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries know each other", func() bool {
		return e.mesh.canOwnBudgets() && other.mesh.canOwnBudgets() && e.mesh.size() == 2 && other.mesh.size() == 2
	})
	p.injectFault(standin.Fault{Kind: standin.FaultSlow, Delay: structs.Duration(250 * time.Millisecond)})
	// own returns the next program whose budget the first entry counts.
	n := 0
	own := func() string {
		for {
			n++
			if program := fmt.Sprintf("p%d", n); e.mesh.owner(program) == nil {
				return program
			}
		}
	}
	eventually(t, "the entry knows that the table is slow", func() bool {
		e.call("POST", "/ask/1", "x", turnHeader(own(), 500, 50))
		return e.table.slow()
	})
	program := own()
	start := time.Now()
	if r := e.call("POST", "/ask/1", "x", turnHeader(program, 500, 50)); r.status != http.StatusOK {
		t.Fatalf("%+v", r)
	}
	if took := time.Since(start); took > 200*time.Millisecond {
		t.Errorf("the first turn took %v", took)
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

// TestGrantsOfADeadOwnerAreRecorded: the owner ends with grants ahead of the row; those
// that heard of them record them, so that they count even when all entries end.
func TestGrantsOfADeadOwnerAreRecorded(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries know each other", func() bool {
		return e.mesh.canOwnBudgets() && other.mesh.canOwnBudgets() && e.mesh.size() == 2 && other.mesh.size() == 2
	})
	program := "p0"
	for n := 1; e.mesh.owner(program) != nil; n++ {
		program = fmt.Sprintf("p%d", n)
	}
	// What a dead owner has told and not recorded.
	if !e.mesh.tell(t.Context(), grantNotice{Program: program, Holder: "dead/1", Granted: 150, Total: 500, Ahead: true}) {
		t.Fatal("nobody heard it")
	}
	eventually(t, "the other entry records it", func() bool {
		row, err := p.standin.Table.Get(t.Context(), budgetKey(program))
		if err != nil {
			return false
		}
		budget, _, err := decodeBudget(row)
		return err == nil && budget.Remaining() == 350
	})
}

// TestReservationOfOneWhoGaveUp: the entry that asked for a reservation has given up when
// its owner comes to grant it; the tokens stay free for the next turn.
func TestReservationOfOneWhoGaveUp(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	eventually(t, "the entry owns budgets", e.mesh.canOwnBudgets)
	first := reserveCall{Program: "p", ID: "first", Total: 50, MaxTokens: 50}
	e.budgets.mu.Lock()
	e.budgets.accountLocked(first)
	e.budgets.mu.Unlock()
	e.budgets.settleLocal(settleCall{Program: "p", ID: "first"})
	if a, _ := e.budgets.grant(t.Context(), first, true); a.outcome == reserveGranted {
		t.Error("a reservation that nobody waits for was granted")
	}
	if r := e.call("POST", "/ask/1", "x", turnHeader("p", 50, 50)); r.status != http.StatusOK {
		t.Errorf("the next turn: %+v", r)
	}
}

// TestGrantsAheadStayKnown: neither an overtaken notice nor those of other entries hide
// what a dead owner was granted ahead of the row.
func TestGrantsAheadStayKnown(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	b := e.budgets
	b.applyNotice(grantNotice{Program: "p", Holder: "dead", Granted: 1144, Total: 1716, Ahead: true})
	b.applyNotice(grantNotice{Program: "p", Holder: "dead", Granted: 500, Total: 1716})
	b.applyNotice(grantNotice{Program: "p", Holder: "other", Granted: 572, Total: 1716})
	if got := decodeGrants(encodeGrants(b.grantsFor("p"))); got["dead"] != 1144 || got["other"] != 572 {
		t.Fatalf("known %v", got)
	}
	b.mu.Lock()
	ahead := b.known["p"].ahead["dead"]
	b.mu.Unlock()
	if !ahead {
		t.Fatal("the dead owner's grants count as recorded")
	}
	a := ledger.NewAccount(1716)
	a.Learn(b.grantsFor("p"), b.holder)
	if lump, err := b.draw(t.Context(), "p", 1716, a.Drawing(572)); err != nil || lump != 0 {
		t.Fatalf("drew %d beside 1716 that are granted, %v", lump, err)
	}
}

// TestRunawayDuringAnOutage: a program's first turn is granted ahead of the row, and of
// the many that it sends at once after that none is: what it got may be lost.
func TestRunawayDuringAnOutage(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries know each other", func() bool {
		return e.mesh.canOwnBudgets() && other.mesh.canOwnBudgets() && e.mesh.size() == 2 && other.mesh.size() == 2
	})
	p.injectFault(standin.Fault{Kind: standin.FaultDown})
	eventually(t, "the table is lost", func() bool { return e.table.unreachable() && other.table.unreachable() })
	if r := e.call("POST", "/ask/1", "x", turnHeader("runaway", 200, 50)); r.status != http.StatusOK {
		t.Fatalf("the first turn: %+v", r)
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
		t.Errorf("%d of sixteen turns sent at once were granted ahead of the row", n)
	}
}

// TestKeptTurnsDuringAnOutage: a kept turn can't end while the table is away, so its
// caller sends it again; no more than one turn's most is granted ahead for that.
func TestKeptTurnsDuringAnOutage(t *testing.T) {
	p, e, _, l := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries know each other", func() bool {
		return e.mesh.canOwnBudgets() && other.mesh.canOwnBudgets() && e.mesh.size() == 2 && other.mesh.size() == 2
	})
	p.injectFault(standin.Fault{Kind: standin.FaultDown})
	eventually(t, "the table is lost", func() bool { return e.table.unreachable() && other.table.unreachable() })
	for range 3 {
		e.call("POST", "/draft/1", "x", turnHeader("kept", 200, 50))
	}
	if n := len(l.requests()); n != 1 {
		t.Errorf("%d turns of 50 tokens ran ahead of the row", n)
	}
}

// TestSilentTableHoldsNoFirstTurn replays the first moments of an outage, before it is
// noticed: the draws of new programs go without an answer, and their first turns, through
// the owner or another entry, don't wait for them.
func TestSilentTableHoldsNoFirstTurn(t *testing.T) {
	e, other, _, shared := startTwoEntries(t)
	shared.unresponsive.Store(true)
	for _, program := range testPrograms {
		start := time.Now()
		if r := e.call("POST", "/ask/1", "x", turnHeader(program, 500, 50)); r.status != http.StatusOK {
			t.Errorf("program %s: %+v", program, r)
		}
		if took := time.Since(start); took > callTimeout {
			t.Errorf("the first turn of program %s took %v", program, took)
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
