package action

import (
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// existingRead handles the row that is read after a claim failed or had no answer, or before an
// old claim is used.
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
		// After a failed claim, a missing row means that the claim's other condition failed: the home
		// log is sealed. A row that was deleted since an earlier read gives the same refusal.
		m.conclude(m.refusalFinish(structs.CodeFenced, structs.OutcomeNotRun, "home log %q is sealed", m.row.Owner.Log))
	case row.Payload != m.row.Payload:
		m.conclude(m.refusalFinish(structs.CodeKeyReused, structs.OutcomeNotRun,
			"key %q was used for %s with other arguments", row.Key, row.Tool))
	default:
		m.existing, m.version = row, msg.Row.Version
		m.actOnExisting(now)
	}
}

// actOnExisting returns the recorded outcome, claims a row whose request did not run, or queries
// the outcome of a request that may have run.
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

// reclaim claims a row whose request did not run. If this attempt has already claimed the same
// version, the claim failed because its home log is sealed, and the action is refused.
func (m *Machine) reclaim(now time.Time) {
	if m.hasClaimed(m.version) {
		m.conclude(m.refusalFinish(structs.CodeFenced, structs.OutcomeNotRun, "home log %q is sealed", m.row.Owner.Log))
		return
	}
	m.lastClaim = m.version
	m.claim(now, m.version)
}

// hasClaimed reports whether this attempt has already claimed the given version of the row.
func (m *Machine) hasClaimed(version int64) bool { return m.lastClaim == version }

// sealRead queries the service at once if the owner's home log is sealed. Otherwise the owner may
// still be running the action, and the machine waits for it.
func (m *Machine) sealRead(now time.Time, msg RowRead) {
	if msg.Err == nil && msg.Found {
		m.query(existingQuerying)
		return
	}
	m.retryExisting(now)
}

// retryExisting waits before it reads the row again. After the shorter of OwnerTimeout and ClaimTimeout
// it queries the service, or refuses the action if no row could be read.
func (m *Machine) retryExisting(now time.Time) {
	// Created is the start of this attempt.
	limit := m.row.Created.Add(m.cfg.OwnerTimeout)
	if now.Before(limit) && now.Before(m.deadline) {
		m.wait(now, existingWaiting)
		return
	}
	if m.existing.State == "" {
		m.conclude(m.refusalFinish(structs.CodePlatformOutage, structs.OutcomeUnknown,
			"the platform does not show the row of key %q", m.row.Key))
		return
	}
	m.query(existingQuerying)
}

// query requests the status of the action's request and waits for it in the given phase.
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

// ownStatus handles the status of the request that this attempt sent.
func (m *Machine) ownStatus(now time.Time, msg StatusQueried) {
	switch {
	case msg.Err == nil && msg.Status == StatusDone:
		m.row.Result = msg.Result
		m.row.Detail = "the service was asked"
		m.record(now, Done, Finish{Result: msg.Result})
	case now.Before(m.queryStart.Add(m.cfg.QueryTimeout)) && (msg.Err != nil || msg.Status == StatusRunning):
		m.wait(now, queryWaiting)
	default:
		m.recordInDoubt(now, msg)
	}
}

// existingStatus handles the status of another attempt's request. While that request runs, it waits
// until the deadline.
func (m *Machine) existingStatus(now time.Time, msg StatusQueried) {
	if msg.Err == nil && msg.Status == StatusDone {
		m.recordForOwner(now, Done, msg.Result, "the service was asked", Finish{Result: msg.Result})
		return
	}
	if m.existing.State == InDoubt {
		m.conclude(m.inDoubtFinish(describeStatus(msg)))
		return
	}
	if msg.Err == nil && msg.Status == StatusRunning && now.Before(m.deadline) {
		m.wait(now, existingWaiting)
		return
	}
	m.recordForOwner(now, InDoubt, "", describeStatus(msg), m.inDoubtFinish(describeStatus(msg)))
}

// recordForOwner stores the outcome of another attempt's request. That attempt stays the owner.
func (m *Machine) recordForOwner(now time.Time, state State, result, detail string, end Finish) {
	m.row = m.existing
	m.row.Result, m.row.Detail = result, detail
	m.record(now, state, end)
}

// recordInDoubt stores that it is unknown whether the request ran.
func (m *Machine) recordInDoubt(now time.Time, msg StatusQueried) {
	m.row.Detail = describeStatus(msg)
	m.record(now, InDoubt, m.inDoubtFinish(m.row.Detail))
}

// inDoubtFinish returns the Finish of an action in doubt. It does not emit it.
func (m *Machine) inDoubtFinish(detail string) Finish {
	return m.refusalFinish(structs.CodeActionInDoubt, structs.OutcomeUnknown, "action %q: %s", m.row.Key, detail)
}

// describeStatus returns the reason why the status leaves the action in doubt. A service that has
// not received a request may receive it later, so "never" does not resolve the action.
func describeStatus(msg StatusQueried) string {
	switch {
	case msg.Err != nil:
		return "the service does not tell: " + msg.Err.Error()
	case msg.Status == StatusNotReceived:
		return "the service has not seen the request so far"
	case msg.Status == StatusRunning:
		return "the service is still running the request"
	}
	return "the service's account is " + string(msg.Status)
}

// sent handles the answer to the request of this attempt. If the outcome is unknown, the service is
// queried.
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

// record begins to store the outcome in the row. The caller receives end when the row holds the
// outcome, or after MaxAnswerDelay.
func (m *Machine) record(now time.Time, state State, end Finish) {
	m.row.State, m.row.Changed = state, now
	m.outcome = end
	m.answerBy = now.Add(m.cfg.MaxAnswerDelay)
	m.deadline = now.Add(m.cfg.RecordTimeout)
	m.writeOutcome()
}

// writeOutcome replaces the row if it has the version m.version.
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

// retryRecord waits before it reads the row again. After RecordTimeout it ends with the outcome,
// although the row may not hold it.
func (m *Machine) retryRecord(now time.Time) {
	m.finishIfDue(now)
	if !now.Before(m.deadline) {
		m.conclude(m.outcome)
		return
	}
	m.wait(now, recordWaiting)
}

// finishIfDue reports the outcome to the caller before the row holds it, once MaxAnswerDelay has
// passed.
func (m *Machine) finishIfDue(now time.Time) {
	if !now.Before(m.answerBy) {
		m.finish(m.outcome)
	}
}

// recordRead compares the row with the outcome. An outcome known to the owner replaces "in doubt";
// "in doubt" replaces only a claim.
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

// concludeFromRow ends with the answer in the row if the row has the same owner and is done, else
// with the outcome known to this attempt.
func (m *Machine) concludeFromRow(row Row) {
	if row.Owner == m.row.Owner && row.State == Done {
		m.conclude(Finish{Result: row.Result, Refusal: row.Refusal})
		return
	}
	m.conclude(m.outcome)
}
