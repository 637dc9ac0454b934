package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// sendHead sends the head of a request and then the bytes, and returns the connection.
func (e *testEntry) sendHead(t *testing.T, path, header string, bytes []byte) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(e.base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n%s", path, newID(), header); err != nil {
		t.Fatal(err)
	}
	_, _ = c.Write(bytes) // the entry may have answered and closed
	return c
}

// TestManyRequestsTakeBoundedMemory has many callers at once send bodies without end, or declare bodies that they don't
// send. The heap of the entry's process on the smallest VM must do, and calls beside them be answered.
func TestManyRequestsTakeBoundedMemory(t *testing.T) {
	limitHeap(t)
	for _, c := range []struct {
		name, header string
		size         int
	}{
		{"declared", "Content-Length: 4000000\r\n\r\n", 0},
		{"sent in part", "Content-Length: 4000000\r\n\r\n", 300 << 10},
		{"sent in part, in chunks", "Transfer-Encoding: chunked\r\n\r\n400000\r\n", 300 << 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, _, _ := startEntryWithEndless(t, endlessAnswer{}, time.Second)
			bytes := make([]byte, c.size)
			done := make(chan struct{})
			peak := watchMemory(done)
			var wg sync.WaitGroup
			for range endlessCalls {
				wg.Go(func() {
					conn := e.sendHead(t, "/read/1", c.header, bytes)
					defer conn.Close()
					resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 1<<10), nil)
					if err == nil && resp.StatusCode == http.StatusOK {
						t.Error("a request without its body was answered")
					}
				})
			}
			for i := range 12 {
				if status, err := e.drainWhole("/other/", fmt.Sprint("whole-", i)); status != http.StatusOK || err != nil {
					t.Errorf("another call: status %d, %v", status, err)
				}
			}
			wg.Wait()
			close(done)
			most := <-peak
			t.Logf("heap %d MiB over the start", most>>20)
			if most > heapLimit {
				t.Errorf("the heap grew by %d MiB, want at most %d MiB", most>>20, heapLimit>>20)
			}
			eventually(t, "the reservations are released", func() bool { return e.bodies.inUse() == 0 })
		})
	}
}

// TestBodyWithoutLimitIsCutOff checks that bodies are limited also while the document sets no limit.
func TestBodyWithoutLimitIsCutOff(t *testing.T) {
	e, _, _ := startEntryWithEndless(t, endlessAnswer{}, 5*time.Second)
	c := e.sendHead(t, "/read/whole", "Transfer-Encoding: chunked\r\n\r\n40000000\r\n", nil)
	defer c.Close()
	go func() {
		piece := make([]byte, 64<<10)
		for err := error(nil); err == nil; {
			_, err = c.Write(piece)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge && resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%+v, %v, want status 413 or 503", resp, err)
	}
}

// TestRequestWithoutEndIsCutOff checks that heads, chunk extensions and trailers of requests have an end.
func TestRequestWithoutEndIsCutOff(t *testing.T) {
	e, _, _ := startEntryWithEndless(t, endlessAnswer{}, 2*time.Second)
	filler := strings.Repeat("x", 1<<10)
	for name, c := range map[string]struct{ begin, repeat string }{
		"request line":    {"", filler},
		"header":          {"POST /read/whole HTTP/1.1\r\nHost: h\r\nX-A: ", filler},
		"headers":         {"POST /read/whole HTTP/1.1\r\nHost: h\r\n", "X-A: " + filler + "\r\n"},
		"empty lines":     {"", "\r\n\r\n"},
		"chunk extension": {"POST /read/whole HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", filler},
		"trailers":        {"POST /read/whole HTTP/1.1\r\nHost: h\r\nX-Request-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: " + filler + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(e.base, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
				t.Fatal(err)
			}
			written := 0
			for text := c.begin; err == nil; text = c.repeat {
				var n int
				n, err = io.WriteString(conn, text)
				written += n
			}
			if errors.Is(err, os.ErrDeadlineExceeded) || written > 16<<20 {
				t.Errorf("%d bytes were taken, then %v; want the connection to be closed", written, err)
			}
		})
	}
}

// TestCallersThatReadNothingHoldNoMemory has many callers read nothing of answers without end, or of long ones: memory is
// bounded, and the calls end soon after their deadline, so that they leave their slots at the upstream.
func TestCallersThatReadNothingHoldNoMemory(t *testing.T) {
	const timeout = time.Second
	limitHeap(t)
	filler := strings.Repeat("x", 32<<10)
	events := "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	for _, c := range []struct {
		name, path string
		answer     endlessAnswer
	}{
		{"events", "/ask/1", endlessAnswer{head: events, repeat: "data: " + filler + "\n\n"}},
		{"events of a kept turn", "/draft/1", endlessAnswer{head: events, repeat: "data: " + filler + "\n\n"}},
		{"long answer", "/read/1", endlessAnswer{head: "Content-Length: 8000000\r\n\r\n", repeat: filler}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, _, ended := startEntryWithEndless(t, c.answer, timeout)
			done := make(chan struct{})
			peak := watchMemory(done)
			began := time.Now()
			var wg sync.WaitGroup
			for range endlessCalls {
				wg.Go(func() {
					conn := e.sendHead(t, c.path, "Content-Length: 0\r\n\r\n", nil)
					if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
						t.Error(err)
					}
					t.Cleanup(func() { conn.Close() })
				})
			}
			for i := range 12 {
				if status, err := e.drainWhole("/other/", fmt.Sprint("whole-", i)); status != http.StatusOK || err != nil {
					t.Errorf("another call: status %d, %v", status, err)
				}
			}
			wg.Wait()
			eventually(t, "the calls have ended", func() bool { return e.inFlight.Load() == 0 && ended() > endlessCalls/2 })
			if took := time.Since(began); took > timeout+writeGrace+2*time.Second {
				t.Errorf("the calls ended after %v", took)
			}
			close(done)
			most := <-peak
			t.Logf("heap %d MiB over the start, ended after %v", most>>20, time.Since(began))
			if most > heapLimit {
				t.Errorf("the heap grew by %d MiB, want at most %d MiB", most>>20, heapLimit>>20)
			}
			if used := e.answers.inUse(); used != 0 {
				t.Errorf("%d bytes are still reserved", used)
			}
		})
	}
}

// TestInternalRequestWithoutEndIsCutOff checks that heads without end on the addresses for readiness and for other entries
// are cut off.
func TestInternalRequestWithoutEndIsCutOff(t *testing.T) {
	e, _, _ := startEntryWithEndless(t, endlessAnswer{}, time.Second)
	filler := strings.Repeat("x", 1<<10)
	for name, address := range map[string]string{"ready": e.cfg.ListenReady, "mesh": e.cfg.ListenMesh} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if err := conn.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
			t.Fatal(err)
		}
		for text := "GET / HTTP/1.1\r\nHost: h\r\nX-A: "; err == nil; text = filler {
			_, err = io.WriteString(conn, text)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %v, want the connection to be closed", name, err)
		}
	}
}
