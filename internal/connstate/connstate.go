// Package connstate follows the requests on one HTTP/1.1 connection by the bytes that were read from it. An HTTP server
// knows of a request once its head is parsed; whether a connection may end has to be decided from what has arrived. The
// package is a pure state machine: its callers pass bytes, times and the progress of the server. It is not safe for
// concurrent use.
package connstate

import (
	"bytes"
	"time"
)

// NewConnGrace is how long a connection may wait for its first request once connections are retired. Callers send it
// as soon as the connection is established.
const NewConnGrace = time.Second

// Requests is the state of the requests on one connection.
type Requests struct {
	// pending are bytes that were read from the socket and not passed to the server yet.
	pending []byte
	// body is how many bytes of the present request's body the server has yet to get, if the request states its length.
	body int64
	// partial is set after bytes that are not the end of a head or of a body. newline is set after the end of a line, cr after
	// a CR behind that.
	partial, newline, cr bool
	// idle is set from an answer until the head of the next request was parsed.
	idle bool
	// begun is set while a request is arriving or not answered; begunAt is when its first byte was read.
	begun   bool
	begunAt time.Time
	// parsed is set once the request's head was parsed, reading until its body was read, answered once its handler
	// has ended.
	parsed, reading, answered bool
	// quietSince is when the connection was accepted or became idle.
	quietSince time.Time
	// heads counts the requests whose heads were parsed.
	heads int64
	// failure is why the last read failed, unless a request has begun since.
	failure Failure
}

// New returns the state of a connection that was accepted at a time.
func New(now time.Time) Requests { return Requests{quietSince: now} }

// Limit returns how many of n bytes may be read next: none behind the end of a body.
func (r *Requests) Limit(n int) int {
	if r.body > 0 && int64(n) > r.body {
		return int(r.body)
	}
	return n
}

// Received records bytes that were read from the socket, at most Limit, and returns how many of them the server
// gets now. The others belong to the next request, and Take returns them.
func (r *Requests) Received(now time.Time, b []byte) int {
	n := r.advance(now, b)
	r.Arrived(b[n:])
	return n
}

// Arrived records bytes that were read from the socket and that the server does not get now.
func (r *Requests) Arrived(b []byte) { r.pending = append(r.pending, b...) }

// Pending reports whether Take has bytes.
func (r *Requests) Pending() bool { return len(r.pending) > 0 }

// Take moves bytes that were recorded before to b and returns how many they are.
func (r *Requests) Take(now time.Time, b []byte) int {
	n := copy(b[:r.Limit(len(b))], r.pending)
	n = r.advance(now, b[:n])
	if r.pending = r.pending[n:]; len(r.pending) == 0 {
		r.pending = nil
	}
	return n
}

// advance moves on over the bytes, up to the next end of a head or of a body, and returns how many they are. A body in
// chunks ends like a head; other empty lines in it only make a read shorter.
func (r *Requests) advance(now time.Time, b []byte) int {
	if r.body == 0 && !r.partial && empty(b) {
		return len(b)
	}
	if !r.begun {
		r.begin(now)
	}
	if r.body > 0 {
		r.body -= int64(len(b))
		r.partial = r.body > 0
		return len(b)
	}
	for i := 0; i < len(b); i++ {
		switch {
		case !r.newline:
			next := bytes.IndexByte(b[i:], '\n')
			if next < 0 {
				r.partial = true
				return len(b)
			}
			i += next
			r.newline = true
		case b[i] == '\n':
			r.partial, r.newline, r.cr = false, false, false
			return i + 1
		case b[i] == '\r' && !r.cr:
			r.cr = true
		default:
			r.newline, r.cr = false, false
		}
	}
	r.partial = true
	return len(b)
}

// empty reports whether bytes are no part of a request: old callers send an empty line behind a body, and servers
// skip empty lines before a head.
func empty(b []byte) bool { return len(bytes.TrimLeft(b, "\r\n")) == 0 }

// begin records that a request has begun to arrive.
func (r *Requests) begin(now time.Time) {
	r.begun, r.begunAt, r.parsed, r.answered, r.failure = true, now, false, false, NoFailure
}

// StartRequest records that the head of a request was parsed; length is that of its body, negative if unknown.
func (r *Requests) StartRequest(length int64) {
	r.parsed, r.reading, r.body = true, length != 0, max(length, 0)
	r.heads++
}

// BodyRead records that the body of the request was read.
func (r *Requests) BodyRead() { r.reading = false }

// BodyUnread reports whether the request has a body that was not read whole.
func (r *Requests) BodyUnread() bool { return r.reading }

// EndRequest records that the handler of the request has ended with an answer.
func (r *Requests) EndRequest() { r.answered = true }

// BecomeActive records that the head of a request was parsed, or was found to be malformed.
func (r *Requests) BecomeActive() { r.idle = false }

// BecomeIdle records that the answer was written and the connection stays open.
func (r *Requests) BecomeIdle(now time.Time) {
	r.idle, r.begun, r.quietSince = true, false, now
	if r.more() {
		r.begin(now)
	}
}

// Idle reports whether the server waits for the next head.
func (r *Requests) Idle() bool { return r.idle }

// Quiet reports whether no request is arriving or unanswered.
func (r *Requests) Quiet() bool { return !r.begun }

// Another reports whether bytes of another request were read behind the present one. That is known once its body was read.
func (r *Requests) Another() bool { return !r.reading && r.more() }

func (r *Requests) more() bool { return r.partial || !empty(r.pending) }

// Deadline returns when a connection ends on which no request begins; ok is false if the server decides that.
// retiring says that connections without a request end now.
func (r *Requests) Deadline(now time.Time, retiring bool, idleTimeout time.Duration) (deadline time.Time, ok bool) {
	switch {
	case retiring && r.heads == 0:
		return r.quietSince.Add(NewConnGrace), true
	case retiring:
		return now, true
	default:
		return r.quietSince.Add(idleTimeout), r.idle
	}
}

// Failure is why a read of the connection failed.
type Failure uint8

// Failures of a read.
const (
	NoFailure Failure = iota
	FailedByCaller
	FailedByDeadline
	FailedByClose // by this process
)

// Failed records why a read failed.
func (r *Requests) Failed(f Failure) { r.failure = f }

// Why a connection ended while a request on it was arriving or not answered.
const (
	EndCaller    = "caller_closed" // before the request was whole
	EndTimeout   = "head_timeout"
	EndShutdown  = "shutdown"           // the process ended before the request was whole
	EndMalformed = "malformed"          // the server has answered that
	EndAborted   = "aborted"            // by the request's handler
	EndBehind    = "behind_last_answer" // bytes of a request came behind one whose answer said that the connection ends
)

// End is how a connection ended.
type End struct {
	// Reason is empty if no request was on the connection.
	Reason string
	// Arriving is how long ago the request had begun to arrive, Before the number of requests before it.
	Arriving time.Duration
	Before   int64
}

// End returns how the connection, which ends now, has ended.
func (r *Requests) End(now time.Time) End {
	e := End{Before: r.heads}
	if r.begun && r.answered && r.Another() {
		e.Reason = EndBehind
	}
	if !r.begun || r.answered {
		return e
	}
	e.Arriving = now.Sub(r.begunAt)
	switch {
	case r.parsed:
		e.Reason = EndAborted
		e.Before--
	case r.failure == FailedByClose:
		e.Reason = EndShutdown
	case r.failure == FailedByDeadline:
		e.Reason = EndTimeout
	case r.failure == FailedByCaller:
		e.Reason = EndCaller
	default:
		e.Reason = EndMalformed
	}
	return e
}
