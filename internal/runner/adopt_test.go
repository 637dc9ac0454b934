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

// TestKilledHomeGoesOnElsewhere kills the home at each millisecond of a turn.
func TestKilledHomeGoesOnElsewhere(t *testing.T) {
	plan := "tool search {}; tool publish {}; agent 7; tool publish {\"n\":2}; answer done"
	for at := time.Millisecond; at < 120*time.Millisecond; at += 3 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			a := newBench(t, "e1-a", nil)
			id := a.open(structs.ProgramSpec{Organisation: "council"})
			go func() { _, _, _ = a.turn(id, 1, plan) }()
			time.Sleep(at)
			kept := a.log.seal()
			_ = a.table.Apply(t.Context(), platform.Txn{Writes: []platform.Write{{Key: "seal/e1-a"}, {Key: "open/e1-a", Delete: true}}})
			a.r.Close()
			b := newBench(t, "e2-b", a)
			defer b.r.Close()
			if err := b.r.TakeOver(t.Context(), kept); err != nil {
				t.Fatalf("killed at %s: %v", at, err)
			}
			_, answer, refusal := b.turn(id, 1, plan)
			for key, n := range a.world.runs {
				if strings.HasPrefix(key, "publish") && n > 1 {
					t.Fatalf("killed at %s: %s ran %d times", at, key, n)
				}
			}
			if refusal != nil && refusal.Code == structs.CodeActionInDoubt {
				return
			}
			if refusal != nil || !answer.Durable || answer.Content != "the answer is done" {
				t.Fatalf("killed at %s: %+v, %v", at, answer, refusal)
			}
			b.onlyProgram(id)
		})
	}
}

// TestAdoptionOfSubAgents has an adopter find a sub-agent whose result its parent has, and
// one at work; the same entries adopted again change nothing.
func TestAdoptionOfSubAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newBench(t, "e1-a", nil)
		id := a.open(structs.ProgramSpec{Organisation: "council"})
		_, _, _ = a.turn(id, 1, "agent 7; answer done")
		a.onlyProgram(id)
		time.Sleep(time.Second)
		kept := slices.DeleteFunc(a.log.seal(), func(e homelog.Entry) bool {
			if e.Kind == program.KindClosed && e.Mark != homelog.MarkEnd {
				t.Errorf("the end of %q has mark %d", e.Program, e.Mark)
			}
			return e.Kind == program.KindClosed
		})
		a.r.Close()
		b := newBench(t, "e2-b", a)
		defer b.r.Close()
		for range 2 {
			if err := b.r.TakeOver(t.Context(), kept); err != nil {
				t.Fatal(err)
			}
		}
		b.onlyProgram(id)
		calls := b.world.calls
		go func() { _, _, _ = b.turn(id, 2, "agent 8; answer done") }()
		time.Sleep(30 * time.Millisecond)
		half := append(slices.Clone(kept), b.log.seal()...)
		b.r.Close()
		c := newBench(t, "e3-c", a)
		defer c.r.Close()
		for range 2 {
			if err := c.r.TakeOver(t.Context(), half); err != nil {
				t.Fatal(err)
			}
			time.Sleep(8 * time.Millisecond)
		}
		if _, answer, refusal := c.turn(id, 2, "agent 8; answer done"); refusal != nil || answer.Content != "the answer is done" {
			t.Fatalf("turn with a sub-agent: %+v, %v", answer, refusal)
		}
		c.onlyProgram(id)
		if made := c.world.calls - calls; made != 3 {
			t.Fatalf("%d model calls for a turn of 3", made)
		}
	})
}

// TestHandOver drains a home under work and goes on at another.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newBench(t, "e1-a", nil)
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
			t.Fatalf("the drain cut a turn: %v", refusal)
		}
		if _, _, refusal := a.turn(id, 2, "answer 2"); refusal == nil || refusal.Code != structs.CodeDraining || refusal.Outcome != structs.OutcomeNotRun {
			t.Fatalf("a new turn while draining: %v", refusal)
		}
		entries, err := a.r.HandOver(t.Context())
		if err != nil || len(entries) != 1 || entries[0].Mark != homelog.MarkReset {
			t.Fatalf("hand over gave %d entries, %v", len(entries), err)
		}
		b := newBench(t, "e2-b", a)
		defer b.r.Close()
		if err := b.r.TakeOver(t.Context(), entries); err != nil {
			t.Fatal(err)
		}
		if _, answer, refusal := b.turn(id, 2, "answer 2"); refusal != nil || answer.Content != "the answer is 2" {
			t.Fatalf("turn at the next home: %+v, %v", answer, refusal)
		}
	})
}
