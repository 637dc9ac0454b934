package program

import (
	"crypto/sha256"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Values of Refusal.Step for operations other than tool calls.
const (
	stepSubmit = "submit turn"
	stepModel  = "model call"
	stepCommit = "commit"
	stepTurn   = "turn"
)

// payloadDigest identifies the content of a turn: the first 16 bytes of its SHA-256.
type payloadDigest [16]byte

func digestPayload(content string) payloadDigest {
	sum := sha256.Sum256([]byte(content))
	return payloadDigest(sum[:16])
}

// turn is the turn under way.
type turn struct {
	number   uint32
	key      string
	content  string
	payload  payloadDigest
	deadline time.Time
	// recorded reports whether a record holds the turn. At recordAt the turn is recorded even
	// without a model answer.
	recorded bool
	recordAt time.Time
	// inHistory reports whether the history holds the turn's message, at index start.
	inHistory bool
	start     int
	// step is the number of the last step made, recordedStep that of the last recorded step.
	step         uint32
	recordedStep uint32
	// launched counts the calls sent, except model calls with the outcome "not run". After a
	// restart it starts at 1, since an earlier home may have sent calls.
	launched int
	// toolFailures counts the failed tool calls and sub-agents, repeats the calls with equal
	// name, arguments and result.
	toolFailures int
	repeats      map[repeatKey]int
	usage        structs.Usage

	// model is the model call under way, batch the calls of the batch under way. At most one of
	// them holds calls.
	model *call
	batch []*call
}

// turnResult is the result of a turn that has ended.
type turnResult struct {
	key     string
	payload payloadDigest
	// answer is the index of the answer in the history; unused when refusal is set.
	answer  int
	refusal *structs.Refusal
	usage   structs.Usage
	// seq is the number of the record that holds the end.
	seq uint64
}

// submit handles a submission and rejects it with a refusal if it is not accepted.
func (m *Machine) submit(now time.Time, msg SubmitTurn) {
	payload := digestPayload(msg.Content)
	refusal := m.checkContent(msg)
	if refusal == nil {
		refusal = m.matchSubmission(now, msg, payload)
	}
	if refusal != nil {
		m.emit(Reject{Caller: msg.Caller, Refusal: refusal})
	}
}

func (m *Machine) checkContent(msg SubmitTurn) *structs.Refusal {
	switch {
	case msg.Number == 0:
		return structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, stepSubmit, "turn number 0; turns count from 1")
	case msg.Content == "":
		return structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, stepSubmit, "turn %d has no content", msg.Number)
	case len(msg.Content) > m.cfg.MaxTurnBytes:
		return structs.Refusalf(structs.CodeTooLarge, structs.OutcomeNotRun, stepSubmit,
			"content of turn %d has %d bytes of at most %d", msg.Number, len(msg.Content), m.cfg.MaxTurnBytes)
	}
	return nil
}

// matchSubmission accepts a submission that repeats an ended turn or the one under way, or begins
// the next turn. It returns a refusal for any other submission.
func (m *Machine) matchSubmission(now time.Time, msg SubmitTurn, payload payloadDigest) *structs.Refusal {
	if msg.Number <= uint32(len(m.turns)) {
		past := m.turns[msg.Number-1]
		if past.key != msg.Key || past.payload != payload {
			return keyReused(msg, "turn number")
		}
		m.emit(Accept{Caller: msg.Caller, Turn: msg.Number})
		m.deliverEnd(now, msg.Number)
		return nil
	}
	if t := m.current; t != nil && t.number == msg.Number {
		return m.resubmit(msg, t.key == msg.Key && t.payload == payload)
	}
	for _, e := range m.pendingEnds {
		if e.turn == msg.Number {
			return m.resubmit(msg, e.key == msg.Key && e.payload == payload)
		}
	}
	if m.keyUsed(msg.Key) {
		return keyReused(msg, "idempotency key")
	}
	return m.beginTurn(now, msg, payload)
}

