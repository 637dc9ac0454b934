package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// observeTurns records turns at loads up to a highest one, of which each takes idle ms and grows with the load.
func observeTurns(c *ProgramCost, turns int, highest, idle, growth float64) {
	for i := range turns {
		load := highest * float64(i%10) / 10
		c.Apply(&CostSample{Responses: []ResponseSample{{Range: rangeOf(load), Count: 1, Load: load, Ms: idle * (1 + growth*load)}}})
	}
}

// TestMoreUrgentIsNotRefusedFirst guards against a more urgent program that is refused at a state at which a
// less urgent one of the same need is admitted, whatever was observed of the two routes and whichever
// was refused before.
func TestMoreUrgentIsNotRefusedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPrograms(DefaultNewProgramPolicy())
		now := time.Unix(1000, 0)
		idle := rapid.Float64Range(10, 1000).Draw(t, "idle")
		used := rapid.Float64Range(0.2, 0.9).Draw(t, "used")
		growth := rapid.Float64Range(0, 40).Draw(t, "growth")
		for _, route := range []string{"urgent", "other"} {
			c := p.Cost(route)
			observeTurns(c, rapid.IntRange(0, 500).Draw(t, route+" turns"), 0.2, idle, growth)
			c.Apply(&CostSample{Starts: 100, Turns: 500, Given: Sum{100, 100 * 5 * idle / used}, Used: Sum{400, 400 * used}})
		}
		left := time.Duration(5 * idle / used * float64(time.Millisecond))
		start := func(route string, rank int, load float64) bool {
			s := ProgramStart{
				Route: route, Program: fmt.Sprint(route, load), Rank: rank, Left: left, Load: load, Growth: growth,
				TotalSlots: 1000, Entries: 20, DigestInterval: 100 * time.Millisecond, Retried: rapid.Bool().Draw(t, "retried"),
			}
			r := p.route(route)
			r.rank, r.usedAt = rank, now
			r.cost.SetExpectedGrowth(growth)
			return p.decide(now, r, &s).OK
		}
		start("urgent", 1, 0)
		for range 20 {
			load := rapid.Float64Range(0, 2).Draw(t, "load")
			if other, urgent := start("other", 0, load), start("urgent", 1, load); other && !urgent {
				t.Fatalf("at a load of %.3f the less urgent program is admitted and the more urgent one refused", load)
			}
		}
	})
}

// TestLimitOutlivesAnOverload guards against a limit that is learned from an overload: turns at a high load
// must not be taken for those of idle engines, nor long ones that a range is left with for its mean.
func TestLimitOutlivesAnOverload(t *testing.T) {
	c := NewProgramCost()
	c.Apply(&CostSample{Starts: 100, Turns: 500, Given: Sum{100, 100 * 2000}, Used: Sum{400, 400 * 0.5}})
	observeTurns(c, 2000, 0.04, 150, 12)
	before := c.LoadLimit(1)
	observeTurns(c, 5000, 0.2, 150, 12)
	// The load moves on, and only long turns are left at the old one: in the replay they filled the whole
	// window of 100 turns that was used before.
	c.Apply(&CostSample{Responses: []ResponseSample{{Range: rangeOf(0.12), Count: 100, Load: 12, Ms: 100 * 800}}})
	if after := c.LoadLimit(1); after < 0.75*before || after > 1.25*before {
		t.Errorf("the limit is %.3f after an overload and %.3f before", after, before)
	}
}

// TestRefusedProgramReturnsWithinBounds guards against a Retry-After of zero or of more than callers wait.
func TestRefusedProgramReturnsWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPrograms(DefaultNewProgramPolicy())
		d := p.Start(time.Unix(1000, 0), ProgramStart{
			Route: "r", Program: "p", Left: time.Duration(rapid.Int64Range(1, 1<<40).Draw(t, "left")),
			Load: rapid.Float64Range(0, 10).Draw(t, "load"), Growth: rapid.Float64Range(0, 40).Draw(t, "growth"),
			TotalSlots: 100, Entries: 30, DigestInterval: 100 * time.Millisecond,
		})
		if !d.OK && (d.After < minRetry || d.After > maxRetry) {
			t.Errorf("a refused program should return after %v", d.After)
		}
	})
}

// TestEntriesCountOnEachOther guards against a herd: what the other entries have probably admitted since
// their digests must count before it shows in the load.
func TestEntriesCountOnEachOther(t *testing.T) {
	p, now := NewPrograms(DefaultNewProgramPolicy()), time.Unix(1000, 0)
	s := ProgramStart{Route: "r", Left: 2 * time.Second, TotalSlots: 1000, Entries: 30, DigestInterval: 100 * time.Millisecond, Growth: 12}
	for i := range 20 {
		s.Program = fmt.Sprint(i)
		p.Start(now, s)
	}
	// 20 programs within 400 ms are 2.5 in 50 ms, and 29 entries do the same.
	if got, want := p.Start(now, s).Promised, 20./8*29/1000; math.Abs(got-want) > 0.01 {
		t.Errorf("a load of %.3f is promised, want %.3f", got, want)
	}
}
