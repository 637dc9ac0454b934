// Package retry decides what happens after an attempt of a call has failed: it
// schedules another attempt, or gives up and returns the final error to the caller.
// A call runs one step of a program, which is a model call or a tool call, in one or more
// attempts.
//
// Retries are limited in three ways. An irreversible step that may have run is not
// retried. A retry budget limits retries to a fraction of first attempts, so that
// retries do not amplify an overload. A circuit breaker for each upstream stops calls
// after consecutive failures and then admits one probe at a time.
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
	// further attempt.
	BackoffBase time.Duration
	// BackoffMax is the highest mean wait.
	BackoffMax time.Duration
	// MaxAttempts limits the attempts of one call, including the first.
	MaxAttempts uint32
	// BudgetRatio is the number of retries that each first attempt adds to the budget.
	BudgetRatio float64
	// BudgetMax is the maximum of the budget, in retries.
	BudgetMax float64
	// FailuresToOpen is the number of consecutive failures that open a circuit.
	FailuresToOpen int
	// OpenTime is the mean time that a circuit stays open before its first probe. The mean
	// doubles with each failed probe.
	OpenTime time.Duration
	// OpenMax is the highest mean open time.
	OpenMax time.Duration
	// ProbeTimeout is the time after which a probe without a result is ignored and another
	// probe may be sent.
	ProbeTimeout time.Duration
	// Seed seeds the random numbers of the jitter.
	Seed uint64
}

// DefaultConfig returns the defaults: a mean backoff of 50 ms up to 2 s, 4 attempts, one
// retry for every 10 first attempts, and a budget of at most 50 retries. Circuits open
// after 5 consecutive failures, for a mean of 1 s up to 30 s, and the probe timeout is 30 s.
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

// Failed reports that an attempt returned no result.
type Failed struct {
	Call    structs.CallID
	Attempt uint32
	// Upstream is empty when the attempt was not sent.
	Upstream structs.UpstreamID
	// Refusal is the error of the attempt.
	Refusal *structs.Refusal
	// Irreversible marks a step whose effect is irreversible, so that it must not run twice.
	Irreversible bool
	// Deadline is when the caller stops waiting; zero means no deadline.
	Deadline time.Time
	// Loads are the loads of the candidate upstreams. They determine the RetryAfter of a
	// GiveUp.
	Loads []structs.Load
}

func (Sent) isMessage()      {}
func (Succeeded) isMessage() {}
func (Failed) isMessage()    {}

// Effect is an output of Machine.Step that the driver carries out: Retry, GiveUp or
// CircuitChanged.
type Effect interface{ isEffect() }

// Retry asks the driver to start attempt number Attempt of the call at time At.
type Retry struct {
	Call    structs.CallID
	Attempt uint32
	At      time.Time
}

// GiveUp ends a call with a final error.
type GiveUp struct {
	Call    structs.CallID
	Refusal *structs.Refusal
	// BudgetSpent reports whether the call is given up only because less than one retry is
	// left in the budget.
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

// Machine decides about the retries of one entry, the process that accepts calls. It holds
// the retry budget and the circuits of all upstreams, does no I/O and reads no clock. It is
// not safe for concurrent use.
type Machine struct {
	cfg Config
	rng *rand.Rand
	// now is the time of the current Step, effects are its effects so far.
	now     time.Time
	effects []Effect
	// budget is the retry budget in thousandths of a retry (see oneRetry), an integer so that
	// fractions add up exactly. It is no token budget.
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

// oneRetry is one retry in the unit of Machine.budget.
const oneRetry = 1000

// thousandths converts a number of retries to the unit of Machine.budget.
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

// emit adds an effect to those of the current Step.
func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// sent adds to the budget for a first attempt. It registers the attempt with the circuit
// only if that admits it, so that it does not replace a probe in flight.
func (m *Machine) sent(s Sent) {
	if s.Attempt <= 1 {
		m.budget = min(m.budget+thousandths(m.cfg.BudgetRatio), thousandths(m.cfg.BudgetMax))
	}
	if m.Allows(m.now, s.Upstream) {
		m.circuitOf(s.Upstream).sent(m.now, attemptID{s.Call, s.Attempt})
	}
}

// succeeded records the success in the circuit of its upstream.
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

// failed records the failure of an attempt that was sent, and decides about a retry.
func (m *Machine) failed(f Failed) {
	if f.Upstream != "" {
		m.recordFailure(f)
	}
	m.decide(f)
}

// recordFailure records the failure in the circuit of its upstream. A failure that is not the
// upstream's fault does not count, but if the attempt was the probe, the probe ends.
func (m *Machine) recordFailure(f Failed) {
	c := m.circuitOf(f.Upstream)
	id := attemptID{f.Call, f.Attempt}
	if !isUpstreamFault(f.Refusal.Code) {
		c.endProbe(id)
		return
	}
	wasOpen := c.open
	c.failed(m.cfg, m.now, m.rng, id)
	m.emitCircuitChange(f.Upstream, wasOpen, c.open)
}

// decide emits a Retry or a GiveUp for a failed attempt. It checks the budget last, so that
// BudgetSpent is set only when nothing else prevents the retry.
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

// mayRetry reports whether the step, the attempt number and the error code permit another
// attempt. The caller, decide, checks the deadline and the budget.
func (m *Machine) mayRetry(f Failed) bool {
	if f.Irreversible && f.Refusal.Outcome != structs.OutcomeNotRun {
		return false
	}
	return f.Attempt < m.cfg.MaxAttempts && isTransient(f.Refusal.Code)
}

// giveUp emits the failure as the final error of the call. The error gets a RetryAfter if
// its code is transient and the step may be run again.
func (m *Machine) giveUp(f Failed, budgetSpent bool) {
	final := *f.Refusal
	if isTransient(final.Code) && (!f.Irreversible || final.Outcome == structs.OutcomeNotRun) {
		final.RetryAfter = max(final.RetryAfter, CallerDelay(m.rng, f.Loads))
	}
	m.emit(GiveUp{Call: f.Call, Refusal: &final, BudgetSpent: budgetSpent})
}

// isTransient reports whether a call that failed with the code may succeed unchanged at a
// later time.
func isTransient(c structs.Code) bool {
	switch c {
	case structs.CodeOverloaded, structs.CodeUpstreamFailed, structs.CodeToolTimeout, structs.CodePlatformOutage,
		structs.CodeNotReady, structs.CodeDraining, structs.CodeHomeUnreachable, structs.CodeHistoryMissing:
		return true
	default:
		return false
	}
}

// isUpstreamFault reports whether a failure with the code counts as a failure in the
// upstream's circuit. A refusal because of load or draining does not: the upstream is
// healthy. CodeInternal does, although such a failure is not retried.
func isUpstreamFault(c structs.Code) bool {
	switch c {
	case structs.CodeUpstreamFailed, structs.CodeToolTimeout, structs.CodeInternal:
		return true
	default:
		return false
	}
}
