package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// defaultIdleTimeout is how long a caller's connection may rest before a document says so.
const defaultIdleTimeout = 15 * time.Second

// callerListener accepts callers' connections whose idle time follows the document in
// force: net/http fixes it when the server starts.
type callerListener struct {
	net.Listener
	idle func() time.Duration
}

func newCallerListener(l net.Listener, idle func() time.Duration) *callerListener {
	return &callerListener{Listener: l, idle: idle}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, listener: l}, nil
}

// connState marks resting connections, so that the deadline that the server sets next
// is the idle one.
func (l *callerListener) connState(c net.Conn, s http.ConnState) {
	if cc, ok := c.(*callerConn); ok {
		cc.resting.Store(s == http.StateIdle)
	}
}

type callerConn struct {
	net.Conn
	listener *callerListener
	resting  atomic.Bool
}

// SetReadDeadline replaces the server's idle deadline by the one in force.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && c.resting.Load() {
		t = time.Now().Add(c.listener.idle())
	}
	return c.Conn.SetReadDeadline(t)
}
