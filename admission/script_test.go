package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
)

// world is one entry's admission and one upstream's queue, with a hand-moved clock.
type world struct {
	now     time.Time
	machine *Machine
	queue   Queue
}

func arg[T any](d *datadriven.TestData, key string, value T) T {
	for _, given := range d.CmdArgs {
		if given.Key != key {
			continue
		}
		if _, err := fmt.Sscan(given.Vals[0], &value); err != nil {
			panic(fmt.Sprintf("argument %s=%q: %v", key, given.Vals[0], err))
		}
	}
	return value
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (w *world) deadline(d *datadriven.TestData) time.Time {
	patience := arg(d, "patience_ms", 0)
	if patience == 0 {
		return time.Time{}
	}
	return w.now.Add(ms(patience))
}

func show(effects []Effect) string {
	var out strings.Builder
	for _, e := range effects {
		switch e := e.(type) {
		case Admit:
			fmt.Fprintf(&out, "admit %s\n", e.Program)
		case Refuse:
			fmt.Fprintf(&out, "refuse %s %s %s after %v: %s\n", e.Program, e.Refusal.Code, e.Refusal.Outcome,
				e.Refusal.RetryAfter.Round(time.Millisecond), e.Refusal.Detail)
		}
	}
	return out.String()
}

func (w *world) step(d *datadriven.TestData) string {
	program := structs.ProgramID(arg(d, "program", "p1"))
	switch d.Cmd {
	case "start":
		w.machine = New(Config{Capacity: arg(d, "capacity", 16), BlockSize: arg(d, "lump", 4)})
	case "switch":
		return show(w.machine.Step(w.now, Switch{Preset: structs.Preset{Name: arg(d, "preset", "day"), AdmitNew: arg(d, "admit", true)}}))
	case "submit", "duplicate":
		return show(w.machine.Step(w.now, Offer{Program: program, Organisation: structs.OrganisationID(arg(d, "organisation", "o1")),
			Started: arg(d, "under_way", false), Deadline: w.deadline(d), Predicted: ms(arg(d, "predicted_ms", 100)), Wait: ms(arg(d, "wait_ms", 0))}))
	case "done":
		return show(w.machine.Step(w.now, Ended{Program: program, Late: arg(d, "late", false)}))
	case "resize":
		return show(w.machine.Step(w.now, Resize{Capacity: arg(d, "capacity", 16)}))
	case "push":
		call := &structs.ModelCall{Call: structs.CallID(arg(d, "call", "")), Attained: arg(d, "attained", int64(0)),
			Turn: uint32(arg(d, "turn", 1)), Deadline: w.deadline(d)}
		return fmt.Sprintf("%v\n", w.queue.Push(w.now, NewWaitingCall(call, arg(d, "prefill", int64(0)))))
	case "pop":
		next, ok := w.queue.Pop()
		return fmt.Sprintf("%s %v\n", next.Call, ok)
	case "cancel":
		return fmt.Sprintf("%v\n", w.queue.Remove(structs.CallID(arg(d, "call", "")), 0))
	case "expire":
		var out strings.Builder
		for _, e := range w.queue.Expire(w.now) {
			fmt.Fprintf(&out, "%s\n", e.Call)
		}
		return out.String()
	case "advance":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			return err.Error()
		}
		w.now = w.now.Add(step)
	case "expect":
		return fmt.Sprintf("running=%d organisations=%d lent=%d waiting=%d prefill=%d\n", w.machine.Running(),
			w.machine.Organisations(), w.machine.lent, w.queue.Len(), w.queue.PrefillTokens())
	default:
		return fmt.Sprintf("unknown verb %q", d.Cmd)
	}
	return ""
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if !strings.HasSuffix(path, ".txt") {
			return
		}
		w := &world{now: time.Unix(1000, 0), machine: New(Config{})}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return w.step(d) })
	})
}
