package side

import (
	"sync"

	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
)

// watcher is one entry's subscription to load, gate and cache events.
type watcher struct {
	updates chan *peerpb.WatchReply
	// behind reports whether an update was dropped because updates was full. The watcher
	// then needs a snapshot.
	behind bool
}

// watchers broadcasts updates to all subscribed entries. A slow entry misses updates and
// receives a snapshot instead, so that it never blocks the side.
type watchers struct {
	mu  sync.Mutex
	all map[*watcher]struct{}
}

// watcherQueue is the maximum number of updates that wait for one entry.
const watcherQueue = 256

func newWatchers() *watchers { return &watchers{all: map[*watcher]struct{}{}} }

// add returns a new subscription.
func (w *watchers) add() *watcher {
	v := &watcher{updates: make(chan *peerpb.WatchReply, watcherQueue)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all[v] = struct{}{}
	return v
}

// remove ends a subscription.
func (w *watchers) remove(v *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.all, v)
}

// send queues an update for every subscriber and marks those without room as behind.
func (w *watchers) send(reply *peerpb.WatchReply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for v := range w.all {
		select {
		case v.updates <- reply:
		default:
			v.behind = true
		}
	}
}

// resetBehind reports whether the watcher missed updates since the last call.
func (w *watchers) resetBehind(v *watcher) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	behind := v.behind
	v.behind = false
	return behind
}

// len returns the number of subscribed entries.
func (w *watchers) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.all)
}
