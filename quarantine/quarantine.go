// Package quarantine finds requests that crash each upstream that runs them, and
// refuses them everywhere, whoever sends them again under whatever key.
//
// An upstream that crashes makes suspects of all requests that ran there. A suspect
// gets one further try: elsewhere, with nothing beside it. If that upstream crashes
// too, the request is quarantined; if it ends, the request is cleared. So a request
// is blamed only for a crash at which it was alone, and those that merely ran beside
// the culprit go on. Entries spread what they find, one of them owns a suspect's try,
// and the others let the same request wait meanwhile.
package quarantine

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

// Config sets one entry's machine.
type Config struct {
	Node structs.NodeID
	// SuspectFor, ClearedFor and QuarantinedFor are how long a record lasts.
	SuspectFor     time.Duration
	ClearedFor     time.Duration
	QuarantinedFor time.Duration
	// TryTimeout is the time after which a try counts as not made.
	TryTimeout time.Duration
	// OwnerWait is how long an entry leaves a suspect's try to its owner at least; at
	// most it is twice that.
	OwnerWait time.Duration
	// MaxTries bounds the tries that one entry runs at once; each takes an upstream for itself.
	MaxTries int
	// MaxRecords bounds the table.
	MaxRecords int
}

// DefaultConfig returns the defaults: suspects for 1 min, cleared ones for 10 s,
// quarantine for 10 min, tries of 30 s, 5 s for an owner, 2 tries at once and 4096
// records.
func DefaultConfig(node structs.NodeID) Config {
	return Config{
		Node:           node,
		SuspectFor:     time.Minute,
		ClearedFor:     10 * time.Second,
		QuarantinedFor: 10 * time.Minute,
		TryTimeout:     30 * time.Second,
		OwnerWait:      5 * time.Second,
		MaxTries:       2,
		MaxRecords:     4096,
	}
}

// Message is what a machine is stepped with.
type Message interface{ isMessage() }

// Tick lets time pass; the shell sends one each second.
type Tick struct{}

// Admit asks whether and how an attempt may run. It is answered by Run, Wait or Refuse.
type Admit struct {
	Call        structs.CallID
	Attempt     uint32
	Fingerprint Fingerprint
}

// Ended says that an attempt is over without a crash of its upstream.
type Ended struct {
	Call structs.CallID
	// Ran says that it ran to its end. Otherwise it was cancelled, refused or lost,
	// and tells nothing.
	Ran bool
}

// Crashed says that the upstream crashed while it ran the call.
type Crashed struct {
	Call     structs.CallID
	Upstream structs.UpstreamID
	// Alone is the side's word that nothing ran beside the call.
	Alone bool
}

// RecordsReceived brings records of a peer.
type RecordsReceived struct{ Records []Record }

// DigestReceived brings the digest of a peer's records.
type DigestReceived struct {
	From   structs.NodeID
	Digest uint64
}

func (Tick) isMessage()            {}
func (Admit) isMessage()           {}
func (Ended) isMessage()           {}
func (Crashed) isMessage()         {}
func (RecordsReceived) isMessage() {}

func (DigestReceived) isMessage() {}

// Effect is what the shell carries out.
type Effect interface{ isEffect() }

// Run answers an Ask: the attempt may run. The shell tells its end by Ended or Crashed.
type Run struct {
	Call structs.CallID
	// Alone says that nothing may run beside it, and not at the upstream Avoid.
	Alone bool
	Avoid structs.UpstreamID
}

// Wait answers an Ask: the shell asks again at the time.
type Wait struct {
	Call  structs.CallID
	Until time.Time
}

// Refuse answers an Ask.
type Refuse struct {
	Call    structs.CallID
	Refusal *structs.Refusal
}

// BroadcastRecords sends records to the peers.
type BroadcastRecords struct{ Records []Record }

// BroadcastDigest sends the digest of the records to the peers, each second.
type BroadcastDigest struct{ Digest uint64 }

