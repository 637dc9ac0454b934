package membership

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// takeoverPlan is this process's plan to adopt a log.
type takeoverPlan struct {
	reason Reason
	// nextAttempt is when to try next; zero when there is no plan.
	nextAttempt time.Time
}

const (
	// candidatesPerRound is the number of further candidates that a watcher tells each time.
	candidatesPerRound = 3
	// takeoverRetryDelay is the wait before a log that was not taken is tried again.
	takeoverRetryDelay = 2 * time.Second
)

// candidates returns the members that may adopt a log, the first choice first: those that
// are ready before those that are not, each by rendezvous weight. This process is among them.
func (m *Machine) candidates(r *record) []structs.LogID {
	var logs []structs.LogID
	if m.self.State == Up {
		logs = append(logs, m.self.Log)
	}
	for _, log := range m.sortedLogs {
		c := m.members[log]
		if log != r.Log && c.State == Up && c.suspect.since.IsZero() && !isReplaced(c, r) {
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

// isReplaced says that c is of the same node as r and no newer.
func isReplaced(c, r *record) bool { return c.Node == r.Node && c.Incarnation <= r.Incarnation }

// notifyCandidates tells the first candidates of a confirmed death, and more of them each time
// until the log is taken: those told may be dead as well.
func (m *Machine) notifyCandidates(r *record) {
	if !r.suspect.notifiedAt.IsZero() && m.now.Sub(r.suspect.notifiedAt) < m.suspicionTimeout() {
		return
	}
	r.suspect.notifiedAt = m.now
	r.suspect.notified += candidatesPerRound
	p := m.packet(Dead)
	p.Subject = r.Log
	p.Updates = []Update{r.Update}
	all := m.candidates(r)
	for _, log := range all[:min(len(all), r.suspect.notified)] {
		if log == m.self.Log {
			m.planTakeover(r, ReasonUnresponsive)
			continue
		}
		m.send(log, p)
	}
}

// handleDead takes a watcher's word that a member's silence is confirmed, unless this process
// hears the member itself.
func (m *Machine) handleDead(p Packet) {
	r := m.members[p.Subject]
	switch {
	case r == nil:
	case r.State == Gone:
		m.sendProbeReply(p.Log, p.Subject, false)
	case r.lastReceived.After(r.addedAt) && m.now.Sub(r.lastReceived) < m.suspicionTimeout():
		m.sendProbeReply(p.Log, p.Subject, true)
	default:
		m.planTakeover(r, ReasonUnresponsive)
	}
}

// planTakeover sets the time at which this process tries to adopt a log, by its place among the
// candidates, so that one or a few try.
func (m *Machine) planTakeover(r *record, reason Reason) {
	if r.State == Gone || !r.takeover.nextAttempt.IsZero() {
		return
	}
	for place, log := range m.candidates(r) {
		if log == m.self.Log {
			r.takeover = takeoverPlan{reason: reason, nextAttempt: m.now.Add(time.Duration(place) * m.cfg.TakeoverDelay)}
			m.nextCheck = earlier(m.nextCheck, r.takeover.nextAttempt)
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

// requestTakeover asks for the adoption when its time has come.
func (m *Machine) requestTakeover(r *record) {
	if r.takeover.nextAttempt.IsZero() || m.now.Before(r.takeover.nextAttempt) || m.self.State != Up {
		return
	}
	r.takeover.nextAttempt = m.now.Add(takeoverRetryDelay)
	m.emit(TakeOver{Log: r.Log, Reason: r.takeover.reason})
}

// markTakenOver notes that a log has a successor, and spreads it.
func (m *Machine) markTakenOver(t TakenOver) {
	if r := m.members[t.Log]; r != nil {
		u := r.Update
		u.State, u.Successor = Gone, t.Successor
		m.applyUpdate(u, fresh)
	}
}

// planForGoneVM plans the adoption of the logs whose holders ran on a VM that is gone.
func (m *Machine) planForGoneVM(vm structs.VMID) {
	for _, log := range m.sortedLogs {
		if r := m.members[log]; r.VM == vm {
			m.planUnlessResponsive(r, ReasonVMGone)
		}
	}
}

// planUnlessResponsive plans an adoption unless the holder has been heard lately.
func (m *Machine) planUnlessResponsive(r *record, reason Reason) {
	if r.lastReceived.After(r.addedAt) && m.now.Sub(r.lastReceived) < m.suspicionTimeout() {
		return
	}
	m.planTakeover(r, reason)
}

// planReplaced plans the adoption of logs of the same node that an earlier incarnation left
// behind. The new incarnation itself may take them.
func (m *Machine) planReplaced(r *record) {
	if gate := m.gates.byVM[r.VM]; gate != nil && gate.State == RankGone {
		m.planUnlessResponsive(r, ReasonVMGone)
	}
	newest := m.newestIncarnation(r.Node)
	for _, log := range m.sortedLogs {
		old := m.members[log]
		if old.Node != r.Node || old.State == Gone || old.Incarnation == 0 || old.Incarnation >= newest {
			// Of an unknown incarnation only the silence tells.
			continue
		}
		m.emit(ReportEvent{Event: EventRestarted, Node: old.Node, Log: old.Log})
		m.planTakeover(old, ReasonReplaced)
	}
}

// newestIncarnation returns the highest incarnation known of a node.
func (m *Machine) newestIncarnation(node structs.NodeID) uint64 {
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
