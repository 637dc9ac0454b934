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

var epoch = time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)

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

// runCommand runs one command of a script and returns the effects and the state that
// the command prints.
func runCommand(t *testing.T, m *Machine, now *time.Time, d *datadriven.TestData) string {
	stringArg := func(key, missing string) string {
		if d.HasArg(key) {
			d.ScanArgs(t, key, &missing)
		}
		return missing
	}
	durationArg := func(key string) time.Duration {
		v, err := time.ParseDuration(stringArg(key, "0s"))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		return v
	}
	var attempt, times int
	fmt.Sscan(stringArg("attempt", "1"), &attempt)
	fmt.Sscan(stringArg("times", "1"), &times)
	call, upstream := structs.CallID(stringArg("call", "c1")), structs.UpstreamID(stringArg("at", "m1"))
	var out []string
	for range times {
		var effects []Effect
		switch d.Cmd {
		case "advance":
			*now = now.Add(durationArg("by"))
		case "submit":
			effects = m.Step(*now, Sent{call, uint32(attempt), upstream})
		case "answer":
			effects = m.Step(*now, Succeeded{call, uint32(attempt), upstream})
		case "fail":
			f := Failed{Call: call, Attempt: uint32(attempt), Upstream: upstream, NonRepeatable: d.HasArg("once"),
				Refusal: &structs.Refusal{Code: structs.Code(stringArg("code", "upstream_failed")),
					Outcome: structs.Outcome(stringArg("outcome", "unknown")), RetryAfter: durationArg("retry-after")}}
			if d.HasArg("patience") {
				f.Deadline = now.Add(durationArg("patience"))
			}
			if d.HasArg("queued") {
				var queued int
				d.ScanArgs(t, "queued", &queued)
				f.Loads = []structs.Load{{Queued: queued, BatchLimit: 8, StepTime: 20 * time.Millisecond, QueuedPrefillTokens: int64(queued) * 1000, PrefillRate: 8000}}
			}
			effects = m.Step(*now, f)
		case "expect":
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

// TestAnyInterleaving runs random sequences of calls. Retries must stay within the
// budget, and an open circuit must admit one probe at a time and close when that probe
// succeeds.
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
				f := Failed{Call: call, Attempt: attempt, Upstream: u, NonRepeatable: rapid.Bool().Draw(rt, "once"), Deadline: now.Add(time.Second),
					Refusal: &structs.Refusal{Code: rapid.SampledFrom(codes).Draw(rt, "code"), Outcome: rapid.SampledFrom(outcomes).Draw(rt, "outcome")}}
				retries += checkDecision(rt, cfg, f, m.Step(now, f))
			}
			if limit := cfg.BudgetMax + cfg.BudgetRatio*float64(firstAttempts); float64(retries) > limit {
				rt.Fatalf("%d retries exceed the budget of %.1f", retries, limit)
			}
		}
	})
}

// checkDecision checks that a failure leads to exactly one decision, and that a retry is
// allowed for the step, the attempt number and the deadline. It returns the number of retries.
func checkDecision(rt *rapid.T, cfg Config, f Failed, effects []Effect) int {
	retries, decisions := 0, 0
	for _, e := range effects {
		switch e := e.(type) {
		case Retry:
			retries++
			decisions++
			if f.NonRepeatable && f.Refusal.Outcome != structs.OutcomeNotRun || e.Attempt > cfg.MaxAttempts || !e.At.Before(f.Deadline) {
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

// TestBackoffBounds checks that each wait lies within half of the exponential mean
// either way.
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
