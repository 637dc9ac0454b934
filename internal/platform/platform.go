// Package platform defines the interfaces of the platform's services (table, object
// store, VM list and weight store) and implements all but Watcher over HTTP. Its errors
// report whether a write was applied, was not applied, or has an unknown outcome.
package platform

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// Errors of the platform's services. Only ErrConditionFailed and ErrNotApplied prove
// that a write was not applied; after every other error it may have been applied.
var (
	// ErrConditionFailed means that the transaction was not applied because a condition did
	// not hold.
	ErrConditionFailed = errors.New("table condition failed")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("not found at the platform")
	// ErrNotApplied means that the request had no effect: it was never sent, or the service
	// refused it, for example by its rate limit.
	ErrNotApplied = errors.New("not applied by the platform")
	// ErrUnavailable means that the service did not answer, that its response is incomplete, too
	// large or malformed, or that its error status does not tell the outcome. A write may have
	// been applied.
	ErrUnavailable = errors.New("platform did not answer")
	// ErrHistoryGone means that the table no longer has the changes of its rows since the
	// requested version; take a new snapshot.
	ErrHistoryGone = errors.New("history is gone at the platform")
)

// Values of Condition.Version with a special meaning. A condition with AnyVersion always holds;
// one with Absent holds if the row does not exist.
const (
	AnyVersion int64 = -1
	Absent     int64 = 0
)

// Row is one row of the table. Its version starts at 1 and increases with each write of the row.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// Condition holds if the row has the given version; see also AnyVersion and Absent.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write stores or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is an atomic transaction: all its writes are applied if all its conditions hold, else none.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
	// Applied, unless it is nil, receives the version of the table once the transaction is applied, if the
	// client learns of it. It is usually that of the rows written, and newer if others wrote meanwhile.
	Applied *int64 `json:"-"`
}

// Table is the transactional table service.
type Table interface {
	// Apply returns nil if the transaction was applied, and ErrConditionFailed or
	// ErrNotApplied if it was not. After any other error it may have been applied.
	Apply(ctx context.Context, txn Txn) error
	// Get returns the row, or ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns, in key order, at most limit rows whose keys start with prefix and are greater
	// than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Conflict is an ErrConditionFailed that carries the current rows.
type Conflict struct {
	// Rows are the current rows of the transaction's conditions, without rows that do not exist.
	Rows []Row `json:"rows"`
}

// Error implements error.
func (c *Conflict) Error() string { return ErrConditionFailed.Error() }

// Is makes errors.Is(c, ErrConditionFailed) true.
func (c *Conflict) Is(target error) bool { return target == ErrConditionFailed }

// Change is the new state of a row, or its deletion.
type Change struct {
	Row
	Deleted bool `json:"deleted,omitempty"`
}

// Watcher is a table that also reports changes.
type Watcher interface {
	Table
	// Snapshot returns all rows whose keys start with prefix, and the version of the table that
	// they reflect.
	Snapshot(ctx context.Context, prefix string) ([]Row, int64, error)
	// Changes waits at most wait for changes that are newer than version after, of rows whose
	// keys start with prefix. It returns them and the version for the next call. It returns
	// ErrHistoryGone if the changes after that version are no longer stored.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, error)
}

// Objects is the object store.
type Objects interface {
	// Put stores an object, or replaces the one with that key.
	Put(ctx context.Context, key string, value []byte) error
	// Get returns the object, or ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete deletes the object. It succeeds if the object does not exist.
	Delete(ctx context.Context, key string) error
}

// VMState is the state of a VM in the platform's VM list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// VM is one element of the platform's VM list.
type VM struct {
	ID      structs.VMID          `json:"id"`
	Domain  structs.FailureDomain `json:"domain"`
	State   VMState               `json:"state"`
	Address string                `json:"address"`
	// Observed is when the platform observed State.
	Observed time.Time `json:"observed"`
}

// VMList is the platform's list of VMs and their states. It lags behind the real state.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Fetch returns the size in bytes if the fetch may start, and ErrNotApplied if it is rate-limited.
	Fetch(ctx context.Context, model, version string) (int64, error)
}
