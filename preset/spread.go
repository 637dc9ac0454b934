package preset

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// maxQuestions bounds the unanswered questions to one peer whose numbers are kept.
const maxQuestions = 4

// question is one Ask that has no answer yet.
type question struct {
	number uint64
	sent   time.Time
}

func (m *Machine) setMembers(nodes []structs.NodeID) {
	m.tree = newTree(m.cfg, retain(nodes, m.tree.order, m.cfg.Entries))
	for n := range m.votes {
		if !m.tree.votes(n) {
			delete(m.votes, n)
		}
	}
	for n := range m.asks {
		if !slices.Contains(m.tree.order, n) {
			delete(m.asks, n)
		}
	}
}

// tickAsks asks for newer versions: a voter asks the other voters, any other node
// its parent, and while that is silent another entry too.
func (m *Machine) tickAsks() {
	if m.now.Before(m.askDue) {
		return
	}
	m.askDue = m.now.Add(m.cfg.AskInterval)
	if m.tree.votes(m.cfg.Node) {
		for _, v := range m.tree.electors() {
			m.ask(v)
		}
		return
	}
	parent := m.tree.parent()
	silent := parent == "" || m.silent(parent)
	m.ask(parent)
	if silent {
		m.ask(m.nextTarget())
	}
}

// nextTarget keeps to an entry that answers and takes a random one otherwise.
func (m *Machine) nextTarget() structs.NodeID {
	if len(m.tree.order) == 0 {
		return ""
	}
	if m.target == "" || m.silent(m.target) {
		m.target = m.tree.order[m.rng.IntN(len(m.tree.order))]
	}
	return m.target
}

// silent reports whether a question to the peer has waited for more than two intervals.
func (m *Machine) silent(peer structs.NodeID) bool {
	open := m.asks[peer]
	return len(open) > 0 && m.now.Sub(open[0].sent) > 2*m.cfg.AskInterval
}

func (m *Machine) ask(to structs.NodeID) {
	if to == "" || to == m.cfg.Node {
		return
	}
	q := question{number: m.nextNumber(), sent: m.now}
	m.asks[to] = append(m.asks[to], q)
	if open := m.asks[to]; len(open) > maxQuestions {
		m.asks[to] = open[1:]
	}
	m.send(to, Pull{Number: q.number, Version: m.inForce.Version})
}

// answeredQuestion returns the question with the number and forgets it and those before.
func (m *Machine) answeredQuestion(from structs.NodeID, number uint64) (question, bool) {
	open := m.asks[from]
	for i, q := range open {
		if q.number != number {
			continue
		}
		m.asks[from] = open[i+1:]
		return q, true
	}
	return question{}, false
}

func (m *Machine) received(from structs.NodeID, msg PeerMessage) {
	switch msg := msg.(type) {
	case Pull:
		m.answer(from, msg)
	case PullReply:
		m.answered(from, msg)
	case Push:
		m.pushed(from, msg)
	case PushAck:
		m.seen(from, msg)
	}
}

func (m *Machine) answer(to structs.NodeID, q Pull) {
	out := PullReply{Number: q.Number, Version: m.inForce.Version, Informed: m.informed}
	if !m.evidence.IsZero() {
		out.Proved = true
		out.Age = m.now.Sub(m.evidence)
	}
	if q.Version < m.inForce.Version {
		inForce := m.inForce
		out.InForce = &inForce
	}
	m.send(to, out)
	m.heardVersion(to, q.Version)
}

// answered takes an answer's version and evidence. The answer carries what the asker
// lacks, so the asker now knows what the evidence covers. The evidence counts from the
// moment of the question, so that an answer that waited, or a process that was
// paused, never makes it younger.
func (m *Machine) answered(from structs.NodeID, a PullReply) {
	if a.InForce != nil {
		m.learnAndPush(from, *a.InForce)
	}
	q, asked := m.answeredQuestion(from, a.Number)
	if !asked {
		return
	}
	if a.Proved {
		m.prove(q.sent.Add(-a.Age))
	}
	if a.Informed && m.tree.votes(from) {
		m.votes[from] = q.sent
		m.proveByMajority()
	}
}

// proveByMajority takes the latest moment after which a majority of the voters was
// asked and answered: one of them knows every switch accepted before it.
func (m *Machine) proveByMajority() {
	var asked []time.Time
	for _, v := range m.tree.electors() {
		if v == m.cfg.Node && m.informed {
			asked = append(asked, m.now)
		}
		if at, found := m.votes[v]; found {
			asked = append(asked, at)
		}
	}
	need := m.tree.majority()
	if len(asked) < need || !m.tree.complete {
		return
	}
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	m.prove(asked[need-1])
}

func (m *Machine) pushed(from structs.NodeID, p Push) {
	m.learnAndPush(from, p.InForce)
	if p.Number != 0 {
		m.send(from, PushAck{Number: p.Number, Version: m.inForce.Version, Incarnation: m.cfg.Incarnation})
	}
	if p.InForce.Version < m.inForce.Version {
		m.send(from, Push{InForce: m.inForce})
	}
}

// learnAndPush learns a version and, when it is new here, pushes it along the tree.
func (m *Machine) learnAndPush(from structs.NodeID, p structs.PresetInForce) {
	if !m.learn(p) {
		return
	}
	for _, n := range m.tree.neighbours() {
		if n != from {
			m.send(n, Push{InForce: p})
		}
	}
}

// heardVersion asks a peer for the higher version that a message of it carried,
// unless a question to it is under way.
func (m *Machine) heardVersion(from structs.NodeID, version uint64) {
	if version <= m.inForce.Version {
		return
	}
	open := m.asks[from]
	if len(open) > 0 && m.now.Sub(open[len(open)-1].sent) < m.cfg.AskInterval {
		return
	}
	m.ask(from)
}
