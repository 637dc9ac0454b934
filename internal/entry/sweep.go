package entry

import (
	"context"
	"time"
)

// Times of the sweep of action rows.
const (
	// keyMemory is how long a caller's idempotency key is remembered after its action ended.
	keyRetention = 24 * time.Hour
	// sweepInterval is the time between two looks at a few rows.
	sweepInterval = time.Minute
	// sweepLimit bounds the rows of one look: more than a day's actions in a day of looks.
	sweepLimit = 64
)

// sweep deletes the rows of actions that ended long ago, until ctx ends. Only the
// entries that read for all do it.
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
