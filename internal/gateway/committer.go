package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/tablerelay"
)

const (
	// commitQueueSize bounds the commits that wait. It suffices for a burst of turns of
	// some seconds.
	commitQueueSize = 4096
	// maxTxnCommits bounds the commits in one transaction. The table accepts 100 conditions
	// and writes and 1 MB in a transaction; a usual commit has at most 2 of them and about
	// 20 KB. A turn that is larger than a row has one write per row.
	maxTxnCommits = 30
	// maxInFlightTxns bounds the concurrent transactions of this entry. A table that is 60
	// times slower than usual takes about 240 ms for each, so that 100 a second are possible.
	maxInFlightTxns = 24
	// minBurst and burstTime limit a burst of transactions: to the number that the rate
	// allows in burstTime, or to minBurst if that is more.
	minBurst  = 4
	burstTime = 300 * time.Millisecond
	// rateWait is the wait before the next check when the rate is used up or maxInFlightTxns
	// are in flight.
	rateWait = 8 * time.Millisecond
	// writeShare is the share of the table's rate that commits use, among them the removals
	// of expired rows. Change feeds and entries that others don't know of yet need the rest.
	writeShare = 0.8
	// minWriteRate is the least rate of one entry, in transactions per second.
	minWriteRate = 4
)

// commit is one caller's change of the table, waiting for its transaction.
type commit struct {
	ctx        context.Context
	conditions []platformapi.Condition
	writes     []platformapi.Write
	done       chan error
	// version is that of the table when the change was applied, and 0 if that is not known. It is valid once
	// done has received nil.
	version int64
}

// committer writes changes to the table within this entry's share of the table's write
// rate. It is unrelated to package internal/committer, which commits to home logs.
//
// While the rate allows it, each commit is a transaction of its own, usually in one
// partition, so that a slow table delays it by one transaction only. Beyond the rate,
// commits are batched into transactions across partitions, which take the table twice
// as long.
type committer struct {
	table   *tablerelay.Client
	metrics *metrics
	// entryCount returns the number of live entries, which share the rate.
	entryCount func() int
	// perSecond is the number of transactions per second that the table accepts from all
	// entries together.
	perSecond atomic.Int64
	queue     chan *commit

	// retries receives, for each transaction that has ended, the commits that must be
	// sent again, usually none. Its capacity fits all transactions in flight.
	retries chan []*commit
	// txnTokens is the number of transactions that the rate allowed at the time refilled, less
	// those sent since: the level of a token bucket. Only the goroutine of run uses these two.
	txnTokens float64
	refilled  time.Time
}

func newCommitter(client *tablerelay.Client, m *metrics, writesPerSecond int, entryCount func() int) *committer {
	c := &committer{
		table: client, metrics: m, queue: make(chan *commit, commitQueueSize), entryCount: entryCount,
		txnTokens: 1, refilled: time.Now(), retries: make(chan []*commit, maxInFlightTxns),
	}
	c.setRate(writesPerSecond)
	return c
}

// setRate sets the number of transactions per second that the table accepts from all
// entries together.
func (c *committer) setRate(perSecond int) { c.perSecond.Store(int64(perSecond)) }

// rate returns this entry's share of the table's rate, in transactions per second.
func (c *committer) rate() float64 {
	return max(minWriteRate, writeShare*float64(c.perSecond.Load())/float64(max(1, c.entryCount())))
}

// errCommitQueueFull is returned when too many commits wait; nothing was written.
var errCommitQueueFull = errors.Mark(errors.New("commit queue is full"), platformapi.ErrNotApplied)

// apply writes a change and waits for the result. The error is platformapi.ErrNotApplied
// when nothing was written, platformapi.ErrUnavailable when the change may have been
// written or ctx ended first, or a *platformapi.Conflict when a condition failed.
func (c *committer) apply(ctx context.Context, conditions []platformapi.Condition, writes []platformapi.Write) error {
	_, err := c.applyVersioned(ctx, conditions, writes)
	return err
}

// applyVersioned is apply, and returns the version of the table when the change was applied; see
// platformapi.Txn.
func (c *committer) applyVersioned(ctx context.Context, conditions []platformapi.Condition, writes []platformapi.Write) (int64, error) {
	cm := &commit{ctx: ctx, conditions: conditions, writes: writes, done: make(chan error, 1)}
	select {
	case c.queue <- cm:
	default:
		return 0, errCommitQueueFull
	}
	select {
	case err := <-cm.done:
		return cm.version, err
	case <-ctx.Done():
		return 0, errors.Mark(ctx.Err(), platformapi.ErrUnavailable)
	}
}

// run sends the queued commits until ctx ends.
func (c *committer) run(ctx context.Context) {
	var pending []*commit // commits that are not in a transaction
	inFlight := 0         // transactions that have not ended
	for {
		pending = c.collect(ctx, pending, &inFlight)
		if ctx.Err() != nil {
			return
		}
		txns := min(c.availableTxns(), maxInFlightTxns-inFlight, len(pending))
		if txns <= 0 {
			sleep(ctx, rateWait)
			continue
		}
		// Spread the pending commits evenly over the transactions.
		size := min((len(pending)+txns-1)/txns, maxTxnCommits)
		for range txns {
			var batch []*commit
			if batch, pending = takeBatch(pending, size); len(batch) == 0 {
				break
			}
			inFlight++
			c.txnTokens--
			go c.send(ctx, batch)
		}
	}
}