// attach subscribes a caller to a turn that was submitted before.
func (m *Machine) attach(now time.Time, msg Attach) {
	accept := Accept{Caller: msg.Caller, Turn: msg.Number}
	switch {
	case msg.Number >= 1 && msg.Number <= uint32(len(m.turns)):
		m.emit(accept)
		m.deliverEnd(now, msg.Number)
	case m.pendingTurn(msg.Number):
		m.emit(accept)
	default:
		m.emit(Reject{Caller: msg.Caller, Refusal: structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun,
			stepSubmit, "turn %d of program %q does not exist", msg.Number, m.id)})
	}
}

// pendingTurn reports whether the turn is under way or waits for the commit of its end.
func (m *Machine) pendingTurn(number uint32) bool {
	if m.current != nil && m.current.number == number {
		return true
	}
	for _, e := range m.pendingEnds {
		if e.turn == number {
			return true
		}
	}
	return false
}

// resubmit accepts a submission again whose turn is under way or waits for the commit of its end.
func (m *Machine) resubmit(msg SubmitTurn, same bool) *structs.Refusal {
	if !same {
		return keyReused(msg, "turn number")
	}
	m.emit(Accept{Caller: msg.Caller, Turn: msg.Number})
	return nil
}

// keyReused returns the refusal of a submission whose turn number or idempotency key, as named by
// what, belongs to another submission. The detail names another payload even if only the key or the
// turn number differs.
func keyReused(msg SubmitTurn, what string) *structs.Refusal {
	return structs.Refusalf(structs.CodeKeyReused, structs.OutcomeNotRun, stepSubmit,
		"%s of turn %d with key %q was used with another payload", what, msg.Number, msg.Key)
}

// keyUsed reports whether a consumed turn or the turn under way has the idempotency key.
func (m *Machine) keyUsed(key string) bool {
	if key == "" {
		return false
	}
	if m.current != nil && m.current.key == key {
		return true
	}
	for _, past := range m.turns {
		if past.key == key {
			return true
		}
	}
	return false
}

// beginTurn starts the next turn, or returns a refusal.
func (m *Machine) beginTurn(now time.Time, msg SubmitTurn, payload payloadDigest) *structs.Refusal {
	if m.Ended() {
		return structs.Refusalf(structs.CodeProgramEnded, structs.OutcomeNotRun, stepSubmit, "program %q has ended", m.id)
	}
	next := uint32(len(m.turns)) + 1
	if m.current != nil && msg.Number == next+1 {
		r := structs.Refusalf(structs.CodeTurnInProgress, structs.OutcomeNotRun, stepSubmit,
			"turn %d is under way", m.current.number)
		r.RetryAfter = turnRetryAfter
		return r
	}
	if msg.Number != next {
		return structs.Refusalf(structs.CodeTurnOutOfOrder, structs.OutcomeNotRun, stepSubmit,
			"turn %d is not the next turn %d", msg.Number, next)
	}
	length := m.history.tokens + structs.Message{Content: msg.Content}.Tokens()
	if length > m.cfg.MaxHistoryTokens {
		return structs.Refusalf(structs.CodeTooLarge, structs.OutcomeNotRun, stepSubmit,
			"history would have %d tokens of at most %d", length, m.cfg.MaxHistoryTokens)
	}
	// A restart could still resume the turn that was not consumed, with its earlier payload.
	if end := m.unconsumed; end.seq > m.committed && (end.key != msg.Key || end.payload != payload) {
		return keyReused(msg, "turn number")
	}
	m.current = &turn{
		number:   msg.Number,
		key:      msg.Key,
		content:  msg.Content,
		payload:  payload,
		deadline: now.Add(m.turnTimeout(msg.Timeout)),
		recordAt: now.Add(m.cfg.RecordDelay),
	}
	m.emit(Accept{Caller: msg.Caller, Turn: msg.Number})
	m.startModel(now)
	return nil
}

// turnRetryAfter is the suggested wait while another turn is under way.
const turnRetryAfter = time.Second

