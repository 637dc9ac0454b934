package program

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// checkpoint is the state of a program without its history, which follows as compressed frames.
type checkpoint struct {
	recordHeader
	Spec         structs.ProgramSpec        `json:"spec"`
	Shares       map[structs.CallID]Amount  `json:"shares,omitempty"`
	Usage        structs.Usage              `json:"usage"`
	Context      int64                      `json:"context,omitempty"`
	ContextBytes int64                      `json:"context_bytes,omitempty"`
	Turns        []checkpointTurn           `json:"turns,omitempty"`
	Current      *checkpointCurrent         `json:"current,omitempty"`
	Digest       structs.ConversationDigest `json:"digest"`
	Frames       []checkpointFrame          `json:"frames,omitempty"`
	Closed       bool                       `json:"closed,omitempty"`
}

// checkpointTurn is a turn that has ended. Answer is the index of its answer in the history; unused
// when Refusal is set. Payload is the digest of the turn's content.
type checkpointTurn struct {
	Key     string           `json:"key,omitempty"`
	Payload []byte           `json:"payload"`
	Answer  int              `json:"answer"`
	Refusal *structs.Refusal `json:"refusal,omitempty"`
	Usage   structs.Usage    `json:"usage"`
}

// checkpointCurrent is the turn under way. Applied reports whether the history holds the turn's
// message, at index Start. Step is the number of the last recorded step.
type checkpointCurrent struct {
	turnRecord
	Applied bool          `json:"applied,omitempty"`
	Start   int           `json:"start,omitempty"`
	Step    uint32        `json:"step,omitempty"`
	Usage   structs.Usage `json:"usage"`
}

// checkpointFrame describes one of the frames after the JSON part: its number of messages, its
// uncompressed size and its size, both in bytes.
type checkpointFrame struct {
	Messages int `json:"messages"`
	Plain    int `json:"plain"`
	Bytes    int `json:"bytes"`
}

// Snapshot returns one checkpoint record with the state of all records made so far, committed or
// not. A turn that is not recorded and the calls in flight are left out.
func (m *Machine) Snapshot() LogRecord { return m.snapshot(m.ledger.lastRecorded()) }

// snapshot returns a checkpoint record that holds drawn as the total drawn on the budget.
func (m *Machine) snapshot(drawn Amount) LogRecord {
	frames := m.history.snapshot()
	c := checkpoint{
		recordHeader: recordHeader{Program: m.id, Seq: m.seq, Drawn: drawn},
		Spec:         m.spec,
		Shares:       m.ledger.shares,
		Usage:        m.usage,
		Context:      m.context,
		ContextBytes: m.contextBytes,
		Digest:       m.history.digest,
		Closed:       m.closedSeq > 0,
	}
	for _, t := range m.turns {
		c.Turns = append(c.Turns, checkpointTurn{
			Key: t.key, Payload: t.payload[:], Answer: t.answer, Refusal: t.refusal, Usage: t.usage,
		})
	}
	if t := m.current; t != nil && t.recorded {
		c.Current = &checkpointCurrent{
			turnRecord: turnRecord{Number: t.number, Key: t.key, Content: t.content, Deadline: t.deadline},
			Applied:    t.inHistory, Start: t.start, Step: t.recordedStep, Usage: t.usage,
		}
	}
	for _, f := range frames {
		c.Frames = append(c.Frames, checkpointFrame{Messages: f.messages, Plain: f.plainBytes, Bytes: len(f.data)})
	}
	return LogRecord{Program: m.id, Kind: KindCheckpoint, Data: encodeCheckpoint(c, frames)}
}

// HandOver returns the checkpoint from which another home continues the program. The machine
// takes no further message. Calls in flight are charged their whole reservation; the unused rest
// of the draws returns to the budget.
func (m *Machine) HandOver() LogRecord { return m.snapshot(m.ledger.taken()) }

// encodeCheckpoint writes the length of the JSON part, the JSON part and the frames.
func encodeCheckpoint(c checkpoint, frames []frame) []byte {
	head, err := marshal(c)
	if err != nil {
		panic(errors.Wrap(err, "checkpoint"))
	}
	size := binary.MaxVarintLen64 + len(head)
	for _, f := range frames {
		size += len(f.data)
	}
	out := make([]byte, 0, size)
	out = binary.AppendUvarint(out, uint64(len(head)))
	out = append(out, head...)
	for _, f := range frames {
		out = append(out, f.data...)
	}
	return out
}

// decodeCheckpoint is the reverse of encodeCheckpoint. It returns ErrMalformedRecord if the lengths
// do not add up to data.
func decodeCheckpoint(data []byte) (checkpoint, []frame, error) {
	var c checkpoint
	size, n := binary.Uvarint(data)
	if n <= 0 || size > uint64(len(data)-n) {
		return c, nil, errors.Wrapf(ErrMalformedRecord, "checkpoint of %d bytes is truncated", len(data))
	}
	head, rest := data[n:n+int(size)], data[n+int(size):]
	if err := json.Unmarshal(head, &c); err != nil {
		return c, nil, errors.Wrapf(ErrMalformedRecord, "checkpoint: %v", err)
	}
	frames := make([]frame, 0, len(c.Frames))
	for _, f := range c.Frames {
		if f.Bytes < 0 || f.Bytes > len(rest) || f.Messages < 1 || f.Plain < 0 {
			return c, nil, errors.Wrapf(ErrMalformedRecord, "checkpoint: invalid frame of %d bytes", f.Bytes)
		}
		frames = append(frames, frame{messages: f.Messages, plainBytes: f.Plain, data: rest[:f.Bytes:f.Bytes]})
		rest = rest[f.Bytes:]
	}
	if len(rest) > 0 {
		return c, nil, errors.Wrapf(ErrMalformedRecord, "checkpoint has %d extra bytes after its frames", len(rest))
	}
	return c, frames, nil
}