// SendRecords sends records to one peer whose digest is another.
type SendRecords struct {
	To      structs.NodeID
	Records []Record
}

// StateChanged says that a request became suspected, cleared or quarantined here.
type StateChanged struct {
	Fingerprint Fingerprint
	State       State
}

func (Run) isEffect()              {}
func (Wait) isEffect()             {}
func (Refuse) isEffect()           {}
func (BroadcastRecords) isEffect() {}
func (StateChanged) isEffect()     {}

func (BroadcastDigest) isEffect() {}
func (SendRecords) isEffect()     {}

// attempt is one attempt under way.
type attempt struct {
	fingerprint Fingerprint
	// try says that it is the further try of a suspect.
	try   bool
	began time.Time
}

// Machine is the state of one entry. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	now     time.Time
	effects []Effect
	table   *table
	running map[structs.CallID]attempt
	// tries maps a suspect to the call that tries it.
	tries map[Fingerprint]structs.CallID
	// sent counts the records sent to peers with another digest.
	sent int
}

// New returns a machine that knows of no suspect.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:     cfg,
		table:   newTable(cfg.MaxRecords),
		running: make(map[structs.CallID]attempt),
		tries:   make(map[Fingerprint]structs.CallID),
	}
}

// Step takes one message at time now and returns the effects in order.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	m.now = now
	switch msg := msg.(type) {
	case Tick:
		m.tick()
	case Admit:
		m.ask(msg)
	case Ended:
		m.ended(msg)
	case Crashed:
		m.crashed(msg)
	case RecordsReceived:
		m.heard(msg)
	case DigestReceived:
		m.heardDigest(msg)
	}
	effects := m.effects
	m.effects = nil
	return effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) tick() {
	m.table.expire(m.now)
	for _, call := range m.overdueTries() {
		m.endTry(call)
	}
	m.emit(BroadcastDigest{Digest: m.table.digest})
}

// overdueTries returns the tries whose end should have been heard by now.
func (m *Machine) overdueTries() []structs.CallID {
	var out []structs.CallID
	for _, call := range m.tries {
		if m.now.Sub(m.running[call].began) >= m.cfg.TryTimeout {
			out = append(out, call)
		}
	}
	slices.Sort(out)
	return out
}

// heardDigest sends records to a peer that knows others: one that has just started,
// or was cut off while records were spread. A large table goes in parts, in turn.
func (m *Machine) heardDigest(h DigestReceived) {
	if h.Digest == m.table.digest {
		return
	}
	order := m.table.order()
	part := make([]Fingerprint, 0, maxSendRecords)
	for i := range min(len(order), maxSendRecords) {
		part = append(part, order[(m.sent+i)%len(order)])
	}
	m.sent += len(part)
	if len(part) > 0 {
		m.emit(SendRecords{To: h.From, Records: m.table.wire(m.now, part)})
	}
}

// maxSendRecords bounds the records that one peer is sent a second.
const maxSendRecords = 64

// endTry forgets an attempt and, when it was a try, frees its place.
func (m *Machine) endTry(call structs.CallID) attempt {
	a := m.running[call]
	delete(m.running, call)
	if a.try && m.tries[a.fingerprint] == call {
		delete(m.tries, a.fingerprint)
	}
	return a
}

func (m *Machine) ask(q Admit) {
	r := m.table.rows[q.Fingerprint]
	switch {
	case r == nil || r.State == Cleared:
		m.running[q.Call] = attempt{fingerprint: q.Fingerprint, began: m.now}
		m.emit(Run{Call: q.Call})
	case r.State == Quarantined:
		m.refuse(q)
	default:
		m.askSuspect(q, r)
	}
}

func (m *Machine) refuse(q Admit) {
	outcome := structs.OutcomeNotRun
	if q.Attempt > 1 {
		outcome = structs.OutcomeUnknown
	}
	m.emit(Refuse{Call: q.Call, Refusal: structs.Refusalf(structs.CodeQuarantined, outcome, "quarantine",
		"request %s has crashed the upstreams that ran it", q.Fingerprint)})
}

