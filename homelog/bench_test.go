package homelog

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// benchEntries returns one entry of the given size for each of a number of programs.
func benchEntries(programs, bytes int) []Entry {
	entries := make([]Entry, programs)
	for i := range entries {
		entries[i] = Entry{Program: structs.NewProgramID("a", uint64(i)), Kind: "step", Data: make([]byte, bytes)}
	}
	return entries
}

// runToCompletion steps a machine and answers its requests at once until none is left.
func (sim *simulation) runToCompletion(m *Machine, now time.Time, msg Message) {
	effects := m.Step(now, msg)
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		if r := sim.perform(e); r.Call != 0 {
			effects = append(effects, m.Step(now, r)...)
		}
	}
}

// BenchmarkCommit measures one record from the append to the acknowledgement.
func BenchmarkCommit(b *testing.B) {
	for _, entries := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			sim := newSimulation(Config{})
			m := New(Config{Log: "a", CheckpointEvery: 64, MinInterval: 1})
			now := time.Unix(0, 0)
			batch := benchEntries(entries, 500)
			sim.runToCompletion(m, now, Start{})
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				sim.runToCompletion(m, now, Append{batch})
			}
			if m.committed != m.lastSequence {
				b.Fatalf("committed %d of %d", m.committed, m.lastSequence)
			}
		})
	}
}

// BenchmarkTakeover measures the takeover of a log whose programs have 20 KB of history
// each: reading, validating, folding and committing them in the successor's log.
func BenchmarkTakeover(b *testing.B) {
	for _, programs := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				sim := newSimulation(Config{})
				now := time.Unix(0, 0)
				crashed := New(Config{Log: "a", CheckpointEvery: 2, MinInterval: 1})
				sim.runToCompletion(crashed, now, Start{})
				sim.runToCompletion(crashed, now.Add(time.Second), Append{benchEntries(programs, 20_000)})
				m := New(Config{Log: "b", MinInterval: 1})
				sim.runToCompletion(m, now, Start{})
				b.StartTimer()
				sim.runToCompletion(m, now.Add(time.Second), TakeOver{Log: "a"})
				if live := len(m.state.live); live != programs {
					b.Fatalf("took over %d programs of %d", live, programs)
				}
			}
		})
	}
}
