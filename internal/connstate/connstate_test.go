package connstate

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// message is a request as it is sent: its head and its body, with the length that the head states.
type message struct {
	head, body string
	length     int64
}

func drawMessage(t *rapid.T) message {
	text := rapid.SampledFrom([]string{"", "x", "a\n\nb", "\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"}).Draw(t, "text")
	end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "line end")
	lines := []string{"POST / HTTP/1.1", "Host: h", "X-A: " + strings.Repeat("b", rapid.IntRange(0, 20).Draw(t, "long")), "", ""}
	head := strings.Join(lines, end)
	if rapid.Bool().Draw(t, "chunked") {
		chunks := ""
		if text != "" {
			chunks = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		trailer := rapid.SampledFrom([]string{"", "T: 1\r\n"}).Draw(t, "trailer")
		return message{head, chunks + "0\r\n" + trailer + "\r\n", -1}
	}
	return message{head, text, int64(len(text))}
}

// TestBytesOfTwoRequestsAreNeverMixed sends requests one behind the other in pieces of any size. A server that reads one
// request at a time never gets bytes of the next one, gets all bytes in order, and is told when another has arrived.
func TestBytesOfTwoRequestsAreNeverMixed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		r := New(now)
		var socket []byte
		messages := rapid.SliceOfN(rapid.Custom(drawMessage), 1, 5).Draw(t, "messages")
		for _, m := range messages {
			socket = append(socket, m.head+m.body...)
		}
		// read returns what one read of the server gets.
		read := func() []byte {
			b := make([]byte, rapid.IntRange(1, 30).Draw(t, "buffer"))
			if r.Pending() {
				return b[:r.Take(now, b)]
			}
			n := min(r.Limit(len(b)), len(socket), rapid.IntRange(1, 30).Draw(t, "arrived"))
			copy(b, socket[:n])
			socket = socket[n:]
			return b[:r.Received(now, b[:n])]
		}
		for i, m := range messages {
			if i > 0 {
				r.BecomeIdle(now)
			}
			for _, part := range []string{m.head, m.body} {
				var got []byte
				for len(got) < len(part) {
					piece := read()
					if len(piece) == 0 {
						t.Fatalf("message %d: no byte, %d are left", i, len(socket))
					}
					got = append(got, piece...)
				}
				if !bytes.Equal(got, []byte(part)) {
					t.Fatalf("message %d: got %q, want %q", i, got, part)
				}
				if part == m.head {
					r.BecomeActive()
					r.StartRequest(m.length)
				}
			}
			r.BodyRead()
			if r.Quiet() {
				t.Fatalf("message %d: the connection is quiet before the answer", i)
			}
			if behind := r.Pending(); r.Another() != behind {
				t.Fatalf("message %d: another has arrived: %v, want %v", i, r.Another(), behind)
			}
			r.EndRequest()
		}
		if r.BecomeIdle(now); !r.Quiet() {
			t.Fatal("a request is on the connection after the last one")
		}
	})
}

// TestPartOfARequestKeepsItsConnection: a byte that was read behind a request, as servers do to see their caller leave, belongs
// to the next one.
func TestPartOfARequestKeepsItsConnection(t *testing.T) {
	now := time.Unix(0, 0)
	for text, kept := range map[string]bool{"G": true, "\r": false, "\r\n": false} {
		r := New(now)
		r.Received(now, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		r.BecomeActive()
		r.StartRequest(0)
		r.Received(now, []byte(text))
		r.EndRequest()
		r.BecomeIdle(now)
		if r.Quiet() == kept {
			t.Errorf("%q behind a request: quiet %v", text, r.Quiet())
		}
	}
}

// TestDeadlineOfQuietConnections: the idle timeout in force holds for connections that are idle already; a new one gets
// NewConnGrace once connections are retired, another one nothing.
func TestDeadlineOfQuietConnections(t *testing.T) {
	begin := time.Unix(0, 0)
	now := begin.Add(10 * time.Second)
	r := New(begin)
	if _, ok := r.Deadline(now, false, time.Minute); ok {
		t.Error("a new connection has an idle timeout")
	}
	if d, ok := r.Deadline(now, true, time.Minute); !ok || !d.Equal(begin.Add(NewConnGrace)) {
		t.Errorf("a new connection ends at %v, want %v", d, begin.Add(NewConnGrace))
	}
	r.Received(begin, []byte("GET / HTTP/1.1\r\n\r\n"))
	r.StartRequest(0)
	r.BecomeIdle(begin)
	for _, timeout := range []time.Duration{time.Second, time.Minute} {
		if d, ok := r.Deadline(now, false, timeout); !ok || !d.Equal(begin.Add(timeout)) {
			t.Errorf("idle timeout %v: ends at %v", timeout, d)
		}
	}
	if d, ok := r.Deadline(now, true, time.Minute); !ok || d.After(now) {
		t.Errorf("an idle connection ends at %v, want at once", d)
	}
}
