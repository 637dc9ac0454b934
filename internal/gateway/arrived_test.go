package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// stalledListener accepts connections that stalledConn describes.
type stalledListener struct {
	*net.TCPListener
	accepted chan *stalledConn
	// stall has the first read of each connection stalled.
	stall chan struct{}
}

func (l *stalledListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	s := &stalledConn{TCPConn: c}
	if l.stall != nil {
		s.stall.Store(&l.stall)
	}
	l.accepted <- s
	return s, nil
}

// stalledConn is a connection of a process that does not run while stall is set: a read that begins then returns once the
// channel is closed, and finds that its deadline has passed, whatever has arrived.
type stalledConn struct {
	*net.TCPConn
	stall atomic.Pointer[chan struct{}]
}

func (c *stalledConn) stalled() bool {
	s := c.stall.Swap(nil)
	if s == nil {
		return false
	}
	<-*s
	return true
}

func (c *stalledConn) Read(b []byte) (int, error) {
	if c.stalled() {
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(b)
}

func (c *stalledConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return stalledRaw{raw, c}, err
}

type stalledRaw struct {
	syscall.RawConn
	c *stalledConn
}

func (r stalledRaw) Read(f func(uintptr) bool) error {
	if r.c.stalled() {
		return os.ErrDeadlineExceeded
	}
	return r.RawConn.Read(f)
}

// TestArrivedRequestIsAnsweredAsItsConnectionEnds: a request has arrived on a connection, and the process has not read
// it, when the connection's time is over: the idle timeout ends, a shutdown closes connections without a request, or both
// do before the first request. The request is answered.
func TestArrivedRequestIsAnsweredAsItsConnectionEnds(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, retire bool
		// early is how much of the request arrives before the connection's time is over.
		early int
	}{
		{name: "idle timeout", early: 1 << 10},
		{name: "shutdown", retire: true, early: 1 << 10},
		{name: "head timeout of a new connection", first: true, early: 1 << 10},
		{name: "new connection in a shutdown", first: true, retire: true, early: 1 << 10},
		{name: "part of a head in a shutdown", retire: true, early: 10},
		{name: "part of a head at the idle timeout", early: 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			release := make(chan struct{})
			inner := &stalledListener{TCPListener: tcp.(*net.TCPListener), accepted: make(chan *stalledConn, 1)}
			if c.first {
				inner.stall = release
			}
			l := newCallerListener(inner, func() time.Duration { return time.Minute })
			idle := make(chan struct{}, 4)
			var conn *stalledConn
			s := &http.Server{ConnContext: connContext, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute, ConnState: func(nc net.Conn, state http.ConnState) {
				if state == http.StateIdle && !c.first {
					conn.stall.Store(&release) // the read of the next request stalls
				}
				l.connState(nc, state)
				if state == http.StateIdle {
					idle <- struct{}{}
				}
			}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "x")
			})}
			go func() { _ = s.Serve(l) }()
			t.Cleanup(func() { _ = s.Close() })
			nc, err := net.Dial("tcp", tcp.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = nc.Close() })
			conn = <-inner.accepted
			br := bufio.NewReader(nc)
			if !c.first {
				_, _ = io.WriteString(nc, requestText("/", "1", ""))
				if r := readReply(br); r.status != http.StatusOK {
					t.Fatalf("first request: %+v", r)
				}
				<-idle
			}
			second := requestText("/", "2", "")
			early := min(c.early, len(second))
			_, _ = io.WriteString(nc, second[:early])
			time.Sleep(20 * time.Millisecond) // the bytes are in the socket
			if c.retire {
				l.retireIdle()
			}
			close(release)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(nc, second[early:])
			if r := readReply(br); r.status != http.StatusOK {
				t.Errorf("the request that had arrived: %+v, want an answer", r)
			}
		})
	}
}

// heldListener accepts nothing until it is released, as a process that does not run.
type heldListener struct {
	*net.TCPListener
	release chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.release
	return l.TCPListener.Accept()
}

