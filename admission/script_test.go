package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
)

// fixture holds one entry's Machine, one upstream's Queue and a clock that scripts advance.
type fixture struct {
	now     time.Time
	machine *Machine
	queue   Queue
}

// arg returns the argument of a script's command, or value when it is not given.
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

// deadline returns the deadline that a command's timeout_ms gives, or zero without one.
func (f *fixture) deadline(d *datadriven.TestData) time.Time {
	timeout := arg(d, "timeout_ms", 0)
	if timeout == 0 {
		return time.Time{}
	}
	return f.now.Add(ms(timeout))
}

// format returns one line for each effect.
func format(effects []Effect) string {
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

// run runs one command of a script and returns its output. The commands are:
//
//   - start: replace the machine by a new one
//   - switch, submit, duplicate, done, resize: inputs of the machine; duplicate is submit for a
//     program that has a turn in progress
//   - push, pop, cancel, expire: operations of the queue
//   - advance: move the clock
//   - expect: print the state of the machine and the queue
func (f *fixture) run(d *datadriven.TestData) string {
	program := structs.ProgramID(arg(d, "program", "p1"))
	switch d.Cmd {
	case "start":
		f.machine = New(Config{Capacity: arg(d, "capacity", 16), BlockSize: arg(d, "block", 4)})
	case "switch":
		return format(f.machine.Step(f.now, Switch{Preset: structs.Preset{Name: arg(d, "preset", "day"), AdmitNew: arg(d, "admit", true)}}))
	case "submit", "duplicate":
		return format(f.machine.Step(f.now, Offer{Program: program, Organisation: structs.OrganisationID(arg(d, "organisation", "o1")),
			Started: arg(d, "started", false), Deadline: f.deadline(d), Predicted: ms(arg(d, "predicted_ms", 100)), Wait: ms(arg(d, "wait_ms", 0))}))
	case "done":
		return format(f.machine.Step(f.now, Ended{Program: program, Late: arg(d, "late", false)}))
	case "resize":
		return format(f.machine.Step(f.now, Resize{Capacity: arg(d, "capacity", 16)}))
	case "push":
		call := &structs.ModelCall{Call: structs.CallID(arg(d, "call", "")), Attained: arg(d, "attained", int64(0)),
			Turn: uint32(arg(d, "turn", 1)), Deadline: f.deadline(d)}
		return fmt.Sprintf("%v\n", f.queue.Push(f.now, NewWaitingCall(call, arg(d, "prefill", int64(0)))))
	case "pop":
		next, ok := f.queue.Pop()
		return fmt.Sprintf("%s %v\n", next.Call, ok)
	case "cancel":
		return fmt.Sprintf("%v\n", f.queue.Remove(structs.CallID(arg(d, "call", "")), 0))
	case "expire":
		var out strings.Builder
		for _, e := range f.queue.Expire(f.now) {
			fmt.Fprintf(&out, "%s\n", e.Call)
		}
		return out.String()
	case "advance":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			return err.Error()
		}
		f.now = f.now.Add(step)
	case "expect":
		return fmt.Sprintf("running=%d organisations=%d lent=%d waiting=%d prefill=%d\n", f.machine.Running(),
			f.machine.Organisations(), f.machine.lent, f.queue.Len(), f.queue.PrefillTokens())
	default:
		return fmt.Sprintf("unknown command %q", d.Cmd)
	}
	return ""
}

// TestScripts runs the scripts under testdata: machine.txt guards capacity, shares and deadlines,
// limit.txt the limit on new programs, queue.txt the order of waiting calls.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if !strings.HasSuffix(path, ".txt") {
			return
		}
		f := &fixture{now: time.Unix(1000, 0), machine: New(Config{})}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return f.run(d) })
	})
}
