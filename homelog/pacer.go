package homelog

import "time"

// pacer limits the commits of one process, so that its writes keep to its share of the
// platform's write rate.
//
// Each write delays the earliest time of the next commit by one interval; writes other than
// commits count but are not delayed. An idle process may commit burst+1 records at once. When
// the platform refuses a request, the interval doubles, and each successful write reduces it
// by a tenth, until it has its normal length again.
type pacer struct {
	// rate is the limit of all processes together, in writes a second; nodes is the number
	// of processes that share it.
	rate        float64
	minInterval time.Duration
	nodes       int
	burst       int
	// factor is the slowdown: 1 at the normal rate.
	factor float64
	// next is the earliest time of the next commit.
	next time.Time
}

const (
	// maxSlowdown is the largest factor by which refusals lengthen the interval.
	maxSlowdown = 32
	// slowdownRecovery is the factor by which one successful write reduces the slowdown.
	slowdownRecovery = 0.9
)

func newPacer(cfg Config) pacer {
	return pacer{rate: cfg.PlatformWrites * cfg.Share, minInterval: cfg.MinInterval, nodes: 1, burst: cfg.Burst, factor: 1}
}

// interval returns the permitted average interval between two writes.
func (p *pacer) interval() time.Duration {
	interval := time.Duration(float64(p.nodes) / p.rate * p.factor * float64(time.Second))
	return max(interval, p.minInterval)
}

// charge counts one write at the time now.
func (p *pacer) charge(now time.Time) {
	interval := p.interval()
	// However long the process was idle, it may save up only burst intervals.
	floor := now.Add(-time.Duration(p.burst) * interval)
	if p.next.Before(floor) {
		p.next = floor
	}
	p.next = p.next.Add(interval)
}

// ready reports whether a commit may start at the time now.
func (p *pacer) ready(now time.Time) bool { return !p.next.After(now) }

// slowDown doubles the interval after a refused request, up to maxSlowdown times the normal one.
func (p *pacer) slowDown() { p.factor = min(p.factor*2, maxSlowdown) }

// speedUp shortens the interval after a successful write.
func (p *pacer) speedUp() { p.factor = max(p.factor*slowdownRecovery, 1) }
