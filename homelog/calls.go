package homelog

import (
	"time"
)

// call is one outstanding request to the platform.
type call struct {
	// build returns the effect with the call number filled in.
	build func(id uint64) Effect
	// final says that the outcome ends the call; any other is answered by a repetition.
	final func(Outcome) bool
	done  func(Result)
	write bool
	tries int
}

// timer runs a function at a time; sequence orders those of the same time.
type timer struct {
	at       time.Time
	sequence uint64
	run      func()
}

func finalRead(o Outcome) bool  { return o == Done || o == NotFound }
func finalApply(o Outcome) bool { return o != NotApplied }

// getRow reads a row until the platform answers.
func (m *Machine) getRow(key string, done func(Result)) {
	m.issue(&call{
		build: func(id uint64) Effect { return GetRow{Call: id, Key: key} },
		final: finalRead,
		done:  done,
	})
}

// getObject reads an object until the platform answers.
func (m *Machine) getObject(key string, done func(Result)) {
	m.issue(&call{
		build: func(id uint64) Effect { return GetObject{Call: id, Key: key} },
		final: finalRead,
		done:  done,
	})
}

// scanAll reads all rows with the prefix whose keys are greater than after.
func (m *Machine) scanAll(prefix, after string, done func([]Row)) {
	const page = 64
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

// putObject writes an object until it is written. Its content never changes, so
// repeating the write is harmless.
func (m *Machine) putObject(key string, value []byte, done func()) {
	m.issue(&call{
		build: func(id uint64) Effect { return PutObject{Call: id, Key: key, Value: value} },
		final: func(o Outcome) bool { return o == Done },
		done:  func(Result) { done() },
		write: true,
	})
}

// deleteObject deletes an object until the platform answers.
func (m *Machine) deleteObject(key string, done func()) {
	m.issue(&call{
		build: func(id uint64) Effect { return DeleteObject{Call: id, Key: key} },
		final: finalRead,
		done:  func(Result) { done() },
		write: true,
	})
}

// apply applies a transaction; done gets Done, ConditionFailed or Unknown.
func (m *Machine) apply(txn Txn, done func(Outcome)) {
	m.issue(&call{
		build: func(id uint64) Effect { return Apply{Call: id, Txn: txn} },
		final: finalApply,
		done:  func(r Result) { done(r.Outcome) },
		write: true,
	})
}

// issue sends the request. Nothing is sent once the log is sealed.
func (m *Machine) issue(c *call) {
	if m.stopped {
		return
	}
	m.lastCall++
	m.calls[m.lastCall] = c
	if c.write {
		m.pace.charge(m.now)
	}
	m.emit(c.build(m.lastCall))
}

// result hands an answer to its call. Answers to unknown calls are late or doubled.
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
	c.tries++
	m.after(m.backoff(c.tries), func() { m.issue(c) })
}

// observe keeps the outage clock and the pace.
func (m *Machine) observe(c *call, o Outcome) {
	switch o {
	case Unknown:
		if m.outageSince.IsZero() {
			m.outageSince = m.now
		}
	case NotApplied:
		m.pace.slowDown()
	default:
		m.outageSince = time.Time{}
		if c.write {
			m.pace.speedUp()
		}
	}
}

// backoff returns the wait before the given repetition: doubled each time within the
// bounds of the settings, and drawn from its upper half.
func (m *Machine) backoff(tries int) time.Duration {
	d := m.cfg.BackoffMin
	for i := 1; i < tries && d < m.cfg.BackoffMax; i++ {
		d *= 2
	}
	d = min(d, m.cfg.BackoffMax)
	return d/2 + time.Duration(m.rng.Int64N(int64(d/2)+1))
}

// after runs f once the wait has passed.
func (m *Machine) after(wait time.Duration, f func()) {
	m.lastTimer++
	m.timers = append(m.timers, timer{at: m.now.Add(wait), sequence: m.lastTimer, run: f})
}

// runTimers runs the timers that are due, earliest first.
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
