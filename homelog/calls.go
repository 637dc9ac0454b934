package homelog

import (
	"time"
)

// call is one outstanding request to the platform, repeated until its outcome is final.
type call struct {
	// build returns the effect with the call number filled in.
	build func(id uint64) Effect
	// final reports whether the outcome ends the call; after any other outcome the request
	// is sent again.
	final func(Outcome) bool
	// done receives the result that ends the call.
	done func(Result)
	// write reports whether the pacer counts the request as a write.
	write bool
	// attempts counts the results that were not final.
	attempts int
}

// timer runs a function at a given time. Timers of the same time run in sequence order.
type timer struct {
	at       time.Time
	sequence uint64
	run      func()
}

// finalRead reports whether the outcome ends a read or the deletion of an object. Both are
// repeated after any other outcome, which is harmless even if the request took effect.
func finalRead(o Outcome) bool { return o == Done || o == NotFound }

// finalApply reports whether the outcome ends a transaction. After Unknown the code that issued
// the transaction has to find out whether it took effect.
func finalApply(o Outcome) bool { return o != NotApplied }

// getRow reads a row and repeats the request until the outcome is Done or NotFound.
func (m *Machine) getRow(key string, done func(Result)) {
	m.issue(&call{
		build: func(id uint64) Effect { return GetRow{Call: id, Key: key} },
		final: finalRead,
		done:  done,
	})
}

// getObject reads an object and repeats the request until the outcome is Done or NotFound.
func (m *Machine) getObject(key string, done func(Result)) {
	m.issue(&call{
		build: func(id uint64) Effect { return GetObject{Call: id, Key: key} },
		final: finalRead,
		done:  done,
	})
}

// scanAll reads all rows with the prefix whose keys are greater than after, page by page.
func (m *Machine) scanAll(prefix, after string, done func([]Row)) {
	const page = 64 // rows per request
	var rows []Row
	var next func(after string)
	next = func(after string) {
		m.issue(&call{
			build: func(id uint64) Effect { return ScanRows{Call: id, Prefix: prefix, After: after, Limit: page} },
			final: finalRead,
			done: func(r Result) {
				rows = append(rows, r.Rows...)
				if len(r.Rows) < page {
					done(rows)
					return
				}
				next(r.Rows[len(r.Rows)-1].Key)
			},
		})
	}
	next(after)
}

// putObject writes an object, repeating the request until it is Done. The content of a key
// never changes, so a repeated write is harmless.
func (m *Machine) putObject(key string, value []byte, done func()) {
	m.issue(&call{
		build: func(id uint64) Effect { return PutObject{Call: id, Key: key, Value: value} },
		final: func(o Outcome) bool { return o == Done },
		done:  func(Result) { done() },
		write: true,
	})
}

// deleteObject deletes an object and repeats the request until the outcome is Done or NotFound.
func (m *Machine) deleteObject(key string, done func()) {
	m.issue(&call{
		build: func(id uint64) Effect { return DeleteObject{Call: id, Key: key} },
		final: finalRead,
		done:  func(Result) { done() },
		write: true,
	})
}

// apply applies a transaction and passes Done, ConditionFailed or Unknown to done. A
// transaction that was not applied is sent again.
func (m *Machine) apply(txn Txn, done func(Outcome)) {
	m.issue(&call{
		build: func(id uint64) Effect { return Apply{Call: id, Txn: txn} },
		final: finalApply,
		done:  func(r Result) { done(r.Outcome) },
		write: true,
	})
}

// issue emits the request under a new call number. Once the machine has stopped, nothing is
// sent.
func (m *Machine) issue(c *call) {
	if m.stopped {
		return
	}
	m.lastCall++
	m.calls[m.lastCall] = c
	if c.write {
		m.pacer.charge(m.now)
	}
	m.emit(c.build(m.lastCall))
}

// result passes an answer to its call. An answer to an unknown call is late or a duplicate
// and is ignored.
func (m *Machine) result(r Result) {
	c := m.calls[r.Call]
	if c == nil {
		return
	}
	delete(m.calls, r.Call)
	m.observe(c, r.Outcome)
	if c.final(r.Outcome) {
		c.done(r)
		return
	}
	c.attempts++
	m.after(m.backoff(c.attempts), func() { m.issue(c) })
}

// observe updates the start of the outage and the write rate from the outcome of a call.
func (m *Machine) observe(c *call, o Outcome) {
	switch o {
	case Unknown:
		if m.outageSince.IsZero() {
			m.outageSince = m.now
		}
	case NotApplied:
		m.pacer.slowDown()
	default:
		m.outageSince = time.Time{}
		if c.write {
			m.pacer.speedUp()
		}
	}
}

// backoff returns the wait after the given number of failed attempts. Its upper bound doubles
// with each attempt from BackoffMin to at most BackoffMax, and the wait is drawn uniformly
// between half of the bound and the whole.
func (m *Machine) backoff(attempts int) time.Duration {
	d := m.cfg.BackoffMin
	for i := 1; i < attempts && d < m.cfg.BackoffMax; i++ {
		d *= 2
	}
	d = min(d, m.cfg.BackoffMax)
	return d/2 + time.Duration(m.rng.Int64N(int64(d/2)+1))
}

// after runs f when the wait has passed.
func (m *Machine) after(wait time.Duration, f func()) {
	m.lastTimer++
	m.timers = append(m.timers, timer{at: m.now.Add(wait), sequence: m.lastTimer, run: f})
}

// runTimers runs the due timers, earliest first.
func (m *Machine) runTimers() {
	for !m.stopped {
		i := m.earliestTimer()
		if i < 0 || m.timers[i].at.After(m.now) {
			return
		}
		t := m.timers[i]
		m.timers = append(m.timers[:i], m.timers[i+1:]...)
		t.run()
	}
}

// earliestTimer returns the index of the timer that runs next, or -1.
func (m *Machine) earliestTimer() int {
	best := -1
	for i, t := range m.timers {
		if best < 0 || t.at.Before(m.timers[best].at) || t.at.Equal(m.timers[best].at) && t.sequence < m.timers[best].sequence {
			best = i
		}
	}
	return best
}
