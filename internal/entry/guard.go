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

// callPass is the condition on which the guard admits an attempt.
type callPass struct {
	// alone reports whether no other call may run on the upstream during the attempt.
	alone bool
	// avoid is the upstream that must not run the attempt; empty for none.
	avoid structs.UpstreamID
}

// callGuard drives the quarantine and retry machines: it decides whether and how a model
// call may run, and whether it is retried after a failed attempt. It prevents requests that
// crash upstreams from running again, limits retries, and stops calls to failing upstreams.
type callGuard struct {
	log    *eventlog.Logger
	send   func(to structs.NodeID, e *peerpb.Envelope)
	others func() []structs.NodeID

	mu         sync.Mutex
	quarantine *quarantine.Machine
	retry      *retry.Machine
	rng        *rand.Rand
}

func newCallGuard(node structs.NodeID, seed uint64, log *eventlog.Logger, send func(structs.NodeID, *peerpb.Envelope), others func() []structs.NodeID) *callGuard {
	return &callGuard{
		log:        log,
		send:       send,
		others:     others,
		quarantine: quarantine.New(quarantine.DefaultConfig(node)),
		retry:      retry.New(retry.DefaultConfig(seed)),
		rng:        rand.New(rand.NewPCG(seed, seed)),
	}
}

// quarantineTick is the time between two ticks of the quarantine machine.
const quarantineTick = time.Second

// run ticks the quarantine machine every quarantineTick until ctx ends.
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

// step passes a message to the quarantine machine, carries out its effects, and returns the
// answer to an Admit; nil for other messages.
func (g *callGuard) step(msg quarantine.Message) quarantine.Effect {
	g.mu.Lock()
	effects := g.quarantine.Step(time.Now(), msg)
	g.mu.Unlock()
	var answer quarantine.Effect
	for _, effect := range effects {
		switch e := effect.(type) {
		case quarantine.Run, quarantine.Wait, quarantine.Refuse:
			answer = e
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
	return answer
}

func (g *callGuard) logChange(e quarantine.StateChanged) {
	event := eventlog.RequestSuspected
	switch e.State {
	case quarantine.Quarantined:
		event = eventlog.RequestQuarantined
	case quarantine.Cleared:
		event = eventlog.RequestCleared
	}
	g.log.Emit(event, eventlog.Fields{Step: "quarantine", Detail: e.Fingerprint.String()})
}

// Kinds of the quarantine machine's messages.
const (
	kindRecords = "records"
	kindDigest  = "digest"
)

// gossipFanout is the number of entries that a message is sent to. Digests bring the others
// up to date within a few ticks.
const gossipFanout = 8

// gossip sends a message to gossipFanout other entries, chosen at random for each message.
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
		g.log.Emit(eventlog.WorkerFailed, eventlog.Fields{Step: "spread quarantine", Peer: string(to), Err: err})
		return
	}
	g.send(to, e)
}

// receive processes a message of another entry's quarantine machine.
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

// admit waits until the call may run and returns how, or an error that states why it may
// not. A quarantined request is refused at once.
func (g *callGuard) admit(ctx context.Context, call *structs.ModelCall) (callPass, error) {
	admit := quarantine.Admit{
		Call:        call.Call,
		Attempt:     max(call.HomeAttempt, 1),
		Fingerprint: quarantine.FingerprintOf(call.Model, call.Messages),
	}
	for {
		switch answer := g.step(admit).(type) {
		case quarantine.Run:
			return callPass{alone: answer.Alone, avoid: answer.Avoid}, nil
		case quarantine.Refuse:
			r := *answer.Refusal
			r.Final = true
			return callPass{}, &r
		case quarantine.Wait:
			if err := sleepUntil(ctx, answer.Until); err != nil {
				return callPass{}, err
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

// allows reports whether calls may be sent to the upstream: its circuit is closed, or open
// and due for a probe.
func (g *callGuard) allows(now time.Time, upstream structs.UpstreamID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retry.Allows(now, upstream)
}

// sent records that an attempt is sent to the upstream.
func (g *callGuard) sent(now time.Time, call *structs.ModelCall, upstream structs.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retry.Step(now, retry.Sent{Call: call.Call, Attempt: max(call.HomeAttempt, 1), Upstream: upstream})
}

// finished reports to the quarantine machine how an attempt admitted by pass ended.
func (g *callGuard) finished(call *structs.ModelCall, upstream structs.UpstreamID, pass callPass, err error) {
	if crashed(err) {
		g.step(quarantine.Crashed{Call: call.Call, Upstream: upstream, Alone: pass.alone})
		return
	}
	g.step(quarantine.Ended{Call: call.Call, Ran: err == nil})
}

func crashed(err error) bool {
	var r *structs.Refusal
	return errors.As(err, &r) && r.Step == structs.StepCrash
}

// judge reports the result of an attempt to the retry machine. It returns nil after a
// success, and otherwise the failure, with the machine's decision: RetryAfter when the call
// is retried, Final when it is given up.
func (g *callGuard) judge(now time.Time, call *structs.ModelCall, upstream structs.UpstreamID, err error, loads []structs.Load) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	try := max(call.HomeAttempt, 1)
	if err == nil {
		g.note(g.retry.Step(now, retry.Succeeded{Call: call.Call, Attempt: try, Upstream: upstream}))
		return nil
	}
	var r *structs.Refusal
	if !errors.As(err, &r) {
		return err
	}
	effects := g.retry.Step(now, retry.Failed{
		Call:     call.Call,
		Attempt:  try,
		Upstream: upstream,
		Refusal:  r,
		Deadline: call.Deadline,
		Loads:    loads,
	})
	g.note(effects)
	return outcomeOf(now, r, effects)
}

// outcomeOf returns the refusal with the retry machine's decision in RetryAfter or Final.
func outcomeOf(now time.Time, r *structs.Refusal, effects []retry.Effect) error {
	for _, effect := range effects {
		switch e := effect.(type) {
		case retry.Retry:
			again := *r
			again.RetryAfter = e.At.Sub(now)
			return &again
		case retry.GiveUp:
			final := *e.Refusal
			final.Final = true
			return &final
		}
	}
	return r
}

// note logs changes of circuits, and calls given up because the retry budget is spent.
func (g *callGuard) note(effects []retry.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case retry.CircuitChanged:
			event := eventlog.CircuitClosed
			if e.Open {
				event = eventlog.CircuitOpened
			}
			g.log.Emit(event, eventlog.Fields{Step: "route", Peer: string(e.Upstream)})
		case retry.GiveUp:
			if e.BudgetSpent {
				g.log.Emit(eventlog.RetryBudgetExhausted, eventlog.Fields{Step: "retry", Call: e.Call, Err: e.Refusal})
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