func (m *Machine) turnTimeout(asked time.Duration) time.Duration {
	switch {
	case asked > 0:
		return asked
	case m.spec.TurnTimeout > 0:
		return m.spec.TurnTimeout
	}
	return m.cfg.TurnTimeout
}

// recordTurn records the turn under way unless a record holds it already.
func (m *Machine) recordTurn() {
	t := m.current
	if t.recorded {
		return
	}
	t.recorded = true
	m.record(turnRecord{Number: t.number, Key: t.key, Content: t.content, Deadline: t.deadline})
}

// extend appends messages to the history, after the turn's own message if that is not there yet, and
// returns the delta for the record.
func (m *Machine) extend(ms ...structs.Message) delta {
	d := delta{Messages: ms, Before: m.history.digest}
	t := m.current
	if !t.inHistory {
		t.inHistory = true
		t.start = m.history.count
		m.history.append(structs.Message{Role: structs.RoleUser, Content: t.content})
	}
	m.history.append(ms...)
	d.After = m.history.digest
	return d
}

// finish ends the turn under way with the last message of the history as its answer. The record
// numbered seq holds this end.
func (m *Machine) finish(now time.Time, seq uint64) {
	t := m.current
	m.turns = append(m.turns, turnResult{
		key: t.key, payload: t.payload, answer: m.history.count - 1, usage: t.usage, seq: seq,
	})
	m.current = nil
	m.idleSince = now
	m.deliverEnd(now, t.number)
}

// refuse ends the turn under way without an answer. When the history holds nothing of the
// turn, the turn is not consumed: the caller may submit it again under the same number.
func (m *Machine) refuse(now time.Time, code structs.Code, step, format string, args ...any) {
	m.endTurn(now, structs.Refusalf(code, structs.OutcomeUnknown, step, format, args...))
}

// endTurn ends the turn under way without an answer. It abandons the calls. A turn that no record
// holds is refused at once. Otherwise endTurn records the end, and the callers receive the refusal
// once that record is committed or CommitWait has passed.
func (m *Machine) endTurn(now time.Time, cause *structs.Refusal) {
	t := m.current
	refusal := *cause
	refusal.Outcome = m.outcome(cause)
	results := m.abandonCalls(&refusal)
	m.current = nil
	m.idleSince = now
	m.ledger.lower()
	if !t.recorded && !t.inHistory {
		m.emit(Refuse{Turn: t.number, Refusal: &refusal})
		return
	}
	end := turnEndRecord{Turn: t.number, Step: t.step, Refusal: &refusal, Consumed: t.inHistory, Usage: t.usage}
	end.Delta.Before = m.history.digest
	if t.inHistory {
		end.Delta.Messages = results
		m.history.append(results...)
	}
	end.Delta.After = m.history.digest
	seq := m.record(end)
	m.ledger.closeBatch()
	m.closeAgents(t.batch)
	e := turnEnd{turn: t.number, seq: seq, waitUntil: now.Add(m.cfg.CommitWait), key: t.key, payload: t.payload}
	if t.inHistory {
		m.turns = append(m.turns, turnResult{key: t.key, payload: t.payload, refusal: &refusal, usage: t.usage, seq: seq})
	} else {
		e.refusal = &refusal
		m.unconsumed = e
	}
	m.pendingEnds = append(m.pendingEnds, e)
}

// outcome returns the outcome to report for a turn that ends now without an answer.
func (m *Machine) outcome(cause *structs.Refusal) structs.Outcome {
	t := m.current
	if t.launched == 0 && !t.inHistory {
		return structs.OutcomeNotRun
	}
	if !t.inHistory || cause.Code == structs.CodeActionInDoubt || t.irreversibleInFlight() {
		return structs.OutcomeUnknown
	}
	return structs.OutcomeRan
}

// irreversibleInFlight reports whether an irreversible call or a sub-agent may have run without a
// result.
func (t *turn) irreversibleInFlight() bool {
	for _, c := range t.batch {
		if c.mayHaveRun() && (c.irreversible || c.kind == callAgent) {
			return true
		}
	}
	return false
}