// TestConnectionsInTheQueueAreServedInShutdown: connections wait in the queue of the socket, with their requests, when it is
// to be closed. They are accepted, and their requests answered.
func TestConnectionsInTheQueueAreServedInShutdown(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{TCPListener: tcp.(*net.TCPListener), release: make(chan struct{})}
	l := newCallerListener(held, func() time.Duration { return time.Minute })
	s := &http.Server{ConnContext: connContext, ConnState: l.connState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "x")
	})}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	var readers []*bufio.Reader
	for range 50 {
		c, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, requestText("/", "1", ""))
		readers = append(readers, bufio.NewReader(c))
	}
	closed := make(chan struct{})
	go func() {
		l.closeWhenEmpty(t.Context())
		close(closed)
	}()
	time.Sleep(50 * time.Millisecond) // the deadline of Accept has passed
	close(held.release)
	for i, br := range readers {
		if r := readReply(br); r.status != http.StatusOK {
			t.Errorf("connection %d: %+v, want an answer", i, r)
		}
	}
	<-closed
	if _, err := net.Dial("tcp", tcp.Addr().String()); err == nil {
		t.Error("the socket is still open")
	}
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		t.Errorf("Serve: %v, want that the listener is closed", err)
	}
}

// TestRestOfHeadThatWaitsAtTheDeadlineIsRead: the process has read a part of a head, and does not run until the deadline
// for it has passed. The rest has arrived meanwhile: the request is answered.
func TestRestOfHeadThatWaitsAtTheDeadlineIsRead(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const idleTimeout = 60 * time.Millisecond
	release := make(chan struct{})
	inner := &stalledListener{TCPListener: tcp.(*net.TCPListener), accepted: make(chan *stalledConn, 1)}
	l := newCallerListener(inner, func() time.Duration { return idleTimeout })
	s := &http.Server{ConnContext: connContext, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute, ConnState: l.connState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "x")
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	nc, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	conn, br := <-inner.accepted, bufio.NewReader(nc)
	_, _ = io.WriteString(nc, requestText("/", "1", ""))
	if r := readReply(br); r.status != http.StatusOK {
		t.Fatalf("first request: %+v", r)
	}
	text := requestText("/", "2", "")
	_, _ = io.WriteString(nc, text[:10])
	time.Sleep(idleTimeout / 3) // these bytes are read
	conn.stall.Store(&release)  // the read after the next stalls
	_, _ = io.WriteString(nc, text[10:15])
	time.Sleep(idleTimeout / 6)
	_, _ = io.WriteString(nc, text[15:])
	time.Sleep(2 * idleTimeout)
	close(release)
	if r := readReply(br); r.status != http.StatusOK {
		t.Errorf("the request that had arrived: %+v, want an answer", r)
	}
}

// lateListener is a heldListener whose goroutine waits for a processor after it has set a deadline while the queue is looked
// at for the first time, until that has passed.
type lateListener struct {
	heldListener
	deadlines atomic.Int64
}

func (l *lateListener) SetDeadline(t time.Time) error {
	err := l.TCPListener.SetDeadline(t)
	if l.deadlines.Add(1) == 2 { // the first is that of the shutdown
		time.Sleep(2 * acceptQueueWait)
	}
	return err
}

// TestQueueIsLookedAtBeforeTheSocketCloses: a call of Accept that begins after its deadline doesn't show that no connection
// waits.
func TestQueueIsLookedAtBeforeTheSocketCloses(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	late := &lateListener{heldListener: heldListener{TCPListener: tcp.(*net.TCPListener), release: make(chan struct{})}}
	l := newCallerListener(late, func() time.Duration { return time.Minute })
	s := &http.Server{ConnContext: connContext, ConnState: l.connState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "x")
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, requestText("/", "1", ""))
	go l.closeWhenEmpty(t.Context())
	time.Sleep(50 * time.Millisecond) // the deadline of the shutdown has passed
	close(late.release)
	if r := readReply(bufio.NewReader(c)); r.status != http.StatusOK {
		t.Errorf("%+v, want an answer", r)
	}
}

// TestIdleConnectionEndsByAnOlderTimeout: the idle timeout is lengthened while a connection is idle. The connection must not
// end when the older one is over, as its caller may use it for longer.
func TestIdleConnectionEndsByAnOlderTimeout(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var timeout atomic.Int64
	timeout.Store(int64(150 * time.Millisecond))
	l := newCallerListener(tcp, func() time.Duration { return time.Duration(timeout.Load()) })
	s := &http.Server{ConnContext: connContext, ConnState: l.connState, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "x")
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	br := bufio.NewReader(c)
	for i := range 2 {
		_, _ = io.WriteString(c, requestText("/", "1", ""))
		if r := readReply(br); r.status != http.StatusOK {
			t.Fatalf("request %d: %+v", i, r)
		}
		time.Sleep(30 * time.Millisecond) // the connection is idle
		timeout.Store(int64(time.Minute))
		time.Sleep(300 * time.Millisecond)
	}
}
