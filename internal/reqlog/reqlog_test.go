package reqlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"
)

func TestLineIsJSON(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "n1")
	l.Warn("request").Str("request", "a\"b").Str("empty", "").Int("n", -3).Ms("took_ms", 1500*time.Microsecond).Err(errors.New("x\ny")).Err(nil).End()
	l.Flush()
	var got map[string]any
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatalf("%v: %s", err, out.String())
	}
	if got["request"] != "a\"b" || got["n"] != -3.0 || got["took_ms"] != 1.5 || got["node"] != "n1" || got["error"] != "x\ny" || got["empty"] != nil {
		t.Fatalf("%v", got)
	}
}

func TestRateIsBoundedAndCounted(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "n1")
	for range 3 * linesPerSecond {
		l.Info("request").End()
	}
	l.Warn("urgent").End()
	l.Flush()
	if n := strings.Count(out.String(), `"request"`); n < linesPerSecond || n > 2*linesPerSecond {
		t.Errorf("%d lines", n)
	}
	if !strings.Contains(out.String(), `"urgent"`) || !strings.Contains(out.String(), "log_lines_dropped") {
		t.Error("an urgent line or the count of those dropped is missing")
	}
}

// blocked never takes what is written.
type blocked struct{ entered, release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	close(b.entered)
	<-b.release
	return len(p), nil
}

func TestSlowOutputBlocksNobody(t *testing.T) {
	b := blocked{make(chan struct{}), make(chan struct{})}
	l := New(b, "n1")
	l.Warn("first").End()
	flushed := make(chan struct{})
	go func() {
		l.Flush()
		close(flushed)
	}()
	<-b.entered
	line := strings.Repeat("x", 1000)
	for range 2 * bufferBytes / 1000 {
		l.Warn("more").Str("text", line).End()
	}
	l.mu.Lock()
	if len(l.buf) > bufferBytes || l.dropped == 0 {
		t.Errorf("%d bytes wait, %d lines dropped", len(l.buf), l.dropped)
	}
	l.mu.Unlock()
	close(b.release)
	<-flushed
}
