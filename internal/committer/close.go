package committer

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Handover asks another process to adopt the log and returns once it has.
type Handover func(ctx context.Context, log structs.LogID) error

// Close refuses further appends, waits until all that was appended is kept, and then
// deletes the log if it holds nothing, or hands it over. It ends the duties in any case.
// When the hand-over fails or ctx ends, the log stays unsealed, and other processes adopt
// it as they do after a crash; Close then returns the error.
func (c *Committer) Close(ctx context.Context, handover Handover) error {
	c.mu.Lock()
	again := c.closing
	c.closing = true
	c.mu.Unlock()
	if again {
		return errors.Wrap(ErrClosed, "close")
	}
	err := c.settle(ctx, handover)
	c.cancel()
	return errors.CombineErrors(err, c.duties.Wait())
}

// Stop ends the duties at once, as a crash would.
func (c *Committer) Stop() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel()
	_ = c.duties.Wait()
}

// settle commits what is left and deletes the log or hands it over.
func (c *Committer) settle(ctx context.Context, handover Handover) error {
	err := c.await(ctx, func(s homelog.Status) bool { return s.Opened && s.Committed >= s.LastAppended })
	if errors.Is(err, homelog.ErrStopped) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "commit before closing")
	}
	if s := c.Status(); s.Programs > 0 || s.Redirects > 0 {
		if handover == nil {
			return nil
		}
		return errors.Wrap(handover(ctx, c.Log()), "hand the log over")
	}
	if err := c.inbox.Push(ctx, letter{message: homelog.Retire{}}); err != nil {
		return errors.Wrap(err, "delete the log")
	}
	err = c.await(ctx, func(homelog.Status) bool { return false })
	if errors.Is(err, homelog.ErrStopped) {
		return nil
	}
	return errors.Wrap(err, "delete the log")
}
