package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/quarantine"
	"github.com/buckthornroute/buckthornroute/retry"
	"github.com/buckthornroute/buckthornroute/structs"
)

// callPermit states how a call may run.
type callPermit struct {
	// alone requires that no other call runs at the upstream at the same time. The side
	// calls such a call exclusive.
	alone bool
	// avoid is the upstream that the request may have crashed; "" for none.
	avoid structs.UpstreamID
}

// callGuard drives the quarantine and retry machines. It decides whether and how a model
// call may run, and whether it is retried after a failed attempt. It quarantines requests
// that crash upstreams, limits retries, and opens the circuit breaker of an upstream that
// fails.
type callGuard struct {
	logger *eventlog.Logger
	send   func(to structs.NodeID, e *peerpb.Envelope)
	others func() []structs.NodeID

	mu         sync.Mutex
	quarantine *quarantine.Machine
	retry      *retry.Machine
	rng        *rand.Rand
}

func newCallGuard(node structs.NodeID, seed uint64, log *eventlog.Logger, send func(structs.NodeID, *peerpb.Envelope), others func() []structs.NodeID) *callGuard {
	return &callGuard{
		logger:     log,
		send:       send,
		others:     others,
		quarantine: quarantine.New(quarantine.DefaultConfig(node)),
		retry:      retry.New(retry.DefaultConfig(seed)),
		rng:        rand.New(rand.NewPCG(seed, seed)),
	}
}

// quarantineTick is the time between two ticks of the quarantine machine.
const quarantineTick = time.Second

