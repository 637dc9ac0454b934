package tablerelay

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
)

const (
	// minTableTimeout is the shortest timeout of a call to the table. The table usually answers
	// within a few milliseconds, so a call that takes longer than this is unlikely to be answered
	// soon.
	minTableTimeout = 200 * time.Millisecond
	// maxTableTimeout is the longest timeout of a call to the table that is derived from the
	// average latency. When the table is 60 times slower than usual, a transaction over several
	// partitions takes 480 ms.
	maxTableTimeout = 700 * time.Millisecond
	// tableTimeoutFactor is the ratio of a call's timeout to the average latency.
	tableTimeoutFactor = 8
	// latencyWeight is the weight of one call in the moving average of the latency.
	latencyWeight = 0.1
	// directRetryDelay is how long a partition is not called directly after a direct call to it
	// failed, if another entry can relay or the table is unreachable. It is also how long a
	// partition counts as unreachable after a call to it failed on every way that was tried. A
	// call to the partition that succeeds, directly or relayed, ends both early.
	directRetryDelay = 400 * time.Millisecond
	// MaxPeerAttempts is the largest number of other entries that one call is sent through.
	MaxPeerAttempts = 2
	// slowLatency is the average latency above which turns don't wait until tokens are drawn
	// from the table: about 10 times the usual latency.
	slowLatency = 60 * time.Millisecond
	// recentFailureWindow is how long after a failed call the table is assumed to lack grants
	// that other entries have made. An entry whose process was paused records its grants only
	// once it resumes.
	recentFailureWindow = 6 * time.Second
	// peerChangesWait is how long another entry waits for changes when it relays the call.
	peerChangesWait = 300 * time.Millisecond
	// directProbeTimeout is the longest timeout of a direct read while the last direct call to the
	// common partition has failed and another entry can relay. It leaves time for peerChangesWait.
	directProbeTimeout = maxTableTimeout
	// peerTimeoutMargin is added to the timeout of a call that another entry relays.
	peerTimeoutMargin = 100 * time.Millisecond
	// unreachableAfter is how long every call must have failed before the table counts as
	// unreachable.
	unreachableAfter = 250 * time.Millisecond
	// UnreachablePartitions is the number of partitions in which calls must have failed for
	// that. While a third of the partitions is down, 4 failures in a row in different
	// partitions are rare.
	UnreachablePartitions = 4
	// ProbeInterval is the time between two probes of an unreachable table. It is short compared
	// with an outage of seconds, and all entries together still send few probes a second.
	ProbeInterval = 150 * time.Millisecond
	// snapshotTimeout bounds the read of all rows with a prefix.
	snapshotTimeout = 2 * time.Second
	// commonUnreachableAfter is how long every call must have failed before a failed call to the
	// common partition alone makes the table count as unreachable. That partition is read once a
	// second.
	commonUnreachableAfter = time.Second
)

// Peers finds a peer, which is another entry, that can relay calls to the table.
type Peers interface {
	// TableThroughPeer returns a client that reaches the table through a peer, or nil when no
	// peer can relay. Call markPeerUnreachable when that peer does not answer.
	TableThroughPeer() (t platformapi.Watcher, markPeerUnreachable func())
}

// Client is this entry's client of the platform's table. It calls the table directly,
// or through another entry while the table refuses or does not answer this one. It tracks
// latency and failures, by partition and overall, and emits an event when the table becomes
// unreachable or recovers. It is safe for concurrent use.
type Client struct {
	direct platformapi.Watcher
	peers  Peers
	emit   func(eventlog.Event, eventlog.Fields)

	mu sync.Mutex
	// partitions maps the name of each partition with a recent failure to its state. Some
	// partitions can be down while the others serve.
	partitions map[string]*partitionState
	// directUp reports whether the last direct call to the common partition succeeded.
	directUp bool
	// failingSince is when the current run of failed calls began; zero when the last call
	// succeeded.
	failingSince time.Time
	// failedPartitions are the partitions in which calls of that run failed.
	failedPartitions map[string]bool
	// averageLatency is the moving average of the latency of direct calls, without those that
	// set their own timeout. A call that times out about doubles it; see updateLatency.
	averageLatency time.Duration
	// unreachableNow reports whether the table counts as unreachable, directly and through
	// other entries; recoveredAt is when it last became reachable again.
	unreachableNow bool
	recoveredAt    time.Time
	// recovered is closed when the table becomes reachable again; nil while it is reachable.
	recovered chan struct{}
	// lastFailure is when a call last failed on every way that it tried.
	lastFailure time.Time
}

