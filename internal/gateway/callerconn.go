package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// arrivedBytes is the size in bytes of the buffer for what has arrived behind a request.
const arrivedBytes = 4 << 10

// callerConn is a caller's connection. It tells from the bytes that have arrived whether a request is on the
// connection: net/http knows of a request only once its head is parsed. One Read never returns bytes of two requests, so
// that net/http holds no bytes of the next one that this type doesn't know of.
type callerConn struct {
	net.Conn
	raw      syscall.RawConn
	listener *callerListener

	// dst, got and readErr are the argument and the results of tryRead.
	dst     []byte
	got     int
	readErr error

	mu sync.Mutex
	// pending are bytes that were read from the socket and not returned by Read yet.
	pending []byte
	// body is how many bytes of the present request's body Read has yet to return, if the request states its length.
	body int64
	// partial is set after bytes that are not the end of a head or of a body. newline is set after the end of a line, cr after
	// a CR behind that.
	partial, newline, cr bool
	// idle is set from an answer until the head of the next request was parsed.
	idle bool
	// begun is set while a request is arriving or not answered; begunAt is when its first byte was read.
	begun   bool
	begunAt time.Time
	// parsed is set once the request's head was parsed, reading until its body was read, answered once its handler
	// has ended.
	parsed, reading, answered bool
	// quietSince is when the connection was accepted or became idle.
	quietSince time.Time
	// requests counts the requests whose heads were parsed.
	requests int64
	// lastErr is the error that ended the reads.
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
	return &callerConn{Conn: c, raw: raw, listener: l, quietSince: time.Now()}, nil
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
			} else if c.isQuiet() && c.extendDeadline() {
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
	if len(c.pending) > 0 {
		c.got = c.advance(c.dst[:copy(c.limit(c.dst), c.pending)])
		if c.pending = c.pending[c.got:]; len(c.pending) == 0 {
			c.pending = nil
		}
		return true
	}
	b := c.limit(c.dst)
	n, err := readNow(int(fd), b)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false
	case err != nil:
		c.readErr = err
	case n == 0 && len(b) > 0:
		c.readErr = io.EOF
	default:
		c.got = c.advance(b[:n])
		c.pending = append(c.pending, b[c.got:n]...)
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

// failed records the error that ends the reads and returns it as one of net.Conn.Read.
func (c *callerConn) failed(err error) error {
	if err == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastErr = err
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

// limit returns the part of b that may be filled: no byte behind the end of a body. The caller holds c.mu.
func (c *callerConn) limit(b []byte) []byte {
	if c.body > 0 && int64(len(b)) > c.body {
		return b[:c.body]
	}
	return b
}

// advance moves on over the bytes, up to the next end of a head or of a body, and returns how many they are. A body in
// chunks ends like a head; other empty lines in it only make a Read shorter. The caller holds c.mu.
func (c *callerConn) advance(b []byte) int {
	if len(b) == 0 {
		return 0
	}
	if c.body == 0 && !c.partial && len(bytes.TrimLeft(b, "\r\n")) == 0 {
		return len(b) // empty lines are no request
	}
	if !c.begun {
		c.begin(time.Now())
	}
	if c.body > 0 {
		c.body -= int64(len(b))
		c.partial = c.body > 0
		return len(b)
	}
	for i := 0; i < len(b); i++ {
		switch {
		case !c.newline:
			next := bytes.IndexByte(b[i:], '\n')
			if next < 0 {
				c.partial = true
				return len(b)
			}
			i += next
			c.newline = true
		case b[i] == '\n':
			c.partial, c.newline, c.cr = false, false, false
			return i + 1
		case b[i] == '\r' && !c.cr:
			c.cr = true
		default:
			c.newline, c.cr = false, false
		}
	}
	c.partial = true
	return len(b)
}

// begin records that a request has begun to arrive. The caller holds c.mu.
func (c *callerConn) begin(now time.Time) {
	c.begun, c.begunAt, c.parsed, c.answered, c.lastErr = true, now, false, false, nil
}

// startRequest records that the head of a request was parsed; length is that of its body, negative if unknown.
func (c *callerConn) startRequest(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parsed, c.reading, c.body = true, length != 0, max(length, 0)
	c.requests++
}

// bodyRead records that the body of the request was read.
func (c *callerConn) bodyRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
}

// bodyUnread reports whether the request has a body that was not read whole.
func (c *callerConn) bodyUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

// endRequest records that the handler of the request has ended with an answer.
func (c *callerConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
}

// more reports whether bytes of another request were read behind the present one. Empty lines are none: old callers send
// one behind a body, and net/http skips them. The caller holds c.mu.
func (c *callerConn) more() bool {
	return c.partial || len(bytes.TrimLeft(c.pending, "\r\n")) > 0
}

// becomeIdle records that the answer was written and the connection stays open.
func (c *callerConn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.idle, c.begun, c.quietSince = true, false, now
	if c.more() {
		c.begin(now)
	}
}

// becomeActive records that the head of a request was parsed, or was found to be malformed.
func (c *callerConn) becomeActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
}

// isQuiet reports whether no request is arriving or unanswered.
func (c *callerConn) isQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.begun
}

// anotherArrived reports whether bytes of another request have arrived behind the present one, which was read whole.
func (c *callerConn) anotherArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		return false
	}
	if c.more() {
		return true
	}
	b := make([]byte, arrivedBytes)
	_ = c.raw.Control(func(fd uintptr) { // a closed connection has no further request
		if n, err := readNow(int(fd), b); err == nil {
			c.pending = append(c.pending, b[:n]...)
		}
	})
	return c.more()
}

// SetReadDeadline implements net.Conn. While the connection is idle it replaces every deadline
// that the server sets, including that for the headers of the next request, by the idle timeout
// in force.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch quiet, ok := c.quietDeadline(); {
	case !c.begun && ok && (!t.IsZero() || c.listener.retiring.Load()):
		t = quiet
	case c.idle && !t.IsZero():
		t = time.Now().Add(c.listener.idleTimeout())
	}
	return c.Conn.SetReadDeadline(t)
}

// quietDeadline returns when a connection ends on which no request begins, if this type decides that. The caller holds
// c.mu.
func (c *callerConn) quietDeadline() (time.Time, bool) {
	switch {
	case c.listener.retiring.Load() && c.requests == 0:
		return c.quietSince.Add(newConnGrace), true
	case c.listener.retiring.Load():
		return time.Now(), true
	default:
		return c.quietSince.Add(c.listener.idleTimeout()), c.idle
	}
}

// extendDeadline moves the deadline of a connection without a request to the one that holds now. It returns false if
// that has passed as well.
func (c *callerConn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
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
	if t, ok := c.quietDeadline(); ok && !c.begun {
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
