package gateway

import (
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
	if cc, ok := c.(*callerConn); ok {
		cc.idle.Store(s == http.StateIdle)
	}
}

// callerConn is a caller's connection with the idle timeout of its listener.
type callerConn struct {
	net.Conn
	listener *callerListener
	idle     atomic.Bool
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
