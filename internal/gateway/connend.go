package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/connstate"
	"github.com/buckthornroute/buckthornroute/internal/reqlog"
)

// connEnd is how a connection ended, with the error of its last read that failed.
type connEnd struct {
	connstate.End
	err error
}

// end returns how the connection ended.
func (c *callerConn) end() connEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := connEnd{c.requests.End(time.Now()), c.lastErr}
	if e.Reason == connstate.EndMalformed || e.Reason == connstate.EndBehind {
		e.err = nil // the last failure is that of an earlier read
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
	switch e.Reason {
	case "", connstate.EndAborted:
		return
	case connstate.EndShutdown, connstate.EndBehind:
		g.metrics.requestsCut.Inc(1)
		line = g.env.Requests.Warn("request_not_read")
	case connstate.EndTimeout:
		g.metrics.headsTimedOut.Inc(1)
		line = g.env.Requests.Info("request_not_read")
	case connstate.EndMalformed:
		g.metrics.headsMalformed.Inc(1)
		line = g.env.Requests.Info("request_not_read")
	default:
		g.metrics.headsBrokenOff.Inc(1)
		line = g.env.Requests.Info("request_not_read")
	}
	line.Str("reason", e.Reason).Ms("arriving_ms", e.Arriving).Int("requests_before", e.Before).Err(e.err).End()
}

// connectionRefused logs a connection that was accepted and can't be used.
func (g *Gateway) connectionRefused(err error) {
	g.env.Requests.Warn("connection_refused").Err(err).End()
}
