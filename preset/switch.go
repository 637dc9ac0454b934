package preset

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

const (
	// maxPendingSwitches bounds the switches under way on one node.
	maxPendingSwitches = 16
	// spreadAttempts is the number of times that the voters are asked anew in the
	// time of one switch.
	spreadAttempts = 5
	switchStep     = "preset switch"
)

// phase is how far a switch has come.
type phase int

const (
	phaseRead phase = iota
	phaseWrite
	// phaseSettle reads the row back after a write whose result is not known to be ours.
	phaseSettle
	phaseSpread
)

// pendingSwitch is one operator's order under way.
type pendingSwitch struct {
	order    Switch
	phase    phase
	deadline time.Time
	retryAt  time.Time
	// number is that of the read or write under way; 0 when none is.
	number uint64
	// value and expected are the last write's; version is the one that it makes.
	value    []byte
	expected int64
	version  uint64
	// uncertain says that the last write may have taken effect or may still do so.
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

// pendingIDs returns the ids of the switches under way in order.
func (m *Machine) pendingIDs() []uint64 {
	ids := make([]uint64, 0, len(m.switches))
	for id := range m.switches {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) switchOf(number uint64) *pendingSwitch {
	for _, id := range m.pendingIDs() {
		if m.switches[id].number == number {
			return m.switches[id]
		}
	}
	return nil
}

// tickSwitches ends switches whose time is over and repeats what was not answered.
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
		case phaseRead, phaseSettle:
			m.readRow(p, p.phase)
		case phaseSpread:
			// A voter of the first round may have gone: the rounds begin again.
			p.quorum = newQuorum(p.version)
			m.pushToVoters(p)
		case phaseWrite:
			// A write is answered, if only with WriteUnknown.
		}
	}
}

// expire answers a switch whose time is over with what is known of it.
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

// switchRead goes on with a switch after a read of the row. A failed read is repeated by a tick.
func (m *Machine) switchRead(p *pendingSwitch, row Row, sound bool, rowVersion int64) {
	p.number = 0
	if !sound {
		return
	}
	m.learnAndPush("", row.PresetInForce)
	if version := row.find(p.order.Nonce); version != 0 {
		m.spread(p, version)
		return
	}
	if p.phase == phaseSettle && !m.settled(p, row, rowVersion) {
		return
	}
	p.uncertain = false
	m.writeNext(p, row, rowVersion)
}

// settled reports whether the row shows that the last write never took effect and
// never will: the row has moved on from the version that the write asks for, and
// still remembers the switches since. Otherwise it repeats the write or gives up.
func (m *Machine) settled(p *pendingSwitch, row Row, rowVersion int64) bool {
	if !p.uncertain {
		return true
	}
	if rowVersion == p.expected {
		m.write(p)
		return false
	}
	if row.remembers(p.version) {
		return true
	}
	m.refuse(p.order.ID, structs.Refusalf(structs.CodeConflict, structs.OutcomeUnknown, switchStep,
		"version %d is in force; whether version %d was preset %q is no longer known",
		row.Version, p.version, p.order.Preset.Name))
	return false
}

// writeNext writes the row that follows the one read.
func (m *Machine) writeNext(p *pendingSwitch, row Row, rowVersion int64) {
	if p.order.Expected != 0 && p.order.Expected != row.Version {
		m.refuse(p.order.ID, structs.Refusalf(structs.CodeConflict, structs.OutcomeNotRun, switchStep,
			"version %d of preset %q by %q is in force, not version %d",
			row.Version, row.Preset.Name, row.Operator(), p.order.Expected))
		return
	}
	next := row.next(p.order)
	value, err := EncodeRow(next)
	if err != nil {
		m.refuse(p.order.ID, structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, switchStep, "%v", err))
		return
	}
	p.value = value
	p.expected = rowVersion
	p.version = next.Version
	m.write(p)
}

func (m *Machine) write(p *pendingSwitch) {
	p.phase = phaseWrite
	p.number = m.nextNumber()
	m.emit(Write{Number: p.number, Expected: p.expected, Value: p.value})
}

func (m *Machine) writeDone(w WriteDone) {
	p := m.switchOf(w.Number)
	if p == nil || p.phase != phaseWrite {
		return
	}
	p.number = 0
	p.retryAt = m.now.Add(m.cfg.PollInterval)
	switch w.Result {
	case WriteApplied:
		m.spread(p, p.version)
	case WriteConflict:
		m.readRow(p, phaseSettle)
	case WriteUnknown:
		p.uncertain = true
		m.readRow(p, phaseSettle)
	case WriteNotApplied:
		p.phase = phaseSettle
	}
}

// spread puts the version of a written row in force and waits for the voters.
func (m *Machine) spread(p *pendingSwitch, version uint64) {
	p.phase = phaseSpread
	p.number = 0
	p.version = version
	p.quorum = newQuorum(version)
	m.learnAndPush("", structs.PresetInForce{Version: version, Preset: p.order.Preset})
	m.pushToVoters(p)
}

// pushToVoters asks each voter that has not confirmed the version for a Seen, this
// node among them.
func (m *Machine) pushToVoters(p *pendingSwitch) {
	p.retryAt = m.now.Add(m.cfg.SwitchTimeout / spreadAttempts)
	for _, v := range m.missing(p) {
		if v != m.cfg.Node {
			m.send(v, Push{InForce: m.inForce, Number: m.nextNumber()})
		}
	}
	m.countVote(p, m.cfg.Node, PushAck{Number: m.nextNumber(), Version: m.inForce.Version, Incarnation: m.cfg.Incarnation})
}

// missing returns the voters that have not confirmed the switch.
func (m *Machine) missing(p *pendingSwitch) []structs.NodeID {
	var out []structs.NodeID
	for _, v := range m.tree.electors() {
		if !p.quorum.confirmed[v] {
			out = append(out, v)
		}
	}
	return out
}

// seen counts a voter's version for the switches that wait for voters.
func (m *Machine) seen(from structs.NodeID, s PushAck) {
	m.heardVersion(from, s.Version)
	for _, id := range m.pendingIDs() {
		if p := m.switches[id]; p.phase == phaseSpread {
			m.countVote(p, from, s)
		}
	}
}

func (m *Machine) countVote(p *pendingSwitch, from structs.NodeID, s PushAck) {
	if !m.tree.votes(from) {
		return
	}
	confirming := p.quorum.count(from, s, m.tree.majority(), m.number)
	if len(p.quorum.confirmed) >= m.tree.majority() && m.tree.complete {
		m.finish(p, true)
		return
	}
	if confirming {
		m.pushToVoters(p)
	}
}

// finish answers a switch whose row is written.
func (m *Machine) finish(p *pendingSwitch, accepted bool) {
	delete(m.switches, p.order.ID)
	m.emit(Switched{ID: p.order.ID, Version: p.version, Accepted: accepted, Missing: m.missing(p)})
}
