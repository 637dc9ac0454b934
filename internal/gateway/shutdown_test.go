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

	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/structs"
)

// startStoppable starts an entry with a grace period of 2 s, of which calls may use 1.3 s, and a drain delay of 400 ms. Its
// upstreams take as many ms for a call as its path ends with; streams send an event every 100 ms.
func startStoppable(t *testing.T, entries int) ([]*testEntry, []*rawUpstream) {
	t.Helper()
	p := newTestPlatform(t)
	p.write("op//config", `{"version":1,"routes":[
 {"name":"read","host":"h","prefix":"/read/","route-type":"safe","timeout-ms":20000,"service":"app","attempts":2},
 {"name":"act","host":"h","prefix":"/act/","route-type":"unsafe","timeout-ms":20000,"service":"app","attempts":1},
 {"name":"ask","host":"h","prefix":"/ask/","route-type":"stream","timeout-ms":20000,"service":"llm","attempts":2,"resumable":true}],
 "services":[{"name":"app","max-connections":500},{"name":"llm","max-connections":500,"engine":{"slots":8,"kv-capacity-tokens":100000,"tokens-per-event":1}}],
 "limits":{"max-body-bytes":100000,"idle-timeout-ms":5000}}`)
	var all []*rawUpstream
	for _, service := range []string{"app", "llm"} {
		for _, u := range newRawUpstreams(t, service, 2, func(r *http.Request, _ int) rawAnswer {
			var ms int
			_, _ = fmt.Sscanf(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], "%d", &ms)
			time.Sleep(time.Duration(ms) * time.Millisecond)
			id := r.Header.Get("X-Request-Id")
			if strings.HasPrefix(r.URL.Path, "/ask/") {
				return rawAnswer{bytes: encodeRaw(byChunks, 200, id, streamHeader, eventTexts(restOf(r), streamEvents-1)...)}
			}
			return rawAnswer{bytes: encodeRaw(byLength, 200, id, plainHeader, "done")}
		}) {
			p.registerRaw(u, service)
			all = append(all, u)
		}
	}
	var list []*testEntry
	for i := range entries {
		e := startEntryChanged(t, fmt.Sprint("entry-", i+1), p.standin.Table, func(s *settings.Gateway) {
			s.ShutdownGrace = structs.Duration(2 * time.Second)
		})
		e.drainDelay = 400 * time.Millisecond
		eventually(t, "all upstreams are known", func() bool {
			f := e.fleet.Load()
			return len(f.byService["app"]) == 2 && len(f.byService["llm"]) == 2
		})
		list = append(list, e)
	}
	return list, all
}

// requestText is a request of a caller, with its body.
func requestText(path, id, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", path, id, len(body), body)
}

// sendsOf returns how often a call reached the upstreams.
func sendsOf(upstreams []*rawUpstream, id string) int {
	n := 0
	for _, u := range upstreams {
		n += u.sentOf(id)
	}
	return n
}

// readReply reads one answer from a caller's connection.
func readReply(br *bufio.Reader) reply {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if resp.Close { // ReadResponse takes the header out
		resp.Header.Set("Connection", "close")
	}
	return reply{resp.StatusCode, resp.Header, string(body), err}
}

// closes reports whether the answer says that the connection ends.
func (r reply) closes() bool { return r.header.Get("Connection") == "close" }

