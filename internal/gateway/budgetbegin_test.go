package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/ledger"
)

// TestReservationOfEndedProcess reproduces review case 7: a process ended with a turn that it had reserved. A kept conversation was
// told 402 for it although it had reached no engine. A turn that had begun, or that waits at a running process, still counts.
func TestReservationOfEndedProcess(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	eventually(t, "the entry owns budgets", e.mesh.CanOwn)
	setPeer(t, e.Gateway, mesh.Peer{
		Node: "running", Incarnation: "r1", UDPAddress: "127.0.0.1:9", HTTPAddress: "127.0.0.1:9", Flags: mesh.FlagSynchronised, LastDigest: time.Now().Add(time.Minute),
	})
	for _, c := range []struct {
		name    string
		pending map[string]string
		want    int
	}{
		{"ended", map[string]string{"turn:t": "ended/e1"}, http.StatusOK},
		{"replaced", map[string]string{"turn:t": string(e.cfg.Node) + "/before"}, http.StatusOK},
		{"running", map[string]string{"turn:t": "running/r1"}, http.StatusPaymentRequired},
		{"begun", nil, http.StatusPaymentRequired},
	} {
		row := ledger.Row{Total: 100, Drawn: map[string]int{"settled": 50, "turn:t": 50}, Pending: c.pending}
		p.write(budgetKey(c.name), string(row.Encode()))
		if r := e.call("POST", "/draft/1", "x", turnHeader(c.name, 100, 50)); r.status != c.want {
			t.Errorf("process %s: status %d, want %d", c.name, r.status, c.want)
		}
	}
	if n := e.scope.Snapshot().Counters()["gateway.budget_reservations_dropped+"].Value(); n != 2 {
		t.Errorf("%d reservations were counted as dropped, want 2", n)
	}
}

// TestFirstTokenWaitsForTheRow: what a caller has received must be in the row, also if all processes end right after the first event,
// whether the serving entry or another one owns the budget, or the owner ends while the turn waits for an engine.
func TestFirstTokenWaitsForTheRow(t *testing.T) {
	for _, c := range []string{"owner serves", "another owner", "owner ends"} {
		t.Run(c, func(t *testing.T) {
			arrived, release := make(chan struct{}), make(chan struct{})
			var once sync.Once
			p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, func(w http.ResponseWriter, r *http.Request) {
				once.Do(func() { close(arrived) })
				<-release
				answerEvents(0, 0, true)(w, r)
			})
			other := startEntry(t, "entry-2", p.standin.Table)
			eventually(t, "the entries know each other", func() bool {
				return e.mesh.CanOwn() && other.mesh.CanOwn() && e.mesh.Size() == 2 && other.mesh.Size() == 2 && other.budgetPeers.synchronised.Load()
			})
			owner, serves := e, other
			if e.mesh.Owner("p") != nil {
				owner, serves = other, e
			}
			if c == "owner serves" {
				serves = owner
			}
			ended := make(chan reply, 1)
			go func() { ended <- serves.call("POST", "/draft/1", "x", turnHeader("p", 100, 50)) }()
			<-arrived
			row := budgetRow(t, p.standin.Table, "p")
			if len(row.Pending) != 1 || row.Remaining() != 50 {
				t.Errorf("before the first event the row is %+v, want a pending turn of 50", row)
			}
			if c == "owner ends" {
				owner.budgets.mu.Lock()
				delete(owner.budgets.programs, "p")
				owner.budgets.mu.Unlock()
			}
			close(release)
			<-ended
			row = budgetRow(t, p.standin.Table, "p")
			if row.Remaining() == 100 || len(row.Pending) > 0 {
				t.Errorf("after the first event the row is %+v", row)
			}
		})
	}
}

// TestNoTokenWithoutTheRow: the reservation of a turn was dropped and its tokens were granted to another one. The caller must get none of
// its events, and no answer that says that the turn has not run.
func TestNoTokenWithoutTheRow(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, func(w http.ResponseWriter, r *http.Request) {
		once.Do(func() { close(arrived) })
		<-release
		answerEvents(0, 4, false)(w, r)
	})
	eventually(t, "the entry owns budgets", e.mesh.CanOwn)
	ended := make(chan reply, 1)
	go func() { ended <- e.call("POST", "/draft/1", "x", turnHeader("p", 100, 100)) }()
	<-arrived
	p.write(budgetKey("p"), string(ledger.Row{Total: 100, Drawn: map[string]int{"turn:another": 100}}.Encode()))
	close(release)
	if r := <-ended; r.status != http.StatusBadGateway || r.body != "" {
		t.Errorf("status %d and body %q of a turn without tokens, want 502", r.status, r.body)
	}
	if n := e.scope.Snapshot().Counters()["gateway.turns_not_begun+"].Value(); n != 1 {
		t.Errorf("%d turns were counted as not begun, want 1", n)
	}
}

// budgetRow returns the row of a program's budget.
func budgetRow(t *testing.T, table platformapi.Table, program string) ledger.Row {
	t.Helper()
	r, err := table.Get(t.Context(), budgetKey(program))
	if err != nil {
		t.Fatal(err)
	}
	row, _, err := decodeBudget(r)
	if err != nil {
		t.Fatal(err)
	}
	return row
}
