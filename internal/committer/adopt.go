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

// TakeOver takes over the programs of a log whose holder seems dead, and returns the entries
// of the live ones, grouped by program and in order; they are already kept in the own log.
// The holder stops at its next record if it is alive. TakeOver returns homelog.ErrNoLog when
// nothing is left to take over, homelog.ErrAdoptedElsewhere, homelog.ErrHolderActive,
// homelog.ErrCorrupt, homelog.ErrStopped or ctx's error. After ctx's error the takeover
// goes on, and the next TakeOver of the log returns the entries.
func (c *Committer) TakeOver(ctx context.Context, log structs.LogID) ([]homelog.Entry, error) {
	answer := make(chan homelog.TakeoverDone, 1)
	c.mu.Lock()
	if entries, ok := c.unclaimed[log]; ok {
		delete(c.unclaimed, log)
		c.mu.Unlock()
		return entries, nil
	}
	c.adoptions[log] = append(c.adoptions[log], answer)
	c.mu.Unlock()
	if err := c.inbox.Push(ctx, letter{message: homelog.TakeOver{Log: log}}); err != nil {
		c.leave(log, answer)
		return nil, errors.Wrapf(err, "adopt log %q", log)
	}
	select {
	case a := <-answer:
		return a.Entries, errors.Wrapf(a.Err, "adopt log %q", log)
	case <-ctx.Done():
		c.leave(log, answer)
		return nil, errors.Wrapf(ctx.Err(), "adopt log %q", log)
	}
}

// leave withdraws a caller of Adopt and keeps what it was handed meanwhile.
func (c *Committer) leave(log structs.LogID, answer chan homelog.TakeoverDone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adoptions[log] = slices.DeleteFunc(c.adoptions[log], func(a chan homelog.TakeoverDone) bool { return a == answer })
	select {
	case a := <-answer:
		c.keepUnclaimed(a)
	default:
	}
}

func (c *Committer) keepUnclaimed(a homelog.TakeoverDone) {
	if len(a.Entries) > 0 {
		c.unclaimed[a.Log] = a.Entries
	}
}

// adopted hands an adoption's entries to the first caller that waits for them; the others
// get none, so that no program starts twice.
func (c *Committer) adopted(a homelog.TakeoverDone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.adoptions[a.Log]
	delete(c.adoptions, a.Log)
	if len(waiting) == 0 {
		c.keepUnclaimed(a)
		return
	}
	waiting[0] <- a
	for _, w := range waiting[1:] {
		w <- homelog.TakeoverDone{Log: a.Log, Err: a.Err}
	}
}

// maxRedirects bounds the seal rows that Successor follows.
const maxRedirects = 32

// Successor returns the log that now holds the programs opened in the given one, which is
// the log itself while it is unsealed. It returns homelog.ErrNoLog when none of them is
// live, or the platform's error.
func (c *Committer) Successor(ctx context.Context, log structs.LogID) (structs.LogID, error) {
	for range maxRedirects {
		row, err := c.table.Get(ctx, homelog.SealKey(log))
		if errors.Is(err, platform.ErrNotFound) {
			return c.unsealed(ctx, log)
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

// unsealed returns the log if it is open.
func (c *Committer) unsealed(ctx context.Context, log structs.LogID) (structs.LogID, error) {
	_, err := c.table.Get(ctx, homelog.OpenKey(log))
	if errors.Is(err, platform.ErrNotFound) {
		return "", errors.Wrapf(homelog.ErrNoLog, "log %q", log)
	}
	if err != nil {
		return "", errors.Wrapf(err, "read the open row of log %q", log)
	}
	return log, nil
}

// OpenLog is a log that is not sealed, and where its holder runs.
type OpenLog struct {
	Log   structs.LogID
	Owner homelog.Owner
}

// OpenLogs lists the unsealed logs. A process that starts compares them with the members
// it hears of, to find logs whose holders died while nobody watched.
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
