// Package tablerelay lets an entry reach the platform's table through another one, by messages
// between entries.
package tablerelay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
)

// Codes by which entries pass on errors of the platform's table.
const (
	codeConflict    = "conflict"
	codeNotFound    = "not_found"
	codeNotApplied  = "not_applied"
	codeHistoryGone = "history_gone"
	codeUnavailable = "unavailable"
)

// tableCall asks a peer to make a call to the platform's table. The path of the message
// names the call.
type tableCall struct {
	Txn *platformapi.Txn `json:"txn,omitempty"`
	// Key is the key of a get; Prefix selects the rows of the other reads.
	Key    string `json:"key,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// After is the version after which changes are returned, Wait how long to wait for them.
	After int64 `json:"after,omitempty"`
	// From is the key after which a scan begins, Limit the maximum number of its rows.
	From  string        `json:"from,omitempty"`
	Limit int           `json:"limit,omitempty"`
	Wait  time.Duration `json:"wait,omitempty"`
}

// tableAnswer is the result of a tableCall. Code is empty on success.
type tableAnswer struct {
	Code    string               `json:"code,omitempty"`
	Detail  string               `json:"detail,omitempty"`
	Rows    []platformapi.Row    `json:"rows,omitempty"`
	Changes []platformapi.Change `json:"changes,omitempty"`
	Version int64                `json:"version,omitempty"`
}

// Serve has the mesh answer table calls of entries that can't reach the table. The calls are made
// with direct only, which must not itself relay, so that entries cannot forward a call in a loop.
func Serve(m *mesh.Mesh, direct platformapi.Watcher) {
	m.HandleMessage("/table/{verb}", func(w http.ResponseWriter, r *http.Request) {
		var call tableCall
		if m.ReadMessage(w, r, &call) {
			m.WriteAnswer(w, r, callTable(r.Context(), direct, chi.URLParam(r, "verb"), &call))
		}
	})
}

// callTable makes the call that the verb names to the table.
func callTable(ctx context.Context, t platformapi.Watcher, verb string, c *tableCall) (a tableAnswer) {
	var err error
	switch verb {
	case "apply":
		if c.Txn == nil {
			return tableAnswer{Code: codeNotApplied, Detail: "no transaction"}
		}
		c.Txn.Applied = &a.Version
		err = t.Apply(ctx, *c.Txn)
	case "get":
		var row platformapi.Row
		row, err = t.Get(ctx, c.Key)
		a.Rows = []platformapi.Row{row}
	case "scan":
		a.Rows, err = t.Scan(ctx, c.Prefix, c.From, c.Limit)
	case "snapshot":
		a.Rows, a.Version, err = t.Snapshot(ctx, c.Prefix)
	case "changes":
		a.Changes, a.Version, err = t.Changes(ctx, c.Prefix, c.After, c.Wait)
	default:
		return tableAnswer{Code: codeNotApplied, Detail: "unknown call " + verb}
	}
	if err != nil {
		return encodeError(err)
	}
	return a
}

// encodeError returns the answer for an error of the table. An error without a code of its own is
// sent as codeUnavailable.
func encodeError(err error) tableAnswer {
	var conflict *platformapi.Conflict
	a := tableAnswer{Code: codeUnavailable, Detail: err.Error()}
	switch {
	case errors.As(err, &conflict):
		a.Code, a.Rows = codeConflict, conflict.Rows
	case errors.Is(err, platformapi.ErrNotFound):
		a.Code = codeNotFound
	case errors.Is(err, platformapi.ErrHistoryGone):
		a.Code = codeHistoryGone
	case errors.Is(err, platformapi.ErrNotApplied):
		a.Code = codeNotApplied
	}
	return a
}

// err returns the error that Code represents; nil on success.
func (a *tableAnswer) err() error {
	switch a.Code {
	case "":
		return nil
	case codeConflict:
		return &platformapi.Conflict{Rows: a.Rows}
	case codeNotFound:
		return platformapi.ErrNotFound
	case codeHistoryGone:
		return platformapi.ErrHistoryGone
	case codeNotApplied:
		return errors.Wrap(platformapi.ErrNotApplied, a.Detail)
	default:
		return errors.Wrap(platformapi.ErrUnavailable, a.Detail)
	}
}

// Table accesses the platform's table through another entry.
type Table struct {
	mesh    *mesh.Mesh
	address string
}

// Through returns the table as accessed through the entry with the HTTP address.
func Through(m *mesh.Mesh, address string) *Table { return &Table{mesh: m, address: address} }

var _ platformapi.Watcher = (*Table)(nil)

// call sends a call to the other entry. A failure to reach that entry or to get a valid answer is
// marked as mesh.ErrUnreachable; any other error is the one that the table returned.
func (t *Table) call(ctx context.Context, verb string, c tableCall) (*tableAnswer, error) {
	var a tableAnswer
	if err := t.mesh.Post(ctx, t.address, "/table/"+verb, c, &a); err != nil {
		return nil, errors.Mark(err, mesh.ErrUnreachable)
	}
	return &a, a.err()
}

// Apply implements platformapi.Table.
func (t *Table) Apply(ctx context.Context, txn platformapi.Txn) error {
	a, err := t.call(ctx, "apply", tableCall{Txn: &txn})
	if err == nil && txn.Applied != nil {
		*txn.Applied = a.Version
	}
	return err
}

// Get implements platformapi.Table.
func (t *Table) Get(ctx context.Context, key string) (platformapi.Row, error) {
	a, err := t.call(ctx, "get", tableCall{Key: key})
	if err != nil {
		return platformapi.Row{}, err
	}
	if len(a.Rows) != 1 {
		return platformapi.Row{}, errors.Wrapf(platformapi.ErrUnavailable, "answer of entry %q has %d rows, want 1", t.address, len(a.Rows))
	}
	return a.Rows[0], nil
}

// Scan implements platformapi.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platformapi.Row, error) {
	a, err := t.call(ctx, "scan", tableCall{Prefix: prefix, From: after, Limit: limit})
	if err != nil {
		return nil, err
	}
	return a.Rows, nil
}

// Snapshot implements platformapi.Watcher.
func (t *Table) Snapshot(ctx context.Context, prefix string) ([]platformapi.Row, int64, error) {
	a, err := t.call(ctx, "snapshot", tableCall{Prefix: prefix})
	if err != nil {
		return nil, 0, err
	}
	return a.Rows, a.Version, nil
}

// Changes implements platformapi.Watcher.
func (t *Table) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platformapi.Change, int64, error) {
	a, err := t.call(ctx, "changes", tableCall{Prefix: prefix, After: after, Wait: wait})
	if err != nil {
		return nil, 0, err
	}
	return a.Changes, a.Version, nil
}