// restoreCheckpoint returns the state of the checkpoint, or before if that is newer.
func restoreCheckpoint(cfg *Config, before *Machine, e LogRecord) (*Machine, error) {
	c, frames, err := decodeCheckpoint(e.Data)
	if err != nil {
		return nil, err
	}
	if c.Program != e.Program {
		return nil, errors.Wrapf(ErrOtherProgram, "checkpoint of %q stored under %q", c.Program, e.Program)
	}
	if before != nil && c.Seq < before.seq {
		return before, nil
	}
	if !validSpec(c.Spec) {
		return nil, errors.Wrap(ErrMalformedRecord, "checkpoint: budget is negative")
	}
	m := &Machine{cfg: cfg, id: e.Program, spec: c.Spec, seq: c.Seq, usage: c.Usage}
	if err := m.history.restore(frames, c.Digest); err != nil {
		return nil, err
	}
	m.ledger = newLedger(c.Spec.Budget, cfg.DrawDivisor)
	m.ledger.restore(c.Drawn, c.Shares)
	// A token count that does not cover the whole history is dropped. promptTokens then estimates the
	// whole prompt from its bytes.
	if c.ContextBytes == m.history.bytes {
		m.context, m.contextBytes = c.Context, c.ContextBytes
	}
	if c.Closed {
		m.closedSeq, m.released = c.Seq, true
	}
	return m, m.restoreTurns(c)
}

// restoreTurns takes the ended turns and the turn under way from the checkpoint. It returns
// ErrMalformedRecord if they do not fit the history.
func (m *Machine) restoreTurns(c checkpoint) error {
	for i, t := range c.Turns {
		if len(t.Payload) != len(payloadDigest{}) || t.Answer < 0 || (t.Refusal == nil && t.Answer >= m.history.count) {
			return errors.Wrapf(ErrMalformedRecord, "checkpoint: turn %d is invalid", i+1)
		}
		m.turns = append(m.turns, turnResult{
			key: t.Key, payload: payloadDigest(t.Payload), answer: t.Answer, refusal: t.Refusal, usage: t.Usage, seq: c.Seq,
		})
	}
	if c.Current == nil {
		return nil
	}
	if err := m.applyTurn(c.Current.turnRecord); err != nil {
		return err
	}
	t := m.current
	if c.Current.Applied && (c.Current.Start < 0 || c.Current.Start >= m.history.count) {
		return errors.Wrapf(ErrMalformedRecord, "turn %d starts at message %d of %d", t.number, c.Current.Start, m.history.count)
	}
	t.inHistory, t.start, t.usage = c.Current.Applied, c.Current.Start, c.Current.Usage
	t.step, t.recordedStep = c.Current.Step, c.Current.Step
	return nil
}

// snapshot returns frames that hold the whole conversation, without changing the history.
func (h *history) snapshot() []frame {
	copied := *h
	copied.frames = append([]frame(nil), h.frames...)
	copied.compress()
	return copied.frames
}

// restore takes the frames of a checkpoint if their messages have the given digest.
func (h *history) restore(frames []frame, digest structs.ConversationDigest) error {
	for _, f := range frames {
		ms, err := f.decode(nil)
		if err != nil {
			return err
		}
		h.append(ms...)
	}
	if h.digest != digest {
		return errors.Wrapf(ErrBadHistory, "digest of the checkpoint messages is %s, the checkpoint holds %s", h.digest, digest)
	}
	h.plain = nil
	h.frames = frames
	return nil
}

// State is the view of a program for callers and operators.
type State struct {
	Program structs.ProgramID    `json:"program"`
	Spec    structs.ProgramSpec  `json:"spec"`
	State   structs.ProgramState `json:"state"`
	// Turns is the number of turns that have ended, Current the number of the turn under way,
	// or 0.
	Turns   uint32        `json:"turns"`
	Current uint32        `json:"current,omitempty"`
	Usage   structs.Usage `json:"usage"`
	// Charged is what counts against the budget; after a restart it may exceed the usage.
	Charged Amount                     `json:"charged"`
	Digest  structs.ConversationDigest `json:"digest"`
	// Tokens is the estimated length of the history.
	Tokens int `json:"tokens"`
	// Durable reports whether the home log holds the whole state.
	Durable bool `json:"kept"`
	// Deadline is the time at which the current turn times out.
	Deadline time.Time `json:"deadline,omitzero"`
}

// State returns the program's state.
func (m *Machine) State() State {
	s := State{
		Program: m.id,
		Spec:    m.spec,
		State:   structs.ProgramIdle,
		Turns:   uint32(len(m.turns)),
		Usage:   m.usage,
		Charged: m.ledger.spent,
		Digest:  m.history.digest,
		Tokens:  m.history.tokens,
		Durable: m.committed == m.seq,
	}
	if m.current != nil {
		s.State = structs.ProgramRunning
		s.Current = m.current.number
		s.Deadline = m.current.deadline
	}
	if m.closedSeq > 0 {
		s.State = structs.ProgramEnded
	}
	return s
}

// History is the conversation at one moment. It shares memory with the machine's history, which
// does not change what a History holds.
type History struct{ view history }

// History returns the conversation as it is now.
func (m *Machine) History() *History { return &History{view: m.history} }

// Messages returns the conversation, which the caller must not change.
func (h *History) Messages() ([]structs.Message, error) { return h.view.all() }
