package gateway

import (
	"context"
	"sync"
	"time"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
)

const (
	// chainTime is how long after its own retention a row stays: a later turn may still
	// continue from its chain, and a program may still draw from its budget.
	chainTime = 15 * time.Minute
	// maxExpiring bounds the rows whose end is remembered, to a few MB.
	maxExpiring = 1 << 16
	// sweepEvery and sweepRows pace the removal: far below the rate of new rows it may take
	// while it catches up.
	sweepEvery = time.Second
	sweepRows  = 60
	// sweepTimeout bounds one removal.
	sweepTimeout = 2 * time.Second
)

// expiry removes the rows that this entry has written once nothing needs them. Rows of
// an entry that died stay in the table.
type expiry struct {
	commits *committer

	mu    sync.Mutex
	queue []expiring // in the order of their ends, nearly
}

type expiring struct {
	key string
	at  time.Time
}

// add remembers a row that is needed for the retention and the time after it.
func (e *expiry) add(key string, retention time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) >= maxExpiring {
		e.commits.metrics.rowsNotExpired.Inc(1)
		e.queue = e.queue[1:]
	}
	e.queue = append(e.queue, expiring{key, time.Now().Add(retention + chainTime)})
}

// due takes the rows whose end has come.
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

// run removes rows until ctx ends.
func (e *expiry) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepEvery)
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
