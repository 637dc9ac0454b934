package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// defaultIdleTimeout applies to callers' connections until a document sets an idle timeout.
const defaultIdleTimeout = 15 * time.Second

// callerListener accepts callers' connections and applies to them the idle timeout of the
// document in force. That of a net/http server is fixed when the server starts.
type callerListener struct {
	net.Listener
	idleTimeout func() time.Duration
	// begun is the number of connections on which a request has begun to arrive and is not answered yet.
	begun atomic.Int64
}

func newCallerListener(l net.Listener, idleTimeout func() time.Duration) *callerListener {
	return &callerListener{Listener: l, idleTimeout: idleTimeout}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, listener: l}, nil
}

// connState is the ConnState function of the callers' server. It records whether a connection
// is idle.
func (l *callerListener) connState(c net.Conn, s http.ConnState) {
	cc, ok := c.(*callerConn)
	if !ok {
		return
	}
	cc.idle.Store(s == http.StateIdle)
	if s == http.StateIdle || s == http.StateClosed || s == http.StateHijacked {
		cc.setBegun(false)
	}
}

// beginPoll is the time between two looks at the requests that have begun to arrive.
const beginPoll = 10 * time.Millisecond

// awaitRequests waits until no request is being read or answered, or ctx ends. The server must not be shutting down
// yet: it would drop requests of which it has read a part, without an answer.
func (l *callerListener) awaitRequests(ctx context.Context) {
	for l.begun.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, beginPoll)
	}
}

// callerConn is a caller's connection with the idle timeout of its listener.
type callerConn struct {
	net.Conn
	listener *callerListener
	idle     atomic.Bool
	begun    atomic.Bool
}

// setBegun records whether a request has begun to arrive and is not answered yet.
func (c *callerConn) setBegun(begun bool) {
	if c.begun.CompareAndSwap(!begun, begun) {
		if begun {
			c.listener.begun.Add(1)
		} else {
			c.listener.begun.Add(-1)
		}
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.setBegun(true)
	}
	return n, err
}

// SetReadDeadline implements net.Conn. While the connection is idle it replaces every deadline
// that the server sets, including that for the headers of the next request, by the idle timeout
// in force.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && c.idle.Load() {
		t = time.Now().Add(c.listener.idleTimeout())
	}
	return c.Conn.SetReadDeadline(t)
}
