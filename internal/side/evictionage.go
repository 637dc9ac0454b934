package side

import (
	"math"
	"time"
)

// evictionAgeWindow is the time constant of the exponential moving average of the rate
// of computed tokens.
const evictionAgeWindow = 10 * time.Second

// evictionAgeEstimator estimates the eviction age: how long an unused block stays in the
// engine's cache. This is the time in which the engine computes as many tokens as the
// cache holds. Nothing is evicted before the cache has been filled once.
type evictionAgeEstimator struct {
	// computed is the number of tokens computed so far.
	computed int64
	// rate is the average number of tokens per second, as of last.
	rate float64
	last time.Time
}

// add counts tokens computed at now.
func (e *evictionAgeEstimator) add(now time.Time, tokens int64) {
	e.computed += tokens
	e.rate = e.decayed(now) + float64(tokens)/evictionAgeWindow.Seconds()
	e.last = now
}

// decayed returns the average rate at now.
func (e *evictionAgeEstimator) decayed(now time.Time) float64 {
	if e.last.IsZero() {
		return 0
	}
	return e.rate * math.Exp(-now.Sub(e.last).Seconds()/evictionAgeWindow.Seconds())
}

// estimate returns the eviction age of a cache of limit tokens. It returns zero, for no
// eviction, before the cache has been filled once and while less than one token a second is
// computed.
func (e *evictionAgeEstimator) estimate(now time.Time, limit int64) time.Duration {
	rate := e.decayed(now)
	if e.computed < limit || rate < 1 {
		return 0
	}
	return time.Duration(float64(limit) / rate * float64(time.Second))
}
