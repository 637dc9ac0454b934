package homelog

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Machine is the state machine of the home log of one process. It holds in memory the
// entries not yet committed, those committed since the last checkpoint, and the ids of the
// live programs. It is not safe for concurrent use.
type Machine struct {
	cfg Config
	rng *rand.Rand
	// now and out are the time and the effects of the current step.
	now time.Time
	out []Effect

	// calls are the outstanding requests by call number.
	calls     map[uint64]*call
	lastCall  uint64
	timers    []timer
	lastTimer uint64
	pacer     pacer

	opened    bool
	stopped   bool
	successor structs.LogID

	// queue are the appended groups that no batch contains yet, and queueBytes their size.
	queue      []group
	queueBytes int
	// lastSequence is the sequence number of the last entry appended.
	lastSequence uint64
	// committed is the sequence number of the last entry committed.
	committed uint64
	// nextNumber is the number of the next record.
	nextNumber uint64
	// inFlight is the record being created; nil if there is none.
	inFlight *batch
	waiting  []waiter

	// state results from the committed entries.
	state       *state
	checkpoints checkpointer
	// takeover is the takeover in progress; nil if there is none. takeoverQueue are the logs
	// whose takeover is requested and has not begun.
	takeover      *takeover
	takeoverQueue []structs.LogID
	// removing are the logs whose records are being deleted.
	removing map[structs.LogID]bool
	// retainUntil is the time before which a log's redirect row is not deleted.
	retainUntil map[structs.LogID]time.Time
	// deletingRedirect is set while a redirect row is being deleted; only one is at a time.
	deletingRedirect bool
	retire           retirement

	// outageSince is the time of the first Unknown result since the last one that was Done,
	// ConditionFailed or NotFound; zero if there was none.
	outageSince time.Time
}

// New returns a machine for a log that does not exist yet. The first message must be Start,
// which opens the log.
func New(cfg Config) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		calls: make(map[uint64]*call),
		pacer: newPacer(cfg),
		state: newState(),

		removing:    make(map[structs.LogID]bool),
		retainUntil: make(map[structs.LogID]time.Time),
	}
}

// Step handles one message at the time now and returns the effects that the driver has to
// carry out, in order.
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
		m.pacer.nodes = max(msg.Count, 1)
	case TakeOver:
		m.queueTakeover(msg.Log)
	case Retire:
		m.retire.requested = true
	case Result:
		m.result(msg)
	case Tick:
	}
	m.advance()
	return m.out
}

// stepStopped handles messages that come after the machine has stopped, so that no caller
// waits for ever. An append still gets sequence numbers, which are never committed.
func (m *Machine) stepStopped(msg Message) {
	switch msg := msg.(type) {
	case TakeOver:
		m.emit(TakeoverDone{Log: msg.Log, Err: ErrStopped})
	case Append:
		m.lastSequence += uint64(len(msg.Entries))
	}
}

// advance runs the due timers and starts all work that can start now.
func (m *Machine) advance() {
	m.runTimers()
	m.startTakeover()
	m.commit()
	m.startCheckpoint()
	m.deleteRedirects()
	m.retireIfIdle()
	m.requestWake()
}

// requestWake emits WakeAt for the next timer or commit, if there is one.
func (m *Machine) requestWake() {
	if m.stopped {
		return
	}
	var at time.Time
	if i := m.earliestTimer(); i >= 0 {
		at = m.timers[i].at
	}
	if m.inFlight == nil && m.wantsCommit() && (at.IsZero() || m.pacer.next.Before(at)) {
		at = m.pacer.next
	}
	if !at.IsZero() {
		m.emit(WakeAt{At: at})
	}
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

// stop stops the machine because the log is sealed or deleted. Pending takeovers fail.
func (m *Machine) stop(successor structs.LogID) {
	if m.stopped {
		return
	}
	m.stopped = true
	m.successor = successor
	m.emit(Stopped{Successor: successor})
	if m.takeover != nil {
		m.emit(TakeoverDone{Log: m.takeover.root, Err: ErrStopped})
	}
	for _, log := range m.takeoverQueue {
		m.emit(TakeoverDone{Log: log, Err: ErrStopped})
	}
	m.calls = make(map[uint64]*call)
	m.timers = nil
}

// Full reports whether the entries not yet committed have reached Config.PendingBytes. The
// driver must then append no more until Full reports false. The machine does not enforce
// this: it drops no entry.
func (m *Machine) Full() bool { return m.pendingBytes() >= m.cfg.PendingBytes }

func (m *Machine) pendingBytes() int {
	n := m.queueBytes
	if m.inFlight != nil {
		n += m.inFlight.bytes
	}
	return n
}

// LastSequence returns the sequence number of the last entry appended.
func (m *Machine) LastSequence() uint64 { return m.lastSequence }

// Check returns ErrStopped, ErrReservedKind or ErrTooLarge if the entries may not be appended.
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

// Status describes the state of a machine for operators.
type Status struct {
	// Opened reports whether the log's first record is durable; Stopped, whether the log is
	// sealed or deleted.
	Opened, Stopped bool
	// Successor is the log that took over, if Stopped.
	Successor structs.LogID
	// Records is the number of records created so far.
	Records uint64
	// Committed is the sequence number up to which entries are durable, LastAppended that
	// of the last entry appended.
	Committed, LastAppended uint64
	// PendingBytes is the size of the entries not yet committed, in bytes.
	PendingBytes int
	// Programs is the number of live programs, Redirects the number of logs taken over whose
	// redirect row exists.
	Programs, Redirects int
	// OutageSince is the time at which the platform stopped answering; zero if it answers.
	OutageSince time.Time
	// Interval is the average interval between writes that the pacer permits at present.
	Interval time.Duration
}

// Status returns the current state of the machine.
func (m *Machine) Status() Status {
	return Status{
		Opened: m.opened, Stopped: m.stopped, Successor: m.successor,
		Records: m.nextNumber, Committed: m.committed, LastAppended: m.lastSequence,
		PendingBytes: m.pendingBytes(), Programs: len(m.state.live), Redirects: len(m.state.takenOver),
		OutageSince: m.outageSince, Interval: m.pacer.interval(),
	}
}
