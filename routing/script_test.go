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

// world is one entry's state driven by a script with a hand-moved clock.
type world struct {
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

func newWorld() *world {
	return &world{
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

// prompt returns a conversation of about so many tokens that starts like all others of
// the same prefix.
func prompt(prefix string, tokens int) []structs.Message {
	unit := prefix + strings.Repeat(".", max(0, 15-len(prefix))) + " "
	return []structs.Message{{Role: structs.RoleUser, Content: strings.Repeat(unit, tokens/4)}}
}

func (w *world) load(d *datadriven.TestData) structs.Load {
	id := structs.UpstreamID(arg(d, "upstream", ""))
	l, ok := w.last[id]
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
	w.last[id] = l
	return l
}

func (w *world) submit(d *datadriven.TestData) string {
	id := structs.CallID(arg(d, "call", ""))
	call := &structs.ModelCall{Call: id, Program: id.Program(), Model: arg(d, "model", "x"),
		Messages: prompt(arg(d, "prefix", string(id)), arg(d, "tokens", 64)), MaxTokens: 50}
	blocks := kvcache.Blocks(call.Messages)
	got, ok := w.policy.Choose(w.now, call, blocks, w.state.Candidates(w.now, structs.KindModel))
	if !ok {
		return "no upstream\n"
	}
	w.state.Sent(w.now, call, blocks, got)
	w.calls[id] = call
	return fmt.Sprintf("%s cached=%d prefill=%d recomputed=%d wait=%v first=%v finish=%v\n", got.Upstream, got.CachedTokens,
		got.PrefillTokens, got.RecomputedTokens, got.Wait.Round(time.Millisecond), got.FirstToken().Round(time.Millisecond),
		got.Finish().Round(time.Millisecond))
}

func (w *world) show() string {
	var out strings.Builder
	for _, kind := range []structs.UpstreamKind{structs.KindModel, structs.KindApplication} {
		for _, c := range w.state.Candidates(w.now, kind) {
			fmt.Fprintf(&out, "%s running=%d queued=%d slowness=%.2f excluded=%v draining=%v\n", c.Load.Upstream,
				c.Load.Running, c.Load.Queued, c.Slowness, c.Excluded, c.Load.Draining)
		}
	}
	return out.String()
}

func (w *world) step(d *datadriven.TestData) string {
	id := structs.UpstreamID(arg(d, "upstream", ""))
	switch d.Cmd {
	case "switch":
		p, err := NewPolicy(structs.Preset{Name: "s", Policy: arg(d, "policy", "cost"), LatencyWeight: arg(d, "latency", 1.0),
			WasteWeight: arg(d, "waste", 1.0), MaxQueue: arg(d, "queue", 0)}, 0)
		if err != nil {
			return err.Error() + "\n"
		}
		w.policy = p
	case "start", "late":
		w.state.Report(w.now, w.load(d))
	case "reply":
		w.state.ReportWithReply(w.now, w.load(d))
	case "submit":
		return w.submit(d)
	case "done", "kill", "cancel":
		call := w.calls[structs.CallID(arg(d, "call", ""))]
		w.state.Done(w.now, call.Call, call.Attempt, Result{Failed: d.Cmd == "kill", Inconclusive: d.Cmd == "cancel",
			Usage: structs.Usage{GeneratedTokens: 50}})
	case "invoke":
		got, ok := w.services.Choose(arg(d, "service", "x"), w.state.Candidates(w.now, structs.KindApplication))
		if !ok {
			return "no upstream\n"
		}
		w.state.SentService(w.now, got)
		return string(got) + "\n"
	case "return":
		w.state.DoneService(w.now, id, arg(d, "failed", false))
	case "hedge":
		for range arg(d, "calls", 0) {
			w.hedger.Sent()
		}
		delay, ok := w.hedger.Delay(Decision{Prefill: time.Duration(arg(d, "first_ms", 100)) * time.Millisecond}, arg(d, "repeatable", true))
		if !ok {
			return "never\n"
		}
		other := Decision{Wait: time.Duration(arg(d, "other_ms", 0)) * time.Millisecond}
		return fmt.Sprintf("after %v take=%v\n", delay, w.hedger.Take(w.now, w.now.Add(time.Second), other))
	case "place":
		w.engines[id] = structs.Load{Upstream: id, Domain: structs.FailureDomain(arg(d, "domain", "a")), Kind: structs.KindModel,
			Models: []string{arg(d, "models", "x")}, Running: arg(d, "running", 0), Draining: arg(d, "draining", false)}
		w.placement.Step(w.now, Engines{Loads: slices.Collect(maps.Values(w.engines))})
	case "demand":
		w.placement.Step(w.now, Demand{Model: arg(d, "model", "x"), Tokens: arg(d, "tokens", int64(0))})
	case "tick":
		var out strings.Builder
		for _, o := range w.placement.Step(w.now, Tick{}) {
			fmt.Fprintf(&out, "%s loads %s for %s from %q\n", o.Upstream, o.Model, o.Replaces, o.From)
		}
		return out.String()
	case "drain":
		w.state.Drain(id)
	case "remove":
		w.state.Remove(id)
	case "advance":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			return err.Error()
		}
		w.now = w.now.Add(step)
	case "expect":
		return w.show()
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
		w := newWorld()
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return w.step(d) })
	})
}
