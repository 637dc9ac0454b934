package preset

import "time"

// maxPollDoublings is the maximum number of times that a node that is not a poller doubles its poll
// interval while its reads of the row fail.
const maxPollDoublings = 3

// poll is the state of the regular reads of the row, those that no switch requested.
type poll struct {
	due time.Time
	// number and sent are the number and the time of the outstanding read; number is 0 if there
	// is none.
	number uint64
	sent   time.Time
	// failures counts consecutive failed reads.
	failures int
}

// tickPoll reads the row if the node is a poller, which is the same as a voter. Any other node
// reads it if it has not caught up or if its freshness proof is older than half of MaxProofAge,
// which shows that its peers do not supply proofs. While a read is unanswered, the next one waits
// for MaxProofAge.
func (m *Machine) tickPoll() {
	if m.now.Before(m.poll.due) {
		return
	}
	if m.poll.number != 0 && m.now.Sub(m.poll.sent) < m.cfg.MaxProofAge {
		return
	}
	poller := m.tree.isVoter(m.cfg.Node)
	needsProof := !m.caughtUp || m.now.Sub(m.provenAt) > m.cfg.MaxProofAge/2
	if !poller && !needsProof {
		return
	}
	m.poll.number = m.nextNumber()
	m.poll.sent = m.now
	m.poll.due = m.now.Add(m.pollInterval(poller))
	m.emit(Read{Number: m.poll.number})
}

// pollInterval returns the time to the next read. It adds jitter and backoff for the nodes that
// are not pollers, so that their reads don't overload the platform at the end of a long outage.
func (m *Machine) pollInterval(poller bool) time.Duration {
	if poller {
		return m.cfg.PollInterval
	}
	interval := m.cfg.PollInterval << min(m.poll.failures, maxPollDoublings)
	return interval/2 + time.Duration(m.rng.Int64N(int64(interval)))
}

func (m *Machine) readDone(r ReadDone) {
	row, valid := m.decodeRead(r)
	if r.Number == m.poll.number {
		m.pollDone(row, valid, r.RowVersion)
		return
	}
	if p := m.switchByNumber(r.Number); p != nil {
		m.switchRead(p, row, valid, r.RowVersion)
	}
}

// decodeRead returns the row, which is zero if it does not exist. valid is false if the read failed
// or the row does not decode.
func (m *Machine) decodeRead(r ReadDone) (row Row, valid bool) {
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

func (m *Machine) pollDone(row Row, valid bool, rowVersion int64) {
	m.poll.number = 0
	if !valid {
		m.poll.failures++
		return
	}
	m.poll.failures = 0
	m.putInForceAndPush("", row.PresetInForce)
	m.recordProof(m.poll.sent)
	if rowVersion == 0 && m.cfg.Initial != nil {
		m.writeInitial()
	}
}

// writeInitial creates the row. If another node created it first, the next poll reads that row.
func (m *Machine) writeInitial() {
	first := Row{}.next(Switch{Operator: "settings", Nonce: "initial", Preset: *m.cfg.Initial})
	value, err := EncodeRow(first)
	if err != nil {
		m.emit(RowInvalid{Err: err})
		return
	}
	m.emit(Write{Number: m.nextNumber(), Value: value})
}
