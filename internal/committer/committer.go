// Package committer runs the home log of one process. It is the driver of a homelog.Machine:
// its inputs are entries to append, takeover requests, a platform.Table and a
// platform.Objects; its outputs are sequence numbers, the entries of logs taken over, and
// callbacks when entries are durable or the log is sealed. An entry is durable once it is
// committed to the home log. Sizes are in bytes.
//
// One worker steps the machine, several send its requests to the platform, and one makes the
// callbacks. An append waits while the uncommitted entries leave no room for it within
// Config.HomeLog.PendingBytes; nothing is dropped.
package committer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/ring"
	"github.com/buckthornroute/buckthornroute/structs"
)

// ErrClosed is returned by a committer after Close or Stop was called.
var ErrClosed = errors.New("committer is closed")

// Config holds the settings of a Committer. A zero field takes its default.
type Config struct {
	// HomeLog holds the settings of the machine.
	HomeLog homelog.Config
	// OnCommitted is called with the highest sequence number that is durable; calls may skip
	// numbers. One goroutine makes all callbacks and also frees the room of committed
	// appends, so a callback that blocks delays Append.
	OnCommitted func(through uint64)
	// OnStopped is called once when the log has been sealed, with the log that took over, or
	// with an empty id if that is unknown. It is not called when Close deleted the log.
	OnStopped func(successor structs.LogID)
	// RequestTimeout is the timeout of one request to the platform. Default 2 s.
	RequestTimeout time.Duration
	// Inbox is the number of messages that may wait for the machine. Default 1024.
	Inbox int
}

// Defaults of Config.
const (
	DefaultRequestTimeout = 2 * time.Second
	DefaultInbox          = 1024
)

const (
	// requestWorkers is the number of requests to the platform that may run at once.
	requestWorkers = 8
	// requestQueue is the capacity for requests that wait for a worker. It exceeds what a
	// machine usually has outstanding; a full queue blocks stepWorker.
	requestQueue = 256
)

// Committer commits entries in the home log of this process. All methods are safe for
// concurrent use.
type Committer struct {
	cfg     Config
	table   platform.Table
	objects platform.Objects
	// machine is used only by stepWorker.
	machine *homelog.Machine

	// inbox holds the messages for the machine, and requests the machine's requests to the
	// platform.
	inbox    *ring.Ring[envelope]
	requests *ring.Ring[homelog.Effect]
	// pendingLimit limits the bytes of the appends that are not yet committed to PendingBytes.
	pendingLimit *semaphore.Weighted
	// cancel stops the workers.
	cancel  context.CancelFunc
	workers errgroup.Group
	// ended is closed when stepWorker returns.
	ended chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// closing reports whether Close or Stop was called.
	closing bool
	status  homelog.Status
	// changed is closed and replaced whenever status changes.
	changed chan struct{}
	// retired reports whether Close deleted the log.
	retired bool
	// takeovers are the channels of the callers that wait for the takeover of a log, in the
	// order of their calls.
	takeovers map[structs.LogID][]chan homelog.TakeoverDone
	// unclaimed are the entries of takeovers whose callers had given up.
	unclaimed map[structs.LogID][]homelog.Entry
	// reserved are the reservations of appends that are not yet committed, in order.
	reserved []reservation
}

// envelope holds a message to the machine. result is set for an append and receives its
// outcome.
type envelope struct {
	message homelog.Message
	result  chan appendResult
}

// appendResult is the sequence number of an append's last entry, or the error because of
// which nothing was queued.
type appendResult struct {
	sequence uint64
	err      error
}

// reservation is the part of PendingBytes that one append occupies until it is committed.
type reservation struct {
	sequence uint64
	bytes    int64
}

// New returns a committer that has not been started.
func New(cfg Config, table platform.Table, objects platform.Objects) *Committer {
	if cfg.RequestTimeout == 0 {
		cfg.RequestTimeout = DefaultRequestTimeout
	}
	if cfg.Inbox == 0 {
		cfg.Inbox = DefaultInbox
	}
	if cfg.HomeLog.PendingBytes == 0 {
		cfg.HomeLog.PendingBytes = homelog.DefaultPendingBytes
	}
	return &Committer{
		cancel: func() {},
		cfg:    cfg, table: table, objects: objects,
		machine:      homelog.New(cfg.HomeLog),
		inbox:        ring.New[envelope](cfg.Inbox),
		requests:     ring.New[homelog.Effect](requestQueue),
		pendingLimit: semaphore.NewWeighted(int64(cfg.HomeLog.PendingBytes)),
		ended:        make(chan struct{}),
		changed:      make(chan struct{}),
		takeovers:    make(map[structs.LogID][]chan homelog.TakeoverDone),
		unclaimed:    make(map[structs.LogID][]homelog.Entry),
	}
}

// Start starts the workers, which run until Close, Stop or the end of ctx, and begins to open
// the log. Ready waits until it is open.
func (c *Committer) Start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	c.workers.Go(func() error { return c.stepWorker(ctx) })
	c.workers.Go(func() error { return c.notifyWorker(ctx) })
	for range requestWorkers {
		c.workers.Go(func() error { return c.requestWorker(ctx) })
	}
}

