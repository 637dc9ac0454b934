package admission

import "time"

// NewProgramPolicy decides whether a new program may start at the current load. Programs that have
// started must not be refused because of the load, so Admit is called only for new ones.
//
// The policy protects against a burst of new programs while the engines are already full. A program
// is useful only when all of its turns finish by its deadline, so starting every program of the
// burst would make all of them late. Less urgent programs are refused first.
type NewProgramPolicy struct {
	// BaseLimit is the load up to which the least urgent programs may start. The load is the
	// number of calls per slot of the engines.
	BaseLimit float64
	// LimitPerRank is added to the limit for each priority that is less urgent than the
	// program's, see relay.RouteTable.Rank.
	LimitPerRank float64
	// LimitIfRefused is added to the limit for a program that was refused before.
	LimitIfRefused float64
	// RetryAfter is the time after which a refused program should try again. Some of the programs
	// in progress end within about that time.
	RetryAfter time.Duration
}

// DefaultNewProgramPolicy returns the default policy: the least urgent programs start up to a
// load of 1.
func DefaultNewProgramPolicy() NewProgramPolicy {
	return NewProgramPolicy{BaseLimit: 1, LimitPerRank: 0.4, LimitIfRefused: 0.1, RetryAfter: 350 * time.Millisecond}
}

// Admit reports whether a program may start; if not, after is the time after which it should try
// again. load is the engines' load, rank the number of less urgent priorities, and refusedBefore
// reports whether the program was refused before.
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
