package program

import (
	"fmt"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// turnEnd is the recorded end of a turn. Callers wait for its commit.
type turnEnd struct {
	turn      uint32
	seq       uint64
	waitUntil time.Time
	// refusal is set for a turn that was not consumed; the result of others is in Machine.turns.
	refusal *structs.Refusal
	key     string
	payload payloadDigest
}

// deliverEnd sends the result of a consumed turn to the callers that wait for it. While the record of
// its end is not committed, it sends an answer as not final and a refusal not at all, and leaves the
// final result to sendPendingEnds.
func (m *Machine) deliverEnd(now time.Time, number uint32) {
	seq := m.turns[number-1].seq
	if seq <= m.committed {
		m.sendFinal(number, true)
		return
	}
	if m.turns[number-1].refusal == nil {
		m.sendAnswer(number, false, false)
	}
	for _, e := range m.pendingEnds {
		if e.turn == number {
			return
		}
	}
	past := m.turns[number-1]
	m.pendingEnds = append(m.pendingEnds, turnEnd{
		turn: number, seq: seq, waitUntil: now.Add(m.cfg.CommitWait), key: past.key, payload: past.payload,
	})
}

// sendFinal sends the final answer or refusal of a consumed turn.
func (m *Machine) sendFinal(number uint32, durable bool) {
	past := m.turns[number-1]
	if past.refusal == nil {
		m.sendAnswer(number, durable, true)
		return
	}
	m.emit(Refuse{Turn: number, Refusal: withCommitState(past.refusal, durable)})
}

func (m *Machine) sendAnswer(number uint32, durable, final bool) {
	past := m.turns[number-1]
	message, err := m.history.message(past.answer)
	if err != nil {
		m.emit(Refuse{Turn: number, Refusal: structs.Refusalf(structs.CodeInternal, structs.OutcomeRan, stepTurn,
			"answer of turn %d: %v", number, err)})
		return
	}
	m.emit(Answer{Turn: number, Content: message.Content, Usage: past.usage, Durable: durable, Final: final})
}

// sendPendingEnds sends the ends that are committed and those that have waited for CommitWait.
func (m *Machine) sendPendingEnds(now time.Time) {
	rest := m.pendingEnds[:0]
	for _, e := range m.pendingEnds {
		durable := e.seq <= m.committed
		if !durable && now.Before(e.waitUntil) {
			rest = append(rest, e)
			continue
		}
		if e.refusal == nil {
			m.sendFinal(e.turn, durable)
			continue
		}
		m.emit(Refuse{Turn: e.turn, Refusal: withCommitState(e.refusal, durable)})
	}
	m.pendingEnds = rest
}

// withCommitState returns the refusal with an unknown outcome when the end of the turn is not
// committed: a restart could still find the turn as it was before.
func withCommitState(r *structs.Refusal, durable bool) *structs.Refusal {
	if durable {
		return r
	}
	out := *r
	out.Outcome = structs.OutcomeUnknown
	out.Detail = fmt.Sprintf("%s; its end is not committed yet", r.Detail)
	return &out
}
