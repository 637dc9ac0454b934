package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/connstate"
)

// TestBodyThatComesTooLateIsRefused: the time of a call ends before its body has arrived. It is refused and not sent; its
// connection must not end without an answer.
func TestBodyThatComesTooLateIsRefused(t *testing.T) {
	entries, upstreams := startStoppable(t, 1)
	for _, path := range []string{"/act/1", "/ask/1"} {
		text := strings.Replace(requestText(path, path, "body"), "\r\n\r\n", "\r\nX-Timeout-Ms: 150\r\n\r\n", 1)
		br, _ := entries[0].callRaw(strings.TrimSuffix(text, "dy"))
		r := readReply(br)
		if n := sendsOf(upstreams, path); r.status != http.StatusRequestTimeout || r.err != nil || n != 0 || !r.closes() || r.header.Get("Retry-After") == "" {
			t.Errorf("%s: %+v after %d sends, want 408 and the end of the connection", path, r, n)
		}
	}
}

// TestRefusalArrivesBeforeALongBodyEnds: a request is refused while its caller still writes the body. The answer must
// arrive: a connection that is closed with unread bytes is reset, which can overtake it.
func TestRefusalArrivesBeforeALongBodyEnds(t *testing.T) {
	entries, _ := startStoppable(t, 1)
	const length = 4 << 20
	var wg sync.WaitGroup
	for i := range 20 {
		for path, want := range map[string]int{"/act/1": http.StatusRequestEntityTooLarge, "/nowhere": http.StatusNotFound} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				br, c := entries[0].callRaw(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: long-%d\r\nContent-Length: %d\r\n\r\n", path, i, length))
				go func() { _, _ = io.WriteString(c, strings.Repeat("x", length)) }()
				time.Sleep(50 * time.Millisecond) // the answer has arrived by now, and what follows it
				if r := readReply(br); r.status != want || r.err != nil {
					t.Errorf("%s: %+v, want status %d", path, r, want)
				}
				if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
					t.Errorf("%s: %v after the answer, want the end of the connection without a reset", path, err)
				}
			}()
		}
	}
	wg.Wait()
}

// TestCallOfHalfClosedConnectionHasNoEmptySuccess: a caller ends its direction of the connection after a request. It gets the
// answer of the upstream, or none, but not an empty success that no upstream gave.
func TestCallOfHalfClosedConnectionHasNoEmptySuccess(t *testing.T) {
	entries, _ := startStoppable(t, 1)
	for _, path := range []string{"/act/100", "/read/100", "/ask/100"} {
		br, c := entries[0].callRaw(requestText(path, path, "x"))
		time.Sleep(20 * time.Millisecond)
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if r := readReply(br); r.err == nil && r.status == http.StatusOK && r.header.Get("X-Response-Seal") == "" {
			t.Errorf("%s: %+v, a success without a seal", path, r)
		}
	}
}

// TestManyCallsAtTheEndOfShutdownAreAnswered: each of many calls that outlast the grace period is answered that it may
// have run, while the process is busy.
func TestManyCallsAtTheEndOfShutdownAreAnswered(t *testing.T) {
	entries, _ := startStoppable(t, 1)
	e := entries[0]
	const calls = 400
	var wg sync.WaitGroup
	for i := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", e.cfg.ListenCallers)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, requestText("/act/6000", fmt.Sprint("end-", i), "x"))
			if r := readReply(bufio.NewReader(c)); r.status != http.StatusBadGateway && r.status != http.StatusServiceUnavailable {
				t.Errorf("call %d: %+v, want 502, or 503 if it was not sent", i, r)
			}
		}()
	}
	eventually(t, "the calls were sent", func() bool { return e.inFlight.Load() == calls })
	e.stop()
	wg.Wait()
}

// brokenBody panics when it is read.
type brokenBody struct{ io.ReadCloser }

func (brokenBody) Read([]byte) (int, error) { panic("broken") }

