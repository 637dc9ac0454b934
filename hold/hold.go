// Package hold keeps the leases on KV cache that a side grants to the homes of
// programs, and fences the orders that reach the side's upstream.
//
// A hold keeps a program's cache in the engine's memory over a tool pause. It is a
// lease: the program's home renews it, the end of the program releases it, and what
// is not renewed lapses. Nothing of it is kept outside the side's memory. After a
// restart of the side or of the engine the machine compares itself with the engine's
// own list: what no home renews within a lease's time is released there, so that no
// engine memory stays held for programs that are gone.
//
// A fencing number grows with each adoption of a program, and with each change of
// who orders an upstream. A message with a lower number than one obeyed before is
// refused here, whether the engine checks the numbers or ignores them.
package hold

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Config bounds the leases of one side.
type Config struct {
	Upstream structs.UpstreamID
	// LeaseTime is how long a hold lasts without renewal.
	LeaseTime time.Duration
	// ReconcileInterval is the time between two readings of the engine's list.
	ReconcileInterval time.Duration
	// EngineTimeout is the time after which an unanswered request to the engine is repeated.
	EngineTimeout time.Duration
	// OrderTimeout is the time after which the outcome of an order that the upstream
	// has not answered is unknown; loading a model takes long.
	OrderTimeout time.Duration
	// ChecksFence says that the upstream itself refuses orders with an old fencing number.
	ChecksFence bool
	// OrderQuietPeriod is how long no further order is sent to an upstream that does not
	// check, after an order whose outcome is unknown and after the start: it could
	// still obey the former one.
	OrderQuietPeriod time.Duration
	// MaxTokens bounds the tokens held, MaxLeases the number of holds.
	MaxTokens int64
	MaxLeases int
}

// DefaultConfig returns the defaults: leases of 3 s, a reconciliation each second,
// 2 s for the engine's answer, 1 min for that to an order and 10 s for one to settle,
// 200,000 tokens in 512 leases.
func DefaultConfig(u structs.UpstreamID) Config {
	return Config{
		Upstream:          u,
		LeaseTime:         3 * time.Second,
		ReconcileInterval: time.Second,
		EngineTimeout:     2 * time.Second,
		OrderTimeout:      time.Minute,
		OrderQuietPeriod:  10 * time.Second,
		MaxTokens:         200_000,
		MaxLeases:         512,
	}
}

// lease is one hold that the engine has confirmed, or was asked for.
type lease struct {
	home   structs.LogID
	fence  uint64
	tokens int64
	until  time.Time
	// number is that of the engine's answer that is waited for; 0 once confirmed.
	number uint64
	// confirmed is when the engine's answer came.
	confirmed time.Time
}

// orphan is a hold of the engine's list that has no lease here.
type orphan struct {
	since  time.Time
	tokens int64
}

// release is a hold that the engine was asked to release and has not confirmed.
type release struct {
	number  uint64
	retryAt time.Time
	tokens  int64
}

// Machine is the state of one side. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	now     time.Time
	effects []Effect
	number  uint64

	leases   map[structs.ProgramID]*lease
	orphans  map[structs.ProgramID]orphan
	releases map[structs.ProgramID]*release

	// listed says that the engine's list has been read since the start or the
	// engine's restart; before it nothing new is held.
	listed  bool
	listDue time.Time
	list    struct {
		number uint64
		sent   time.Time
	}

	orders orders
}

// New returns the machine of a side that has just started at time now.
func New(cfg Config, now time.Time) *Machine {
	m := &Machine{
		cfg:      cfg,
		now:      now,
		leases:   make(map[structs.ProgramID]*lease),
		orphans:  make(map[structs.ProgramID]orphan),
		releases: make(map[structs.ProgramID]*release),
	}
	m.settle()
	return m
}

// HeldTokens returns the tokens that are held, or may be, in the engine.
func (m *Machine) HeldTokens() int64 {
	var n int64
	for _, l := range m.leases {
		n += l.tokens
	}
	for _, o := range m.orphans {
		n += o.tokens
	}
	for _, r := range m.releases {
		n += r.tokens
	}
	return n
}

// Leases returns the number of leases.
func (m *Machine) Leases() int { return len(m.leases) }

// Step takes one message at time now and returns the effects in the order in which
// the shell carries them out.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	m.now = now
	m.handle(msg)
	effects := m.effects
	m.effects = nil
	return effects
}

func (m *Machine) handle(msg Message) {
	switch msg := msg.(type) {
	case Tick:
		m.tick()
	case Hold:
		m.hold(msg)
	case Renew:
		m.renew(msg)
	case Release:
		m.release(msg)
	case EngineAnswered:
		m.engineAnswered(msg)
	case EngineList:
		m.engineList(msg)
	case EngineRestarted:
		m.engineRestarted()
	case Order:
		m.order(msg)
	case OrderDone:
		m.orderDone(msg)
	case FenceRead:
		m.fenceRead(msg)
	}
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) nextNumber() uint64 {
	m.number++
	return m.number
}

func (m *Machine) tick() {
	m.lapse()
	m.repeatReleases()
	m.tickList()
	m.tickOrders()
}

// lapse releases the leases that were not renewed in time.
func (m *Machine) lapse() {
	for _, p := range sorted(m.leases) {
		l := m.leases[p]
		if m.now.Before(l.until) {
			continue
		}
		m.emit(Expired{Program: p, Home: l.home})
		m.drop(p)
	}
}

// drop ends a lease and asks the engine to release its cache.
func (m *Machine) drop(p structs.ProgramID) {
	l := m.leases[p]
	delete(m.leases, p)
	m.releaseAtEngine(p, l.tokens)
}

func (m *Machine) releaseAtEngine(p structs.ProgramID, tokens int64) {
	r := &release{number: m.nextNumber(), retryAt: m.now.Add(m.cfg.EngineTimeout), tokens: tokens}
	m.releases[p] = r
	m.emit(ReleaseAtEngine{RequestID: r.number, Program: p})
}

// repeatReleases asks again for what the engine has not confirmed, until it does or
// its list shows the hold gone.
func (m *Machine) repeatReleases() {
	for _, p := range sorted(m.releases) {
		if r := m.releases[p]; !m.now.Before(r.retryAt) {
			m.releaseAtEngine(p, r.tokens)
		}
	}
}

// sorted returns the programs of a map in order.
func sorted[V any](of map[structs.ProgramID]V) []structs.ProgramID {
	out := make([]structs.ProgramID, 0, len(of))
	for p := range of {
		out = append(out, p)
	}
	slices.Sort(out)
	return out
}
