package standin

import (
	"context"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
)

// maxFeed bounds the changes that a table stores for its watchers.
const maxFeed = 4096

// feed stores the most recent changes of a table. The version of a change is the number
// of the table's transactions up to and including its own.
type feed struct {
	changes []feedChange
	// trimmedThrough is the version up to which changes have been dropped.
	trimmedThrough uint64
	// wake is closed at the next transaction; nil until a watcher asks for changes after the
	// last one.
	wake chan struct{}
}

type feedChange struct {
	version uint64
	change  platform.Change
}

// publish adds the changes of a transaction and wakes the watchers. The caller holds the
// table's lock.
func (f *feed) publish(version uint64, writes []platform.Write, rows map[string]platform.Row) {
	for _, w := range writes {
		c := platform.Change{Row: rows[w.Key], Deleted: w.Delete}
		c.Key = w.Key
		f.changes = append(f.changes, feedChange{version, c})
	}
	if excess := len(f.changes) - maxFeed; excess > 0 {
		f.trimmedThrough = f.changes[excess-1].version
		f.changes = f.changes[excess:]
	}
	if f.wake != nil {
		close(f.wake)
		f.wake = nil
	}
}

var _ platform.Watcher = (*Table)(nil)

// DropChanges drops all stored changes, so that watchers must take a new snapshot.
func (t *Table) DropChanges() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.feed.changes, t.feed.trimmedThrough = nil, t.transactions
}

// Snapshot implements platform.Watcher. Handler does not serve it: the path is only the
// subject that faults match.
func (t *Table) Snapshot(ctx context.Context, prefix string) ([]platform.Row, int64, error) {
	if err := t.beforeRead(ctx, "/table/snapshot"); err != nil {
		return nil, 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var out []platform.Row
	for _, key := range t.sortedKeys[t.firstAfter(prefix, ""):] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		out = append(out, t.rows[key])
	}
	return out, int64(t.transactions), nil
}

// Changes implements platform.Watcher. Like Snapshot, it is not served by Handler.
func (t *Table) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platform.Change, int64, error) {
	if err := t.beforeRead(ctx, "/table/changes"); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, version, wake, err := t.changesAfter(prefix, after)
		if err != nil || len(changes) > 0 {
			return changes, version, err
		}
		select {
		case <-wake:
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, platform.ErrUnavailable
		}
	}
}

// changesAfter returns the changes after a version, the current version, and a channel
// that is closed at the next transaction.
func (t *Table) changesAfter(prefix string, after int64) ([]platform.Change, int64, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if uint64(after) < t.feed.trimmedThrough {
		return nil, 0, nil, platform.ErrHistoryGone
	}
	var out []platform.Change
	for _, c := range t.feed.changes {
		if c.version > uint64(after) && strings.HasPrefix(c.change.Key, prefix) {
			out = append(out, c.change)
		}
	}
	if t.feed.wake == nil {
		t.feed.wake = make(chan struct{})
	}
	return out, int64(t.transactions), t.feed.wake, nil
}
