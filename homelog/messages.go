package homelog

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Message is an input of Machine.Step.
type Message interface{ isMessage() }

// Start opens the log. It is the first message.
type Start struct{}

// Append queues entries. They are committed together, after all entries appended before.
// After the step, Machine.LastSequence is the sequence number of the last of them.
type Append struct{ Entries []Entry }

// Tick runs the work that has become due.
type Tick struct{}

// Nodes sets the number of processes that share the platform's write rate.
type Nodes struct{ Count int }

// TakeOver requests the takeover of the programs of a log whose owner is presumed dead.
// It is answered by TakeoverDone. Repeating it is harmless.
type TakeOver struct{ Log structs.LogID }

// Retire requests the deletion of the log, which the machine carries out once all entries
// are committed and no live program, redirect row or unfinished takeover is left. It is
// answered by Retired, or by Stopped alone if another process seals the log first.
type Retire struct{}

// Outcome is the outcome of a request to the platform.
type Outcome uint8

// Outcomes of a request.
const (
	// Done means that the request took effect, or that the read succeeded.
	Done Outcome = iota + 1
	// ConditionFailed means that a condition failed; the transaction did not take effect.
	ConditionFailed
	// NotFound means that the row or object does not exist.
	NotFound
	// NotApplied means that the platform refused the request; it did not take effect.
	NotApplied
	// Unknown means that no answer came; a write may have taken effect.
	Unknown
)

// Result answers the effect that has the same call number. Results may arrive late, more
// than once and out of order.
type Result struct {
	Call    uint64
	Outcome Outcome
	// Row is the result of GetRow.
	Row Row
	// Rows are the result of ScanRows.
	Rows []Row
	// Value is the result of GetObject.
	Value []byte
}

func (Start) isMessage()    {}
func (Append) isMessage()   {}
func (Tick) isMessage()     {}
func (Nodes) isMessage()    {}
func (TakeOver) isMessage() {}
func (Retire) isMessage()   {}
func (Result) isMessage()   {}

// Effect is an output of Machine.Step, which the driver carries out.
type Effect interface{ isEffect() }

// Effects answered by a Result with the same call number.
type (
	// Apply applies a transaction.
	Apply struct {
		Call uint64
		Txn  Txn
	}
	// GetRow reads a row.
	GetRow struct {
		Call uint64
		Key  string
	}
	// ScanRows reads rows in key order, as platform.Table.Scan does.
	ScanRows struct {
		Call          uint64
		Prefix, After string
		Limit         int
	}
	// PutObject writes an object.
	PutObject struct {
		Call  uint64
		Key   string
		Value []byte
	}
	// GetObject reads an object.
	GetObject struct {
		Call uint64
		Key  string
	}
	// DeleteObject deletes an object.
	DeleteObject struct {
		Call uint64
		Key  string
	}
)

// Committed reports that all entries up to and including the sequence number are durable.
type Committed struct{ Through uint64 }

// Stopped reports that the log is sealed or deleted. No further entries are committed in it.
// However, a record whose create was not answered may exist, and is then taken over with the
// log. Successor is empty when the log no longer exists.
type Stopped struct{ Successor structs.LogID }

// TakeoverDone answers all TakeOver messages of a log that came before it. Err is nil or wraps
// ErrNoLog, ErrOtherSuccessor, ErrOwnerActive, ErrCorrupt or ErrStopped. Entries are those of
// the live programs, grouped by program and in order; they are already committed in this
// machine's log. Entries are empty, and Err is nil, for a log that was taken over before and
// for this machine's log.
type TakeoverDone struct {
	Log     structs.LogID
	Entries []Entry
	Err     error
}

// Retired answers Retire when the log has been deleted.
type Retired struct{}

// WakeAt requests a Tick at the given time. A later WakeAt replaces an earlier one.
type WakeAt struct{ At time.Time }

func (Apply) isEffect()        {}
func (GetRow) isEffect()       {}
func (ScanRows) isEffect()     {}
func (PutObject) isEffect()    {}
func (GetObject) isEffect()    {}
func (DeleteObject) isEffect() {}
func (Committed) isEffect()    {}
func (Stopped) isEffect()      {}
func (TakeoverDone) isEffect() {}
func (Retired) isEffect()      {}
func (WakeAt) isEffect()       {}
