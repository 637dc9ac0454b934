package routing

import "time"

// stepDecay is the factor by which each observation reduces the weight of earlier ones.
const stepDecay = 0.98

// StepModel predicts an engine's decode step time from its batch size. It is a linear
// regression over the reported step times in which older reports weigh less.
type StepModel struct {
	// Decayed sums over the observations: their number, the batch sizes x, the step times y
	// in seconds, x*x and x*y.
	n, x, y, xx, xy float64
}

// Observe adds a step time reported at a batch of running calls.
func (m *StepModel) Observe(running int, step time.Duration) {
	if running <= 0 || step <= 0 {
		return
	}
	x, y := float64(running), step.Seconds()
	m.n = m.n*stepDecay + 1
	m.x = m.x*stepDecay + x
	m.y = m.y*stepDecay + y
	m.xx = m.xx*stepDecay + x*x
	m.xy = m.xy*stepDecay + x*y
}

// minVariance is the variance of the batch sizes below which the slope counts as zero.
const minVariance = 0.5

// At predicts the step time at a batch of n calls. The prediction is at least a quarter of
// the mean step time. It returns false before the first observation.
func (m *StepModel) At(n int) (time.Duration, bool) {
	if m.n == 0 {
		return 0, false
	}
	meanX, meanY := m.x/m.n, m.y/m.n
	return seconds(max(meanY/4, meanY+m.slope()*(float64(n)-meanX))), true
}

// Growth returns the seconds that one more call adds to a step. It is never negative.
func (m *StepModel) Growth() float64 {
	if m.n == 0 {
		return 0
	}
	return m.slope()
}

// slope returns the slope of the regression line, or zero if it is negative.
func (m *StepModel) slope() float64 {
	meanX, meanY := m.x/m.n, m.y/m.n
	variance := m.xx/m.n - meanX*meanX
	if variance < minVariance {
		return 0
	}
	return max(0, (m.xy/m.n-meanX*meanY)/variance)
}