// partitionState is the state of a partition in which a call failed.
type partitionState struct {
	// avoidDirectUntil is the time until which the partition is not called directly.
	avoidDirectUntil time.Time
	// unreachableUntil is the time until which the partition counts as unreachable, directly
	// and through other entries.
	unreachableUntil time.Time
}

var _ platformapi.Watcher = (*Client)(nil)

// NewClient returns a client that calls the table with direct, or through the peers. emit gets its events.
func NewClient(direct platformapi.Watcher, peers Peers, emit func(eventlog.Event, eventlog.Fields)) *Client {
	return &Client{direct: direct, peers: peers, emit: emit, directUp: true, partitions: map[string]*partitionState{}, failedPartitions: map[string]bool{}}
}

// Direct returns the client that calls the table directly only.
func (c *Client) Direct() platformapi.Watcher { return c.direct }

// DirectlyReachable reports whether this entry reaches the table without another entry.
func (c *Client) DirectlyReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directUp
}

// Unreachable reports whether the table can be reached neither directly nor through another
// entry.
func (c *Client) Unreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachableNow
}

// Slow reports whether the table's average latency is above slowLatency.
func (c *Client) Slow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.averageLatency > slowLatency
}

// FailedRecently reports whether a call failed on every way within recentFailureWindow.
func (c *Client) FailedRecently() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastFailure) < recentFailureWindow
}

// LastRecovery returns when the last outage of the table ended: the current time during an
// outage, zero when there has been none.
func (c *Client) LastRecovery() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreachableNow {
		return time.Now()
	}
	return c.recoveredAt
}

// probeKey names a row of the common partition that does not exist.
const probeKey = mesh.EntriesPrefix + "-"

// IsFailure reports whether err means that the table did not answer this entry or
// refused it.
func IsFailure(err error) bool {
	return errors.Is(err, platformapi.ErrUnavailable) || errors.Is(err, platformapi.ErrNotApplied)
}

// commonPartition holds the operator's document and the registrations of upstreams and entries.
// The table counts as directly reachable when calls to this partition succeed.
const commonPartition = ""

// partitionOfKey returns the partition of a key or prefix.
func partitionOfKey(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	partition, _, _ := strings.Cut(rest, "/")
	return partition
}

// do runs f on the table directly, if useDirect allows that, and through a peer when the direct
// call was not made or failed. If timeout is zero, it is derived from the average latency. When
// neither way is tried, do returns platformapi.ErrUnavailable.
func (c *Client) do(ctx context.Context, partition string, timeout time.Duration, f func(ctx context.Context, t platformapi.Watcher) error) error {
	err := platformapi.ErrUnavailable
	peerTable, markPeerUnreachable := c.peers.TableThroughPeer()
	adaptive := timeout == 0
	if adaptive {
		timeout = c.timeout()
	}
	if c.useDirect(partition, peerTable != nil) {
		start, directTimeout := time.Now(), timeout
		if peerTable != nil && !c.DirectlyReachable() {
			// The table has not answered the last direct call, so this one is a probe.
			directTimeout = min(timeout, directProbeTimeout)
		}
		err = callWithTimeout(ctx, directTimeout, c.direct, f)
		if ctx.Err() != nil {
			// The caller cancelled the call, so the outcome says nothing about the table.
			return err
		}
		if adaptive {
			c.updateLatency(time.Since(start), timeout, err)
		}
		c.recordDirect(partition, err)
		if !IsFailure(err) {
			c.recordOutcome(partition, nil)
			return err
		}
		if peerTable == nil {
			// An entry that starts may have learned of a peer since.
			peerTable, markPeerUnreachable = c.peers.TableThroughPeer()
		}
	}
	for range MaxPeerAttempts {
		if ctx.Err() != nil || peerTable == nil {
			break
		}
		err = callWithTimeout(ctx, timeout+peerTimeoutMargin, peerTable, f)
		if !errors.Is(err, mesh.ErrUnreachable) {
			break
		}
		markPeerUnreachable()
		peerTable, markPeerUnreachable = c.peers.TableThroughPeer()
	}
	c.recordOutcome(partition, err)
	return err
}

