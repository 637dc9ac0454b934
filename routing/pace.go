package routing

import "math"

// LatencyModel is how fast the upstreams of one service work, in milliseconds. It starts from
// the defaults and learns from what calls took.
type LatencyModel struct {
	// token is the time of one decode step of a call that runs alone.
	token float64
	// call is the time of a plain call.
	call float64
	// tokensPerMs is the speed of prefill.
	tokensPerMs float64
}

const (
	// defaultTokenMs, defaultCall and defaultPrefill are the middle of what the engines of
	// both deployments do; observations replace them within some tens of calls.
	defaultTokenMs     = 1.2
	defaultCallMs      = 60
	defaultTokensPerMs = 350
	// stepGrowth is how much longer a decode step takes for each further call in the batch.
	stepGrowth = 0.0135
	// observationWeight is the weight of one observation.
	observationWeight = 0.02
)

func newLatencyModel() *LatencyModel {
	return &LatencyModel{token: defaultTokenMs, call: defaultCallMs, tokensPerMs: defaultTokensPerMs}
}

// batchFactor returns how much longer a step takes in a batch of n than alone.
func (p *LatencyModel) batchFactor(n int) float64 { return 1 + stepGrowth*float64(max(0, n-1)) }

func (p *LatencyModel) step(n int) float64 { return p.token * p.batchFactor(n) }

func (p *LatencyModel) prefill(tokens int) float64 { return float64(tokens) / p.tokensPerMs }

// wait returns the predicted wait of a call before n others at an upstream of slots.
func (p *LatencyModel) wait(n, slots int, decode float64) float64 {
	if n < slots {
		return 0
	}
	return decode * float64(n-slots+1) / float64(slots)
}

// Token returns the time in milliseconds of one generated token in a batch of n.
func (p *LatencyModel) Token(n int) float64 { return p.step(n) }

// Prefill returns the time in milliseconds to read tokens that are not cached.
func (p *LatencyModel) Prefill(tokens int) float64 { return p.prefill(tokens) }

// observeStep learns from a step alone, as an upstream of the slowness took it.
func (p *LatencyModel) observeStep(alone, slowness float64) {
	v := clamp(alone/math.Max(slowness, minLatencyRatio), p.token/4, p.token*4)
	p.token += observationWeight * (v - p.token)
}

func (p *LatencyModel) observeCall(took float64) {
	v := math.Min(took, p.call*4)
	p.call += observationWeight * (v - p.call)
}
