package program

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// Restore rebuilds a program from the records of its home log, in their order. The first must
// open the program or be a checkpoint; records that a checkpoint covers are skipped. Restore
// returns ErrMalformedRecord, ErrOtherProgram, ErrBadHistory or ErrGap, wrapped with the
// program's id. A turn that was under way continues on the message Resume.
func Restore(cfg *Config, id structs.ProgramID, records []LogRecord) (*Machine, error) {
	var m *Machine
	for _, e := range records {
		if e.Program != id {
			return nil, errors.Wrapf(ErrOtherProgram, "record of %q restored as %q", e.Program, id)
		}
		next, err := restoreRecord(cfg, m, e)
		if err != nil {
			return nil, errors.Wrapf(err, "program %q", id)
		}
		m = next
	}
	if m == nil {
		return nil, errors.Wrapf(ErrGap, "program %q has no record", id)
	}
	m.committed = m.seq
	m.awaitsResume = true
	m.mayHaveActed = true
	return m, nil
}

// restoreRecord applies one record to m, which is nil before the first record.
func restoreRecord(cfg *Config, m *Machine, e LogRecord) (*Machine, error) {
	if e.Kind == KindCheckpoint {
		return restoreCheckpoint(cfg, m, e)
	}
	head, body, err := decodeRecord(e)
	if err != nil {
		return nil, err
	}
	if open, isOpen := body.(openRecord); isOpen && m == nil {
		if head.Seq != 1 || !validSpec(open.Spec) {
			return nil, errors.Wrapf(ErrMalformedRecord, "invalid open record with number %d", head.Seq)
		}
		m = newMachine(cfg, e.Program, open.Spec)
		m.seq = head.Seq
		m.ledger.restore(head.Drawn, nil)
		return m, nil
	}
	if m == nil {
		return nil, errors.Wrapf(ErrGap, "first record is %d of kind %q", head.Seq, e.Kind)
	}
	// The state, from a checkpoint, covers the record already.
	if head.Seq <= m.seq {
		return m, nil
	}
	if head.Seq != m.seq+1 {
		return nil, errors.Wrapf(ErrGap, "record %d follows %d", head.Seq, m.seq)
	}
	m.seq = head.Seq
	if err := m.applyRecord(body); err != nil {
		return nil, errors.Wrapf(err, "record %d", head.Seq)
	}
	m.ledger.restore(head.Drawn, m.ledger.shares)
	return m, nil
}

// validSpec reports whether a program can have been opened with this budget.
func validSpec(spec structs.ProgramSpec) bool {
	b := spec.Budget
	return b.Tokens >= 0 && b.Calls >= 0 && b.ToolTime >= 0 && b.Agents >= 0 && b.Depth >= 0
}

// applyRecord applies one record to the state.
func (m *Machine) applyRecord(body recordBody) error {
	switch body := body.(type) {
	case openRecord:
		return errors.Wrap(ErrMalformedRecord, "the program is already open")
	case turnRecord:
		return m.applyTurn(body)
	case stepRecord:
		return m.applyStep(body)
	case drawRecord:
		if body.Call != "" {
			m.ledger.setShare(body.Call, body.Share)
		}
	case turnEndRecord:
		return m.applyTurnEnd(body)
	case closedRecord:
		m.closedSeq = m.seq
		m.released = true
	}
	return nil
}

func (m *Machine) applyTurn(e turnRecord) error {
	if e.Number != uint32(len(m.turns))+1 || m.current != nil {
		return errors.Wrapf(ErrMalformedRecord, "turn %d begins after %d turns", e.Number, len(m.turns))
	}
	m.current = &turn{
		number: e.Number, key: e.Key, content: e.Content, payload: digestPayload(e.Content),
		deadline: e.Deadline, recorded: true, launched: 1,
	}
	return nil
}

// requireCurrent returns an error unless the turn with this number is under way.
func (m *Machine) requireCurrent(number uint32) error {
	if m.current == nil || m.current.number != number {
		return errors.Wrapf(ErrMalformedRecord, "turn %d is not under way", number)
	}
	return nil
}