// timeout returns the timeout of a call, from the table's average latency.
func (c *Client) timeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(minTableTimeout, min(maxTableTimeout, tableTimeoutFactor*c.averageLatency))
}

// updateLatency adds the duration of a call to the moving average. A call that ran into its
// timeout would have taken longer, so it doubles the average, to at least
// 2*minTableTimeout/tableTimeoutFactor and at most maxTableTimeout/tableTimeoutFactor.
func (c *Client) updateLatency(took, timeout time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case IsFailure(err) && took >= timeout:
		c.averageLatency = min(maxTableTimeout/tableTimeoutFactor, max(2*c.averageLatency, 2*minTableTimeout/tableTimeoutFactor))
	case !IsFailure(err):
		c.averageLatency += time.Duration(latencyWeight * float64(took-c.averageLatency))
	}
}

// callWithTimeout runs f on t with a timeout.
func callWithTimeout(ctx context.Context, timeout time.Duration, t platformapi.Watcher, f func(context.Context, platformapi.Watcher) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(ctx, t)
}

// useDirect reports whether to call a partition directly. For a partition other than the common
// one it returns false while direct calls to the common partition fail and a peer can relay. For
// every partition it returns false for directRetryDelay after a direct failure in it if a peer can
// relay or the table is unreachable, unless a call to the partition has succeeded since, directly
// or relayed. Otherwise every call of an entry that the table refuses would first wait for a
// timeout.
func (c *Client) useDirect(partition string, peerAvailable bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peerAvailable && partition != commonPartition && !c.directUp {
		// Calls to the common partition detect when the table serves this entry again.
		return false
	}
	p := c.partitions[partition]
	return p == nil || !time.Now().Before(p.avoidDirectUntil) || !peerAvailable && !c.unreachableNow
}

// UnreachableFor reports whether calls for the key are expected to fail: the table is
// unreachable, or a call to the key's partition failed within the last directRetryDelay and none
// has succeeded since.
func (c *Client) UnreachableFor(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.partitions[partitionOfKey(key)]
	return c.unreachableNow || p != nil && time.Now().Before(p.unreachableUntil)
}

// recordDirect records the outcome of a direct call. It emits an event when a call to the common
// partition changes directUp.
func (c *Client) recordDirect(partition string, err error) {
	now := time.Now()
	c.mu.Lock()
	if IsFailure(err) {
		c.ensurePartitionLocked(partition, now).avoidDirectUntil = now.Add(directRetryDelay)
	}
	if partition != commonPartition {
		c.mu.Unlock()
		return
	}
	wasUp := c.directUp
	c.directUp = !IsFailure(err)
	c.mu.Unlock()
	if wasUp && IsFailure(err) {
		c.emit(eventlog.GatewayTableDirectLost, eventlog.Fields{Step: "table", Err: err})
	}
	if !wasUp && !IsFailure(err) {
		c.emit(eventlog.GatewayTableDirectRestored, eventlog.Fields{Step: "table"})
	}
}

// ensurePartitionLocked returns the state of a partition and creates it if needed. Before
// creating one it deletes the states that have expired. c.mu must be held.
func (c *Client) ensurePartitionLocked(partition string, now time.Time) *partitionState {
	p := c.partitions[partition]
	if p == nil {
		for name, old := range c.partitions {
			if now.After(old.avoidDirectUntil) && now.After(old.unreachableUntil) {
				delete(c.partitions, name)
			}
		}
		p = &partitionState{}
		c.partitions[partition] = p
	}
	return p
}

// recordOutcome records the final outcome of a call, directly or through another entry, and
// emits an event when the table becomes unreachable or recovers.
func (c *Client) recordOutcome(partition string, err error) {
	now := time.Now()
	c.mu.Lock()
	if IsFailure(err) {
		c.lastFailure = now
		c.ensurePartitionLocked(partition, now).unreachableUntil = now.Add(directRetryDelay)
	} else {
		delete(c.partitions, partition)
	}
	wasUnreachable := c.unreachableNow
	switch {
	case !IsFailure(err):
		c.failingSince = time.Time{}
		clear(c.failedPartitions)
		if c.unreachableNow {
			c.unreachableNow, c.recoveredAt = false, now
			close(c.recovered)
			c.recovered = nil
		}
	default:
		if c.failingSince.IsZero() {
			c.failingSince = now
		}
		c.failedPartitions[partition] = true
		c.unreachableNow = c.unreachableNow || len(c.failedPartitions) >= UnreachablePartitions && now.Sub(c.failingSince) >= unreachableAfter ||
			partition == commonPartition && now.Sub(c.failingSince) >= commonUnreachableAfter
	}
	isUnreachable := c.unreachableNow
	if isUnreachable && !wasUnreachable {
		c.recovered = make(chan struct{})
	}
	c.mu.Unlock()
	if isUnreachable && !wasUnreachable {
		c.emit(eventlog.GatewayTableLost, eventlog.Fields{Step: "table", Err: err})
	}
	if wasUnreachable && !isUnreachable {
		c.emit(eventlog.GatewayTableRestored, eventlog.Fields{Step: "table"})
	}
}

