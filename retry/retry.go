// Package retry decides what happens after an attempt of a call has failed: when it
// is tried again, or that it is given up with a final answer at once.
//
// Retries are bounded three ways. A step that may have run is retried only when it
// is repeatable. A budget lets retries be only a share of the requests, so that an
// overload is not multiplied by them. A circuit for each upstream stops sending to
// one that fails, and tests it with a single probe at a time.
package retry

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Config sets one entry's machine.
type Config struct {
	// BackoffBase is the mean of the first wait; it doubles with each attempt up to BackoffMax.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// MaxAttempts bounds the attempts of one call, the first among them.
	MaxAttempts uint32
	// BudgetRatio is the retries earned by each first attempt; BudgetMax bounds what is saved.
	BudgetRatio float64
	BudgetMax   float64
	// FailuresToOpen is the number of failures in a row that open a circuit.
	FailuresToOpen int
	// OpenTime is how long a circuit stays open before the first probe; it doubles
	// with each failed probe up to OpenMax.
	OpenTime time.Duration
	OpenMax  time.Duration
	// ProbeTimeout is the time after which a probe without an answer counts as failed.
	ProbeTimeout time.Duration
	// Seed seeds the jitter.
	Seed uint64
}

// DefaultConfig returns the defaults: waits from 50 ms to 2 s, 4 attempts, one retry
// earned by ten requests and 50 saved, circuits that open after 5 failures in a row
// for 1 s to 30 s, and probes of 30 s.
func DefaultConfig(seed uint64) Config {
	return Config{
		BackoffBase:    50 * time.Millisecond,
		BackoffMax:     2 * time.Second,
		MaxAttempts:    4,
		BudgetRatio:    0.1,
		BudgetMax:      50,
		FailuresToOpen: 5,
		OpenTime:       time.Second,
		OpenMax:        30 * time.Second,
		ProbeTimeout:   30 * time.Second,
		Seed:           seed,
	}
}

// Message is what a machine is stepped with.
type Message interface{ isMessage() }

// Sent says that an attempt goes to the upstream. The shell sends it only where Allows
// said yes in the same step of its loop.
type Sent struct {
	Call     structs.CallID
	Attempt  uint32
	Upstream structs.UpstreamID
}

// Succeeded says that the attempt gave its result.
type Succeeded struct {
	Call     structs.CallID
	Attempt  uint32
	Upstream structs.UpstreamID
}

// Failed says that the attempt gave no result. Upstream is empty when it was not sent.
type Failed struct {
	Call     structs.CallID
	Attempt  uint32
	Upstream structs.UpstreamID
	Refusal  *structs.Refusal
	// NonRepeatable marks an irreversible step.
	NonRepeatable bool
	// Deadline is when the caller's patience ends; zero says never.
	Deadline time.Time
	// Loads are the candidates' loads, from which RetryAfter of a final answer is computed.
	Loads []structs.Load
}

func (Sent) isMessage()      {}
func (Succeeded) isMessage() {}
func (Failed) isMessage()    {}

// Effect is what the shell carries out.
type Effect interface{ isEffect() }

// Retry says that the call is tried again at the time, with the next attempt number.
type Retry struct {
	Call    structs.CallID
	Attempt uint32
	At      time.Time
}

// GiveUp is the final answer to the call.
type GiveUp struct {
	Call    structs.CallID
	Refusal *structs.Refusal
	// BudgetSpent says that the budget of retries, not the failure itself, was the reason.
	BudgetSpent bool
}

// CircuitChanged says that calls to the upstream stop, or go on.
type CircuitChanged struct {
	Upstream structs.UpstreamID
	Open     bool
}

func (Retry) isEffect()          {}
func (GiveUp) isEffect()         {}
func (CircuitChanged) isEffect() {}

// Machine is the state of one entry. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Time
	effects []Effect
	// budget is in thousandths of a retry, so that shares add up exactly.
	budget   int64
	circuits map[structs.UpstreamID]*circuit
}

// New returns a machine with a full budget.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		budget:   thousandths(cfg.BudgetMax),
		circuits: make(map[structs.UpstreamID]*circuit),
	}
}

// Budget returns the retries that may be made before more requests come.
func (m *Machine) Budget() float64 { return float64(m.budget) / oneRetry }

