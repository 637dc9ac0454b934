package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
)

const (
	// minTimeout bounds a call of a table that answers as fast as usual, in some ms: what
	// is not answered by then is not going to be soon.
	minTimeout = 200 * time.Millisecond
	// maxTimeout bounds a call of a slow one: sixty times slower than usual, a transaction
	// over several parts takes 480 ms.
	maxTimeout = 700 * time.Millisecond
	// timeoutFactor is how many times longer than usual a call may take.
	timeoutFactor = 8
	// latencyWeight is the weight of one answer in what is usual.
	latencyWeight = 0.1
	// directPause is how long after a failure the table is asked through other entries,
	// or not at all once it is lost, before it is tried again directly.
	directPause = 400 * time.Millisecond
	// maxVia bounds the entries that one call tries to go through.
	maxVia = 2
	// slowTable is the time of an answer from which turns don't wait for draws: some ten
	// times what is usual.
	slowTable = 60 * time.Millisecond
	// troubledFor is how long after a failure other entries may still have grants that the
	// table does not show: an entry that was paused records its own once it wakes.
	troubledFor = 6 * time.Second
	// peerChangesWait is how long another entry waits for changes on this one's behalf.
	peerChangesWait = 300 * time.Millisecond
	// peerSlack is added to the timeout of a call that goes through another entry.
	peerSlack = 100 * time.Millisecond
	// lostAfter and lostParts are how long, and in how many parts, nothing may succeed
	// before the table counts as lost. While a third of its parts is away, four failures
	// in a row in different parts are rare.
	lostAfter = 250 * time.Millisecond
	lostParts = 4
	// probeInterval is the time between two questions whether a lost table is back: little
	// against an outage of seconds, and few calls of all entries a second.
	probeInterval = 150 * time.Millisecond
	// commonLostAfter is the same for the common part alone, which is asked once a second.
	commonLostAfter = time.Second
)

// tablePeers finds another entry that reaches the table.
type tablePeers interface {
	// tableVia returns the table as reached through another entry, or nil, and a function
	// to call when that entry does not reach it after all.
	tableVia() (t platformapi.Watcher, unreached func())
}

// link is the table as this entry reaches it: directly, or through another entry while
// the table turns this one away. It is safe for concurrent use.
type link struct {
	direct platformapi.Watcher
	peers  tablePeers
	note   func(eventlog.Event, eventlog.Fields)

	mu sync.Mutex
	// parts is what is known of the table's parts that failed lately: at times some are
	// away while the others serve.
	parts map[string]*partState
	// directUp says that the table itself served this entry when it was last asked for
	// what the operator and the upstreams write.
	directUp bool
	// failing is when calls began to fail in a row; zero when the last one succeeded.
	failing time.Time
	// failed are the parts in which they did.
	failed map[string]bool
	// usual is how long the table takes for an answer.
	usual time.Duration
	lost  bool
	back  time.Time
	// regained is closed when the table is reached again; nil while it is not lost.
	regained chan struct{}
	// lastFailed is when a call last failed by all ways.
	lastFailed time.Time
}

// partState is what is known of a part that failed.
type partState struct {
	// avoid is until when the part is not asked directly.
	avoid time.Time
	// away is until when it counts as unreachable by any way.
	away time.Time
}

var _ platformapi.Watcher = (*link)(nil)

func newLink(direct platformapi.Watcher, peers tablePeers, note func(eventlog.Event, eventlog.Fields)) *link {
	return &link{direct: direct, peers: peers, note: note, directUp: true, parts: map[string]*partState{}, failed: map[string]bool{}}
}

// reachable reports whether this entry itself reaches the table.
func (l *link) reachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directUp
}

// away reports whether the table can't be reached by any way.
func (l *link) away() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// slow reports whether the table takes long for each answer.
func (l *link) slow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usual > slowTable
}

// troubled reports whether a call has failed lately.
func (l *link) troubled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastFailed) < troubledFor
}

// returned is when the table was last reached again after it was lost; zero when never.
func (l *link) returned() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return time.Now()
	}
	return l.back
}

// probeKey is a row of the common part that does not exist.
const probeKey = entriesPrefix + "-"

