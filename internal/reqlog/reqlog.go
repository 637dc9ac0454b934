// Package reqlog writes structured log lines about requests and never blocks the request: a
// line is appended to a bounded buffer, which one goroutine writes out. Lines beyond the size
// of the buffer or the rate limit are dropped and counted.
//
// The package does not use logrus, because a line there takes several times the processor
// time, and the VMs have a seventh of a core; docs/design/platform.md has the figures.
package reqlog

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// bufferBytes is the maximum size of the lines that wait to be written; about 1000 lines.
	bufferBytes = 256 << 10
	// flushInterval is how long Run collects lines before it writes them. A longer interval
	// means fewer wake-ups, but more lines lost in a crash.
	flushInterval = 200 * time.Millisecond
	// linesPerSecond is the rate limit of Info lines, and the number of Info lines that may come
	// at once. It is about twice the calls that one entry accepts per second in a burst.
	linesPerSecond = 600
	// initialLineBytes is the initial capacity of the buffer of a line.
	initialLineBytes = 320
)

// Logger writes lines of JSON for one node. It is safe for concurrent use.
type Logger struct {
	out  io.Writer
	node string
	// wake is signalled when a line is added.
	wake chan struct{}

	mu sync.Mutex
	// buf holds the lines that wait to be written.
	buf []byte
	// spare is the buffer that was written last, emptied for reuse as buf; nil during a write.
	spare []byte
	// dropped counts the lines dropped since the last flush; a dropped Write counts as 1.
	dropped int64
	// tokens is the content of the token bucket that limits the rate of Info lines; it holds at
	// most linesPerSecond. refilled is when tokens were last added to it.
	tokens   float64
	refilled time.Time
}

// New returns a logger of a node. Lines are buffered until Run or Flush writes them.
func New(out io.Writer, node string) *Logger {
	return &Logger{out: out, node: node, wake: make(chan struct{}, 1), tokens: linesPerSecond}
}

// Run writes the buffered lines until ctx ends, and then those that are left.
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
		// A line has arrived; collect further lines for one interval.
		tick.Reset(flushInterval)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
		l.Flush()
	}
}

// Flush writes the buffered lines, and a line with the count of those dropped if there are any.
func (l *Logger) Flush() {
	l.mu.Lock()
	buf, dropped := l.buf, l.dropped
	// The buffers are swapped, so that lines can be added while out is written.
	l.buf, l.spare, l.dropped = l.spare[:0], nil, 0
	l.mu.Unlock()
	if dropped > 0 {
		buf = append(buf, `{"level":"warning","msg":"log_lines_dropped","node":"`...)
		buf = append(append(buf, l.node...), `","count":`...)
		buf = append(strconv.AppendInt(buf, dropped, 10), "}\n"...)
	}
	if len(buf) > 0 {
		// A failure to write can't be reported: out is the only place for reports.
		_, _ = l.out.Write(buf)
	}
	l.mu.Lock()
	l.spare = buf[:0]
	l.mu.Unlock()
}

// Write appends p, complete lines from another logger, to the buffer, or drops them when the
// buffer is full. It never fails and never blocks. It implements io.Writer.
func (l *Logger) Write(p []byte) (int, error) {
	l.mu.Lock()
	l.add(p)
	l.mu.Unlock()
	return len(p), nil
}

// add appends a line to the buffer and wakes Run, or counts the line as dropped when the buffer
// is full. The caller holds l.mu.
func (l *Logger) add(line []byte) {
	if len(l.buf)+len(line) > bufferBytes {
		l.dropped++
		return
	}
	l.buf = append(l.buf, line...)
	select {
	case l.wake <- struct{}{}:
	default: // Run has a signal to receive already
	}
}

// Line is a log line that is being built. It is not safe for concurrent use.
type Line struct {
	logger *Logger
	buf    []byte
	// unlimited exempts the line from the rate limit.
	unlimited bool
}

// linePool holds lines for reuse.
var linePool = sync.Pool{New: func() any { return &Line{buf: make([]byte, 0, initialLineBytes)} }}

// Info starts a line about a request. It is subject to the rate limit.
func (l *Logger) Info(event string) *Line { return l.start("info", event, false) }

// Warn starts a line about a failed request or a change in the state of a peer or
// upstream as this node sees it. It is exempt from the rate limit and dropped only when the
// buffer is full.
func (l *Logger) Warn(event string) *Line { return l.start("warning", event, true) }

// start returns a line with its time, level, event name and node. It does not escape the event
// name and the node.
func (l *Logger) start(level, event string, unlimited bool) *Line {
	ln := linePool.Get().(*Line)
	ln.logger, ln.unlimited = l, unlimited
	ln.buf = append(ln.buf[:0], `{"time":"`...)
	b := ln.buf
	b = time.Now().UTC().AppendFormat(b, "2006-01-02T15:04:05.000Z")
	b = append(append(b, `","level":"`...), level...)
	b = append(append(b, `","msg":"`...), event...)
	b = append(append(b, `","node":"`...), l.node...)
	b = append(b, '"')
	ln.buf = b
	return ln
}

// key appends the name of a field, without escapes.
func (ln *Line) key(k string) {
	ln.buf = append(append(append(ln.buf, ",\""...), k...), "\":"...)
}

// Str adds a string field, quoted as in Go; an empty string is left out. Invalid UTF-8, most
// ASCII control characters, and characters above U+FFFF that can't be printed become escapes
// such as \x00, \a and \U000e0001, which JSON does not have; a JSON parser rejects such a line.
func (ln *Line) Str(k, v string) *Line {
	if v != "" {
		ln.key(k)
		ln.buf = strconv.AppendQuote(ln.buf, v)
	}
	return ln
}

// Int adds an integer field.
func (ln *Line) Int(k string, v int64) *Line {
	ln.key(k)
	ln.buf = strconv.AppendInt(ln.buf, v, 10)
	return ln
}

// Ms adds a duration in milliseconds, with 1 decimal.
func (ln *Line) Ms(k string, d time.Duration) *Line {
	ln.key(k)
	ln.buf = strconv.AppendFloat(ln.buf, float64(d.Microseconds())/1000, 'f', 1, 64)
	return ln
}

// Err adds the field "error" with the text of err; nil is left out.
func (ln *Line) Err(err error) *Line {
	if err == nil {
		return ln
	}
	return ln.Str("error", err.Error())
}

// End completes the line and appends it to the buffer, or drops it when it exceeds the rate
// limit or the buffer. The line must not be used afterwards.
func (ln *Line) End() {
	ln.buf = append(ln.buf, "}\n"...)
	l := ln.logger
	l.mu.Lock()
	if ln.unlimited || l.takeToken() {
		l.add(ln.buf)
	} else {
		l.dropped++
	}
	l.mu.Unlock()
	ln.logger = nil
	linePool.Put(ln)
}

// takeToken takes one token from the bucket and reports whether there was one. The caller
// holds l.mu.
func (l *Logger) takeToken() bool {
	now := time.Now()
	l.tokens = min(linesPerSecond, l.tokens+now.Sub(l.refilled).Seconds()*linesPerSecond)
	l.refilled = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
