package runner

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/structs"
	"pgregory.net/rapid"
)

// scenario is a turn and the faults during it. The times are in milliseconds.
type scenario struct {
	plan string
	// stopAt is when the first and the second home of the turn are stopped, counted from the
	// start of the turn there. A home with keepsRunning is not stopped, but is taken over 1 s
	// later like the others.
	stopAt       [2]int
	keepsRunning [2]bool
	// outage and outageLength are the start and the length of the table's outage.
	outage       int
	outageLength int
	// loseAnswer is the time at which the table loses an answer.
	loseAnswer int
	// hang is the time from which tools hang for 20 ms.
	hang int
}

func drawScenario(t *rapid.T) scenario {
	steps := rapid.SliceOfN(rapid.SampledFrom([]string{"tool search {}", "tool publish {}", "agent {}", "tool missing {}"}), 0, 5)
	moment := rapid.IntRange(0, 400)
	draw := func(name string) int { return moment.Draw(t, name) }
	plan := ""
	for i, step := range steps.Draw(t, "steps") {
		plan += strings.Replace(step, "{}", fmt.Sprintf(`{"n":%d}`, i), 1) + ";"
	}
	return scenario{
		plan:         plan + "answer done",
		stopAt:       [2]int{draw("first kill"), draw("second kill")},
		keepsRunning: [2]bool{rapid.Bool().Draw(t, "first paused"), rapid.Bool().Draw(t, "second paused")},
		outage:       draw("outage"), outageLength: draw("length"), loseAnswer: draw("lost answer"), hang: draw("hang"),
	}
}

// scheduleFaults schedules the faults of the platform and of the tools.
func (f scenario) scheduleFaults(table *fakeTable, services *fakeServices) {
	after := func(ms int, do func()) { time.AfterFunc(time.Duration(ms)*time.Millisecond, do) }
	setTable := func(change func()) func() {
		return func() {
			table.mu.Lock()
			defer table.mu.Unlock()
			change()
		}
	}
	after(f.outage, setTable(func() { table.down = true }))
	after(f.outage+f.outageLength+1, setTable(func() { table.down = false }))
	after(f.loseAnswer, setTable(func() { table.loseAnswer = true }))
	setHang := func(hang bool) func() {
		return func() {
			services.mu.Lock()
			defer services.mu.Unlock()
			services.hang = hang
		}
	}
	after(f.hang, setHang(true))
	after(f.hang+20, setHang(false))
}

// run moves the turn over three homes. It returns a description of the first failure, or "".
func (f scenario) run(t *testing.T) string {
	table, objects := newFakeTable(), &fakeObjects{values: map[string][]byte{}}
	services := &fakeServices{delay: 10 * time.Millisecond}
	p := newTestProcess(t, "e0", table, objects, services)
	id := p.open(structs.ProgramSpec{Organisation: "council"})
	f.scheduleFaults(table, services)
	for i, stopAt := range f.stopAt {
		go func(p *testProcess) { _, _, _ = p.turn(id, 1, f.plan) }(p)
		time.Sleep(time.Duration(stopAt) * time.Millisecond)
		old := p
		if !f.keepsRunning[i] {
			old.stop()
		}
		time.Sleep(time.Second)
		p = newTestProcess(t, structs.LogID(fmt.Sprint("e", i+1)), table, objects, services)
		entries, err := p.c.TakeOver(t.Context(), structs.LogID(fmt.Sprint("e", i)))
		if err == nil {
			err = p.r.TakeOver(t.Context(), entries)
		}
		if f.keepsRunning[i] {
			defer old.stop()
		}
		if err != nil {
			p.stop()
			return fmt.Sprintf("takeover %d: %v", i, err)
		}
	}
	defer p.stop()
	return f.check(p, id)
}

// check compares the turn's state at its last home with the expected one.
func (f scenario) check(p *testProcess, id structs.ProgramID) string {
	_, answer, refusal := p.turn(id, 1, f.plan)
	_, again, refusedAgain := p.turn(id, 1, f.plan)
	switch {
	case refusal != nil && (refusal.Code != structs.CodeActionInDoubt || refusedAgain == nil || refusedAgain.Code != refusal.Code):
		return fmt.Sprintf("refused with %v, then %v", refusal, refusedAgain)
	case refusal == nil && (!answer.Durable || again == nil || answer.Content != "the answer is done" || again.Content != answer.Content):
		return fmt.Sprintf("answered %+v, then %+v, %v", answer, again, refusedAgain)
	}
	for key, n := range p.services.runs {
		if strings.HasPrefix(key, "publish") && n > 1 {
			return fmt.Sprintf("%s ran %d times", key, n)
		}
	}
	p.awaitOnlyProgram(id)
	view, err := p.r.Read(p.t.Context(), home.Read{Program: id, History: true})
	if err != nil || view.Turns != 1 || view.History[0].Content != f.plan {
		return fmt.Sprintf("history %+v of %d turns, %v", view.History, view.Turns, err)
	}
	return ""
}

// TestFaultsAtRandom guards against actions that run twice and against answers and turns that
// are lost or differ between reads. It runs a turn with a random plan over three homes with real
// home logs. The homes are killed, or taken over while they run, the table has an outage and loses
// an answer, and tools hang.
func TestFaultsAtRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := drawScenario(rt)
		failure := ""
		synctest.Test(t, func(t *testing.T) { failure = f.run(t) })
		if failure != "" {
			rt.Fatalf("%+v: %s", f, failure)
		}
	})
}