// Ready waits until the log's first record is durable. It returns homelog.ErrStopped if the log
// is sealed before that, or ctx's error.
func (c *Committer) Ready(ctx context.Context) error {
	return c.await(ctx, func(s homelog.Status) bool { return s.Opened })
}

// Append queues entries, which are committed together, and returns the sequence number of
// the last. It waits while the entries not yet committed leave no room. On
// homelog.ErrStopped, homelog.ErrTooLarge, homelog.ErrReservedKind, ErrClosed,
// ring.ErrClosed (the workers have ended meanwhile) or ctx's error nothing is queued.
func (c *Committer) Append(ctx context.Context, entries ...homelog.Entry) (uint64, error) {
	if c.isClosing() {
		return 0, errors.Wrap(ErrClosed, "append")
	}
	bytes := entryBytes(entries)
	if bytes > int64(c.cfg.HomeLog.PendingBytes) {
		return 0, errors.Wrapf(homelog.ErrTooLarge, "append of %d bytes", bytes)
	}
	if err := c.acquire(ctx, bytes); err != nil {
		return 0, err
	}
	result := make(chan appendResult, 1)
	if err := c.inbox.Push(ctx, envelope{homelog.Append{Entries: entries}, result}); err != nil {
		c.pendingLimit.Release(bytes)
		return 0, errors.Wrap(err, "append")
	}
	r := c.awaitAppend(result)
	if r.err != nil {
		c.pendingLimit.Release(bytes)
		return 0, errors.Wrap(r.err, "append")
	}
	c.reserve(reservation{r.sequence, bytes})
	return r.sequence, nil
}

// awaitAppend waits for the result of an append. It returns ErrClosed when stepWorker ended
// before it handled the append.
func (c *Committer) awaitAppend(result chan appendResult) appendResult {
	select {
	case r := <-result:
		return r
	case <-c.ended:
	}
	// stepWorker may have handled the append just before it ended.
	select {
	case r := <-result:
		return r
	default:
		return appendResult{err: ErrClosed}
	}
}

// acquire reserves bytes of PendingBytes. It waits until they are available, the machine has
// stopped or ctx ends. After Stop, only the end of ctx ends the wait.
func (c *Committer) acquire(ctx context.Context, bytes int64) error {
	if c.pendingLimit.TryAcquire(bytes) {
		return nil
	}
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	// The goroutine ends the wait when the machine stops: no append succeeds after that.
	go func() {
		defer close(done)
		_ = c.await(waiting, func(s homelog.Status) bool { return s.Stopped })
		stop()
	}()
	err := c.pendingLimit.Acquire(waiting, bytes)
	stop()
	<-done
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return errors.Wrap(ctx.Err(), "wait for room in the journal")
	}
	return errors.Wrap(homelog.ErrStopped, "wait for room in the journal")
}

// entryBytes returns the number of bytes that entries reserve until they are committed. It
// leaves out the framing that homelog adds.
func entryBytes(entries []homelog.Entry) int64 {
	var n int64
	for _, e := range entries {
		n += int64(len(e.Data) + len(e.Kind) + len(e.Program))
	}
	return n
}

// reserve records the reservation of an append, to be released when it is committed.
func (c *Committer) reserve(r reservation) {
	c.mu.Lock()
	c.reserved = append(c.reserved, r)
	c.mu.Unlock()
	c.releaseCommitted()
}

// releaseCommitted releases the reservations of committed appends, or all of them once the
// log is sealed.
func (c *Committer) releaseCommitted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining := c.reserved[:0]
	for _, r := range c.reserved {
		if r.sequence <= c.status.Committed || c.status.Stopped {
			c.pendingLimit.Release(r.bytes)
			continue
		}
		remaining = append(remaining, r)
	}
	c.reserved = remaining
}

// Wait waits until the entry with the sequence number is durable. After homelog.ErrStopped
// the entry may still have been taken over by the successor.
func (c *Committer) Wait(ctx context.Context, sequence uint64) error {
	return c.await(ctx, func(s homelog.Status) bool { return s.Committed >= sequence })
}

// await waits until the status satisfies the condition. It returns homelog.ErrStopped if the
// log is sealed or deleted before that, or ctx's error. After Stop the status no longer
// changes, and only the end of ctx ends the wait.
func (c *Committer) await(ctx context.Context, condition func(homelog.Status) bool) error {
	for {
		c.mu.Lock()
		s, changed := c.status, c.changed
		c.mu.Unlock()
		switch {
		case condition(s):
			return nil
		case s.Stopped:
			return errors.Wrapf(homelog.ErrStopped, "successor %q", s.Successor)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Status returns the state of the log.
func (c *Committer) Status() homelog.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}

// Log returns the id of this process's home log.
func (c *Committer) Log() structs.LogID { return c.cfg.HomeLog.Log }

// SetNodes sets the number of processes that share the platform's write rate.
func (c *Committer) SetNodes(ctx context.Context, count int) error {
	return c.inbox.Push(ctx, envelope{message: homelog.Nodes{Count: count}})
}

// isClosing reports whether Close or Stop was called.
func (c *Committer) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}
