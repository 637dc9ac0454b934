package program

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// callKind is the kind of target of a call.
type callKind uint8

const (
	callModel callKind = iota
	callTool
	callAgent
)

// callState is the progress of a call.
type callState uint8

const (
	// callNew: nothing is reserved yet.
	callNew callState = iota
	// callWaiting: the call waits for the commit of records.
	callWaiting
	// callBackoff: the call waits for its next attempt.
	callBackoff
	// callActive: the call was sent.
	callActive
	// callDone: the call has a result, has failed or was abandoned.
	callDone
)

// call is one step of the turn under way.
type call struct {
	id    structs.CallID
	kind  callKind
	state callState
	// attempts counts the attempts of this home, attemptNumber is the number of the last one.
	attempts      int
	attemptNumber uint32
	// reserved is what the call holds of the budget now; zero before and after.
	reserved Amount
	// needSeq is the number of the record that must be committed before the call is sent.
	needSeq      uint64
	irreversible bool
	// resent reports whether an earlier home may have sent the call.
	resent  bool
	timeout time.Duration
	started time.Time
	// deadline is the time at which the call in flight, or its backoff, ends.
	deadline time.Time

	// maxTokens is set for a model call, tool for a tool call or a sub-agent, task and share for a
	// sub-agent.
	maxTokens int
	tool      structs.ToolCall
	task      string
	share     Amount
	// inheritedShare reports whether an earlier home may have started the sub-agent with this
	// share.
	inheritedShare bool
	result         string
}

// mayHaveRun reports whether the call has no result and was sent here or may have been sent by
// an earlier home.
func (c *call) mayHaveRun() bool {
	return c.state == callActive || (c.resent && c.state != callDone)
}

// active returns the call with this id if attempt is its current one and its result is
// outstanding, else nil.
func (m *Machine) active(id structs.CallID, attempt uint32) *call {
	t := m.current
	if t == nil {
		return nil
	}
	for _, c := range t.calls() {
		if c.id == id && c.state == callActive && c.attemptNumber == attempt {
			return c
		}
	}
	return nil
}

// calls returns the model call under way, or the calls of the batch.
func (t *turn) calls() []*call {
	if t.model != nil {
		return []*call{t.model}
	}
	return t.batch
}

// reserve takes the amount from the budget and makes the call wait for the commits that it
// needs. It returns false when the budget does not suffice.
func (m *Machine) reserve(c *call, need Amount) bool {
	if !m.ledger.fits(need) {
		return false
	}
	c.reserved = need
	c.state = callWaiting
	m.ledger.reserve(need)
	return true
}

// launchReady sends the waiting calls whose records and draws are committed.
func (m *Machine) launchReady(now time.Time) {
	if m.current == nil {
		return
	}
	// A reservation may have raised the total. The calls wait until a record with it is committed.
	if m.ledger.unrecorded() {
		m.record(drawRecord{})
	}
	if !m.ledger.covered() {
		return
	}
	for _, c := range m.current.calls() {
		if c.state == callWaiting && c.needSeq <= m.committed {
			m.launch(now, c)
		}
	}
}

// launch sends the call as a new attempt.
func (m *Machine) launch(now time.Time, c *call) {
	c.state = callActive
	c.attempts++
	m.attempts++
	c.attemptNumber = m.cfg.AttemptBase + m.attempts
	c.started = now
	c.deadline = time.Time{}
	m.current.launched++
	switch c.kind {
	case callModel:
		m.launchModel(c)
	case callTool:
		m.launchTool(now, c)
	case callAgent:
		m.launchAgent(now, c)
	}
}

// settle replaces the reservation of a call by the amount used.
func (m *Machine) settle(c *call, used Amount) {
	m.ledger.settle(c.reserved, used)
	c.reserved = Amount{}
}

// releaseReservation ends the reservation of a call that did not run, without a charge.
func (m *Machine) releaseReservation(c *call) {
	m.settle(c, Amount{})
}

