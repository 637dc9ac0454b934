package action

import (
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// phase is the input that the machine waits for. An attempt begins with the claim phases. Once it is
// the owner it passes through sending, and querying if it receives no outcome, to the record phases.
// If the claim fails, the existing phases decide from the row, which another attempt may own. They
// lead to a new claim, to the record phases or to the end.
type phase uint8

const (
	// claiming waits for the answer to the transaction that makes this attempt the owner.
	claiming phase = iota
	// claimWaiting waits until it is time to read the row again.
	claimWaiting
	// claimReading waits for the row, which shows whether the claim took effect.
	claimReading
	// confirming waits for the row, which shows whether an old claim is still valid.
	confirming
	// sending waits for the service's answer to the request.
	sending
	// querying waits for the status of this attempt's request at the service.
	querying
	// queryWaiting waits until it is time to query the service again.
	queryWaiting
	// existingReading waits for the row after a claim failed; another attempt may own it.
	existingReading
	// existingSealReading waits for the seal row of the other attempt's home log.
	existingSealReading
	// existingWaiting waits until it is time to read the action's row again.
	existingWaiting
	// existingQuerying waits for the status of the other attempt's request at the service.
	existingQuerying
	// recording waits for the answer to the transaction that stores the outcome.
	recording
	// recordWaiting waits until it is time to read the row again.
	recordWaiting
	// recordReading waits for the row, which shows whether the outcome is stored.
	recordReading
	// ended waits for nothing.
	ended
)

// Machine runs one attempt at one action. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	request structs.ToolRequest
	// row is the value that this attempt writes to the table.
	row   Row
	phase phase
	// version is the version that the row must have for the next transaction to take effect.
	version int64
	// lastClaim is the version of the last not-run row that this attempt claimed; 0 for none.
	lastClaim int64
	// claimedAt is the time of the last claim or of its last confirmation.
	claimedAt time.Time
	// deadline is when the machine stops repeating the claim and waiting for another attempt. Later it
	// is when the machine stops repeating the write of the outcome, or stops the cleanup of an
	// abandoned claim.
	deadline time.Time
	// queryStart is the time from which QueryTimeout counts for this attempt's request.
	queryStart time.Time
	// existing is the row last read that is not an open claim of this attempt.
	existing Row
	// owned reports whether the table has stored this attempt's claim.
	owned bool
	// backoffs is the number of waits so far.
	backoffs int
	// abandoned reports whether the attempt was given up before sending, so that it must not send any
	// more.
	abandoned bool
	// finished reports whether the caller has its answer. Once outcome is set, answerBy is the time by
	// which the caller receives it even if the row does not hold it yet.
	finished bool
	answerBy time.Time
	outcome  Finish
	effects  []Effect
}

// New returns a machine that runs the request for the given owner.
func New(now time.Time, cfg Config, owner Owner, request structs.ToolRequest) *Machine {
	return &Machine{
		cfg:     cfg,
		request: request,
		row: Row{
			Organisation: request.Organisation,
			Key:          KeyOf(request),
			Program:      request.Program,
			Tool:         request.Name,
			Arguments:    request.Arguments,
			Payload:      payloadHash(request),
			Owner:        owner,
			State:        Intended,
			Created:      now,
			Changed:      now,
		},
	}
}

// Start begins with the claim of the row and returns the first effects.
func (m *Machine) Start(now time.Time) []Effect {
	m.deadline = now.Add(m.cfg.ClaimTimeout)
	m.claim(now, platform.Absent)
	return m.takeEffects()
}

// Step takes one message and returns the effects. A message that the current phase does not wait
// for is ignored.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	switch msg := msg.(type) {
	case Applied:
		m.applied(now, msg.Err)
	case RowRead:
		m.rowRead(now, msg)
	case Sent:
		m.sent(now, msg)
	case StatusQueried:
		m.statusQueried(now, msg)
	case Tick:
		m.tick(now)
	case Cancel:
		m.cancel(now)
	}
	return m.takeEffects()
}

// Ended reports whether no effect will follow.
func (m *Machine) Ended() bool { return m.phase == ended }

