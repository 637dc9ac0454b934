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

// callRaw sends bytes as a caller on a connection of its own and returns all that comes back.
func (e *testEntry) callRaw(request string) (*bufio.Reader, net.Conn) {
	e.t.Helper()
	c, err := net.Dial("tcp", e.cfg.ListenCallers)
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		e.t.Fatal(err)
	}
	return bufio.NewReader(c), c
}

// TestPlainAnswerBrokenOffAtEachByte breaks plain answers off after each byte, on new and on reused connections, of
// calls that may be repeated and of ones that must not. A caller gets the whole answer or an error, a call that must not be
// repeated reaches one upstream, and the other is answered by the next upstream.
func TestPlainAnswerBrokenOffAtEachByte(t *testing.T) {
	const body = "a body of some bytes"
	forms := map[string]func(id string) string{
		"by length": func(id string) string { return encodeRaw(byLength, 200, id, plainHeader, body) },
		"by chunks": func(id string) string { return encodeRaw(byChunks, 200, id, plainHeader, body[:7], body[7:]) },
		"by close":  func(id string) string { return encodeRaw(byClose, 200, id, plainHeader, body) },
		"after an informational answer": func(id string) string {
			return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + encodeRaw(byLength, 200, id, plainHeader, body)
		},
		"with a folded line": func(id string) string {
			return encodeRaw(byLength, 200, id, plainHeader+"X-Folded: a\r\n b\r\n", body)
		},
		"with bare LF": func(id string) string {
			return strings.ReplaceAll(encodeRaw(byLength, 200, id, plainHeader, body), "\r\n", "\n")
		},
	}
	for name, form := range forms {
		for _, end := range []rawEnd{closeConn, resetConn} {
			for _, path := range []string{"/read/", "/act/"} {
				t.Run(fmt.Sprintf("%s, %s, %s", name, end, strings.Trim(path, "/")), func(t *testing.T) {
					e, upstreams := startEntryWithRaw(t, 2, 4, func(r *http.Request, sent int) rawAnswer {
						id := r.Header.Get("X-Request-Id")
						var cut int
						if _, err := fmt.Sscanf(r.URL.Path, path+"cut-%d", &cut); err != nil || sent > 0 {
							return rawAnswer{bytes: encodeRaw(byLength, 200, id, plainHeader, body)}
						}
						return rawAnswer{form("0000")[:cut], end}.withID(id)
					})
					whole := form("0000")
					headEnd := len(whole) - len(body)
					eachParallel(len(whole), func(cut int) {
						if cut%2 == 1 { // leaves an idle connection, which the next call uses
							e.call("POST", path+"warm", fmt.Sprint("w", cut), nil)
						}
						id := fmt.Sprintf("%04d", cut)
						r := e.call("POST", fmt.Sprintf("%scut-%d", path, cut), fmt.Sprint("x", name, end, cut), map[string]string{"X-Request-Id": id})
						sends := 0
						for _, u := range upstreams {
							sends += u.sentOf(id)
						}
						what := fmt.Sprintf("broken off after byte %d", cut)
						ownEnd := name == "by close" && end == closeConn && cut >= headEnd
						switch {
						case ownEnd && r.status == http.StatusOK && r.body == body[:cut-headEnd]:
						case r.status == http.StatusOK && (r.body != body || r.err != nil):
							t.Errorf("%s: %+v looks complete", what, r)
						case path == "/act/" && (r.status != http.StatusBadGateway || sends != 1):
							t.Errorf("%s: status %d after %d sends, want 502 after one", what, r.status, sends)
						case path == "/read/" && r.status != http.StatusOK:
							t.Errorf("%s: status %d after %d sends, want the answer of the next upstream", what, r.status, sends)
						}
					})
				})
			}
		}
	}
}

// TestOddHeads sends answers whose heads are complete and odd.
func TestOddHeads(t *testing.T) {
	const body = "body"
	id := "X-Request-Id: %s\r\n"
	for _, c := range []struct {
		name, method, answer string
		status               int
		body                 string
	}{
		{"two lengths that differ", "POST", "HTTP/1.1 200 X\r\n" + id + plainHeader + "Content-Length: 4\r\nContent-Length: 3\r\n\r\nbody", 502, ""},
		{"two equal lengths", "POST", "HTTP/1.1 200 X\r\n" + id + plainHeader + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", 200, body},
		{"a length and chunks", "POST", "HTTP/1.1 200 X\r\n" + id + plainHeader + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 200, body},
		{"unknown transfer encoding", "POST", "HTTP/1.1 200 X\r\n" + id + plainHeader + "Transfer-Encoding: gzip\r\n\r\nbody", 502, ""},
		{"HTTP/1.0 with chunks", "POST", "HTTP/1.0 200 X\r\n" + id + plainHeader + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 502, ""},
		{"HTTP/2.0", "POST", "HTTP/2.0 200 X\r\n" + id + plainHeader + "Content-Length: 4\r\n\r\nbody", 502, ""},
		{"no content", "POST", "HTTP/1.1 204 X\r\n" + id + plainHeader + "\r\n", 204, ""},
		{"not modified, with a length", "GET", "HTTP/1.1 304 X\r\n" + id + plainHeader + "Content-Length: 4\r\n\r\n", 304, ""},
		{"HEAD", "HEAD", "HTTP/1.1 200 X\r\n" + id + plainHeader + "Content-Length: 4\r\n\r\n", 200, ""},
		{"HEAD without a length", "HEAD", "HTTP/1.1 200 X\r\n" + id + plainHeader + "\r\n", 200, ""},
		{"a head without a body's end", "POST", "HTTP/1.1 200 X\r\n" + id + plainHeader + "\r\n", 200, ""},
		{"no colon", "POST", "HTTP/1.1 200 X\r\n" + id + plainHeader + "Content-Length 4\r\n\r\nbody", 502, ""},
		{"negative length", "POST", "HTTP/1.1 200 X\r\n" + id + plainHeader + "Content-Length: -4\r\n\r\nbody", 502, ""},
		{"chunk size without a line", "POST", "HTTP/1.1 200 X\r\n" + id + plainHeader + "Transfer-Encoding: chunked\r\n\r\n4", 502, ""},
		{"last chunk without its end", "POST", "HTTP/1.1 200 X\r\n" + id + plainHeader + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", 502, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, _ := startEntryWithRaw(t, 1, 1, func(r *http.Request, _ int) rawAnswer {
				return rawAnswer{fmt.Sprintf(c.answer, r.Header.Get("X-Request-Id")), closeConn}
			})
			r := e.call(c.method, "/act/1", "", nil)
			if r.status != c.status || r.body != c.body || r.err != nil {
				t.Errorf("%+v, want status %d and %q", r, c.status, c.body)
			}
			if c.name == "HEAD" && r.header.Get("Content-Length") != "4" {
				t.Errorf("HEAD: length %q, want the upstream's", r.header.Get("Content-Length"))
			}
		})
	}
}
