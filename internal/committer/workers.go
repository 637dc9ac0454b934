package committer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// stepWorker passes the messages of the inbox to the machine until ctx ends.
func (c *Committer) stepWorker(ctx context.Context) error {
	defer close(c.ended)
	defer c.inbox.Close()
	wake := c.handle(ctx, envelope{message: homelog.Start{}})
	for {
		env, err := c.next(ctx, wake)
		if err != nil {
			return nil
		}
		wake = c.handle(ctx, env)
	}
}

// next returns the next message, or a Tick if none arrives before wake.
func (c *Committer) next(ctx context.Context, wake time.Time) (envelope, error) {
	if wake.IsZero() {
		return c.inbox.Pop(ctx)
	}
	bounded, cancel := context.WithDeadline(ctx, wake)
	defer cancel()
	env, err := c.inbox.Pop(bounded)
	if err != nil && ctx.Err() == nil && bounded.Err() != nil {
		return envelope{message: homelog.Tick{}}, nil
	}
	return env, err
}

// handle steps the machine and carries out its effects. It returns the time of the next Tick,
// or zero if none is needed.
func (c *Committer) handle(ctx context.Context, env envelope) time.Time {
	if a, ok := env.message.(homelog.Append); ok {
		if err := c.machine.Check(a.Entries); err != nil {
			env.result <- appendResult{err: err}
			// Step was not called; an immediate Tick computes the next wake time.
			return time.Now()
		}
	}
	effects := c.machine.Step(time.Now(), env.message)
	if env.result != nil {
		env.result <- appendResult{sequence: c.machine.LastSequence()}
	}
	var wake time.Time
	for _, e := range effects {
		switch e := e.(type) {
		case homelog.WakeAt:
			wake = e.At
		case homelog.Committed, homelog.Stopped:
			// publish reports both through the status.
		case homelog.TakeoverDone:
			c.deliverTakeover(e)
		case homelog.Retired:
			c.setRetired()
		default:
			if err := c.requests.Push(ctx, e); err != nil {
				return wake // ctx has ended, and with it the worker
			}
		}
	}
	c.publish(c.machine.Status())
	return wake
}

// publish stores the status and notifies the goroutines that wait for a change.
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

// setRetired records that the log was deleted on request.
func (c *Committer) setRetired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
}

// notifyWorker calls OnCommitted as entries become durable, and OnStopped when the log is
// sealed. It also releases the reservations of committed appends.
func (c *Committer) notifyWorker(ctx context.Context) error {
	var notified uint64
	for {
		err := c.await(ctx, func(s homelog.Status) bool { return s.Committed > notified })
		if ctx.Err() != nil {
			return nil
		}
		s := c.Status()
		c.releaseCommitted()
		if s.Committed > notified && c.cfg.OnCommitted != nil {
			c.cfg.OnCommitted(s.Committed)
		}
		notified = s.Committed
		if err != nil { // homelog.ErrStopped, since ctx has not ended
			c.notifyStopped(s.Successor)
			return nil
		}
	}
}

// notifyStopped calls OnStopped unless the log was deleted on request.
func (c *Committer) notifyStopped(successor structs.LogID) {
	c.mu.Lock()
	retired := c.retired
	c.mu.Unlock()
	if c.cfg.OnStopped != nil && !retired {
		c.cfg.OnStopped(successor)
	}
}

// requestWorker sends requests to the platform, one at a time, and passes their results to
// the machine.
func (c *Committer) requestWorker(ctx context.Context) error {
	for {
		e, err := c.requests.Pop(ctx)
		if err != nil {
			return nil
		}
		result := c.request(ctx, e)
		if err := c.inbox.Push(ctx, envelope{message: result}); err != nil {
			return nil
		}
	}
}

// request sends one request to the platform and returns its result.
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

// outcomeOf returns the outcome of a request from the platform's error. After any error not
// listed here the outcome is unknown.
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
