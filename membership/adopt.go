package membership

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// attempt is this process's plan to adopt a log.
type attempt struct {
	reason Reason
	// at is when to try next; zero when there is no plan.
	at time.Time
}

const (
	// candidatesTold is the number of further candidates that a watcher tells each time.
	candidatesTold = 3
	// retryAfter is the wait before a log that was not taken is tried again.
	retryAfter = 2 * time.Second
)

// candidates returns the members that may adopt a log, the first choice first: those that
// are ready before those that are not, each by rendezvous weight. This process is among them.
func (m *Machine) candidates(r *record) []structs.LogID {
	var logs []structs.LogID
	if m.self.State == Up {
		logs = append(logs, m.self.Log)
	}
	for _, log := range m.order {
		c := m.members[log]
		if log != r.Log && c.State == Up && c.suspect.since.IsZero() && !replaced(c, r) {
			logs = append(logs, log)
		}
	}
	const readyBit = 1 << 63
	return top(logs, len(logs), func(log structs.LogID) uint64 {
		hash, ready := m.hash, m.self.Ready
		if c := m.members[log]; c != nil {
			hash, ready = c.hash, c.Ready
		}
		weight := mix(r.hash, hash) >> 1
		if ready {
			weight |= readyBit
		}
		return weight
	})
}

// replaced says that c is of the same node as r and no newer.
func replaced(c, r *record) bool { return c.Node == r.Node && c.Incarnation <= r.Incarnation }

// tellCandidates tells the first candidates of a confirmed death, and more of them each time
// until the log is taken: those told may be dead as well.
func (m *Machine) tellCandidates(r *record) {
	if !r.suspect.toldAt.IsZero() && m.now.Sub(r.suspect.toldAt) < m.suspicionTime() {
		return
	}
	r.suspect.toldAt = m.now
	r.suspect.told += candidatesTold
	p := m.packet(Dead)
	p.Subject = r.Log
	p.Updates = []Update{r.Update}
	all := m.candidates(r)
	for _, log := range all[:min(len(all), r.suspect.told)] {
		if log == m.self.Log {
			m.plan(r, ReasonUnresponsive)
			continue
		}
		m.send(log, p)
	}
}

// toldDead takes a watcher's word that a member's silence is confirmed, unless this process
// hears the member itself.
func (m *Machine) toldDead(p Packet) {
	r := m.members[p.Subject]
	switch {
	case r == nil:
	case r.State == Gone:
		m.replyProbe(p.Log, p.Subject, false)
	case r.heard.After(r.first) && m.now.Sub(r.heard) < m.suspicionTime():
		m.replyProbe(p.Log, p.Subject, true)
	default:
		m.plan(r, ReasonUnresponsive)
	}
}

// plan sets the time at which this process tries to adopt a log, by its place among the
// candidates, so that one or a few try.
func (m *Machine) plan(r *record, reason Reason) {
	if r.State == Gone || !r.adopt.at.IsZero() {
		return
	}
	for place, log := range m.candidates(r) {
		if log == m.self.Log {
			r.adopt = attempt{reason: reason, at: m.now.Add(time.Duration(place) * m.cfg.TakeoverDelay)}
			m.nextCheck = earlier(m.nextCheck, r.adopt.at)
			return
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// tryAdoption asks for the adoption when its time has come.
func (m *Machine) tryAdoption(r *record) {
	if r.adopt.at.IsZero() || m.now.Before(r.adopt.at) || m.self.State != Up {
		return
	}
	r.adopt.at = m.now.Add(retryAfter)
	m.emit(AttemptTakeover{Log: r.Log, Reason: r.adopt.reason})
}

// taken notes that a log has a successor, and spreads it.
func (m *Machine) taken(t TakenOver) {
	if r := m.members[t.Log]; r != nil {
		u := r.Update
		u.State, u.Successor = Gone, t.Successor
		m.learn(u, fresh)
	}
}

// vmGone plans the adoption of the logs whose holders ran on a VM that is gone.
func (m *Machine) vmGone(vm structs.VMID) {
	for _, log := range m.order {
		if r := m.members[log]; r.VM == vm {
			m.planUnlessHeard(r, ReasonVMGone)
		}
	}
}

// planUnlessHeard plans an adoption unless the holder has been heard lately.
func (m *Machine) planUnlessHeard(r *record, reason Reason) {
	if r.heard.After(r.first) && m.now.Sub(r.heard) < m.suspicionTime() {
		return
	}
	m.plan(r, reason)
}

// findReplaced plans the adoption of logs of the same node that an earlier incarnation left
// behind. The new incarnation itself may take them.
func (m *Machine) findReplaced(r *record) {
	if gate := m.gates.known[r.VM]; gate != nil && gate.State == RankGone {
		m.planUnlessHeard(r, ReasonVMGone)
	}
	newest := m.newest(r.Node)
	for _, log := range m.order {
		old := m.members[log]
		if old.Node != r.Node || old.State == Gone || old.Incarnation == 0 || old.Incarnation >= newest {
			// Of an unknown incarnation only the silence tells.
			continue
		}
		m.emit(ReportEvent{Event: EventRestarted, Node: old.Node, Log: old.Log})
		m.plan(old, ReasonReplaced)
	}
}

// newest returns the highest incarnation known of a node.
func (m *Machine) newest(node structs.NodeID) uint64 {
	newest := uint64(0)
	if m.self.Node == node {
		newest = m.self.Incarnation
	}
	for _, r := range m.members {
		if r.Node == node && r.Incarnation > newest {
			newest = r.Incarnation
		}
	}
	return newest
}
