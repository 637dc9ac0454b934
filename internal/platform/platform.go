// Package platform defines what the system asks of the platform's services and
// holds the HTTP clients that ask it.
package platform

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// Errors of the platform's services. Any other error leaves the outcome of a write unknown.
var (
	// ErrConditionFailed: the transaction was not applied since a condition did not hold.
	ErrConditionFailed = errors.New("table condition failed")
	// ErrNotFound: the row or object does not exist.
	ErrNotFound = errors.New("not found at the platform")
	// ErrNotApplied: the service refused the request before it took effect, such as by its rate limit.
	ErrNotApplied = errors.New("not applied by the platform")
	// ErrUnavailable: the service did not answer; a write may have taken effect.
	ErrUnavailable = errors.New("platform did not answer")
	// ErrHistoryGone: changes since the version asked for are no longer kept; list again.
	ErrHistoryGone = errors.New("history is gone at the platform")
)

// AnyVersion is a condition that always holds; Absent holds when there is no row.
const (
	AnyVersion int64 = -1
	Absent     int64 = 0
)

// Row is one row of the table. Version starts at 1 and grows with each write of the row.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// Condition holds when the row's version is as given; Absent means no row.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write puts a row or deletes it.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is applied whole, when all conditions hold, or not at all.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Table is the transactional table service.
type Table interface {
	// Apply returns nil when applied, ErrConditionFailed or ErrNotApplied when not;
	// after any other error the transaction may have been applied.
	Apply(ctx context.Context, txn Txn) error
	// Get returns ErrNotFound when there is no such row.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and are greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Conflict is an ErrConditionFailed that says which rows there are now.
type Conflict struct {
	// Rows are the current rows of the conditions; a row that does not exist is missing.
	Rows []Row `json:"rows"`
}

// Error implements error.
func (c *Conflict) Error() string { return ErrConditionFailed.Error() }

// Is makes a Conflict an ErrConditionFailed.
func (c *Conflict) Is(target error) bool { return target == ErrConditionFailed }

// Change is one change of a table's rows.
type Change struct {
	Row
	Deleted bool `json:"deleted,omitempty"`
}

// Watcher is a table whose changes can be followed.
type Watcher interface {
	Table
	// Snapshot returns all rows whose keys start with prefix, and the version they show.
	Snapshot(ctx context.Context, prefix string) ([]Row, int64, error)
	// Changes waits up to wait for changes after a version of the rows whose keys start
	// with prefix. It returns them and the version to go on from. It returns
	// ErrHistoryGone when they are no longer kept.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, error)
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, key string, value []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// VM is one line of the platform's lagging list.
type VM struct {
	ID       structs.VMID          `json:"id"`
	Domain   structs.FailureDomain `json:"domain"`
	State    VMState               `json:"state"`
	Address  string                `json:"address"`
	Observed time.Time             `json:"observed"`
}

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Fetch returns the size in bytes when the fetch may start; ErrNotApplied when rate-limited.
	Fetch(ctx context.Context, model, version string) (int64, error)
}
