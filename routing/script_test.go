package routing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
)

// scriptEnv holds the state of one entry that a script drives, with a clock that only the
// script advances.
type scriptEnv struct {
	now      time.Time
	state    *State
	policy   Policy
	services *Services
	hedger   Hedger
	last     map[structs.UpstreamID]structs.Load
	calls    map[structs.CallID]*structs.ModelCall

	placement *Placement
	engines   map[structs.UpstreamID]structs.Load
}

func newScriptEnv() *scriptEnv {
	return &scriptEnv{
		now:      time.Unix(1000, 0),
		state:    NewState(Config{}),
		policy:   NewCost(structs.Preset{LatencyWeight: 1, WasteWeight: 1}),
		services: NewServices(1),
		last:     map[structs.UpstreamID]structs.Load{},
		calls:    map[structs.CallID]*structs.ModelCall{},

		placement: NewPlacement(PlacementConfig{}),
		engines:   map[structs.UpstreamID]structs.Load{},
	}
}

// arg returns the value of a command's argument, or value if the argument is missing.
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

// prompt returns a conversation of about the given number of tokens. Of two conversations with
// the same prefix, the shorter is the beginning of the longer.
func prompt(prefix string, tokens int) []structs.Message {
	unit := prefix + strings.Repeat(".", max(0, 15-len(prefix))) + " "
	return []structs.Message{{Role: structs.RoleUser, Content: strings.Repeat(unit, tokens/4)}}
}

// load returns the last load report of the command's upstream, or a default one, changed by
// the command's arguments.
func (e *scriptEnv) load(d *datadriven.TestData) structs.Load {
	id := structs.UpstreamID(arg(d, "upstream", ""))
	l, ok := e.last[id]
	if !ok {
		l = structs.Load{Upstream: id, Kind: structs.KindModel, Models: []string{"x"}, BatchLimit: 8,
			KVLimitTokens: 1 << 20, PrefillRate: 4096, StepTime: 20 * time.Millisecond, Incarnation: "1"}
	}
	l.Kind = structs.UpstreamKind(arg(d, "kind", string(l.Kind)))
	l.Models = strings.Split(arg(d, "models", strings.Join(l.Models, "+")), "+")
	l.Running = arg(d, "running", l.Running)
	l.Queued = arg(d, "queued", l.Queued)
	l.KVUsedTokens = arg(d, "used", l.KVUsedTokens)
	l.Draining = arg(d, "draining", l.Draining)
	l.Incarnation = arg(d, "incarnation", l.Incarnation)
	l.Sequence = arg(d, "sequence", l.Sequence+1)
	e.last[id] = l
	return l
}

// submit routes and sends a model call and returns the decision.
func (e *scriptEnv) submit(d *datadriven.TestData) string {
	id := structs.CallID(arg(d, "call", ""))
	call := &structs.ModelCall{Call: id, Program: id.Program(), Model: arg(d, "model", "x"),
		Messages: prompt(arg(d, "prefix", string(id)), arg(d, "tokens", 64)), MaxTokens: 50}
	blocks := kvcache.Blocks(call.Messages)
	got, ok := e.policy.Choose(e.now, call, blocks, e.state.Candidates(e.now, structs.KindModel))
	if !ok {
		return "no upstream\n"
	}
	e.state.Sent(e.now, call, blocks, got)
	e.calls[id] = call
	return fmt.Sprintf("%s cached=%d prefill=%d recomputed=%d wait=%v first=%v finish=%v\n", got.Upstream, got.CachedTokens,
		got.PrefillTokens, got.RecomputedTokens, got.Wait.Round(time.Millisecond), got.FirstToken().Round(time.Millisecond),
		got.Finish().Round(time.Millisecond))
}

// show returns the state of all candidates.
func (e *scriptEnv) show() string {
	var out strings.Builder
	for _, kind := range []structs.UpstreamKind{structs.KindModel, structs.KindApplication} {
		for _, c := range e.state.Candidates(e.now, kind) {
			fmt.Fprintf(&out, "%s running=%d queued=%d slowness=%.2f excluded=%v draining=%v\n", c.Load.Upstream,
				c.Load.Running, c.Load.Queued, c.Slowness, c.Excluded, c.Load.Draining)
		}
	}
	return out.String()
}

