package side

import (
	"sync"

	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
)

// watcher is one open Watch stream, by which an entry receives the load, the gate and the
// cache events.
type watcher struct {
	updates chan *peerpb.WatchReply
	// behind reports whether an update was dropped because updates was full. The entry
	// then needs a snapshot.
	behind bool
}

// watchers is the set of watchers, to which the side broadcasts its updates. An entry that
// reads its stream too slowly misses updates and receives a snapshot instead, so that it
// never blocks the side.
type watchers struct {
	mu  sync.Mutex
	all map[*watcher]struct{}
}

// watcherQueue is the maximum number of updates that wait for one watcher.
const watcherQueue = 256

func newWatchers() *watchers { return &watchers{all: map[*watcher]struct{}{}} }

// add adds a new watcher and returns it.
func (w *watchers) add() *watcher {
	v := &watcher{updates: make(chan *peerpb.WatchReply, watcherQueue)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all[v] = struct{}{}
	return v
}

// remove removes a watcher whose stream has ended.
func (w *watchers) remove(v *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.all, v)
}

// send queues an update for every watcher and marks those without room as behind.
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

// len returns the number of watchers.
func (w *watchers) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.all)
}
