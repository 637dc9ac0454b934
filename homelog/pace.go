package homelog

import "time"

// pace keeps the writes of one process to its part of the platform's rate.
//
// Each write moves the time before which the next commit may not start. An idle
// process gathers credit for a few writes. When the platform refuses writes for its
// rate, the interval doubles, and each write that succeeds brings it back a little.
type pace struct {
	// share is the rate of all processes together, in writes a second.
	share  float64
	min    time.Duration
	nodes  int
	burst  int
	factor float64
	next   time.Time
}

const (
	// maxPaceFactor bounds how far refusals slow the pace.
	maxPaceFactor = 32
	// paceRecovery is what one successful write leaves of the slow-down.
	paceRecovery = 0.9
)

func newPace(cfg Config) pace {
	return pace{share: cfg.PlatformWrites * cfg.Share, min: cfg.MinInterval, nodes: 1, burst: cfg.Burst, factor: 1}
}

// interval returns the time that one write takes up.
func (p *pace) interval() time.Duration {
	interval := time.Duration(float64(p.nodes) / p.share * p.factor * float64(time.Second))
	return max(interval, p.min)
}

// charge counts one write.
func (p *pace) charge(now time.Time) {
	interval := p.interval()
	floor := now.Add(-time.Duration(p.burst) * interval)
	if p.next.Before(floor) {
		p.next = floor
	}
	p.next = p.next.Add(interval)
}

// ready says whether a commit may start.
func (p *pace) ready(now time.Time) bool { return !p.next.After(now) }

func (p *pace) slowDown() { p.factor = min(p.factor*2, maxPaceFactor) }

func (p *pace) speedUp() { p.factor = max(p.factor*paceRecovery, 1) }
