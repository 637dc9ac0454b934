// Package quarantine finds requests that crash every upstream that runs them, and refuses
// them at all entries (the processes that accept calls), whatever their caller and
// idempotency key.
//
// When an upstream crashes, each request that was running there becomes a suspect. A
// suspect is run once more in isolation: on another upstream, with no other request on it
// at the same time. This is its trial. If that upstream crashes too, the request is
// quarantined; if the request completes, it is cleared. A request is therefore blamed only
// for a crash at which it was alone on the upstream, and requests that only shared the
// upstream with the crashing one are cleared and complete. Entries exchange their records
// of requests. One entry owns the trial of a suspect; the other entries delay the same
// request until the trial has ended.
package quarantine

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

// Config configures the Machine of one entry.
type Config struct {
	// Node is the ID of this entry.
	Node structs.NodeID
	// SuspectTTL, ClearedTTL and QuarantinedTTL are the lifetimes of a record by its state.
	SuspectTTL     time.Duration
	ClearedTTL     time.Duration
	QuarantinedTTL time.Duration
	// TrialTimeout limits the duration of a trial. After it another trial of the request may
	// start.
	TrialTimeout time.Duration
	// OwnerWait is the least time that an entry gives the owner of a suspect's trial to complete
	// it, before the entry takes the trial over. Each entry waits between OwnerWait and
	// 2*OwnerWait.
	OwnerWait time.Duration
	// MaxTrials is the maximum number of trials that one entry runs at once. Each occupies a
	// whole upstream.
	MaxTrials int
	// MaxRecords is the maximum number of records that are held.
	MaxRecords int
}

// DefaultConfig returns the defaults: suspects expire after 1 min, cleared requests after
// 10 s and quarantined ones after 10 min; a trial times out after 30 s, its owner has at
// least 5 s to complete it, 2 trials run at once, and 4096 records are held.
func DefaultConfig(node structs.NodeID) Config {
	return Config{
		Node:           node,
		SuspectTTL:     time.Minute,
		ClearedTTL:     10 * time.Second,
		QuarantinedTTL: 10 * time.Minute,
		TrialTimeout:   30 * time.Second,
		OwnerWait:      5 * time.Second,
		MaxTrials:      2,
		MaxRecords:     4096,
	}
}

// Message is an input of Machine.Step.
type Message interface{ isMessage() }

// Tick reports that time has passed. The driver sends one each second.
type Tick struct{}

// Admit asks whether and how an attempt may run. It is answered by Run, Wait or Refuse.
type Admit struct {
	Call        structs.CallID
	Attempt     uint32
	Fingerprint Fingerprint
}

// Ended reports that an attempt is over and its upstream has not crashed.
type Ended struct {
	Call structs.CallID
	// Ran reports whether the attempt ran to completion. Otherwise it was cancelled, refused
	// or lost, which does not clear the request.
	Ran bool
}

// Crashed reports that the upstream crashed while it ran the call.
type Crashed struct {
	Call     structs.CallID
	Upstream structs.UpstreamID
	// Alone reports whether the call was the only one on the upstream, as observed by
	// buckthorn-side, the process that runs beside the upstream.
	Alone bool
}

// RecordsReceived carries records that a peer sent.
type RecordsReceived struct{ Records []Record }

// DigestReceived carries the digest of a peer's records, a hash by which entries detect that
// their records differ.
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

// Effect is an output of Machine.Step that the driver carries out.
type Effect interface{ isEffect() }

// Run answers Admit: the attempt may run. The driver reports its end by Ended or Crashed.
type Run struct {
	Call structs.CallID
	// Alone reports whether no other call may run on the upstream during the attempt.
	Alone bool
	// Avoid is the upstream that must not run an attempt with Alone set.
	Avoid structs.UpstreamID
}

// Wait answers Admit: the driver sends Admit again at Until.
type Wait struct {
	Call  structs.CallID
	Until time.Time
}

// Refuse answers Admit: the attempt must not run.
type Refuse struct {
	Call    structs.CallID
	Refusal *structs.Refusal
}

// BroadcastRecords sends records to all peers.
type BroadcastRecords struct{ Records []Record }

// BroadcastDigest sends the digest of the records to all peers, once per Tick.
type BroadcastDigest struct{ Digest uint64 }

// SendRecords sends records to one peer whose digest differs from this entry's.
type SendRecords struct {
	To      structs.NodeID
	Records []Record
}

