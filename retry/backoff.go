package retry

import (
	"math/rand/v2"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Backoff returns the wait before the attempt after the given one: exponential, and
// jittered over half of itself to either side so that callers that failed together
// do not come back together.
func Backoff(rng *rand.Rand, base, limit time.Duration, attempt uint32) time.Duration {
	wait := base
	for range attempt - min(attempt, 1) {
		if wait >= limit {
			break
		}
		wait *= 2
	}
	return jitter(rng, min(wait, limit))
}

// jitter returns a duration between half of d and one and a half of d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(rng.Int64N(int64(d)))
}

const (
	// minRetryAfter and maxRetryAfter bound what a caller is told.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 2 * time.Minute
	// blindRetryAfter is told when no candidate's load is known.
	blindRetryAfter = 5 * time.Second
	// meanAnswerSteps is the number of decode steps of a typical answer.
	meanAnswerSteps = 200
)

// After returns when to come back, from the loads of the candidates: the time until
// the first of them has a free place, with jitter.
func After(rng *rand.Rand, loads []structs.Load) time.Duration {
	best := maxRetryAfter
	known := false
	for _, l := range loads {
		if !l.Draining {
			known = true
			best = min(best, untilFree(l))
		}
	}
	if !known {
		best = blindRetryAfter
	}
	return min(max(jitter(rng, best), minRetryAfter), maxRetryAfter)
}

// untilFree predicts when the upstream has a free place: after the prefill of the
// waiting prompts and after enough answers of typical length.
func untilFree(l structs.Load) time.Duration {
	var prefill time.Duration
	if l.PrefillRate > 0 {
		prefill = time.Duration(float64(l.QueuedPrefillTokens) / l.PrefillRate * float64(time.Second))
	}
	ahead := max(l.Running+l.Queued+1-l.BatchLimit, 0)
	return prefill + time.Duration(ahead)*meanAnswerSteps*l.StepTime/time.Duration(max(l.BatchLimit, 1))
}
