package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/connstate"
)

const (
	// defaultIdleTimeout applies to callers' connections until a document sets an idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// acceptQueueWait is how long the queue of new connections must stay empty before the socket is closed, and
	// acceptQueueTimeout bounds the wait for that.
	acceptQueueWait    = 20 * time.Millisecond
	acceptQueueTimeout = 500 * time.Millisecond
	// connPoll is the time between two looks at the connections that are left.
	connPoll = 10 * time.Millisecond
)

// callerListener accepts callers' connections and applies to them the idle timeout of the
// document in force. That of a net/http server is fixed when the server starts.
type callerListener struct {
	net.Listener
	idleTimeout func() time.Duration
	// onEnd is called when a connection ends, with what it ended with, and onRefused when an accepted one can't be used.
	onEnd     func(connEnd)
	onRefused func(error)
	// retiring is set once connections without a request are closed.
	retiring atomic.Bool
	// retired counts the connections that were closed for that, and late those accepted while closing.
	retired, late atomic.Int64
	// closing is set while the last connections are accepted. emptied is closed when none is left.
	closing atomic.Bool
	emptied chan struct{}

	mu sync.Mutex
	// conns are the open connections.
	conns map[*callerConn]struct{}
}

func newCallerListener(l net.Listener, idleTimeout func() time.Duration) *callerListener {
	return &callerListener{
		Listener: l, idleTimeout: idleTimeout, onEnd: func(connEnd) {}, onRefused: func(error) {},
		emptied: make(chan struct{}), conns: map[*callerConn]struct{}{},
	}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	var deadline time.Time
	for {
		began := time.Now()
		c, err := l.Listener.Accept()
		if err == nil {
			if c = l.add(c); c == nil {
				continue
			}
			return c, nil
		}
		if !l.closing.Load() || !isTimeout(err) {
			return nil, err
		}
		// A deadline that passes during the wait does not show that the queue is empty: only a call that
		// begins before the deadline looks at it, and this goroutine may have waited for a processor until then.
		if began.Before(deadline) {
			close(l.emptied)
			return nil, net.ErrClosed
		}
		deadline = time.Now().Add(acceptQueueWait)
		if !l.setAcceptDeadline(deadline) {
			return nil, net.ErrClosed
		}
	}
}

// add returns the connection as one of the listener; nil if it can't be one.
func (l *callerListener) add(c net.Conn) net.Conn {
	cc, err := newCallerConn(c, l)
	if err != nil {
		l.onRefused(err)
		_ = c.Close()
		return nil
	}
	if l.closing.Load() {
		l.late.Add(1)
	}
	l.mu.Lock()
	l.conns[cc] = struct{}{}
	l.mu.Unlock()
	return cc
}

// setAcceptDeadline sets the deadline of Accept. It returns false if the listener has none.
func (l *callerListener) setAcceptDeadline(t time.Time) bool {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(t) == nil
}

// closeWhenEmpty accepts the connections that wait in the socket's queue and closes the socket: connections that are
// in the queue then are reset, with the requests they bear.
func (l *callerListener) closeWhenEmpty(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, acceptQueueTimeout)
	defer cancel()
	l.closing.Store(true)
	if l.setAcceptDeadline(time.Now()) {
		select {
		case <-ctx.Done():
		case <-l.emptied:
		}
	}
	_ = l.Close()
}

// connState is the ConnState function of the callers' server.
func (l *callerListener) connState(c net.Conn, s http.ConnState) {
	cc, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		cc.update(func(r *connstate.Requests) { r.BecomeIdle(time.Now()) })
	case http.StateActive:
		cc.update((*connstate.Requests).BecomeActive)
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		delete(l.conns, cc)
		l.mu.Unlock()
		l.onEnd(cc.end())
	case http.StateNew:
	}
}

// open returns the open connections.
func (l *callerListener) open() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*callerConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// retireIdle makes connections end, now or when their last request is answered. The goroutine that reads a
// connection closes it, after it has found that nothing has arrived.
func (l *callerListener) retireIdle() {
	l.retiring.Store(true)
	for _, c := range l.open() {
		c.retire()
	}
}

// awaitClosed waits until all connections are closed, or ctx ends. The server must not be shutting down yet: it
// would drop requests that it has read, without an answer.
func (l *callerListener) awaitClosed(ctx context.Context) bool {
	for ctx.Err() == nil {
		l.mu.Lock()
		left := len(l.conns)
		l.mu.Unlock()
		if left == 0 {
			return true
		}
		sleep(ctx, connPoll)
	}
	return false
}
