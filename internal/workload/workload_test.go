package workload

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// TestGenerateIsSeeded guards against a workload that its seed does not determine, which would
// make runs with paired seeds incomparable.
func TestGenerateIsSeeded(t *testing.T) {
	for _, name := range []string{Taichung, Hokkaido} {
		d, err := NewDeployment(name)
		if err != nil {
			t.Fatal(err)
		}
		a := Generate(d, 7, 1, time.Minute)
		if !reflect.DeepEqual(a, Generate(d, 7, 1, time.Minute)) {
			t.Errorf("%s: two workloads of the same seed differ", name)
		}
		if reflect.DeepEqual(a, Generate(d, 8, 1, time.Minute)) {
			t.Errorf("%s: workloads of two seeds are equal", name)
		}
		if few := len(Generate(d, 7, 0.5, time.Minute)); few*3 > len(a)*2 {
			t.Errorf("%s: %d programs at half load, want 2 thirds of the %d at full load at most", name, few, len(a))
		}
		kinds := map[string]int{}
		for i, p := range a {
			kinds[p.Spec.Kind]++
			if p.Start >= time.Minute || i > 0 && p.Start < a[i-1].Start || len(p.Turns) == 0 {
				t.Fatalf("%s: program %d starts at %v with %d turns", name, i, p.Start, len(p.Turns))
			}
			for _, turn := range p.Turns {
				if !strings.Contains(turn.Content, "\nplan: ") {
					t.Fatalf("%s: turn of program %d has no plan", name, i)
				}
			}
		}
		if len(kinds) != len(d.Kinds) {
			t.Errorf("%s: kinds %v, want all %d", name, kinds, len(d.Kinds))
		}
	}
	if _, err := NewDeployment("nowhere"); err == nil {
		t.Error("deployment \"nowhere\" exists")
	}
}

// slowSystem is a System that answers a turn after delay and refuses the first refuse attempts
// of each turn.
type slowSystem struct {
	delay   time.Duration
	refuse  int
	refusal structs.Refusal

	mu       sync.Mutex
	starts   []time.Duration // times of the calls of Open after began
	began    time.Time
	attempts map[string]int // by program and turn
	closed   int
}

func (s *slowSystem) Open(_ context.Context, spec structs.ProgramSpec) (structs.ProgramID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = append(s.starts, time.Since(s.began))
	return structs.ProgramID(spec.Key), nil
}

func (s *slowSystem) Turn(ctx context.Context, p ProgramRef, n uint32, _, _ string, first func()) error {
	s.mu.Lock()
	key := fmt.Sprint(p.ID, n)
	s.attempts[key]++
	refused := s.attempts[key] <= s.refuse
	s.mu.Unlock()
	if refused {
		r := s.refusal
		return &r
	}
	first()
	if !sleep(ctx, s.delay) {
		return ctx.Err()
	}
	return nil
}

func (s *slowSystem) Close(context.Context, ProgramRef) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed++
	return nil
}

// TestRun guards against wrong counts and latencies for systems that are slow, refuse once or
// refuse always. A program that is not completed must count with its whole time limit.
func TestRun(t *testing.T) {
	programs := []Program{
		{Start: time.Second, Spec: structs.ProgramSpec{TurnTimeout: 4 * time.Second}, Turns: []Turn{{}, {Think: time.Second}}},
		{Start: 2 * time.Second, Spec: structs.ProgramSpec{TurnTimeout: 4 * time.Second}, Turns: []Turn{{}}},
	}
	overloaded := structs.Refusal{Code: structs.CodeOverloaded, RetryAfter: time.Second}
	for _, c := range []struct {
		name                                       string
		system                                     *slowSystem
		completed, abandoned, turns, refused, p100 int
	}{
		{"slow", &slowSystem{delay: 3 * time.Second}, 2, 0, 3, 0, 6000},
		{"slower than the timeout", &slowSystem{delay: 5 * time.Second}, 0, 2, 0, 0, 8000},
		{"refused once", &slowSystem{delay: time.Second, refuse: 1, refusal: overloaded}, 2, 0, 3, 3, 4000},
		{"final refusal", &slowSystem{refuse: 9, refusal: structs.Refusal{Code: structs.CodeQuarantined}}, 0, 0, 0, 2, 8000},
		{"attempts spent", &slowSystem{refuse: 99, refusal: structs.Refusal{RetryAfter: 700 * time.Millisecond}}, 0, 0, 0, 8, 8000},
		{"timeout spent", &slowSystem{refuse: 99, refusal: structs.Refusal{RetryAfter: 3 * time.Second}}, 0, 2, 0, 4, 8000},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := c.system
			s.began, s.attempts = time.Now(), map[string]int{}
			r := Run(t.Context(), s, programs, RunConfig{TimeScale: 1, Length: 3 * time.Second, Drain: time.Minute})
			if !reflect.DeepEqual(s.starts, []time.Duration{time.Second, 2 * time.Second}) {
				t.Errorf("%s: programs started at %v", c.name, s.starts)
			}
			// The histogram keeps only 3 significant digits, so the latency is rounded to 50 ms.
			got := []int{r.Completed, r.Abandoned, r.Turns, r.Refusals, int(r.ProgramLatency(100)+25) / 50 * 50}
			if want := []int{c.completed, c.abandoned, c.turns, c.refused, c.p100}; !reflect.DeepEqual(got, want) {
				t.Errorf("%s: completed, abandoned, turns, refusals, longest = %v, want %v", c.name, got, want)
			}
			if s.closed != 2 {
				t.Errorf("%s: %d programs closed, want 2", c.name, s.closed)
			}
		})
	}
}

// TestLedgerCountsOnlyWhatWasComputedBefore guards against blocks counted as recomputed that are
// new or cached.
func TestLedgerCountsOnlyWhatWasComputedBefore(t *testing.T) {
	l := NewLedger()
	l.Add([]uint64{1, 2}, []uint64{1, 2, 3}, 600, 0)
	l.Add([]uint64{1, 2, 3, 4}, []uint64{1, 2, 3, 4}, 1100, 256)
	if got := l.Sum(); got != (CacheCounts{Prompt: 1700, Cached: 256, Recomputed: 512}) {
		t.Errorf("sum %+v, want 1700 prompt, 256 cached and 512 recomputed tokens", got)
	}
}

// TestSummariseComparesPairedSeeds guards against ratios between runs with different seeds or
// against the wrong baseline.
func TestSummariseComparesPairedSeeds(t *testing.T) {
	trial := func(policy string, seed uint64, p95, wasted float64) Trial {
		return Trial{Policy: policy, Seed: seed, Measures: Measures{ProgramLatencyP95: p95, WastedCacheRatio: wasted}}
	}
	got := Summarise([]Trial{
		trial("a", 1, 100, 0.5), trial("b", 1, 200, 0.2), trial("ours", 1, 50, 0.1),
		trial("a", 2, 300, 0.5), trial("b", 2, 400, 0.4), trial("ours", 2, 300, 0.1),
		trial("a", 3, 200, 0.5), trial("b", 3, 100, 0.1), trial("ours", 3, 160, 0.1),
	}, []string{"a", "b"})
	ours := got[2]
	if ours.Policy != "ours" || ours.Seeds != 3 || ours.ProgramLatencyP95 != 160 {
		t.Fatalf("summary %+v, want policy ours with 3 seeds and a p95 of 160", ours)
	}
	if ours.LatencyRatio != 0.8 || ours.WasteRatio != 0.5 {
		t.Errorf("ratios %v and %v, want the medians 0.8 (over a) and 0.5 (over b)", ours.LatencyRatio, ours.WasteRatio)
	}
}
