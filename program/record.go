package program

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// Kinds of records.
const (
	// KindOpen opens the program.
	KindOpen = "open"
	// KindTurn records that a turn is under way.
	KindTurn = "turn"
	// KindStep adds messages to the history.
	KindStep = "step"
	// KindDraw records the total drawn on the budget, and the share of a sub-agent.
	KindDraw = "draw"
	// KindTurnEnd ends a turn without an answer.
	KindTurnEnd = "end"
	// KindClosed ends the program.
	KindClosed = "closed"
	// KindCheckpoint holds the state of all earlier records and replaces them.
	KindCheckpoint = "checkpoint"
)

// Errors of Restore.
var (
	// ErrMalformedRecord reports a record that does not decode or does not fit the records
	// before it.
	ErrMalformedRecord = errors.New("malformed journal entry")
	// ErrOtherProgram reports a record that belongs to another program.
	ErrOtherProgram = errors.New("record of another program")
	// ErrBadHistory reports a record whose messages do not continue the history.
	ErrBadHistory = errors.New("history digest does not match")
	// ErrGap reports a missing record.
	ErrGap = errors.New("record is missing")
)

// LogRecord is one record of one program as the home log holds it.
type LogRecord struct {
	Program structs.ProgramID
	Kind    string
	Data    []byte
}

// recordHeader is the part that all records have in common.
type recordHeader struct {
	Program structs.ProgramID `json:"program"`
	Seq     uint64            `json:"seq"`
	// Drawn is the total drawn on the budget.
	Drawn Amount `json:"drawn"`
}

// recordBody is the part that depends on the kind of record.
type recordBody interface{ kind() string }

// openRecord is the first record of a program.
type openRecord struct {
	Spec structs.ProgramSpec `json:"spec"`
}

// turnRecord holds the number, content and deadline of a turn.
type turnRecord struct {
	Number   uint32    `json:"number"`
	Key      string    `json:"key,omitempty"`
	Content  string    `json:"content"`
	Deadline time.Time `json:"deadline"`
}

// delta extends the history. The digests of a turn's first delta also cover the turn's own
// message. Messages omits it, since the turn record holds its content.
type delta struct {
	Messages []structs.Message          `json:"messages,omitempty"`
	Before   structs.ConversationDigest `json:"before"`
	After    structs.ConversationDigest `json:"after"`
}

// stepRecord holds a model answer, or the results of the batch that the answer asked for.
type stepRecord struct {
	Turn uint32 `json:"turn"`
	// Step is the number of the last step that the record covers.
	Step  uint32        `json:"step"`
	Delta delta         `json:"delta"`
	Usage structs.Usage `json:"usage"`
	// Context is the engine's token count of the whole history; 0 when unknown.
	Context int64 `json:"context,omitempty"`
	// Final reports whether the last message is the answer of the turn.
	Final bool `json:"final,omitempty"`
}

// drawRecord records the total drawn, which the header of every record holds. If Call names a
// sub-agent, Share is what it may use or, once it has ended, what it used.
type drawRecord struct {
	Call  structs.CallID `json:"call,omitempty"`
	Share Amount         `json:"share"`
}

// turnEndRecord ends a turn without an answer.
type turnEndRecord struct {
	Turn    uint32           `json:"turn"`
	Step    uint32           `json:"step"`
	Refusal *structs.Refusal `json:"refusal"`
	// Consumed reports whether the history holds the turn, so that its number is used up. A
	// turn that is not consumed may be submitted again under its number.
	Consumed bool          `json:"consumed"`
	Delta    delta         `json:"delta"`
	Usage    structs.Usage `json:"usage"`
}

// closedRecord ends the program.
type closedRecord struct{}

func (openRecord) kind() string    { return KindOpen }
func (turnRecord) kind() string    { return KindTurn }
func (stepRecord) kind() string    { return KindStep }
func (drawRecord) kind() string    { return KindDraw }
func (turnEndRecord) kind() string { return KindTurnEnd }
func (closedRecord) kind() string  { return KindClosed }

// wireRecord is the JSON form of a record: the header and one encoded body.
type wireRecord struct {
	recordHeader
	Body json.RawMessage `json:"body"`
}

// record emits the next record and returns its number. The record holds the total drawn on the
// budget, which topUp may raise first.
func (m *Machine) record(body recordBody) uint64 {
	m.seq++
	m.ledger.nextStep = Amount{Tokens: m.nextCallTokens(), Calls: 1}
	m.ledger.topUp()
	m.ledger.recordDraw(m.seq)
	head := recordHeader{Program: m.id, Seq: m.seq, Drawn: m.ledger.requestedTotal}
	m.emit(AppendRecord{Seq: m.seq, Kind: body.kind(), Data: encodeRecord(head, body)})
	return m.seq
}

// encodeRecord returns the JSON form of a record. It panics on an encoding error, which cannot
// occur: the bodies hold no value that JSON cannot represent.
func encodeRecord(head recordHeader, body recordBody) []byte {
	raw, err := marshal(body)
	if err != nil {
		panic(errors.Wrapf(err, "record kind %q", body.kind()))
	}
	data, err := marshal(wireRecord{recordHeader: head, Body: raw})
	if err != nil {
		panic(errors.Wrapf(err, "record kind %q", body.kind()))
	}
	return data
}

// marshal is json.Marshal without the escapes for HTML, which would lengthen histories.
func marshal(v any) ([]byte, error) {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

// decodeRecord returns the header and the body of a record other than a checkpoint. It returns
// ErrMalformedRecord or ErrOtherProgram.
func decodeRecord(e LogRecord) (recordHeader, recordBody, error) {
	var wire wireRecord
	if err := json.Unmarshal(e.Data, &wire); err != nil {
		return recordHeader{}, nil, errors.Wrapf(ErrMalformedRecord, "kind %q: %v", e.Kind, err)
	}
	if wire.Program != e.Program {
		return recordHeader{}, nil, errors.Wrapf(ErrOtherProgram, "record of %q stored under %q", wire.Program, e.Program)
	}
	body, err := decodeBody(e.Kind, wire.Body)
	if err != nil {
		return recordHeader{}, nil, errors.Wrapf(ErrMalformedRecord, "kind %q: %v", e.Kind, err)
	}
	return wire.recordHeader, body, nil
}

func decodeBody(kind string, raw []byte) (recordBody, error) {
	switch kind {
	case KindOpen:
		return unmarshal[openRecord](raw)
	case KindTurn:
		return unmarshal[turnRecord](raw)
	case KindStep:
		return unmarshal[stepRecord](raw)
	case KindDraw:
		return unmarshal[drawRecord](raw)
	case KindTurnEnd:
		return unmarshal[turnEndRecord](raw)
	case KindClosed:
		return unmarshal[closedRecord](raw)
	}
	return nil, errors.New("unknown kind")
}

func unmarshal[T recordBody](raw []byte) (recordBody, error) {
	var body T
	err := json.Unmarshal(raw, &body)
	return body, err
}
