package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// earlyUpstream answers calls before it has read their bodies, without a length, and then resets the connection.
func earlyUpstream(t *testing.T, body func(r *http.Request) (header, part string)) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, 8<<10)
		header, part := body(r)
		_, _ = io.WriteString(c, encodeRaw(byClose, 200, r.Header.Get("X-Request-Id"), header, part))
		time.Sleep(2 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return &rawUpstream{id: l.Addr().String(), address: l.Addr().String()}
}

// TestPartOfAnAnswerToALongUpload: an upstream answers a long upload at once with a 200 without a length, sends a part and resets the connection
// while the upload is being written. Callers got the part as the whole answer, on each kind of route, and a turn with a part of its output was kept.
func TestPartOfAnAnswerToALongUpload(t *testing.T) {
	const calls = 8
	upload := strings.Repeat("x", 6<<20)
	p := newTestPlatform(t)
	p.write("op//config", `{"version":1,"routes":[
 {"name":"read","host":"h","prefix":"/read/","route-type":"safe","timeout-ms":3000,"service":"app","attempts":2},
 {"name":"act","host":"h","prefix":"/act/","route-type":"unsafe","timeout-ms":3000,"service":"app","attempts":1},
 {"name":"ask","host":"h","prefix":"/ask/","route-type":"stream","timeout-ms":3000,"service":"llm","attempts":2,"resumable":true},
 {"name":"chat","host":"h","prefix":"/chat/","route-type":"stream","timeout-ms":3000,"service":"llm","attempts":1},
 {"name":"draft","host":"h","prefix":"/draft/","route-type":"stream","timeout-ms":3000,"service":"llm","attempts":1,"retained":true,"retention-s":60}],
 "services":[{"name":"app","max-connections":500},{"name":"llm","max-connections":500,"engine":{"slots":8,"kv-capacity-tokens":100000,"tokens-per-event":10}}],
 "limits":{"max-body-bytes":8000000,"idle-timeout-ms":5000}}`)
	upstream := earlyUpstream(t, func(r *http.Request) (header, part string) {
		if strings.HasPrefix(r.URL.Path, "/read/") || strings.HasPrefix(r.URL.Path, "/act/") {
			return plainHeader, "a part"
		}
		return streamHeader, "id: 0\ndata: a part\n\n"
	})
	for _, service := range []string{"app", "llm"} {
		p.registerRaw(&rawUpstream{id: service + "-1", address: upstream.address}, service)
	}
	e := startEntry(t, "entry-1", p.standin.Table)
	eventually(t, "the upstreams are known", func() bool {
		f := e.fleet.Load()
		return len(f.byService["app"]) == 1 && len(f.byService["llm"]) == 1
	})
	for _, path := range []string{"/read/", "/act/", "/ask/", "/chat/", "/draft/"} {
		for n := range calls {
			id := newID()
			r := e.call("POST", path+fmt.Sprint(n), upload, map[string]string{"X-Request-Id": id})
			if r.status == http.StatusOK && r.err == nil {
				t.Errorf("%s, call %d: a part was taken for the whole answer: %q", path, n, r.body)
			}
			if path == "/draft/" && e.turns.cached(id) != nil {
				t.Errorf("call %d: a turn with a part of its output is kept", n)
			}
		}
	}
}
