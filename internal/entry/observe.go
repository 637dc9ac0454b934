package entry

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
)

// observeInterval is the time between two checks of the conditions that are logged.
const observeInterval = 500 * time.Millisecond

// observed holds the conditions of the entry at one check.
type observed struct {
	ready       bool
	outageSince time.Time
}

// observe logs when the entry becomes ready or stops being ready, and when an outage of
// the platform begins or ends.
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

// logChanges logs the differences from the last check and returns the current conditions.
func (e *entry) logChanges(last observed, now time.Time) observed {
	reason := e.notReady()
	current := observed{ready: reason == "", outageSince: e.committer.Status().OutageSince}
	switch {
	case current.ready && !last.ready:
		e.env.Log.Emit(eventlog.EntryReady, eventlog.Fields{Step: "readiness"})
	case !current.ready && last.ready:
		e.env.Log.Emit(eventlog.EntryNotReady, eventlog.Fields{Step: "readiness", Detail: reason})
	}
	switch {
	case last.outageSince.IsZero() && !current.outageSince.IsZero():
		e.env.Log.Emit(eventlog.PlatformOutageBegan, eventlog.Fields{Step: "commit", Peer: "platform", Took: now.Sub(current.outageSince)})
	case !last.outageSince.IsZero() && current.outageSince.IsZero():
		e.env.Log.Emit(eventlog.PlatformOutageEnded, eventlog.Fields{Step: "commit", Peer: "platform", Took: now.Sub(last.outageSince)})
	}
	return current
}
