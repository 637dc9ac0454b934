package admission

import (
	"hash/fnv"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Defaults of Config, and shares of the capacity and of RetryAfter.
const (
	defaultCapacity  = 256
	defaultBlockSize = 8
	defaultRetryMin  = 200 * time.Millisecond
	defaultRetryMax  = 30 * time.Second
	// reserveDivisor sets the reserve of Capacity/reserveDivisor turns, see borrow.
	reserveDivisor = 8
	// retryJitterDivisor limits the jitter to less than RetryAfter/retryJitterDivisor.
	retryJitterDivisor = 4
)

// Config bounds what a Machine admits. Fields that are zero or negative take the defaults.
type Config struct {
	// Capacity is the number of turns that may be in progress, one for each program; 256 by
	// default.
	Capacity int
	// BlockSize is the number of turns that an organisation borrows from the capacity at once;
	// 8 by default.
	BlockSize int
	// RetryMin and RetryMax bound the RetryAfter of a refusal before jitter; 200 ms and 30 s by
	// default.
	RetryMin, RetryMax time.Duration
}

// Message is an input of Machine.
type Message interface{ message() }

// Offer asks to admit one turn of a program.
type Offer struct {
	Program      structs.ProgramID
	Organisation structs.OrganisationID
	// Kind is the kind of the program. Machine does not use it.
	Kind string
	// Started reports whether an earlier turn of the program was admitted.
	Started bool
	// Deadline is the caller's deadline; zero when there is none.
	Deadline time.Time
	// Predicted is the predicted time until the turn's answer, and Wait the predicted time until
	// an upstream starts the turn.
	Predicted, Wait time.Duration
}

// Ended reports that an admitted turn has ended.
type Ended struct {
	Program structs.ProgramID
	// Late reports whether the turn ended after its caller's deadline or was abandoned.
	Late bool
}

// Resize sets the capacity, which changes as engines are added and removed. It may be 0, and the
// turns in progress may exceed it.
type Resize struct {
	Capacity int
}

// Switch puts a preset in force.
type Switch struct {
	Preset structs.Preset
}

func (Offer) message()  {}
func (Ended) message()  {}
func (Resize) message() {}
func (Switch) message() {}

// Effect is an output of Machine.
type Effect interface{ effect() }

// Admit admits the offered turn.
type Admit struct {
	Program structs.ProgramID
}

// Refuse refuses the offered turn. Nothing of it has run.
type Refuse struct {
	Program structs.ProgramID
	Refusal *structs.Refusal
}

func (Admit) effect()  {}
func (Refuse) effect() {}

// Machine admits turns at one entry. Organisations borrow capacity in blocks of turns. An eighth
// of the capacity is reserved for started programs and for organisations that use less than an
// even share. The state grows with the turns in progress, not with the number of organisations.
// It is not safe for concurrent use.
type Machine struct {
	cfg    Config
	preset structs.Preset
	// running maps the programs with a turn in progress to their organisations.
	running map[structs.ProgramID]structs.OrganisationID
	// accounts holds the organisations with a turn in progress.
	accounts map[structs.OrganisationID]*account
	// lent is the number of turns that all organisations have borrowed.
	lent            int
	newProgramLimit newProgramLimit
}

// account counts the turns that an organisation has borrowed, and those of them in progress.
type account struct {
	borrowed int
	used     int
}

// New returns a Machine. It admits no new program until a preset is in force.
func New(cfg Config) *Machine {
	setDefault(&cfg.Capacity, defaultCapacity)
	setDefault(&cfg.BlockSize, defaultBlockSize)
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

// Step processes one message and returns its effects.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	switch msg := msg.(type) {
	case Offer:
		return []Effect{m.offer(now, msg)}
	case Ended:
		m.newProgramLimit.ended(now, len(m.running), msg.Late)
		m.release(msg.Program)
	case Resize:
		m.cfg.Capacity = max(0, msg.Capacity)
	case Switch:
		m.preset = msg.Preset
	}
	return nil
}

// Running returns the number of turns in progress.
func (m *Machine) Running() int { return len(m.running) }

// Organisations returns the number of organisations with a turn in progress.
func (m *Machine) Organisations() int { return len(m.accounts) }

