package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/reqlog"
)

// Why a connection ended while a request on it was arriving or not answered.
const (
	connEndCaller    = "caller_closed" // before the request was whole
	connEndTimeout   = "head_timeout"
	connEndShutdown  = "shutdown"           // the process ended before the request was whole
	connEndMalformed = "malformed"          // net/http has answered that
	connEndAborted   = "aborted"            // by the request's handler, which logs why
	connEndBehind    = "behind_last_answer" // bytes of a request came behind one whose answer said that the connection ends
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

// end returns how the connection ended.
func (c *callerConn) end() connEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := connEnd{before: c.requests, err: c.lastErr}
	if c.begun && c.answered && !c.reading && c.more() {
		e.reason = connEndBehind
	}
	if !c.begun || c.answered {
		return e
	}
	e.arriving = time.Since(c.begunAt)
	switch {
	case c.parsed:
		e.reason = connEndAborted
		e.before--
	case errors.Is(c.lastErr, net.ErrClosed):
		e.reason = connEndShutdown
	case isTimeout(c.lastErr):
		e.reason = connEndTimeout
	case c.lastErr != nil:
		e.reason = connEndCaller
	default:
		e.reason = connEndMalformed
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
	case connEndShutdown, connEndBehind:
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

// connectionRefused logs a connection that was accepted and can't be used.
func (g *Gateway) connectionRefused(err error) {
	g.env.Requests.Warn("connection_refused").Err(err).End()
}