// step runs one command of a script and returns its output. The commands are:
//
//   - report, late_report: a periodic load report; reply: the load sent with an answer
//   - submit: choose an upstream for a model call and send it
//   - done, fail, cancel: end a model call
//   - invoke, return: send and end a call to an application engine
//   - drain, remove: drain or remove an upstream
//   - switch: change the routing policy
//   - hedge: ask for a second attempt after a number of calls
//   - engine, demand, tick: inputs of Placement
//   - advance: move the clock
//   - show: print all candidates
func (e *scriptEnv) step(d *datadriven.TestData) string {
	id := structs.UpstreamID(arg(d, "upstream", ""))
	switch d.Cmd {
	case "switch":
		p, err := NewPolicy(structs.Preset{Name: "s", Policy: arg(d, "policy", "cost"), LatencyWeight: arg(d, "latency", 1.0),
			WasteWeight: arg(d, "waste", 1.0), MaxQueue: arg(d, "queue", 0)}, 0)
		if err != nil {
			return err.Error() + "\n"
		}
		e.policy = p
	case "report", "late_report":
		e.state.Report(e.now, e.load(d))
	case "reply":
		e.state.ReportWithAnswer(e.now, e.load(d))
	case "submit":
		return e.submit(d)
	case "done", "fail", "cancel":
		call := e.calls[structs.CallID(arg(d, "call", ""))]
		e.state.Done(e.now, call.Call, call.Attempt, Result{Failed: d.Cmd == "fail", Inconclusive: d.Cmd == "cancel",
			Usage: structs.Usage{GeneratedTokens: 50}})
	case "invoke":
		got, ok := e.services.Choose(arg(d, "service", "x"), e.state.Candidates(e.now, structs.KindApplication))
		if !ok {
			return "no upstream\n"
		}
		e.state.SentService(e.now, got)
		return string(got) + "\n"
	case "return":
		e.state.DoneService(e.now, id, arg(d, "failed", false))
	case "hedge":
		for range arg(d, "calls", 0) {
			e.hedger.Sent()
		}
		delay, ok := e.hedger.Delay(Decision{Prefill: time.Duration(arg(d, "first_ms", 100)) * time.Millisecond}, arg(d, "repeatable", true))
		if !ok {
			return "never\n"
		}
		other := Decision{Wait: time.Duration(arg(d, "other_ms", 0)) * time.Millisecond}
		return fmt.Sprintf("after %v take=%v\n", delay, e.hedger.Take(e.now, e.now.Add(time.Second), other))
	case "engine":
		e.engines[id] = structs.Load{Upstream: id, Domain: structs.FailureDomain(arg(d, "domain", "a")), Kind: structs.KindModel,
			Models: []string{arg(d, "models", "x")}, Running: arg(d, "running", 0), Draining: arg(d, "draining", false)}
		e.placement.Step(e.now, Engines{Loads: slices.Collect(maps.Values(e.engines))})
	case "demand":
		e.placement.Step(e.now, Demand{Model: arg(d, "model", "x"), Tokens: arg(d, "tokens", int64(0))})
	case "tick":
		var out strings.Builder
		for _, o := range e.placement.Step(e.now, Tick{}) {
			fmt.Fprintf(&out, "%s loads %s for %s from %q\n", o.Upstream, o.Model, o.Replaces, o.From)
		}
		return out.String()
	case "drain":
		e.state.Drain(id)
	case "remove":
		e.state.Remove(id)
	case "advance":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			return err.Error()
		}
		e.now = e.now.Add(step)
	case "show":
		return e.show()
	default:
		return fmt.Sprintf("unknown command %q", d.Cmd)
	}
	return ""
}

// TestScripts runs the scripts in testdata. It fails when a decision, a prediction or the
// state of an upstream differs from the expected output.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if !strings.HasSuffix(path, ".txt") {
			return
		}
		e := newScriptEnv()
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return e.step(d) })
	})
}
