package loadreplay

import (
	"fmt"
	"testing"
	"time"
)

// overload returns a load of several times the usual from overloadFrom on: engines of many slots of which
// a quarter is slow for good and 15% at a time for a moment, entries that see each other's calls only in
// digests, a more urgent kind of shorter programs, and callers that return until their time is up. The
// usual load takes about half of what the engines can do for programs that must end in time.
func overload(seed uint64, times float64, length time.Duration) Config {
	cfg := loftLoad(seed)
	cfg.Entries, cfg.Engines, cfg.Slots, cfg.CacheTokens = 24, 60, 64, 155_037
	cfg.ProgramsPerSecond, cfg.TimeLimitFactor = 75, 2.2
	cfg.BurstX, cfg.BurstFrom, cfg.BurstTo = times, overloadFrom, overloadFrom+length
	cfg.Length = cfg.BurstTo + 9*time.Second
	cfg.Recovery = 3 * time.Second
	cfg.Urgent, cfg.UrgentTurns, cfg.UrgentTokens = 0.27, 4, 28
	cfg.LeaveAtFinish, cfg.LastingSpeeds, cfg.DisturbedShare = true, true, 0.15
	return cfg
}

const (
	overloadFrom = 8 * time.Second
	// rampTime is the time from the start of the overload until programs that started in it end.
	rampTime = 4 * time.Second
)

// TestGoodputHoldsInOverload guards against programs that are taken on although they can't end in time, so
// that those in progress are late too. While the overload lasts, the programs that end in time must not
// fall below 0.9 of their peak, in windows of 2 s, the more urgent kind must not be served less than the
// other, and programs that start 3 s after its end must be in time as those before it were.
func TestGoodputHoldsInOverload(t *testing.T) {
	for _, times := range []float64{3, 5} {
		for _, length := range []time.Duration{12 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprintf("%.0f/%s", times, length), func(t *testing.T) {
				t.Parallel()
				for _, seed := range seeds[:2] {
					checkOverload(t, seed, Run(overload(seed, times, length)), length)
				}
			})
		}
	}
}

// checkOverload checks the report of an overload against the bounds of TestGoodputHoldsInOverload.
func checkOverload(t *testing.T, seed uint64, r Report, length time.Duration) {
	t.Helper()
	peak, lowest := 0, 1<<30
	from, to := int(overloadFrom/time.Second), int((overloadFrom+length)/time.Second)
	for s := from; s+2 <= to; s++ {
		sum := r.Goodput[s] + r.Goodput[s+1]
		peak = max(peak, sum)
		if s >= from+int(rampTime/time.Second) {
			lowest = min(lowest, sum)
		}
	}
	urgent, others := float64(r.UrgentInTime)/float64(r.Urgent), float64(r.InTime-r.UrgentInTime)/float64(r.Programs-r.Urgent)
	after := float64(r.AfterBurstInTime) / float64(r.AfterBurst)
	t.Logf("seed %d: goodput %v, lowest %d of %d, %.2f of the urgent and %.2f of the others in time, %.3f after it, %d late, %d refused of %d",
		seed, r.Goodput[:to+8], lowest, peak, urgent, others, after, r.Late, r.Refused, r.Programs)
	if float64(lowest) < 0.9*float64(peak) {
		t.Errorf("seed %d: goodput falls to %d of a peak of %d in 2 s", seed, lowest, peak)
	}
	if urgent < others {
		t.Errorf("seed %d: %.2f of the urgent programs are in time and %.2f of the others", seed, urgent, others)
	}
	if after < 0.98 {
		t.Errorf("seed %d: %.3f of the programs that start after the overload are in time", seed, after)
	}
}
