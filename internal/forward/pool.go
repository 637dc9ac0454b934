// Package forward sends calls to upstreams over pooled HTTP/1.1 connections and reports
// the outcome of each: an answer, an error marked ErrNotSent (nothing reached the upstream,
// so the call may be sent to another), or an error marked ErrLost (the call may have run). An
// answer in which the upstream states that it did not run the call is returned like any other.
//
// The transport of net/http is not used, for 2 reasons: it resends some requests by
// itself when a reused connection fails, and it takes the next answer on a connection for
// that of its request without comparing ids.
package forward

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// readBuffer is the size in bytes of a connection's read buffer; one event of an answer
	// stream fits.
	readBuffer = 2 << 10
	// keepAliveMargin is subtracted from the keep-alive time that an upstream announces, so
	// that a call, which takes some ms to arrive, does not arrive after the upstream has
	// closed the connection.
	keepAliveMargin = 500 * time.Millisecond
	// defaultIdleTimeout applies when the upstream announces no keep-alive time.
	defaultIdleTimeout = 4 * time.Second
	// sweepInterval is the time between 2 searches for expired idle connections.
	sweepInterval = 2 * time.Second
)

// ErrBusy is returned when all connections that Request.MaxConns permits are in use.
var ErrBusy = errors.New("connections to the upstream are used up")

// Pool holds the connections to upstreams, by address. Its methods are safe for concurrent
// use; its fields must not change while a method runs.
type Pool struct {
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// OnDial is called after each new connection is established, from any goroutine.
	OnDial func()

	mu    sync.Mutex
	hosts map[string]*host
}

// host holds the idle connections to one address, and the number of all connections to it.
// Pool.mu guards it.
type host struct {
	// idle is ordered by last use, the most recent last.
	idle []*conn
	// open counts all connections, including idle ones and dials in progress.
	open int
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	// br reads from head, and head from Conn.
	br      *bufio.Reader
	head    *headReader
	address string
	opened  time.Time
	// idleSince is when the connection was returned to the pool.
	idleSince time.Time
	// expires is the time after which the connection must not be used again.
	expires time.Time
	// refused holds the ids of the calls that the upstream refused on the connection.
	refused map[string]struct{}
}

// maxRefused is the number of refusals after which a connection is closed, which bounds the memory
// of their ids.
const maxRefused = 100

// noteRefused notes that a refusal of the call with the id has arrived. It returns false when the
// connection must not be used again.
func (c *conn) noteRefused(id string) bool {
	if c.refused == nil {
		c.refused = map[string]struct{}{}
	}
	c.refused[id] = struct{}{}
	return len(c.refused) < maxRefused
}

// hasRefused reports whether a refusal of the call with the id has arrived on the connection.
func (c *conn) hasRefused(id string) bool {
	_, ok := c.refused[id]
	return ok
}

// NewPool returns an empty pool.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{DialTimeout: dialTimeout, OnDial: func() {}, hosts: map[string]*host{}}
}

