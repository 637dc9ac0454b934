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

// gate is the only way to one engine: it runs as many calls as the batch takes and
// orders those that wait.
type gate struct {
	id    structs.UpstreamID
	model *standin.Model
	limit int
	plain bool
	dead  atomic.Bool

	mu       sync.Mutex
	running  int
	queue    admission.Queue
	waiters  map[structs.CallID]chan struct{}
	last     structs.Load
	computed float64 // tokens computed, older ones counting less
	held     int64   // tokens that programs hold
	since    time.Time
	window   time.Duration
	sequence uint64
}

func newGate(id structs.UpstreamID, model *standin.Model, cfg Config) *gate {
	return &gate{
		id:      id,
		model:   model,
		limit:   cfg.Deployment.Engines.BatchLimit,
		plain:   routing.IsBaseline(cfg.Preset.Policy),
		waiters: make(map[structs.CallID]chan struct{}),
		since:   time.Now(),
		window:  time.Duration(float64(computedWindow) * cfg.TimeScale),
		last:    model.Load(),
	}
}

// run waits for a place in the batch and runs the call.
func (g *gate) run(ctx context.Context, call *structs.ModelCall, prefill int64, first func()) (structs.Message, structs.Usage, error) {
	if err := g.enter(ctx, call, prefill); err != nil {
		return structs.Message{}, structs.Usage{}, err
	}
	defer g.leave()
	return g.generate(ctx, call, first)
}

func (g *gate) enter(ctx context.Context, call *structs.ModelCall, prefill int64) error {
	g.mu.Lock()
	if g.running < g.limit && g.queue.Len() == 0 {
		g.running++
		g.mu.Unlock()
		return nil
	}
	w := admission.NewWaitingCall(call, prefill)
	if g.plain {
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
		return g.giveUp(ctx, call, ready)
	}
}

// giveUp takes a call out of the queue, or passes its place on when it just got one.
func (g *gate) giveUp(ctx context.Context, call *structs.ModelCall, ready chan struct{}) error {
	g.mu.Lock()
	waiting := g.queue.Remove(call.Call, call.Attempt)
	delete(g.waiters, call.Call)
	g.mu.Unlock()
	if !waiting {
		<-ready
		g.leave()
	}
	return ctx.Err()
}

// leave passes the place to the next waiting call.
func (g *gate) leave() {
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

var errEngineFailed = errors.New("engine ended the call without its answer")

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
			g.count(usage)
			return running.Answer(), usage, nil
		case <-ctx.Done():
			return structs.Message{}, structs.Usage{}, ctx.Err()
		}
	}
}

func (g *gate) count(u structs.Usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.age(time.Now())
	g.computed += float64(u.PromptTokens - u.CachedTokens + u.GeneratedTokens)
}

// computedWindow is the modelled time after which a computed token counts for a third.
const computedWindow = 10 * time.Second

// age takes time off what was computed; the caller holds g.mu.
func (g *gate) age(now time.Time) {
	g.computed *= math.Exp(-now.Sub(g.since).Seconds() / g.window.Seconds())
	g.since = now
}

// hold keeps the cache of a program's last call and returns its length in tokens.
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

// release ends a hold of so many tokens.
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

// turnover returns how long an unused block survives once the cache is full.
func (g *gate) turnover() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.survival()
}

// survival is turnover for a caller that holds g.mu.
func (g *gate) survival() time.Duration {
	g.age(time.Now())
	rate := g.computed / g.window.Seconds()
	if g.last.KVUsedTokens < g.last.KVLimitTokens*9/10 || rate < 1 {
		return 0
	}
	return time.Duration(float64(g.last.KVLimitTokens) / rate * float64(time.Second))
}

// load returns the gate's exact figures beside what the engine last reported.
func (g *gate) load() structs.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exact(g.last)
}

// exact puts the gate's own figures into a report; the caller holds g.mu.
func (g *gate) exact(l structs.Load) structs.Load {
	g.sequence++
	l.Sequence = g.sequence
	l.Incarnation = "1"
	l.Running = g.running
	l.Queued = g.queue.Len()
	l.QueuedPrefillTokens = g.queue.PrefillTokens()
	l.HeldTokens = g.held
	l.EvictionAge = g.survival()
	return l
}

// report returns what the engine reports, with the calls that wait at the gate.
func (g *gate) report() structs.Load {
	l := g.model.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last = l
	running, queued := l.Running, l.Queued
	l = g.exact(l)
	l.Running = running
	l.Queued += queued
	return l
}

// kill ends the engine and its reports for good.
func (g *gate) kill() {
	g.dead.Store(true)
	g.model.Crash()
}

// follow hands the engine's load and cache events to the entries. Nothing is heard of
// a dead engine.
func (g *gate) follow(entries []*entry) {
	if g.dead.Load() {
		return
	}
	l := g.report()
	for _, e := range entries {
		e.report(time.Now(), l)
		e.follow(g)
	}
}
