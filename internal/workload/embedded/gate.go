package embedded

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// gate is the admission gate of one engine. All calls pass through it: it runs as many calls
// as the batch has slots and orders the calls that wait.
type gate struct {
	id    structs.UpstreamID
	model *standin.Model
	limit int
	fifo  bool // whether waiting calls have no priorities, as with the baselines
	dead  atomic.Bool

	mu         sync.Mutex
	running    int
	queue      admission.Queue
	waiters    map[structs.CallID]chan struct{}
	lastReport structs.Load
	computed   float64       // sum of computed tokens, which decays exponentially
	held       int64         // tokens that programs hold
	decayedAt  time.Time     // time up to which computed has decayed
	window     time.Duration // computedWindow in real time
	sequence   uint64
}

func newGate(id structs.UpstreamID, model *standin.Model, cfg Config) *gate {
	return &gate{
		id:         id,
		model:      model,
		limit:      cfg.Deployment.Engines.BatchLimit,
		fifo:       routing.IsBaseline(cfg.Preset.Policy),
		waiters:    make(map[structs.CallID]chan struct{}),
		decayedAt:  time.Now(),
		window:     time.Duration(float64(computedWindow) * cfg.TimeScale),
		lastReport: model.Load(),
	}
}

// run waits for a slot in the batch and runs the call. prefill is the expected number of prompt
// tokens to compute.
func (g *gate) run(ctx context.Context, call *structs.ModelCall, prefill int64, first func()) (structs.Message, structs.Usage, error) {
	if err := g.acquireSlot(ctx, call, prefill); err != nil {
		return structs.Message{}, structs.Usage{}, err
	}
	defer g.releaseSlot()
	return g.generate(ctx, call, first)
}

// acquireSlot takes a free slot, or waits in the queue until a call passes on its slot or ctx
// ends.
func (g *gate) acquireSlot(ctx context.Context, call *structs.ModelCall, prefill int64) error {
	g.mu.Lock()
	if g.running < g.limit && g.queue.Len() == 0 {
		g.running++
		g.mu.Unlock()
		return nil
	}
	w := admission.NewWaitingCall(call, prefill)
	if g.fifo {
		// The queue orders calls by their arrival if they have no attained service and belong
		// to a later turn than the first, so all calls get turn 2.
		w = admission.WaitingCall{Call: call.Call, Attempt: call.Attempt, Turn: 2, PrefillTokens: prefill}
	}
	ready := make(chan struct{})
	g.waiters[call.Call] = ready
	g.queue.Push(time.Now(), w)
	g.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return g.abandon(ctx, call, ready)
	}
}

// abandon removes a call from the queue. If the call has received a slot meanwhile, abandon
// releases it.
func (g *gate) abandon(ctx context.Context, call *structs.ModelCall, ready chan struct{}) error {
	g.mu.Lock()
	waiting := g.queue.Remove(call.Call, call.Attempt)
	delete(g.waiters, call.Call)
	g.mu.Unlock()
	if !waiting {
		<-ready
		g.releaseSlot()
	}
	return ctx.Err()
}

// releaseSlot passes the slot to the next waiting call, or frees it if none waits.
func (g *gate) releaseSlot() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next, ok := g.queue.Pop()
	if !ok {
		g.running--
		return
	}
	close(g.waiters[next.Call])
	delete(g.waiters, next.Call)
}

var errEngineFailed = errors.New("engine ended the call without an answer")