func (m *Machine) takeEffects() []Effect {
	out := m.effects
	m.effects = nil
	return out
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// finish reports the end of the action to the caller. Only the first call has an effect.
func (m *Machine) finish(end Finish) {
	if m.finished {
		return
	}
	m.finished = true
	m.emit(end)
}

// conclude reports the end to the caller and ends the machine without a further write.
func (m *Machine) conclude(end Finish) {
	m.phase = ended
	m.finish(end)
}

// refusalFinish returns the Finish that refuses the action. It does not emit it.
func (m *Machine) refusalFinish(code structs.Code, outcome structs.Outcome, format string, args ...any) Finish {
	r := structs.Refusalf(code, outcome, m.stepName(), format, args...)
	r.Peer = m.request.Name
	return Finish{Refusal: r}
}

func (m *Machine) stepName() string { return "action " + m.request.Name }

// read requests the action's row and waits for it in the given phase.
func (m *Machine) read(p phase) {
	m.phase = p
	m.emit(Read{Key: RowKey(m.row.Organisation, m.row.Key)})
}

// wait requests a tick after the next backoff and waits for it in the given phase.
func (m *Machine) wait(now time.Time, p phase) {
	m.phase = p
	until := now.Add(m.backoff())
	// The caller must not wait for its answer beyond answerBy.
	if p == recordWaiting && !m.finished && m.answerBy.After(now) && m.answerBy.Before(until) {
		until = m.answerBy
	}
	m.emit(Wait{Until: until})
}

// backoff returns the next wait, which doubles each time up to maxDoublings times. Jitter derived
// from the owner's nonce spreads the attempts that began together. It changes the wait by up to half
// of wait/jitterDivisor either way.
func (m *Machine) backoff() time.Duration {
	const (
		maxDoublings  = 4
		jitterDivisor = 4
	)
	wait := m.cfg.RetryBackoff << min(m.backoffs, maxDoublings)
	m.backoffs++
	jitter := wait / jitterDivisor
	return wait - jitter/2 + time.Duration(m.row.Owner.Nonce%256)*jitter/256
}

// claim writes the row with this attempt as its owner, if the row has the given version.
func (m *Machine) claim(now time.Time, version int64) {
	m.phase = claiming
	m.version = version
	m.claimedAt = now
	m.emit(Apply{Txn: m.row.claimTxn(version)})
}

func (m *Machine) applied(now time.Time, err error) {
	switch m.phase {
	case claiming:
		m.claimApplied(now, err)
	case recording:
		m.recordApplied(now, err)
	default:
	}
}

// claimApplied handles the answer to the claim. After a failed condition the row shows why. Without
// an answer, or if the platform refused the transaction, the row is read again after a wait, and
// shows whether the claim must be repeated.
func (m *Machine) claimApplied(now time.Time, err error) {
	switch {
	case err == nil:
		// The write raises the version, here taken to be by 1. If it is not, the write of the outcome
		// fails and recordRead finds the right version.
		m.version++
		m.claimStored(now)
	case errors.Is(err, platform.ErrConditionFailed):
		m.read(existingReading)
	case errors.Is(err, platform.ErrNotApplied):
		m.retryClaim(now, "the platform did not take the claim")
	default:
		m.retryClaim(now, "the platform did not answer the claim")
	}
}

// retryClaim waits before the row is read again. After the deadline it abandons the action.
func (m *Machine) retryClaim(now time.Time, detail string) {
	if !now.Before(m.deadline) {
		m.abandon(now, detail)
		return
	}
	m.wait(now, claimWaiting)
}

// abandon refuses the action; nothing was sent and nothing will be. The machine continues until
// its claim is known to be gone or is replaced by "not run", since a claim that stays would look
// like a request that was sent. It stops after RecordTimeout.
func (m *Machine) abandon(now time.Time, detail string) {
	if !m.abandoned {
		m.abandoned = true
		m.deadline = now.Add(m.cfg.RecordTimeout)
		end := m.refusalFinish(structs.CodePlatformOutage, m.unsentOutcome(), "%s; nothing was sent", detail)
		end.Refusal.RetryAfter = m.cfg.ClaimTimeout
		m.finish(end)
	}
	if !now.Before(m.deadline) {
		m.phase = ended
		return
	}
	m.wait(now, claimWaiting)
}

// claimStored continues once the table holds this attempt's claim: it sends the request, or
// first confirms a claim older than MaxClaimAge. An abandoned claim is recorded as not run.
func (m *Machine) claimStored(now time.Time) {
	m.owned = true
	switch {
	case m.abandoned:
		m.row.Detail = "given up before it was sent"
		m.record(now, NotRun, Finish{})
	case now.Sub(m.claimedAt) > m.cfg.MaxClaimAge:
		m.claimedAt = now
		m.read(confirming)
	default:
		m.phase = sending
		m.emit(Send{Request: m.request})
	}
}

// unsentOutcome returns the outcome of an attempt that sends nothing and hasn't seen the row. For
// a resent request it is unknown, since an earlier attempt may have sent the request.
func (m *Machine) unsentOutcome() structs.Outcome {
	if m.request.Resent {
		return structs.OutcomeUnknown
	}
	return structs.OutcomeNotRun
}

func (m *Machine) tick(now time.Time) {
	switch m.phase {
	case claimWaiting:
		m.read(claimReading)
	case queryWaiting:
		m.query(querying)
	case existingWaiting:
		m.read(existingReading)
	case recordWaiting:
		m.finishIfDue(now)
		m.read(recordReading)
	default:
	}
}

func (m *Machine) rowRead(now time.Time, msg RowRead) {
	if m.phase == existingSealReading {
		m.sealRead(now, msg)
		return
	}
	row, err := decode(msg)
	switch m.phase {
	case claimReading:
		m.claimRead(now, msg, row, err)
	case confirming:
		m.confirmClaim(now, msg, row, err)
	case existingReading:
		m.existingRead(now, msg, row, err)
	case recordReading:
		m.recordRead(now, msg, row, err)
	default:
	}
}

// decode returns the decoded row, or the zero Row if there is none. It returns the table's error,
// or ErrBadRow.
func decode(msg RowRead) (Row, error) {
	if msg.Err != nil || !msg.Found {
		return Row{}, msg.Err
	}
	return DecodeRow(msg.Row.Value)
}

// claimRead repeats a claim if the row shows that it did not take effect and that the action may be
// claimed. It leaves any other row to existingRead.
func (m *Machine) claimRead(now time.Time, msg RowRead, row Row, err error) {
	switch {
	case errors.Is(err, ErrBadRow):
		m.refuseMalformedRow(err)
	case err != nil:
		m.retryClaim(now, "the platform does not tell whether the claim was taken")
	case !msg.Found || (row.State == NotRun && row.Owner != m.row.Owner):
		m.claimAgain(now, msg)
	default:
		m.existingRead(now, msg, row, nil)
	}
}

// isOwnClaim reports whether the row is this attempt's claim.
func (m *Machine) isOwnClaim(msg RowRead, row Row) bool {
	return msg.Found && row.Owner == m.row.Owner && row.State == Intended
}

// claimAgain repeats a claim that did not take effect. An abandoned attempt ends instead, as its
// claim is known to be gone.
func (m *Machine) claimAgain(now time.Time, msg RowRead) {
	if m.abandoned {
		m.phase = ended
		return
	}
	m.claim(now, msg.Row.Version)
}

// confirmClaim handles the row that was read because the claim is old. existingRead sends the
// request if the row still holds the claim.
func (m *Machine) confirmClaim(now time.Time, msg RowRead, row Row, err error) {
	switch {
	case errors.Is(err, ErrBadRow):
		m.refuseMalformedRow(err)
	case err != nil:
		// The claim now counts as old, so that it is confirmed again before the request is sent.
		m.claimedAt = now.Add(-2 * m.cfg.MaxClaimAge)
		m.retryClaim(now, "the platform does not confirm the claim")
	default:
		m.existingRead(now, msg, row, nil)
	}
}

// refuseMalformedRow ends the machine. The outcome is unknown, since the row may have held a claim
// whose request was sent.
func (m *Machine) refuseMalformedRow(err error) {
	m.conclude(m.refusalFinish(structs.CodeInternal, structs.OutcomeUnknown, "action %q: %v", m.row.Key, err))
}

// cancel gives the attempt up before the request is sent, or stops waiting for another attempt.
// A claim that may have taken effect is then handled as in abandon. After sending, cancel has no
// effect and the machine continues to wait for the outcome.
func (m *Machine) cancel(now time.Time) {
	switch m.phase {
	case claiming, claimWaiting, claimReading, confirming:
		if m.abandoned {
			return
		}
		m.abandoned = true
		m.deadline = now.Add(m.cfg.RecordTimeout)
		m.finish(m.refusalFinish(structs.CodeCancelled, m.unsentOutcome(), "the caller gave the action up; nothing was sent"))
	case existingReading, existingSealReading, existingWaiting, existingQuerying:
		m.conclude(m.refusalFinish(structs.CodeCancelled, structs.OutcomeUnknown,
			"the caller gave up waiting for another attempt at action %q", m.row.Key))
	case sending, querying, queryWaiting, recording, recordWaiting, recordReading, ended:
	}
}