// errPeer marks a call that failed on the way to another entry, not at the table.
var errPeer = errors.New("another entry was not reached")

// failed reports whether an error says that the table was not reached or refused this entry.
func failed(err error) bool {
	return errors.Is(err, platformapi.ErrUnavailable) || errors.Is(err, platformapi.ErrNotApplied)
}

// common is the part of the rows that the operator, the upstreams and the entries
// write. Whether the table serves this entry is judged by it.
const common = ""

// partOfKey returns the part of a key or prefix.
func partOfKey(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	part, _, _ := strings.Cut(rest, "/")
	return part
}

// do runs f on the table directly or, when that fails, through another entry.
// A zero timeout is one that fits how fast the table is.
func (l *link) do(ctx context.Context, part string, timeout time.Duration, f func(ctx context.Context, t platformapi.Watcher) error) error {
	err := platformapi.ErrUnavailable
	via, unreached := l.peers.tableVia()
	adaptive := timeout == 0
	if adaptive {
		timeout = l.timeout()
	}
	if l.tryDirect(part, via != nil) {
		start := time.Now()
		err = within(ctx, timeout, l.direct, f)
		if ctx.Err() != nil {
			// The caller gave up, which says nothing of the table.
			return err
		}
		if adaptive {
			l.learnLatency(time.Since(start), timeout, err)
		}
		l.noteDirect(part, err)
		if !failed(err) {
			l.noteAny(part, nil)
			return err
		}
	}
	for range maxVia {
		if ctx.Err() != nil || via == nil {
			break
		}
		err = within(ctx, timeout+peerSlack, via, f)
		if !errors.Is(err, errPeer) {
			break
		}
		unreached()
		via, unreached = l.peers.tableVia()
	}
	l.noteAny(part, err)
	return err
}

// timeout bounds a call by how fast the table has been.
func (l *link) timeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(minTimeout, min(maxTimeout, timeoutFactor*l.usual))
}

// learnLatency records how long a call took; one that was given up took longer.
func (l *link) learnLatency(took, timeout time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case failed(err) && took >= timeout:
		l.usual = min(maxTimeout/timeoutFactor, max(2*l.usual, 2*minTimeout/timeoutFactor))
	case !failed(err):
		l.usual += time.Duration(latencyWeight * float64(took-l.usual))
	}
}

func within(ctx context.Context, timeout time.Duration, t platformapi.Watcher, f func(context.Context, platformapi.Watcher) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(ctx, t)
}

// tryDirect reports whether a part is asked directly. After a failure it is not for a
// while, if another entry reaches the table or the table is known to be lost, so that
// calls of an entry that the table turns away don't each wait for a timeout first.
func (l *link) tryDirect(part string, another bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if another && part != common && !l.directUp {
		// The questions for the common part find out when the table serves this entry again.
		return false
	}
	p := l.parts[part]
	return p == nil || !time.Now().Before(p.avoid) || !another && !l.lost
}

// awayFor reports whether a key surely can't be reached by any way now.
func (l *link) awayFor(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.parts[partOfKey(key)]
	return l.lost || p != nil && time.Now().Before(p.away)
}

func (l *link) noteDirect(part string, err error) {
	now := time.Now()
	l.mu.Lock()
	if failed(err) {
		l.partLocked(part, now).avoid = now.Add(directPause)
	}
	if part != common {
		l.mu.Unlock()
		return
	}
	was := l.directUp
	l.directUp = !failed(err)
	l.mu.Unlock()
	if was && failed(err) {
		l.note(eventlog.GatewayTableDirectLost, eventlog.Fields{Step: "table", Err: err})
	}
	if !was && !failed(err) {
		l.note(eventlog.GatewayTableDirectBack, eventlog.Fields{Step: "table"})
	}
}

// partLocked returns the state of a part that failed, and forgets those that failed long ago.
func (l *link) partLocked(part string, now time.Time) *partState {
	p := l.parts[part]
	if p == nil {
		for name, old := range l.parts {
			if now.After(old.avoid) && now.After(old.away) {
				delete(l.parts, name)
			}
		}
		p = &partState{}
		l.parts[part] = p
	}
	return p
}

