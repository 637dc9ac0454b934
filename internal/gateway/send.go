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
	u, conns, ok := g.choose(j)
	if !ok {
		return nil, errNoUpstream
	}
	res := &result{upstream: u.ID, sentAt: time.Now()}
	head := platform.AppendRequest(make([]byte, 0, headBytes), j.request, platform.Send{
		Instance: u.ID, Left: j.left(), LastEvent: lastEvent, Priority: -1,
	}, len(j.body))
	req := forward.Request{
		Address: u.Address, ID: j.call.ID, Method: j.request.Method, Head: head, Body: j.body,
		Deadline: j.deadline.Add(answerSlack), MaxConns: conns, MaxRest: maxRest,
	}
	if !j.route.MayRepeat() {
		req.MaxRest = maxRestOnce
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
		res.err = check(res.answer)
	}
	j.sends++
	return res, nil
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

// choose picks the upstream and records the call there.
func (g *Gateway) choose(j *job) (*relay.Upstream, int, bool) {
	now := time.Now()
	f := g.fleet.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	seats := f.seats[j.service]
	pick, ok := g.book.Choose(now, seats, &j.work, j.tried)
	if !ok {
		return nil, 0, false
	}
	u := f.registry.Get(pick.ID)
	for i := range seats {
		if seats[i].ID == pick.ID {
			g.book.Started(now, seats[i], &j.work)
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
func (g *Gateway) finish(res *result, v routing.Verdict) {
	if res.answer != nil {
		res.answer.Close()
	}
	g.mu.Lock()
	g.book.Ended(time.Now(), res.upstream, v)
	g.mu.Unlock()
}

// verdict is what a send that gave no usable answer says of its upstream.
func verdict(ctx context.Context, res *result) routing.Verdict {
	switch {
	case ctx.Err() != nil || errors.Is(res.err, errCallerGone):
		return routing.Silent
	case res.notRun && res.answer.Status == http.StatusMisdirectedRequest:
		return routing.Failed
	case res.notRun:
		return routing.Silent
	case errors.Is(res.err, forward.ErrBusy):
		return routing.Silent
	default:
		return routing.Failed
	}
}

// again reports whether the call may be sent to a further upstream after res.
func (g *Gateway) again(j *job, res *result) bool {
	if !res.notSent && !res.notRun {
		j.mayHaveRun = true
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
