package preset

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// maxOpenPulls is the largest number of unanswered pulls that are remembered per peer. The oldest
// is dropped first.
const maxOpenPulls = 4

// openPull is a Pull that has no reply yet.
type openPull struct {
	number uint64
	sent   time.Time
}

// setMembers rebuilds the tree for the visible entries, and forgets the replies of nodes that are no
// longer voters and the pulls from nodes that are no longer in the tree.
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

// tickPulls pulls newer versions. A voter pulls from the other voters; any other node pulls from
// its parent, and from one more entry while it has no parent or the parent does not answer.
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

// fallbackPeer returns the current fallback entry while that answers, else a random entry.
func (m *Machine) fallbackPeer() structs.NodeID {
	if len(m.tree.order) == 0 {
		return ""
	}
	if m.fallback == "" || m.isSilent(m.fallback) {
		m.fallback = m.tree.order[m.rng.IntN(len(m.tree.order))]
	}
	return m.fallback
}

// isSilent reports whether the oldest open pull sent to the peer is more than 2 pull intervals old.
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

// takePull returns the open pull from the peer with the given number, and removes it and the earlier
// ones. The bool reports whether there is such a pull.
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

func (m *Machine) replyToPull(to structs.NodeID, p Pull) {
	out := PullReply{Number: p.Number, Version: m.inForce.Version, CaughtUp: m.caughtUp}
	if !m.provenAt.IsZero() {
		out.Proved = true
		out.Age = m.now.Sub(m.provenAt)
	}
	if p.Version < m.inForce.Version {
		inForce := m.inForce
		out.InForce = &inForce
	}
	m.send(to, out)
	m.versionReceived(to, p.Version)
}

// pullReplied handles the version and the freshness proof of a reply. The reply contains the version
// that this node lacks, so that the proof holds for this node too. Its age counts from the time of
// the pull, so that neither a reply that was delayed nor a process that was paused makes it younger.
func (m *Machine) pullReplied(from structs.NodeID, r PullReply) {
	if r.InForce != nil {
		m.putInForceAndPush(from, *r.InForce)
	}
	q, open := m.takePull(from, r.Number)
	if !open {
		return
	}
	if r.Proved {
		m.recordProof(q.sent.Add(-r.Age))
	}
	if r.CaughtUp && m.tree.isVoter(from) {
		m.voterReplies[from] = q.sent
		m.proveByMajority()
	}
}

// proveByMajority records a freshness proof for the latest time after which a majority of the voters
// was asked and answered. One of these voters knows every switch accepted before that time.
func (m *Machine) proveByMajority() {
	var replies []time.Time
	for _, v := range m.tree.knownVoters() {
		// A voter that has caught up counts as its own answer.
		if v == m.cfg.Node && m.caughtUp {
			replies = append(replies, m.now)
		}
		if at, found := m.voterReplies[v]; found {
			replies = append(replies, at)
		}
	}
	need := m.tree.majority()
	if len(replies) < need || !m.tree.votersCertain {
		return
	}
	slices.SortFunc(replies, func(a, b time.Time) int { return b.Compare(a) })
	m.recordProof(replies[need-1])
}

// pushed handles the version of a push and acknowledges it if requested. A sender that is behind gets
// the newer version in return.
func (m *Machine) pushed(from structs.NodeID, p Push) {
	m.putInForceAndPush(from, p.InForce)
	if p.Number != 0 {
		m.send(from, PushAck{Number: p.Number, Version: m.inForce.Version, Incarnation: m.cfg.Incarnation})
	}
	if p.InForce.Version < m.inForce.Version {
		m.send(from, Push{InForce: m.inForce})
	}
}

// putInForceAndPush puts a version in force and, if it is new on this node, pushes it along the tree.
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

// versionReceived pulls the higher version that a message of a peer contained, unless a pull from
// that peer is less than one pull interval old.
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
