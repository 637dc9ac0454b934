// Package hold decides for a side, the process beside one upstream, which programs' KV cache
// the upstream's engine holds over tool pauses, and which operator orders (such as to load a
// model) are sent to the upstream. A Machine is stepped with Messages: requests of the
// programs' homes, orders, answers of the engine and ticks. It returns Effects, which its
// driver carries out: requests to the engine and answers to the senders. Sizes are in tokens
// and times are time.Duration. The package does no I/O and reads no clock.
//
// A hold is a lease on engine memory for the cache of one program. The home of the program,
// the entry that owns and runs it, renews the lease; the end of the program releases it,
// and without renewal it expires. Messages name a home by its home log, the write-ahead log
// of one incarnation of that entry. Leases are stored only in the memory of the side. After
// a restart of the side or of the engine, the machine reads the engine's own list of holds
// and releases each one that no home renews within the lease time. So no engine memory
// stays held for programs that no longer exist.
//
// There are two kinds of fencing numbers, which are counted apart. The number of a program
// increases with each takeover of the program by another entry. A message about a leased
// program is refused or ignored if its number is lower than that of the lease. The number of
// the orders to an upstream increases with each new order. An order is refused if its number
// is lower than the highest accepted one, or equal to that of another order; the platform's
// table stores this number over a restart of the side. Both rules apply whether or not the
// engine checks the numbers itself.
package hold

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Config holds the limits and timeouts of one side.
type Config struct {
	Upstream structs.UpstreamID
	// LeaseTime is the duration of a lease without renewal.
	LeaseTime time.Duration
	// ReconcileInterval is the time between two reads of the engine's list of holds.
	ReconcileInterval time.Duration
	// EngineTimeout is the time after which a release that the engine has not confirmed, or
	// an unanswered request for its list, is repeated. An AcquireAtEngine is never repeated: its
	// lease expires.
	EngineTimeout time.Duration
	// OrderTimeout is the time after which an unanswered order is refused with an unknown
	// outcome. It must exceed the time that it takes to load a model.
	OrderTimeout time.Duration
	// ChecksFence reports whether the upstream itself refuses orders with an old fencing
	// number.
	ChecksFence bool
	// OrderQuietPeriod is how long no further order is sent to an upstream that does not
	// check fencing numbers, after an order with an unknown outcome and after the start of
	// the side: the upstream could still execute the earlier order.
	OrderQuietPeriod time.Duration
	// MaxTokens is the maximum number of tokens held, MaxLeases the maximum number of leases.
	// A new hold that would exceed either is denied.
	MaxTokens int64
	MaxLeases int
}

// DefaultConfig returns the defaults: leases of 3 s, a read of the engine's list every 1 s,
// timeouts of 2 s for the engine's answer and of 1 min for the answer to an order, a quiet
// period of 10 s after an order with an unknown outcome, and at most 200,000 tokens in
// 512 leases.
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

// lease is one hold that the engine has confirmed or has been asked for.
type lease struct {
	// homeLog is the home log of the entry that owns the program.
	homeLog structs.LogID
	// fence is the fencing number of the program.
	fence     uint64
	tokens    int64
	expiresAt time.Time
	// holdRequest is the id of the AcquireAtEngine that the engine has not answered yet; 0 once
	// the hold is confirmed.
	holdRequest uint64
	// confirmedAt is when the engine confirmed the hold.
	confirmedAt time.Time
}

// orphan is a hold in the engine's list without a lease and without a pending release.
type orphan struct {
	// since is when the list first showed the hold.
	since  time.Time
	tokens int64
}

// pendingRelease is a request to release a hold that the engine has not confirmed.
type pendingRelease struct {
	requestID uint64
	retryAt   time.Time
	tokens    int64
}

// Machine is the state of the leases and orders of one side. It is not safe for concurrent
// use.
type Machine struct {
	cfg           Config
	now           time.Time
	effects       []Effect
	lastRequestID uint64

	leases   map[structs.ProgramID]*lease
	orphans  map[structs.ProgramID]orphan
	releases map[structs.ProgramID]*pendingRelease

	// listRead reports whether the engine's list has been read since the start of the side
	// or the last EngineRestarted, whichever is later. No new hold is granted before that.
	listRead bool
	// listDue is when the list is read next.
	listDue time.Time
	// listRequest is the latest request for the list. Its requestID is 0 while none is outstanding.
	listRequest struct {
		requestID uint64
		sentAt    time.Time
	}

	orders orders
}

// New returns the machine of a side that starts at time now.
func New(cfg Config, now time.Time) *Machine {
	m := &Machine{
		cfg:      cfg,
		now:      now,
		leases:   make(map[structs.ProgramID]*lease),
		orphans:  make(map[structs.ProgramID]orphan),
		releases: make(map[structs.ProgramID]*pendingRelease),
	}
	m.startQuietPeriod()
	return m
}

// HeldTokens returns the number of tokens that the engine holds or may hold: those of
// leases, of holds without a lease, and of holds whose release is not confirmed.
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

// Step handles one message at time now. It returns the effects in the order in which the
// driver of the Machine must carry them out.
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

func (m *Machine) nextRequestID() uint64 {
	m.lastRequestID++
	return m.lastRequestID
}

func (m *Machine) tick() {
	m.expireLeases()
	m.repeatReleases()
	m.tickList()
	m.tickOrders()
}

// expireLeases ends the leases that were not renewed in time.
func (m *Machine) expireLeases() {
	for _, p := range sortedPrograms(m.leases) {
		l := m.leases[p]
		if m.now.Before(l.expiresAt) {
			continue
		}
		m.emit(Expired{Program: p, HomeLog: l.homeLog})
		m.endLease(p)
	}
}

// endLease deletes a lease and asks the engine to release the cache.
func (m *Machine) endLease(p structs.ProgramID) {
	l := m.leases[p]
	delete(m.leases, p)
	m.releaseAtEngine(p, l.tokens)
}

// releaseAtEngine asks the engine to release the cache of a program. The tokens count as held
// until the engine confirms.
func (m *Machine) releaseAtEngine(p structs.ProgramID, tokens int64) {
	r := &pendingRelease{requestID: m.nextRequestID(), retryAt: m.now.Add(m.cfg.EngineTimeout), tokens: tokens}
	m.releases[p] = r
	m.emit(ReleaseAtEngine{RequestID: r.requestID, Program: p})
}

// repeatReleases repeats each release that the engine has not confirmed in time. The
// repetition ends when the engine confirms or its list no longer shows the hold.
func (m *Machine) repeatReleases() {
	for _, p := range sortedPrograms(m.releases) {
		if r := m.releases[p]; !m.now.Before(r.retryAt) {
			m.releaseAtEngine(p, r.tokens)
		}
	}
}

// sortedPrograms returns the keys of a map, sorted.
func sortedPrograms[V any](byProgram map[structs.ProgramID]V) []structs.ProgramID {
	out := make([]structs.ProgramID, 0, len(byProgram))
	for p := range byProgram {
		out = append(out, p)
	}
	slices.Sort(out)
	return out
}
