package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/forward"
	"github.com/buckthornroute/buckthornroute/platform"
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/routing"
)

// maxPlainAnswer bounds an answer that is held whole before it goes to the caller.
const maxPlainAnswer = 16 << 20

// plainBytes is about what the heads and the body of an answer take that is no stream.
const plainBytes = 2 << 10

// servePlain sends a call whose answer is one body.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, j *job) {
	j.work = routing.CallInfo{Object: j.call.AffinityKey, Domain: string(g.cfg.FailureDomain), Bytes: plainBytes + len(j.body)}
	for {
		res, err := g.send(ctx, j, nil)
		if res == nil && g.callerGone(ctx, j, err) {
			return
		}
		if err != nil {
			g.giveUp(w, j, noSendReason(err), err)
			return
		}
		body, err := g.readPlain(res)
		if err == nil && !g.worthRepeating(j, res) {
			g.served(j, res)
			g.deliver(w, j, res.answer, body)
			return
		}
		res.err = err
		v := verdict(ctx, res)
		if err == nil {
			v = routing.OutcomeInconclusive
		}
		g.finish(res, v)
		if g.callerGone(ctx, j, err) {
			return
		}
		if !g.again(j, res) {
			g.giveUp(w, j, reasonOf(res), err)
			return
		}
		g.noteResend(j, res)
	}
}

// worthRepeating reports whether an upstream failed a call that another may still answer.
func (g *Gateway) worthRepeating(j *job, res *result) bool {
	return res.answer.Status >= http.StatusInternalServerError && j.route.Kind == relay.Repeatable && j.sends < j.maxSends()
}

// noSendReason names why a call was not sent.
func noSendReason(err error) string {
	if errors.Is(err, errQuarantined) {
		return "quarantined"
	}
	return "no_upstream"
}

// reasonOf names why a send gave no answer.
func reasonOf(res *result) string {
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

func (g *Gateway) noteResend(j *job, res *result) {
	g.env.Requests.Warn("send_failed").Str("request", j.call.ID).Str("upstream", res.upstream).Str("reason", reasonOf(res)).
		Ms("after_ms", time.Since(res.sentAt)).Ms("left_ms", j.left()).Int("sends", int64(j.sends)).Err(res.err).End()
}

// readPlain reads the whole answer of a send that has one.
func (g *Gateway) readPlain(res *result) ([]byte, error) {
	if res.err != nil {
		return nil, res.err
	}
	if res.notRun {
		return nil, errors.Newf("the upstream refused with status %d", res.answer.Status)
	}
	return readWhole(res.answer)
}

func readWhole(a *forward.Answer) ([]byte, error) {
	if a.Length >= 0 && a.Length <= maxPlainAnswer {
		body := make([]byte, a.Length)
		if _, err := io.ReadFull(a, body); err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		// One more read finds the end, by which the connection can be kept.
		if n, err := a.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(forward.ErrMalformed, "bytes after the answer")
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(a, maxPlainAnswer))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if !a.Whole() {
		return nil, errors.Wrap(forward.ErrMalformed, "the answer is too long")
	}
	return body, nil
}

// served ends a send that was answered.
func (g *Gateway) served(j *job, res *result) {
	took := time.Since(res.sentAt)
	g.finish(res, routing.OutcomeSuccess)
	if res.answer.Status < http.StatusBadRequest {
		g.mu.Lock()
		g.balancer.ObserveCall(j.service, res.upstream, took)
		g.mu.Unlock()
	}
}

// deliver writes an upstream's whole answer to the caller.
func (g *Gateway) deliver(w http.ResponseWriter, j *job, a *forward.Answer, body []byte) {
	g.metrics.answered.Inc(1)
	g.metrics.latency.RecordDuration(time.Since(j.start))
	platform.CopyAnswer(w.Header(), a.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	g.outcome(j, "answered", a.Status, "", nil, 0)
	w.WriteHeader(a.Status)
	if _, err := w.Write(body); err != nil {
		g.line("answer_not_taken", j).Err(err).End()
	}
}
