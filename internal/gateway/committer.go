package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	table "github.com/buckthornroute/buckthornroute/internal/platform"
)

const (
	// commitQueue bounds the commits that wait; a burst's turns of some seconds fit.
	commitQueue = 4096
	// maxTxnEntries and maxTxnBytes bound one transaction below what the table takes.
	maxTxnEntries = 90
	maxTxnBytes   = 400 << 10
	// writeShare is the part of the table's rate that commits use; feeds, sweeps and
	// entries that other entries don't know of yet need the rest.
	writeShare = 0.8
	// minWriteRate is the least rate of one entry in transactions a second.
	minWriteRate = 4
	// commitRetry is the wait after a transaction that was not applied.
	commitRetry = 60 * time.Millisecond
)

// commit is a change that goes into the next transaction.
type commit struct {
	ctx        context.Context
	conditions []table.Condition
	writes     []table.Write
	bytes      int
	done       chan error
}

// committer joins the changes of many calls into few transactions: one is under way,
// and what comes meanwhile gathers for the next. Its rate is this entry's part of what
// the table takes from all.
type committer struct {
	link    *link
	metrics *metrics
	entries func() int
	// perSecond is what the table takes from all entries.
	perSecond atomic.Int64
	queue     chan *commit

	tokens   float64
	refilled time.Time
}

func newCommitter(l *link, m *metrics, writesPerSecond int, entries func() int) *committer {
	c := &committer{
		link: l, metrics: m, queue: make(chan *commit, commitQueue), entries: entries,
		tokens: 1, refilled: time.Now(),
	}
	c.setRate(writesPerSecond)
	return c
}

// setRate sets the transactions a second that the table takes from all entries.
func (c *committer) setRate(perSecond int) { c.perSecond.Store(int64(perSecond)) }

// rate is this entry's part of the table's rate.
func (c *committer) rate() float64 {
	return max(minWriteRate, writeShare*float64(c.perSecond.Load())/float64(max(1, c.entries())))
}

// errCommitQueueFull says that too many commits wait; nothing was written.
var errCommitQueueFull = errors.Mark(errors.New("too many commits wait"), table.ErrNotApplied)

// apply waits until the change is written, a condition fails or ctx ends. A change
// without conditions must be repeatable: it is sent again while its outcome is unknown.
func (c *committer) apply(ctx context.Context, conditions []table.Condition, writes []table.Write) error {
	it := &commit{ctx: ctx, conditions: conditions, writes: writes, done: make(chan error, 1)}
	for _, w := range writes {
		it.bytes += len(w.Value) + len(w.Key)
	}
	select {
	case c.queue <- it:
	default:
		return errCommitQueueFull
	}
	select {
	case err := <-it.done:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), table.ErrUnavailable)
	}
}

func (c *committer) run(ctx context.Context) {
	var again []*commit
	for {
		batch := c.gather(ctx, again)
		if batch == nil {
			return
		}
		c.pace(ctx)
		var wait bool
		again, wait = c.write(ctx, batch)
		if wait {
			sleep(ctx, commitRetry)
		}
	}
}

// gather waits for a first change and takes what else is there.
func (c *committer) gather(ctx context.Context, again []*commit) []*commit {
	batch := make([]*commit, 0, len(again)+1)
	entries, bytes := 0, 0
	add := func(it *commit) {
		if it.ctx.Err() != nil {
			return
		}
		batch = append(batch, it)
		entries += len(it.conditions) + len(it.writes)
		bytes += it.bytes
	}
	for _, it := range again {
		add(it)
	}
	for len(batch) == 0 {
		select {
		case <-ctx.Done():
			return nil
		case it := <-c.queue:
			add(it)
		}
	}
	for entries < maxTxnEntries && bytes < maxTxnBytes {
		select {
		case it := <-c.queue:
			add(it)
			continue
		default:
		}
		break
	}
	return batch
}

// pace waits until this entry may write again.
func (c *committer) pace(ctx context.Context) {
	for {
		rate := c.rate()
		now := time.Now()
		c.tokens = min(max(2, rate/4), c.tokens+now.Sub(c.refilled).Seconds()*rate)
		c.refilled = now
		if c.tokens >= 1 {
			c.tokens--
			return
		}
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, time.Duration((1-c.tokens)/rate*float64(time.Second)))
	}
}

// write sends one transaction. It returns what must be sent again, and whether to wait
// before that.
func (c *committer) write(ctx context.Context, batch []*commit) (again []*commit, wait bool) {
	var txn table.Txn
	for _, it := range batch {
		txn.Conditions = append(txn.Conditions, it.conditions...)
		txn.Writes = append(txn.Writes, it.writes...)
	}
	start := time.Now()
	err := c.link.Apply(ctx, txn)
	c.metrics.commitLatency.RecordDuration(time.Since(start))
	c.metrics.commits.Inc(1)
	var conflict *table.Conflict
	switch {
	case err == nil:
		for _, it := range batch {
			it.done <- nil
		}
		return nil, false
	case errors.As(err, &conflict):
		return c.dropConflicts(batch, conflict), false
	case errors.Is(err, table.ErrNotApplied):
		return batch, true
	}
	// The outcome is unknown: unconditional changes may be repeated, the owner of a
	// conditional one reads back what became of it.
	for _, it := range batch {
		if len(it.conditions) > 0 {
			it.done <- err
			continue
		}
		again = append(again, it)
	}
	return again, true
}

// dropConflicts ends the changes whose conditions fail and returns the others.
func (c *committer) dropConflicts(batch []*commit, conflict *table.Conflict) []*commit {
	versions := make(map[string]int64, len(conflict.Rows))
	for _, r := range conflict.Rows {
		versions[r.Key] = r.Version
	}
	var again []*commit
	dropped := false
	for _, it := range batch {
		holds := true
		for _, cond := range it.conditions {
			holds = holds && (cond.Version == table.AnyVersion || versions[cond.Key] == cond.Version)
		}
		if holds {
			again = append(again, it)
			continue
		}
		it.done <- conflict
		dropped = true
	}
	if dropped {
		return again
	}
	// The table names rows that it does not need to; then each owner reads back.
	var unconditional []*commit
	for _, it := range batch {
		if len(it.conditions) == 0 {
			unconditional = append(unconditional, it)
			continue
		}
		it.done <- conflict
	}
	return unconditional
}
