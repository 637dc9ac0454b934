package homelog

import "time"

// pacer limits the writes of one process to its share of the platform's write rate.
//
// Each write moves the time before which the next commit may not start by one interval. An
// idle process accumulates credit for burst writes. When the platform refuses a write
// because of its rate limit, the interval doubles, and each successful write reduces it by a
// tenth, until it has its normal length again.
type pace struct {
	// rate is the limit of all processes together, in writes a second; nodes is the number
	// of processes that share it.
	share float64
	min   time.Duration
	nodes int
	burst int
	// factor is the slowdown: 1 at the normal rate.
	factor float64
	// next is the earliest time of the next commit.
	next time.Time
}

const (
	// maxSlowdown is the largest factor by which refusals lengthen the interval.
	maxPaceFactor = 32
	// slowdownRecovery is the factor by which one successful write reduces the slowdown.
	paceRecovery = 0.9
)

func newPace(cfg Config) pace {
	return pace{share: cfg.PlatformWrites * cfg.Share, min: cfg.MinInterval, nodes: 1, burst: cfg.Burst, factor: 1}
}

// interval returns the time that the rate charges for one write.
func (p *pace) interval() time.Duration {
	interval := time.Duration(float64(p.nodes) / p.share * p.factor * float64(time.Second))
	return max(interval, p.min)
}

// charge accounts for one write at the time now.
func (p *pace) charge(now time.Time) {
	interval := p.interval()
	floor := now.Add(-time.Duration(p.burst) * interval)
	if p.next.Before(floor) {
		p.next = floor
	}
	p.next = p.next.Add(interval)
}

// ready reports whether a commit may start at the time now.
func (p *pace) ready(now time.Time) bool { return !p.next.After(now) }

// slowDown doubles the interval after a refused write.
func (p *pace) slowDown() { p.factor = min(p.factor*2, maxPaceFactor) }

// speedUp shortens the interval after a successful write.
func (p *pace) speedUp() { p.factor = max(p.factor*paceRecovery, 1) }