// noteAny records the outcome by whatever way.
func (l *link) noteAny(part string, err error) {
	now := time.Now()
	l.mu.Lock()
	if failed(err) {
		l.lastFailed = now
		l.partLocked(part, now).away = now.Add(directPause)
	} else {
		delete(l.parts, part)
	}
	wasLost := l.lost
	switch {
	case !failed(err):
		l.failing = time.Time{}
		clear(l.failed)
		if l.lost {
			l.lost, l.back = false, now
			close(l.regained)
			l.regained = nil
		}
	default:
		if l.failing.IsZero() {
			l.failing = now
		}
		l.failed[part] = true
		l.lost = l.lost || len(l.failed) >= lostParts && now.Sub(l.failing) >= lostAfter ||
			part == common && now.Sub(l.failing) >= commonLostAfter
	}
	lost := l.lost
	if lost && !wasLost {
		l.regained = make(chan struct{})
	}
	l.mu.Unlock()
	if lost && !wasLost {
		l.note(eventlog.GatewayTableLost, eventlog.Fields{Step: "table", Err: err})
	}
	if wasLost && !lost {
		l.note(eventlog.GatewayTableBack, eventlog.Fields{Step: "table"})
	}
}

// awaitTable waits while the table is lost, until ctx ends.
func (l *link) awaitTable(ctx context.Context) {
	l.mu.Lock()
	regained := l.regained
	l.mu.Unlock()
	if regained == nil {
		return
	}
	select {
	case <-regained:
	case <-ctx.Done():
	}
}

// probe asks a lost table again and again whether it is back, until ctx ends. Questions
// overlap, since one that was sent before the table's return may stay without an answer.
func (l *link) probe(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		if l.away() {
			go l.probeOnce(ctx)
		}
	}
}

func (l *link) probeOnce(ctx context.Context) {
	err := within(ctx, maxTimeout, l.direct, func(ctx context.Context, t platformapi.Watcher) error {
		_, err := t.Get(ctx, probeKey)
		return err
	})
	if ctx.Err() == nil && !failed(err) {
		l.noteDirect(common, err)
		l.noteAny(common, err)
	}
}

// partOfTxn returns the part of a transaction's first row.
func partOfTxn(txn platformapi.Txn) string {
	if len(txn.Writes) == 0 {
		return common
	}
	return partOfKey(txn.Writes[0].Key)
}

// Apply implements platformapi.Table.
func (l *link) Apply(ctx context.Context, txn platformapi.Txn) error {
	return l.do(ctx, partOfTxn(txn), 0, func(ctx context.Context, t platformapi.Watcher) error { return t.Apply(ctx, txn) })
}

// Get implements platformapi.Table.
func (l *link) Get(ctx context.Context, key string) (row platformapi.Row, err error) {
	err = l.do(ctx, partOfKey(key), 0, func(ctx context.Context, t platformapi.Watcher) error {
		row, err = t.Get(ctx, key)
		return err
	})
	return row, err
}

// Scan implements platformapi.Table.
func (l *link) Scan(ctx context.Context, prefix, after string, limit int) (rows []platformapi.Row, err error) {
	err = l.do(ctx, partOfKey(prefix), 0, func(ctx context.Context, t platformapi.Watcher) error {
		rows, err = t.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// Snapshot implements platformapi.Watcher.
func (l *link) Snapshot(ctx context.Context, prefix string) (rows []platformapi.Row, version int64, err error) {
	err = l.do(ctx, partOfKey(prefix), listTimeout, func(ctx context.Context, t platformapi.Watcher) error {
		rows, version, err = t.Snapshot(ctx, prefix)
		return err
	})
	return rows, version, err
}

// Changes implements platformapi.Watcher.
func (l *link) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []platformapi.Change, version int64, err error) {
	err = l.do(ctx, partOfKey(prefix), 2*wait, func(ctx context.Context, t platformapi.Watcher) error {
		if t != l.direct {
			wait = peerChangesWait
		}
		changes, version, err = t.Changes(ctx, prefix, after, wait)
		return err
	})
	return changes, version, err
}