// hostOf returns the host of the address; it adds an empty one for a new address. p.mu must be
// held.
func (p *Pool) hostOf(address string) *host {
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

// ErrNoOldConnection is returned when no idle connection was opened before Request.OpenedBefore.
var ErrNoOldConnection = errors.New("no idle connection to the upstream is old enough")

// suits reports whether an idle connection may carry the request, apart from the time for which it was idle.
func (c *conn) suits(r *Request) bool {
	return !c.hasRefused(r.ID) && (r.OpenedBefore.IsZero() || c.opened.Before(r.OpenedBefore))
}

// get returns a connection for the request: one that was idle for at most MaxIdle, or a new one.
// Connections that were idle for longer stay in the pool for calls with a larger MaxIdle, except that
// the one unused for longest is closed when the limit would prevent a new one. When all of them are in
// use, get returns ErrBusy.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	h := p.hostOf(r.Address)
	// Try the connection used last first: the upstream is least likely to have closed it.
	for n := len(h.idle); n > 0; n = min(n-1, len(h.idle)) {
		c := h.idle[n-1]
		if !c.suits(r) {
			continue
		}
		usable := now.Before(c.expires) && c.reusable()
		if usable && now.Sub(c.idleSince) > r.MaxIdle {
			break // the others were idle for even longer
		}
		h.idle = slices.Delete(h.idle, n-1, n)
		if usable {
			p.mu.Unlock()
			return c, nil
		}
		h.open--
		_ = c.Close()
	}
	if !r.OpenedBefore.IsZero() {
		p.mu.Unlock()
		return nil, ErrNoOldConnection
	}
	// The idle connections that are left are too old for this call: make room for a new one.
	if r.MaxConns > 0 && h.open >= r.MaxConns && len(h.idle) > 0 {
		_ = h.idle[0].Close()
		h.idle = h.idle[1:]
		h.open--
	}
	if r.MaxConns > 0 && h.open >= r.MaxConns {
		p.mu.Unlock()
		return nil, ErrBusy
	}
	h.open++
	p.mu.Unlock()
	return p.dial(ctx, r.Address)
}

// HasIdleOpenedBefore reports whether an idle connection to the address was opened before a time and has been
// idle for at most maxIdle.
func (p *Pool) HasIdleOpenedBefore(address string, before time.Time, maxIdle time.Duration) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	return h != nil && slices.ContainsFunc(h.idle, func(c *conn) bool {
		return c.opened.Before(before) && now.Before(c.expires) && now.Sub(c.idleSince) <= maxIdle && c.reusable()
	})
}

// dial opens a connection that get has already counted.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.DialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.uncount(address)
		return nil, errors.Wrap(err, "connect")
	}
	p.OnDial()
	head := &headReader{r: nc, left: noLimit}
	return &conn{Conn: nc, opened: time.Now(), br: bufio.NewReaderSize(head, readBuffer), head: head, address: address}, nil
}

// uncount subtracts a closed connection or a failed dial from the count of its address.
func (p *Pool) uncount(address string) {
	p.mu.Lock()
	h := p.hostOf(address)
	h.open--
	if h.open <= 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
	p.mu.Unlock()
}

// drop closes a connection and removes it from the count.
func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.uncount(c.address)
}

// put takes back a connection that has no pending call, or closes it if it can't be reused.
// keepAlive is the keep-alive time that the upstream announced; 0 means none.
func (p *Pool) put(c *conn, keepAlive time.Duration) {
	idleTimeout := defaultIdleTimeout
	if keepAlive > 0 {
		idleTimeout = keepAlive - keepAliveMargin
	}
	// Bytes in the buffer belong to no call. SetDeadline removes the deadline of the call.
	if c.br.Buffered() > 0 || idleTimeout <= 0 || c.SetDeadline(time.Time{}) != nil {
		p.drop(c)
		return
	}
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(idleTimeout)
	p.mu.Lock()
	h := p.hostOf(c.address)
	h.idle = append(h.idle, c)
	p.mu.Unlock()
}

// OpenConns returns the number of connections to the address, idle ones included.
func (p *Pool) OpenConns(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		return h.open
	}
	return 0
}

// Run closes expired idle connections until ctx ends, and then closes the idle connections that
// expire within an hour: all of them, unless an upstream announced a longer keep-alive time.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(time.Now().Add(time.Hour))
			return
		case now := <-tick.C:
			p.sweep(now)
		}
	}
}

// sweep closes the idle connections that have expired at the given time.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		remaining := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) {
				remaining = append(remaining, c)
				continue
			}
			h.open--
			_ = c.Close()
		}
		h.idle = remaining
		if h.open <= 0 && len(remaining) == 0 {
			delete(p.hosts, address)
		}
	}
}

// reusable reports whether an idle connection is still open and has no bytes to read. Bytes
// that arrived while it was idle belong to no call. It reports true for a connection that
// gives no access to its socket.
func (c *conn) reusable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = n <= 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && empty
}