// TestLateCallsInShutdown: callers send the first part of a call early and the rest late in the grace period. A call that
// may outlast the process is refused and not sent; one whose caller waits for a short time only is served.
func TestLateCallsInShutdown(t *testing.T) {
	entries, upstreams := startStoppable(t, 1)
	e := entries[0]
	type lateCall struct {
		id, path, timeout string
		// part is how much of the request is sent early.
		part          string
		status, sends int
		br            *bufio.Reader
		c             net.Conn
	}
	calls := []*lateCall{
		{id: "body-act", path: "/act/900", timeout: "20000", part: "\r\n\r\n", status: http.StatusServiceUnavailable},
		{id: "body-read", path: "/read/900", timeout: "20000", part: "\r\n\r\n", status: http.StatusServiceUnavailable},
		{id: "body-ask", path: "/ask/900", timeout: "20000", part: "\r\n\r\n", status: http.StatusServiceUnavailable},
		{id: "head-act", path: "/act/900", timeout: "20000", part: "Host: h\r\n", status: http.StatusServiceUnavailable},
		{id: "head-short-act", path: "/act/1", timeout: "300", part: "Host: h\r\n", status: http.StatusOK, sends: 1},
		{id: "head-short-read", path: "/read/1", timeout: "300", part: "Host: h\r\n", status: http.StatusOK, sends: 1},
	}
	rest := map[string]string{}
	for _, c := range calls {
		text := strings.Replace(requestText(c.path, c.id, "body"), "\r\n\r\n", "\r\nX-Timeout-Ms: "+c.timeout+"\r\n\r\n", 1)
		at := strings.Index(text, c.part) + len(c.part)
		c.br, c.c = e.callRaw(text[:at])
		rest[c.id] = text[at:]
	}
	eventually(t, "the heads have arrived", func() bool { return e.inFlight.Load() == 3 })
	e.stop()
	time.Sleep(800 * time.Millisecond)
	for _, c := range calls {
		_, _ = io.WriteString(c.c, rest[c.id])
		r := readReply(c.br)
		if n := sendsOf(upstreams, c.id); r.status != c.status || n != c.sends || !r.closes() {
			t.Errorf("%s: %+v after %d sends, want status %d after %d and the end of the connection", c.id, r, n, c.status, c.sends)
		}
		if after := r.header.Get("Retry-After"); (after != "") != (c.status == http.StatusServiceUnavailable) {
			t.Errorf("%s: status %d with Retry-After %q", c.id, r.status, after)
		}
	}
}

// TestShortCallsAreServedInShutdown: calls that end before the process does are served during the drain delay, on new
// and on open connections.
func TestShortCallsAreServedInShutdown(t *testing.T) {
	entries, _ := startStoppable(t, 1)
	e := entries[0]
	br, c := e.callRaw(requestText("/act/1", "kept-1", "x"))
	if r := readReply(br); r.status != http.StatusOK {
		t.Fatalf("before the shutdown: %+v", r)
	}
	e.stop()
	eventually(t, "the shutdown has begun", e.draining.Load)
	for i, path := range []string{"/act/1", "/read/1", "/ask/1"} {
		if r := e.call("POST", path, "x", map[string]string{"X-Request-Id": fmt.Sprint("new-", i)}); r.status != http.StatusOK || r.err != nil {
			t.Errorf("%s on a new connection: %+v", path, r)
		}
	}
	_, _ = io.WriteString(c, requestText("/act/1", "kept-2", "x"))
	if r := readReply(br); r.status != http.StatusOK || !r.closes() {
		t.Errorf("on an open connection: %+v, want an answer that closes it", r)
	}
}

// TestCallsAtTheEndOfShutdownAreAnswered: calls that were sent before the shutdown and outlast it are answered that
// they may have run, and streams that have begun are visibly broken off.
func TestCallsAtTheEndOfShutdownAreAnswered(t *testing.T) {
	entries, upstreams := startStoppable(t, 1)
	e := entries[0]
	var wg sync.WaitGroup
	for _, path := range []string{"/act/5000", "/read/5000", "/ask/5000"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := e.call("POST", path, "x", map[string]string{"X-Request-Id": path, "X-Timeout-Ms": "20000"})
			n := sendsOf(upstreams, path)
			if r.status != http.StatusBadGateway || path == "/act/5000" && n != 1 {
				t.Errorf("%s: %+v after %d sends, want 502, and one send of what must not be repeated", path, r, n)
			}
		}()
	}
	eventually(t, "all calls were sent", func() bool {
		return sendsOf(upstreams, "/act/5000") > 0 && sendsOf(upstreams, "/read/5000") > 0 && sendsOf(upstreams, "/ask/5000") > 0
	})
	e.stop()
	wg.Wait()
}

