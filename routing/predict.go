package routing

import (
	"time"

	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Defaults for figures that an upstream or a call does not give.
const (
	defaultPrefillRate = 8000.0 // tokens per second
	defaultStepTime    = 20 * time.Millisecond
	defaultBatchLimit  = 32
	// defaultGenerate is the assumed number of tokens that a call generates, unless its
	// MaxTokens is lower.
	defaultGenerate = 64
)

// predict returns the decision for a candidate, with the predictions for the call there. It
// leaves RecomputedTokens and Cost zero.
func predict(now time.Time, call *structs.ModelCall, blocks []uint64, c *Candidate) Decision {
	prompt := promptTokens(call)
	cached := 0
	if c.Cache != nil {
		cached = min(prompt, kvcache.BlockTokens*c.Cache.Cached(now, blocks))
	}
	return predictCached(call, c, prompt, cached)
}

// predictCached is like predict, with the numbers of prompt tokens and cached tokens given.
func predictCached(call *structs.ModelCall, c *Candidate, prompt, cached int) Decision {
	rate := prefillRate(&c.Load)
	slow := max(1, c.Slowness)
	generate := expectedTokens(call)
	step := c.stepTime(c.Load.Running + c.Load.Queued + 1)
	d := Decision{
		Upstream:      c.Load.Upstream,
		CachedTokens:  cached,
		PrefillTokens: prompt - cached,
		Generate:      generate,
	}
	prefill := float64(d.PrefillTokens) / rate
	wait := float64(c.Load.QueuedPrefillTokens)/rate + slotWait(c, generate, step)
	d.Prefill = seconds(slow * prefill)
	d.Wait = seconds(slow * wait)
	d.StepTime = seconds(slow * step.Seconds())
	return d
}

// slotWait returns the predicted seconds until the batch has a free slot. It assumes that
// the calls of a full batch end evenly spread over the time of one call's generation.
func slotWait(c *Candidate, generate int, step time.Duration) float64 {
	limit := batchLimit(&c.Load)
	ahead := c.Load.Running + c.Load.Queued + 1 - limit
	if ahead <= 0 {
		return 0
	}
	return float64(ahead) / float64(limit) * float64(generate) * step.Seconds()
}

// stepTime predicts the decode step time at a batch of n calls.
func (c *Candidate) stepTime(n int) time.Duration {
	n = min(n, batchLimit(&c.Load))
	if t, ok := c.StepModel.At(n); ok {
		return t
	}
	if c.Load.StepTime > 0 {
		return c.Load.StepTime
	}
	return defaultStepTime
}

func promptTokens(call *structs.ModelCall) int { return structs.Tokens(call.Messages) }

// expectedTokens returns the expected number of generated tokens.
func expectedTokens(call *structs.ModelCall) int {
	if call.MaxTokens > 0 && call.MaxTokens < defaultGenerate {
		return call.MaxTokens
	}
	return defaultGenerate
}

func prefillRate(l *structs.Load) float64 {
	if l.PrefillRate > 0 {
		return l.PrefillRate
	}
	return defaultPrefillRate
}

func batchLimit(l *structs.Load) int {
	if l.BatchLimit > 0 {
		return l.BatchLimit
	}
	return defaultBatchLimit
}

// maxPrediction limits each predicted time, so that sums of predictions do not overflow.
const maxPrediction = time.Hour

// seconds returns s seconds as a Duration, at most maxPrediction.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxPrediction.Seconds()) * float64(time.Second))
}
