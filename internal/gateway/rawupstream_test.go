package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// rawUpstream answers requests with bytes as they are, whole or not.
type rawUpstream struct {
	id, address string

	mu sync.Mutex
	// sends counts the requests by the id of the call.
	sends map[string]int
}

// rawAnswer is what a rawUpstream writes for one request.
type rawAnswer struct {
	bytes string
	// end says what follows the bytes.
	end rawEnd
}

// rawEnd is what an upstream does with its connection after the bytes of an answer.
type rawEnd int

const (
	keepOpen rawEnd = iota
	closeConn
	resetConn
	// stall leaves the connection open without another byte, until the caller's side closes it.
	stall
)

// String returns the name for messages of tests.
func (e rawEnd) String() string { return [...]string{"kept open", "closed", "reset", "stalled"}[e] }

// newRawUpstreams starts n upstreams that answer with answer, which gets the request and how often the call was sent
// before, counted over all of them.
func newRawUpstreams(t *testing.T, prefix string, n int, answer func(r *http.Request, sent int) rawAnswer) []*rawUpstream {
	t.Helper()
	var mu sync.Mutex
	sent := map[string]int{}
	list := make([]*rawUpstream, n)
	for i := range list {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		u := &rawUpstream{id: fmt.Sprintf("%s-%d", prefix, i+1), address: l.Addr().String(), sends: map[string]int{}}
		var conns sync.WaitGroup
		done := make(chan struct{})
		go func() {
			defer close(done)
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				conns.Add(1)
				go func() {
					defer conns.Done()
					u.serve(c, func(r *http.Request) rawAnswer {
						id := r.Header.Get("X-Request-Id")
						mu.Lock()
						before := sent[id]
						sent[id]++
						mu.Unlock()
						return answer(r, before)
					})
				}()
			}
		}()
		t.Cleanup(func() {
			l.Close()
			<-done
		})
		list[i] = u
	}
	return list
}

// serve answers the requests on one connection.
func (u *rawUpstream) serve(c net.Conn, answer func(*http.Request) rawAnswer) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.mu.Lock()
		u.sends[r.Header.Get("X-Request-Id")]++
		u.mu.Unlock()
		a := answer(r)
		if _, err := io.WriteString(c, a.bytes); err != nil {
			return
		}
		switch a.end {
		case closeConn:
			return
		case resetConn:
			// The bytes must have been read, or the reset would take them back.
			time.Sleep(time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case stall:
			_, _ = br.ReadByte()
			return
		case keepOpen:
		}
	}
}

// sentOf returns how often a call reached the upstream.
func (u *rawUpstream) sentOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sends[id]
}

// registerRaw writes the row of a raw upstream.
func (p *testPlatform) registerRaw(u *rawUpstream, service string) {
	p.write("servers//"+u.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"seq":1,"born":1}`, service, u.address))
}

// startEntryWithRaw starts an entry with raw upstreams of both services and a document that allows attempts sends
// of streams and repeatable calls.
func startEntryWithRaw(t *testing.T, attempts, n int, answer func(r *http.Request, sent int) rawAnswer) (*testEntry, []*rawUpstream) {
	t.Helper()
	p := newTestPlatform(t)
	p.write("op//config", fmt.Sprintf(`{"version":1,"routes":[
 {"name":"read","host":"h","prefix":"/read/","route-type":"safe","timeout-ms":3000,"service":"app","attempts":%[1]d},
 {"name":"act","host":"h","prefix":"/act/","route-type":"unsafe","timeout-ms":3000,"service":"app","attempts":%[1]d},
 {"name":"ask","host":"h","prefix":"/ask/","route-type":"stream","timeout-ms":3000,"service":"llm","attempts":%[1]d,"resumable":true},
 {"name":"draft","host":"h","prefix":"/draft/","route-type":"stream","timeout-ms":3000,"service":"llm","attempts":%[1]d,"retained":true,"retention-s":60}],
 "services":[{"name":"app","max-connections":500},{"name":"llm","max-connections":500,"engine":{"slots":8,"kv-capacity-tokens":100000,"tokens-per-event":10}}],
 "limits":{"max-body-bytes":100000,"idle-timeout-ms":5000}}`, attempts))
	var all []*rawUpstream
	for _, service := range []string{"app", "llm"} {
		for _, u := range newRawUpstreams(t, service, n, answer) {
			p.registerRaw(u, service)
			all = append(all, u)
		}
	}
	e := startEntry(t, "entry-1", p.standin.Table)
	eventually(t, "all upstreams are known", func() bool {
		f := e.fleet.Load()
		return len(f.byService["app"]) == n && len(f.byService["llm"]) == n
	})
	return e, all
}

// framing is how the end of an answer's body is told.
type framing string

const (
	byLength framing = "length"
	byChunks framing = "chunks"
	byClose  framing = "close"
)

// encodeRaw encodes an answer to a call. Each part of the body is a chunk of its own where it is sent in chunks.
func encodeRaw(f framing, status int, id, header string, parts ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n%s", status, id, header)
	body := strings.Join(parts, "")
	switch f {
	case byLength:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case byChunks:
		var b strings.Builder
		b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
		for _, p := range parts {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
		}
		return b.String() + "0\r\n\r\n"
	default:
		return head + "Connection: close\r\n\r\n" + body
	}
}

const (
	streamHeader = "X-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
	plainHeader  = "X-Response-Seal: s\r\nContent-Type: text/plain\r\n"
)

// eachParallel runs f for 0 to n-1, some at a time.
func eachParallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	limit := make(chan struct{}, 8)
	for i := range n {
		wg.Add(1)
		limit <- struct{}{}
		go func() {
			defer wg.Done()
			f(i)
			<-limit
		}()
	}
	wg.Wait()
}

// withID puts the id of a call, of the same length as the placeholder, into an encoded answer.
func (a rawAnswer) withID(id string) rawAnswer {
	const field = "X-Request-Id: "
	if at := strings.Index(a.bytes, field) + len(field); at >= len(field) {
		a.bytes = a.bytes[:at] + id[:min(len(id), len(a.bytes)-at)] + a.bytes[min(len(a.bytes), at+len(id)):]
	}
	return a
}
