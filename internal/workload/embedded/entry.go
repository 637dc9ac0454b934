package embedded

import (
	"fmt"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
)

// entry decides for its programs by what it alone knows.
type entry struct {
	system *System

	mu        sync.Mutex
	state     *routing.State
	policy    routing.Policy
	admission *admission.Machine
	keeper    *kvcache.RetentionPolicy
	// points are the last cache events taken from each engine.
	points map[structs.UpstreamID]uint64
}

// Modelled times of the entry's beliefs.
const (
	silence       = 3 * time.Second
	failureMin    = 500 * time.Millisecond
	failureMax    = 10 * time.Second
	slownessDecay = 10 * time.Second
	cacheAge      = 60 * time.Second
	roundTrip     = 2 * time.Millisecond
)

func newEntry(s *System, n int) (*entry, error) {
	policy, err := routing.NewPolicy(s.cfg.Preset, s.cfg.Seed+uint64(n))
	if err != nil {
		return nil, fmt.Errorf("entry %d: %w", n, err)
	}
	e := &entry{
		system: s,
		state: routing.NewState(routing.Config{
			ReportLag:        s.real(s.cfg.Deployment.Engines.ReportLag + followInterval),
			RoundTrip:        s.real(roundTrip),
			ReportTimeout:    s.real(silence),
			FailureMin:       s.real(failureMin),
			FailureMax:       s.real(failureMax),
			SlownessHalfLife: s.real(slownessDecay),
			Cache:            kvcache.ViewConfig{MaxAge: s.real(cacheAge)},
		}),
		policy:    policy,
		admission: admission.New(admission.Config{Capacity: capacity(s.cfg), RetryMin: s.real(retryMin), RetryMax: s.real(retryMax)}),
		keeper:    kvcache.NewRetentionPolicy(),
		points:    make(map[structs.UpstreamID]uint64),
	}
	e.admission.Step(time.Now(), admission.Switch{Preset: s.cfg.Preset})
	return e, nil
}

const (
	retryMin = 500 * time.Millisecond
	retryMax = 10 * time.Second
	// turnsPerPlace is how many turns may be under way for each place of a batch: most
	// of a turn is tool pauses and waiting.
	turnsPerPlace = 4
)

// capacity is an entry's part of the turns that the engines may have under way.
func capacity(cfg Config) int {
	return turnsPerPlace * cfg.Deployment.Engines.Count * cfg.Deployment.Engines.BatchLimit / cfg.Entries
}

// offer asks to let a turn in; nil means that it is.
func (e *entry) offer(o admission.Offer) *structs.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, effect := range e.admission.Step(time.Now(), o) {
		if refuse, ok := effect.(admission.Refuse); ok {
			return refuse.Refusal
		}
	}
	return nil
}

func (e *entry) ended(program structs.ProgramID, late bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.Step(time.Now(), admission.Ended{Program: program, Late: late})
}

// look returns what the policy would choose now.
func (e *entry) look(call *structs.ModelCall, blocks []uint64) (routing.Decision, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	return e.policy.Choose(now, call, blocks, e.state.Candidates(now, structs.KindModel))
}

// send chooses an engine and records the call as sent there.
func (e *entry) send(call *structs.ModelCall, blocks []uint64) (routing.Decision, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	d, ok := e.policy.Choose(now, call, blocks, e.state.Candidates(now, structs.KindModel))
	if ok {
		e.state.Sent(now, call, blocks, d)
	}
	return d, ok
}

// done records the end of a call and the exact load that came with it.
func (e *entry) done(call *structs.ModelCall, r routing.Result, l structs.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.state.Done(now, call.Call, call.Attempt, r)
	e.state.ReportWithReply(now, l)
}

func (e *entry) report(now time.Time, l structs.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Report(now, l)
}

// follow takes the cache events of an engine, or a snapshot when events were lost.
func (e *entry) follow(g *gate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	view := e.state.Cache(g.id)
	if view == nil {
		return
	}
	events := g.model.CacheEvents(e.points[g.id])
	for _, c := range events.Events {
		view.Apply(now, kvcache.Event{Incarnation: events.Incarnation, Sequence: c.Sequence, Stored: c.Stored, Removed: c.Removed})
		e.points[g.id] = c.Sequence
	}
	if len(events.Events) == 0 {
		view.Apply(now, kvcache.Event{Incarnation: events.Incarnation, Sequence: e.points[g.id]})
	}
	if view.NeedsSnapshot(now) {
		s := g.model.CacheSnapshot()
		view.Resync(now, kvcache.Snapshot(s))
		e.points[g.id] = s.Sequence
	}
}

// pause learns how long a tool took.
func (e *entry) pause(tool string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keeper.Observe(tool, took)
}

func (e *entry) keep(p kvcache.Pause) kvcache.RetentionDecision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.keeper.Decide(p)
}
