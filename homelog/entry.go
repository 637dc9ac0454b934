package homelog

import (
	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Aliases of the platform's types, so that code outside this module can name them.
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

// Errors of the home log.
var (
	// ErrStopped means that the log is sealed or deleted; nothing more is committed in it.
	ErrStopped = errors.New("log is sealed")
	// ErrNoLog means that the log does not exist, or that it was deleted after its last
	// program had ended.
	ErrNoLog = errors.New("log does not exist")
	// ErrOtherSuccessor means that the log has been sealed for another log.
	ErrOtherSuccessor = errors.New("log has another successor")
	// ErrOwnerActive means that all attempts to seal the log failed, most likely because its
	// owner is alive and creates records.
	ErrOwnerActive = errors.New("holder of the log is active")
	// ErrCorrupt means that a record cannot be decoded, belongs to another log or is missing.
	ErrCorrupt = errors.New("log is corrupt")
	// ErrTooLarge means that the entries of one append exceed Config.PendingBytes.
	ErrTooLarge = errors.New("entries are too large")
	// ErrReservedKind means that an appended entry has a kind that the home log uses
	// itself, or no program.
	ErrReservedKind = errors.New("entry kind is reserved")
)

// Mark is the effect of an entry on the earlier entries of its program.
type Mark uint8

// Marks of an entry.
const (
	// MarkNone adds the entry to the earlier ones.
	MarkNone Mark = iota
	// MarkReset supersedes the earlier entries: the entry holds the program's whole state.
	MarkReset
	// MarkEnd ends the program. A checkpoint drops the program's earlier entries. It drops this
	// entry too, unless an earlier part of the checkpoint stays, which may hold entries of the
	// program.
	MarkEnd
)

// Entry is one element of a program's history.
type Entry struct {
	Program structs.ProgramID
	// Kind and Data are chosen by the code that appends the entry and not interpreted.
	Kind string
	Data []byte
	Mark Mark
}

// size estimates the encoded size of the entry in bytes.
func (e Entry) size() int {
	const framing = 16 // estimate of field tags, lengths and the mark
	return len(e.Program) + len(e.Kind) + len(e.Data) + framing
}

// Kinds of internal entries, which the home log writes itself. Data is the id of the other
// log that the entry is about.
const (
	// reservedPrefix is the prefix of all internal kinds. Check refuses an append that uses it.
	reservedPrefix = "journal."
	// kindTakeoverIntent: this log's owner is about to seal the other log.
	kindTakeoverIntent = "journal.adopting"
	// kindTakeoverAbandoned: the other log has another successor, or does not exist.
	kindTakeoverAbandoned = "journal.abandoned"
	// kindTakenOver: the record that holds this entry also holds the other log's live programs.
	// The field Program holds the id of the log from which the other log was inherited, if any.
	kindTakenOver = "journal.adopted"
	// kindRedirectDeleted: the other log's redirect row has been deleted.
	kindRedirectDeleted = "journal.forgotten"
)
