package action

import (
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// existingRead goes by the row that stands in the way of the claim.
func (m *Machine) existingRead(now time.Time, msg RowRead, row Row, err error) {
	switch {
	case err == nil && m.isOwnClaim(msg, row):
		m.version = msg.Row.Version
		m.claimStored(now)
	case m.abandoned:
		m.phase = ended
	case errors.Is(err, ErrBadRow):
		m.refuseMalformedRow(err)
	case err != nil:
		m.retryExisting(now)
	case !msg.Found:
		m.conclude(m.refuse(structs.CodeFenced, structs.OutcomeNotRun, "home log %q is sealed", m.row.Owner.Log))
	case row.Payload != m.row.Payload:
		m.conclude(m.refuse(structs.CodeKeyReused, structs.OutcomeNotRun,
			"key %q was used for %s with other arguments", row.Key, row.Tool))
	default:
		m.existing, m.version = row, msg.Row.Version
		m.actOnExisting(now)
	}
}

// actOnExisting takes the recorded end, claims a row that is known not to have run, or finds out
// what became of a request that may have run.
func (m *Machine) actOnExisting(now time.Time) {
	switch m.existing.State {
	case Done:
		m.conclude(Finish{Result: m.existing.Result, Refusal: m.existing.Refusal})
	case NotRun:
		m.reclaim(now)
	case InDoubt:
		m.query(existingQuerying)
	case Intended:
		m.phase = existingSealReading
		m.emit(Read{Key: SealKey(m.existing.Owner.Log)})
	}
}

// reclaim claims the row anew, unless the log of this attempt is the reason that the claim failed.
func (m *Machine) reclaim(now time.Time) {
	if m.hasClaimed(m.version) {
		m.conclude(m.refuse(structs.CodeFenced, structs.OutcomeNotRun, "home log %q is sealed", m.row.Owner.Log))
		return
	}
	m.lastClaim = m.version
	m.claim(now, m.version)
}

// hasClaimed reports whether this attempt has tried to claim that very version.
func (m *Machine) hasClaimed(version int64) bool { return m.lastClaim == version }

// sealRead asks the service at once when the owner's log is sealed. An owner that may
// still be at work is given time.
func (m *Machine) sealRead(now time.Time, msg RowRead) {
	if msg.Err == nil && msg.Found {
		m.query(existingQuerying)
		return
	}
	m.retryExisting(now)
}

// retryExisting reads the row again later; when the wait is over the service is asked.
func (m *Machine) retryExisting(now time.Time) {
	limit := m.row.Created.Add(m.cfg.OwnerTimeout)
	if now.Before(limit) && now.Before(m.deadline) {
		m.wait(now, existingWaiting)
		return
	}
	if m.existing.State == "" {
		m.conclude(m.refuse(structs.CodePlatformOutage, structs.OutcomeUnknown,
			"the platform does not show the row of key %q", m.row.Key))
		return
	}
	m.query(existingQuerying)
}

func (m *Machine) query(p phase) {
	m.phase = p
	if m.queryStart.IsZero() {
		m.queryStart = m.claimedAt
	}
	m.emit(QueryStatus{Tool: m.request.Name, Key: m.request.Key})
}

func (m *Machine) statusQueried(now time.Time, msg StatusQueried) {
	switch m.phase {
	case querying:
		m.ownStatus(now, msg)
	case existingQuerying:
		m.existingStatus(now, msg)
	default:
	}
}

// ownStatus goes by the service's account of the request that this attempt sent.
func (m *Machine) ownStatus(now time.Time, msg StatusQueried) {
	switch {
	case msg.Err == nil && msg.State == StatusDone:
		m.row.Result = msg.Result
		m.row.Detail = "the service was asked"
		m.record(now, Done, Finish{Result: msg.Result})
	case now.Before(m.queryStart.Add(m.cfg.QueryTimeout)) && (msg.Err != nil || msg.State == StatusRunning):
		m.wait(now, queryWaiting)
	default:
		m.recordInDoubt(now, msg)
	}
}

// existingStatus goes by the service's account of another attempt's request.
func (m *Machine) existingStatus(now time.Time, msg StatusQueried) {
	if msg.Err == nil && msg.State == StatusDone {
		m.recordForOwner(now, Done, msg.Result, "the service was asked", Finish{Result: msg.Result})
		return
	}
	if m.existing.State == InDoubt {
		m.conclude(m.inDoubt(describeStatus(msg)))
		return
	}
	if msg.Err == nil && msg.State == StatusRunning && now.Before(m.deadline) {
		m.wait(now, existingWaiting)
		return
	}
	m.recordForOwner(now, InDoubt, "", describeStatus(msg), m.inDoubt(describeStatus(msg)))
}

// recordForOwner records the outcome of another attempt's request, under that attempt's name.
func (m *Machine) recordForOwner(now time.Time, state State, result, detail string, end Finish) {
	m.row = m.existing
	m.row.Result, m.row.Detail = result, detail
	m.record(now, state, end)
}

// recordInDoubt records that nobody knows whether the request ran.
func (m *Machine) recordInDoubt(now time.Time, msg StatusQueried) {
	m.row.Detail = describeStatus(msg)
	m.record(now, InDoubt, m.inDoubt(m.row.Detail))
}

func (m *Machine) inDoubt(detail string) Finish {
	return m.refuse(structs.CodeActionInDoubt, structs.OutcomeUnknown, "action %q: %s", m.row.Key, detail)
}

// describeStatus says what the service's account was worth. A service that has not seen a
// request may see it later, so "never" does not end the doubt.
func describeStatus(msg StatusQueried) string {
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
		m.queryStart = now
		m.query(querying)
	}
}

// record asks the table to hold the outcome.
func (m *Machine) record(now time.Time, state State, end Finish) {
	m.row.State, m.row.Changed = state, now
	m.outcome = end
	m.answerBy = now.Add(m.cfg.AnswerDelay)
	m.deadline = now.Add(m.cfg.RecordTimeout)
	m.writeOutcome()
}

func (m *Machine) writeOutcome() {
	m.phase = recording
	m.emit(Apply{Txn: m.row.replaceTxn(m.version)})
}

func (m *Machine) recordApplied(now time.Time, err error) {
	switch {
	case err == nil:
		m.conclude(m.outcome)
	case errors.Is(err, platform.ErrConditionFailed):
		m.read(recordReading)
	default:
		m.retryRecord(now)
	}
}

// retryRecord tries again later; it ends when the time for it is over.
func (m *Machine) retryRecord(now time.Time) {
	m.finishIfDue(now)
	if !now.Before(m.deadline) {
		m.conclude(m.outcome)
		return
	}
	m.wait(now, recordWaiting)
}

// finishIfDue tells the caller the end before the row holds it, when that takes long.
func (m *Machine) finishIfDue(now time.Time) {
	if !now.Before(m.answerBy) {
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
		m.retryRecord(now)
	case row.Owner != m.row.Owner || row.State == m.row.State || row.State == Done:
		m.concludeFromRow(row)
	case m.row.State == InDoubt && row.State != Intended:
		m.concludeFromRow(row)
	default:
		m.version = msg.Row.Version
		m.writeOutcome()
	}
}

// concludeFromRow ends with what the row says of this owner's request, or else with what is known here.
func (m *Machine) concludeFromRow(row Row) {
	if row.Owner == m.row.Owner && row.State == Done {
		m.conclude(Finish{Result: row.Result, Refusal: row.Refusal})
		return
	}
	m.conclude(m.outcome)
}
