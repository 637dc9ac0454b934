package admission

import (
	"hash/fnv"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Defaults of Config.
const (
	defaultCapacity  = 256
	defaultLump      = 8
	defaultRetryMin  = 200 * time.Millisecond
	defaultRetryMax  = 30 * time.Second
	reserveDivisor   = 8
	retrySpreadShare = 4
)

// Config bounds what a Machine lets in; zero fields take the defaults.
type Config struct {
	// Capacity is the number of programs that may have a turn under way; 256 by default.
	Capacity int
	// BlockSize is the number of turns by which an organisation borrows; 8 by default.
	BlockSize int
	// RetryMin and RetryMax bound RetryAfter; 200 ms and 30 s by default.
	RetryMin, RetryMax time.Duration
}

// Message is an input of Machine.
type Message interface{ message() }

// Offer asks to let in one turn of a program.
type Offer struct {
	Program      structs.ProgramID
	Organisation structs.OrganisationID
	Kind         string
	// Started says that the program has been let in before.
	Started bool
	// Deadline is when the caller's patience ends; zero sets none.
	Deadline time.Time
	// Predicted is the time until the turn's answer; Wait the part before any upstream starts it.
	Predicted, Wait time.Duration
}

// Ended says that a turn that was let in has ended.
type Ended struct {
	Program structs.ProgramID
	// Late says that it ended after its caller's patience, or was given up.
	Late bool
}

// Resize sets the capacity, as engines come and go.
type Resize struct {
	Capacity int
}

// Switch takes the preset in force.
type Switch struct {
	Preset structs.Preset
}

func (Offer) message()  {}
func (Ended) message()  {}
func (Resize) message() {}
func (Switch) message() {}

// Effect is an output of Machine.
type Effect interface{ effect() }

// Admit lets the offered turn in.
type Admit struct {
	Program structs.ProgramID
}

// Refuse refuses the offered turn; nothing of it has run.
type Refuse struct {
	Program structs.ProgramID
	Refusal *structs.Refusal
}

func (Admit) effect()  {}
func (Refuse) effect() {}

// Machine lets turns in at one entry. Organisations borrow capacity in lumps; an
// eighth of it stays in reserve for programs under way and for organisations below
// an even share. Its state grows with the turns under way, not with the number of
// organisations. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	preset   structs.Preset
	running  map[structs.ProgramID]structs.OrganisationID
	accounts map[structs.OrganisationID]*account
	lent     int
	pressure pressure
}

// account is what an organisation has borrowed and uses.
type account struct {
	lumps int
	used  int
}

// New returns a Machine that lets nothing be opened before a preset is in force.
func New(cfg Config) *Machine {
	setDefault(&cfg.Capacity, defaultCapacity)
	setDefault(&cfg.BlockSize, defaultLump)
	setDefault(&cfg.RetryMin, defaultRetryMin)
	setDefault(&cfg.RetryMax, defaultRetryMax)
	return &Machine{
		cfg:      cfg,
		running:  make(map[structs.ProgramID]structs.OrganisationID),
		accounts: make(map[structs.OrganisationID]*account),
	}
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

// Step takes one message and returns its effects.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	switch msg := msg.(type) {
	case Offer:
		return []Effect{m.offer(now, msg)}
	case Ended:
		m.pressure.ended(now, len(m.running), msg.Late)
		m.ended(msg.Program)
	case Resize:
		m.cfg.Capacity = max(0, msg.Capacity)
	case Switch:
		m.preset = msg.Preset
	}
	return nil
}

// Running returns the number of turns under way, Organisations of those that have any.
func (m *Machine) Running() int { return len(m.running) }

// Organisations returns the number of organisations with a turn under way.
func (m *Machine) Organisations() int { return len(m.accounts) }