// StateChanged reports that a request became suspect, cleared or quarantined at this entry.
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

// runningAttempt is an attempt that runs now.
type runningAttempt struct {
	fingerprint Fingerprint
	// trial reports whether the attempt is the trial of a suspect.
	trial   bool
	started time.Time
}

// Machine decides which requests one entry may run. It is a pure state machine: it does no
// I/O and reads no clock. It is not safe for concurrent use.
type Machine struct {
	cfg Config
	// now is the time of the current Step, effects are its effects so far.
	now     time.Time
	effects []Effect
	table   *table
	running map[structs.CallID]runningAttempt
	// trials maps a suspect to the call that runs its trial.
	trials map[Fingerprint]structs.CallID
	// sendOffset is the position in the sorted table at which the next SendRecords starts. All
	// peers share it.
	sendOffset int
}

// New returns a Machine without records.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:     cfg,
		table:   newTable(cfg.MaxRecords),
		running: make(map[structs.CallID]runningAttempt),
		trials:  make(map[Fingerprint]structs.CallID),
	}
}

// Step processes one message at time now and returns the effects in order.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	m.now = now
	switch msg := msg.(type) {
	case Tick:
		m.tick()
	case Admit:
		m.admit(msg)
	case Ended:
		m.ended(msg)
	case Crashed:
		m.crashed(msg)
	case RecordsReceived:
		m.receiveRecords(msg)
	case DigestReceived:
		m.receiveDigest(msg)
	}
	effects := m.effects
	m.effects = nil
	return effects
}

// emit adds an effect to those of the current Step.
func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// tick drops expired records and trials that timed out, and broadcasts the digest.
func (m *Machine) tick() {
	m.table.expire(m.now)
	for _, call := range m.overdueTrials() {
		m.endAttempt(call)
	}
	m.emit(BroadcastDigest{Digest: m.table.digest})
}

// overdueTrials returns the calls of trials that have run for TrialTimeout or longer
// without a report of their end, ordered by call ID.
func (m *Machine) overdueTrials() []structs.CallID {
	var out []structs.CallID
	for _, call := range m.trials {
		if m.now.Sub(m.running[call].started) >= m.cfg.TrialTimeout {
			out = append(out, call)
		}
	}
	slices.Sort(out)
	return out
}

// receiveDigest sends records to a peer whose digest differs, because the peer has just started
// or has missed broadcasts. A large table is sent in parts, one part per digest received.
func (m *Machine) receiveDigest(d DigestReceived) {
	if d.Digest == m.table.digest {
		return
	}
	order := m.table.sortedFingerprints()
	part := make([]Fingerprint, 0, maxSendRecords)
	for i := range min(len(order), maxSendRecords) {
		part = append(part, order[(m.sendOffset+i)%len(order)])
	}
	m.sendOffset += len(part)
	if len(part) > 0 {
		m.emit(SendRecords{To: d.From, Records: m.table.export(m.now, part)})
	}
}

// maxSendRecords is the maximum number of records in one SendRecords. A peer sends its digest
// each second, so it receives at most this many per second from each other entry.
const maxSendRecords = 64

// endAttempt removes an attempt and returns it, or a zero value if there is none. If it was a
// trial, another trial of the request may start.
func (m *Machine) endAttempt(call structs.CallID) runningAttempt {
	a := m.running[call]
	delete(m.running, call)
	if a.trial && m.trials[a.fingerprint] == call {
		delete(m.trials, a.fingerprint)
	}
	return a
}

// admit answers an attempt by the state of its request.
func (m *Machine) admit(a Admit) {
	r := m.table.records[a.Fingerprint]
	switch {
	case r == nil || r.State == Cleared:
		m.running[a.Call] = runningAttempt{fingerprint: a.Fingerprint, started: m.now}
		m.emit(Run{Call: a.Call})
	case r.State == Quarantined:
		m.refuse(a)
	default:
		m.admitSuspect(a, r)
	}
}

// refuse refuses a quarantined request. The first attempt has not run; after an earlier
// attempt the outcome is unknown.
func (m *Machine) refuse(a Admit) {
	outcome := structs.OutcomeNotRun
	if a.Attempt > 1 {
		outcome = structs.OutcomeUnknown
	}
	m.emit(Refuse{Call: a.Call, Refusal: structs.Refusalf(structs.CodeQuarantined, outcome, "quarantine",
		"request %s has crashed the upstreams that ran it", a.Fingerprint)})
}

