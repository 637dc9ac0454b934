package standin

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// reopenInterval is the time between two attempts to open a port again.
const reopenInterval = 10 * time.Millisecond

// reopeningListener is a TCP listener whose port a crash closes, so that connections are
// refused as after the end of a process. The port opens again when the stand-in restarts.
type reopeningListener struct {
	address net.Addr
	closed  chan struct{}

	mu    sync.Mutex
	inner net.Listener // nil while the port is closed by a crash
	done  bool         // whether Close was called
}

func newReopeningListener(address string) (*reopeningListener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &reopeningListener{address: inner.Addr(), closed: make(chan struct{}), inner: inner}, nil
}

// crash closes the port for the downtime. While the port is closed, a further crash does not
// extend the downtime.
func (l *reopeningListener) crash(downtime time.Duration) {
	l.mu.Lock()
	inner := l.inner
	l.inner = nil
	l.mu.Unlock()
	if inner == nil {
		return
	}
	_ = inner.Close() // an error means that the port is closed already
	time.AfterFunc(downtime, l.reopen)
}

// reopen opens the port again; when that fails, it schedules another attempt.
func (l *reopeningListener) reopen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return
	}
	inner, err := net.Listen("tcp", l.address.String())
	if err != nil {
		time.AfterFunc(reopenInterval, l.reopen)
		return
	}
	l.inner = inner
}

// current returns the open listener, or nil while the port is closed.
func (l *reopeningListener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

// Accept implements net.Listener; it waits while the port is closed by a crash.
func (l *reopeningListener) Accept() (net.Conn, error) {
	for {
		inner := l.current()
		if inner != nil {
			conn, err := inner.Accept()
			if err == nil || !errors.Is(err, net.ErrClosed) {
				return conn, err
			}
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(reopenInterval):
		}
	}
}

// Close implements net.Listener.
func (l *reopeningListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return nil
	}
	l.done = true
	close(l.closed)
	if l.inner == nil {
		return nil
	}
	return l.inner.Close()
}

// Addr implements net.Listener.
func (l *reopeningListener) Addr() net.Addr { return l.address }
