package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/reqlog"
)

// Why a connection ended while a request on it was arriving or not answered.
const (
	connEndCaller    = "caller_closed" // before the request was whole
	connEndTimeout   = "head_timeout"
	connEndShutdown  = "shutdown"  // the process ended before the request was whole
	connEndRetired   = "retired"   // the request was read on a connection that a shutdown had closed
	connEndMalformed = "malformed" // net/http has answered that
	connEndAborted   = "aborted"   // by the request's handler, which logs why
)

// connEnd is how a connection ended.
type connEnd struct {
	// reason is empty if no request was on the connection.
	reason string
	// arriving is how long ago the request had begun to arrive, before the number of requests before it.
	arriving time.Duration
	before   int64
	err      error
}

// connProgress is how far the present request of a connection has come.
type connProgress struct {
	mu      sync.Mutex
	begunAt time.Time
	// parsed is set once the request's head was parsed, answered once its handler has ended.
	parsed, answered bool
	// requests counts the requests whose heads were parsed.
	requests int64
	// readErr is the error that ended the reads.
	readErr error
}

// begin records that a request has begun to arrive.
func (p *connProgress) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begunAt, p.parsed, p.answered, p.readErr = time.Now(), false, false, nil
}

func (p *connProgress) readFailed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readErr = err
}

// startRequest records that the head of a request was parsed.
func (p *connProgress) startRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parsed = true
	p.requests++
}

// endRequest records that the handler of the request has ended with an answer.
func (p *connProgress) endRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered = true
}

// howEnded returns how the connection ended.
func (c *callerConn) howEnded() connEnd {
	c.progress.mu.Lock()
	defer c.progress.mu.Unlock()
	p := &c.progress
	e := connEnd{before: p.requests, err: p.readErr}
	state := c.state.Load()
	if state == connQuiet || p.answered || state == connRetired && !p.parsed {
		return e
	}
	e.arriving = time.Since(p.begunAt)
	switch {
	case state == connRetired:
		e.reason = connEndRetired
	case p.parsed:
		e.reason = connEndAborted
	case errors.Is(p.readErr, net.ErrClosed):
		e.reason = connEndShutdown
	case isTimeout(p.readErr):
		e.reason = connEndTimeout
	case p.readErr != nil:
		e.reason = connEndCaller
	default:
		e.reason = connEndMalformed
	}
	if p.parsed {
		e.before--
	}
	return e
}

// connOf returns the connection of a request.
func connOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(connKey{}).(*callerConn)
	return c
}

// isTimeout reports whether a deadline has passed.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// connectionEnded logs and counts the end of a connection with a request that no handler has answered or ended.
func (g *Gateway) connectionEnded(e connEnd) {
	var line *reqlog.Line
	switch e.reason {
	case "", connEndAborted:
		return
	case connEndShutdown, connEndRetired:
		g.metrics.requestsCut.Inc(1)
		line = g.env.Requests.Warn("request_not_read")
	case connEndTimeout:
		g.metrics.headsTimedOut.Inc(1)
		line = g.env.Requests.Info("request_not_read")
	case connEndMalformed:
		g.metrics.headsMalformed.Inc(1)
		line = g.env.Requests.Info("request_not_read")
	default:
		g.metrics.headsBrokenOff.Inc(1)
		line = g.env.Requests.Info("request_not_read")
	}
	line.Str("reason", e.reason).Ms("arriving_ms", e.arriving).Int("requests_before", e.before).Err(e.err).End()
}
