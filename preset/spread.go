package preset

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// maxOpenPulls bounds the unanswered questions to one peer whose numbers are kept.
const maxOpenPulls = 4

// openPull is one Ask that has no answer yet.
type openPull struct {
	number uint64
	sent   time.Time
}

func (m *Machine) setMembers(nodes []structs.NodeID) {
	m.tree = newTree(m.cfg, retainMembers(nodes, m.tree.order, m.cfg.Entries))
	for n := range m.voterReplies {
		if !m.tree.isVoter(n) {
			delete(m.voterReplies, n)
		}
	}
	for n := range m.pulls {
		if !slices.Contains(m.tree.order, n) {
			delete(m.pulls, n)
		}
	}
}

// tickPulls asks for newer versions: a voter asks the other voters, any other node
// its parent, and while that is silent another entry too.
func (m *Machine) tickPulls() {
	if m.now.Before(m.pullDue) {
		return
	}
	m.pullDue = m.now.Add(m.cfg.PullInterval)
	if m.tree.isVoter(m.cfg.Node) {
		for _, v := range m.tree.knownVoters() {
			m.pull(v)
		}
		return
	}
	parent := m.tree.parent()
	silent := parent == "" || m.isSilent(parent)
	m.pull(parent)
	if silent {
		m.pull(m.fallbackPeer())
	}
}

// fallbackPeer keeps to an entry that answers and takes a random one otherwise.
func (m *Machine) fallbackPeer() structs.NodeID {
	if len(m.tree.order) == 0 {
		return ""
	}
	if m.fallback == "" || m.isSilent(m.fallback) {
		m.fallback = m.tree.order[m.rng.IntN(len(m.tree.order))]
	}
	return m.fallback
}

// isSilent reports whether a question to the peer has waited for more than two intervals.
func (m *Machine) isSilent(peer structs.NodeID) bool {
	open := m.pulls[peer]
	return len(open) > 0 && m.now.Sub(open[0].sent) > 2*m.cfg.PullInterval
}

func (m *Machine) pull(to structs.NodeID) {
	if to == "" || to == m.cfg.Node {
		return
	}
	q := openPull{number: m.nextNumber(), sent: m.now}
	m.pulls[to] = append(m.pulls[to], q)
	if open := m.pulls[to]; len(open) > maxOpenPulls {
		m.pulls[to] = open[1:]
	}
	m.send(to, Pull{Number: q.number, Version: m.inForce.Version})
}

// takePull returns the question with the number and forgets it and those before.
func (m *Machine) takePull(from structs.NodeID, number uint64) (openPull, bool) {
	open := m.pulls[from]
	for i, q := range open {
		if q.number != number {
			continue
		}
		m.pulls[from] = open[i+1:]
		return q, true
	}
	return openPull{}, false
}

func (m *Machine) received(from structs.NodeID, msg PeerMessage) {
	switch msg := msg.(type) {
	case Pull:
		m.replyToPull(from, msg)
	case PullReply:
		m.pullReplied(from, msg)
	case Push:
		m.pushed(from, msg)
	case PushAck:
		m.pushAcked(from, msg)
	}
}

func (m *Machine) replyToPull(to structs.NodeID, q Pull) {
	out := PullReply{Number: q.Number, Version: m.inForce.Version, CaughtUp: m.caughtUp}
	if !m.provenAt.IsZero() {
		out.Proved = true
		out.Age = m.now.Sub(m.provenAt)
	}
	if q.Version < m.inForce.Version {
		inForce := m.inForce
		out.InForce = &inForce
	}
	m.send(to, out)
	m.versionReceived(to, q.Version)
}

// pullReplied takes an answer's version and evidence. The answer carries what the asker
// lacks, so the asker now knows what the evidence covers. The evidence counts from the
// moment of the question, so that an answer that waited, or a process that was
// paused, never makes it younger.
func (m *Machine) pullReplied(from structs.NodeID, a PullReply) {
	if a.InForce != nil {
		m.putInForceAndPush(from, *a.InForce)
	}
	q, asked := m.takePull(from, a.Number)
	if !asked {
		return
	}
	if a.Proved {
		m.recordProof(q.sent.Add(-a.Age))
	}
	if a.CaughtUp && m.tree.isVoter(from) {
		m.voterReplies[from] = q.sent
		m.proveByMajority()
	}
}

// proveByMajority takes the latest moment after which a majority of the voters was
// asked and answered: one of them knows every switch accepted before it.
func (m *Machine) proveByMajority() {
	var asked []time.Time
	for _, v := range m.tree.knownVoters() {
		if v == m.cfg.Node && m.caughtUp {
			asked = append(asked, m.now)
		}
		if at, found := m.voterReplies[v]; found {
			asked = append(asked, at)
		}
	}
	need := m.tree.majority()
	if len(asked) < need || !m.tree.votersKnown {
		return
	}
	slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
	m.recordProof(asked[need-1])
}

func (m *Machine) pushed(from structs.NodeID, p Push) {
	m.putInForceAndPush(from, p.InForce)
	if p.Number != 0 {
		m.send(from, PushAck{Number: p.Number, Version: m.inForce.Version, Incarnation: m.cfg.Incarnation})
	}
	if p.InForce.Version < m.inForce.Version {
		m.send(from, Push{InForce: m.inForce})
	}
}

// putInForceAndPush learns a version and, when it is new here, pushes it along the tree.
func (m *Machine) putInForceAndPush(from structs.NodeID, p structs.PresetInForce) {
	if !m.putInForce(p) {
		return
	}
	for _, n := range m.tree.neighbours() {
		if n != from {
			m.send(n, Push{InForce: p})
		}
	}
}

// versionReceived asks a peer for the higher version that a message of it carried,
// unless a question to it is under way.
func (m *Machine) versionReceived(from structs.NodeID, version uint64) {
	if version <= m.inForce.Version {
		return
	}
	open := m.pulls[from]
	if len(open) > 0 && m.now.Sub(open[len(open)-1].sent) < m.cfg.PullInterval {
		return
	}
	m.pull(from)
}