// takeBatch returns at most size of the pending commits for one transaction, and the others in their order. No row is
// in two commits of a batch: a transaction checks all conditions before it writes, so that the
// last of several writes of a row would replace the others, and all would count as applied.
func takeBatch(pending []*commit, size int) (batch, rest []*commit) {
	batch = make([]*commit, 0, min(size, len(pending)))
	taken := map[string]bool{}
	for i, cm := range pending {
		if len(batch) == size {
			return batch, append(rest, pending[i:]...)
		}
		if cm.touches(taken) {
			rest = append(rest, cm)
		} else {
			batch = append(batch, cm)
		}
		// Those of a commit that waits count too, so that writes of a row keep their order.
		for _, w := range cm.writes {
			taken[w.Key] = true
		}
		for _, cond := range cm.conditions {
			taken[cond.Key] = true
		}
	}
	return batch, rest
}

// touches reports whether the commit writes or expects one of the rows.
func (cm *commit) touches(keys map[string]bool) bool {
	return slices.ContainsFunc(cm.writes, func(w platformapi.Write) bool { return keys[w.Key] }) ||
		slices.ContainsFunc(cm.conditions, func(c platformapi.Condition) bool { return keys[c.Key] })
}

// collect returns the commits to be written: the pending ones whose callers still wait,
// those to be sent again, and the queued ones. It blocks until there is at least one, and
// returns nil if ctx ends while it blocks. It subtracts the transactions that have ended from
// inFlight.
func (c *committer) collect(ctx context.Context, pending []*commit, inFlight *int) []*commit {
	live := make([]*commit, 0, len(pending)+1)
	for _, cm := range pending {
		if cm.ctx.Err() == nil {
			live = append(live, cm)
		}
	}
	addRetries := func(again []*commit) {
		*inFlight--
		live = append(live, again...)
	}
	for len(live) == 0 {
		select {
		case <-ctx.Done():
			return nil
		case cm := <-c.queue:
			live = append(live, cm)
		case again := <-c.retries:
			addRetries(again)
		}
	}
	for {
		select {
		case cm := <-c.queue:
			live = append(live, cm)
		case again := <-c.retries:
			addRetries(again)
		default:
			return live
		}
	}
}

// availableTxns returns the number of transactions that the rate allows now.
func (c *committer) availableTxns() int {
	rate := c.rate()
	now := time.Now()
	c.txnTokens = min(max(minBurst, rate*burstTime.Seconds()), c.txnTokens+now.Sub(c.refilled).Seconds()*rate)
	c.refilled = now
	return int(c.txnTokens)
}

// send writes a batch in one transaction, and passes the commits that must be sent again to
// c.retries.
func (c *committer) send(ctx context.Context, batch []*commit) {
	var txn platformapi.Txn
	for _, cm := range batch {
		txn.Conditions = append(txn.Conditions, cm.conditions...)
		txn.Writes = append(txn.Writes, cm.writes...)
	}
	var version int64
	txn.Applied = &version
	start := time.Now()
	err := c.table.Apply(ctx, txn)
	c.metrics.commitLatency.RecordDuration(time.Since(start))
	c.metrics.commits.Inc(1)
	c.retries <- c.resolve(batch, version, err)
}

// resolve reports the result of a batch, and the version of the table if it was applied, to the callers of apply. After a conflict it
// returns the commits that must be sent again without the conflicting ones. Other failures
// are not retried here, since each caller handles them in its own way: a turn is stored at
// another location, a budget's row is read again or its tokens are granted provisionally.
func (c *committer) resolve(batch []*commit, version int64, err error) []*commit {
	var conflict *platformapi.Conflict
	if errors.As(err, &conflict) {
		return c.failConflicting(batch, conflict)
	}
	for _, cm := range batch {
		cm.version = version
		cm.done <- err
	}
	return nil
}

// failConflicting reports the conflict to the commits whose conditions failed and returns
// the others.
func (c *committer) failConflicting(batch []*commit, conflict *platformapi.Conflict) []*commit {
	// A row that does not exist is not listed; its version is Absent, which is 0.
	versions := make(map[string]int64, len(conflict.Rows))
	for _, r := range conflict.Rows {
		versions[r.Key] = r.Version
	}
	var again []*commit
	dropped := false
	for _, cm := range batch {
		satisfied := true
		for _, cond := range cm.conditions {
			satisfied = satisfied && (cond.Version == platformapi.AnyVersion || versions[cond.Key] == cond.Version)
		}
		if satisfied {
			again = append(again, cm)
			continue
		}
		cm.done <- conflict
		dropped = true
	}
	if dropped {
		return again
	}
	// The table may report rows that contradict no condition. Then every commit with
	// conditions fails, so that its caller reads the row again; the others are sent again.
	var unconditional []*commit
	for _, cm := range batch {
		if len(cm.conditions) == 0 {
			unconditional = append(unconditional, cm)
			continue
		}
		cm.done <- conflict
	}
	return unconditional
}
