package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
)

// engines runs model calls: it chooses the upstream, sends the call to the upstream's
// side and receives the answer. It implements runner.Engines.
type engines struct {
	router *router
	links  map[structs.UpstreamID]*sideLink
	log    structs.LogID
	guard  *callGuard
	holds  *cacheHolds
	preset func() structs.Preset
	now    func() time.Time
}

// Call runs one attempt of a model call. When a side refuses it as not run because it is
// draining or overloaded or its upstream failed, another side is chosen under the same
// attempt; any other failure ends the attempt. The refusal that is returned then carries
// the delay before the next attempt, or is final.
func (e *engines) Call(ctx context.Context, call structs.ModelCall, onChunk func(offset int, text string)) (structs.ModelAnswer, error) {
	permit, err := e.guard.admit(ctx, &call)
	if err != nil {
		return structs.ModelAnswer{}, err
	}
	e.holds.resumed(e.now(), call.Program)
	if routing.IsBaseline(e.preset().Policy) {
		useArrivalOrder(&call)
	}
	answer, upstream, err := e.dispatch(ctx, &call, permit, onChunk)
	e.guard.finished(&call, upstream, permit, err)
	now := e.now()
	return answer, e.guard.decideRetry(now, &call, upstream, err, e.router.modelLoads(now))
}

// dispatch chooses an upstream and sends the call to its side. While mayTryOtherSide allows
// it, dispatch goes on with an upstream that it has not tried. It returns the upstream that
// it tried last, or "" when no upstream was left.
func (e *engines) dispatch(ctx context.Context, call *structs.ModelCall, permit callPermit, onChunk func(offset int, text string)) (structs.ModelAnswer, structs.UpstreamID, error) {
	blocks := kvcache.Blocks(call.Messages)
	tried := map[structs.UpstreamID]bool{}
	avoided := map[structs.UpstreamID]bool{}
	if permit.avoid != "" {
		avoided[permit.avoid] = true
	}
	for {
		now := e.now()
		allows := func(u structs.UpstreamID) bool { return !tried[u] && e.guard.allows(now, u) }
		d, ok := e.router.choose(now, call, blocks, avoided, allows)
		if !ok {
			return structs.ModelAnswer{}, "", e.errNoUpstream(call, tried)
		}
		tried[d.Upstream] = true
		e.guard.sent(now, call, d.Upstream)
		answer, err := e.callSide(ctx, call, d, permit, onChunk)
		if err == nil || !mayTryOtherSide(err) {
			return answer, d.Upstream, err
		}
	}
}

// useArrivalOrder clears the priority of the call, so that the queue of a side serves
// calls in order of arrival. The baseline policies use it.
func useArrivalOrder(call *structs.ModelCall) {
	call.Attained = 0
	call.Turn = 2 // any turn after the first: the program counts as already started
}

// mayTryOtherSide reports whether the same attempt may be sent to another side: this one
// did not run it because it is draining or overloaded or its upstream failed.
func mayTryOtherSide(err error) bool {
	var r *structs.Refusal
	if !errors.As(err, &r) || r.Outcome != structs.OutcomeNotRun {
		return false
	}
	return r.Code == structs.CodeDraining || r.Code == structs.CodeOverloaded || r.Code == structs.CodeUpstreamFailed
}

// noUpstreamRetry is the retry delay when no upstream takes a call: about the time for
// which a failed upstream stays excluded.
const noUpstreamRetry = time.Second

// errNoUpstream returns the refusal of a call that no upstream takes; tried are the
// upstreams whose sides refused it.
func (e *engines) errNoUpstream(call *structs.ModelCall, tried map[structs.UpstreamID]bool) error {
	r := structs.Refusalf(structs.CodeOverloaded, structs.OutcomeNotRun, "route",
		"no upstream takes call %s for model %q; %d refused it", call.Call, call.Model, len(tried))
	r.RetryAfter = noUpstreamRetry
	return r
}

// callSide sends the call to the side of the chosen upstream. It passes the result and the
// reported load to the router, and updates the program's hold after an answer.
func (e *engines) callSide(ctx context.Context, call *structs.ModelCall, d routing.Decision, permit callPermit, onChunk func(offset int, text string)) (structs.ModelAnswer, error) {
	link := e.links[d.Upstream]
	options := callOptions{log: e.log, alone: permit.alone}
	answer, load, err := link.call(ctx, call, options, onChunk)
	now := e.now()
	e.router.done(now, call, routingResult(answer, err))
	if load.Upstream != "" {
		e.router.reportWithAnswer(now, load)
	}
	if err == nil {
		// Release the former hold before the next one begins.
		e.holds.release(call.Program)
		e.holds.paused(now, call, answer, load)
	}
	return answer, err
}

// routingResult returns the result of sending a call to a side, for the routing state. A
// refusal as not run (other than a failed upstream), a cancellation and a passed deadline
// are inconclusive about the upstream.
func routingResult(answer structs.ModelAnswer, err error) routing.Result {
	if err == nil {
		return routing.Result{Usage: answer.Usage}
	}
	var r *structs.Refusal
	if !errors.As(err, &r) || r.Code == structs.CodeCancelled || r.Code == structs.CodeDeadlineExceeded {
		return routing.Result{Inconclusive: true}
	}
	if r.Outcome == structs.OutcomeNotRun && r.Code != structs.CodeUpstreamFailed {
		return routing.Result{Inconclusive: true}
	}
	return routing.Result{Failed: true}
}
