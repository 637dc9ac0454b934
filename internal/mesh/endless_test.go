package mesh

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
)

// spaces is a reader without end. It counts what was read.
type spaces struct{ n *atomic.Int64 }

func (s spaces) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = ' '
	}
	s.n.Add(int64(len(b)))
	return len(b), nil
}

// TestMessageWithoutEndIsCutOff checks that a message and an answer between entries have an end.
func TestMessageWithoutEndIsCutOff(t *testing.T) {
	m := newTestMesh("a")
	var read, sent atomic.Int64
	m.HandleMessage("/short", func(w http.ResponseWriter, r *http.Request) {
		var message struct{}
		if m.ReadMessage(w, r, &message) {
			_, _ = io.Copy(w, spaces{&read})
		}
	})
	m.HandleMessage("/head", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-A", strings.Repeat("x", 2*maxHeadBytes))
		m.WriteAnswer(w, &http.Request{}, struct{}{})
	})
	server := httptest.NewServer(m.Handler())
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	address := strings.TrimPrefix(server.URL, "http://")
	for _, path := range []string{"/short", "/head"} {
		if err := m.Post(ctx, address, path, struct{}{}, &struct{}{}); !errors.Is(err, platformapi.ErrUnavailable) || ctx.Err() != nil {
			t.Errorf("answer without end of %s: %v", path, err)
		}
	}
	if n := read.Load(); n > MaxMessageSize+16<<20 {
		t.Errorf("%d bytes of the answer were taken", n)
	}
	resp, err := http.Post(server.URL+"/short", "application/json", spaces{&sent})
	if err == nil {
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest {
			t.Errorf("message without end: status %d", resp.StatusCode)
		}
	}
	if n := sent.Load(); n > MaxMessageSize+16<<20 {
		t.Errorf("%d bytes of the message were taken", n)
	}
}

// TestMessageByTheByteIsCutOff checks that a message which never comes to its end is given up.
func TestMessageByTheByteIsCutOff(t *testing.T) {
	m := newTestMesh("a")
	done := make(chan bool, 1)
	m.HandleMessage("/short", func(w http.ResponseWriter, r *http.Request) {
		var message struct{}
		done <- m.ReadMessage(w, r, &message)
	})
	server := httptest.NewServer(m.Handler())
	defer server.Close()
	pr, pw := io.Pipe()
	defer pw.Close()
	go func() {
		resp, err := http.Post(server.URL+"/short", "application/json", pr)
		if err == nil {
			resp.Body.Close()
		}
	}()
	go func() {
		for err := error(nil); err == nil; time.Sleep(50 * time.Millisecond) {
			_, err = pw.Write([]byte(" "))
		}
	}()
	select {
	case ok := <-done:
		if ok {
			t.Error("the message was taken as complete")
		}
	case <-time.After(messageReadTimeout + 3*time.Second):
		t.Error("the message is still being read")
	}
}