// generate runs the call on the engine and calls first for every token of the answer.
func (g *gate) generate(ctx context.Context, call *structs.ModelCall, first func()) (structs.Message, structs.Usage, error) {
	running, err := g.model.Start(engine.ChatRequest{
		Model: call.Model, Messages: engine.ToChat(call.Messages), MaxTokens: call.MaxTokens,
		CallID: call.Call, Attempt: call.Attempt, Program: call.Program,
	})
	if err != nil {
		return structs.Message{}, structs.Usage{}, err
	}
	defer running.Cancel()
	for {
		select {
		case _, open := <-running.Tokens():
			if open {
				first()
				continue
			}
			if running.Cancelled() {
				return structs.Message{}, structs.Usage{}, errEngineFailed
			}
			u := running.Usage()
			usage := structs.Usage{PromptTokens: u.PromptTokens, CachedTokens: u.PromptTokensDetails.CachedTokens,
				GeneratedTokens: u.CompletionTokens, Calls: 1}
			g.countTokens(usage)
			return running.Answer(), usage, nil
		case <-ctx.Done():
			return structs.Message{}, structs.Usage{}, ctx.Err()
		}
	}
}

// countTokens adds the tokens that the engine computed for a call.
func (g *gate) countTokens(u structs.Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decay(time.Now())
	g.computed += float64(u.PromptTokens - u.CachedTokens + u.GeneratedTokens)
}

// computedWindow is the modelled time constant of the decay of computed tokens: after it, a
// computed token counts about a third.
const computedWindow = 10 * time.Second

// decay applies the decay of the computed tokens up to now. The caller holds g.mu.
func (g *gate) decay(now time.Time) {
	g.computed *= math.Exp(-now.Sub(g.decayedAt).Seconds() / g.window.Seconds())
	g.decayedAt = now
}

// hold makes the engine hold the cache of a program's last call and returns its length in
// tokens, 0 if the engine refuses.
func (g *gate) hold(program structs.ProgramID) int64 {
	h, err := g.model.Hold(program)
	if err != nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held += h.Tokens
	return h.Tokens
}

// release ends a hold of the given number of tokens.
func (g *gate) release(program structs.ProgramID, tokens int64) {
	g.model.Release(program)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held -= tokens
}

func (g *gate) heldTokens() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// evictionAge returns the estimated age at which an unused block is evicted, in real time. It
// is 0 while the cache is less than 90% full or less than one token per second is computed.
func (g *gate) evictionAge() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evictionAgeLocked()
}

// evictionAgeLocked is evictionAge for a caller that holds g.mu.
func (g *gate) evictionAgeLocked() time.Duration {
	g.decay(time.Now())
	rate := g.computed / g.window.Seconds()
	if g.lastReport.KVUsedTokens < g.lastReport.KVLimitTokens*9/10 || rate < 1 {
		return 0
	}
	return time.Duration(float64(g.lastReport.KVLimitTokens) / rate * float64(time.Second))
}

// load returns the last report of the engine with the exact figures of the gate.
func (g *gate) load() structs.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.withOwnFigures(g.lastReport)
}

// withOwnFigures returns the report with the figures that the gate knows exactly and the next
// sequence number. The caller holds g.mu.
func (g *gate) withOwnFigures(l structs.Load) structs.Load {
	g.sequence++
	l.Sequence = g.sequence
	l.Incarnation = "1"
	l.Running = g.running
	l.Queued = g.queue.Len()
	l.QueuedPrefillTokens = g.queue.PrefillTokens()
	l.HeldTokens = g.held
	l.EvictionAge = g.evictionAgeLocked()
	return l
}

// report returns a new load report of the engine. Unlike load, it keeps the engine's own numbers
// of calls, which are old by the report lag and wrong if the engine has that fault, and adds
// the calls that wait at the gate.
func (g *gate) report() structs.Load {
	l := g.model.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastReport = l
	running, queued := l.Running, l.Queued
	l = g.withOwnFigures(l)
	l.Running = running
	l.Queued += queued
	return l
}

// kill crashes the engine and ends its reports.
func (g *gate) kill() {
	g.dead.Store(true)
	g.model.Crash()
}

// sendReport passes the load and the cache events of the engine to the entries. A dead engine
// reports nothing.
func (g *gate) sendReport(entries []*entry) {
	if g.dead.Load() {
		return
	}
	l := g.report()
	for _, e := range entries {
		e.report(time.Now(), l)
		e.readCacheEvents(g)
	}
}
