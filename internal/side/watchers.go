package side

import (
	"sync"

	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
)

// watcher is one entry's subscription to load, gate and cache events.
type watcher struct {
	updates chan *peerpb.WatchReply
	// behind says that an update found no room; the watcher then takes a snapshot.
	behind bool
}

// watchers spreads updates to all subscribed entries. A slow entry loses
// updates and takes a snapshot instead; it never slows the side.
type watchers struct {
	mu  sync.Mutex
	all map[*watcher]struct{}
}

// watcherRing bounds the updates that wait for one entry.
const watcherRing = 256

func newWatchers() *watchers { return &watchers{all: map[*watcher]struct{}{}} }

func (w *watchers) add() *watcher {
	v := &watcher{updates: make(chan *peerpb.WatchReply, watcherRing)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all[v] = struct{}{}
	return v
}

func (w *watchers) remove(v *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.all, v)
}

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

// takeBehind reports whether the watcher lost updates since it was last asked.
func (w *watchers) takeBehind(v *watcher) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	behind := v.behind
	v.behind = false
	return behind
}

func (w *watchers) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.all)
}
