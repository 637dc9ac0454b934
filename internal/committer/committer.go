// Package committer is the shell of a homelog.Machine: it carries out the machine's
// effects at the platform's table and object store, and lets other duties of the
// process append entries and wait for them to be kept.
//
// One duty steps the machine, a few do the requests to the platform, and one tells the
// process what is kept. Appends wait while too much is not yet committed; nothing is dropped.
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

// ErrClosed reports use of a committer after Close began.
var ErrClosed = errors.New("committer is closed")

// Config holds the settings of a Committer. A zero field takes its default.
type Config struct {
	HomeLog homelog.Config
	// OnCommitted is told the highest sequence number that is kept. Calls come one at a
	// time from one duty and may skip numbers.
	OnCommitted func(through uint64)
	// OnStopped is told once that the log is sealed and by which log.
	OnStopped func(successor structs.LogID)
	// RequestTimeout bounds one request to the platform. Default 2 s.
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
	// requestDuties is the number of requests to the platform under way at once.
	requestDuties = 8
	// requestRing has room for all requests that a machine has outstanding.
	requestRing = 256
)

// Committer commits entries in the log of this process. All methods may be called from
// any goroutine.
type Committer struct {
	cfg     Config
	table   platform.Table
	objects platform.Objects
	machine *homelog.Machine

	inbox    *ring.Ring[letter]
	requests *ring.Ring[homelog.Effect]
	room     *semaphore.Weighted
	cancel   context.CancelFunc
	duties   errgroup.Group
	// ended is closed when the machine is stepped no more.
	ended chan struct{}

	mu      sync.Mutex
	closing bool
	status  homelog.Status
	// changed is closed and replaced whenever status changes.
	changed   chan struct{}
	retired   bool
	adoptions map[structs.LogID][]chan homelog.TakeoverDone
	// unclaimed are the entries of adoptions whose caller had gone.
	unclaimed map[structs.LogID][]homelog.Entry
	// held are the bytes of appends that are not yet committed, in order.
	held []holding
}

// letter is a message to the machine; an append is answered with its sequence number.
type letter struct {
	message homelog.Message
	answer  chan appended
}

type appended struct {
	sequence uint64
	err      error
}

// holding is the part of the room that one append takes up until it is committed.
type holding struct {
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
		machine:   homelog.New(cfg.HomeLog),
		inbox:     ring.New[letter](cfg.Inbox),
		requests:  ring.New[homelog.Effect](requestRing),
		room:      semaphore.NewWeighted(int64(cfg.HomeLog.PendingBytes)),
		ended:     make(chan struct{}),
		changed:   make(chan struct{}),
		adoptions: make(map[structs.LogID][]chan homelog.TakeoverDone),
		unclaimed: make(map[structs.LogID][]homelog.Entry),
	}
}

// Start starts the duties, which run until Close or until ctx ends, and opens the log.
// Ready says when it is open.
func (c *Committer) Start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	c.duties.Go(func() error { return c.stepDuty(ctx) })
	c.duties.Go(func() error { return c.noticeDuty(ctx) })
	for range requestDuties {
		c.duties.Go(func() error { return c.requestDuty(ctx) })
	}
}

// Ready waits until the log's first record is kept. It returns ErrStopped or ctx's error.
func (c *Committer) Ready(ctx context.Context) error {
	return c.await(ctx, func(s homelog.Status) bool { return s.Opened })
}

// Append queues entries, which are committed together, and returns the sequence number of
// the last. It waits while too much is not yet committed. It returns homelog.ErrStopped,
// homelog.ErrTooLarge, homelog.ErrReservedKind, ErrClosed or ctx's error; then nothing is queued.
func (c *Committer) Append(ctx context.Context, entries ...homelog.Entry) (uint64, error) {
	if c.isClosing() {
		return 0, errors.Wrap(ErrClosed, "append")
	}
	bytes := sizeOf(entries)
	if bytes > int64(c.cfg.HomeLog.PendingBytes) {
		return 0, errors.Wrapf(homelog.ErrTooLarge, "append of %d bytes", bytes)
	}
	if err := c.acquire(ctx, bytes); err != nil {
		return 0, err
	}
	answer := make(chan appended, 1)
	if err := c.inbox.Push(ctx, letter{homelog.Append{Entries: entries}, answer}); err != nil {
		c.room.Release(bytes)
		return 0, errors.Wrap(err, "append")
	}
	a := c.awaitAnswer(answer)
	if a.err != nil {
		c.room.Release(bytes)
		return 0, errors.Wrap(a.err, "append")
	}
	c.hold(holding{a.sequence, bytes})
	return a.sequence, nil
}

// awaitAnswer returns the answer to an append, or ErrClosed when it was left in the inbox.
func (c *Committer) awaitAnswer(answer chan appended) appended {
	select {
	case a := <-answer:
		return a
	case <-c.ended:
	}
	select {
	case a := <-answer:
		return a
	default:
		return appended{err: ErrClosed}
	}
}

// acquire takes room for bytes, waiting for it until the log is sealed or ctx ends.
func (c *Committer) acquire(ctx context.Context, bytes int64) error {
	if c.room.TryAcquire(bytes) {
		return nil
	}
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.await(waiting, func(s homelog.Status) bool { return s.Stopped })
		stop()
	}()
	err := c.room.Acquire(waiting, bytes)
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

// sizeOf returns the bytes that entries take up while they are not committed.
func sizeOf(entries []homelog.Entry) int64 {
	var n int64
	for _, e := range entries {
		n += int64(len(e.Data) + len(e.Kind) + len(e.Program))
	}
	return n
}

// hold keeps the room of an append taken until it is committed.
func (c *Committer) hold(h holding) {
	c.mu.Lock()
	c.held = append(c.held, h)
	c.mu.Unlock()
	c.releaseCommitted()
}

// releaseCommitted gives back the room of what is committed, or of all once the log is sealed.
func (c *Committer) releaseCommitted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.held[:0]
	for _, h := range c.held {
		if h.sequence <= c.status.Committed || c.status.Stopped {
			c.room.Release(h.bytes)
			continue
		}
		kept = append(kept, h)
	}
	c.held = kept
}

// Wait waits until the entry with the sequence number is kept. After homelog.ErrStopped
// the entry may still have been taken over by the successor.
func (c *Committer) Wait(ctx context.Context, sequence uint64) error {
	return c.await(ctx, func(s homelog.Status) bool { return s.Committed >= sequence })
}

// await waits until the status satisfies holds; it returns homelog.ErrStopped once the
// log is sealed and it does not.
func (c *Committer) await(ctx context.Context, holds func(homelog.Status) bool) error {
	for {
		c.mu.Lock()
		s, changed := c.status, c.changed
		c.mu.Unlock()
		switch {
		case holds(s):
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

// Log returns the id of the own log.
func (c *Committer) Log() structs.LogID { return c.cfg.HomeLog.Log }

// SetNodes tells how many processes share the platform's writes.
func (c *Committer) SetNodes(ctx context.Context, count int) error {
	return c.inbox.Push(ctx, letter{message: homelog.Nodes{Count: count}})
}

func (c *Committer) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}
