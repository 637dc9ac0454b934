package action

import (
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// phase is what the machine waits for.
type phase uint8

const (
	// claiming: the answer to the transaction that makes this attempt the owner.
	claiming phase = iota
	// claimWaiting: the time to ask the table again whether the claim took effect.
	claimWaiting
	// claimReading: the row, to learn whether the claim took effect.
	claimReading
	// confirming: the row, to learn whether an old claim still stands.
	confirming
	// sending: the service's answer.
	sending
	// asking: the service's account of a request of this attempt.
	asking
	// askWaiting: the time to ask the service again.
	askWaiting
	// foundReading: the row that another attempt has claimed.
	foundReading
	// foundSeal: the seal of that attempt's log.
	foundSeal
	// foundWaiting: the time to read that row again.
	foundWaiting
	// foundAsking: the service's account of that attempt's request.
	foundAsking
	// recording: the answer to the transaction that records the outcome.
	recording
	// recordWaiting: the time to read the row again.
	recordWaiting
	// recordReading: the row, to learn what it holds.
	recordReading
	// ended: nothing.
	ended
)

// Machine runs one attempt at one action. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	request structs.ToolRequest
	// row is what this attempt wants the table to hold.
	row   Row
	phase phase
	// version is the version of the table's row on which the next transaction depends.
	version int64
	// lastClaim is the version of the last row known not to have run that was claimed; 0 for none.
	lastClaim int64
	claimed   time.Time
	until     time.Time
	asked     time.Time
	// found is the row of another attempt.
	found Row
	// owned says that the table has held this attempt's claim; abandoned that the caller
	// was told that nothing ran, so nothing may be sent.
	owned     bool
	waits     int
	abandoned bool
	finished  bool
	finishBy  time.Time
	outcome   Finish
	effects   []Effect
}

// New returns a machine that runs the request as the owner given.
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
			Payload:      payloadOf(request),
			Owner:        owner,
			State:        Intended,
			Created:      now,
			Changed:      now,
		},
	}
}

// Start claims the row and returns the first effects.
func (m *Machine) Start(now time.Time) []Effect {
	m.until = now.Add(m.cfg.ClaimTimeout)
	m.claim(now, platform.Absent)
	return m.takeEffects()
}

// Step takes one message and returns the effects. Messages that nothing waits for change nothing.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	switch msg := msg.(type) {
	case Applied:
		m.applied(now, msg.Err)
	case RowRead:
		m.rowRead(now, msg)
	case Sent:
		m.sent(now, msg)
	case StatusQueried:
		m.answered(now, msg)
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

// finish tells the caller the end of the action, the first time only.
func (m *Machine) finish(end Finish) {
	if m.finished {
		return
	}
	m.finished = true
	m.emit(end)
}

// conclude tells the caller the end and leaves the row as it is.
func (m *Machine) conclude(end Finish) {
	m.phase = ended
	m.finish(end)
}

func (m *Machine) refuse(code structs.Code, outcome structs.Outcome, format string, args ...any) Finish {
	r := structs.Refusalf(code, outcome, m.step(), format, args...)
	r.Peer = m.request.Name
	return Finish{Refusal: r}
}

func (m *Machine) step() string { return "action " + m.request.Name }

func (m *Machine) read(p phase) {
	m.phase = p
	m.emit(Read{Key: RowKey(m.row.Organisation, m.row.Key)})
}

func (m *Machine) wait(now time.Time, p phase) {
	m.phase = p
	until := now.Add(m.backoff())
	if p == recordWaiting && !m.finished && m.finishBy.After(now) && m.finishBy.Before(until) {
		until = m.finishBy
	}
	m.emit(Wait{Until: until})
}

// backoff grows with each wait. The owner's nonce spreads attempts that began together.
func (m *Machine) backoff() time.Duration {
	const (
		maxDoublings = 4
		jitterParts  = 4
	)
	wait := m.cfg.Retry << min(m.waits, maxDoublings)
	m.waits++
	jitter := wait / jitterParts
	return wait - jitter/2 + time.Duration(m.row.Owner.Nonce%256)*jitter/256
}

