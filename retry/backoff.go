package retry

import (
	"math/rand/v2"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Backoff returns how long to wait after the given attempt has failed: a random duration
// between 0.5 and 1.5 times the mean, so that calls that failed together are not retried
// together. The mean is base after the first attempt and doubles with each further one, up
// to maxMean.
func Backoff(rng *rand.Rand, base, maxMean time.Duration, attempt uint32) time.Duration {
	mean := base
	for range attempt - min(attempt, 1) { // attempt 0 counts as 1
		if mean >= maxMean { // doubling it further would overflow at high attempt numbers
			break
		}
		mean *= 2
	}
	return jitter(rng, min(mean, maxMean))
}

// jitter returns a random duration between 0.5*d and 1.5*d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(rng.Int64N(int64(d)))
}

const (
	// minRetryAfter and maxRetryAfter are the shortest and the longest RetryAfter returned
	// to a caller.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 2 * time.Minute
	// unknownLoadRetryAfter is the mean RetryAfter when no candidate's load is known or all
	// candidates are draining.
	unknownLoadRetryAfter = 5 * time.Second
	// meanAnswerSteps is the assumed mean number of decode steps of a model call.
	meanAnswerSteps = 200
)

// CallerDelay returns how long a caller should wait before it sends a call again. This is
// the predicted time until one of the candidates has a free slot, with jitter and limited
// to minRetryAfter and maxRetryAfter. Draining candidates are ignored.
func CallerDelay(rng *rand.Rand, loads []structs.Load) time.Duration {
	shortest := maxRetryAfter
	found := false
	for _, l := range loads {
		if !l.Draining {
			found = true
			shortest = min(shortest, untilFree(l))
		}
	}
	if !found {
		shortest = unknownLoadRetryAfter
	}
	return min(max(jitter(rng, shortest), minRetryAfter), maxRetryAfter)
}

// untilFree predicts the time until the upstream has a free slot. It adds the time to
// prefill the queued prompts and the time in which enough running and queued calls end. For
// these it assumes meanAnswerSteps decode steps each, with BatchLimit calls in parallel.
func untilFree(l structs.Load) time.Duration {
	var prefill time.Duration
	if l.PrefillRate > 0 {
		prefill = time.Duration(float64(l.QueuedPrefillTokens) / l.PrefillRate * float64(time.Second))
	}
	ahead := max(l.Running+l.Queued+1-l.BatchLimit, 0)
	return prefill + time.Duration(ahead)*meanAnswerSteps*l.StepTime/time.Duration(max(l.BatchLimit, 1))
}
