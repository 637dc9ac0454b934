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

// entry makes the decisions for its programs. Its state comes only from the engines' reports and
// cache events and from the turns, calls and tool calls of its own programs.
type entry struct {
	system *System

	mu        sync.Mutex
	state     *routing.State
	policy    routing.Policy
	admission *admission.Machine
	retention *kvcache.RetentionPolicy
	// lastEvents has the sequence number of the last cache event read from each engine.
	lastEvents map[structs.UpstreamID]uint64
}

// Modelled times of the routing state of an entry; routing.Config and kvcache.ViewConfig
// describe them.
const (
	reportTimeout    = 3 * time.Second
	failureMin       = 500 * time.Millisecond
	failureMax       = 10 * time.Second
	slownessHalfLife = 10 * time.Second
	cacheMaxAge      = 60 * time.Second
	roundTrip        = 2 * time.Millisecond
)

func newEntry(s *System, n int) (*entry, error) {
	policy, err := routing.NewPolicy(s.cfg.Preset, s.cfg.Seed+uint64(n))
	if err != nil {
		return nil, fmt.Errorf("entry %d: %w", n, err)
	}
	e := &entry{
		system: s,
		state: routing.NewState(routing.Config{
			ReportLag:        s.real(s.cfg.Deployment.Engines.ReportLag + reportInterval),
			RoundTrip:        s.real(roundTrip),
			ReportTimeout:    s.real(reportTimeout),
			FailureMin:       s.real(failureMin),
			FailureMax:       s.real(failureMax),
			SlownessHalfLife: s.real(slownessHalfLife),
			Cache:            kvcache.ViewConfig{MaxAge: s.real(cacheMaxAge)},
		}),
		policy:     policy,
		admission:  admission.New(admission.Config{Capacity: capacity(s.cfg), RetryMin: s.real(retryMin), RetryMax: s.real(retryMax)}),
		retention:  kvcache.NewRetentionPolicy(),
		lastEvents: make(map[structs.UpstreamID]uint64),
	}
	e.admission.Step(time.Now(), admission.Switch{Preset: s.cfg.Preset})
	return e, nil
}

const (
	// retryMin and retryMax bound the RetryAfter of a refusal, in modelled time. retryMin is also
	// the pause before another attempt of a call that no engine can take.
	retryMin = 500 * time.Millisecond
	retryMax = 10 * time.Second
	// turnsPerSlot is the number of turns that may be in progress for each slot of a
	// batch. It is above 1 since most of a turn is tool pauses and waiting.
	turnsPerSlot = 4
)

// capacity returns the number of turns that one entry may have in progress: its share of
// those of all engines.
func capacity(cfg Config) int {
	return turnsPerSlot * cfg.Deployment.Engines.Count * cfg.Deployment.Engines.BatchLimit / cfg.Entries
}

// offer offers a turn to the admission control and returns its refusal, nil if the turn is
// admitted.
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

// ended reports the end of a turn to the admission control. late states that the turn ended
// without an answer.
func (e *entry) ended(program structs.ProgramID, late bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admission.Step(time.Now(), admission.Ended{Program: program, Late: late})
}

// preview returns the engine that the policy would choose now, without recording a call.
func (e *entry) preview(call *structs.ModelCall, blocks []uint64) (routing.Decision, bool) {
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

// done records the end of a call and the exact load that was returned with it.
func (e *entry) done(call *structs.ModelCall, r routing.Result, l structs.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.state.Done(now, call.Call, call.Attempt, r)
	e.state.ReportWithAnswer(now, l)
}

func (e *entry) report(now time.Time, l structs.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Report(now, l)
}

// readCacheEvents applies the new cache events of an engine, or a snapshot if events were
// lost.
func (e *entry) readCacheEvents(g *gate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	view := e.state.Cache(g.id)
	if view == nil {
		return
	}
	events := g.model.CacheEvents(e.lastEvents[g.id])
	for _, c := range events.Events {
		view.Apply(now, kvcache.Event{Incarnation: events.Incarnation, Sequence: c.Sequence, Stored: c.Stored, Removed: c.Removed})
		e.lastEvents[g.id] = c.Sequence
	}
	if len(events.Events) == 0 {
		// An empty event with the last number confirms that the view is current.
		view.Apply(now, kvcache.Event{Incarnation: events.Incarnation, Sequence: e.lastEvents[g.id]})
	}
	if view.NeedsSnapshot(now) {
		s := g.model.CacheSnapshot()
		view.Resync(now, kvcache.Snapshot(s))
		e.lastEvents[g.id] = s.Sequence
	}
}

// observePause records the duration of a tool call.
func (e *entry) observePause(tool string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retention.Observe(tool, took)
}

// decideRetention decides whether the cache of a program is held during a pause.
func (e *entry) decideRetention(p kvcache.Pause) kvcache.RetentionDecision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retention.Decide(p)
}
