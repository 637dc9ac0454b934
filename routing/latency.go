package routing

import "math"

// LatencyModel predicts the latencies of the upstreams of one service, in milliseconds.
// It starts from defaults. The times of a decode step and a plain call are moving averages
// of observed calls; the prefill rate is fitted to them.
type LatencyModel struct {
	// token is the time of one decode step of a call that runs alone.
	token float64
	// undisturbed is the same while no prompt is computed in the batch.
	undisturbed float64
	// steps and undisturbedSteps count the observations of the two.
	steps, undisturbedSteps int
	// call is the time of a plain call.
	call float64
	// finish is the time of a call from its start to its end, as predicted when it was sent.
	finish float64
	// prefillMs is the time of one prompt token that is not cached, as fitted by prefillFit.
	prefillMs  float64
	prefillFit prefillFit
	// growth is the mean number of tokens by which the prompt of a conversation grows in a turn.
	growth float64
}

const (
	// defaultTokenMs, defaultCallMs and defaultTokensPerMs are in the middle of the ranges of
	// the engines of the deployments that the gateway serves. They are initial values, which
	// follow the observations within some tens of calls.
	defaultTokenMs     = 1.2
	defaultCallMs      = 60
	defaultTokensPerMs = 350
	// defaultGrowth is the initial mean growth of a conversation's prompt in a turn, in tokens.
	defaultGrowth = 1000
	// defaultFinishMs is the initial time of a whole call; it follows the predictions.
	defaultFinishMs = 300
	// stepGrowth is the relative increase of a decode step for each further call in the
	// batch.
	stepGrowth = 0.0135
	// minComparedSteps is the number of observed calls from which upstreams are compared with each other.
	minComparedSteps = 10
	// observationWeight is the weight of one observation in the averages.
	observationWeight = 0.02
)

func newLatencyModel() *LatencyModel {
	return &LatencyModel{token: defaultTokenMs, undisturbed: defaultTokenMs, call: defaultCallMs, finish: defaultFinishMs, prefillMs: 1. / defaultTokensPerMs, growth: defaultGrowth}
}

// batchFactor returns the ratio of a step's time in a batch of n calls to that of a call
// that runs alone.
func (m *LatencyModel) batchFactor(n int) float64 { return 1 + stepGrowth*float64(max(0, n-1)) }

// step returns the time of a decode step in a batch of n calls.
func (m *LatencyModel) step(n int) float64 { return m.token * m.batchFactor(n) }

// prefill returns the time to prefill tokens.
func (m *LatencyModel) prefill(tokens int) float64 { return float64(tokens) * m.prefillMs }

// wait returns the predicted wait for a slot at an upstream with n calls in flight, each
// of which takes decode.
func (m *LatencyModel) wait(n, slots int, decode float64) float64 {
	if n < slots {
		return 0
	}
	return decode * float64(n-slots+1) / float64(slots)
}

// Token returns the time in milliseconds of one generated token in a batch of n calls.
func (m *LatencyModel) Token(n int) float64 { return m.step(n) }

// Prefill returns the time in milliseconds to prefill tokens that are not cached.
func (m *LatencyModel) Prefill(tokens int) float64 { return m.prefill(tokens) }

// Growth returns the part by which a turn that generates a number of tokens grows with each further call
// at its engine: that call lengthens each step, and its prefill stalls all of them.
func (m *LatencyModel) Growth(generate int) float64 {
	decode := m.undisturbed * float64(max(1, generate))
	prefill := m.prefillMs * m.growth
	return (stepGrowth*decode + prefill) / (decode + prefill)
}

// observeStep updates the decode step from alone, the step time of a call that runs alone
// at an upstream of the given slowness.
func (m *LatencyModel) observeStep(alone, slowness float64) {
	m.steps++
	m.token = followStep(m.token, alone/math.Max(slowness, minSlowness), m.steps)
}

// observeUndisturbed does the same for a step while no prompt is computed. It reports whether there are
// enough observations to compare upstreams with each other.
func (m *LatencyModel) observeUndisturbed(alone, slowness float64) (comparable bool) {
	m.undisturbedSteps++
	m.undisturbed = followStep(m.undisturbed, alone/math.Max(slowness, minSlowness), m.undisturbedSteps)
	return m.undisturbedSteps > minComparedSteps
}

// followStep returns the moving average after observation number n. The first ones weigh more, so that
// the default, which may be several times off, is soon forgotten. A later observation counts as at
// least a quarter of the present value and at most 4 times that value.
func followStep(value, observed float64, n int) float64 {
	if n <= minComparedSteps {
		return value + (observed-value)/float64(n)
	}
	return value + observationWeight*(clamp(observed, value/4, value*4)-value)
}

// observePrefill updates the prefill rate with the time to the first event of a call with a number
// of uncached prompt tokens.
func (m *LatencyModel) observePrefill(uncached int, took float64) {
	const prior = 1. / defaultTokensPerMs
	m.prefillFit.observe(float64(uncached), took, prior)
	m.prefillMs = m.prefillFit.msPerToken(prior)
}

// observeGrowth updates the mean growth of a conversation's prompt in a turn.
func (m *LatencyModel) observeGrowth(tokens int) {
	m.growth += observationWeight * (float64(tokens) - m.growth)
}

// observeCall updates the time of a plain call. An observation counts as at most 4 times the
// present value.
func (m *LatencyModel) observeCall(took float64) {
	v := math.Min(took, m.call*4)
	m.call += observationWeight * (v - m.call)
}

// observeFinish updates the time of a whole call with the prediction for a call that is sent.
func (m *LatencyModel) observeFinish(predicted float64) {
	m.finish += observationWeight * (predicted - m.finish)
}
