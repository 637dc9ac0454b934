package committer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// stepDuty steps the machine with one message after another.
func (c *Committer) stepDuty(ctx context.Context) error {
	defer close(c.ended)
	defer c.inbox.Close()
	wake := c.handle(ctx, letter{message: homelog.Start{}})
	for {
		l, err := c.next(ctx, wake)
		if err != nil {
			return nil
		}
		wake = c.handle(ctx, l)
	}
}

// next returns the next message, or a tick at the time wake.
func (c *Committer) next(ctx context.Context, wake time.Time) (letter, error) {
	if wake.IsZero() {
		return c.inbox.Pop(ctx)
	}
	bounded, cancel := context.WithDeadline(ctx, wake)
	defer cancel()
	l, err := c.inbox.Pop(bounded)
	if err != nil && ctx.Err() == nil && bounded.Err() != nil {
		return letter{message: homelog.Tick{}}, nil
	}
	return l, err
}

// handle steps the machine and carries out its effects; it returns the time of the next tick.
func (c *Committer) handle(ctx context.Context, l letter) time.Time {
	if a, ok := l.message.(homelog.Append); ok {
		if err := c.machine.Check(a.Entries); err != nil {
			l.answer <- appended{err: err}
			return time.Now()
		}
	}
	effects := c.machine.Step(time.Now(), l.message)
	if l.answer != nil {
		l.answer <- appended{sequence: c.machine.LastSequence()}
	}
	var wake time.Time
	for _, e := range effects {
		switch e := e.(type) {
		case homelog.WakeAt:
			wake = e.At
		case homelog.Committed, homelog.Stopped:
		case homelog.TakeoverDone:
			c.adopted(e)
		case homelog.Retired:
			c.setRetired()
		default:
			if err := c.requests.Push(ctx, e); err != nil {
				return wake
			}
		}
	}
	c.publish(c.machine.Status())
	return wake
}

// publish makes the status visible and wakes those who wait for a change.
func (c *Committer) publish(s homelog.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == c.status {
		return
	}
	c.status = s
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Committer) setRetired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
}

// noticeDuty tells the process what is kept and that the log is sealed.
func (c *Committer) noticeDuty(ctx context.Context) error {
	var told uint64
	for {
		err := c.await(ctx, func(s homelog.Status) bool { return s.Committed > told })
		if ctx.Err() != nil {
			return nil
		}
		s := c.Status()
		c.releaseCommitted()
		if s.Committed > told && c.cfg.OnCommitted != nil {
			c.cfg.OnCommitted(s.Committed)
		}
		told = s.Committed
		if err != nil {
			c.tellStopped(s.Successor)
			return nil
		}
	}
}

func (c *Committer) tellStopped(successor structs.LogID) {
	c.mu.Lock()
	retired := c.retired
	c.mu.Unlock()
	if c.cfg.OnStopped != nil && !retired {
		c.cfg.OnStopped(successor)
	}
}

// requestDuty does requests to the platform, one at a time.
func (c *Committer) requestDuty(ctx context.Context) error {
	for {
		e, err := c.requests.Pop(ctx)
		if err != nil {
			return nil
		}
		result := c.request(ctx, e)
		if err := c.inbox.Push(ctx, letter{message: result}); err != nil {
			return nil
		}
	}
}

// request does one request to the platform.
func (c *Committer) request(ctx context.Context, e homelog.Effect) homelog.Result {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.RequestTimeout)
	defer cancel()
	var r homelog.Result
	var err error
	switch e := e.(type) {
	case homelog.Apply:
		r.Call = e.Call
		err = c.table.Apply(ctx, e.Txn)
	case homelog.GetRow:
		r.Call = e.Call
		r.Row, err = c.table.Get(ctx, e.Key)
	case homelog.ScanRows:
		r.Call = e.Call
		r.Rows, err = c.table.Scan(ctx, e.Prefix, e.After, e.Limit)
	case homelog.PutObject:
		r.Call = e.Call
		err = c.objects.Put(ctx, e.Key, e.Value)
	case homelog.GetObject:
		r.Call = e.Call
		r.Value, err = c.objects.Get(ctx, e.Key)
	case homelog.DeleteObject:
		r.Call = e.Call
		err = c.objects.Delete(ctx, e.Key)
	}
	r.Outcome = outcomeOf(err)
	return r
}

// outcomeOf reads an error of the platform. An error that it does not know leaves the
// outcome open.
func outcomeOf(err error) homelog.Outcome {
	switch {
	case err == nil:
		return homelog.Done
	case errors.Is(err, platform.ErrConditionFailed):
		return homelog.ConditionFailed
	case errors.Is(err, platform.ErrNotFound):
		return homelog.NotFound
	case errors.Is(err, platform.ErrNotApplied):
		return homelog.NotApplied
	}
	return homelog.Unknown
}
