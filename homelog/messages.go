package homelog

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Message is what a Machine is stepped by.
type Message interface{ isMessage() }

// Start opens the log; it comes first.
type Start struct{}

// Append queues entries. They are committed together, after all that were appended before.
// Machine.LastSequence is then the sequence number of the last of them.
type Append struct{ Entries []Entry }

// Tick says that time has passed.
type Tick struct{}

// Nodes is the number of processes that share the platform's writes.
type Nodes struct{ Count int }

// TakeOver asks to take over the programs of a log whose holder seems dead.
// It is answered by Adopted; repeating it is harmless.
type TakeOver struct{ Log structs.LogID }

// Retire asks to delete the log, which the machine does once all is committed and
// no program is live; it is answered by Retired.
type Retire struct{}

// Outcome is what became of a request to the platform.
type Outcome uint8

// Outcomes.
const (
	// Done: the request took effect, or the read succeeded.
	Done Outcome = iota + 1
	// ConditionFailed: the transaction did not take effect.
	ConditionFailed
	// NotFound: there is no such row or object.
	NotFound
	// NotApplied: the request was refused before it took effect.
	NotApplied
	// Unknown: no answer came; a write may have taken effect.
	Unknown
)

// Result answers the effect that carries the same call number. Results may come
// late, twice and out of order.
type Result struct {
	Call    uint64
	Outcome Outcome
	// Row answers GetRow.
	Row Row
	// Rows answers ScanRows.
	Rows []Row
	// Value answers GetObject.
	Value []byte
}

func (Start) isMessage()    {}
func (Append) isMessage()   {}
func (Tick) isMessage()     {}
func (Nodes) isMessage()    {}
func (TakeOver) isMessage() {}
func (Retire) isMessage()   {}
func (Result) isMessage()   {}

// Effect is what a Machine asks its shell to do.
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

// Committed says that all entries up to and including the sequence number are kept.
type Committed struct{ Through uint64 }

// Stopped says that the log is sealed: what is not committed never will be in this
// log, though its last record may have been taken over. Successor is empty when the
// log is gone altogether.
type Stopped struct{ Successor structs.LogID }

// TakeoverDone answers Adopt. Err is nil, ErrNoLog, ErrAdoptedElsewhere, ErrCorrupt or
// ErrStopped. Entries are those of the live programs, grouped by program and in order;
// they are already committed in the own log.
type TakeoverDone struct {
	Log     structs.LogID
	Entries []Entry
	Err     error
}

// Retired answers Retire: the log is deleted.
type Retired struct{}

// WakeAt asks for a Tick at the time; a later WakeAt replaces an earlier one.
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
