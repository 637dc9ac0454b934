package gateway

import (
	"context"
	"sync"
	"time"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
)

const (
	// expiryGrace is how long a row stays in the table after its retention: a later turn may
	// still continue from a stored turn, and a program may still draw from its budget.
	expiryGrace = 15 * time.Minute
	// maxExpiring bounds the number of rows queued for removal, which take a few MB.
	maxExpiring = 1 << 16
	// sweepInterval and sweepRows limit the rate of removals. It is far below the rate of new
	// rows, so that a backlog of removals does not take up the table's write rate.
	sweepInterval = time.Second
	sweepRows     = 60
	// sweepTimeout bounds one removal of up to sweepRows rows.
	sweepTimeout = 2 * time.Second
)

// expiry deletes rows that this entry wrote, once their retention and expiryGrace have passed.
// The queue is in memory only: rows that are queued when the entry crashes or stops, or whose
// deletion fails, stay in the table.
type expiry struct {
	commits *committer

	mu sync.Mutex
	// queue is in the order in which rows were added. This is roughly that of their expiry;
	// a row that expires later delays those behind it.
	queue []expiringRow
}

// expiringRow is a row and the time from which it may be removed.
type expiringRow struct {
	key string
	at  time.Time
}

// add queues a row for removal after its retention and expiryGrace. When the queue is full,
// the oldest row is dropped from it and stays in the table.
func (e *expiry) add(key string, retention time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) >= maxExpiring {
		e.commits.metrics.rowsNotExpired.Inc(1)
		e.queue = e.queue[1:]
	}
	e.queue = append(e.queue, expiringRow{key, time.Now().Add(retention + expiryGrace)})
}

// due removes up to sweepRows expired rows from the queue and returns their deletions.
func (e *expiry) due(now time.Time) []platformapi.Write {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []platformapi.Write
	for len(e.queue) > 0 && len(out) < sweepRows && now.After(e.queue[0].at) {
		out = append(out, platformapi.Write{Key: e.queue[0].key, Delete: true})
		e.queue = e.queue[1:]
	}
	return out
}

// run deletes expired rows from the table until ctx ends.
func (e *expiry) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		writes := e.due(time.Now())
		if len(writes) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
		if err := e.commits.apply(ctx, nil, writes); err != nil {
			e.commits.metrics.rowsNotExpired.Inc(int64(len(writes)))
		}
		cancel()
	}
}
