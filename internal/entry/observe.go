package entry

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
)

// observeInterval is the time between two looks at the conditions that are logged.
const observeInterval = 500 * time.Millisecond

// observed is what the last look at the entry's conditions showed.
type observed struct {
	ready       bool
	outageSince time.Time
}

// observe logs when the entry becomes ready or ceases to be, and when an outage of the
// platform begins and ends.
func (e *entry) observe(ctx context.Context) error {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	var last observed
	for {
		last = e.logChanges(last, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (e *entry) logChanges(last observed, now time.Time) observed {
	reason := e.notReady()
	seen := observed{ready: reason == "", outageSince: e.committer.Status().OutageSince}
	switch {
	case seen.ready && !last.ready:
		e.env.Log.Emit(eventlog.EntryReady, eventlog.Fields{Step: "readiness"})
	case !seen.ready && last.ready:
		e.env.Log.Emit(eventlog.EntryNotReady, eventlog.Fields{Step: "readiness", Detail: reason})
	}
	switch {
	case last.outageSince.IsZero() && !seen.outageSince.IsZero():
		e.env.Log.Emit(eventlog.PlatformOutageBegan, eventlog.Fields{Step: "commit", Peer: "platform", Took: now.Sub(seen.outageSince)})
	case !last.outageSince.IsZero() && seen.outageSince.IsZero():
		e.env.Log.Emit(eventlog.PlatformOutageEnded, eventlog.Fields{Step: "commit", Peer: "platform", Took: now.Sub(last.outageSince)})
	}
	return seen
}
