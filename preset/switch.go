package preset

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

const (
	// maxPendingSwitches is the largest number of pending switches on one node.
	maxPendingSwitches = 16
	// pushesPerSwitch divides SwitchTimeout into the intervals at which a version is pushed to the
	// voters again.
	pushesPerSwitch = 5
	// switchStep is the name of the step in the refusals of switches.
	switchStep = "preset switch"
)

// phase is the step that a pending switch has reached.
type phase int

const (
	// phaseRead reads the row before the write.
	phaseRead phase = iota
	// phaseWrite waits for the result of the write.
	phaseWrite
	// phaseReadBack reads the row again after a write that failed or whose result is unknown.
	phaseReadBack
	// phaseSpread waits until a majority of the voters has confirmed the version.
	phaseSpread
)

// pendingSwitch is an operator's order that is not answered yet.
type pendingSwitch struct {
	order    Switch
	phase    phase
	deadline time.Time
	// retryAt is when the next read or push of this switch is due.
	retryAt time.Time
	// number is the number of the outstanding read or write, 0 if there is none.
	number uint64
	// value and expectedRowVersion are those of the last write. version is the version of the
	// preset that the write puts in force.
	value              []byte
	expectedRowVersion int64
	version            uint64
	// uncertain reports whether an earlier write may have taken effect or may still do so.
	uncertain bool
	quorum    quorum
}

func (m *Machine) beginSwitch(s Switch) {
	if len(m.switches) >= maxPendingSwitches {
		m.refuse(s.ID, structs.Refusalf(structs.CodeOverloaded, structs.OutcomeNotRun, switchStep,
			"%d switches are under way on node %q", len(m.switches), m.cfg.Node))
		return
	}
	p := &pendingSwitch{
		order:    s,
		deadline: m.now.Add(m.cfg.SwitchTimeout),
	}
	m.switches[s.ID] = p
	m.readRow(p, phaseRead)
}

func (m *Machine) refuse(id uint64, r *structs.Refusal) {
	delete(m.switches, id)
	m.emit(SwitchRefused{ID: id, Refusal: r})
}

func (m *Machine) readRow(p *pendingSwitch, next phase) {
	p.phase = next
	p.number = m.nextNumber()
	p.retryAt = m.now.Add(m.cfg.PollInterval)
	m.emit(Read{Number: p.number})
}

// pendingIDs returns the ids of the pending switches in ascending order.
func (m *Machine) pendingIDs() []uint64 {
	ids := make([]uint64, 0, len(m.switches))
	for id := range m.switches {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) switchByNumber(number uint64) *pendingSwitch {
	for _, id := range m.pendingIDs() {
		if m.switches[id].number == number {
			return m.switches[id]
		}
	}
	return nil
}

// tickSwitches ends the switches that have timed out and repeats unanswered reads and pushes. A
// repeated push begins both rounds of the quorum again.
func (m *Machine) tickSwitches() {
	for _, id := range m.pendingIDs() {
		p := m.switches[id]
		if !m.now.Before(p.deadline) {
			m.expire(p)
			continue
		}
		if m.now.Before(p.retryAt) {
			continue
		}
		switch p.phase {
		case phaseRead, phaseReadBack:
			m.readRow(p, p.phase)
		case phaseSpread:
			// A voter of the first round may be unreachable now.
			p.quorum = newQuorum(p.version)
			m.pushToVoters(p)
		case phaseWrite:
			// The driver answers each write, with WriteUnknown at the least.
		}
	}
}

// expire answers a switch that has timed out with its outcome as far as it is known.
func (m *Machine) expire(p *pendingSwitch) {
	if p.phase == phaseSpread {
		m.finish(p, false)
		return
	}
	outcome := structs.OutcomeNotRun
	if p.phase == phaseWrite || p.uncertain {
		outcome = structs.OutcomeUnknown
	}
	m.refuse(p.order.ID, structs.Refusalf(structs.CodePlatformOutage, outcome, switchStep,
		"the platform's table did not settle preset %q in %v", p.order.Preset.Name, m.cfg.SwitchTimeout))
}

// switchRead continues a switch after a read of the row. A tick repeats a failed read. If the row
// lists the order's nonce, the switch was already written: by an unanswered write, or when the
// operator gave the same order before.
func (m *Machine) switchRead(p *pendingSwitch, row Row, valid bool, rowVersion int64) {
	p.number = 0
	if !valid {
		return
	}
	m.putInForceAndPush("", row.PresetInForce)
	if version := row.versionOfNonce(p.order.Nonce); version != 0 {
		m.beginSpread(p, version)
		return
	}
	if p.phase == phaseReadBack && !m.resolveLastWrite(p, row, rowVersion) {
		return
	}
	p.uncertain = false
	m.writeNext(p, row, rowVersion)
}

// resolveLastWrite returns true if the last write certainly did not and will not take effect: its
// failure was reported, or the row no longer has the version on which the write depends and still
// lists the switches since then. Otherwise it repeats the write, or refuses the switch with an
// unknown outcome, and returns false.
func (m *Machine) resolveLastWrite(p *pendingSwitch, row Row, rowVersion int64) bool {
	if !p.uncertain {
		return true
	}
	if rowVersion == p.expectedRowVersion {
		m.write(p)
		return false
	}
	if row.covers(p.version) {
		return true
	}
	m.refuse(p.order.ID, structs.Refusalf(structs.CodeConflict, structs.OutcomeUnknown, switchStep,
		"version %d is in force; whether version %d was preset %q is no longer known",
		row.Version, p.version, p.order.Preset.Name))
	return false
}

// writeNext writes the row that the switch makes from the row that was read.
func (m *Machine) writeNext(p *pendingSwitch, row Row, rowVersion int64) {
	if p.order.ExpectedVersion != 0 && p.order.ExpectedVersion != row.Version {
		m.refuse(p.order.ID, structs.Refusalf(structs.CodeConflict, structs.OutcomeNotRun, switchStep,
			"version %d of preset %q by %q is in force, not version %d",
			row.Version, row.Preset.Name, row.Operator(), p.order.ExpectedVersion))
		return
	}
	next := row.next(p.order)
	value, err := EncodeRow(next)
	if err != nil {
		m.refuse(p.order.ID, structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, switchStep, "%v", err))
		return
	}
	p.value = value
	p.expectedRowVersion = rowVersion
	p.version = next.Version
	m.write(p)
}

