package program

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// Restore rebuilds a program from the records of its home log, in their order.
// The first must open the program or be a checkpoint; records that a checkpoint covers
// are passed over. It returns ErrBadEntry, ErrOtherProgram, ErrBadHistory or ErrGap,
// wrapped with the program. A half-done turn goes on at the message Resume.
func Restore(cfg *Config, id structs.ProgramID, entries []LogRecord) (*Machine, error) {
	var m *Machine
	for _, e := range entries {
		if e.Program != id {
			return nil, errors.Wrapf(ErrOtherProgram, "record of %q restored as %q", e.Program, id)
		}
		next, err := restoreEntry(cfg, m, e)
		if err != nil {
			return nil, errors.Wrapf(err, "program %q", id)
		}
		m = next
	}
	if m == nil {
		return nil, errors.Wrapf(ErrGap, "program %q has no record", id)
	}
	m.committed = m.seq
	m.restored = true
	m.acted = true
	return m, nil
}

func restoreEntry(cfg *Config, m *Machine, e LogRecord) (*Machine, error) {
	if e.Kind == KindCheckpoint {
		return restoreCheckpoint(cfg, m, e)
	}
	head, body, err := decodeEntry(e)
	if err != nil {
		return nil, err
	}
	if open, isOpen := body.(openEntry); isOpen && m == nil {
		if head.Seq != 1 || !validSpec(open.Spec) {
			return nil, errors.Wrapf(ErrBadEntry, "open as record %d", head.Seq)
		}
		m = newMachine(cfg, e.Program, open.Spec)
		m.seq = head.Seq
		m.ledger.restore(head.Drawn, nil)
		return m, nil
	}
	if m == nil {
		return nil, errors.Wrapf(ErrGap, "first record is %d of kind %q", head.Seq, e.Kind)
	}
	if head.Seq <= m.seq {
		return m, nil
	}
	if head.Seq != m.seq+1 {
		return nil, errors.Wrapf(ErrGap, "record %d follows %d", head.Seq, m.seq)
	}
	m.seq = head.Seq
	if err := m.apply(body); err != nil {
		return nil, errors.Wrapf(err, "record %d", head.Seq)
	}
	m.ledger.restore(head.Drawn, m.ledger.shares)
	return m, nil
}

// validSpec reports whether the budget is one that a program can have been opened with.
func validSpec(spec structs.ProgramSpec) bool {
	b := spec.Budget
	return b.Tokens >= 0 && b.Calls >= 0 && b.ToolTime >= 0 && b.Agents >= 0 && b.Depth >= 0
}

// apply takes over one record.
func (m *Machine) apply(body entryBody) error {
	switch body := body.(type) {
	case openEntry:
		return errors.Wrap(ErrBadEntry, "the program is open already")
	case turnEntry:
		return m.applyTurn(body)
	case stepEntry:
		return m.applyStep(body)
	case drawEntry:
		if body.Call != "" {
			m.ledger.share(body.Call, body.Share)
		}
	case endEntry:
		return m.applyEnd(body)
	case closedEntry:
		m.closing = m.seq
		m.ended = true
	}
	return nil
}

func (m *Machine) applyTurn(e turnEntry) error {
	if e.Number != uint32(len(m.turns))+1 || m.current != nil {
		return errors.Wrapf(ErrBadEntry, "turn %d begins after %d turns", e.Number, len(m.turns))
	}
	m.current = &turn{
		number: e.Number, key: e.Key, content: e.Content, payload: digestPayload(e.Content),
		deadline: e.Deadline, recorded: true, launched: 1,
	}
	return nil
}

// during checks that the record belongs to the turn under way.
func (m *Machine) during(number uint32) error {
	if m.current == nil || m.current.number != number {
		return errors.Wrapf(ErrBadEntry, "turn %d is not under way", number)
	}
	return nil
}

func (m *Machine) applyStep(e stepEntry) error {
	if err := m.during(e.Turn); err != nil {
		return err
	}
	t := m.current
	if len(e.Delta.Messages) == 0 || e.Step < t.step {
		return errors.Wrapf(ErrBadEntry, "step %d after step %d with %d messages", e.Step, t.step, len(e.Delta.Messages))
	}
	if err := m.applyDelta(e.Delta); err != nil {
		return err
	}
	m.usage = m.usage.Add(minus(e.Usage, t.usage))
	t.usage = e.Usage
	t.step, t.recordedStep = e.Step, e.Step
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

// applyDelta continues the history when both digests match.
func (m *Machine) applyDelta(d delta) error {
	if d.Before != m.history.digest {
		return errors.Wrapf(ErrBadHistory, "history ends with %s, record continues %s", m.history.digest, d.Before)
	}
	if m.extend(d.Messages...); m.history.digest != d.After {
		return errors.Wrapf(ErrBadHistory, "history becomes %s, record says %s", m.history.digest, d.After)
	}
	return nil
}

func (m *Machine) applyEnd(e endEntry) error {
	if err := m.during(e.Turn); err != nil {
		return err
	}
	t := m.current
	if e.Refusal == nil || e.Consumed != t.applied {
		return errors.Wrapf(ErrBadEntry, "end of turn %d does not fit its steps", e.Turn)
	}
	if e.Consumed {
		if err := m.applyDelta(e.Delta); err != nil {
			return err
		}
		m.turns = append(m.turns, turnResult{key: t.key, payload: t.payload, refusal: e.Refusal, usage: e.Usage, seq: m.seq})
	}
	m.usage = m.usage.Add(minus(e.Usage, t.usage))
	m.ledger.shares = nil
	m.current = nil
	return nil
}

func minus(u, v structs.Usage) structs.Usage {
	return structs.Usage{
		PromptTokens:    u.PromptTokens - v.PromptTokens,
		CachedTokens:    u.CachedTokens - v.CachedTokens,
		GeneratedTokens: u.GeneratedTokens - v.GeneratedTokens,
		Calls:           u.Calls - v.Calls,
		ToolTime:        u.ToolTime - v.ToolTime,
		Agents:          u.Agents - v.Agents,
	}
}

// resume goes on with a half-done turn. Its last step is made again when no record holds
// the result: a model call, a repeatable tool call and a sub-agent, which is found by its
// key, may run twice; an irreversible action is found by its action row.
func (m *Machine) resume(now time.Time) {
	if !m.restored {
		return
	}
	m.restored = false
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
	if t.applied {
		m.recountRepeats(messages[t.start:])
		m.remakeBatch(messages[len(messages)-1].ToolCalls)
	}
	switch {
	case !now.Before(t.deadline):
		m.refuse(now, structs.CodeDeadlineExceeded, stepTurn, "patience of turn %d is over", t.number)
	case len(t.batch) > 0:
		m.advance(now)
	default:
		m.startModel(now)
	}
}

// remakeBatch makes the calls of the last model answer again when it is the last message.
func (m *Machine) remakeBatch(asked []structs.ToolCall) {
	m.makeBatch(asked)
	for _, c := range m.current.batch {
		c.resent = true
	}
}

// recountRepeats counts the tool calls that the turn has made so far.
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
