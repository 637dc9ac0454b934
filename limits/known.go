package limits

import "time"

// Statement is what an answer of an upstream says about its limit.
type Statement struct {
	// Limited reports whether the upstream names a limit, PerSecond the requests per second that it
	// accepts. 0 means none.
	Limited   bool
	PerSecond float64
	// At is the time of the statement. That of an answer without a limit is the time at which its
	// request was sent: the answer may have been made at any time after it.
	At time.Time
}

// Change is what a statement changed.
type Change uint8

const (
	// Unchanged means that the statement told nothing new.
	Unchanged Change = iota
	// Begun means that the upstream has become limited.
	Begun
	// Altered means that the limit has another value.
	Altered
	// Ended means that the upstream is not limited any more.
	Ended
)

// String returns the change's name.
func (c Change) String() string {
	switch c {
	case Begun:
		return "begun"
	case Altered:
		return "altered"
	case Ended:
		return "ended"
	default:
		return "unchanged"
	}
}

// Known holds the latest statement of each upstream. Upstreams are named by a hash of their id and
// start, so a limit ends with the process that named it. A limit stays in force until an answer comes
// without it: an upstream that gets no calls may still be in need. Known is not safe for concurrent use.
type Known struct {
	statements map[uint64]Statement
}

// NewKnown returns a Known without limits.
func NewKnown() *Known { return &Known{statements: map[uint64]Statement{}} }

// Observe applies a statement, from an answer or another entry. Of two statements the later one
// counts, and of two at the same time the one that names a limit.
func (k *Known) Observe(upstream uint64, s Statement) Change {
	last, known := k.statements[upstream]
	if known && (s.At.Before(last.At) || s.At.Equal(last.At) && last.Limited) || !known && !s.Limited {
		return Unchanged
	}
	k.statements[upstream] = s
	switch {
	case s.Limited && !last.Limited:
		return Begun
	case s.Limited && s.PerSecond != last.PerSecond:
		return Altered
	case !s.Limited && last.Limited:
		return Ended
	default:
		return Unchanged
	}
}

// Limit returns the limit of an upstream. ok is false if it has none.
func (k *Known) Limit(upstream uint64) (s Statement, ok bool) {
	s = k.statements[upstream]
	return s, s.Limited
}

// Statement returns the latest statement of an upstream that has named a limit before.
func (k *Known) Statement(upstream uint64) (s Statement, ok bool) {
	s, ok = k.statements[upstream]
	return s, ok
}

// Each calls f for each upstream that has a limit.
func (k *Known) Each(f func(upstream uint64, s Statement)) {
	for upstream, s := range k.statements {
		if s.Limited {
			f(upstream, s)
		}
	}
}

// Retain drops the statements of upstreams for which keep returns false.
func (k *Known) Retain(keep func(upstream uint64, s Statement) bool) {
	for upstream, s := range k.statements {
		if !keep(upstream, s) {
			delete(k.statements, upstream)
		}
	}
}
