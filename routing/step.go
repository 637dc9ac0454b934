package routing

import "time"

// stepDecay is the weight that a StepModel keeps of the past at each observation.
const stepDecay = 0.98

// StepModel is a line through the decode step times that an engine reported at its
// batch sizes, with older reports weighing less.
type StepModel struct {
	n, x, y, xx, xy float64
}

// Observe adds one reported step time at a batch of running calls.
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

// minVariance is the variance of batch sizes below which no slope is drawn.
const minVariance = 0.5

// At predicts the step at a batch of n calls; it returns false before any observation.
func (m *StepModel) At(n int) (time.Duration, bool) {
	if m.n == 0 {
		return 0, false
	}
	meanX, meanY := m.x/m.n, m.y/m.n
	return seconds(max(meanY/4, meanY+m.slope()*(float64(n)-meanX))), true
}

// Growth returns the seconds that one more call adds to a step; never negative.
func (m *StepModel) Growth() float64 {
	if m.n == 0 {
		return 0
	}
	return m.slope()
}

func (m *StepModel) slope() float64 {
	meanX, meanY := m.x/m.n, m.y/m.n
	spread := m.xx/m.n - meanX*meanX
	if spread < minVariance {
		return 0
	}
	return max(0, (m.xy/m.n-meanX*meanY)/spread)
}