// TestPanicOfAHandlerIsAnswered: a handler that panics before it has answered answers 502, with a line and a counter.
func TestPanicOfAHandlerIsAnswered(t *testing.T) {
	entries, _ := startStoppable(t, 1)
	e := entries[0]
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://h/act/1", brokenBody{})
	r.Header.Set("X-Request-Id", "panics")
	e.serveCaller(w, r.WithContext(context.WithValue(r.Context(), connKey{}, &callerConn{})))
	if w.Code != http.StatusBadGateway {
		t.Errorf("status %d, want 502", w.Code)
	}
	eventually(t, "the line", func() bool {
		return strings.Contains(e.log.String(), `"msg":"handler_panicked","node":"entry-1","request":"panics"`)
	})
	if n := e.scope.Snapshot().Counters()["gateway.handler_panics+"]; n.Value() != 1 {
		t.Errorf("%d panics counted, want 1", n.Value())
	}
}

// TestCallBehindRefusedOneIsAnsweredInShutdown: three calls arrive at once, and a shutdown begins. The second is refused
// before its body is read. The third had arrived and is answered.
func TestCallBehindRefusedOneIsAnsweredInShutdown(t *testing.T) {
	chunked := "POST /nowhere HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for _, refused := range []string{requestText("/nowhere", "r", "xx"), requestText("/nowhere", "r", strings.Repeat("\r\n", 9000)), chunked} {
		entries, _ := startStoppable(t, 1)
		br, _ := entries[0].callRaw(requestText("/act/300", "first", "x") + refused + requestText("/act/1", "third", "x"))
		eventually(t, "the first call was sent", func() bool { return entries[0].inFlight.Load() == 1 })
		entries[0].stop()
		for i, want := range []int{http.StatusOK, http.StatusNotFound, http.StatusOK} {
			if r := readReply(br); r.status != want || r.err != nil || r.closes() != (i == 2) {
				t.Errorf("%d bytes refused: answer %d is %+v, want %d, and the end after the third", len(refused), i, r, want)
			}
		}
	}
}

// TestCallBehindLastAnswerIsReported: a call arrives behind one whose answer has begun and says that the connection ends. It
// gets no answer, and the end of the connection says so.
func TestCallBehindLastAnswerIsReported(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newCallerListener(tcp, func() time.Duration { return time.Minute })
	ends := make(chan connEnd, 1)
	l.onEnd = func(e connEnd) { ends <- e }
	s := &http.Server{ConnContext: connContext, ConnState: l.connState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		c.startRequest(r.ContentLength)
		_, _ = io.Copy(io.Discard, r.Body)
		c.bodyRead()
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(300 * time.Millisecond)
		c.endRequest()
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	br := bufio.NewReader(c)
	_, _ = io.WriteString(c, requestText("/", "1", "x"))
	_, _ = br.Peek(1)
	_, _ = io.WriteString(c, requestText("/", "2", "x"))
	sent := time.Now()
	first, second := readReply(br), readReply(br)
	t.Logf("first %d, second %v %s after it was sent", first.status, second.err, time.Since(sent))
	if e := <-ends; e.Reason != connstate.EndBehind {
		t.Errorf("the connection ended with %+v, want reason %q", e, connstate.EndBehind)
	}
}

// TestEmptyLineBehindABodyHoldsNoShutdown: a caller sends an empty line behind the body of a request, as old ones do. The
// connection ends as one without a request.
func TestEmptyLineBehindABodyHoldsNoShutdown(t *testing.T) {
	entries, _ := startStoppable(t, 1)
	e := entries[0]
	br, _ := e.callRaw(requestText("/act/1", "crlf", "x") + "\r\n")
	if r := readReply(br); r.status != http.StatusOK {
		t.Fatalf("%+v", r)
	}
	begin := time.Now()
	e.stop()
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("%v, want the end of the connection", err)
	}
	if took := time.Since(begin); took > e.drainDelay+500*time.Millisecond {
		t.Errorf("the connection ended %v after the stop began, the drain delay is %v", took, e.drainDelay)
	}
}

// TestRefusalInShutdownAsksForNoBody: a caller that waits to be asked for its body is refused at once.
func TestRefusalInShutdownAsksForNoBody(t *testing.T) {
	entries, _ := startStoppable(t, 1)
	e := entries[0]
	e.stop()
	eventually(t, "the shutdown has begun", e.draining.Load)
	br, _ := e.callRaw("POST /nowhere HTTP/1.1\r\nHost: h\r\nX-Request-Id: expects\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	if r := readReply(br); r.status != http.StatusNotFound {
		t.Errorf("%+v, want 404 without a request for the body", r)
	}
}
