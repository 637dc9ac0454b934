package standin

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// reopenInterval is the time between two tries to open a port again.
const reopenInterval = 10 * time.Millisecond

// reopeningListener is a port that a crash closes, so that connections are refused
// as by a process that is gone, and that opens again when the stand-in restarts.
type reopeningListener struct {
	address net.Addr
	closed  chan struct{}

	mu    sync.Mutex
	inner net.Listener
	done  bool
}

func newReopeningListener(address string) (*reopeningListener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &reopeningListener{address: inner.Addr(), closed: make(chan struct{}), inner: inner}, nil
}

// crash closes the port for a time.
func (l *reopeningListener) crash(away time.Duration) {
	l.mu.Lock()
	inner := l.inner
	l.inner = nil
	l.mu.Unlock()
	if inner == nil {
		return
	}
	_ = inner.Close() // a port that is closed already is what is wanted
	time.AfterFunc(away, l.reopen)
}

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

func (l *reopeningListener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

// Accept implements net.Listener; it waits while the port is away.
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
