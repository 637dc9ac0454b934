package gateway

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/forward"
	"github.com/buckthornroute/buckthornroute/platform"
	"github.com/buckthornroute/buckthornroute/quarantine"
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/routing"
)

const (
	// headBytes is the room for the head of a request.
	headBytes = 1 << 10
	// maxRest bounds how long a connection that is used for a repeatable call rested.
	maxRest = 10 * time.Second
	// maxRestOnce bounds it for a call that must not be sent again: upstreams may forget
	// a connection that rests, some after 300 ms, and what is sent on it is then lost.
	maxRestOnce = 250 * time.Millisecond
	// connShare is the part of an upstream's connections that entries use in all.
	connShare = 0.9
	// minConns is the least number of connections of one entry to one upstream.
	minConns = 4
)

// errQuarantined says that the call's content has crashed each upstream that ran it.
var errQuarantined = errors.New("the request crashed upstreams")

// errNoUpstream says that no upstream of the service may take the call.
var errNoUpstream = errors.New("no upstream")

// result is what became of one send.
type result struct {
	answer *forward.Answer
	err    error
	// notSent says that nothing reached the upstream, notRun that it said that it has
	// not run the call.
	notSent, notRun bool
	upstream        string
	sentAt          time.Time
}

// send chooses an upstream and sends the call there, from lastEvent on. The caller must
// end the result with finish.
func (g *Gateway) send(ctx context.Context, j *job, lastEvent *int64) (*result, error) {
	if ctx.Err() != nil {
		return nil, errCallerGone
	}
	if g.quarantined(j) {
		return nil, errQuarantined
	}
	u, conns, ok := g.choose(j)
	if !ok {
		return nil, errNoUpstream
	}
	if j.pick.Cached == 0 {
		g.mesh.queueCachedPrompt(u.ID, j.work.Prompt)
	}
	res := &result{upstream: u.ID, sentAt: time.Now()}
	head := platform.AppendRequest(make([]byte, 0, headBytes), j.request, platform.SendOptions{
		Instance: u.ID, Timeout: j.left(), LastEvent: lastEvent, Priority: -1,
	}, len(j.body))
	req := forward.Request{
		Address: u.Address, ID: j.call.ID, Method: j.request.Method, Head: head, Body: j.body,
		Deadline: j.deadline.Add(answerSlack), MaxConns: conns, MaxRest: j.maxRest(),
	}
	if quiet := j.quietBound(); quiet > 0 {
		req.Deadline = earlier(req.Deadline, res.sentAt.Add(quiet))
	}
	res.answer, res.err = g.pool.Send(ctx, &req)
	switch {
	case errors.Is(res.err, forward.ErrNotSent):
		res.notSent = true
		j.notSent++
		return res, nil
	case res.err == nil && res.answer.Head.NotRun:
		res.notRun = true
	case res.err == nil:
		if res.err = check(res.answer); res.err == nil {
			res.err = res.answer.SetDeadline(j.deadline.Add(answerSlack))
		}
	}
	j.sends++
	return res, nil
}

const (
	// quietFactor and quietFloor bound the silence of an upstream before a call that may
	// be repeated goes on elsewhere: several times what was predicted, and more than the
	// slowest tenth of calls takes when nothing is wrong.
	quietFactor = 3
	quietFloor  = 400 * time.Millisecond
	// quietGaps is the number of pauses, each as long as is still on time, after which a
	// stream counts as silent.
	quietGaps = 3
)

// quietBound returns how long an upstream may be silent before the call is sent to
// another; zero when it must not be, or no other send is left.
func (j *job) quietBound() time.Duration {
	if !j.route.MayRepeat() || j.sends+1 >= j.maxSends() {
		return 0
	}
	bound := quietFloor + quietFactor*j.pick.Finish
	if j.route.Kind == relay.Stream {
		bound = quietFloor + quietFactor*j.pick.FirstEvent
	}
	return bound
}

