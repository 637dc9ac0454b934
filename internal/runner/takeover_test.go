package runner

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/structs"
)

// TestTakeoverAfterKill guards against lost answers and repeated actions after the home of a
// program was killed. It kills the home at every third millisecond of a turn, from 1 to 118 ms.
func TestTakeoverAfterKill(t *testing.T) {
	plan := "tool search {}; tool publish {}; agent 7; tool publish {\"n\":2}; answer done"
	for at := time.Millisecond; at < 120*time.Millisecond; at += 3 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			a := newTestHome(t, "e1-a", nil)
			id := a.open(structs.ProgramSpec{Organisation: "council"})
			go func() { _, _, _ = a.turn(id, 1, plan) }()
			time.Sleep(at)
			committed := a.homeLog.seal()
			_ = a.table.Apply(t.Context(), platform.Txn{Writes: []platform.Write{{Key: "seal/e1-a"}, {Key: "open/e1-a", Delete: true}}})
			a.r.Close()
			b := newTestHome(t, "e2-b", a)
			defer b.r.Close()
			if err := b.r.TakeOver(t.Context(), committed); err != nil {
				t.Fatalf("killed at %s: %v", at, err)
			}
			_, answer, refusal := b.turn(id, 1, plan)
			for key, n := range a.services.runs {
				if strings.HasPrefix(key, "publish") && n > 1 {
					t.Fatalf("killed at %s: action %q ran %d times, want at most 1", at, key, n)
				}
			}
			if refusal != nil && refusal.Code == structs.CodeActionInDoubt {
				return
			}
			if refusal != nil || !answer.Durable || answer.Content != "the answer is done" {
				t.Fatalf("killed at %s: answer %+v, refusal %v, want a durable answer", at, answer, refusal)
			}
			b.awaitOnlyProgram(id)
		})
	}
}

// TestTakeoverOfSubAgents guards against sub-agents that are lost, run twice or never close after
// a takeover. The next home takes over a sub-agent whose result the parent already has, and then
// one that is running. A second takeover of the same entries must have no effect.
func TestTakeoverOfSubAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestHome(t, "e1-a", nil)
		id := a.open(structs.ProgramSpec{Organisation: "council"})
		_, _, _ = a.turn(id, 1, "agent 7; answer done")
		a.awaitOnlyProgram(id)
		time.Sleep(time.Second)
		committed := slices.DeleteFunc(a.homeLog.seal(), func(e homelog.Entry) bool {
			if e.Kind == program.KindClosed && e.Mark != homelog.MarkEnd {
				t.Errorf("the entry for the end of program %q has mark %d, want %d", e.Program, e.Mark, homelog.MarkEnd)
			}
			return e.Kind == program.KindClosed
		})
		a.r.Close()
		b := newTestHome(t, "e2-b", a)
		defer b.r.Close()
		for range 2 {
			if err := b.r.TakeOver(t.Context(), committed); err != nil {
				t.Fatal(err)
			}
		}
		b.awaitOnlyProgram(id)
		calls := b.services.calls
		go func() { _, _, _ = b.turn(id, 2, "agent 8; answer done") }()
		time.Sleep(30 * time.Millisecond)
		committedByBoth := append(slices.Clone(committed), b.homeLog.seal()...)
		b.r.Close()
		c := newTestHome(t, "e3-c", a)
		defer c.r.Close()
		for range 2 {
			if err := c.r.TakeOver(t.Context(), committedByBoth); err != nil {
				t.Fatal(err)
			}
			time.Sleep(8 * time.Millisecond)
		}
		if _, answer, refusal := c.turn(id, 2, "agent 8; answer done"); refusal != nil || answer.Content != "the answer is done" {
			t.Fatalf("turn with a sub-agent after the takeover: answer %+v, refusal %v", answer, refusal)
		}
		c.awaitOnlyProgram(id)
		if made := c.services.calls - calls; made != 3 {
			t.Fatalf("the turn made %d model calls, want 3", made)
		}
	})
}

// TestHandOver guards against turns that are cut off or lost when a home drains and hands over.
// It drains a home during a turn and runs the next turn at another home.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestHome(t, "e1-a", nil)
		defer a.r.Close()
		id := a.open(structs.ProgramSpec{Organisation: "council"})
		done := make(chan *structs.Refusal, 1)
		go func() {
			_, _, refusal := a.turn(id, 1, "tool search {}; answer 1")
			done <- refusal
		}()
		time.Sleep(15 * time.Millisecond)
		if err := a.r.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if refusal := <-done; refusal != nil {
			t.Fatalf("the drain ended a running turn: %v", refusal)
		}
		if _, _, refusal := a.turn(id, 2, "answer 2"); refusal == nil || refusal.Code != structs.CodeDraining || refusal.Outcome != structs.OutcomeNotRun {
			t.Fatalf("a new turn while draining: refusal %v, want %s", refusal, structs.CodeDraining)
		}
		entries, err := a.r.HandOver(t.Context())
		if err != nil || len(entries) != 1 || entries[0].Mark != homelog.MarkReset {
			t.Fatalf("HandOver returned %d entries, %v, want 1 checkpoint", len(entries), err)
		}
		b := newTestHome(t, "e2-b", a)
		defer b.r.Close()
		if err := b.r.TakeOver(t.Context(), entries); err != nil {
			t.Fatal(err)
		}
		if _, answer, refusal := b.turn(id, 2, "answer 2"); refusal != nil || answer.Content != "the answer is 2" {
			t.Fatalf("turn at the next home: answer %+v, refusal %v", answer, refusal)
		}
	})
}
