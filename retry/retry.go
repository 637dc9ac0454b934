// Package retry decides what happens after an attempt of a call has failed: it
// schedules another attempt, or gives up and returns the final error to the caller.
//
// Retries are limited in three ways. A step that may have run is retried only when it
// is repeatable. A retry budget caps retries at a share of all calls, so that retries
// do not multiply an overload. A circuit breaker for each upstream stops calls to an
// upstream that keeps failing and tests it with a single probe at a time.
package retry

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Config configures the Machine of one entry.
type Config struct {
	// BackoffBase is the mean wait before the second attempt. The mean doubles with each
	// further attempt up to BackoffMax.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// MaxAttempts limits the attempts of one call, including the first.
	MaxAttempts uint32
	// BudgetRatio is the number of retries that each first attempt adds to the budget;
	// BudgetMax caps the budget.
	BudgetRatio float64
	BudgetMax   float64
	// FailuresToOpen is the number of consecutive failures that open a circuit.
	FailuresToOpen int
	// OpenTime is the mean time that a circuit stays open before its first probe. It
	// doubles with each failed probe up to OpenMax.
	OpenTime time.Duration
	OpenMax  time.Duration
	// ProbeTimeout is the time after which a probe without an answer no longer prevents
	// the next one.
	ProbeTimeout time.Duration
	// Seed seeds the random numbers of the jitter.
	Seed uint64
}

// DefaultConfig returns the defaults: backoff from 50 ms to 2 s, 4 attempts, one retry
// for every 10 calls and a budget of at most 50, circuits that open after 5 consecutive
// failures for 1 s to 30 s, and a probe timeout of 30 s.
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

// Message is an input of Machine.Step: Sent, Succeeded or Failed.
type Message interface{ isMessage() }

// Sent reports that an attempt is sent to the upstream. The driver sends an attempt
// only when Allows has returned true in the same iteration of its event loop.
type Sent struct {
	Call     structs.CallID
	Attempt  uint32
	Upstream structs.UpstreamID
}

// Succeeded reports that an attempt returned its result.
type Succeeded struct {
	Call     structs.CallID
	Attempt  uint32
	Upstream structs.UpstreamID
}

// Failed reports that an attempt returned no result. Upstream is empty when the attempt
// was not sent.
type Failed struct {
	Call     structs.CallID
	Attempt  uint32
	Upstream structs.UpstreamID
	Refusal  *structs.Refusal
	// NonRepeatable marks a step that must not run twice because it is irreversible.
	NonRepeatable bool
	// Deadline is the time until which the caller waits; zero means no deadline.
	Deadline time.Time
	// Loads are the loads of the candidates, from which the Retry-After of a final
	// answer is computed.
	Loads []structs.Load
}

func (Sent) isMessage()      {}
func (Succeeded) isMessage() {}
func (Failed) isMessage()    {}

// Effect is an output of Machine.Step that the driver carries out: Retry, GiveUp or
// CircuitChanged.
type Effect interface{ isEffect() }

// Retry schedules the next attempt of a call, with number Attempt, for the time At.
type Retry struct {
	Call    structs.CallID
	Attempt uint32
	At      time.Time
}

// GiveUp ends a call with its final answer.
type GiveUp struct {
	Call    structs.CallID
	Refusal *structs.Refusal
	// BudgetSpent reports whether the call is given up only because the retry budget is
	// empty.
	BudgetSpent bool
}

// CircuitChanged reports that the circuit of an upstream has opened, which stops calls
// to it, or closed, which admits them again.
type CircuitChanged struct {
	Upstream structs.UpstreamID
	Open     bool
}

func (Retry) isEffect()          {}
func (GiveUp) isEffect()         {}
func (CircuitChanged) isEffect() {}

// Machine holds the retry budget and the circuits of one entry. It does no I/O and
// reads no clock. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Time
	effects []Effect
	// budget is in thousandths of a retry, so that fractions add up exactly.
	budget   int64
	circuits map[structs.UpstreamID]*circuit
}

// New returns a Machine with a full budget and all circuits closed.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		budget:   thousandths(cfg.BudgetMax),
		circuits: make(map[structs.UpstreamID]*circuit),
	}
}

// Budget returns the number of retries that the budget allows at present.
func (m *Machine) Budget() float64 { return float64(m.budget) / oneRetry }

// oneRetry is one retry in the unit of the budget.
const oneRetry = 1000

func thousandths(retries float64) int64 { return int64(math.Round(retries * oneRetry)) }

// Step processes one message at time now and returns its effects in the order in which
// they are to be carried out.
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
		m.circuitOf(s.Upstream).sent(m.now, attemptID{s.Call, s.Attempt})
	}
}

func (m *Machine) succeeded(s Succeeded) {
	c := m.circuitOf(s.Upstream)
	wasOpen := c.open
	c.succeeded(attemptID{s.Call, s.Attempt})
	m.emitCircuitChange(s.Upstream, wasOpen, c.open)
}

// emitCircuitChange emits CircuitChanged when the circuit has opened or closed.
func (m *Machine) emitCircuitChange(u structs.UpstreamID, wasOpen, isOpen bool) {
	if wasOpen != isOpen {
		m.emit(CircuitChanged{Upstream: u, Open: isOpen})
	}
}

func (m *Machine) failed(f Failed) {
	if f.Upstream != "" {
		m.recordFailure(f)
	}
	m.decide(f)
}

// recordFailure records the failure in the circuit of its upstream.
func (m *Machine) recordFailure(f Failed) {
	c := m.circuitOf(f.Upstream)
	p := attemptID{f.Call, f.Attempt}
	if !isUpstreamFault(f.Refusal.Code) {
		c.endProbe(p)
		return
	}
	wasOpen := c.open
	c.failed(m.cfg, m.now, m.rng, p)
	m.emitCircuitChange(f.Upstream, wasOpen, c.open)
}

// decide emits a retry or the final answer for a failed attempt.
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

// mayRetry reports whether another attempt is allowed and may succeed.
func (m *Machine) mayRetry(f Failed) bool {
	if f.NonRepeatable && f.Refusal.Outcome != structs.OutcomeNotRun {
		return false
	}
	return f.Attempt < m.cfg.MaxAttempts && isTransient(f.Refusal.Code)
}

// giveUp emits the failure as the final answer, with a RetryAfter if a later call by
// the caller may succeed.
func (m *Machine) giveUp(f Failed, budgetSpent bool) {
	final := *f.Refusal
	if isTransient(final.Code) && (!f.NonRepeatable || final.Outcome == structs.OutcomeNotRun) {
		final.RetryAfter = max(final.RetryAfter, After(m.rng, f.Loads))
	}
	m.emit(GiveUp{Call: f.Call, Refusal: &final, BudgetSpent: budgetSpent})
}

// isTransient reports whether the cause of a failure with the code may go away without
// a change of the call.
func isTransient(c structs.Code) bool {
	switch c {
	case structs.CodeOverloaded, structs.CodeUpstreamFailed, structs.CodeToolTimeout, structs.CodePlatformOutage,
		structs.CodeNotReady, structs.CodeDraining, structs.CodeHomeUnreachable, structs.CodeHistoryMissing:
		return true
	default:
		return false
	}
}

// isUpstreamFault reports whether a failure with the code counts against the upstream.
// A refusal because of load or draining does not: the upstream is healthy.
func isUpstreamFault(c structs.Code) bool {
	switch c {
	case structs.CodeUpstreamFailed, structs.CodeToolTimeout, structs.CodeInternal:
		return true
	default:
		return false
	}
}
