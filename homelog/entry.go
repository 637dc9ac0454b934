package homelog

import (
	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Names of the platform's types, so that embedders outside this module can use them.
type (
	// Row is one row of the platform's table.
	Row = platform.Row
	// Txn is one transaction of the platform's table.
	Txn = platform.Txn
	// Condition is one condition of a transaction.
	Condition = platform.Condition
	// Write is one write of a transaction.
	Write = platform.Write
)

// Errors of the journal.
var (
	// ErrStopped: the log is sealed; nothing more is committed in it.
	ErrStopped = errors.New("log is sealed")
	// ErrNoLog: there is no such log, or its last program has ended.
	ErrNoLog = errors.New("log does not exist")
	// ErrOtherSuccessor: another log is the successor of the log.
	ErrOtherSuccessor = errors.New("log has another successor")
	// ErrOwnerActive: the log's holder kept creating records and could not be sealed.
	ErrOwnerActive = errors.New("holder of the log is active")
	// ErrCorrupt: a record does not decode, lies in the wrong log or is missing.
	ErrCorrupt = errors.New("log is corrupt")
	// ErrTooLarge: entries exceed the limit of one append.
	ErrTooLarge = errors.New("entries are too large")
	// ErrReservedKind: an appended entry has a kind that the journal uses itself.
	ErrReservedKind = errors.New("entry kind is reserved")
)

// Mark says what an entry does to the earlier entries of its program.
type Mark uint8

// Marks.
const (
	// MarkNone adds the entry to the earlier ones.
	MarkNone Mark = iota
	// MarkReset makes the earlier entries superfluous: the entry carries the program's whole state.
	MarkReset
	// MarkEnd ends the program: the entry and the earlier ones are dropped at the next checkpoint.
	MarkEnd
)

// Entry is one step of one program. The journal does not read Data.
type Entry struct {
	Program structs.ProgramID
	Kind    string
	Data    []byte
	Mark    Mark
}

// size estimates the encoded size of the entry in bytes.
func (e Entry) size() int {
	const framing = 16
	return len(e.Program) + len(e.Kind) + len(e.Data) + framing
}

// Kinds of the journal's own entries. Data is the id of the log that the entry is about.
const (
	reservedPrefix = "journal."
	// kindAdopting says that the log's owner is about to seal another log.
	kindAdopting = "journal.adopting"
	// kindAbandoned says that another log won the seal, or that there was nothing to adopt.
	kindAbandoned = "journal.abandoned"
	// kindAdopted says that the entries beside it are the other log's live programs;
	// Program holds the log through which it was inherited, if any.
	kindAdopted = "journal.adopted"
	// kindForgotten says that the other log's redirect row has been deleted.
	kindForgotten = "journal.forgotten"
)
