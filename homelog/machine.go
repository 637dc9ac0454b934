package homelog

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Machine is the log of one process. It keeps in memory the entries not yet committed,
// those committed since the last checkpoint, and the ids of the live programs.
// It is not safe for concurrent use.
type Machine struct {
	cfg Config
	rng *rand.Rand
	now time.Time
	out []Effect

	calls     map[uint64]*call
	lastCall  uint64
	timers    []timer
	lastTimer uint64
	pace      pace

	opened    bool
	stopped   bool
	successor structs.LogID

	queue        []group
	queueBytes   int
	lastSequence uint64
	committed    uint64
	nextNumber   uint64
	inFlight     *batch
	waiting      []waiter

	state       *state
	checkpoints checkpointer
	adoption    *adoption
	toAdopt     []structs.LogID
	// removing are the logs whose records are being deleted.
	removing map[structs.LogID]bool
	// keepUntil is the time before which a log's redirect row is not deleted.
	keepUntil  map[structs.LogID]time.Time
	forgetting bool
	retire     retirement

	outageSince time.Time
}

// New returns a machine for a log that does not exist yet; Start opens it.
func New(cfg Config) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		calls: make(map[uint64]*call),
		pace:  newPace(cfg),
		state: newState(),

		removing:  make(map[structs.LogID]bool),
		keepUntil: make(map[structs.LogID]time.Time),
	}
}

// Step takes one message at the time now and returns what the shell has to do, in order.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	m.now = now
	m.out = nil
	if m.stopped {
		m.stepStopped(msg)
		return m.out
	}
	switch msg := msg.(type) {
	case Start:
		m.commit()
	case Append:
		m.append(msg.Entries)
	case Nodes:
		m.pace.nodes = max(msg.Count, 1)
	case TakeOver:
		m.adopt(msg.Log)
	case Retire:
		m.retire.wanted = true
	case Result:
		m.result(msg)
	case Tick:
	}
	m.advance()
	return m.out
}

// stepStopped answers what would wait for ever after the log has been sealed.
func (m *Machine) stepStopped(msg Message) {
	switch msg := msg.(type) {
	case TakeOver:
		m.emit(TakeoverDone{Log: msg.Log, Err: ErrStopped})
	case Append:
		m.lastSequence += uint64(len(msg.Entries))
	}
}

// advance starts what has become possible.
func (m *Machine) advance() {
	m.runTimers()
	m.startAdoption()
	m.commit()
	m.startCheckpoint()
	m.forgetRedirects()
	m.retireIfIdle()
	m.scheduleWake()
}

// scheduleWake asks for the next tick, when there is something to wait for.
func (m *Machine) scheduleWake() {
	if m.stopped {
		return
	}
	var at time.Time
	if i := m.earliestTimer(); i >= 0 {
		at = m.timers[i].at
	}
	if m.inFlight == nil && m.wantsCommit() && (at.IsZero() || m.pace.next.Before(at)) {
		at = m.pace.next
	}
	if !at.IsZero() {
		m.emit(WakeAt{At: at})
	}
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

// stop ends the machine: the log is sealed or gone.
func (m *Machine) stop(successor structs.LogID) {
	if m.stopped {
		return
	}
	m.stopped = true
	m.successor = successor
	m.emit(Stopped{Successor: successor})
	if m.adoption != nil {
		m.emit(TakeoverDone{Log: m.adoption.root, Err: ErrStopped})
	}
	for _, log := range m.toAdopt {
		m.emit(TakeoverDone{Log: log, Err: ErrStopped})
	}
	m.calls = make(map[uint64]*call)
	m.timers = nil
}

// Full says that the entries not yet committed exceed the limit of the settings. The
// shell then takes no more until it no longer holds; nothing is dropped.
func (m *Machine) Full() bool { return m.pendingBytes() >= m.cfg.PendingBytes }

func (m *Machine) pendingBytes() int {
	n := m.queueBytes
	if m.inFlight != nil {
		n += m.inFlight.bytes
	}
	return n
}

// LastSequence returns the sequence number of the entry appended last.
func (m *Machine) LastSequence() uint64 { return m.lastSequence }

// Check returns the error for which entries may not be appended, if any.
func (m *Machine) Check(entries []Entry) error {
	if m.stopped {
		return ErrStopped
	}
	size := 0
	for _, e := range entries {
		if strings.HasPrefix(e.Kind, reservedPrefix) || e.Program == "" {
			return ErrReservedKind
		}
		size += e.size()
	}
	if size > m.cfg.PendingBytes {
		return ErrTooLarge
	}
	return nil
}

// Status describes a machine for operators.
type Status struct {
	// Opened says that the log's first record is kept; Stopped that the log is sealed.
	Opened, Stopped bool
	// Successor is the log that took over, if Stopped.
	Successor structs.LogID
	// Records is the number of records created so far.
	Records uint64
	// Committed is the sequence number through which entries are kept, LastAppended that of the last append.
	Committed, LastAppended uint64
	// PendingBytes is the size of the entries not yet committed.
	PendingBytes int
	// Programs is the number of live programs, Redirects that of the logs taken over whose
	// redirect row exists.
	Programs, Redirects int
	// OutageSince is when the platform ceased to answer; zero while it does.
	OutageSince time.Time
	// Interval is the time that one write takes up.
	Interval time.Duration
}

// Status returns the machine's present state.
func (m *Machine) Status() Status {
	return Status{
		Opened: m.opened, Stopped: m.stopped, Successor: m.successor,
		Records: m.nextNumber, Committed: m.committed, LastAppended: m.lastSequence,
		PendingBytes: m.pendingBytes(), Programs: len(m.state.live), Redirects: len(m.state.adopted),
		OutageSince: m.outageSince, Interval: m.pace.interval(),
	}
}
