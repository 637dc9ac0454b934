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
	// KindTurn states a turn that is under way.
	KindTurn = "turn"
	// KindStep adds messages to the history.
	KindStep = "step"
	// KindDraw states the total drawn on the budget, and the share of a sub-agent.
	KindDraw = "draw"
	// KindEnd ends a turn without an answer.
	KindEnd = "end"
	// KindClosed ends the program.
	KindClosed = "closed"
	// KindCheckpoint carries the whole state; it replaces all earlier records.
	KindCheckpoint = "checkpoint"
)

// Errors of Restore.
var (
	// ErrBadEntry: a record does not decode or does not fit the records before it.
	ErrBadEntry = errors.New("malformed journal entry")
	// ErrOtherProgram: a record belongs to another program.
	ErrOtherProgram = errors.New("journal entry of another program")
	// ErrBadHistory: the messages of a record do not continue the history.
	ErrBadHistory = errors.New("history digest does not match")
	// ErrGap: a record is missing.
	ErrGap = errors.New("journal entry is missing")
)

// LogRecord is one record of one program as the journal keeps it.
type LogRecord struct {
	Program structs.ProgramID
	Kind    string
	Data    []byte
}

// header is the part that all records have.
type header struct {
	Program structs.ProgramID `json:"program"`
	Seq     uint64            `json:"seq"`
	// Drawn is the total drawn on the budget.
	Drawn Amount `json:"drawn"`
}

// entryBody is the part that differs by kind.
type entryBody interface{ kind() string }

type openEntry struct {
	Spec structs.ProgramSpec `json:"spec"`
}

// turnEntry states a turn: what was asked and until when.
type turnEntry struct {
	Number   uint32    `json:"number"`
	Key      string    `json:"key,omitempty"`
	Content  string    `json:"content"`
	Deadline time.Time `json:"deadline"`
}

// delta continues the history. The first delta of a turn includes the turn's own
// message, which Messages leaves out.
type delta struct {
	Messages []structs.Message `json:"messages,omitempty"`
	Before   structs.Digest    `json:"before"`
	After    structs.Digest    `json:"after"`
}

// stepEntry is a model answer, or the results of all its tool calls.
type stepEntry struct {
	Turn uint32 `json:"turn"`
	// Step is the number of the last step that the record covers.
	Step  uint32        `json:"step"`
	Delta delta         `json:"delta"`
	Usage structs.Usage `json:"usage"`
	// Context is the engine's count of tokens of the whole history; 0 when unknown.
	Context int64 `json:"context,omitempty"`
	// Final says that the last message answers the turn.
	Final bool `json:"final,omitempty"`
}

// drawEntry states a draw. Call is empty, or a sub-agent whose share is stated: what it
// may use or, once it has ended, what it used.
type drawEntry struct {
	Call  structs.CallID `json:"call,omitempty"`
	Share Amount         `json:"share"`
}

// endEntry ends a turn without an answer. A turn that is not consumed may be sent again.
type endEntry struct {
	Turn     uint32           `json:"turn"`
	Step     uint32           `json:"step"`
	Refusal  *structs.Refusal `json:"refusal"`
	Consumed bool             `json:"consumed"`
	Delta    delta            `json:"delta"`
	Usage    structs.Usage    `json:"usage"`
}

type closedEntry struct{}

func (openEntry) kind() string   { return KindOpen }
func (turnEntry) kind() string   { return KindTurn }
func (stepEntry) kind() string   { return KindStep }
func (drawEntry) kind() string   { return KindDraw }
func (endEntry) kind() string    { return KindEnd }
func (closedEntry) kind() string { return KindClosed }

// wireEntry joins the header and one body in one JSON object.
type wireEntry struct {
	header
	Body json.RawMessage `json:"body"`
}

// record numbers a record and emits it.
func (m *Machine) record(body entryBody) uint64 {
	m.seq++
	m.ledger.ahead = Amount{Tokens: m.nextCallTokens(), Calls: 1}
	m.ledger.topUp()
	m.ledger.recorded(m.seq)
	head := header{Program: m.id, Seq: m.seq, Drawn: m.ledger.stated}
	m.emit(AppendRecord{Seq: m.seq, Kind: body.kind(), Data: encodeEntry(head, body)})
	return m.seq
}

// encodeEntry never fails: the bodies hold no value that JSON cannot carry.
func encodeEntry(head header, body entryBody) []byte {
	raw, err := marshal(body)
	if err != nil {
		panic(errors.Wrapf(err, "record kind %q", body.kind()))
	}
	data, err := marshal(wireEntry{header: head, Body: raw})
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

// decodeEntry returns the header and the body of a record other than a checkpoint.
// It returns ErrBadEntry or ErrOtherProgram.
func decodeEntry(e LogRecord) (header, entryBody, error) {
	var wire wireEntry
	if err := json.Unmarshal(e.Data, &wire); err != nil {
		return header{}, nil, errors.Wrapf(ErrBadEntry, "kind %q: %v", e.Kind, err)
	}
	if wire.Program != e.Program {
		return header{}, nil, errors.Wrapf(ErrOtherProgram, "record of %q filed under %q", wire.Program, e.Program)
	}
	body, err := decodeBody(e.Kind, wire.Body)
	if err != nil {
		return header{}, nil, errors.Wrapf(ErrBadEntry, "kind %q: %v", e.Kind, err)
	}
	return wire.header, body, nil
}

func decodeBody(kind string, raw []byte) (entryBody, error) {
	switch kind {
	case KindOpen:
		return unmarshal[openEntry](raw)
	case KindTurn:
		return unmarshal[turnEntry](raw)
	case KindStep:
		return unmarshal[stepEntry](raw)
	case KindDraw:
		return unmarshal[drawEntry](raw)
	case KindEnd:
		return unmarshal[endEntry](raw)
	case KindClosed:
		return unmarshal[closedEntry](raw)
	}
	return nil, errors.New("unknown kind")
}

func unmarshal[T entryBody](raw []byte) (entryBody, error) {
	var body T
	err := json.Unmarshal(raw, &body)
	return body, err
}
