package retry

import (
	"math/rand/v2"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Backoff returns how long to wait after the given attempt has failed. The wait starts
// at base and doubles with each attempt up to limit. It is jittered by up to half of
// itself either way, so that callers that failed together do not retry together.
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

// jitter returns a random duration between 0.5*d and 1.5*d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(rng.Int64N(int64(d)))
}

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After sent to callers.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 2 * time.Minute
	// unknownLoadRetryAfter is used when no candidate's load is known.
	unknownLoadRetryAfter = 5 * time.Second
	// meanAnswerSteps is the number of decode steps of a typical answer.
	meanAnswerSteps = 200
)

// After returns the time after which a caller should retry: the time until the first
// of the candidates is predicted to have a free slot, with jitter. Draining candidates
// are left out.
func After(rng *rand.Rand, loads []structs.Load) time.Duration {
	shortest := maxRetryAfter
	known := false
	for _, l := range loads {
		if !l.Draining {
			known = true
			shortest = min(shortest, untilFree(l))
		}
	}
	if !known {
		shortest = unknownLoadRetryAfter
	}
	return min(max(jitter(rng, shortest), minRetryAfter), maxRetryAfter)
}

// untilFree predicts the time until the upstream has a free slot: the prefill of the
// queued prompts, plus the decoding of as many answers of typical length as have to
// end first.
func untilFree(l structs.Load) time.Duration {
	var prefill time.Duration
	if l.PrefillRate > 0 {
		prefill = time.Duration(float64(l.QueuedPrefillTokens) / l.PrefillRate * float64(time.Second))
	}
	ahead := max(l.Running+l.Queued+1-l.BatchLimit, 0)
	return prefill + time.Duration(ahead)*meanAnswerSteps*l.StepTime/time.Duration(max(l.BatchLimit, 1))
}
