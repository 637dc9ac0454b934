package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
)

const (
	// loadBalancerDrainDelay covers a load balancer that checks readiness once a second and stops
	// sending connections after 2 failed checks.
	loadBalancerDrainDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period that is left for the last steps and log
	// lines, before the process is killed.
	shutdownMargin = 700 * time.Millisecond
	// answerTimeout, a part of shutdownMargin, is left to answer the calls that are cut off.
	answerTimeout = 400 * time.Millisecond
	// returnMargin is how long after the end of calls unused tokens may still be returned.
	returnMargin = 550 * time.Millisecond
	// returnTimeout bounds the return of unused tokens to budgets whose rows can't be reached.
	returnTimeout = 2 * time.Second
	// cleanUpInterval is the time between two removals of idle budgets.
	cleanUpInterval = 20 * time.Second
)

// errShutdown is the cause of a call that is not sent, or is cut off, since the process is about to end.
var errShutdown = errors.New("the entry shuts down")

// cutByShutdown reports whether a call's context ended because the process is about to end, so that its
// caller still waits for an answer.
func cutByShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShutdown) }

// endOfCall returns why a call's context has ended: errShutdown or errCallerGone.
func endOfCall(ctx context.Context) error {
	if cutByShutdown(ctx) {
		return errShutdown
	}
	return errCallerGone
}

// endsBeforeShutdown returns errShutdown when the process shuts down and the call, for which an upstream was
// picked, would probably not end before.
func (g *Gateway) endsBeforeShutdown(j *job) error {
	s := g.stopping.Load()
	if s == nil {
		return nil
	}
	now := time.Now()
	if s.Admits(now, admission.ShutdownCall{Deadline: j.deadline, Predicted: j.pick.Finish}) {
		return nil
	}
	g.metrics.refusedByShutdown.Inc(1)
	return errors.Wrapf(errShutdown, "%s are left, the call is predicted to take %s", s.End.Sub(now).Round(time.Millisecond), j.pick.Finish.Round(time.Millisecond))
}

// writeHead writes the head of an answer. During a shutdown it says that the connection ends with the answer, unless
// another request has arrived behind this one: that would get no answer.
func (g *Gateway) writeHead(w http.ResponseWriter, j *job, status int) {
	if g.draining.Load() {
		j.discardBody(w)
		if !j.conn.anotherArrived() {
			w.Header().Set("Connection", "close")
		}
	}
	j.headWritten = true
	w.WriteHeader(status)
}

const (
	// unreadBodyWait is how long a refusal in a shutdown waits for the rest of a body, since another request may
	// have arrived behind it, and maxUnreadBody how much of it is read, in bytes.
	unreadBodyWait = 20 * time.Millisecond
	maxUnreadBody  = 256 << 10
)

// discardBody reads what is left of the request's body, as far as it has arrived.
func (j *job) discardBody(w http.ResponseWriter) {
	if !j.conn.bodyUnread() || j.request.Header.Get("Expect") != "" { // such a caller waits to be asked for the body
		return
	}
	if http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyWait)) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, j.request.Body, maxUnreadBody); errors.Is(err, io.EOF) {
		j.conn.bodyRead()
	}
}

// shutdown makes the readiness check fail, waits drainDelay, and lets calls in progress finish
// until shutdownMargin before the end of the grace period. Calls that could not finish by then are
// refused. The remaining ones are cancelled and answered that they may have run, and streams that have
// begun are broken off. Then it returns unused tokens to the budgets and closes the sockets.
func (g *Gateway) shutdown(s *servers) {
	started := time.Now()
	end := started.Add(time.Duration(g.cfg.ShutdownGrace) - shutdownMargin)
	g.stopping.Store(&admission.Shutdown{DrainedAt: started.Add(g.drainDelay), End: end})
	g.draining.Store(true)
	g.env.Events.Emit(eventlog.GatewayStopping, eventlog.Fields{Step: "stop", Count: g.inFlight.Load()})
	// No more claims are acknowledged, so that the handover has all of them.
	g.budgetPeers.handOver(context.Background())
	// The entries that own the budgets from now on need the tokens that this one does not use.
	go g.budgets.releaseAll()
	time.Sleep(min(g.drainDelay, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	s.listener.closeWhenEmpty(ctx)
	// Connections without a request end too: a call that arrived on one later could not be finished in time.
	s.listener.retireIdle()
	if !s.listener.awaitClosed(ctx) {
		g.env.Requests.Warn("calls_cut_by_shutdown").Int("count", g.inFlight.Load()).Int("connections", int64(len(s.listener.open()))).End()
		g.cutCalls(errShutdown)
		answering, cancelAnswering := context.WithTimeout(context.Background(), answerTimeout)
		defer cancelAnswering()
		s.listener.awaitClosed(answering) // what has not ended by then is closed below
	}
	_ = s.callers.Close()
	g.env.Requests.Info("callers_gone").Int("accepted_late", s.listener.late.Load()).Int("connections_ended", s.listener.retired.Load()).Ms("after_ms", time.Since(started)).End()
	returning, cancelReturning := context.WithDeadline(context.Background(), earlier(time.Now().Add(returnTimeout), end.Add(returnMargin)))
	defer cancelReturning()
	g.budgets.returnUnused(returning)
	_ = s.ready.Close()
	_ = s.mesh.Close()
	_ = g.mesh.Close()
}

// cleanUp removes idle budgets at an interval, until ctx ends.
func (g *Gateway) cleanUp(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, cleanUpInterval)
		g.budgets.forgetIdle(time.Now())
		g.updateQuarantineDigest() // records have expired
	}
}
