package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
)

// budgetRowRetention is how long a budget's row stays in the table after its last change.
const budgetRowRetention = budgetIdle + expiryGrace

// budgetExpiry deletes the rows of budgets that nobody has changed for budgetRowRetention. Every entry that
// changed a row watches it, since the others may end; a deletion depends on the version that the row had when
// the time began. What is watched is in memory only: rows of entries that end without others stay in the table.
type budgetExpiry struct {
	table   platformapi.Table
	commits *committer

	mu sync.Mutex
	// rows holds each row that is watched, and queue the keys in the order of their first due times.
	rows  map[string]watchedRow
	queue []string
}

// watchedRow is the version of a row, 0 if that is not known, and when it may be deleted if it still has that version.
type watchedRow struct {
	version int64
	due     time.Time
}

// watch notes that a row has a version since now.
func (e *budgetExpiry) watch(key string, version int64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.rows[key]; !ok {
		if len(e.queue) >= maxExpiring {
			e.commits.metrics.rowsNotExpired.Inc(1)
			return
		}
		e.queue = append(e.queue, key)
	}
	e.rows[key] = watchedRow{version, now.Add(budgetRowRetention)}
}

// due removes up to sweepRows rows whose time has come from those that are watched, and returns them.
func (e *budgetExpiry) due(now time.Time) map[string]watchedRow {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]watchedRow{}
	for range min(len(e.queue), sweepRows) {
		key := e.queue[0]
		row := e.rows[key]
		if now.Before(row.due) {
			if len(out) > 0 || !e.rotate(now) {
				break
			}
			continue
		}
		e.queue = e.queue[1:]
		delete(e.rows, key)
		out[key] = row
	}
	return out
}

// rotate moves the first row to the end of the queue if it was changed since it was queued, so that it does not
// hide those behind it. It reports whether it did.
func (e *budgetExpiry) rotate(now time.Time) bool {
	key := e.queue[0]
	if len(e.queue) == 1 || e.rows[key].due.Sub(now) < budgetRowRetention/2 {
		return false
	}
	e.queue = append(e.queue[1:], key)
	return true
}

// run deletes rows until ctx ends.
func (e *budgetExpiry) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		e.sweep(ctx, time.Now())
	}
}

// sweep deletes the rows that are due, and goes on watching those that it could not delete or that have another version.
func (e *budgetExpiry) sweep(ctx context.Context, now time.Time) {
	for key, row := range e.due(now) {
		version, gone := e.remove(ctx, key, row.version)
		if !gone {
			e.watch(key, version, now)
		}
	}
}

// remove deletes a row if it has the version. Otherwise it returns the row's present version, 0 if that is not
// known, and whether the row is gone.
func (e *budgetExpiry) remove(ctx context.Context, key string, version int64) (present int64, gone bool) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	if version == 0 {
		row, err := e.table.Get(ctx, key)
		return row.Version, errors.Is(err, platformapi.ErrNotFound)
	}
	err := e.commits.apply(ctx, []platformapi.Condition{{Key: key, Version: version}}, []platformapi.Write{{Key: key, Delete: true}})
	var conflict *platformapi.Conflict
	if errors.As(err, &conflict) {
		for _, r := range conflict.Rows {
			if r.Key == key {
				return r.Version, false
			}
		}
		return 0, true
	}
	return 0, err == nil
}
