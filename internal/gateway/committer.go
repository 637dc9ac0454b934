package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
)

const (
	// commitQueue bounds the commits that wait; a burst's turns of some seconds fit.
	commitQueue = 4096
	// maxTxnCommits bounds the changes of one transaction: two entries each at most, of
	// the hundred that the table takes, and some 20 KB each of its megabyte.
	maxTxnCommits = 30
	// maxTransactions bounds the transactions under way: a table sixty times slower than
	// usual holds each for some 240 ms.
	maxTransactions = 24
	// minBurst and burstTime are how much unused rate is saved for a burst.
	minBurst  = 4
	burstTime = 300 * time.Millisecond
	// paceInterval is the wait when the rate is used up.
	paceInterval = 8 * time.Millisecond
	// writeShare is the part of the table's rate that commits use; feeds, sweeps and
	// entries that other entries don't know of yet need the rest.
	writeShare = 0.8
	// minWriteRate is the least rate of one entry in transactions a second.
	minWriteRate = 4
)

// commit is a change that goes into the next transaction.
type commit struct {
	ctx        context.Context
	conditions []platformapi.Condition
	writes     []platformapi.Write
	done       chan error
}

// committer writes the changes of many calls within this entry's part of the rate that
// the table takes. While the rate allows it each change is a transaction of its own, in
// one part, so that a slow table delays each by one transaction; beyond it changes are
// joined, across parts, which takes the table twice as long.
type committer struct {
	link    *tableClient
	metrics *metrics
	entries func() int
	// perSecond is what the table takes from all entries.
	perSecond atomic.Int64
	queue     chan *commit

	// again takes back what must be sent again, with a slot each for what is under way.
	again    chan []*commit
	tokens   float64
	refilled time.Time
}

func newCommitter(l *tableClient, m *metrics, writesPerSecond int, entries func() int) *committer {
	c := &committer{
		link: l, metrics: m, queue: make(chan *commit, commitQueue), entries: entries,
		tokens: 1, refilled: time.Now(), again: make(chan []*commit, maxTransactions),
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
var errCommitQueueFull = errors.Mark(errors.New("too many commits wait"), platformapi.ErrNotApplied)

// apply writes a change, or returns the table's error: platformapi.ErrNotApplied when it was
// not written, platformapi.ErrUnavailable when that is unknown, a conflict.
func (c *committer) apply(ctx context.Context, conditions []platformapi.Condition, writes []platformapi.Write) error {
	it := &commit{ctx: ctx, conditions: conditions, writes: writes, done: make(chan error, 1)}
	select {
	case c.queue <- it:
	default:
		return errCommitQueueFull
	}
	select {
	case err := <-it.done:
		return err
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), platformapi.ErrUnavailable)
	}
}

func (c *committer) run(ctx context.Context) {
	var pending []*commit
	underWay := 0
	for {
		pending = c.gather(ctx, pending, &underWay)
		if ctx.Err() != nil {
			return
		}
		lots := min(c.allowed(), maxTransactions-underWay, len(pending))
		if lots <= 0 {
			sleep(ctx, paceInterval)
			continue
		}
		size := min((len(pending)+lots-1)/lots, maxTxnCommits)
		for range lots {
			batch := pending[:min(size, len(pending))]
			if len(batch) == 0 {
				break
			}
			pending = pending[len(batch):]
			underWay++
			c.tokens--
			go c.write(ctx, batch)
		}
	}
}

// gather returns what waits to be written, and waits for something when nothing does.
func (c *committer) gather(ctx context.Context, pending []*commit, underWay *int) []*commit {
	live := make([]*commit, 0, len(pending)+1)
	for _, it := range pending {
		if it.ctx.Err() == nil {
			live = append(live, it)
		}
	}
	take := func(again []*commit) {
		*underWay--
		live = append(live, again...)
	}
	for len(live) == 0 {
		select {
		case <-ctx.Done():
			return nil
		case it := <-c.queue:
			live = append(live, it)
		case again := <-c.again:
			take(again)
		}
	}
	for {
		select {
		case it := <-c.queue:
			live = append(live, it)
		case again := <-c.again:
			take(again)
		default:
			return live
		}
	}
}

// allowed returns the transactions that the rate allows now.
func (c *committer) allowed() int {
	rate := c.rate()
	now := time.Now()
	c.tokens = min(max(minBurst, rate*burstTime.Seconds()), c.tokens+now.Sub(c.refilled).Seconds()*rate)
	c.refilled = now
	return int(c.tokens)
}

// write sends one transaction and hands back what must be sent again.
func (c *committer) write(ctx context.Context, batch []*commit) {
	var txn platformapi.Txn
	for _, it := range batch {
		txn.Conditions = append(txn.Conditions, it.conditions...)
		txn.Writes = append(txn.Writes, it.writes...)
	}
	start := time.Now()
	err := c.link.Apply(ctx, txn)
	c.metrics.commitLatency.RecordDuration(time.Since(start))
	c.metrics.commits.Inc(1)
	c.again <- c.ended(batch, err)
}

// ended tells the owners of the changes what became of them, and returns those that
// must be sent again without the others. After a failure each owner decides: a turn goes
// to another place, a budget is read back or granted ahead of its row.
func (c *committer) ended(batch []*commit, err error) []*commit {
	var conflict *platformapi.Conflict
	if errors.As(err, &conflict) {
		return c.dropConflicts(batch, conflict)
	}
	for _, it := range batch {
		it.done <- err
	}
	return nil
}

// dropConflicts ends the changes whose conditions fail and returns the others.
func (c *committer) dropConflicts(batch []*commit, conflict *platformapi.Conflict) []*commit {
	versions := make(map[string]int64, len(conflict.Rows))
	for _, r := range conflict.Rows {
		versions[r.Key] = r.Version
	}
	var again []*commit
	dropped := false
	for _, it := range batch {
		holds := true
		for _, cond := range it.conditions {
			holds = holds && (cond.Version == platformapi.AnyVersion || versions[cond.Key] == cond.Version)
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
