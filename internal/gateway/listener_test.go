package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// oneConn is a listener with a single connection.
type oneConn struct {
	conns chan net.Conn
	addr  net.Addr
}

func (l *oneConn) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l *oneConn) Close() error   { return nil }
func (l *oneConn) Addr() net.Addr { return l.addr }

// heldConn holds what it has read back while hold is not nil.
type heldConn struct {
	net.Conn
	hold atomic.Pointer[chan struct{}]
	// held is closed once bytes are held back.
	held chan struct{}
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if h := c.hold.Load(); h != nil && n > 0 {
		close(c.held)
		<-*h
	}
	return n, err
}

// TestRequestOnRetiredConnectionIsNotServed: a request has arrived, and is not known to have, when idle connections are closed.
// It must not be served, since its caller gets no answer. One that has begun to arrive keeps its connection.
func TestRequestOnRetiredConnectionIsNotServed(t *testing.T) {
	for _, begun := range []bool{false, true} {
		ours, theirs := net.Pipe()
		held := &heldConn{Conn: ours, held: make(chan struct{})}
		l := newCallerListener(&oneConn{conns: make(chan net.Conn, 1), addr: ours.LocalAddr()}, func() time.Duration { return time.Minute })
		l.Listener.(*oneConn).conns <- held
		var served atomic.Int64
		s := &http.Server{ConnState: l.connState, ConnContext: connContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if isRetired(r.Context()) {
				panic(http.ErrAbortHandler)
			}
			served.Add(1)
			_, _ = io.WriteString(w, "x")
		})}
		go func() { _ = s.Serve(l) }()
		br := bufio.NewReader(theirs)
		request := func(part string) {
			if _, err := io.WriteString(theirs, part); err != nil {
				t.Fatal(err)
			}
		}
		request(requestText("/", "1", ""))
		if r := readReply(br); r.status != http.StatusOK {
			t.Fatalf("first request: %+v", r)
		}
		eventually(t, "the connection is idle", func() bool { return l.begun.Load() == 0 })
		second := requestText("/", "2", "")
		if begun {
			request(second[:10])
			eventually(t, "the request has begun", func() bool { return l.begun.Load() == 1 })
			l.retireIdle()
			request(second[10:])
			if r := readReply(br); r.status != http.StatusOK {
				t.Errorf("a request that had begun to arrive was not answered: %+v", r)
			}
		} else {
			release := make(chan struct{})
			held.hold.Store(&release)
			request(second)
			<-held.held
			l.retireIdle()
			held.hold.Store(nil)
			close(release)
			if r := readReply(br); r.err == nil {
				t.Errorf("answer on a retired connection: %+v", r)
			}
			eventually(t, "the connection is gone", func() bool {
				l.mu.Lock()
				defer l.mu.Unlock()
				return len(l.conns) == 0
			})
			if n := served.Load(); n != 1 {
				t.Errorf("%d requests were served, want the first only", n)
			}
		}
		_ = theirs.Close()
		close(l.Listener.(*oneConn).conns)
		_ = s.Close()
	}
}