// oneRetry is one retry in the unit of the budget.
const oneRetry = 1000

func thousandths(retries float64) int64 { return int64(math.Round(retries * oneRetry)) }

// Step takes one message at time now and returns the effects in order.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	m.now = now
	switch msg := msg.(type) {
	case Sent:
		m.sent(msg)
	case Succeeded:
		m.succeeded(msg)
	case Failed:
		m.failed(msg)
	}
	effects := m.effects
	m.effects = nil
	return effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) sent(s Sent) {
	if s.Attempt <= 1 {
		m.budget = min(m.budget+thousandths(m.cfg.BudgetRatio), thousandths(m.cfg.BudgetMax))
	}
	if m.Allows(m.now, s.Upstream) {
		m.circuitOf(s.Upstream).sent(m.now, probe{s.Call, s.Attempt})
	}
}

func (m *Machine) succeeded(s Succeeded) {
	c := m.circuitOf(s.Upstream)
	was := c.open
	c.succeeded(probe{s.Call, s.Attempt})
	m.noteCircuit(s.Upstream, was, c.open)
}

func (m *Machine) noteCircuit(u structs.UpstreamID, was, is bool) {
	if was != is {
		m.emit(CircuitChanged{Upstream: u, Open: is})
	}
}

func (m *Machine) failed(f Failed) {
	if f.Upstream != "" {
		m.count(f)
	}
	m.decide(f)
}

// count tells the upstream's circuit of the failure.
func (m *Machine) count(f Failed) {
	c := m.circuitOf(f.Upstream)
	p := probe{f.Call, f.Attempt}
	if !blamesUpstream(f.Refusal.Code) {
		c.endProbe(p)
		return
	}
	was := c.open
	c.failed(m.cfg, m.now, m.rng, p)
	m.noteCircuit(f.Upstream, was, c.open)
}

// decide answers a failure with a retry or with the final answer.
func (m *Machine) decide(f Failed) {
	if !m.mayRetry(f) {
		m.giveUp(f, false)
		return
	}
	wait := max(Backoff(m.rng, m.cfg.BackoffBase, m.cfg.BackoffMax, f.Attempt), f.Refusal.RetryAfter)
	at := m.now.Add(wait)
	if !f.Deadline.IsZero() && !at.Before(f.Deadline) {
		m.giveUp(f, false)
		return
	}
	if m.budget < oneRetry {
		m.giveUp(f, true)
		return
	}
	m.budget -= oneRetry
	m.emit(Retry{Call: f.Call, Attempt: f.Attempt + 1, At: at})
}

// mayRetry reports whether another attempt is allowed and may help.
func (m *Machine) mayRetry(f Failed) bool {
	if f.NonRepeatable && f.Refusal.Outcome != structs.OutcomeNotRun {
		return false
	}
	return f.Attempt < m.cfg.MaxAttempts && mayPass(f.Refusal.Code)
}

// giveUp answers with the failure itself; RetryAfter is set where coming back helps.
func (m *Machine) giveUp(f Failed, budgetSpent bool) {
	final := *f.Refusal
	if mayPass(final.Code) && (!f.NonRepeatable || final.Outcome == structs.OutcomeNotRun) {
		final.RetryAfter = max(final.RetryAfter, After(m.rng, f.Loads))
	}
	m.emit(GiveUp{Call: f.Call, Refusal: &final, BudgetSpent: budgetSpent})
}

// mayPass reports whether a failure with the code may pass by itself.
func mayPass(c structs.Code) bool {
	switch c {
	case structs.CodeOverloaded, structs.CodeUpstreamFailed, structs.CodeToolTimeout, structs.CodePlatformOutage,
		structs.CodeNotReady, structs.CodeDraining, structs.CodeHomeUnreachable, structs.CodeHistoryMissing:
		return true
	default:
		return false
	}
}

// blamesUpstream reports whether a failure with the code speaks against the upstream.
// A refusal by load or drain does not: the upstream is well.
func blamesUpstream(c structs.Code) bool {
	switch c {
	case structs.CodeUpstreamFailed, structs.CodeToolTimeout, structs.CodeInternal:
		return true
	default:
		return false
	}
}