func (m *Machine) write(p *pendingSwitch) {
	p.phase = phaseWrite
	p.number = m.nextNumber()
	m.emit(Write{Number: p.number, ExpectedRowVersion: p.expectedRowVersion, Value: p.value})
}

func (m *Machine) writeDone(w WriteDone) {
	p := m.switchByNumber(w.Number)
	if p == nil || p.phase != phaseWrite {
		return
	}
	p.number = 0
	p.retryAt = m.now.Add(m.cfg.PollInterval)
	switch w.Result {
	case WriteApplied:
		m.beginSpread(p, p.version)
	case WriteConflict:
		m.readRow(p, phaseReadBack)
	case WriteUnknown:
		p.uncertain = true
		m.readRow(p, phaseReadBack)
	case WriteNotApplied:
		p.phase = phaseReadBack
	}
}

// beginSpread puts the version of the written row in force and begins to wait for the voters.
func (m *Machine) beginSpread(p *pendingSwitch, version uint64) {
	p.phase = phaseSpread
	p.number = 0
	p.version = version
	p.quorum = newQuorum(version)
	m.putInForceAndPush("", structs.PresetInForce{Version: version, Preset: p.order.Preset})
	m.pushToVoters(p)
}

// pushToVoters pushes the preset in force, whose version is that of the switch or a higher one, to
// each voter that has not confirmed the switch, with a request for a PushAck. If this node is a voter,
// its own acknowledgement counts at once.
func (m *Machine) pushToVoters(p *pendingSwitch) {
	p.retryAt = m.now.Add(m.cfg.SwitchTimeout / pushesPerSwitch)
	for _, v := range m.unconfirmedVoters(p) {
		if v != m.cfg.Node {
			m.send(v, Push{InForce: m.inForce, Number: m.nextNumber()})
		}
	}
	m.countAck(p, m.cfg.Node, PushAck{Number: m.nextNumber(), Version: m.inForce.Version, Incarnation: m.cfg.Incarnation})
}

// unconfirmedVoters returns the known voters that have not confirmed the version of the switch.
func (m *Machine) unconfirmedVoters(p *pendingSwitch) []structs.NodeID {
	var out []structs.NodeID
	for _, v := range m.tree.knownVoters() {
		if !p.quorum.confirmed[v] {
			out = append(out, v)
		}
	}
	return out
}

// pushAcked counts the version that a voter reports for each switch that waits for voters.
func (m *Machine) pushAcked(from structs.NodeID, ack PushAck) {
	m.versionReceived(from, ack.Version)
	for _, id := range m.pendingIDs() {
		if p := m.switches[id]; p.phase == phaseSpread {
			m.countAck(p, from, ack)
		}
	}
}

// countAck counts the acknowledgement of a voter for one switch and accepts the switch once a majority
// has confirmed it, if the known voters are certainly voters. If the acknowledgement ends the first
// round of the quorum, countAck begins the second.
func (m *Machine) countAck(p *pendingSwitch, from structs.NodeID, ack PushAck) {
	if !m.tree.isVoter(from) {
		return
	}
	firstRoundEnded := p.quorum.count(from, ack, m.tree.majority(), m.lastNumber)
	if len(p.quorum.confirmed) >= m.tree.majority() && m.tree.votersCertain {
		m.finish(p, true)
		return
	}
	if firstRoundEnded {
		m.pushToVoters(p)
	}
}

// finish answers a switch whose row was written.
func (m *Machine) finish(p *pendingSwitch, accepted bool) {
	delete(m.switches, p.order.ID)
	m.emit(Switched{ID: p.order.ID, Version: p.version, Accepted: accepted, Missing: m.unconfirmedVoters(p)})
}
