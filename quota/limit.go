package quota

import "time"

const (
	// Window is the time over which the bound on used requests is stated.
	Window = 5 * time.Second
	// Lease is the time for which a granted token may be used, from the sending of the question for it. A
	// shorter one would need more questions; a longer one lets more tokens of a former grantor be used beside
	// those of the present one.
	Lease = 250 * time.Millisecond
	// Handover is the time from which a new grantor does not refill yet, so that the tokens of the
	// former one have expired and that one has learned of the change.
	Handover = Lease
	// RaiseAfter is the time after which an entry that was not in touch before counts in a share. Another grantor
	// may count it until it has not heard from it for a second.
	RaiseAfter = 1100 * time.Millisecond
	// MaxGap is the longest time between two calls of Reassess by a grantor that keeps its buckets. Others
	// replace a grantor that has been silent for a second; one that was suspended for longer
	// than this may have been replaced and starts again empty.
	MaxGap = 500 * time.Millisecond
	// Settle is the time after its start in which an entry grants nothing: it may not have heard of
	// the others yet, and would grant the whole of each limit.
	Settle = 600 * time.Millisecond

	// overshoot and overshootFixed are the excess that the bound allows: (rate × window + burst) × 1.1 + 20.
	overshoot      = 0.1
	overshootFixed = 20
	// unreportedPart of the excess covers tokens that are held or used but not reported yet; without it, they
	// would count against the burst.
	unreportedPart = 0.25
	// firstReservePart of the excess is what the first stand-in, which becomes the grantor if the former one is dead,
	// may grant within a window while that does not answer; furtherReservePart is for the second.
	firstReservePart   = 0.18
	furtherReservePart = 0.04
	// MaxRank is the number of entries that are asked for a token: the grantor and its stand-ins.
	MaxRank = 3
)

// Limit is the limit of an organisation over all entries together.
type Limit struct {
	Organisation     string
	PerSecond, Burst float64
}

// Bound returns the number of requests that the organisation may use within any Window.
func (l Limit) Bound() float64 { return l.PerSecond*Window.Seconds() + l.Burst + l.excess() }

// excess is the part of the bound beyond rate and burst.
func (l Limit) excess() float64 {
	return overshoot*(l.PerSecond*Window.Seconds()+l.Burst) + overshootFixed
}

// capacity is the most that a grantor of the whole limit may have in its bucket and in the hands of entries.
func (l Limit) capacity() float64 { return l.Burst + unreportedPart*l.excess() }

// reserve is what an entry of a rank may grant within a window without a bucket.
func (l Limit) reserve(rank int) float64 {
	if rank <= 1 {
		return firstReservePart * l.excess()
	}
	return furtherReservePart * l.excess()
}
