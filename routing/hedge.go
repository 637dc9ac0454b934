package routing

import "time"

const (
	// hedgeFactor is how many times the predicted time to the first token a call waits
	// before a second attempt may start elsewhere.
	hedgeFactor = 3
	// hedgeCreditPerCall is the number of second attempts that one call earns.
	hedgeCreditPerCall = 0.02
	// maxHedges bounds the second attempts saved up.
	maxHedges = 4
	// defaultHedgeMin is the shortest time before a second attempt.
	defaultHedgeMin = 250 * time.Millisecond
)

// Hedger decides when a repeatable call that shows no first token gets a second
// attempt at another upstream. Second attempts are bounded to 2% of the calls, so
// that a slow pool is not slowed further. It is not safe for concurrent use.
type Hedger struct {
	// Min is the shortest time before a second attempt; 250 ms by default.
	Min    time.Duration
	credit float64
}

// Sent earns the credit of one call.
func (h *Hedger) Sent() { h.credit = min(maxHedges, h.credit+hedgeCreditPerCall) }

// Delay returns how long to wait for the first token of a call before Take is asked.
// It returns false for a call that must not run twice.
func (h *Hedger) Delay(d Decision, repeatable bool) (time.Duration, bool) {
	if !repeatable {
		return 0, false
	}
	shortest := h.Min
	if shortest <= 0 {
		shortest = defaultHedgeMin
	}
	return max(shortest, hedgeFactor*d.FirstToken()), true
}

// Take reports whether a second attempt may start now: credit is left, and the other
// upstream is predicted to give its first token before the deadline.
func (h *Hedger) Take(now, deadline time.Time, other Decision) bool {
	if h.credit < 1 {
		return false
	}
	if !deadline.IsZero() && now.Add(other.FirstToken()).After(deadline) {
		return false
	}
	h.credit--
	return true
}
