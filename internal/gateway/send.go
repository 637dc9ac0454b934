package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/forward"
	"github.com/buckthornroute/buckthornroute/platform"
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/routing"
)

const (
	// headBytes is the initial capacity, in bytes, of the buffer for the head of a request.
	headBytes = 1 << 10
	// maxIdleRepeatable is how long a connection may have been idle and still be used to
	// send a repeatable call.
	maxIdleRepeatable = 10 * time.Second
	// maxIdleOnce is the same bound for a call that must not be sent again: upstreams may
	// drop idle connections silently, some after 300 ms, and a call sent on one is lost.
	maxIdleOnce = 250 * time.Millisecond
	// connShare is the share of an upstream's connection limit that all entries use
	// together.
	connShare = 0.9
	// minConns is the least connection limit of one entry for one upstream.
	minConns = 4
)

// errQuarantined is returned for a call whose content has crashed too many upstreams.
var errQuarantined = errors.New("the request has crashed too many upstreams")

// errNoUpstream is returned when no upstream is available for the call.
var errNoUpstream = errors.New("no upstream of the service is available")

// sendResult is the result of sending a call to one upstream.
type sendResult struct {
	// answer is nil when no head of an answer was received. err states why the answer is missing
	// or can't be used; it is nil when notRun is set.
	answer *forward.Answer
	err    error
	// notSent is set when nothing reached the upstream, notRun when the upstream reported
	// that it has not run the call.
	notSent, notRun bool
	upstream        string
	// incarnation is the hash of the upstream's incarnation.
	incarnation uint64
	sentAt      time.Time
}

// send chooses an upstream and sends the call there. A stream continues after the event
// lastEvent, or starts from its beginning when that is nil. When no upstream was chosen, the
// result is nil and the error is errCallerGone, errQuarantined, errNoUpstream, errNoVersion,
// errExcluded, errLimited or errShutdown. The failure of
// a send is in the result. The result must be passed to finish.
func (g *Gateway) send(ctx context.Context, j *job, lastEvent *int64) (*sendResult, error) {
	if ctx.Err() != nil {
		return nil, endOfCall(ctx)
	}
	if !g.admitContent(ctx, j) {
		return nil, errQuarantined
	}
	u, conns, err := g.choosePermitted(ctx, j)
	for errors.Is(err, errNoUpstream) && g.awaitCleared(ctx, j) {
		u, conns, err = g.choosePermitted(ctx, j)
	}
	if errors.Is(err, errNoUpstream) && j.route.Kind == relay.Stream && g.excludedUpstreams(j) > 0 {
		g.metrics.streamsExcluded.Inc(1)
		err = errors.Wrapf(errExcluded, "service %q, waited %s", j.service, j.withdrawalWait.Round(time.Millisecond))
	}
	if err != nil {
		return nil, err
	}
	if err := g.renewToken(ctx, j); err != nil {
		g.unchoose(u)
		return nil, err
	}
	if err := g.endsBeforeShutdown(j); err != nil {
		g.unchoose(u)
		return nil, err
	}
	// The call puts its prompt into the upstream's cache, which the other entries should know.
	if j.pick.Cached == 0 {
		g.cached.add(u.ID, j.info.Prompt)
	}
	res := &sendResult{upstream: u.ID, incarnation: incarnationHash(u), sentAt: time.Now()}
	head := platform.AppendRequest(make([]byte, 0, headBytes), j.request, platform.SendOptions{
		Instance: u.ID, Timeout: j.left(), LastEvent: lastEvent, Priority: -1,
		Identified: j.identified, Organisation: j.organisationName(),
	}, len(j.body))
	req := forward.Request{
		Address: u.Address, ID: j.call.ID, Method: j.request.Method, Head: head, Body: j.body,
		Deadline: j.deadline.Add(answerGrace), MaxConns: conns, MaxIdle: j.maxIdle(), OpenedBefore: j.openedBefore, Memory: g.answers.of(u.ID),
	}
	if limit := j.silenceLimit(); limit > 0 {
		req.Deadline = earlier(req.Deadline, res.sentAt.Add(limit))
	}
	res.answer, res.err = g.pool.Send(ctx, &req)
	// With status 421 another upstream answers.
	if res.err == nil && res.answer.Status != http.StatusMisdirectedRequest {
		g.limits.observeAnswer(j, res, res.answer)
		if l := res.answer.Head.Load; l.Slowdown > 0 {
			g.mu.Lock()
			g.balancer.ObserveMachineLoad(time.Now(), u.ID, routing.MachineLoad{InFlight: l.Running + l.Waiting, Slowdown: l.Slowdown})
			g.mu.Unlock()
		}
		if res.answer.Head.Leaving {
			g.upstreamLeaves(res.incarnation, "answer to "+j.call.ID, true)
		}
	}
	switch {
	case errors.Is(res.err, forward.ErrNotSent):
		res.notSent = true
		j.notSent++
		return res, nil
	case res.err == nil && res.answer.Head.NotRun:
		res.notRun = true
	case res.err == nil:
		if res.err = checkAnswer(res.answer); res.err == nil {
			// The silence limit bounds the wait for the head only.
			res.err = res.answer.SetDeadline(j.deadline.Add(answerGrace))
		}
	}
	j.sends++
	j.reached = j.reached || !res.notRun
	return res, nil
}

