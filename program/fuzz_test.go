package program

import (
	"testing"

	"github.com/buckthornroute/buckthornroute/structs"
)

// FuzzRestore gives Restore records that a platform could return. It must refuse or take
// them, and what it takes must survive a checkpoint.
func FuzzRestore(f *testing.F) {
	b := newBench(Config{}, structs.ProgramSpec{System: "portal"})
	b.open()
	b.step(SubmitTurn{Number: 1, Content: "question"})
	b.step(ModelDone{Answer: structs.ModelAnswer{Call: "e1.1/1/1", Attempt: 1, Message: parseAnswer("tool t1 search {}")}})
	for _, e := range b.log {
		f.Add(e.Kind, e.Data)
	}
	f.Add(KindCheckpoint, b.m.Snapshot().Data)
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		entries := []LogRecord{b.log[0], {Program: benchProgram, Kind: kind, Data: data}}
		m, err := Restore(&b.cfg, benchProgram, entries)
		if err != nil {
			return
		}
		again, err := Restore(&b.cfg, benchProgram, []LogRecord{m.Snapshot()})
		if err != nil {
			t.Fatalf("checkpoint of a restored program: %v", err)
		}
		if got, want := again.State(), m.State(); got.Digest != want.Digest || got.Turns != want.Turns {
			t.Fatalf("checkpoint restores %+v, was %+v", got, want)
		}
		m.Step(b.now, Resume{})
	})
}
