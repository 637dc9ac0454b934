package committer

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// TakeOver takes over the programs of a log whose owner is presumed dead, and returns the
// entries of the live ones, grouped by program and in order; they are already committed in
// the home log of this process. Only one caller receives the entries: others that wait for the
// same log, and later calls, receive none and no error. If the old owner is alive, it stops at
// its next record.
//
// TakeOver returns homelog.ErrNoLog when the log does not exist or was deleted,
// homelog.ErrOtherSuccessor, homelog.ErrOwnerActive, homelog.ErrCorrupt, homelog.ErrStopped
// or ctx's error. After ctx's error the takeover continues, and the next TakeOver of the log
// returns the entries. A request that is queued when the committer ends fails with homelog.ErrStopped.
func (c *Committer) TakeOver(ctx context.Context, log structs.LogID) ([]homelog.Entry, error) {
	result := make(chan homelog.TakeoverDone, 1)
	c.mu.Lock()
	if entries, ok := c.unclaimed[log]; ok {
		delete(c.unclaimed, log)
		c.mu.Unlock()
		return entries, nil
	}
	c.takeovers[log] = append(c.takeovers[log], result)
	c.mu.Unlock()
	if err := c.inbox.Push(ctx, envelope{message: homelog.TakeOver{Log: log}}); err != nil {
		c.withdraw(log, result)
		return nil, errors.Wrapf(err, "adopt log %q", log)
	}
	select {
	case done := <-result:
		return done.Entries, errors.Wrapf(done.Err, "adopt log %q", log)
	case <-c.ended:
		c.withdraw(log, result)
		return nil, errors.Wrapf(homelog.ErrStopped, "adopt log %q", log)
	case <-ctx.Done():
		c.withdraw(log, result)
		return nil, errors.Wrapf(ctx.Err(), "adopt log %q", log)
	}
}

// withdraw removes a caller of TakeOver that gives up. If the caller's channel already holds a
// result, its entries are retained for the next caller.
func (c *Committer) withdraw(log structs.LogID, result chan homelog.TakeoverDone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takeovers[log] = slices.DeleteFunc(c.takeovers[log], func(a chan homelog.TakeoverDone) bool { return a == result })
	select {
	case done := <-result:
		c.retainUnclaimed(done)
	default:
	}
}

// retainUnclaimed retains the entries of a takeover for the next caller of TakeOver.
func (c *Committer) retainUnclaimed(done homelog.TakeoverDone) {
	if len(done.Entries) > 0 {
		c.unclaimed[done.Log] = done.Entries
	}
}

// deliverTakeover passes the entries of a takeover to the first caller that waits for them.
// The others receive none, so that no program starts twice.
func (c *Committer) deliverTakeover(done homelog.TakeoverDone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.takeovers[done.Log]
	delete(c.takeovers, done.Log)
	if len(waiting) == 0 {
		c.retainUnclaimed(done)
		return
	}
	waiting[0] <- done
	for _, w := range waiting[1:] {
		w <- homelog.TakeoverDone{Log: done.Log, Err: done.Err}
	}
}

// maxRedirects is the maximum number of redirects that Successor follows, so that seal rows
// that name each other end in an error. The redirect of a sealed log is its seal row, which
// names the successor.
const maxRedirects = 32

// Successor returns the log that now holds the programs opened in the given one. This is the
// given log itself while it is unsealed. Successor returns homelog.ErrNoLog when the log has
// neither a seal row nor an open row: it never existed, or it and its redirect are deleted
// because none of its programs is live. Otherwise it returns the platform's error.
func (c *Committer) Successor(ctx context.Context, log structs.LogID) (structs.LogID, error) {
	for range maxRedirects {
		row, err := c.table.Get(ctx, homelog.SealKey(log))
		if errors.Is(err, platform.ErrNotFound) {
			return c.requireOpen(ctx, log)
		}
		if err != nil {
			return "", errors.Wrapf(err, "read the redirect of log %q", log)
		}
		seal, err := homelog.DecodeSeal(row.Value)
		if err != nil {
			return "", errors.Wrapf(err, "redirect of log %q", log)
		}
		log = seal.Successor
	}
	return "", errors.Wrapf(homelog.ErrCorrupt, "more than %d redirects, the last to log %q", maxRedirects, log)
}

// requireOpen returns the log if its open row exists, and homelog.ErrNoLog otherwise.
func (c *Committer) requireOpen(ctx context.Context, log structs.LogID) (structs.LogID, error) {
	_, err := c.table.Get(ctx, homelog.OpenKey(log))
	if errors.Is(err, platform.ErrNotFound) {
		return "", errors.Wrapf(homelog.ErrNoLog, "log %q", log)
	}
	if err != nil {
		return "", errors.Wrapf(err, "read the open row of log %q", log)
	}
	return log, nil
}

// OpenLog is an unsealed log and the process that owns it.
type OpenLog struct {
	Log   structs.LogID
	Owner homelog.Owner
}

// OpenLogs lists the unsealed logs of all processes. A process that starts compares them with
// the processes that it knows to be alive, to find logs whose owners crashed while no other
// process was running.
func (c *Committer) OpenLogs(ctx context.Context) ([]OpenLog, error) {
	const pageSize = 256 // rows in one scan
	var logs []OpenLog
	after := ""
	for {
		rows, err := c.table.Scan(ctx, homelog.OpenPrefix, after, pageSize)
		if err != nil {
			return nil, errors.Wrap(err, "list open logs")
		}
		for _, row := range rows {
			owner, err := homelog.DecodeOwner(row.Value)
			if err != nil {
				return nil, errors.Wrapf(err, "row %q", row.Key)
			}
			logs = append(logs, OpenLog{structs.LogID(strings.TrimPrefix(row.Key, homelog.OpenPrefix)), owner})
		}
		if len(rows) < pageSize {
			return logs, nil
		}
		after = rows[len(rows)-1].Key
	}
}