// TestPipelinedCallsInShutdown: of two calls that a caller sends at once, the first is answered whole, and so is the
// second, or it is refused and was not sent. Both arrive during the drain delay, or the stop begins while the first is at
// an upstream. The first has a length, chunks, or no body.
func TestPipelinedCallsInShutdown(t *testing.T) {
	firsts := map[string]func(path, id string) string{
		"length": func(path, id string) string { return requestText(path, id, "x") },
		"chunks": func(path, id string) string {
			return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\na\n\nb\r\n0\r\n\r\n", path, id)
		},
		"no body": func(path, id string) string {
			return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n\r\n", path, id)
		},
	}
	for _, before := range []bool{false, true} {
		entries, upstreams := startStoppable(t, 1)
		e := entries[0]
		if !before {
			e.stop()
			eventually(t, "the shutdown has begun", e.draining.Load)
		}
		var wg sync.WaitGroup
		for form, encode := range firsts {
			for i := range 7 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					id := fmt.Sprintf("%s-%d", strings.ReplaceAll(form, " ", "-"), i)
					path := "/act/1"
					if before {
						path = "/act/700"
					}
					br, _ := e.callRaw(encode(path, id) + requestText("/act/1", id+"-second", strings.Repeat("x", 3000)))
					if r := readReply(br); r.status != http.StatusOK || r.body != "done" || r.err != nil {
						t.Errorf("%s: first call: %+v", id, r)
					}
					r, sends := readReply(br), sendsOf(upstreams, id+"-second")
					if r.err != nil || r.status != http.StatusOK && (r.status != http.StatusServiceUnavailable || sends != 0) {
						t.Errorf("%s: second call, sent %d times, begun before the stop %v: %+v, want an answer, or a refusal before it was sent", id, sends, before, r)
					}
				}()
			}
		}
		if before {
			time.Sleep(100 * time.Millisecond)
			e.stop()
		}
		wg.Wait()
	}
}

// TestPlannedStops stops two entries one after the other while callers keep their connections, open new ones and send calls
// of many lengths until the processes are gone. Every request that was read whole is answered, and what is refused has not
// run.
func TestPlannedStops(t *testing.T) {
	entries, upstreams := startStoppable(t, 2)
	var callers sync.WaitGroup
	done := make(chan struct{})
	var mu sync.Mutex
	outcomes := map[string]int{}
	for k := range 24 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				kept := k%2 == 0
				c, err := net.Dial("tcp", entries[(k+n)%2].cfg.ListenCallers)
				if err != nil {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				br := bufio.NewReader(c)
				for m := 0; ; m++ {
					path := fmt.Sprintf("%s/%d", []string{"/act", "/read", "/ask"}[(k+m)%3], []int{1, 40, 150, 600}[(k+n+m)%4])
					id := fmt.Sprintf("%d-%d-%d", k, n, m)
					text := requestText(path, id, "body")
					_, err := io.WriteString(c, strings.TrimSuffix(text, "body"))
					if (k+m)%5 == 0 {
						time.Sleep(100 * time.Millisecond)
					}
					if err == nil {
						_, err = io.WriteString(c, "body")
					}
					if err != nil {
						break
					}
					r := readReply(br)
					sends := sendsOf(upstreams, id)
					mu.Lock()
					outcomes[fmt.Sprint(r.status)]++
					mu.Unlock()
					switch {
					case r.status == 0 && sends > 0:
						t.Errorf("%s %s: sent to an upstream and not answered: %v", id, path, r.err)
					case r.status == http.StatusServiceUnavailable && sends > 0:
						t.Errorf("%s %s: refused after it was sent", id, path)
					case r.status != 0 && r.err != nil:
						t.Errorf("%s %s: the answer is incomplete: %+v", id, path, r)
					case strings.HasPrefix(path, "/act") && sends > 1:
						t.Errorf("%s %s: sent %d times", id, path, sends)
					}
					if r.status == 0 || r.closes() || !kept {
						break
					}
				}
				c.Close()
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	for _, e := range entries {
		e.stop()
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	close(done)
	callers.Wait()
	t.Logf("answers by status: %v", outcomes)
}

// TestRequestsAsIdleConnectionsClose: callers send on connections that the entry is about to close at the end of the
// drain delay. A request is answered or not sent.
func TestRequestsAsIdleConnectionsClose(t *testing.T) {
	entries, upstreams := startStoppable(t, 1)
	e := entries[0]
	const conns = 300
	readers, open := make([]*bufio.Reader, conns), make([]net.Conn, conns)
	for i := range conns {
		readers[i], open[i] = e.callRaw(requestText("/act/1", fmt.Sprint("first-", i), "x"))
	}
	for i := range conns {
		if r := readReply(readers[i]); r.status != http.StatusOK {
			t.Fatalf("before the shutdown: %+v", r)
		}
	}
	e.stop()
	eventually(t, "the shutdown has begun", e.draining.Load)
	end := e.stopping.Load().DrainedAt
	var wg sync.WaitGroup
	for i := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(end) + time.Duration(i-conns/2)*4*time.Microsecond)
			id := fmt.Sprint("second-", i)
			_, _ = io.WriteString(open[i], requestText("/act/1", id, "x"))
			if r := readReply(readers[i]); r.status != http.StatusOK && sendsOf(upstreams, id) > 0 {
				t.Errorf("%s was sent to an upstream and not answered: %v", id, r.err)
			}
		}()
	}
	wg.Wait()
}
