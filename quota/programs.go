package quota

import (
	"math"
	"time"
)

const (
	// countRetention is the time constant of the counts from which the requests per program are learned. It is
	// some times the duration of a program, so that a burst of new ones does not lower the result.
	countRetention = 20 * time.Second
	// minPrograms is the number of programs below which the result is not used.
	minPrograms = 5
	// minBurst and programDeviations, a number of standard deviations of the arrivals within a second, may always begin
	// at once: with less, chance alone refuses programs of an organisation below its limit.
	minBurst          = 2
	programDeviations = 2
	// askProgramsBelow is the filling of the bucket of programs from which on each new one is asked for.
	askProgramsBelow = 0.7
	// keptPart of the capacity, but no more than the requests of keptPrograms, is kept for programs that have
	// started while new ones arrive too fast.
	keptPart     = 0.25
	keptPrograms = 3
	// leastPace is the pace, as a part of what the limit can serve, at which programs are admitted while the bucket of
	// requests is nearly empty; from half full on it is 1. At the full pace chance empties the bucket under
	// programs that have started.
	leastPace = 0.8
)

// programs admits new programs at the rate at which the limit can serve all of their requests. It
// answers a surge of programs of many requests: each could begin at once, and then all would lack requests.
type programs struct {
	requests, started float64
	hint              float64
	level             float64
	at                time.Time
}

// perProgram returns the learned number of requests per program, 1 if it isn't known.
func (p *programs) perProgram() float64 {
	if p.started >= minPrograms {
		return max(1, p.requests/p.started)
	}
	return max(1, p.hint)
}

// burst returns the number of programs that may begin at once.
func (p *programs) burst(l Limit, share float64) float64 {
	rate := l.PerSecond * share / p.perProgram()
	return max(l.Burst*share/p.perProgram(), minBurst+programDeviations*math.Sqrt(rate))
}

// advance refills the bucket of programs; filling is that of the bucket of requests.
func (p *programs) advance(now time.Time, l Limit, share, filling float64) {
	if p.at.IsZero() {
		p.at, p.level = now, p.burst(l, share)
	}
	elapsed := now.Sub(p.at).Seconds()
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed / countRetention.Seconds())
	p.requests, p.started = p.requests*decay, p.started*decay
	p.at = now
	pace := min(1, leastPace+2*(1-leastPace)*filling)
	p.level = min(p.burst(l, share), p.level+elapsed*pace*l.PerSecond*share/p.perProgram())
}

// count records requests that were granted and the new programs among them.
func (p *programs) count(requests, started float64) {
	p.requests += requests
	p.started += started
	p.level -= started
}

// pressed reports whether new programs arrive faster than the limit can serve them.
func (p *programs) pressed(l Limit, share float64) bool {
	return p.level < askProgramsBelow*p.burst(l, share)
}

// kept returns the tokens that new programs may not take while they arrive too fast.
func (p *programs) kept(l Limit, share float64) float64 {
	return min(keptPart*l.capacity()*share, keptPrograms*p.perProgram())
}

// retry returns when the next program can begin.
func (p *programs) retry(l Limit, share float64) time.Duration {
	rate := max(l.PerSecond*share/p.perProgram(), 0.01)
	return time.Duration((max(0, 1-p.level) / rate) * float64(time.Second))
}