// WaitReachable blocks until the table is reachable or ctx ends.
func (c *Client) WaitReachable(ctx context.Context) {
	c.mu.Lock()
	recovered := c.recovered
	c.mu.Unlock()
	if recovered == nil {
		return
	}
	select {
	case <-recovered:
	case <-ctx.Done():
	}
}

// Probe calls the table every ProbeInterval while it is unreachable, until ctx ends. Probes
// overlap, since one that was sent before the table recovered may never be answered.
func (c *Client) Probe(ctx context.Context) {
	t := time.NewTicker(ProbeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if c.Unreachable() {
			go c.probeOnce(ctx)
		}
	}
}

// probeOnce reads a row directly and records the outcome if the table answers.
func (c *Client) probeOnce(ctx context.Context) {
	err := callWithTimeout(ctx, maxTableTimeout, c.direct, func(ctx context.Context, t platformapi.Watcher) error {
		_, err := t.Get(ctx, probeKey)
		return err
	})
	if ctx.Err() == nil && !IsFailure(err) {
		c.recordDirect(commonPartition, err)
		c.recordOutcome(commonPartition, err)
	}
}

// partitionOfTxn returns the partition of a transaction's first write, and the common partition
// when it writes nothing.
func partitionOfTxn(txn platformapi.Txn) string {
	if len(txn.Writes) == 0 {
		return commonPartition
	}
	return partitionOfKey(txn.Writes[0].Key)
}

// Apply implements platformapi.Table.
func (c *Client) Apply(ctx context.Context, txn platformapi.Txn) error {
	return c.do(ctx, partitionOfTxn(txn), 0, func(ctx context.Context, t platformapi.Watcher) error { return t.Apply(ctx, txn) })
}

// Get implements platformapi.Table.
func (c *Client) Get(ctx context.Context, key string) (row platformapi.Row, err error) {
	err = c.do(ctx, partitionOfKey(key), 0, func(ctx context.Context, t platformapi.Watcher) error {
		row, err = t.Get(ctx, key)
		return err
	})
	return row, err
}

// Scan implements platformapi.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) (rows []platformapi.Row, err error) {
	err = c.do(ctx, partitionOfKey(prefix), 0, func(ctx context.Context, t platformapi.Watcher) error {
		rows, err = t.Scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

// Snapshot implements platformapi.Watcher.
func (c *Client) Snapshot(ctx context.Context, prefix string) (rows []platformapi.Row, version int64, err error) {
	err = c.do(ctx, partitionOfKey(prefix), snapshotTimeout, func(ctx context.Context, t platformapi.Watcher) error {
		rows, version, err = t.Snapshot(ctx, prefix)
		return err
	})
	return rows, version, err
}

// changesWait returns how long the table may hold a direct poll for changes, and the timeout of the
// poll. A table that has not answered this entry is only probed, so that an entry for which it is
// silent learns of changes through a peer about once a second. A held poll would delay them by more
// than the 2 s for which a document counts as confirmed.
func changesWait(wait time.Duration, directUp bool) (hold, timeout time.Duration) {
	if !directUp {
		return 0, directProbeTimeout
	}
	return wait, wait + maxTableTimeout
}

// Changes implements platformapi.Watcher.
func (c *Client) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []platformapi.Change, version int64, err error) {
	directWait, timeout := changesWait(wait, c.DirectlyReachable())
	err = c.do(ctx, partitionOfKey(prefix), timeout, func(ctx context.Context, t platformapi.Watcher) error {
		wait := directWait
		if t != c.direct {
			wait = peerChangesWait
		}
		changes, version, err = t.Changes(ctx, prefix, after, wait)
		return err
	})
	return changes, version, err
}
