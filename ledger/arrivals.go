package ledger

import "time"

// Arrivals tells a program that runs away from one with a few sub-agents: it sends
// many turns at the same moment, where others wait for one turn, or for as many as
// their few sub-agents take. The zero value has seen nothing.
//
// It answers the pattern of a program that starts sub-agents in a loop while the table
// is away: what it is granted ahead of its row would be lost with the entries.
type Arrivals struct {
	recent  [surgeTurns]time.Time
	next    int
	surging bool
}

const (
	// surgeTurns within surgeTime mark a program that runs away; others send up to four
	// turns at once.
	surgeTurns = 6
	surgeTime  = 150 * time.Millisecond
	// SurgeWatch is how long a turn waits to see whether it is the first of a surge, whose
	// turns come within some 20 ms, before it is granted more than one turn ahead of a row.
	SurgeWatch = 40 * time.Millisecond
)

// Note records that a turn asked for tokens.
func (a *Arrivals) Note(now time.Time) {
	oldest := a.recent[a.next]
	a.recent[a.next] = now
	a.next = (a.next + 1) % surgeTurns
	if !oldest.IsZero() && now.Sub(oldest) <= surgeTime {
		a.surging = true
	}
}

// Surging reports whether the program has run away.
func (a *Arrivals) Surging() bool { return a.surging }
