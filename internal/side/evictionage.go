package side

import (
	"math"
	"time"
)

// evictionAgeWindow is the time constant of the average rate of computed tokens.
const evictionAgeWindow = 10 * time.Second

// evictionAgeEstimator estimates the eviction age: how long an unused block stays in the
// engine's cache. This is the time in which the engine computes as many tokens as the
// cache holds. Until that many have been computed for the first time, nothing is evicted.
type evictionAgeEstimator struct {
	// computed is the number of tokens computed so far.
	computed int64
	// rate is the average number of tokens per second, as of last.
	rate float64
	last time.Time
}

// add counts tokens computed at now.
func (t *evictionAgeEstimator) add(now time.Time, tokens int64) {
	t.computed += tokens
	t.rate = t.decayed(now) + float64(tokens)/evictionAgeWindow.Seconds()
	t.last = now
}

// decayed returns the average rate at now.
func (t *evictionAgeEstimator) decayed(now time.Time) float64 {
	if t.last.IsZero() {
		return 0
	}
	return t.rate * math.Exp(-now.Sub(t.last).Seconds()/evictionAgeWindow.Seconds())
}

// estimate returns the eviction age of a cache of limit tokens, or zero while nothing
// is evicted.
func (t *evictionAgeEstimator) estimate(now time.Time, limit int64) time.Duration {
	rate := t.decayed(now)
	if t.computed < limit || rate < 1 {
		return 0
	}
	return time.Duration(float64(limit) / rate * float64(time.Second))
}
