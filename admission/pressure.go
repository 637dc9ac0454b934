package admission

import "time"

const (
	// backOff is what a late turn leaves of the limit.
	backOff = 0.9
	// backOffEvery is the time within which several late turns count once.
	backOffEvery = time.Second
	// leastLimit is the limit that is always left.
	leastLimit = 4
)

// pressure bounds the turns under way with which new programs are let in. A turn that
// ends late lowers the limit by a tenth of what was under way; turns that end in time
// while the limit is reached raise it again, by one for each limit of them.
type pressure struct {
	bound   float64
	lowered time.Time
}

// full reports whether no new program is let in beside the running turns.
func (p *pressure) full(running int) bool {
	return p.bound > 0 && running >= int(p.bound)
}

// ended records the end of a turn beside running-1 others.
func (p *pressure) ended(now time.Time, running int, late bool) {
	switch {
	case late && (p.lowered.IsZero() || now.Sub(p.lowered) >= backOffEvery):
		p.lowered = now
		p.bound = max(leastLimit, backOff*float64(running))
	case !late && p.bound > 0:
		p.bound += 1 / p.bound
	}
}
