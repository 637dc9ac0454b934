package program

import (
	"fmt"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// ending is an end of a turn that callers wait to see committed.
type ending struct {
	turn  uint32
	seq   uint64
	until time.Time
	// refusal is set for a turn that was not consumed; others are found in turns.
	refusal *structs.Refusal
	key     string
	payload payloadDigest
}

// deliver gives the end of a turn to those who wait for it, and keeps watch until it is committed.
func (m *Machine) deliver(now time.Time, number uint32) {
	seq := m.turns[number-1].seq
	if seq <= m.committed {
		m.conclude(number, true)
		return
	}
	if m.turns[number-1].refusal == nil {
		m.answer(number, false, false)
	}
	for _, e := range m.endings {
		if e.turn == number {
			return
		}
	}
	past := m.turns[number-1]
	m.endings = append(m.endings, ending{
		turn: number, seq: seq, until: now.Add(m.cfg.KeptWait), key: past.key, payload: past.payload,
	})
}

// conclude gives the last word on a turn that was consumed.
func (m *Machine) conclude(number uint32, kept bool) {
	past := m.turns[number-1]
	if past.refusal == nil {
		m.answer(number, kept, true)
		return
	}
	m.emit(Refuse{Turn: number, Refusal: uncommitted(past.refusal, kept)})
}

func (m *Machine) answer(number uint32, kept, final bool) {
	past := m.turns[number-1]
	message, err := m.history.message(past.answer)
	if err != nil {
		m.emit(Refuse{Turn: number, Refusal: structs.Refusalf(structs.CodeInternal, structs.OutcomeRan, stepTurn,
			"answer of turn %d: %v", number, err)})
		return
	}
	m.emit(Answer{Turn: number, Content: message.Content, Usage: past.usage, Durable: kept, Final: final})
}

// settleEndings concludes the endings that are committed, and those whose wait is over.
func (m *Machine) settleEndings(now time.Time) {
	rest := m.endings[:0]
	for _, e := range m.endings {
		kept := e.seq <= m.committed
		if !kept && now.Before(e.until) {
			rest = append(rest, e)
			continue
		}
		if e.refusal == nil {
			m.conclude(e.turn, kept)
			continue
		}
		m.emit(Refuse{Turn: e.turn, Refusal: uncommitted(e.refusal, kept)})
	}
	m.endings = rest
}

// uncommitted says that the outcome is unknown while a restart could still find the turn as
// it was before its end.
func uncommitted(r *structs.Refusal, kept bool) *structs.Refusal {
	if kept {
		return r
	}
	out := *r
	out.Outcome = structs.OutcomeUnknown
	out.Detail = fmt.Sprintf("%s; its end is not committed yet", r.Detail)
	return &out
}
