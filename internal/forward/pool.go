// Package forward sends calls to upstreams over HTTP/1.1 and tells exactly what
// became of each: not sent, not run, answered, or unknown.
//
// It is not the transport of net/http, which sends some requests again by itself on
// a kept connection that failed, and takes whatever answer comes next on a
// connection for that of its request.
package forward

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// readBuffer is the buffer of a connection in bytes; an event of an answer fits.
	readBuffer = 2 << 10
	// keepAliveMargin is how long before the end of the time that an upstream keeps a
	// resting connection it is no longer used: a call on the way takes some ms.
	keepAliveMargin = 500 * time.Millisecond
	// defaultRest is how long a connection rests when the upstream says nothing.
	defaultRest = 4 * time.Second
	// sweepInterval is the time between two searches for connections that rested too long.
	sweepInterval = 2 * time.Second
)

// ErrBusy says that no further connection to the upstream may be opened.
var ErrBusy = errors.New("connections to the upstream are used up")

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	// DialTimeout bounds a new connection.
	DialTimeout time.Duration
	// OnDial is called for each new connection.
	OnDial func()

	mu    sync.Mutex
	hosts map[string]*host
}

// host is the connections to one address.
type host struct {
	// idle has the most recently used connection last.
	idle []*conn
	// open counts all connections, idle ones too.
	open int
}

type conn struct {
	net.Conn
	br      *bufio.Reader
	address string
	// rested is when it was put back, expires when it must no longer be used.
	rested  time.Time
	expires time.Time
}

// NewPool returns an empty pool.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{DialTimeout: dialTimeout, OnDial: func() {}, hosts: map[string]*host{}}
}

func (p *Pool) hostOf(address string) *host {
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

// get returns a connection that rested at most maxRest, or a new one. Those that rested
// longer are left to calls that may use them. limit bounds the connections to the
// address; zero does not.
func (p *Pool) get(ctx context.Context, address string, limit int, maxRest time.Duration) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	h := p.hostOf(address)
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		usable := now.Before(c.expires) && c.quiet()
		if usable && now.Sub(c.rested) > maxRest {
			break
		}
		h.idle = h.idle[:len(h.idle)-1]
		if usable {
			p.mu.Unlock()
			return c, nil
		}
		h.open--
		_ = c.Close()
	}
	if limit > 0 && h.open >= limit && len(h.idle) > 0 {
		_ = h.idle[0].Close()
		h.idle = h.idle[1:]
		h.open--
	}
	if limit > 0 && h.open >= limit {
		p.mu.Unlock()
		return nil, ErrBusy
	}
	h.open++
	p.mu.Unlock()
	return p.dial(ctx, address)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.DialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.forget(address)
		return nil, errors.Wrap(err, "connect")
	}
	p.OnDial()
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer), address: address}, nil
}

// forget uncounts a connection that is gone.
func (p *Pool) forget(address string) {
	p.mu.Lock()
	h := p.hostOf(address)
	h.open--
	if h.open <= 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
	p.mu.Unlock()
}

// drop closes a connection.
func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.forget(c.address)
}

// put keeps a connection on which nothing is under way.
func (p *Pool) put(c *conn, keepAlive time.Duration) {
	rest := defaultRest
	if keepAlive > 0 {
		rest = keepAlive - keepAliveMargin
	}
	if c.br.Buffered() > 0 || rest <= 0 || c.SetDeadline(time.Time{}) != nil {
		p.drop(c)
		return
	}
	c.rested = time.Now()
	c.expires = c.rested.Add(rest)
	p.mu.Lock()
	h := p.hostOf(c.address)
	h.idle = append(h.idle, c)
	p.mu.Unlock()
}

// OpenConns returns the number of connections to the address.
func (p *Pool) OpenConns(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		return h.open
	}
	return 0
}

// Run closes connections that rested too long until ctx ends, and then all that rest.
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

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			h.open--
			_ = c.Close()
		}
		h.idle = kept
		if h.open <= 0 && len(kept) == 0 {
			delete(p.hosts, address)
		}
	}
}

// quiet reports whether a resting connection is open and nothing came on it: bytes
// that came while it rested belong to no call.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n <= 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}
