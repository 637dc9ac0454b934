package gateway

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/connstate"
)

// arrivedBytes is the size in bytes of the buffer for what has arrived behind a request.
const arrivedBytes = 4 << 10

// callerConn is a caller's connection. connstate decides from the bytes that have arrived whether a request is on it. One
// Read never returns bytes of two requests, so that net/http holds no bytes of the next one that the state doesn't know of.
type callerConn struct {
	net.Conn
	raw      syscall.RawConn
	listener *callerListener

	// dst, got and readErr are the argument and the results of tryRead.
	dst     []byte
	got     int
	readErr error

	// mu guards the fields below.
	mu       sync.Mutex
	requests connstate.Requests
	// lastErr is the error of the last read that failed.
	lastErr error
}

// newCallerConn returns an accepted connection as one of the listener.
func newCallerConn(c net.Conn, l *callerListener) (*callerConn, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("a connection of type %T has no file descriptor", c)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "file descriptor of a connection")
	}
	return &callerConn{Conn: c, raw: raw, listener: l, requests: connstate.New(time.Now())}, nil
}

// connKey is the key under which the context of a request has its callerConn.
type connKey struct{}

// connContext is the ConnContext function of the callers' server.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Read implements net.Conn. No deadline passes before the socket was found empty: on a VM that is busy or stood still, a
// request, or the rest of one, may have arrived before the deadline and not been read. net/http bounds a head by its size.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		c.dst, c.got, c.readErr = b, 0, nil
		err := c.raw.Read(c.tryRead)
		if isTimeout(err) {
			if cerr := c.raw.Control(func(fd uintptr) { c.tryRead(fd) }); cerr != nil {
				err = cerr
			} else if c.got > 0 || c.readErr != nil {
				err = nil
			} else if c.extendDeadline() {
				continue
			}
		}
		if err == nil {
			err = c.readErr
		}
		return c.got, c.failed(err)
	}
}

// tryRead reads into dst what has arrived, without waiting. It returns false if nothing has.
func (c *callerConn) tryRead(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests.Pending() {
		c.got = c.requests.Take(time.Now(), c.dst)
		return true
	}
	b := c.dst[:c.requests.Limit(len(c.dst))]
	n, err := readNow(int(fd), b)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false
	case err != nil:
		c.readErr = err
	case n == 0 && len(b) > 0:
		c.readErr = io.EOF
	default:
		c.got = c.requests.Received(time.Now(), b[:n])
	}
	return true
}

// readNow reads from a socket that doesn't block.
func readNow(fd int, b []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}

// failed records the error of a read and returns it as one of net.Conn.Read.
func (c *callerConn) failed(err error) error {
	if err == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastErr = err
	switch {
	case errors.Is(err, net.ErrClosed):
		c.requests.Failed(connstate.FailedByClose)
	case isTimeout(err):
		c.requests.Failed(connstate.FailedByDeadline)
	default:
		c.requests.Failed(connstate.FailedByCaller)
	}
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	var op *net.OpError
	var no syscall.Errno
	switch {
	case errors.As(err, &op):
		err = op.Err
	case errors.As(err, &no):
		err = os.NewSyscallError("read", no)
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// update changes the state of the requests.
func (c *callerConn) update(change func(*connstate.Requests)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.requests)
}

// startRequest records that the head of a request was parsed; length is that of its body, negative if unknown.
func (c *callerConn) startRequest(length int64) {
	c.update(func(r *connstate.Requests) { r.StartRequest(length) })
}

// bodyRead records that the body of the request was read.
func (c *callerConn) bodyRead() { c.update((*connstate.Requests).BodyRead) }

// endRequest records that the handler of the request has ended with an answer.
func (c *callerConn) endRequest() { c.update((*connstate.Requests).EndRequest) }

// bodyUnread reports whether the request has a body that was not read whole.
func (c *callerConn) bodyUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.BodyUnread()
}

// anotherArrived reports whether bytes of another request have arrived behind the present one, which was read whole.
func (c *callerConn) anotherArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests.BodyUnread() || c.requests.Another() {
		return c.requests.Another()
	}
	b := make([]byte, arrivedBytes)
	_ = c.raw.Control(func(fd uintptr) { // a closed connection has no further request
		if n, err := readNow(int(fd), b); err == nil {
			c.requests.Arrived(b[:n])
		}
	})
	return c.requests.Another()
}

// SetReadDeadline implements net.Conn. While the connection is idle it replaces every deadline
// that the server sets, including that for the headers of the next request, by the idle timeout
// in force.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch quiet, ok := c.quietDeadline(); {
	case c.requests.Quiet() && ok && (!t.IsZero() || c.listener.retiring.Load()):
		t = quiet
	case c.requests.Idle() && !t.IsZero():
		t = time.Now().Add(c.listener.idleTimeout())
	}
	return c.Conn.SetReadDeadline(t)
}

// quietDeadline returns when the connection ends if no request begins on it. The caller holds c.mu.
func (c *callerConn) quietDeadline() (time.Time, bool) {
	return c.requests.Deadline(time.Now(), c.listener.retiring.Load(), c.listener.idleTimeout())
}

// extendDeadline moves the deadline of a connection without a request to the one that holds now. It returns false if
// that has passed as well, or a request is on the connection.
func (c *callerConn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requests.Quiet() {
		return false
	}
	if t, ok := c.quietDeadline(); ok && t.After(time.Now()) {
		return c.Conn.SetReadDeadline(t) == nil
	}
	if c.listener.retiring.Load() {
		c.listener.retired.Add(1)
	}
	return false
}

// retire ends the connection when no request is on it.
func (c *callerConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.quietDeadline(); ok && c.requests.Quiet() {
		_ = c.Conn.SetReadDeadline(t) // fails for a closed connection
	}
}

// CloseWrite ends the direction to the caller, so that net/http can let an answer arrive before it closes a connection
// with unread bytes, which resets it.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
