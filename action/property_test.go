package action

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/buckthornroute/buckthornroute/structs"
	"pgregory.net/rapid"
)

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// input is one request for the action of one key, output what the caller was told.
type input struct{ arguments string }

type output struct {
	result  string
	refusal structs.Code
	outcome structs.Outcome
}

// state is what a register that runs its request at most once holds.
type state struct {
	ran       bool
	arguments string
	result    string
}

// onceModel is the action of one key as callers may see it: the first request that runs
// decides the result for all. A caller that is told "not run" saw nothing of its own run;
// one that is told "unknown" may see its request run or not.
var onceModel = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(before, in, out any) (bool, any) {
		s, i, o := before.(state), in.(input), out.(output)
		switch {
		case o.refusal == structs.CodeKeyReused:
			return !s.ran || s.arguments != i.arguments, s
		case o.outcome == structs.OutcomeNotRun || o.outcome == structs.OutcomeUnknown:
			return true, s
		case s.ran:
			return s.arguments == i.arguments && s.result == o.result, s
		}
		return true, state{true, i.arguments, o.result}
	},
	Equal: func(a, b any) bool { return a == b },
}

// crowd drives attempts of several homes at one action.
type crowd struct {
	*bench
	t       *rapid.T
	history []porcupine.Operation
	begun   map[string]int64
	clock   int64
	names   int
	settled bool
}

func (c *crowd) tickClock() int64 {
	c.clock++
	return c.clock
}

func (c *crowd) live(t *rapid.T) *attempt {
	var names []string
	for _, name := range sortedKeys(c.attempts) {
		if c.attempts[name].pending != nil {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		t.Skip("no attempt is at work")
	}
	return c.attempts[rapid.SampledFrom(names).Draw(t, "attempt")]
}

func (c *crowd) begin(t *rapid.T) {
	c.names++
	name := fmt.Sprintf("a%03d", c.names)
	log := structs.LogID(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "log"))
	arguments := rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(t, "arguments")
	c.begun[name] = c.tickClock()
	c.start(name, log, structs.ToolRequest{
		Organisation: "council", Name: "publish", Key: "k", Arguments: arguments, Attempt: uint32(c.names),
	})
	c.settle(c.attempts[name])
}

// settle takes an attempt's end into the history.
func (c *crowd) settle(a *attempt) {
	if len(a.ends) > 1 {
		c.t.Fatalf("%s ended %d times", a.name, len(a.ends))
	}
	begun, waiting := c.begun[a.name]
	if len(a.ends) == 0 || !waiting {
		return
	}
	delete(c.begun, a.name)
	end := a.ends[0]
	o := output{result: end.Result}
	if r := end.Refusal; r != nil {
		o = output{refusal: r.Code, outcome: r.Outcome}
	}
	if o.outcome == structs.OutcomeRan {
		o.result = failedResult
	}
	c.history = append(c.history, porcupine.Operation{
		ClientId: len(c.history), Input: input{a.m.request.Arguments}, Output: o, Call: begun, Return: c.tickClock(),
	})
}

// check holds the service's runs against the rule. An operator that settles as "not run"
// what is still on its way takes the rule upon itself, so settling comes with no attempt at work.
func (c *crowd) check(*rapid.T) {
	if c.ran["k"] > 1 {
		c.t.Fatalf("the action ran %d times", c.ran["k"])
	}
	for _, name := range sortedKeys(c.attempts) {
		a := c.attempts[name]
		if len(a.ends) > 0 && a.ends[0].Refusal != nil && a.ends[0].Refusal.Outcome == structs.OutcomeNotRun {
			if send, isSend := a.pending.(Send); isSend {
				c.t.Fatalf("%s said not run and sends %s", name, send.Request.Name)
			}
		}
	}
}

func (c *crowd) idle() bool {
	for _, name := range sortedKeys(c.attempts) {
		if c.attempts[name].pending != nil {
			return false
		}
	}
	return len(c.delayed) == 0
}

// TestInterleavings draws attempts of several homes at one action, with faults of each
// effect, pauses, kills, seals and operators. The action runs at most once, every history
// of callers is one of a register that runs once, and whoever was told "not run" sends nothing.
func TestInterleavings(t *testing.T) {
	faults := []fault{noFault, noFault, noFault, lost, cut, late, hold, refused, failed}
	rapid.Check(t, func(t *rapid.T) {
		c := &crowd{bench: newBench(), t: t, begun: map[string]int64{}}
		t.Repeat(map[string]func(*rapid.T){
			"begin":  c.begin,
			"begin2": c.begin,
			"next": func(t *rapid.T) {
				a := c.live(t)
				c.deliver(a, rapid.SampledFrom(faults).Draw(t, "fault"))
				c.settle(a)
			},
			"run": func(t *rapid.T) {
				a := c.live(t)
				c.run(a)
				c.settle(a)
			},
			"kill": func(t *rapid.T) {
				a := c.live(t)
				delete(c.attempts, a.name)
			},
			"cancel": func(t *rapid.T) {
				a := c.live(t)
				c.step(a, Cancel{})
				c.settle(a)
			},
			"release": func(*rapid.T) {
				for _, txn := range c.delayed {
					_ = c.apply(txn)
				}
				c.delayed = nil
			},
			"seal":   func(t *rapid.T) { c.seal(structs.LogID(rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "sealed"))) },
			"outage": func(t *rapid.T) { c.down = rapid.Bool().Draw(t, "down") },
			"service": func(t *rapid.T) {
				c.account = rapid.SampledFrom([]RequestStatus{StatusNotReceived, StatusRunning, "mute"}).Draw(t, "account")
			},
			"advance": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 60000).Draw(t, "ms")) * time.Millisecond)
			},
			"operator": func(*rapid.T) {
				if c.idle() && c.rows[RowKey("council", "key:k")].Version > 0 {
					_ = c.bench.settle("council", "key:k", c.ran["k"] > 0)
					c.settled = true
				}
			},
			"": c.check,
		})
		// A result that only the operator gave differs from the service's own.
		if !c.settled && !porcupine.CheckOperations(onceModel, c.history) {
			t.Fatalf("no order of a register that runs once explains %+v", c.history)
		}
	})
}
