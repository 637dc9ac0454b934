package homelog

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

func benchEntries(programs, bytes int) []Entry {
	entries := make([]Entry, programs)
	for i := range entries {
		entries[i] = Entry{Program: structs.NewProgramID("a", uint64(i)), Kind: "step", Data: make([]byte, bytes)}
	}
	return entries
}

// settleAll steps a machine and answers its requests at once until it has none.
func (w *world) settleAll(m *Machine, now time.Time, msg Message) {
	effects := m.Step(now, msg)
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		if r := w.perform(e); r.Call != 0 {
			effects = append(effects, m.Step(now, r)...)
		}
	}
}

// BenchmarkCommit measures one record from its appends to its acknowledgement.
func BenchmarkCommit(b *testing.B) {
	for _, entries := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			w := newWorld(Config{})
			m := New(Config{Log: "a", CheckpointEvery: 64, MinInterval: 1})
			now := time.Unix(0, 0)
			batch := benchEntries(entries, 500)
			w.settleAll(m, now, Start{})
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				w.settleAll(m, now, Append{batch})
			}
			if m.committed != m.lastSequence {
				b.Fatalf("committed %d of %d", m.committed, m.lastSequence)
			}
		})
	}
}

// BenchmarkRecover measures what an adopter does with a log of so many programs with
// 20 KB of history each: read, check, fold and commit in the own log.
func BenchmarkRecover(b *testing.B) {
	for _, programs := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				w := newWorld(Config{})
				now := time.Unix(0, 0)
				dead := New(Config{Log: "a", CheckpointEvery: 2, MinInterval: 1})
				w.settleAll(dead, now, Start{})
				w.settleAll(dead, now.Add(time.Second), Append{benchEntries(programs, 20_000)})
				m := New(Config{Log: "b", MinInterval: 1})
				w.settleAll(m, now, Start{})
				b.StartTimer()
				w.settleAll(m, now.Add(time.Second), TakeOver{Log: "a"})
				if live := len(m.state.live); live != programs {
					b.Fatalf("adopted %d programs of %d", live, programs)
				}
			}
		})
	}
}
