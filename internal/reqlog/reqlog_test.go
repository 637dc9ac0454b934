package reqlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"
)

// TestLineIsJSON guards against a line that a JSON parser rejects or reads as other values. The
// texts have quotes and line breaks.
func TestLineIsJSON(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "n1")
	l.Warn("request").Str("request", "a\"b").Str("empty", "").Int("n", -3).Ms("took_ms", 1500*time.Microsecond).Err(errors.New("x\ny")).Err(nil).End()
	l.Flush()
	var got map[string]any
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatalf("line is not JSON: %v: %s", err, out.String())
	}
	if got["request"] != "a\"b" || got["n"] != -3.0 || got["took_ms"] != 1.5 || got["node"] != "n1" || got["error"] != "x\ny" || got["empty"] != nil {
		t.Fatalf("decoded line has wrong fields: %v", got)
	}
}

// TestRateIsLimitedAndCounted guards against a burst of requests that floods the log, and
// against dropping lines without a report. Warn lines are exempt from the rate limit.
func TestRateIsLimitedAndCounted(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "n1")
	for range 3 * linesPerSecond {
		l.Info("request").End()
	}
	l.Warn("urgent").End()
	l.Flush()
	if n := strings.Count(out.String(), `"request"`); n < linesPerSecond || n > 2*linesPerSecond {
		t.Errorf("%d of %d lines were written, want %d to %d", n, 3*linesPerSecond, linesPerSecond, 2*linesPerSecond)
	}
	if !strings.Contains(out.String(), `"urgent"`) || !strings.Contains(out.String(), "log_lines_dropped") {
		t.Error("the Warn line or the count of dropped lines is missing")
	}
}

// blockingWriter blocks in Write until release is closed. It closes entered first.
type blockingWriter struct{ entered, release chan struct{} }

func (b blockingWriter) Write(p []byte) (int, error) {
	close(b.entered)
	<-b.release
	return len(p), nil
}

// TestSlowOutputDoesNotBlockCallers guards against a request that waits for the log. The output
// blocks; lines are buffered up to the limit and then dropped and counted.
func TestSlowOutputDoesNotBlockCallers(t *testing.T) {
	b := blockingWriter{make(chan struct{}), make(chan struct{})}
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
		t.Errorf("%d bytes buffered, want at most %d; %d lines dropped, want some", len(l.buf), bufferBytes, l.dropped)
	}
	l.mu.Unlock()
	close(b.release)
	<-flushed
}
