package routing

import "math"

// prefillFit estimates the time that an engine takes to compute one prompt token that it has not
// cached, from the times to the first events of calls. Engines differ by a factor of ten in it, and
// on slow ones a call that is sent to an engine without its prompt stalls the whole batch.
//
// It is a linear regression of the time on the number of uncached tokens, in which older calls
// count less. What delays all calls alike, such as the network or a full batch, does not change the
// slope.
type prefillFit struct {
	// weight is the decayed number of observations; the others are decayed sums of the tokens x,
	// the times y and their products.
	weight, x, y, xx, xy float64
	// deviation is the moving average of the absolute residual in ms.
	deviation float64
}

const (
	// prefillDecay is the factor by which older observations decay with each new one, for a
	// memory of about 400 calls.
	prefillDecay = 1 - 1./400
	// priorSpread is the weight of the default rate, as a sum of squared deviations of the
	// tokens: that of 8 calls that differ by 1,000 tokens.
	priorSpread = 8 * 1000 * 1000
	// minFitWeight is the number of observations from which outliers are recognised.
	minFitWeight = 16
	// maxResidual bounds the residual of an observation, as a multiple of the mean deviation, so
	// that a call which waited behind a long prompt changes little.
	maxResidual = 3
	// minPrefillMs and maxPrefillMs bound the estimated time of a prompt token in milliseconds.
	minPrefillMs = 1. / 2000
	maxPrefillMs = 1. / 2
)

// observe records a call with a number of uncached tokens and the time to its first event.
func (f *prefillFit) observe(tokens, took, priorMs float64) {
	if f.weight >= minFitWeight {
		predicted := f.y/f.weight + f.msPerToken(priorMs)*(tokens-f.x/f.weight)
		residual := took - predicted
		if limit := maxResidual * f.deviation; limit > 0 {
			took = predicted + clamp(residual, -limit, limit)
		}
		f.deviation += (math.Abs(took-predicted) - f.deviation) / minFitWeight
	} else if f.weight > 0 {
		f.deviation = math.Max(f.deviation, math.Abs(took-f.y/f.weight))
	}
	f.weight = f.weight*prefillDecay + 1
	f.x = f.x*prefillDecay + tokens
	f.y = f.y*prefillDecay + took
	f.xx = f.xx*prefillDecay + tokens*tokens
	f.xy = f.xy*prefillDecay + tokens*took
}

// msPerToken returns the estimated time of an uncached token. priorMs is the default, towards which
// the estimate leans while there are few observations.
func (f *prefillFit) msPerToken(priorMs float64) float64 {
	if f.weight == 0 {
		return priorMs
	}
	spread := f.xx - f.x*f.x/f.weight
	slope := (f.xy - f.x*f.y/f.weight + priorMs*priorSpread) / (spread + priorSpread)
	return clamp(slope, minPrefillMs, maxPrefillMs)
}
