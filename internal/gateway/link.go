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
	// directRetryDelay is how long after a failure the table is asked through other entries,
	// or not at all once it is lost, before it is tried again directly.
	directRetryDelay = 400 * time.Millisecond
	// maxPeerAttempts bounds the entries that one call tries to go through.
	maxPeerAttempts = 2
	// slowLatency is the time of an answer from which turns don't wait for draws: some ten
	// times what is usual.
	slowLatency = 60 * time.Millisecond
	// recentFailureWindow is how long after a failure other entries may still have grants that the
	// table does not show: an entry that was paused records its own once it wakes.
	recentFailureWindow = 6 * time.Second
	// peerChangesWait is how long another entry waits for changes on this one's behalf.
	peerChangesWait = 300 * time.Millisecond
	// peerTimeoutMargin is added to the timeout of a call that goes through another entry.
	peerTimeoutMargin = 100 * time.Millisecond
	// unreachableAfter and lostParts are how long, and in how many parts, nothing may succeed
	// before the table counts as lost. While a third of its parts is away, four failures
	// in a row in different parts are rare.
	unreachableAfter      = 250 * time.Millisecond
	unreachablePartitions = 4
	// probeInterval is the time between two questions whether a lost table is back: little
	// against an outage of seconds, and few calls of all entries a second.
	probeInterval = 150 * time.Millisecond
	// commonUnreachableAfter is the same for the common part alone, which is asked once a second.
	commonUnreachableAfter = time.Second
)

// tablePeers finds another entry that reaches the table.
type tablePeers interface {
	// tableThroughPeer returns the table as reached through another entry, or nil, and a function
	// to call when that entry does not reach it after all.
	tableThroughPeer() (t platformapi.Watcher, unreached func())
}

// tableClient is the table as this entry reaches it: directly, or through another entry while
// the table turns this one away. It is safe for concurrent use.
type tableClient struct {
	direct platformapi.Watcher
	peers  tablePeers
	emit   func(eventlog.Event, eventlog.Fields)

	mu sync.Mutex
	// parts is what is known of the table's parts that failed lately: at times some are
	// away while the others serve.
	parts map[string]*partState
	// directUp says that the table itself served this entry when it was last asked for
	// what the operator and the upstreams write.
	directUp bool
	// failingSince is when calls began to fail in a row; zero when the last one succeeded.
	failingSince time.Time
	// failedParts are the parts in which they did.
	failedParts map[string]bool
	// typicalLatency is how long the table takes for an answer.
	typicalLatency time.Duration
	unreachableNow bool
	recoveredAt    time.Time
	// recovered is closed when the table is reached again; nil while it is not lost.
	recovered chan struct{}
	// lastFailure is when a call last failed by all ways.
	lastFailure time.Time
}

// partState is what is known of a part that failed.
type partState struct {
	// avoidDirectUntil is until when the part is not asked directly.
	avoidDirectUntil time.Time
	// unreachableUntil is until when it counts as unreachable by any way.
	unreachableUntil time.Time
}

var _ platformapi.Watcher = (*tableClient)(nil)

func newTableClient(direct platformapi.Watcher, peers tablePeers, note func(eventlog.Event, eventlog.Fields)) *tableClient {
	return &tableClient{direct: direct, peers: peers, emit: note, directUp: true, parts: map[string]*partState{}, failedParts: map[string]bool{}}
}

// directlyReachable reports whether this entry itself reaches the table.
func (l *tableClient) directlyReachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directUp
}

// unreachable reports whether the table can't be reached by any way.
func (l *tableClient) unreachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unreachableNow
}

// slow reports whether the table takes long for each answer.
func (l *tableClient) slow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.typicalLatency > slowLatency
}

// failedRecently reports whether a call has failed lately.
func (l *tableClient) failedRecently() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastFailure) < recentFailureWindow
}

// lastRecovery is when the table was last reached again after it was lost; zero when never.
func (l *tableClient) lastRecovery() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachableNow {
		return time.Now()
	}
	return l.recoveredAt
}

// probeKey is a row of the common part that does not exist.
const probeKey = entriesPrefix + "-"

// errPeerUnreachable marks a call that failed on the way to another entry, not at the table.
var errPeerUnreachable = errors.New("another entry was not reached")

