package routing

import "time"

const (
	// hedgeFactor is the wait before a second attempt at another upstream, as a multiple of
	// the predicted time to the first token.
	hedgeFactor = 3
	// hedgeCreditPerCall is the number of second attempts that each call adds to the
	// credit.
	hedgeCreditPerCall = 0.02
	// maxHedgeCredit is the highest credit, in second attempts.
	maxHedgeCredit = 4
	// defaultHedgeMin is the least time before a second attempt.
	defaultHedgeMin = 250 * time.Millisecond
)

// Hedger decides when a repeatable call without a first token gets a second attempt at
// another upstream (a hedged request). Each call adds 0.02 to a credit of at most 4 second
// attempts. This limits them to 2% of the calls, so that they do not slow down a slow pool
// further. It is not safe for concurrent use.
type Hedger struct {
	// Min is the least time before a second attempt; 250 ms by default.
	Min    time.Duration
	credit float64
}

// Sent adds the credit of one call.
func (h *Hedger) Sent() { h.credit = min(maxHedgeCredit, h.credit+hedgeCreditPerCall) }

// Delay returns how long to wait for the first token of a call before calling Take. It
// returns false for a call that must not run twice.
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

// Take reports whether a second attempt may start now. It may if a whole credit is left and
// the other upstream is predicted to send its first token before the deadline. If so, Take
// deducts it from the credit.
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