const (
	// The silence limit of a repeatable call is silenceFloor plus silenceFactor times the
	// predicted time to the first event of a stream, or to the end of any other answer. It is
	// several times the prediction, and more than the slowest 10% of calls take when nothing
	// is wrong.
	silenceFactor = 3
	silenceFloor  = 400 * time.Millisecond
	// gapFactor times the route's gap target, plus silenceFloor, is the longest pause
	// between two events of a stream.
	gapFactor = 3
)

// silenceLimit returns how long to wait for the head of the answer before the call is sent
// to another upstream. It is zero, for no limit, when the call must not be repeated or no
// send is left after the present one, which j.sends does not count yet. It is not related to
// relay.Route.CallerSilenceTimeout, which is how long a caller waits.
func (j *job) silenceLimit() time.Duration {
	if !j.route.MayRepeat() || j.sends+1 >= j.maxSends() {
		return 0
	}
	bound := silenceFloor + silenceFactor*j.pick.Finish
	if j.route.Kind == relay.Stream {
		bound = silenceFloor + silenceFactor*j.pick.FirstEvent
	}
	return bound
}

// gapLimit returns how long a stream may pause before it is continued at another upstream.
// It is zero, for no limit, when the call must not be repeated, no send is left after the
// present one, which j.sends counts already, or the route has no gap target.
func (j *job) gapLimit() time.Duration {
	if !j.route.MayRepeat() || j.sends >= j.maxSends() || j.route.GapTarget <= 0 {
		return 0
	}
	return silenceFloor + gapFactor*j.route.GapTarget
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// checkAnswer returns an error for an answer that must not be sent to the caller. A
// successful answer must have the upstream's seal header; an error that callers may retry
// must state that the call has not run.
func checkAnswer(a *forward.Answer) error {
	switch {
	case a.Head.Encoded:
		return errors.Wrap(forward.ErrMalformed, "the body has a content encoding")
	case a.Status < http.StatusMultipleChoices && !a.Head.Sealed:
		return errors.Wrap(forward.ErrMalformed, "a successful answer has no seal")
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests || a.Status == http.StatusRequestTimeout:
		return errors.Wrapf(forward.ErrMalformed, "status %d does not say whether the call has run", a.Status)
	default:
		return nil
	}
}

// maxIdle returns how long the connection on which the call is sent may have been idle.
func (j *job) maxIdle() time.Duration {
	if j.route.MayRepeat() {
		return maxIdleRepeatable
	}
	return maxIdleOnce
}

// choose picks an upstream and records the call as running there. It also returns this
// entry's connection limit for the upstream.
func (g *Gateway) choose(j *job) (*relay.Upstream, int, bool) {
	now := time.Now()
	f := g.fleet.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	upstreams := g.candidates(j, f)
	j.info.MaxConnIdle, j.info.Repeatable = j.maxIdle(), j.route.MayRepeat()
	pick, ok := g.balancer.Choose(now, upstreams, &j.info, j.tried)
	if !ok {
		return nil, 0, false
	}
	u := f.registry.Get(pick.ID)
	for i := range upstreams {
		if upstreams[i].ID == pick.ID {
			j.info.Predicted = pick.Finish
			g.balancer.Started(upstreams[i], &j.info)
			break
		}
	}
	j.pick, j.software = pick, u.Version
	j.tried = append(j.tried, pick.ID)
	return u, g.connLimit(j.service), true
}

// connLimit returns this entry's share of an upstream's connection limit; zero when the
// service sets none.
func (g *Gateway) connLimit(service string) int {
	t := g.routes.Load()
	limit := t.Document().Services[service].MaxConns
	if limit <= 0 {
		return 0
	}
	return max(minConns, int(connShare*float64(limit))/g.mesh.Size())
}

// finish releases the answer of a send and reports its outcome to the balancer.
func (g *Gateway) finish(res *sendResult, outcome routing.Outcome) {
	if res.answer != nil {
		res.answer.Close()
	}
	g.mu.Lock()
	g.balancer.Ended(time.Now(), res.upstream, outcome)
	g.mu.Unlock()
}

// outcomeOf returns how a send without a usable answer counts in the failure rate of its
// upstream.
func outcomeOf(ctx context.Context, res *sendResult) routing.Outcome {
	switch {
	case ctx.Err() != nil || errors.IsAny(res.err, errCallerGone, errTokenLimit, errNotBegun):
		return routing.OutcomeInconclusive
	// With status 421 the server at the address states that it is not the chosen upstream.
	case res.notRun && res.answer.Status == http.StatusMisdirectedRequest:
		return routing.OutcomeFailure
	case res.notRun:
		return routing.OutcomeInconclusive
	// A caller may ask for the rest of a stream that has none.
	case errors.IsAny(res.err, forward.ErrBusy, errEmptyStream):
		return routing.OutcomeInconclusive
	default:
		return routing.OutcomeFailure
	}
}

// mayResend updates the call's state after a failed send and reports whether the call may be
// sent to a further upstream.
func (g *Gateway) mayResend(j *job, res *sendResult) bool {
	if !res.notSent && !res.notRun {
		j.mayHaveRun = true
	}
	if j.left() <= 0 || j.request.Context().Err() != nil {
		return false
	}
	if res.notSent {
		return j.notSent < maxNotSent
	}
	if j.sends >= j.maxSends() {
		return false
	}
	if res.notRun || j.route.MayRepeat() {
		g.metrics.resent.Inc(1)
		return true
	}
	return false
}
