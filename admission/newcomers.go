package admission

import "time"

// NewProgramPolicy decides whether a program that has not begun may begin now. Programs under
// way are never refused for the load.
//
// It answers the pattern of a burst of new programs over engines that are full already:
// a program earns its worth only as a whole and by a finish time, so letting all of them
// begin makes all of them late. The less urgent kinds are refused first.
type NewProgramPolicy struct {
	// BaseLimit is the load of the engines, in calls for each of their places, up to which the
	// least urgent programs begin.
	BaseLimit float64
	// LimitPerRank is how much more load each more urgent rank may meet.
	LimitPerRank float64
	// LimitIfRefused is how much more load a program may meet that was refused before.
	LimitIfRefused float64
	// RetryAfter is when a refused program should come back: about the time in which some of
	// those under way end.
	RetryAfter time.Duration
}

// DefaultNewProgramPolicy returns the defaults: the least urgent begin up to a load of 1.
func DefaultNewProgramPolicy() NewProgramPolicy {
	return NewProgramPolicy{BaseLimit: 1, LimitPerRank: 0.4, LimitIfRefused: 0.1, RetryAfter: 350 * time.Millisecond}
}

// Admit reports whether a program may begin, and otherwise when to come back. load is
// that of the engines, rank how many less urgent ranks there are, returned whether the
// program was refused before.
func (n NewProgramPolicy) Admit(load float64, rank int, returned bool) (ok bool, after time.Duration) {
	limit := n.BaseLimit + n.LimitPerRank*float64(rank)
	if returned {
		limit += n.LimitIfRefused
	}
	if load <= limit {
		return true, 0
	}
	return false, n.RetryAfter
}
