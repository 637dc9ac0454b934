package retry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// epoch is the time at which scripts and tests start.
var epoch = time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)

// TestScripts runs the scripts in testdata. It fails when a decision, a wait, the budget or
// the state of a circuit differs from the expected output.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if !strings.HasSuffix(path, ".txt") {
			return
		}
		m, now := New(DefaultConfig(1)), epoch
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runCommand(t, m, &now, d)
		})
	})
}

// runCommand runs one command of a script. The commands sent, succeeded and failed pass the
// message of that name to the machine, and the effects are the output. state prints the
// state of the machine, and advance moves the clock. The argument times repeats a command;
// quiet hides its effects.
func runCommand(t *testing.T, m *Machine, now *time.Time, d *datadriven.TestData) string {
	stringArg := func(key, def string) string {
		if d.HasArg(key) {
			d.ScanArgs(t, key, &def)
		}
		return def
	}
	durationArg := func(key string) time.Duration {
		v, err := time.ParseDuration(stringArg(key, "0s"))
		if err != nil {
			d.Fatalf(t, "argument %s: %v", key, err)
		}
		return v
	}
	var attempt, times int
	fmt.Sscan(stringArg("attempt", "1"), &attempt)
	fmt.Sscan(stringArg("times", "1"), &times)
	call, upstream := structs.CallID(stringArg("call", "c1")), structs.UpstreamID(stringArg("upstream", "m1"))
	var out []string
	for range times {
		var effects []Effect
		switch d.Cmd {
		case "advance":
			*now = now.Add(durationArg("by"))
		case "sent":
			effects = m.Step(*now, Sent{call, uint32(attempt), upstream})
		case "succeeded":
			effects = m.Step(*now, Succeeded{call, uint32(attempt), upstream})
		case "failed":
			f := Failed{Call: call, Attempt: uint32(attempt), Upstream: upstream, Irreversible: d.HasArg("non-repeatable"),
				Refusal: &structs.Refusal{Code: structs.Code(stringArg("code", "upstream_failed")),
					Outcome: structs.Outcome(stringArg("outcome", "unknown")), RetryAfter: durationArg("retry-after")}}
			if d.HasArg("deadline") {
				f.Deadline = now.Add(durationArg("deadline"))
			}
			if d.HasArg("queued") {
				var queued int
				d.ScanArgs(t, "queued", &queued)
				f.Loads = []structs.Load{{Queued: queued, BatchLimit: 8, StepTime: 20 * time.Millisecond, QueuedPrefillTokens: int64(queued) * 1000, PrefillRate: 8000}}
			}
			effects = m.Step(*now, f)
		case "state":
			out = append(out, fmt.Sprintf("budget %.1f open %v allows %v", m.Budget(), m.OpenCircuits(), m.Allows(*now, upstream)))
		default:
			d.Fatalf(t, "unknown command %q", d.Cmd)
		}
		if !d.HasArg("quiet") {
			out = append(out, describe(effects, *now)...)
		}
	}
	return strings.Join(out, "\n")
}

// describe returns one line of output for each effect.
func describe(effects []Effect, now time.Time) (out []string) {
	for _, e := range effects {
		switch e := e.(type) {
		case Retry:
			out = append(out, fmt.Sprintf("retry as attempt %d in %v", e.Attempt, e.At.Sub(now).Round(time.Millisecond)))
		case GiveUp:
			out = append(out, fmt.Sprintf("give up: %s %s, retry after %v, budget spent %v", e.Refusal.Code, e.Refusal.Outcome, e.Refusal.RetryAfter.Round(time.Millisecond), e.BudgetSpent))
		case CircuitChanged:
			out = append(out, fmt.Sprintf("circuit of %s open=%v", e.Upstream, e.Open))
		}
	}
	return out
}