// isTableFailure reports whether an error says that the table was not reached or refused this entry.
func isTableFailure(err error) bool {
	return errors.Is(err, platformapi.ErrUnavailable) || errors.Is(err, platformapi.ErrNotApplied)
}

// commonPart is the part of the rows that the operator, the upstreams and the entries
// write. Whether the table serves this entry is judged by it.
const commonPart = ""

// partOfKey returns the part of a key or prefix.
func partOfKey(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	part, _, _ := strings.Cut(rest, "/")
	return part
}

// do runs f on the table directly or, when that fails, through another entry.
// A zero timeout is one that fits how fast the table is.
func (l *tableClient) do(ctx context.Context, part string, timeout time.Duration, f func(ctx context.Context, t platformapi.Watcher) error) error {
	err := platformapi.ErrUnavailable
	via, unreached := l.peers.tableThroughPeer()
	adaptive := timeout == 0
	if adaptive {
		timeout = l.timeout()
	}
	if l.useDirect(part, via != nil) {
		start := time.Now()
		err = callWithTimeout(ctx, timeout, l.direct, f)
		if ctx.Err() != nil {
			// The caller gave up, which says nothing of the table.
			return err
		}
		if adaptive {
			l.updateLatency(time.Since(start), timeout, err)
		}
		l.recordDirect(part, err)
		if !isTableFailure(err) {
			l.recordOutcome(part, nil)
			return err
		}
	}
	for range maxPeerAttempts {
		if ctx.Err() != nil || via == nil {
			break
		}
		err = callWithTimeout(ctx, timeout+peerTimeoutMargin, via, f)
		if !errors.Is(err, errPeerUnreachable) {
			break
		}
		unreached()
		via, unreached = l.peers.tableThroughPeer()
	}
	l.recordOutcome(part, err)
	return err
}

// timeout bounds a call by how fast the table has been.
func (l *tableClient) timeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(minTimeout, min(maxTimeout, timeoutFactor*l.typicalLatency))
}

// updateLatency records how long a call took; one that was given up took longer.
func (l *tableClient) updateLatency(took, timeout time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case isTableFailure(err) && took >= timeout:
		l.typicalLatency = min(maxTimeout/timeoutFactor, max(2*l.typicalLatency, 2*minTimeout/timeoutFactor))
	case !isTableFailure(err):
		l.typicalLatency += time.Duration(latencyWeight * float64(took-l.typicalLatency))
	}
}

func callWithTimeout(ctx context.Context, timeout time.Duration, t platformapi.Watcher, f func(context.Context, platformapi.Watcher) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(ctx, t)
}

// useDirect reports whether a part is asked directly. After a failure it is not for a
// while, if another entry reaches the table or the table is known to be lost, so that
// calls of an entry that the table turns away don't each wait for a timeout first.
func (l *tableClient) useDirect(part string, another bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if another && part != commonPart && !l.directUp {
		// The questions for the common part find out when the table serves this entry again.
		return false
	}
	p := l.parts[part]
	return p == nil || !time.Now().Before(p.avoidDirectUntil) || !another && !l.unreachableNow
}

// unreachableFor reports whether a key surely can't be reached by any way now.
func (l *tableClient) unreachableFor(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.parts[partOfKey(key)]
	return l.unreachableNow || p != nil && time.Now().Before(p.unreachableUntil)
}

func (l *tableClient) recordDirect(part string, err error) {
	now := time.Now()
	l.mu.Lock()
	if isTableFailure(err) {
		l.partLocked(part, now).avoidDirectUntil = now.Add(directRetryDelay)
	}
	if part != commonPart {
		l.mu.Unlock()
		return
	}
	was := l.directUp
	l.directUp = !isTableFailure(err)
	l.mu.Unlock()
	if was && isTableFailure(err) {
		l.emit(eventlog.GatewayTableDirectLost, eventlog.Fields{Step: "table", Err: err})
	}
	if !was && !isTableFailure(err) {
		l.emit(eventlog.GatewayTableDirectBack, eventlog.Fields{Step: "table"})
	}
}

// partLocked returns the state of a part that failed, and forgets those that failed long ago.
func (l *tableClient) partLocked(part string, now time.Time) *partState {
	p := l.parts[part]
	if p == nil {
		for name, old := range l.parts {
			if now.After(old.avoidDirectUntil) && now.After(old.unreachableUntil) {
				delete(l.parts, name)
			}
		}
		p = &partState{}
		l.parts[part] = p
	}
	return p
}

