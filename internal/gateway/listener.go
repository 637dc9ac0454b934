package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
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
	// onEnd is called when a connection has ended.
	onEnd func(connEnd)
	// begun is the number of connections on which a request has begun to arrive and is not answered yet.
	begun atomic.Int64

	mu sync.Mutex
	// conns are the open connections.
	conns map[*callerConn]struct{}
}

func newCallerListener(l net.Listener, idleTimeout func() time.Duration) *callerListener {
	return &callerListener{Listener: l, idleTimeout: idleTimeout, onEnd: func(connEnd) {}, conns: map[*callerConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cc := &callerConn{Conn: c, listener: l}
	l.mu.Lock()
	l.conns[cc] = struct{}{}
	l.mu.Unlock()
	return cc, nil
}

// connState is the ConnState function of the callers' server. It records whether a connection
// is idle.
func (l *callerListener) connState(c net.Conn, s http.ConnState) {
	cc, ok := c.(*callerConn)
	if !ok {
		return
	}
	cc.idle.Store(s == http.StateIdle)
	switch s {
	case http.StateActive: // also for a request that arrived together with the one before
		cc.begin()
	case http.StateIdle:
		cc.end()
	case http.StateClosed, http.StateHijacked:
		l.onEnd(cc.howEnded())
		cc.end()
		l.mu.Lock()
		delete(l.conns, cc)
		l.mu.Unlock()
	case http.StateNew:
	}
}

// retireIdle closes the connections that are idle. A request that has begun to arrive on one keeps it open; one that
// comes later is not served.
func (l *callerListener) retireIdle() {
	l.mu.Lock()
	conns := make([]*callerConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		if c.idle.Load() && c.state.CompareAndSwap(connQuiet, connRetired) {
			_ = c.Close()
		}
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

// States of a caller's connection.
const (
	// connQuiet: no request is being read or answered.
	connQuiet int32 = iota
	// connBegun: a request has begun to arrive and is not answered yet.
	connBegun
	// connRetired: the connection is closed, and no request on it is served.
	connRetired
)

// callerConn is a caller's connection with the idle timeout of its listener.
type callerConn struct {
	net.Conn
	listener *callerListener
	idle     atomic.Bool
	state    atomic.Int32
	progress connProgress
}

// connKey is the key under which the context of a request has its callerConn.
type connKey struct{}

// connContext is the ConnContext function of the callers' server.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// isRetired reports whether the connection of a request was closed as idle just when the request arrived.
func isRetired(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && c.state.Load() == connRetired
}

// begin records that a request has begun to arrive.
func (c *callerConn) begin() {
	if c.state.CompareAndSwap(connQuiet, connBegun) {
		c.listener.begun.Add(1)
		c.progress.begin()
	}
}

// end records that no request is being read or answered.
func (c *callerConn) end() {
	if c.state.CompareAndSwap(connBegun, connQuiet) {
		c.listener.begun.Add(-1)
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.begin()
	}
	if err != nil {
		c.progress.readFailed(err)
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
