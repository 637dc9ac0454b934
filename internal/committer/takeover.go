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
// returns the entries. ctx should have a deadline: after Stop a queued request gets no answer.
func (c *Committer) TakeOver(ctx context.Context, log structs.LogID) ([]homelog.Entry, error) {
	answer := make(chan homelog.TakeoverDone, 1)
	c.mu.Lock()
	if entries, ok := c.unclaimed[log]; ok {
		delete(c.unclaimed, log)
		c.mu.Unlock()
		return entries, nil
	}
	c.takeovers[log] = append(c.takeovers[log], answer)
	c.mu.Unlock()
	if err := c.inbox.Push(ctx, envelope{message: homelog.TakeOver{Log: log}}); err != nil {
		c.withdraw(log, answer)
		return nil, errors.Wrapf(err, "adopt log %q", log)
	}
	select {
	case a := <-answer:
		return a.Entries, errors.Wrapf(a.Err, "adopt log %q", log)
	case <-ctx.Done():
		c.withdraw(log, answer)
		return nil, errors.Wrapf(ctx.Err(), "adopt log %q", log)
	}
}

// withdraw removes a caller of TakeOver that gives up. If the caller's channel already holds a
// result, its entries are stored for the next caller.
func (c *Committer) withdraw(log structs.LogID, answer chan homelog.TakeoverDone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takeovers[log] = slices.DeleteFunc(c.takeovers[log], func(a chan homelog.TakeoverDone) bool { return a == answer })
	select {
	case a := <-answer:
		c.storeUnclaimed(a)
	default:
	}
}

// storeUnclaimed retains the entries of a takeover for the next caller of TakeOver.
func (c *Committer) storeUnclaimed(a homelog.TakeoverDone) {
	if len(a.Entries) > 0 {
		c.unclaimed[a.Log] = a.Entries
	}
}

// deliverTakeover passes the entries of a takeover to the first caller that waits for them.
// The others receive none, so that no program starts twice.
func (c *Committer) deliverTakeover(a homelog.TakeoverDone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.takeovers[a.Log]
	delete(c.takeovers, a.Log)
	if len(waiting) == 0 {
		c.storeUnclaimed(a)
		return
	}
	waiting[0] <- a
	for _, w := range waiting[1:] {
		w <- homelog.TakeoverDone{Log: a.Log, Err: a.Err}
	}
}

// maxRedirects is the maximum number of redirects that Successor follows. The redirect of a
// sealed log is its seal row, which names the successor.
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

// OpenLog is an unsealed log, and where its owner runs.
type OpenLog struct {
	Log   structs.LogID
	Owner homelog.Owner
}

// OpenLogs lists the unsealed logs of all processes. A process that starts compares them with
// the processes that it knows to be alive, to find logs whose owners crashed while no other
// process was running.
func (c *Committer) OpenLogs(ctx context.Context) ([]OpenLog, error) {
	const page = 256
	var logs []OpenLog
	after := ""
	for {
		rows, err := c.table.Scan(ctx, homelog.OpenPrefix, after, page)
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
		if len(rows) < page {
			return logs, nil
		}
		after = rows[len(rows)-1].Key
	}
}