func (m *Machine) applyStep(e stepRecord) error {
	if err := m.requireCurrent(e.Turn); err != nil {
		return err
	}
	t := m.current
	if len(e.Delta.Messages) == 0 || e.Step < t.step {
		return errors.Wrapf(ErrMalformedRecord, "step %d after step %d with %d messages", e.Step, t.step, len(e.Delta.Messages))
	}
	if err := m.applyDelta(e.Delta); err != nil {
		return err
	}
	m.usage = m.usage.Add(subUsage(e.Usage, t.usage))
	t.usage = e.Usage
	t.step, t.recordedStep = e.Step, e.Step
	// The batch that the shares belong to has ended.
	m.ledger.shares = nil
	if e.Context > 0 {
		m.context, m.contextBytes = e.Context, m.history.bytes
	}
	if e.Final {
		m.turns = append(m.turns, turnResult{
			key: t.key, payload: t.payload, answer: m.history.count - 1, usage: t.usage, seq: m.seq,
		})
		m.current = nil
	}
	return nil
}

// applyDelta extends the history. It returns ErrBadHistory unless the digests before and after
// match those of the record.
func (m *Machine) applyDelta(d delta) error {
	if d.Before != m.history.digest {
		return errors.Wrapf(ErrBadHistory, "digest of the history is %s, the record continues %s", m.history.digest, d.Before)
	}
	if m.extend(d.Messages...); m.history.digest != d.After {
		return errors.Wrapf(ErrBadHistory, "digest after the record is %s, the record holds %s", m.history.digest, d.After)
	}
	return nil
}

func (m *Machine) applyTurnEnd(e turnEndRecord) error {
	if err := m.requireCurrent(e.Turn); err != nil {
		return err
	}
	t := m.current
	if e.Refusal == nil || e.Consumed != t.inHistory {
		return errors.Wrapf(ErrMalformedRecord, "end of turn %d does not match its steps", e.Turn)
	}
	if e.Consumed {
		if err := m.applyDelta(e.Delta); err != nil {
			return err
		}
		m.turns = append(m.turns, turnResult{key: t.key, payload: t.payload, refusal: e.Refusal, usage: e.Usage, seq: m.seq})
	}
	m.usage = m.usage.Add(subUsage(e.Usage, t.usage))
	m.ledger.shares = nil
	m.current = nil
	return nil
}

// subUsage returns u minus v.
func subUsage(u, v structs.Usage) structs.Usage {
	return structs.Usage{
		PromptTokens:    u.PromptTokens - v.PromptTokens,
		CachedTokens:    u.CachedTokens - v.CachedTokens,
		GeneratedTokens: u.GeneratedTokens - v.GeneratedTokens,
		Calls:           u.Calls - v.Calls,
		ToolTime:        u.ToolTime - v.ToolTime,
		Agents:          u.Agents - v.Agents,
	}
}

// resume continues a turn that was under way before the restart. Its last model call or batch runs
// again when no record holds the result, so a model call or a tool call may run twice. Two kinds of
// call do not: a sub-agent is found by its key, and an irreversible tool call by its action row.
func (m *Machine) resume(now time.Time) {
	if !m.awaitsResume {
		return
	}
	m.awaitsResume = false
	m.idleSince = now
	t := m.current
	if t == nil {
		return
	}
	messages, err := m.history.all()
	if err != nil {
		m.refuse(now, structs.CodeInternal, stepTurn, "history of %q: %v", m.id, err)
		return
	}
	if t.inHistory {
		m.recountRepeats(messages[t.start:])
		m.rebuildBatch(messages[len(messages)-1].ToolCalls)
	}
	switch {
	case !now.Before(t.deadline):
		m.refuse(now, structs.CodeDeadlineExceeded, stepTurn, "patience of turn %d is over", t.number)
	case len(t.batch) > 0:
		m.advanceBatch(now)
	default:
		m.startModel(now)
	}
}

// rebuildBatch makes the calls of the last message again if it is a model answer with tool calls.
func (m *Machine) rebuildBatch(asked []structs.ToolCall) {
	m.newBatch(asked)
	for _, c := range m.current.batch {
		c.resent = true
	}
}

// recountRepeats rebuilds the turn's counts of equal tool calls from its messages in the history.
func (m *Machine) recountRepeats(messages []structs.Message) {
	var asked []structs.ToolCall
	for _, message := range messages {
		switch message.Role {
		case structs.RoleAssistant:
			asked = message.ToolCalls
		case structs.RoleTool:
			if len(asked) > 0 {
				m.countRepeat(asked[0], message.Content)
				asked = asked[1:]
			}
		case structs.RoleSystem, structs.RoleUser:
		}
	}
}