// run sends the quarantine machine a tick every quarantineTick until ctx ends.
func (g *callGuard) run(ctx context.Context) error {
	ticker := time.NewTicker(quarantineTick)
	defer ticker.Stop()
	for {
		g.step(quarantine.Tick{})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// step passes a message to the quarantine machine, carries out the effects, and returns
// the decision (Run, Wait or Refuse) if the message was an Admit, or nil.
func (g *callGuard) step(msg quarantine.Message) quarantine.Effect {
	g.mu.Lock()
	effects := g.quarantine.Step(time.Now(), msg)
	g.mu.Unlock()
	var decision quarantine.Effect
	for _, effect := range effects {
		switch e := effect.(type) {
		case quarantine.Run, quarantine.Wait, quarantine.Refuse:
			decision = e
		case quarantine.BroadcastRecords:
			g.gossip(kindRecords, e.Records)
		case quarantine.BroadcastDigest:
			g.gossip(kindDigest, e.Digest)
		case quarantine.SendRecords:
			g.sendTo(e.To, kindRecords, e.Records)
		case quarantine.StateChanged:
			g.logChange(e)
		}
	}
	return decision
}

// logChange logs that a request is suspected, quarantined or cleared.
func (g *callGuard) logChange(e quarantine.StateChanged) {
	event := eventlog.RequestSuspected
	switch e.State {
	case quarantine.Quarantined:
		event = eventlog.RequestQuarantined
	case quarantine.Cleared:
		event = eventlog.RequestCleared
	}
	g.logger.Emit(event, eventlog.Fields{Step: "quarantine", Detail: e.Fingerprint.String()})
}

// Kinds of the quarantine machine's messages.
const (
	kindRecords = "records"
	kindDigest  = "digest"
)

// gossipFanout is the number of entries that each message is sent to. The other entries
// learn of it within a few ticks through the digests.
const gossipFanout = 8

// gossip sends a message to gossipFanout other entries, chosen at random each time.
func (g *callGuard) gossip(kind string, message any) {
	others := g.others()
	g.mu.Lock()
	g.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	g.mu.Unlock()
	for _, to := range others[:min(gossipFanout, len(others))] {
		g.sendTo(to, kind, message)
	}
}

func (g *callGuard) sendTo(to structs.NodeID, kind string, message any) {
	e, err := envelope(machineQuarantine, kind, message)
	if err != nil {
		g.logger.Emit(eventlog.WorkerFailed, eventlog.Fields{Step: "spread quarantine", Peer: string(to), Err: err})
		return
	}
	g.send(to, e)
}

// receive handles a message from the quarantine machine of another entry.
func (g *callGuard) receive(from structs.NodeID, e *peerpb.Envelope) error {
	switch e.GetKind() {
	case kindRecords:
		records, err := decodeAs[[]quarantine.Record](e.GetBody())
		if err != nil {
			return err
		}
		g.step(quarantine.RecordsReceived{Records: records})
	case kindDigest:
		digest, err := decodeAs[uint64](e.GetBody())
		if err != nil {
			return err
		}
		g.step(quarantine.DigestReceived{From: from, Digest: digest})
	default:
		return errors.Wrapf(ErrUnknownMessage, "kind %q of machine %q", e.GetKind(), machineQuarantine)
	}
	return nil
}

// admit waits until the call may run and returns its permit, or the refusal. A
// quarantined request is refused immediately.
func (g *callGuard) admit(ctx context.Context, call *structs.ModelCall) (callPermit, error) {
	admit := quarantine.Admit{
		Call:        call.Call,
		Attempt:     max(call.HomeAttempt, 1), // an unset HomeAttempt is the first attempt
		Fingerprint: quarantine.FingerprintOf(call.Model, call.Messages),
	}
	for {
		switch decision := g.step(admit).(type) {
		case quarantine.Run:
			return callPermit{alone: decision.Alone, avoid: decision.Avoid}, nil
		case quarantine.Refuse:
			r := *decision.Refusal
			r.Final = true
			return callPermit{}, &r
		case quarantine.Wait:
			if err := sleepUntil(ctx, decision.Until); err != nil {
				return callPermit{}, err
			}
		}
	}
}

func sleepUntil(ctx context.Context, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// allows reports whether calls may be sent to the upstream: its circuit is closed, or a
// probe is due.
func (g *callGuard) allows(now time.Time, upstream structs.UpstreamID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retry.Allows(now, upstream)
}

// sent reports to the retry machine that the call is sent to the upstream.
func (g *callGuard) sent(now time.Time, call *structs.ModelCall, upstream structs.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retry.Step(now, retry.Sent{Call: call.Call, Attempt: max(call.HomeAttempt, 1), Upstream: upstream})
}

// finished reports to the quarantine machine the outcome of the attempt that the permit
// allowed; decideRetry reports it to the retry machine.
func (g *callGuard) finished(call *structs.ModelCall, upstream structs.UpstreamID, permit callPermit, err error) {
	if isCrash(err) {
		g.step(quarantine.Crashed{Call: call.Call, Upstream: upstream, Alone: permit.alone})
		return
	}
	g.step(quarantine.Ended{Call: call.Call, Ran: err == nil})
}

// isCrash reports whether err is the refusal of a call whose upstream crashed.
func isCrash(err error) bool {
	var r *structs.Refusal
	return errors.As(err, &r) && r.Step == structs.StepCrash
}

// decideRetry reports the result of an attempt to the retry machine. It returns nil after a
// success, and otherwise the failure with the machine's decision: RetryAfter when the call
// is retried, Final when it is given up.
func (g *callGuard) decideRetry(now time.Time, call *structs.ModelCall, upstream structs.UpstreamID, err error, loads []structs.Load) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := max(call.HomeAttempt, 1)
	if err == nil {
		g.logEffects(g.retry.Step(now, retry.Succeeded{Call: call.Call, Attempt: attempt, Upstream: upstream}))
		return nil
	}
	var r *structs.Refusal
	if !errors.As(err, &r) {
		return err
	}
	effects := g.retry.Step(now, retry.Failed{
		Call:     call.Call,
		Attempt:  attempt,
		Upstream: upstream,
		Refusal:  r,
		Deadline: call.Deadline,
		Loads:    loads,
	})
	g.logEffects(effects)
	return withRetryDecision(now, r, effects)
}

// withRetryDecision returns the refusal with the retry machine's decision in RetryAfter or
// Final.
func withRetryDecision(now time.Time, r *structs.Refusal, effects []retry.Effect) error {
	for _, effect := range effects {
		switch e := effect.(type) {
		case retry.Retry:
			retryable := *r
			retryable.RetryAfter = e.At.Sub(now)
			return &retryable
		case retry.GiveUp:
			final := *e.Refusal
			final.Final = true
			return &final
		}
	}
	return r
}

// logEffects logs changed circuits and calls that were given up for lack of retry budget.
func (g *callGuard) logEffects(effects []retry.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case retry.CircuitChanged:
			event := eventlog.CircuitClosed
			if e.Open {
				event = eventlog.CircuitOpened
			}
			g.logger.Emit(event, eventlog.Fields{Step: "route", Peer: string(e.Upstream)})
		case retry.GiveUp:
			if e.BudgetSpent {
				g.logger.Emit(eventlog.RetryBudgetExhausted, eventlog.Fields{Step: "retry", Call: e.Call, Err: e.Refusal})
			}
		}
	}
}

// openCircuits returns the upstreams whose circuits are open.
func (g *callGuard) openCircuits() []structs.UpstreamID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.retry.OpenCircuits())
}
