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

// trial is a turn and what befalls its homes, in milliseconds after its beginning.
type trial struct {
	plan   string
	kill   [2]int
	paused [2]bool
	outage int
	length int
	lose   int
	hang   int
}

func drawTrial(t *rapid.T) trial {
	steps := rapid.SliceOfN(rapid.SampledFrom([]string{"tool search {}", "tool publish {}", "agent {}", "tool missing {}"}), 0, 5)
	moment := rapid.IntRange(0, 400)
	draw := func(name string) int { return moment.Draw(t, name) }
	plan := ""
	for i, step := range steps.Draw(t, "steps") {
		plan += strings.Replace(step, "{}", fmt.Sprintf(`{"n":%d}`, i), 1) + ";"
	}
	return trial{
		plan:   plan + "answer done",
		kill:   [2]int{draw("first kill"), draw("second kill")},
		paused: [2]bool{rapid.Bool().Draw(t, "first paused"), rapid.Bool().Draw(t, "second paused")},
		outage: draw("outage"), length: draw("length"), lose: draw("lost answer"), hang: draw("hang"),
	}
}

// strike lets the faults of the platform and the tools happen.
func (f trial) strike(table *fakeTable, world *fakeWorld) {
	after := func(ms int, do func()) { time.AfterFunc(time.Duration(ms)*time.Millisecond, do) }
	setTable := func(change func()) func() {
		return func() {
			table.mu.Lock()
			defer table.mu.Unlock()
			change()
		}
	}
	after(f.outage, setTable(func() { table.down = true }))
	after(f.outage+f.length+1, setTable(func() { table.down = false }))
	after(f.lose, setTable(func() { table.lose = true }))
	setHang := func(hang bool) func() {
		return func() {
			world.mu.Lock()
			defer world.mu.Unlock()
			world.hang = hang
		}
	}
	after(f.hang, setHang(true))
	after(f.hang+20, setHang(false))
}

// run moves the turn over three homes and returns what is wrong, or "".
func (f trial) run(t *testing.T) string {
	table, objects := newFakeTable(), &fakeObjects{values: map[string][]byte{}}
	world := &fakeWorld{delay: 10 * time.Millisecond}
	p := newProcess(t, "e0", table, objects, world)
	id := p.open(structs.ProgramSpec{Organisation: "council"})
	f.strike(table, world)
	for i, kill := range f.kill {
		go func(p *process) { _, _, _ = p.turn(id, 1, f.plan) }(p)
		time.Sleep(time.Duration(kill) * time.Millisecond)
		old := p
		if !f.paused[i] {
			old.stop()
		}
		time.Sleep(time.Second)
		p = newProcess(t, structs.LogID(fmt.Sprint("e", i+1)), table, objects, world)
		entries, err := p.c.TakeOver(t.Context(), structs.LogID(fmt.Sprint("e", i)))
		if err == nil {
			err = p.r.TakeOver(t.Context(), entries)
		}
		if f.paused[i] {
			defer old.stop()
		}
		if err != nil {
			p.stop()
			return fmt.Sprintf("adoption %d: %v", i, err)
		}
	}
	defer p.stop()
	return f.judge(p, id)
}

// judge looks at the turn at its last home.
func (f trial) judge(p *process, id structs.ProgramID) string {
	_, answer, refusal := p.turn(id, 1, f.plan)
	_, again, refusedAgain := p.turn(id, 1, f.plan)
	switch {
	case refusal != nil && (refusal.Code != structs.CodeActionInDoubt || refusedAgain == nil || refusedAgain.Code != refusal.Code):
		return fmt.Sprintf("refused with %v, then %v", refusal, refusedAgain)
	case refusal == nil && (!answer.Durable || again == nil || answer.Content != "the answer is done" || again.Content != answer.Content):
		return fmt.Sprintf("answered %+v, then %+v, %v", answer, again, refusedAgain)
	}
	for key, n := range p.world.runs {
		if strings.HasPrefix(key, "publish") && n > 1 {
			return fmt.Sprintf("%s ran %d times", key, n)
		}
	}
	p.onlyProgram(id)
	view, err := p.r.Read(p.t.Context(), home.Read{Program: id, History: true})
	if err != nil || view.Turns != 1 || view.History[0].Content != f.plan {
		return fmt.Sprintf("history %+v of %d turns, %v", view.History, view.Turns, err)
	}
	return ""
}

// TestFaultsAtRandom runs a turn of a random plan over three homes and their real journals,
// with kills and pauses, an outage, a lost answer of the table and tools that hang.
func TestFaultsAtRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := drawTrial(rt)
		wrong := ""
		synctest.Test(t, func(t *testing.T) { wrong = f.run(t) })
		if wrong != "" {
			rt.Fatalf("%+v: %s", f, wrong)
		}
	})
}
