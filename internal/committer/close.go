package committer

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Handover asks another process to take over the log and returns when it has done so.
type Handover func(ctx context.Context, log structs.LogID) error

// Close refuses further appends and waits until the entries that Status reports as appended
// are durable. It then deletes the log if it is empty, that is, holds no live program and no
// redirect; otherwise it hands the log over, or leaves it unsealed if handover is nil. In any
// case it stops the workers. When the handover fails or ctx ends, the log may stay unsealed;
// another process then takes it over as after a crash, and Close returns the error. A second
// call returns ErrClosed.
func (c *Committer) Close(ctx context.Context, handover Handover) error {
	c.mu.Lock()
	alreadyClosing := c.closing
	c.closing = true
	c.mu.Unlock()
	if alreadyClosing {
		return errors.Wrap(ErrClosed, "close")
	}
	err := c.commitAndHandOver(ctx, handover)
	c.cancel()
	return errors.CombineErrors(err, c.workers.Wait())
}

// Stop stops the workers at once, without committing pending entries, as a crash would.
func (c *Committer) Stop() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel()
	_ = c.workers.Wait()
}

// commitAndHandOver waits until all entries are committed, and then deletes the log or hands
// it over. A log that holds programs or redirects stays unsealed if handover is nil.
func (c *Committer) commitAndHandOver(ctx context.Context, handover Handover) error {
	err := c.await(ctx, func(s homelog.Status) bool { return s.Opened && s.Committed >= s.LastAppended })
	if errors.Is(err, homelog.ErrStopped) {
		return nil // another process has taken over the log
	}
	if err != nil {
		return errors.Wrapf(err, "commit log %q before closing", c.Log())
	}
	if s := c.Status(); s.Programs > 0 || s.Redirects > 0 {
		if handover == nil {
			return nil
		}
		return errors.Wrapf(handover(ctx, c.Log()), "hand over log %q", c.Log())
	}
	if err := c.inbox.Push(ctx, envelope{message: homelog.Retire{}}); err != nil {
		return errors.Wrap(err, "delete the log")
	}
	// await returns when the deletion has stopped the machine.
	err = c.await(ctx, func(homelog.Status) bool { return false })
	if errors.Is(err, homelog.ErrStopped) {
		return nil
	}
	return errors.Wrap(err, "delete the log")
}