// claim asks the table to make this attempt the owner.
func (m *Machine) claim(now time.Time, version int64) {
	m.phase = claiming
	m.version = version
	m.claimed = now
	m.emit(Apply{Txn: m.row.claim(version)})
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

func (m *Machine) claimApplied(now time.Time, err error) {
	switch {
	case err == nil:
		m.version++
		m.claimHeld(now)
	case errors.Is(err, platform.ErrConditionFailed):
		m.read(foundReading)
	case errors.Is(err, platform.ErrNotApplied):
		m.retryClaim(now, "the platform did not take the claim")
	default:
		m.retryClaim(now, "the platform did not answer the claim")
	}
}

// retryClaim waits to look at the row again, or gives the action up as not run.
func (m *Machine) retryClaim(now time.Time, detail string) {
	if !now.Before(m.until) {
		m.giveUp(now, detail)
		return
	}
	m.wait(now, claimWaiting)
}

// giveUp refuses the action: nothing was sent and nothing will be. The machine goes on
// until the row cannot pass for a request that was sent.
func (m *Machine) giveUp(now time.Time, detail string) {
	if !m.abandoned {
		m.abandoned = true
		m.until = now.Add(m.cfg.RecordFor)
		end := m.refuse(structs.CodePlatformOutage, m.unsent(), "%s; nothing was sent", detail)
		end.Refusal.RetryAfter = m.cfg.ClaimTimeout
		m.finish(end)
	}
	if !now.Before(m.until) {
		m.phase = ended
		return
	}
	m.wait(now, claimWaiting)
}

// claimHeld goes on when the table holds this attempt's claim.
func (m *Machine) claimHeld(now time.Time) {
	m.owned = true
	switch {
	case m.abandoned:
		m.row.Detail = "given up before it was sent"
		m.record(now, NotRun, Finish{})
	case now.Sub(m.claimed) > m.cfg.SendWithin:
		m.claimed = now
		m.read(confirming)
	default:
		m.phase = sending
		m.emit(Send{Request: m.request})
	}
}

// unsent is the outcome when this attempt sends nothing and has not seen the row.
func (m *Machine) unsent() structs.Outcome {
	if m.request.Resent {
		return structs.OutcomeUnknown
	}
	return structs.OutcomeNotRun
}

func (m *Machine) tick(now time.Time) {
	switch m.phase {
	case claimWaiting:
		m.read(claimReading)
	case askWaiting:
		m.ask(asking)
	case foundWaiting:
		m.read(foundReading)
	case recordWaiting:
		m.finishInTime(now)
		m.read(recordReading)
	default:
	}
}

func (m *Machine) rowRead(now time.Time, msg RowRead) {
	if m.phase == foundSeal {
		m.sealRead(now, msg)
		return
	}
	row, err := decode(msg)
	switch m.phase {
	case claimReading:
		m.claimRead(now, msg, row, err)
	case confirming:
		m.confirm(now, msg, row, err)
	case foundReading:
		m.foundRead(now, msg, row, err)
	case recordReading:
		m.recordRead(now, msg, row, err)
	default:
	}
}

// decode returns the row read. It returns the table's error, or ErrBadRow.
func decode(msg RowRead) (Row, error) {
	if msg.Err != nil || !msg.Found {
		return Row{}, msg.Err
	}
	return DecodeRow(msg.Row.Value)
}

// claimRead settles a claim whose answer was lost by what the row says.
func (m *Machine) claimRead(now time.Time, msg RowRead, row Row, err error) {
	switch {
	case errors.Is(err, ErrBadRow):
		m.badRow(err)
	case err != nil:
		m.retryClaim(now, "the platform does not tell whether the claim was taken")
	case !msg.Found || (row.State == NotRun && row.Owner != m.row.Owner):
		m.claimAgain(now, msg)
	default:
		m.foundRead(now, msg, row, nil)
	}
}

// holds reports whether the row read is this attempt's claim.
func (m *Machine) holds(msg RowRead, row Row) bool {
	return msg.Found && row.Owner == m.row.Owner && row.State == Intended
}

// claimAgain makes the claim again, or ends once it is known to be gone.
func (m *Machine) claimAgain(now time.Time, msg RowRead) {
	if m.abandoned {
		m.phase = ended
		return
	}
	m.claim(now, msg.Row.Version)
}

// confirm sends when an old claim still stands.
func (m *Machine) confirm(now time.Time, msg RowRead, row Row, err error) {
	switch {
	case errors.Is(err, ErrBadRow):
		m.badRow(err)
	case err != nil:
		m.claimed = now.Add(-2 * m.cfg.SendWithin)
		m.retryClaim(now, "the platform does not confirm the claim")
	default:
		m.foundRead(now, msg, row, nil)
	}
}

func (m *Machine) badRow(err error) {
	m.conclude(m.refuse(structs.CodeInternal, structs.OutcomeUnknown, "action %q: %v", m.row.Key, err))
}

// cancel gives up before the request is sent; afterwards the outcome is awaited.
func (m *Machine) cancel(now time.Time) {
	switch m.phase {
	case claiming, claimWaiting, claimReading, confirming:
		if m.abandoned {
			return
		}
		m.abandoned = true
		m.until = now.Add(m.cfg.RecordFor)
		m.finish(m.refuse(structs.CodeCancelled, m.unsent(), "the caller gave the action up; nothing was sent"))
	case foundReading, foundSeal, foundWaiting, foundAsking:
		m.conclude(m.refuse(structs.CodeCancelled, structs.OutcomeUnknown,
			"the caller gave up waiting for another attempt at action %q", m.row.Key))
	case sending, asking, askWaiting, recording, recordWaiting, recordReading, ended:
	}
}