// TestAnyInterleaving runs random sequences of calls. It fails when retries exceed the
// budget, when an open circuit admits a second probe, when a circuit stays open after its
// probe has succeeded, or when checkDecision finds a wrong decision.
func TestAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := DefaultConfig(rapid.Uint64().Draw(rt, "seed"))
		cfg.BudgetMax = 5
		m, now := New(cfg), epoch
		firstAttempts, retries := 0, 0
		codes := []structs.Code{structs.CodeUpstreamFailed, structs.CodeOverloaded, structs.CodeBadRequest, structs.CodeToolTimeout, structs.CodeQuarantined}
		outcomes := []structs.Outcome{structs.OutcomeNotRun, structs.OutcomeRan, structs.OutcomeUnknown}
		for i := range rapid.IntRange(1, 120).Draw(rt, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			u := structs.UpstreamID(rapid.SampledFrom([]string{"m1", "m2"}).Draw(rt, "upstream"))
			call := structs.CallID(fmt.Sprint("c", i))
			attempt := uint32(rapid.IntRange(1, 5).Draw(rt, "attempt"))
			if !m.Allows(now, u) {
				continue
			}
			isOpen := m.circuits[u] != nil && m.circuits[u].open
			m.Step(now, Sent{call, attempt, u})
			if attempt == 1 {
				firstAttempts++
			}
			if isOpen && m.Allows(now, u) {
				rt.Fatalf("second concurrent probe allowed for %s", u)
			}
			switch rapid.IntRange(0, 2).Draw(rt, "end") {
			case 0:
				m.Step(now, Succeeded{call, attempt, u})
				if m.circuits[u].open {
					rt.Fatalf("circuit of %s still open after its probe succeeded", u)
				}
			case 1:
				f := Failed{Call: call, Attempt: attempt, Upstream: u, Irreversible: rapid.Bool().Draw(rt, "non-repeatable"), Deadline: now.Add(time.Second),
					Refusal: &structs.Refusal{Code: rapid.SampledFrom(codes).Draw(rt, "code"), Outcome: rapid.SampledFrom(outcomes).Draw(rt, "outcome")}}
				retries += checkDecision(rt, cfg, f, m.Step(now, f))
			}
			if limit := cfg.BudgetMax + cfg.BudgetRatio*float64(firstAttempts); float64(retries) > limit {
				rt.Fatalf("%d retries exceed the budget of %.1f", retries, limit)
			}
		}
	})
}

// checkDecision checks that a failure leads to exactly one decision, that a retry respects
// Irreversible, MaxAttempts and the deadline, and that a GiveUp has the outcome of the
// failure. It returns the number of retries.
func checkDecision(rt *rapid.T, cfg Config, f Failed, effects []Effect) int {
	retries, decisions := 0, 0
	for _, e := range effects {
		switch e := e.(type) {
		case Retry:
			retries++
			decisions++
			if f.Irreversible && f.Refusal.Outcome != structs.OutcomeNotRun || e.Attempt > cfg.MaxAttempts || !e.At.Before(f.Deadline) {
				rt.Fatalf("retry %+v not allowed after %+v", e, f)
			}
		case GiveUp:
			decisions++
			if e.Refusal.Outcome != f.Refusal.Outcome {
				rt.Fatalf("final answer has outcome %s, want %s as in the failure", e.Refusal.Outcome, f.Refusal.Outcome)
			}
		}
	}
	if decisions != 1 {
		rt.Fatalf("%d decisions for one failure, want 1", decisions)
	}
	return retries
}

// TestBackoffBounds fails when a wait is outside 0.5 to 1.5 times the mean, for example
// because the mean overflows at high attempt numbers.
func TestBackoffBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for attempt := range uint32(40) {
		mean := min(50*time.Millisecond<<min(max(attempt, 1)-1, 10), 2*time.Second)
		if w := Backoff(rng, 50*time.Millisecond, 2*time.Second, attempt); w < mean/2 || w > mean*3/2 {
			t.Errorf("wait after attempt %d is %v, want %v to %v", attempt, w, mean/2, mean*3/2)
		}
	}
}

// BenchmarkCall measures a call that fails once and then succeeds.
func BenchmarkCall(b *testing.B) {
	m := New(DefaultConfig(1))
	refusal := &structs.Refusal{Code: structs.CodeOverloaded, Outcome: structs.OutcomeNotRun}
	b.ReportAllocs()
	for b.Loop() {
		m.Step(epoch, Sent{"c", 1, "m1"})
		m.Step(epoch, Failed{Call: "c", Attempt: 1, Upstream: "m1", Refusal: refusal})
		m.Step(epoch, Sent{"c", 2, "m1"})
		m.Step(epoch, Succeeded{"c", 2, "m1"})
	}
}