// askSuspect starts the suspect's try when it is this entry's and none is under way.
func (m *Machine) askSuspect(q Admit, r *row) {
	if r.Owner != m.cfg.Node {
		if until := r.heard.Add(m.ownerWait(q.Fingerprint)); m.now.Before(until) {
			m.emit(Wait{Call: q.Call, Until: until})
			return
		}
		m.claim(r)
	}
	_, trying := m.tries[q.Fingerprint]
	if trying || len(m.tries) >= m.cfg.MaxTries {
		m.emit(Wait{Call: q.Call, Until: m.now.Add(m.cfg.OwnerWait / 2)})
		return
	}
	m.tries[q.Fingerprint] = q.Call
	m.running[q.Call] = attempt{fingerprint: q.Fingerprint, try: true, began: m.now}
	m.emit(Run{Call: q.Call, Alone: true, Avoid: r.Avoid})
}

// ownerWait differs between entries, so that one of them claims a try first and the
// others hear of it.
func (m *Machine) ownerWait(f Fingerprint) time.Duration {
	h := xxhash.Sum64String(string(m.cfg.Node) + string(f[:]))
	return m.cfg.OwnerWait + time.Duration(h%uint64(m.cfg.OwnerWait))
}

// claim takes the try over from an owner that has not made it in time.
func (m *Machine) claim(r *row) {
	next := r.Record
	next.Claim++
	next.Owner = m.cfg.Node
	m.put(next, m.cfg.SuspectFor)
}

// put stores a record that is news, and spreads it.
func (m *Machine) put(r Record, lasts time.Duration) {
	before := m.table.rows[r.Fingerprint]
	changed := before == nil || before.State != r.State || before.Episode != r.Episode
	m.table.put(r, m.now, lasts)
	if changed {
		m.emit(StateChanged{Fingerprint: r.Fingerprint, State: r.State})
	}
	m.emit(BroadcastRecords{Records: m.table.wire(m.now, []Fingerprint{r.Fingerprint})})
}

// ended clears a suspect whose try ran to its end.
func (m *Machine) ended(e Ended) {
	a := m.endTry(e.Call)
	r := m.table.rows[a.fingerprint]
	if !a.try || !e.Ran || r == nil || r.State != Suspect {
		return
	}
	next := r.Record
	next.State = Cleared
	m.put(next, m.cfg.ClearedFor)
}

// crashed makes a suspect of the call's request, and quarantines one that was a
// suspect already and ran alone.
func (m *Machine) crashed(c Crashed) {
	if _, found := m.running[c.Call]; !found {
		return
	}
	a := m.endTry(c.Call)
	r := m.table.rows[a.fingerprint]
	switch {
	case r == nil:
		m.suspect(Record{Fingerprint: a.fingerprint, Episode: 1}, c.Upstream)
	case r.State == Cleared:
		next := r.Record
		next.Episode++
		m.suspect(next, c.Upstream)
	case r.State == Suspect && c.Alone:
		next := r.Record
		next.State = Quarantined
		m.put(next, m.cfg.QuarantinedFor)
	}
}

func (m *Machine) suspect(r Record, crashed structs.UpstreamID) {
	r.State = Suspect
	r.Claim = 0
	r.Owner = m.cfg.Node
	r.Avoid = crashed
	m.put(r, m.cfg.SuspectFor)
}

// heard takes over the records that are news here, and passes them on.
func (m *Machine) heard(h RecordsReceived) {
	for _, r := range h.Records {
		if !r.sound() {
			continue
		}
		if known := m.table.rows[r.Fingerprint]; known != nil && !r.newer(known.Record) {
			continue
		}
		m.put(r, min(r.Lasts-hopAge, m.cfg.QuarantinedFor))
	}
}
