// Package reqlog writes structured lines about requests without ever blocking the
// path of a request: a line is appended to a bounded buffer that one goroutine
// writes out, and lines beyond the buffer or the rate are counted instead.
//
// It is not logrus since a line there costs several times the processor time, on
// VMs that have a seventh of a core; docs/design/platform.md has the figures.
package reqlog

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// bufferBytes bounds what waits to be written; some thousand lines.
	bufferBytes = 256 << 10
	// flushInterval trades wake-ups for the age of the newest line after a crash.
	flushInterval = 200 * time.Millisecond
	// linesPerSecond bounds the lines about single requests; about twice the calls that
	// one entry takes in a burst.
	linesPerSecond = 600
	// typicalLine is the room in bytes for a new line.
	typicalLine = 320
)

// Logger writes lines of JSON. It is safe for concurrent use.
type Logger struct {
	out  io.Writer
	node string
	wake chan struct{}

	mu      sync.Mutex
	buf     []byte
	spare   []byte
	dropped int64
	// tokens and refilled are the bucket of lines about requests.
	tokens   float64
	refilled time.Time
}

// New returns a logger of a node; Run must be started for anything to be written.
func New(out io.Writer, node string) *Logger {
	return &Logger{out: out, node: node, wake: make(chan struct{}, 1), tokens: linesPerSecond}
}

// Run writes what was logged until ctx ends, and then what is left.
func (l *Logger) Run(ctx context.Context) {
	tick := time.NewTimer(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			l.Flush()
			return
		case <-l.wake:
		}
		tick.Reset(flushInterval)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
		l.Flush()
	}
}

// Flush writes what waits.
func (l *Logger) Flush() {
	l.mu.Lock()
	buf, dropped := l.buf, l.dropped
	l.buf, l.spare, l.dropped = l.spare[:0], nil, 0
	l.mu.Unlock()
	if dropped > 0 {
		buf = append(buf, `{"level":"warning","msg":"log_lines_dropped","node":"`...)
		buf = append(append(buf, l.node...), `","count":`...)
		buf = append(strconv.AppendInt(buf, dropped, 10), "}\n"...)
	}
	if len(buf) > 0 {
		// Standard output is the only place to report to, so its own failure is silent.
		_, _ = l.out.Write(buf)
	}
	l.mu.Lock()
	l.spare = buf[:0]
	l.mu.Unlock()
}

// Write appends whole lines of another logger. It never fails and never blocks.
func (l *Logger) Write(p []byte) (int, error) {
	l.mu.Lock()
	l.add(p)
	l.mu.Unlock()
	return len(p), nil
}

// add appends under the lock.
func (l *Logger) add(line []byte) {
	if len(l.buf)+len(line) > bufferBytes {
		l.dropped++
		return
	}
	l.buf = append(l.buf, line...)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Line is one line under construction. It is used by one goroutine.
type Line struct {
	l *Logger
	b []byte
	// urgent lines are not subject to the rate.
	urgent bool
}

var lines = sync.Pool{New: func() any { return &Line{b: make([]byte, 0, typicalLine)} }}

// Info starts a line about a request.
func (l *Logger) Info(event string) *Line { return l.start("info", event, false) }

// Warn starts a line about a failed request or a changed belief; it is not subject to
// the rate, only to the buffer.
func (l *Logger) Warn(event string) *Line { return l.start("warning", event, true) }

func (l *Logger) start(level, event string, urgent bool) *Line {
	ln := lines.Get().(*Line)
	ln.l, ln.urgent = l, urgent
	ln.b = append(ln.b[:0], `{"time":"`...)
	b := ln.b
	b = time.Now().UTC().AppendFormat(b, "2006-01-02T15:04:05.000Z")
	b = append(append(b, `","level":"`...), level...)
	b = append(append(b, `","msg":"`...), event...)
	b = append(append(b, `","node":"`...), l.node...)
	b = append(b, '"')
	ln.b = b
	return ln
}

func (ln *Line) key(k string) {
	ln.b = append(append(append(ln.b, ",\""...), k...), "\":"...)
}

// Str adds a text; an empty one is left out.
func (ln *Line) Str(k, v string) *Line {
	if v != "" {
		ln.key(k)
		ln.b = strconv.AppendQuote(ln.b, v)
	}
	return ln
}

// Int adds a number.
func (ln *Line) Int(k string, v int64) *Line {
	ln.key(k)
	ln.b = strconv.AppendInt(ln.b, v, 10)
	return ln
}

// Ms adds a duration in milliseconds.
func (ln *Line) Ms(k string, d time.Duration) *Line {
	ln.key(k)
	ln.b = strconv.AppendFloat(ln.b, float64(d.Microseconds())/1000, 'f', 1, 64)
	return ln
}

// Err adds an error; nil is left out.
func (ln *Line) Err(err error) *Line {
	if err == nil {
		return ln
	}
	return ln.Str("error", err.Error())
}

// End hands the line over. The line must not be used after it.
func (ln *Line) End() {
	ln.b = append(ln.b, "}\n"...)
	l := ln.l
	l.mu.Lock()
	if ln.urgent || l.take() {
		l.add(ln.b)
	} else {
		l.dropped++
	}
	l.mu.Unlock()
	ln.l = nil
	lines.Put(ln)
}

// take takes one line from the bucket, under the lock.
func (l *Logger) take() bool {
	now := time.Now()
	l.tokens = min(linesPerSecond, l.tokens+now.Sub(l.refilled).Seconds()*linesPerSecond)
	l.refilled = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
