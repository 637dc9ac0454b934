package membership

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// takeoverPlan is this process's plan to take over a log.
type takeoverPlan struct {
	reason Reason
	// nextAttempt is the time of the next attempt; zero when there is no plan.
	nextAttempt time.Time
}

const (
	// candidatesPerRound is the number by which the candidates that a watcher notifies increase
	// in each round.
	candidatesPerRound = 3
	// takeoverRetryDelay is the wait before the next attempt to take over a log.
	takeoverRetryDelay = 2 * time.Second
)

// candidates returns the members that may take over a log, in order of preference: ready
// members before others, and within each group by rendezvous weight. Members that are
// suspected, not Up, or of the same node and not newer are left out. This process is included
// if it is Up.
func (m *Machine) candidates(r *memberRecord) []structs.LogID {
	var logs []structs.LogID
	if m.self.State == Up {
		logs = append(logs, m.self.Log)
	}
	for _, log := range m.sortedLogs {
		c := m.members[log]
		if log != r.Log && c.State == Up && c.suspect.since.IsZero() && !replacedBy(c, r) {
			logs = append(logs, log)
		}
	}
	// The top bit of the weight orders ready members first.
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

// replacedBy reports whether r is the same or a newer incarnation of c's node.
func replacedBy(c, r *memberRecord) bool { return c.Node == r.Node && c.Incarnation <= r.Incarnation }

// notifyCandidates notifies the first candidates of a confirmed failure. Each round until the
// log is taken over includes more candidates, since those notified before may have failed as
// well.
func (m *Machine) notifyCandidates(r *memberRecord) {
	if !r.suspect.notifiedAt.IsZero() && m.now.Sub(r.suspect.notifiedAt) < m.suspicionTimeout() {
		return
	}
	r.suspect.notifiedAt = m.now
	r.suspect.notifiedCandidates += candidatesPerRound
	p := m.packet(Dead)
	p.Subject = r.Log
	p.Updates = []Update{r.Update}
	all := m.candidates(r)
	for _, log := range all[:min(len(all), r.suspect.notifiedCandidates)] {
		if log == m.self.Log {
			m.planTakeover(r, ReasonUnresponsive)
			continue
		}
		m.send(log, p)
	}
}

// handleDead handles a watcher's notification of a confirmed failure. It vetoes the takeover if
// the last contact with the member was within the suspicion timeout; see
// memberRecord.lastReceived.
func (m *Machine) handleDead(p Packet) {
	r := m.members[p.Subject]
	switch {
	case r == nil: // this process's own log, or an unknown one
	case r.State == Gone:
		// The reply carries the update that the member is gone.
		m.sendProbeReply(p.Log, p.Subject, false)
	case r.lastReceived.After(r.addedAt) && m.now.Sub(r.lastReceived) < m.suspicionTimeout():
		m.sendProbeReply(p.Log, p.Subject, true)
	default:
		m.planTakeover(r, ReasonUnresponsive)
	}
}

// planTakeover schedules this process's attempt to take over a log. A candidate of rank n,
// counted from 0, waits n times TakeoverDelay, so that usually only one or a few attempt it.
func (m *Machine) planTakeover(r *memberRecord, reason Reason) {
	if r.State == Gone || !r.takeover.nextAttempt.IsZero() {
		return
	}
	for rank, log := range m.candidates(r) {
		if log == m.self.Log {
			r.takeover = takeoverPlan{reason: reason, nextAttempt: m.now.Add(time.Duration(rank) * m.cfg.TakeoverDelay)}
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

// requestTakeover emits AttemptTakeover when an attempt is due.
func (m *Machine) requestTakeover(r *memberRecord) {
	if r.takeover.nextAttempt.IsZero() || m.now.Before(r.takeover.nextAttempt) || m.self.State != Up {
		return
	}
	r.takeover.nextAttempt = m.now.Add(takeoverRetryDelay)
	m.emit(AttemptTakeover{Log: r.Log, Reason: r.takeover.reason})
}

// markTakenOver marks the owner of a log as Gone and disseminates that.
func (m *Machine) markTakenOver(t TakenOver) {
	if r := m.members[t.Log]; r != nil {
		u := r.Update
		u.State, u.Successor = Gone, t.Successor
		m.applyUpdate(u, fresh)
	}
}

// planForGoneVM plans the takeover of the logs whose owners ran on a VM that is gone.
func (m *Machine) planForGoneVM(vm structs.VMID) {
	for _, log := range m.sortedLogs {
		if r := m.members[log]; r.VM == vm {
			m.planUnlessResponsive(r, ReasonVMGone)
		}
	}
}

// planUnlessResponsive plans a takeover unless the last contact with the owner was within the
// suspicion timeout; see memberRecord.lastReceived.
func (m *Machine) planUnlessResponsive(r *memberRecord, reason Reason) {
	if r.lastReceived.After(r.addedAt) && m.now.Sub(r.lastReceived) < m.suspicionTimeout() {
		return
	}
	m.planTakeover(r, reason)
}

// planReplaced plans the takeover of the logs that earlier incarnations of a new member's node
// left open. The newest incarnation is itself a candidate. It also plans the takeover of the
// new member's log if its VM is already known to be gone.
func (m *Machine) planReplaced(r *memberRecord) {
	if gate := m.gates.byVM[r.VM]; gate != nil && gate.State == RankGone {
		m.planUnlessResponsive(r, ReasonVMGone)
	}
	newest := m.newestIncarnation(r.Node)
	for _, log := range m.sortedLogs {
		old := m.members[log]
		if old.Node != r.Node || old.State == Gone || old.Incarnation == 0 || old.Incarnation >= newest {
			// An unknown incarnation may be the newest: it must become unresponsive first.
			continue
		}
		m.emit(ReportEvent{Event: EventRestarted, Node: old.Node, Log: old.Log})
		m.planTakeover(old, ReasonReplaced)
	}
}

// newestIncarnation returns the highest known incarnation of a node.
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
