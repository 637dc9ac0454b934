package side

import (
	"math"
	"time"
)

// turnoverWindow is the time over which the rate of computed tokens is smoothed.
const turnoverWindow = 10 * time.Second

// turnover estimates how long a cached block that nobody uses survives: the time in
// which the engine computes as many tokens as its cache holds. Until the cache has
// been filled once, nothing is evicted.
type turnover struct {
	computed int64
	// rate is in tokens a second at the time last.
	rate float64
	last time.Time
}

func (t *turnover) add(now time.Time, tokens int64) {
	t.computed += tokens
	t.rate = t.decayed(now) + float64(tokens)/turnoverWindow.Seconds()
	t.last = now
}

func (t *turnover) decayed(now time.Time) float64 {
	if t.last.IsZero() {
		return 0
	}
	return t.rate * math.Exp(-now.Sub(t.last).Seconds()/turnoverWindow.Seconds())
}

// estimate returns zero while nothing is evicted.
func (t *turnover) estimate(now time.Time, limit int64) time.Duration {
	rate := t.decayed(now)
	if t.computed < limit || rate < 1 {
		return 0
	}
	return time.Duration(float64(limit) / rate * float64(time.Second))
}
