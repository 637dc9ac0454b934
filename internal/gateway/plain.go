package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/forward"
	"github.com/buckthornroute/buckthornroute/platform"
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/routing"
)

// plainBytes is the approximate number of bytes that a call on a route without streams
// transfers in addition to the body of the request: both heads and the body of the answer.
const plainBytes = 2 << 10

// servePlain serves a call whose answer is not a stream.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, j *job) {
	j.started = j.call.Program != ""
	j.info = routing.CallInfo{Object: j.call.AffinityKey, Domain: string(g.cfg.FailureDomain), Bytes: plainBytes + len(j.body)}
	for {
		res, err := g.send(ctx, j, nil)
		if res == nil && g.callerGone(ctx, j, err) {
			abort()
		}
		if err != nil {
			g.refuseOrFail(w, j, noSendReason(err), err)
			return
		}
		body, err := g.readPlain(j, res)
		if err == nil && !g.shouldRetry(j, res) {
			g.finishPlain(j, res)
			g.deliver(w, j, res.answer, body)
			return
		}
		res.err = err
		outcome := outcomeOf(ctx, res)
		if err == nil { // a complete 5xx answer that is not delivered
			outcome = routing.OutcomeInconclusive
		}
		g.finish(res, outcome)
		if err != nil {
			g.sendUnanswered(ctx, j, res)
		} else {
			g.completed(j)
		}
		if g.callerGone(ctx, j, err) {
			abort()
		}
		if !g.mayResend(j, res) {
			g.refuseOrFail(w, j, failureReason(res), err)
			return
		}
		g.logResend(j, res)
	}
}

// shouldRetry reports whether to try another upstream instead of delivering a complete answer:
// the answer is a 5xx, the call is repeatable, and it may be sent once more.
func (g *Gateway) shouldRetry(j *job, res *sendResult) bool {
	return res.answer.Status >= http.StatusInternalServerError && j.route.Kind == relay.Repeatable && j.sends < j.maxSends()
}

// noSendReason returns the logged reason why a call was not sent.
func noSendReason(err error) string {
	switch {
	case errors.Is(err, errQuarantined):
		return reasonQuarantined
	case errors.Is(err, errShutdown):
		return "shutting_down"
	case errors.Is(err, errLimited):
		return "upstreams_limited"
	case errors.Is(err, errNoVersion):
		return "no_upstream_of_version"
	case errors.Is(err, errExcluded):
		return "versions_excluded"
	case errors.Is(err, errQuota):
		return reasonQuotaUnknown
	default:
		return "no_upstream"
	}
}

// failureReason returns the logged reason why the result of a send is not used.
func failureReason(res *sendResult) string {
	switch {
	case res.notSent:
		return "not_sent"
	case res.notRun:
		return "upstream_refused"
	case errors.Is(res.err, forward.ErrMalformed):
		return "malformed_answer"
	default:
		return "answer_lost"
	}
}

// logResend logs that the result of a send is not used and the call is sent to another upstream.
func (g *Gateway) logResend(j *job, res *sendResult) {
	g.env.Requests.Warn("send_failed").Str("request", j.call.ID).Str("upstream", res.upstream).Str("software", j.software).Str("reason", failureReason(res)).
		Ms("after_ms", time.Since(res.sentAt)).Ms("left_ms", j.left()).Int("sends", int64(j.sends)).Err(res.err).End()
}

// readPlain reads the complete body of the answer to a send. It returns an error when there is
// no usable answer, when the upstream has not run the call, or when the body can't be read.
func (g *Gateway) readPlain(j *job, res *sendResult) ([]byte, error) {
	if res.err != nil {
		return nil, res.err
	}
	if res.notRun {
		return nil, errors.Newf("the upstream has not run the call, status %d", res.answer.Status)
	}
	return g.readAnswer(j, res.answer)
}

// finishPlain finishes a send whose answer is delivered. It reports the duration to the balancer
// unless the answer is an error.
func (g *Gateway) finishPlain(j *job, res *sendResult) {
	took := time.Since(res.sentAt)
	g.finish(res, routing.OutcomeSuccess)
	g.completed(j)
	if res.answer.Status < http.StatusBadRequest {
		g.mu.Lock()
		g.balancer.ObserveCall(time.Now(), j.service, res.upstream, took)
		g.mu.Unlock()
	}
}

// deliver sends an upstream's complete answer to the caller.
func (g *Gateway) deliver(w http.ResponseWriter, j *job, a *forward.Answer, body []byte) {
	g.metrics.answered.Inc(1)
	g.metrics.latency.RecordDuration(time.Since(j.start))
	platform.CopyAnswer(w.Header(), a.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if length := a.Header.Get("Content-Length"); j.request.Method == http.MethodHead {
		w.Header().Del("Content-Length")
		if length != "" { // that of the body which a GET would have
			w.Header().Set("Content-Length", length)
		}
	}
	g.logOutcome(j, "answered", a.Status, "", nil, 0)
	g.setWriteDeadline(w, j, time.Now().Add(writeGrace))
	g.writeHead(w, j, a.Status)
	if _, err := w.Write(body); err != nil {
		g.requestLog("answer_not_taken", j).Err(err).End()
	}
}
