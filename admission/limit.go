package admission

import "time"

const (
	// decreaseFactor times the number of turns in progress is the limit after a late turn.
	decreaseFactor = 0.9
	// decreaseInterval is the time within which several late turns set the limit only once.
	decreaseInterval = time.Second
	// minLimit is the lowest limit, in turns in progress.
	minLimit = 4
)

// newProgramLimit is an additive-increase, multiplicative-decrease limit on the turns in progress,
// beyond which no new program is admitted. A late turn sets it to 9/10 of the turns in progress, at
// least minLimit and at most once in decreaseInterval. Each turn that ends in time raises it by
// 1/limit, which adds up to about 1 over limit such turns. There is no limit until the first late
// turn.
type newProgramLimit struct {
	// limit is zero while there is no limit.
	limit float64
	// decreasedAt is when a late turn last set the limit.
	decreasedAt time.Time
}

// reached reports whether the number of turns in progress has reached the limit.
func (l *newProgramLimit) reached(running int) bool {
	return l.limit > 0 && running >= int(l.limit)
}

// ended records the end of a turn; running is the number of turns in progress, that one included.
func (l *newProgramLimit) ended(now time.Time, running int, late bool) {
	switch {
	case late && (l.decreasedAt.IsZero() || now.Sub(l.decreasedAt) >= decreaseInterval):
		l.decreasedAt = now
		l.limit = max(minLimit, decreaseFactor*float64(running))
	case !late && l.limit > 0:
		l.limit += 1 / l.limit
	}
}
