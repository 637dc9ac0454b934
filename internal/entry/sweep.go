package entry

import (
	"context"
	"time"
)

// Limits and intervals of the deletion of old action rows.
const (
	// keyRetention is how long a caller's idempotency key is stored after its action ended.
	keyRetention = 24 * time.Hour
	// sweepInterval is the time between two sweeps.
	sweepInterval = time.Minute
	// sweepLimit bounds the rows that one sweep reads. The sweeps of a day read more rows
	// than a day adds.
	sweepLimit = 64
)

// sweep deletes the rows of actions that ended more than keyRetention ago, until ctx
// ends. Only the entries that read the platform on behalf of all do it (see isReader).
func (e *entry) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	after := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !e.peers.isReader() {
			continue
		}
		_, next, err := e.runner.Sweep(ctx, time.Now().Add(-keyRetention), after, sweepLimit)
		if err == nil {
			after = next
		}
	}
}