// admitSuspect runs the attempt as the suspect's trial, or lets it wait: while another entry
// owns the trial and ownerWait has not passed, after which this entry claims it; while a trial
// of the suspect runs here; or while MaxTrials trials run here.
func (m *Machine) admitSuspect(a Admit, r *storedRecord) {
	if r.Owner != m.cfg.Node {
		if until := r.storedAt.Add(m.ownerWait(a.Fingerprint)); m.now.Before(until) {
			m.emit(Wait{Call: a.Call, Until: until})
			return
		}
		m.claim(r)
	}
	_, running := m.trials[a.Fingerprint]
	if running || len(m.trials) >= m.cfg.MaxTrials {
		// Ask again at intervals until a trial may start.
		m.emit(Wait{Call: a.Call, Until: m.now.Add(m.cfg.OwnerWait / 2)})
		return
	}
	m.trials[a.Fingerprint] = a.Call
	m.running[a.Call] = runningAttempt{fingerprint: a.Fingerprint, trial: true, started: m.now}
	m.emit(Run{Call: a.Call, Alone: true, Avoid: r.Avoid})
}

// ownerWait returns how long this entry waits for the owner to complete a suspect's trial. The
// wait differs between entries, so that one of them claims the trial first and its claim
// reaches the others before they do the same.
func (m *Machine) ownerWait(f Fingerprint) time.Duration {
	h := xxhash.Sum64String(string(m.cfg.Node) + string(f[:]))
	return m.cfg.OwnerWait + time.Duration(h%uint64(m.cfg.OwnerWait))
}

// claim makes this entry the owner of a suspect's trial when the previous owner has not completed
// it in time.
func (m *Machine) claim(r *storedRecord) {
	next := r.Record
	next.Claim++
	next.Owner = m.cfg.Node
	m.put(next, m.cfg.SuspectTTL)
}

// put stores a new or changed record and broadcasts it.
func (m *Machine) put(r Record, ttl time.Duration) {
	before := m.table.records[r.Fingerprint]
	changed := before == nil || before.State != r.State || before.Episode != r.Episode
	m.table.put(r, m.now, ttl)
	if changed {
		m.emit(StateChanged{Fingerprint: r.Fingerprint, State: r.State})
	}
	m.emit(BroadcastRecords{Records: m.table.export(m.now, []Fingerprint{r.Fingerprint})})
}

// ended clears a suspect whose trial ran to completion.
func (m *Machine) ended(e Ended) {
	a := m.endAttempt(e.Call)
	r := m.table.records[a.fingerprint]
	if !a.trial || !e.Ran || r == nil || r.State != Suspect {
		return
	}
	next := r.Record
	next.State = Cleared
	m.put(next, m.cfg.ClearedTTL)
}

// crashed handles the crash of the upstream that ran a call. The call's request becomes a
// suspect. A suspect that was alone on the upstream is quarantined, and one that was not is
// left unchanged, as is a quarantined request.
func (m *Machine) crashed(c Crashed) {
	if _, found := m.running[c.Call]; !found {
		return
	}
	a := m.endAttempt(c.Call)
	r := m.table.records[a.fingerprint]
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
		m.put(next, m.cfg.QuarantinedTTL)
	}
}

// suspect records a request as a suspect. This entry owns the trial, which must run on another
// upstream than the one that crashed.
func (m *Machine) suspect(r Record, crashed structs.UpstreamID) {
	r.State = Suspect
	r.Claim = 0
	r.Owner = m.cfg.Node
	r.Avoid = crashed
	m.put(r, m.cfg.SuspectTTL)
}

// receiveRecords stores the valid records that supersede those of this entry and forwards each
// of them to all peers. It reduces their TTL by ttlPerHop and limits it to QuarantinedTTL. The
// forwarding ends at peers that already have the record, since it does not supersede itself.
func (m *Machine) receiveRecords(msg RecordsReceived) {
	for _, r := range msg.Records {
		if !r.valid() {
			continue
		}
		if known := m.table.records[r.Fingerprint]; known != nil && !r.supersedes(known.Record) {
			continue
		}
		m.put(r, min(r.TTL-ttlPerHop, m.cfg.QuarantinedTTL))
	}
}
