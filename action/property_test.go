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

// input is one request for the action of one key; output is the answer to its caller.
type input struct{ arguments string }

type output struct {
	result  string
	refusal structs.Code
	outcome structs.Outcome
}

// state is the state of a register that runs its request at most once.
type state struct {
	ran       bool
	arguments string
	result    string
}

// onceModel is the action of one key as its callers may observe it: the first request that runs
// decides the result for all. The request of a caller that receives "not run" did not run; the
// request of one that receives "unknown" may have run or not.
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

// interleaving runs attempts of several homes at one action in a random order.
type interleaving struct {
	*harness
	t       *rapid.T
	history []porcupine.Operation
	// started holds the logical time at which each attempt without an answer began; clock is the
	// last logical time used.
	started map[string]int64
	clock   int64
	// count is the number of attempts begun.
	count int
	// settled reports whether an operator has settled the action.
	settled bool
}

// tickClock returns the next logical time.
func (c *interleaving) tickClock() int64 {
	c.clock++
	return c.clock
}

// pickRunning draws one of the attempts that have not ended.
func (c *interleaving) pickRunning(t *rapid.T) *attempt {
	var names []string
	for _, name := range sortedKeys(c.attempts) {
		if c.attempts[name].pending != nil {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		t.Skip("no attempt is running")
	}
	return c.attempts[rapid.SampledFrom(names).Draw(t, "attempt")]
}

func (c *interleaving) begin(t *rapid.T) {
	c.count++
	name := fmt.Sprintf("a%03d", c.count)
	log := structs.LogID(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "log"))
	arguments := rapid.SampledFrom([]string{"1", "1", "1", "2"}).Draw(t, "arguments")
	c.started[name] = c.tickClock()
	c.start(name, log, structs.ToolRequest{
		Organisation: "council", Name: "publish", Key: "k", Arguments: arguments, Attempt: uint32(c.count),
	})
	c.recordEnd(c.attempts[name])
}

// recordEnd adds the answer of an attempt to the history, once it has one.
func (c *interleaving) recordEnd(a *attempt) {
	if len(a.finishes) > 1 {
		c.t.Fatalf("%s ended %d times", a.name, len(a.finishes))
	}
	startedAt, waiting := c.started[a.name]
	if len(a.finishes) == 0 || !waiting {
		return
	}
	delete(c.started, a.name)
	end := a.finishes[0]
	o := output{result: end.Result}
	if r := end.Refusal; r != nil {
		o = output{refusal: r.Code, outcome: r.Outcome}
	}
	if o.outcome == structs.OutcomeRan {
		o.result = failedResult
	}
	c.history = append(c.history, porcupine.Operation{
		ClientId: len(c.history), Input: input{a.m.request.Arguments}, Output: o, Call: startedAt, Return: c.tickClock(),
	})
}

// check verifies that the action ran at most once, and that no attempt sends its request after
// it answered "not run". An operator who settles an action as "not run" while its request is still
// under way can cause a second run, so the test settles only while no attempt is running.
func (c *interleaving) check(*rapid.T) {
	if c.runs["k"] > 1 {
		c.t.Fatalf("the action ran %d times", c.runs["k"])
	}
	for _, name := range sortedKeys(c.attempts) {
		a := c.attempts[name]
		if len(a.finishes) > 0 && a.finishes[0].Refusal != nil && a.finishes[0].Refusal.Outcome == structs.OutcomeNotRun {
			if send, isSend := a.pending.(Send); isSend {
				c.t.Fatalf("%s answered not run and still sends %s", name, send.Request.Name)
			}
		}
	}
}

// idle reports whether no attempt is running and no transaction is delayed.
func (c *interleaving) idle() bool {
	for _, name := range sortedKeys(c.attempts) {
		if c.attempts[name].pending != nil {
			return false
		}
	}
	return len(c.delayed) == 0
}

// TestInterleavings draws attempts of several homes at one action in a random order, with faults
// in each effect, pauses, kills, seals and operators. It guards against an action that runs twice,
// a history of answers that onceModel does not allow, and a request that is sent after its caller
// received "not run". The step begin2 is a second entry for begin, so that it is drawn more often.
func TestInterleavings(t *testing.T) {
	faults := []fault{noFault, noFault, noFault, loseAnswer, cut, late, delayAnswer, refused, failed}
	rapid.Check(t, func(t *rapid.T) {
		c := &interleaving{harness: newHarness(), t: t, started: map[string]int64{}}
		t.Repeat(map[string]func(*rapid.T){
			"begin":  c.begin,
			"begin2": c.begin,
			"next": func(t *rapid.T) {
				a := c.pickRunning(t)
				c.deliver(a, rapid.SampledFrom(faults).Draw(t, "fault"))
				c.recordEnd(a)
			},
			"run": func(t *rapid.T) {
				a := c.pickRunning(t)
				c.run(a)
				c.recordEnd(a)
			},
			"kill": func(t *rapid.T) {
				a := c.pickRunning(t)
				delete(c.attempts, a.name)
			},
			"cancel": func(t *rapid.T) {
				a := c.pickRunning(t)
				c.step(a, Cancel{})
				c.recordEnd(a)
			},
			"release": func(*rapid.T) {
				for _, txn := range c.delayed {
					_ = c.apply(txn)
				}
				c.delayed = nil
			},
			"seal":   func(t *rapid.T) { c.seal(structs.LogID(rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "sealed"))) },
			"outage": func(t *rapid.T) { c.outage = rapid.Bool().Draw(t, "down") },
			"service": func(t *rapid.T) {
				c.status = rapid.SampledFrom([]RequestStatus{StatusNotReceived, StatusRunning, "silent"}).Draw(t, "status")
			},
			"advance": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 60000).Draw(t, "ms")) * time.Millisecond)
			},
			"operator": func(*rapid.T) {
				if c.idle() && c.rows[RowKey("council", "key:k")].Version > 0 {
					_ = c.settle("council", "key:k", c.runs["k"] > 0)
					c.settled = true
				}
			},
			"": c.check,
		})
		// A result that an operator entered differs from the service's, so the model doesn't apply.
		if !c.settled && !porcupine.CheckOperations(onceModel, c.history) {
			t.Fatalf("the history is not linearizable as a register that runs once: %+v", c.history)
		}
	})
}
