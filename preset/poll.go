package preset

import "time"

// maxPollBackoff bounds the doubling of the interval at which a node that is no
// poller reads the row when it lacks evidence.
const maxPollBackoff = 3

// poll is the reading of the row apart from switches.
type poll struct {
	due time.Time
	// number and sent are those of the read under way; 0 when none is.
	number uint64
	sent   time.Time
	// failures counts failed reads in a row.
	failures int
}

// tickPoll reads the row when the node is a poller, or when evidence is missing or
// half as old as the bound: peers that bring none leave the platform to be asked.
func (m *Machine) tickPoll() {
	if m.now.Before(m.poll.due) {
		return
	}
	if m.poll.number != 0 && m.now.Sub(m.poll.sent) < m.cfg.MaxProofAge {
		return
	}
	poller := m.tree.votes(m.cfg.Node)
	lacking := !m.informed || m.now.Sub(m.evidence) > m.cfg.MaxProofAge/2
	if !poller && !lacking {
		return
	}
	m.poll.number = m.nextNumber()
	m.poll.sent = m.now
	m.poll.due = m.now.Add(m.pollInterval(poller))
	m.emit(Read{Number: m.poll.number})
}

// pollInterval spreads the reads of nodes that are no pollers, so that a long outage
// does not end under their reads.
func (m *Machine) pollInterval(poller bool) time.Duration {
	if poller {
		return m.cfg.PollInterval
	}
	interval := m.cfg.PollInterval << min(m.poll.failures, maxPollBackoff)
	return interval/2 + time.Duration(m.rng.Int64N(int64(interval)))
}

func (m *Machine) readDone(r ReadDone) {
	row, sound := m.decode(r)
	if r.Number == m.poll.number {
		m.pollDone(row, sound, r.RowVersion)
		return
	}
	if p := m.switchOf(r.Number); p != nil {
		m.switchRead(p, row, sound, r.RowVersion)
	}
}

// decode returns the row, zero when there is none; sound is false when nothing is known of it.
func (m *Machine) decode(r ReadDone) (row Row, sound bool) {
	if r.Failed {
		return Row{}, false
	}
	if r.RowVersion == 0 {
		return Row{}, true
	}
	row, err := DecodeRow(r.Value)
	if err != nil {
		m.emit(RowInvalid{Err: err})
		return Row{}, false
	}
	return row, true
}

func (m *Machine) pollDone(row Row, sound bool, rowVersion int64) {
	m.poll.number = 0
	if !sound {
		m.poll.failures++
		return
	}
	m.poll.failures = 0
	m.learnAndPush("", row.PresetInForce)
	m.prove(m.poll.sent)
	if rowVersion == 0 && m.cfg.Initial != nil {
		m.writeInitial()
	}
}

// writeInitial creates the row; when another node was first, the next poll shows its row.
func (m *Machine) writeInitial() {
	first := Row{}.next(Switch{Operator: "settings", Nonce: "initial", Preset: *m.cfg.Initial})
	value, err := EncodeRow(first)
	if err != nil {
		m.emit(RowInvalid{Err: err})
		return
	}
	m.emit(Write{Number: m.nextNumber(), Value: value})
}