// recordOutcome records the outcome by whatever way.
func (l *tableClient) recordOutcome(part string, err error) {
	now := time.Now()
	l.mu.Lock()
	if isTableFailure(err) {
		l.lastFailure = now
		l.partLocked(part, now).unreachableUntil = now.Add(directRetryDelay)
	} else {
		delete(l.parts, part)
	}
	wasLost := l.unreachableNow
	switch {
	case !isTableFailure(err):
		l.failingSince = time.Time{}
		clear(l.failedParts)
		if l.unreachableNow {
			l.unreachableNow, l.recoveredAt = false, now
			close(l.recovered)
			l.recovered = nil
		}
	default:
		if l.failingSince.IsZero() {
			l.failingSince = now
		}
		l.failedParts[part] = true
		l.unreachableNow = l.unreachableNow || len(l.failedParts) >= unreachablePartitions && now.Sub(l.failingSince) >= unreachableAfter ||
			part == commonPart && now.Sub(l.failingSince) >= commonUnreachableAfter
	}
	lost := l.unreachableNow
	if lost && !wasLost {
		l.recovered = make(chan struct{})
	}
	l.mu.Unlock()
	if lost && !wasLost {
		l.emit(eventlog.GatewayTableLost, eventlog.Fields{Step: "table", Err: err})
	}
	if wasLost && !lost {
		l.emit(eventlog.GatewayTableBack, eventlog.Fields{Step: "table"})
	}
}

// waitReachable waits while the table is lost, until ctx ends.
func (l *tableClient) waitReachable(ctx context.Context) {
	l.mu.Lock()
	regained := l.recovered
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
func (l *tableClient) probe(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		if l.unreachable() {
			go l.probeOnce(ctx)
		}
	}
}

func (l *tableClient) probeOnce(ctx context.Context) {
	err := callWithTimeout(ctx, maxTimeout, l.direct, func(ctx context.Context, t platformapi.Watcher) error {
		_, err := t.Get(ctx, probeKey)
		return err
	})
	if ctx.Err() == nil && !isTableFailure(err) {
		l.recordDirect(commonPart, err)
		l.recordOutcome(commonPart, err)
	}
}

// partOfTxn returns the part of a transaction's first row.
func partOfTxn(txn platformapi.Txn) string {
	if len(txn.Writes) == 0 {
		return commonPart
	}
	return partOfKey(txn.Writes[0].Key)
}

// Apply implements platformapi.Table.
func (l *tableClient) Apply(ctx context.Context, txn platformapi.Txn) error {
	return l.do(ctx, partOfTxn(txn), 0, func(ctx context.Context, t platformapi.Watcher) error { return t.Apply(ctx, txn) })
}

// Get implements platformapi.Table.
func (l *tableClient) Get(ctx context.Context, key string) (row platformapi.Row, err error) {
	err = l.do(ctx, partOfKey(key), 0, func(ctx context.Context, t platformapi.Watcher) error {
		row, err = t.Get(ctx, key)
		return err
	})
	return row, err
}

// Scan implements platformapi.Table.
func (l *tableClient) Scan(ctx context.Context, prefix, after string, limit int) (rows []platformapi.Row, err error) {
	err = l.do(ctx, partOfKey(prefix), 0, func(ctx context.Context, t platformapi.Watcher) error {
		rows, err = t.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// Snapshot implements platformapi.Watcher.
func (l *tableClient) Snapshot(ctx context.Context, prefix string) (rows []platformapi.Row, version int64, err error) {
	err = l.do(ctx, partOfKey(prefix), listTimeout, func(ctx context.Context, t platformapi.Watcher) error {
		rows, version, err = t.Snapshot(ctx, prefix)
		return err
	})
	return rows, version, err
}

// Changes implements platformapi.Watcher.
func (l *tableClient) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []platformapi.Change, version int64, err error) {
	err = l.do(ctx, partOfKey(prefix), 2*wait, func(ctx context.Context, t platformapi.Watcher) error {
		if t != l.direct {
			wait = peerChangesWait
		}
		changes, version, err = t.Changes(ctx, prefix, after, wait)
		return err
	})
	return changes, version, err
}
