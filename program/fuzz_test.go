package program

import (
	"testing"

	"github.com/buckthornroute/buckthornroute/structs"
)

// FuzzRestore passes Restore arbitrary records, as a damaged log could return them. Restore must
// refuse or apply them; a checkpoint of an applied state must restore to the same state.
func FuzzRestore(f *testing.F) {
	b := newHarness(Config{}, structs.ProgramSpec{System: "portal"})
	b.open()
	b.step(SubmitTurn{Number: 1, Content: "question"})
	b.step(ModelDone{Answer: structs.ModelAnswer{Call: "e1.1/1/1", Attempt: 1, Message: parseAnswer("tool t1 search {}")}})
	for _, e := range b.log {
		f.Add(e.Kind, e.Data)
	}
	f.Add(KindCheckpoint, b.m.Snapshot().Data)
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		records := []LogRecord{b.log[0], {Program: testProgram, Kind: kind, Data: data}}
		m, err := Restore(&b.cfg, testProgram, records)
		if err != nil {
			return
		}
		restored, err := Restore(&b.cfg, testProgram, []LogRecord{m.Snapshot()})
		if err != nil {
			t.Fatalf("checkpoint of a restored program: %v", err)
		}
		if got, want := restored.State(), m.State(); got.Digest != want.Digest || got.Turns != want.Turns {
			t.Fatalf("checkpoint restored as %+v, want %+v", got, want)
		}
		m.Step(b.now, Resume{})
	})
}