// offer admits or refuses one turn. A program that already has a turn in progress is admitted
// without using more capacity.
func (m *Machine) offer(now time.Time, o Offer) Effect {
	if _, ok := m.running[o.Program]; ok {
		return Admit{Program: o.Program}
	}
	if !o.Started && !m.preset.AdmitNew {
		return m.refuse(o, structs.CodeNotReady, m.cfg.RetryMax, "preset %q opens no programs", m.preset.Name)
	}
	if late := m.lateBy(now, o); late > 0 {
		// The caller's patience in the text is the time until its deadline.
		return m.refuse(o, structs.CodeOverloaded, late, "answer predicted %v after the caller's patience", late)
	}
	if !o.Started && m.newProgramLimit.reached(len(m.running)) {
		return m.refuse(o, structs.CodeOverloaded, m.expectedWait(o), "turns end too late with %d under way", len(m.running))
	}
	if !m.acquire(o) {
		return m.refuse(o, structs.CodeOverloaded, m.expectedWait(o), "organisation %q has no share left of %d turns", o.Organisation, m.cfg.Capacity)
	}
	m.running[o.Program] = o.Organisation
	return Admit{Program: o.Program}
}

// lateBy returns how long after the caller's deadline the turn is predicted to end. For a started
// program it is how long after the deadline the turn is predicted to start, so that such a turn is
// refused only when the wait alone exceeds the time left. The result is not positive for a turn
// that is predicted to be in time.
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

// expectedWait estimates when capacity becomes free: the offered turn's predicted time divided by
// the number of turns in progress, but at least its wait.
func (m *Machine) expectedWait(o Offer) time.Duration {
	turns := max(1, len(m.running))
	return max(o.Wait, o.Predicted/time.Duration(turns))
}

// acquire takes one turn of the organisation's borrowed capacity. When that is used up, it
// borrows a further block.
func (m *Machine) acquire(o Offer) bool {
	a := m.accounts[o.Organisation]
	if a == nil {
		a = &account{}
	}
	if a.used >= a.borrowed {
		if !m.borrow(o, a) {
			return false
		}
	}
	a.used++
	m.accounts[o.Organisation] = a
	return true
}

// borrow adds up to BlockSize turns to the account, but at most one when fewer turns than the size
// of the reserve are available. It reports whether it added any. Only started programs and
// organisations that use less than an even share may borrow from the reserve.
func (m *Machine) borrow(o Offer, a *account) bool {
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
	a.borrowed += size
	m.lent += size
	return true
}

// evenShare returns the capacity divided by the number of organisations with a turn in progress
// plus 1, for one that may arrive; at least 1.
func (m *Machine) evenShare() int {
	return max(1, m.cfg.Capacity/(len(m.accounts)+1))
}

// release ends the program's turn. The organisation returns all that it has borrowed when it has no
// turn left in progress, and its unused turns when they make up a block or the capacity is fully
// lent.
func (m *Machine) release(program structs.ProgramID) {
	organisation, ok := m.running[program]
	if !ok {
		return
	}
	delete(m.running, program)
	a := m.accounts[organisation]
	a.used--
	if a.used == 0 {
		m.lent -= a.borrowed
		delete(m.accounts, organisation)
		return
	}
	unused := a.borrowed - a.used
	if unused >= m.cfg.BlockSize || m.lent >= m.cfg.Capacity {
		a.borrowed -= unused
		m.lent -= unused
	}
}

// refuse returns a refusal with the given RetryAfter, clamped to RetryMin and RetryMax, plus jitter.
func (m *Machine) refuse(o Offer, code structs.Code, retryAfter time.Duration, format string, args ...any) Effect {
	r := structs.Refusalf(code, structs.OutcomeNotRun, "admission", format, args...)
	r.RetryAfter = m.jitter(o.Program, min(max(retryAfter, m.cfg.RetryMin), m.cfg.RetryMax))
	return Refuse{Program: o.Program, Refusal: r}
}

// jitter adds up to a quarter of retryAfter, chosen by a hash of the program's id, so that callers
// that are refused at the same time do not all retry at the same time.
func (m *Machine) jitter(program structs.ProgramID, retryAfter time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(program))
	const buckets = 1024
	part := retryAfter / retryJitterDivisor * time.Duration(h.Sum32()%buckets) / buckets
	return retryAfter + part
}
