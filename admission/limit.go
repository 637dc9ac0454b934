package admission

import "time"

const (
	// decreaseFactor is multiplied with the turns in progress to get the limit after a late
	// turn.
	decreaseFactor = 0.9
	// decreaseInterval is the time within which several late turns lower the limit only once.
	decreaseInterval = time.Second
	// minLimit is the lowest limit.
	minLimit = 4
)

// newProgramLimit is an additive-increase, multiplicative-decrease limit on the turns in progress,
// beyond which no new program is admitted. A late turn sets it to 9/10 of the turns in progress.
// A turn in time raises it by 1/limit, so that as many turns in time as the limit raise it by 1.
// There is no limit until the first late turn.
type newProgramLimit struct {
	// limit is zero while there is no limit.
	limit float64
	// decreasedAt is when a late turn last lowered the limit.
	decreasedAt time.Time
}

// reached reports whether the running turns reach the limit.
func (l *newProgramLimit) reached(running int) bool {
	return l.limit > 0 && running >= int(l.limit)
}

// ended records the end of one of the running turns.
func (l *newProgramLimit) ended(now time.Time, running int, late bool) {
	switch {
	case late && (l.decreasedAt.IsZero() || now.Sub(l.decreasedAt) >= decreaseInterval):
		l.decreasedAt = now
		l.limit = max(minLimit, decreaseFactor*float64(running))
	case !late && l.limit > 0:
		l.limit += 1 / l.limit
	}
}