func (m *Machine) offer(now time.Time, o Offer) Effect {
	if _, ok := m.running[o.Program]; ok {
		return Admit{Program: o.Program}
	}
	if !o.Started && !m.preset.AdmitNew {
		return m.refuse(o, structs.CodeNotReady, m.cfg.RetryMax, "preset %q opens no programs", m.preset.Name)
	}
	if late := m.lateBy(now, o); late > 0 {
		return m.refuse(o, structs.CodeOverloaded, late, "answer predicted %v after the caller's patience", late)
	}
	if !o.Started && m.pressure.full(len(m.running)) {
		return m.refuse(o, structs.CodeOverloaded, m.backlog(o), "turns end too late with %d under way", len(m.running))
	}
	if !m.borrow(o) {
		return m.refuse(o, structs.CodeOverloaded, m.backlog(o), "organisation %q has no share left of %d turns", o.Organisation, m.cfg.Capacity)
	}
	m.running[o.Program] = o.Organisation
	return Admit{Program: o.Program}
}

// lateBy returns how long after the deadline the turn would end. A program under way
// is let in unless the wait alone exceeds what its caller has left.
func (m *Machine) lateBy(now time.Time, o Offer) time.Duration {
	if o.Deadline.IsZero() {
		return 0
	}
	predicted := o.Predicted
	if o.Started {
		predicted = o.Wait
	}
	return now.Add(predicted).Sub(o.Deadline)
}

// backlog returns the time in which the turns under way make room for one more.
func (m *Machine) backlog(o Offer) time.Duration {
	turns := max(1, len(m.running))
	return max(o.Wait, o.Predicted/time.Duration(turns))
}

// borrow takes one turn of the organisation's lumps, and a further lump when they
// are used up.
func (m *Machine) borrow(o Offer) bool {
	a := m.accounts[o.Organisation]
	if a == nil {
		a = &account{}
	}
	if a.used >= a.lumps {
		if !m.lend(o, a) {
			return false
		}
	}
	a.used++
	m.accounts[o.Organisation] = a
	return true
}

// lend gives the organisation a lump, or single turns where no whole lump is left.
// The reserve is open to programs under way and to organisations below an even share.
func (m *Machine) lend(o Offer, a *account) bool {
	free := m.cfg.Capacity - m.lent
	if !o.Started && a.used >= m.evenShare() {
		free -= m.cfg.Capacity / reserveDivisor
	}
	size := min(m.cfg.BlockSize, free)
	if free < m.cfg.Capacity/reserveDivisor {
		size = min(1, free)
	}
	if size <= 0 {
		return false
	}
	a.lumps += size
	m.lent += size
	return true
}

// evenShare is the capacity over the organisations with a turn under way and one
// that may come, at least 1.
func (m *Machine) evenShare() int {
	return max(1, m.cfg.Capacity/(len(m.accounts)+1))
}

// ended returns the turn, and whole lumps that the organisation no longer uses.
func (m *Machine) ended(program structs.ProgramID) {
	organisation, ok := m.running[program]
	if !ok {
		return
	}
	delete(m.running, program)
	a := m.accounts[organisation]
	a.used--
	if a.used == 0 {
		m.lent -= a.lumps
		delete(m.accounts, organisation)
		return
	}
	spare := a.lumps - a.used
	if spare >= m.cfg.BlockSize || m.lent >= m.cfg.Capacity {
		a.lumps -= spare
		m.lent -= spare
	}
}

func (m *Machine) refuse(o Offer, code structs.Code, after time.Duration, format string, args ...any) Effect {
	r := structs.Refusalf(code, structs.OutcomeNotRun, "admission", format, args...)
	r.RetryAfter = m.spread(o.Program, min(max(after, m.cfg.RetryMin), m.cfg.RetryMax))
	return Refuse{Program: o.Program, Refusal: r}
}

// spread adds up to a quarter by the program's id, so that callers refused together
// do not come back together.
func (m *Machine) spread(program structs.ProgramID, after time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(program))
	const buckets = 1024
	part := after / retrySpreadShare * time.Duration(h.Sum32()%buckets) / buckets
	return after + part
}
