package routing

import (
	"testing"
	"time"
)

// decodeAt records calls whose tokens take the given ms each in the quicker part of the answer.
func decodeAt(b *Balancer, now time.Time, id string, undisturbedMs float64, calls int) {
	for range calls {
		per := time.Duration(undisturbedMs * float64(time.Millisecond))
		b.ObserveDecode(now, "s", id, Decode{Tokens: 30, BatchSize: 1, Elapsed: 30 * per, Undisturbed: per})
	}
}

// TestSlownessDecays checks that an upstream which gets no calls for being slow gets some again.
func TestSlownessDecays(t *testing.T) {
	now, b := time.Unix(1000, 0), NewBalancer(BalancerConfig{Seed: 1})
	decodeAt(b, now, "quick", defaultTokenMs, 50)
	decodeAt(b, now, "slow", 4*defaultTokenMs, 20)
	if v := b.Slowness(now, "slow"); v < slowAbove {
		t.Fatalf("slowness %.2f after 20 calls that took 4 times as long", v)
	}
	if v := b.Slowness(now.Add(4*slownessHalfLife), "slow"); v > 1.25 {
		t.Errorf("slowness %.2f after four half-lives without calls", v)
	}
}

// TestStallsAreNoSlowness checks that calls which were stalled by prompts of others, but whose tokens came
// as quickly as elsewhere in between, don't make an upstream slow.
func TestStallsAreNoSlowness(t *testing.T) {
	now, b := time.Unix(1000, 0), NewBalancer(BalancerConfig{Seed: 1})
	decodeAt(b, now, "quick", defaultTokenMs, 50)
	per := time.Duration(defaultTokenMs * float64(time.Millisecond))
	for range 50 {
		b.ObserveDecode(now, "s", "stalled", Decode{Tokens: 30, BatchSize: 1, Elapsed: 120 * per, Undisturbed: per})
	}
	if v := b.Slowness(now, "stalled"); v > 1.1 {
		t.Errorf("slowness %.2f of an upstream that computes many prompts", v)
	}
	b.TakeUnreportedSpeeds(func(string, float64, int) bool { t.Error("stalled calls are reported as slow"); return true })
}

// TestFirstCallsMakeNoUpstreamSlow checks that an entry which has just started, at a site whose engines take
// four times the default for a token, takes none of them for slow and tells no other entry so.
func TestFirstCallsMakeNoUpstreamSlow(t *testing.T) {
	now, b := time.Unix(1000, 0), NewBalancer(BalancerConfig{Seed: 1})
	for i := range 60 {
		id := []string{"a", "b", "c"}[i%3]
		decodeAt(b, now, id, 4*defaultTokenMs*(1+0.1*float64(i%2)), 1)
		if v := b.Slowness(now, id); v > 1.2 {
			t.Fatalf("slowness %.2f of %s after %d calls that took the same everywhere", v, id, i+1)
		}
	}
	b.TakeUnreportedSpeeds(func(id string, ratio float64, _ int) bool {
		t.Errorf("%s is reported with %.1f times the expected time", id, ratio)
		return true
	})
}

// TestEventsInPairsMakeNoUpstreamSlow checks that an engine whose events arrive two at a time, so that a
// quarter of the gaps are some microseconds of any length, is not compared by them.
func TestEventsInPairsMakeNoUpstreamSlow(t *testing.T) {
	now, b := time.Unix(1000, 0), NewBalancer(BalancerConfig{Seed: 1})
	per := time.Duration(defaultTokenMs * float64(time.Millisecond))
	for i := range 100 {
		b.ObserveDecode(now, "s", "paired", Decode{Tokens: 30, BatchSize: 1, Elapsed: 30 * per, Undisturbed: time.Duration(1+i%50) * time.Microsecond})
	}
	if v := b.Slowness(now, "paired"); v != 1 {
		t.Errorf("slowness %.2f", v)
	}
	b.TakeUnreportedSpeeds(func(string, float64, int) bool { t.Error("reported as slow"); return true })
}

// TestSpeedChangesAreReportedOnce checks that operators are told of a slow upstream once, with the
// evidence, and once when it is normal again.
func TestSpeedChangesAreReportedOnce(t *testing.T) {
	now, b := time.Unix(1000, 0), NewBalancer(BalancerConfig{Seed: 1})
	take := func(at time.Time) (out []SpeedChange) {
		b.TakeSpeedChanges(at, func(c SpeedChange) { out = append(out, c) })
		return out
	}
	decodeAt(b, now, "quick", defaultTokenMs, 50)
	take(now)
	decodeAt(b, now, "slow", 4*defaultTokenMs, 3)
	b.AddPeerSpeeds(now, "slow", 4, 6)
	if got := take(now); len(got) != 1 || !got[0].Slow || got[0].ID != "slow" || got[0].Own != 3 || got[0].Peers != 6 {
		t.Errorf("reported %+v, want slow with 3 own calls and 6 of others", got)
	}
	if got := take(now); len(got) != 0 {
		t.Errorf("reported again: %+v", got)
	}
	if got := take(now.Add(10 * slownessHalfLife)); len(got) != 1 || got[0].Slow {
		t.Errorf("reported %+v, want normal again", got)
	}
}

// TestSlowUpstreamsAreUsedIfAllAreSlow checks that slowness excludes nothing: with half of the upstreams
// slow, or all, each call finds one.
func TestSlowUpstreamsAreUsedIfAllAreSlow(t *testing.T) {
	now, b := time.Unix(1000, 0), NewBalancer(BalancerConfig{Seed: 1})
	ups := []Upstream{{ID: "a", Service: "s", Slots: 6, CacheTokens: 100_000}, {ID: "b", Service: "s", Slots: 6, CacheTokens: 100_000}}
	call := CallInfo{Prompt: []PromptPart{{ID: 1, Tokens: 2000}}, Tokens: 2000, Generate: 30}
	b.AddPeerSpeeds(now, "a", 5, 8)
	if pick, ok := b.Choose(now, ups, &call, nil); !ok || pick.ID != "b" {
		t.Errorf("chose %q, %v with one of two slow; want the other", pick.ID, ok)
	}
	b.AddPeerSpeeds(now, "b", 5, 8)
	if _, ok := b.Choose(now, ups, &call, nil); !ok {
		t.Error("no upstream is left when all are slow")
	}
	if _, ok := b.Choose(now, ups, &call, []string{"b"}); !ok {
		t.Error("a slow upstream is not used though the other was tried")
	}
}