// abandonCalls ends the calls under way and returns the error messages that the history holds in
// place of the results of a batch. A call in flight is charged its whole reservation.
func (m *Machine) abandonCalls(refusal *structs.Refusal) []structs.Message {
	t := m.current
	if c := t.model; c != nil {
		m.abandon(c)
		t.model = nil
		return nil
	}
	results := make([]structs.Message, 0, len(t.batch))
	for _, c := range t.batch {
		if c.state != callDone {
			c.result = abandonedResult(c, refusal)
		}
		m.abandon(c)
		results = append(results, toolMessage(c))
	}
	return results
}

// abandon ends one call. It charges the reservation of a call in flight, and that of a sub-agent
// that an earlier home may have started, and releases that of any other call.
func (m *Machine) abandon(c *call) {
	switch c.state {
	case callActive:
		m.emit(CancelCall{Call: c.id, Attempt: c.attemptNumber})
		m.settle(c, c.reserved)
	case callWaiting, callBackoff:
		// The sub-agent may have used its whole share.
		if c.inheritedShare {
			m.settle(c, c.reserved)
			break
		}
		m.releaseReservation(c)
	case callNew, callDone:
	}
	c.state = callDone
}

// closeAgents closes the sub-agents of finished calls. It must follow the record that holds
// their results, so that a restart finds either the sub-agent or its result.
func (m *Machine) closeAgents(batch []*call) {
	for _, c := range batch {
		if c.kind == callAgent && (c.attempts > 0 || c.resent) {
			m.emit(CloseAgent{Call: c.id})
		}
	}
}

// nextDeadline returns the time of the next Tick, or zero when none is needed.
func (m *Machine) nextDeadline() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, e := range m.pendingEnds {
		earlier(e.waitUntil)
	}
	t := m.current
	if t == nil {
		if !m.released && !m.history.fullyCompressed() {
			earlier(m.idleSince.Add(m.cfg.CompressAfter))
		}
		return next
	}
	earlier(t.deadline)
	if !t.recorded {
		earlier(t.recordAt)
	}
	for _, c := range t.calls() {
		if c.state == callActive || c.state == callBackoff {
			earlier(c.deadline)
		}
	}
	return next
}

func (m *Machine) tick(now time.Time) {
	m.sendPendingEnds(now)
	if m.current == nil {
		m.compressIdle(now)
		return
	}
	m.tickTurn(now)
}

// compressIdle compresses the history of an idle program.
func (m *Machine) compressIdle(now time.Time) {
	if !now.Before(m.idleSince.Add(m.cfg.CompressAfter)) {
		m.history.compress()
	}
}

// tickTurn ends the turn at its deadline, records it when that is due, and ends the backoffs and the
// tool calls whose deadlines have passed.
func (m *Machine) tickTurn(now time.Time) {
	t := m.current
	if !now.Before(t.deadline) {
		m.refuse(now, structs.CodeDeadlineExceeded, stepTurn, "patience of turn %d is over", t.number)
		return
	}
	if !now.Before(t.recordAt) {
		m.recordTurn()
	}
	for _, c := range t.calls() {
		if c.deadline.IsZero() || now.Before(c.deadline) {
			continue
		}
		switch c.state {
		case callBackoff:
			c.state = callWaiting
			c.deadline = time.Time{}
		case callActive:
			m.timeOut(now, c)
		case callNew, callWaiting, callDone:
		}
		// A timed-out call may have ended the turn.
		if m.current != t {
			return
		}
	}
	m.launchReady(now)
}

// commit marks the records up to seq as committed and continues what waited for them.
func (m *Machine) commit(now time.Time, seq uint64) {
	m.committed = max(m.committed, min(seq, m.seq))
	m.ledger.commit(m.committed)
	m.sendPendingEnds(now)
	m.launchReady(now)
	if m.closedSeq > 0 && m.closedSeq <= m.committed && !m.released {
		m.released = true
		m.emit(Release{MayHaveActions: m.mayHaveActed})
	}
}

func (m *Machine) cancel(now time.Time) {
	if m.current != nil {
		m.refuse(now, structs.CodeCancelled, stepTurn, "turn %d was cancelled", m.current.number)
	}
}

func (m *Machine) close(now time.Time) {
	if m.closedSeq > 0 {
		return
	}
	m.cancel(now)
	m.closedSeq = m.record(closedRecord{})
}
