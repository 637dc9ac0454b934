package admission

import "time"

// NewProgramPolicy decides whether a new program may start at the current load. A program that
// has started is never refused because of the load.
//
// It protects against a burst of new programs while the engines are already full. A program has
// value only when all of its turns finish by its deadline, so starting every program of the
// burst would make all of them late. The less urgent programs are refused first.
type NewProgramPolicy struct {
	// BaseLimit is the load up to which the least urgent programs may start. The load is the
	// number of calls per slot of the engines.
	BaseLimit float64
	// LimitPerRank is added to the limit for each less urgent priority below the program's.
	LimitPerRank float64
	// LimitIfRefused is added to the limit for a program that was refused before.
	LimitIfRefused float64
	// RetryAfter is the time after which a refused program should try again: about the time in
	// which some of the programs in progress end.
	RetryAfter time.Duration
}

// DefaultNewProgramPolicy returns the default policy: the least urgent programs start up to a
// load of 1.
func DefaultNewProgramPolicy() NewProgramPolicy {
	return NewProgramPolicy{BaseLimit: 1, LimitPerRank: 0.4, LimitIfRefused: 0.1, RetryAfter: 350 * time.Millisecond}
}

// Admit reports whether a program may start, and otherwise after which time it should try again.
// load is the engines' load, rank the number of less urgent priorities, and refusedBefore whether
// the program was refused before.
func (n NewProgramPolicy) Admit(load float64, rank int, refusedBefore bool) (ok bool, after time.Duration) {
	limit := n.BaseLimit + n.LimitPerRank*float64(rank)
	if refusedBefore {
		limit += n.LimitIfRefused
	}
	if load <= limit {
		return true, 0
	}
	return false, n.RetryAfter
}
