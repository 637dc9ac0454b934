package action

import (
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// foundRead goes by the row that stands in the way of the claim.
func (m *Machine) foundRead(now time.Time, msg RowRead, row Row, err error) {
	switch {
	case err == nil && m.holds(msg, row):
		m.version = msg.Row.Version
		m.claimHeld(now)
	case m.abandoned:
		m.phase = ended
	case errors.Is(err, ErrBadRow):
		m.badRow(err)
	case err != nil:
		m.retryFound(now)
	case !msg.Found:
		m.conclude(m.refuse(structs.CodeFenced, structs.OutcomeNotRun, "home log %q is sealed", m.row.Owner.Log))
	case row.Payload != m.row.Payload:
		m.conclude(m.refuse(structs.CodeKeyReused, structs.OutcomeNotRun,
			"key %q was used for %s with other arguments", row.Key, row.Tool))
	default:
		m.found, m.version = row, msg.Row.Version
		m.goBy(now)
	}
}

// goBy takes the recorded end, claims a row that is known not to have run, or finds out
// what became of a request that may have run.
func (m *Machine) goBy(now time.Time) {
	switch m.found.State {
	case Done:
		m.conclude(Finish{Result: m.found.Result, Refusal: m.found.Refusal})
	case NotRun:
		m.goByNotRun(now)
	case InDoubt:
		m.ask(foundAsking)
	case Intended:
		m.phase = foundSeal
		m.emit(Read{Key: SealKey(m.found.Owner.Log)})
	}
}

// goByNotRun claims the row anew, unless the log of this attempt is the reason that the claim failed.
func (m *Machine) goByNotRun(now time.Time) {
	if m.claimedVersion(m.version) {
		m.conclude(m.refuse(structs.CodeFenced, structs.OutcomeNotRun, "home log %q is sealed", m.row.Owner.Log))
		return
	}
	m.lastClaim = m.version
	m.claim(now, m.version)
}

// claimedVersion reports whether this attempt has tried to claim that very version.
func (m *Machine) claimedVersion(version int64) bool { return m.lastClaim == version }

// sealRead asks the service at once when the owner's log is sealed. An owner that may
// still be at work is given time.
func (m *Machine) sealRead(now time.Time, msg RowRead) {
	if msg.Err == nil && msg.Found {
		m.ask(foundAsking)
		return
	}
	m.retryFound(now)
}

// retryFound reads the row again later; when the wait is over the service is asked.
func (m *Machine) retryFound(now time.Time) {
	limit := m.row.Created.Add(m.cfg.OwnerWait)
	if now.Before(limit) && now.Before(m.until) {
		m.wait(now, foundWaiting)
		return
	}
	if m.found.State == "" {
		m.conclude(m.refuse(structs.CodePlatformOutage, structs.OutcomeUnknown,
			"the platform does not show the row of key %q", m.row.Key))
		return
	}
	m.ask(foundAsking)
}

func (m *Machine) ask(p phase) {
	m.phase = p
	if m.asked.IsZero() {
		m.asked = m.claimed
	}
	m.emit(QueryStatus{Tool: m.request.Name, Key: m.request.Key})
}

func (m *Machine) answered(now time.Time, msg StatusQueried) {
	switch m.phase {
	case asking:
		m.ownAnswered(now, msg)
	case foundAsking:
		m.foundAnswered(now, msg)
	default:
	}
}

// ownAnswered goes by the service's account of the request that this attempt sent.
func (m *Machine) ownAnswered(now time.Time, msg StatusQueried) {
	switch {
	case msg.Err == nil && msg.State == StatusDone:
		m.row.Result = msg.Result
		m.row.Detail = "the service was asked"
		m.record(now, Done, Finish{Result: msg.Result})
	case now.Before(m.asked.Add(m.cfg.AskFor)) && (msg.Err != nil || msg.State == StatusRunning):
		m.wait(now, askWaiting)
	default:
		m.doubt(now, msg)
	}
}

// foundAnswered goes by the service's account of another attempt's request.
func (m *Machine) foundAnswered(now time.Time, msg StatusQueried) {
	if msg.Err == nil && msg.State == StatusDone {
		m.adopt(now, Done, msg.Result, "the service was asked", Finish{Result: msg.Result})
		return
	}
	if m.found.State == InDoubt {
		m.conclude(m.inDoubt(describe(msg)))
		return
	}
	if msg.Err == nil && msg.State == StatusRunning && now.Before(m.until) {
		m.wait(now, foundWaiting)
		return
	}
	m.adopt(now, InDoubt, "", describe(msg), m.inDoubt(describe(msg)))
}

// adopt records the outcome of another attempt's request, under that attempt's name.
func (m *Machine) adopt(now time.Time, state State, result, detail string, end Finish) {
	m.row = m.found
	m.row.Result, m.row.Detail = result, detail
	m.record(now, state, end)
}

// doubt records that nobody knows whether the request ran.
func (m *Machine) doubt(now time.Time, msg StatusQueried) {
	m.row.Detail = describe(msg)
	m.record(now, InDoubt, m.inDoubt(m.row.Detail))
}

func (m *Machine) inDoubt(detail string) Finish {
	return m.refuse(structs.CodeActionInDoubt, structs.OutcomeUnknown, "action %q: %s", m.row.Key, detail)
}

// describe says what the service's account was worth. A service that has not seen a
// request may see it later, so "never" does not end the doubt.
func describe(msg StatusQueried) string {
	switch {
	case msg.Err != nil:
		return "the service does not tell: " + msg.Err.Error()
	case msg.State == StatusNotReceived:
		return "the service has not seen the request so far"
	case msg.State == StatusRunning:
		return "the service is still running the request"
	}
	return "the service's account is " + string(msg.State)
}

// sent goes by the answer to the request of this attempt.
func (m *Machine) sent(now time.Time, msg Sent) {
	if m.phase != sending {
		return
	}
	switch {
	case msg.Refusal == nil:
		m.row.Result = msg.Result
		m.record(now, Done, Finish{Result: msg.Result})
	case msg.Refusal.Outcome == structs.OutcomeRan:
		m.row.Refusal = msg.Refusal
		m.record(now, Done, Finish{Refusal: msg.Refusal})
	case msg.Refusal.Outcome == structs.OutcomeNotRun:
		m.row.Detail = msg.Refusal.Detail
		m.record(now, NotRun, Finish{Refusal: msg.Refusal})
	default:
		m.asked = now
		m.ask(asking)
	}
}

// record asks the table to hold the outcome.
func (m *Machine) record(now time.Time, state State, end Finish) {
	m.row.State, m.row.Changed = state, now
	m.outcome = end
	m.finishBy = now.Add(m.cfg.RecordWait)
	m.until = now.Add(m.cfg.RecordFor)
	m.apply()
}

func (m *Machine) apply() {
	m.phase = recording
	m.emit(Apply{Txn: m.row.put(m.version)})
}

func (m *Machine) recordApplied(now time.Time, err error) {
	switch {
	case err == nil:
		m.conclude(m.outcome)
	case errors.Is(err, platform.ErrConditionFailed):
		m.read(recordReading)
	default:
		m.waitRecord(now)
	}
}

// waitRecord tries again later; it ends when the time for it is over.
func (m *Machine) waitRecord(now time.Time) {
	m.finishInTime(now)
	if !now.Before(m.until) {
		m.conclude(m.outcome)
		return
	}
	m.wait(now, recordWaiting)
}

// finishInTime tells the caller the end before the row holds it, when that takes long.
func (m *Machine) finishInTime(now time.Time) {
	if !now.Before(m.finishBy) {
		m.finish(m.outcome)
	}
}

// recordRead compares the row with the outcome. The owner's knowledge replaces a doubt;
// a doubt replaces nothing but a claim.
func (m *Machine) recordRead(now time.Time, msg RowRead, row Row, err error) {
	switch {
	case errors.Is(err, ErrBadRow) || (err == nil && !msg.Found):
		m.conclude(m.outcome)
	case err != nil:
		m.waitRecord(now)
	case row.Owner != m.row.Owner || row.State == m.row.State || row.State == Done:
		m.recordSettled(row)
	case m.row.State == InDoubt && row.State != Intended:
		m.recordSettled(row)
	default:
		m.version = msg.Row.Version
		m.apply()
	}
}

// recordSettled ends with what the row says of this owner's request, or else with what is known here.
func (m *Machine) recordSettled(row Row) {
	if row.Owner == m.row.Owner && row.State == Done {
		m.conclude(Finish{Result: row.Result, Refusal: row.Refusal})
		return
	}
	m.conclude(m.outcome)
}