// gapBound returns how long a stream may pause before it goes on elsewhere.
func (j *job) gapBound() time.Duration {
	if !j.route.MayRepeat() || j.sends >= j.maxSends() || j.route.GapTarget <= 0 {
		return 0
	}
	return quietFloor + quietGaps*j.route.GapTarget
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// check reports an answer that must not reach the caller.
func check(a *forward.Answer) error {
	switch {
	case a.Head.Encoded:
		return errors.Wrap(forward.ErrMalformed, "the body is encoded")
	case a.Status < http.StatusMultipleChoices && !a.Head.Sealed:
		return errors.Wrap(forward.ErrMalformed, "a success has no seal")
	case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests || a.Status == http.StatusRequestTimeout:
		return errors.Wrapf(forward.ErrMalformed, "status %d does not say whether the call has run", a.Status)
	default:
		return nil
	}
}

// maxRest bounds how long a connection may have rested on which the call is sent.
func (j *job) maxRest() time.Duration {
	if j.route.MayRepeat() {
		return maxRest
	}
	return maxRestOnce
}

// choose picks the upstream and records the call there.
func (g *Gateway) choose(j *job) (*relay.Upstream, int, bool) {
	now := time.Now()
	f := g.fleet.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	seats := f.byService[j.service]
	j.work.MaxConnIdle, j.work.Repeatable = j.maxRest(), j.route.MayRepeat()
	pick, ok := g.balancer.Choose(now, seats, &j.work, j.tried)
	if !ok {
		return nil, 0, false
	}
	u := f.registry.Get(pick.ID)
	for i := range seats {
		if seats[i].ID == pick.ID {
			g.balancer.Started(seats[i], &j.work)
			break
		}
	}
	j.pick = pick
	j.tried = append(j.tried, pick.ID)
	return u, g.connLimit(j.service), true
}

// connLimit is this entry's part of an upstream's connections.
func (g *Gateway) connLimit(service string) int {
	t := g.routes.Load()
	limit := t.Document().Services[service].MaxConns
	if limit <= 0 {
		return 0
	}
	return max(minConns, int(connShare*float64(limit))/g.mesh.size())
}

// finish ends a send.
func (g *Gateway) finish(res *result, v routing.Outcome) {
	if res.answer != nil {
		res.answer.Close()
	}
	g.mu.Lock()
	g.balancer.Ended(time.Now(), res.upstream, v)
	g.mu.Unlock()
}

// verdict is what a send that gave no usable answer says of its upstream.
func verdict(ctx context.Context, res *result) routing.Outcome {
	switch {
	case ctx.Err() != nil || errors.Is(res.err, errCallerGone):
		return routing.OutcomeInconclusive
	case res.notRun && res.answer.Status == http.StatusMisdirectedRequest:
		return routing.OutcomeFailure
	case res.notRun:
		return routing.OutcomeInconclusive
	case errors.Is(res.err, forward.ErrBusy):
		return routing.OutcomeInconclusive
	default:
		return routing.OutcomeFailure
	}
}

// again reports whether the call may be sent to a further upstream after res.
func (g *Gateway) again(j *job, res *result) bool {
	if !res.notSent && !res.notRun {
		j.mayHaveRun = true
		g.strike(j, res)
	}
	if j.left() <= 0 {
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

// strike notes that an upstream broke off a call, which may be what crashed it.
func (g *Gateway) strike(j *job, res *result) {
	if !errors.Is(res.err, forward.ErrLost) || errors.Is(res.err, os.ErrDeadlineExceeded) || j.left() <= 0 {
		return
	}
	k := quarantine.CrashReport{Request: j.fingerprint, Upstream: routing.HashID(res.upstream)}
	g.mu.Lock()
	g.crashes.Add(time.Now(), k)
	count := g.crashes.Count(time.Now(), k.Request)
	g.mu.Unlock()
	g.mesh.queueCrashReport(k)
	if count > 1 {
		g.env.Requests.Warn("request_broke_upstreams").Str("request", j.call.ID).Str("upstream", res.upstream).Int("upstreams", int64(count)).End()
	}
}

// quarantined reports whether the call's content has crashed too many upstreams.
func (g *Gateway) quarantined(j *job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Refused(time.Now(), j.fingerprint)
}
