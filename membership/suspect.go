package membership

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// suspicion is what a process knows of a member that it ought to hear and does not.
type suspicion struct {
	// since is when it was suspected; zero while it is not.
	since time.Time
	// probedAt is when others were asked last, and asked how many.
	probedAt time.Time
	probed   int
	// confirmedBy are the failure domains of those who do not hear it either.
	confirmedBy map[structs.FailureDomain]bool
	// reachableBy are those who hear it.
	reachableBy map[structs.LogID]bool
	confirmed   bool
	// notifiedAt is when candidates were told last, and told how many.
	notifiedAt time.Time
	notified   int
}

// pendingProbe is a probe that waits for the answer of the member that it is about.
type pendingProbe struct {
	to structs.LogID
	at time.Time
}

// probesPerRound is the number of peers asked at once about a silent member.
const probesPerRound = 3

// updateWatchers computes the watchers anew when members have come or gone.
func (m *Machine) updateWatchers() {
	if !m.membersChanged {
		return
	}
	m.membersChanged = false
	var logs []structs.LogID
	for _, log := range m.sortedLogs {
		if m.members[log].State != Gone {
			logs = append(logs, log)
		}
	}
	k := watcherCount(len(logs) + 1)
	m.watchers = top(logs, k, func(log structs.LogID) uint64 { return mix(m.hash, m.members[log].hash) })
	hashes := make([]uint64, 0, len(logs)+1)
	for _, log := range logs {
		hashes = append(hashes, m.members[log].hash)
	}
	for _, log := range logs {
		r := m.members[log]
		watched := isWatcher(r.hash, hashes, m.hash, k)
		if watched && !r.watched {
			r.lastReceived = m.now
		}
		r.watched = watched
	}
}

// isWatcher says whether the process with the hash own is one of the k watchers of the member.
func isWatcher(member uint64, others []uint64, own uint64, k int) bool {
	weight := mix(member, own)
	for _, o := range others {
		if o != member && mix(member, o) > weight {
			k--
		}
	}
	return k > 0
}

// checkMembers follows up on members that are silent and on attempts that are due.
func (m *Machine) checkMembers() {
	for _, log := range slices.Clone(m.sortedLogs) {
		r := m.members[log]
		if r.State == Gone {
			m.dropGone(r)
			continue
		}
		m.answerPendingProbes(r)
		m.checkResponsiveness(r)
		m.requestTakeover(r)
	}
}

// dropGone drops a member that has been gone for long.
func (m *Machine) dropGone(r *record) {
	if m.now.Sub(r.goneAt) >= m.cfg.GoneRetention {
		delete(m.members, r.Log)
		m.sortedLogs = slices.DeleteFunc(m.sortedLogs, func(log structs.LogID) bool { return log == r.Log })
	}
}

func (m *Machine) checkResponsiveness(r *record) {
	if !r.watched || m.now.Sub(r.lastReceived) < m.suspicionTimeout() {
		return
	}
	s := &r.suspect
	switch {
	case s.since.IsZero():
		*s = suspicion{since: m.now}
		m.emit(ReportEvent{Event: EventSuspected, Node: r.Node, Log: r.Log})
		m.probe(r)
	case s.confirmed:
		m.notifyCandidates(r)
	case m.failureConfirmed(s):
		s.confirmed = true
		m.emit(ReportEvent{Event: EventUnresponsive, Node: r.Node, Log: r.Log})
		m.notifyCandidates(r)
	case m.now.Sub(s.probedAt) >= m.suspicionTimeout():
		m.probe(r)
	}
}

// failureConfirmed says whether peers in another failure domain do not hear the member and
// nobody does: all those asked have answered, or the time to answer is over.
func (m *Machine) failureConfirmed(s *suspicion) bool {
	if len(s.confirmedBy) == 0 || len(s.reachableBy) > 0 {
		return false
	}
	return len(s.confirmedBy) >= min(s.probed, 2) || m.now.Sub(s.probedAt) >= m.probeTimeout()
}

// probeTimeout is how long answers to probes are waited for.
func (m *Machine) probeTimeout() time.Duration { return m.suspicionTimeout() / 2 }

// probe asks peers in other failure domains than this process's whether they hear the member.
func (m *Machine) probe(r *record) {
	r.suspect.probedAt = m.now
	r.suspect.confirmedBy = map[structs.FailureDomain]bool{}
	r.suspect.reachableBy = map[structs.LogID]bool{}
	p := m.packet(Probe)
	p.Subject = r.Log
	p.Updates = []Update{r.Update}
	asked := m.probeTargets(r)
	r.suspect.probed = len(asked)
	for _, log := range asked {
		m.send(log, p)
	}
}

// probeTargets returns the peers to ask about a member: those in other failure domains, one of
// each domain first.
func (m *Machine) probeTargets(r *record) []structs.LogID {
	var logs []structs.LogID
	for _, log := range m.sortedLogs {
		w := m.members[log]
		if log != r.Log && w.State == Up && w.Domain != m.self.Domain && w.suspect.since.IsZero() {
			logs = append(logs, log)
		}
	}
	logs = top(logs, len(logs), func(log structs.LogID) uint64 { return mix(r.hash, m.members[log].hash) })
	seen := map[structs.FailureDomain]bool{}
	var first, rest []structs.LogID
	for _, log := range logs {
		domain := m.members[log].Domain
		if seen[domain] {
			rest = append(rest, log)
			continue
		}
		seen[domain] = true
		first = append(first, log)
	}
	all := slices.Concat(first, rest)
	return all[:min(len(all), probesPerRound)]
}

// handleProbe answers whether this process hears the subject. One that is not its watcher pings
// it first.
func (m *Machine) handleProbe(p Packet) {
	r := m.members[p.Subject]
	switch {
	case r == nil || r.State == Gone:
		m.sendProbeReply(p.Log, p.Subject, false)
	case m.now.Sub(r.lastReceived) < m.suspicionTimeout() && r.lastReceived.After(r.addedAt):
		m.sendProbeReply(p.Log, p.Subject, true)
	case r.watched && !r.suspect.since.IsZero():
		m.sendProbeReply(p.Log, p.Subject, false)
	default:
		r.pendingProbes = append(r.pendingProbes, pendingProbe{to: p.Log, at: m.now})
		m.send(r.Log, m.packet(Ping))
	}
}

// answerPendingProbes answers the probes for which the member was pinged: at once when it has
// answered, and after half of the time that the asker waits when it has not.
func (m *Machine) answerPendingProbes(r *record) {
	kept := r.pendingProbes[:0]
	for _, ping := range r.pendingProbes {
		alive := r.lastReceived.After(ping.at)
		if alive || m.now.Sub(ping.at) >= m.probeTimeout()/2 {
			m.sendProbeReply(ping.to, r.Log, alive)
			continue
		}
		kept = append(kept, ping)
	}
	r.pendingProbes = kept
}

func (m *Machine) sendProbeReply(to, subject structs.LogID, alive bool) {
	p := m.packet(ProbeReply)
	p.Subject, p.Alive = subject, alive
	if r := m.members[subject]; r != nil && r.State == Gone {
		p.Updates = []Update{r.Update}
	}
	m.send(to, p)
}

// handleProbeReply counts an answer to a probe. Only the silence at another failure domain counts.
func (m *Machine) handleProbeReply(p Packet) {
	r, from := m.members[p.Subject], m.members[p.Log]
	if r == nil || from == nil || r.suspect.since.IsZero() || r.State == Gone {
		return
	}
	switch {
	case p.Alive:
		r.suspect.reachableBy[p.Log] = true
		r.suspect.confirmed = false
	case from.Domain != m.self.Domain:
		r.suspect.confirmedBy[from.Domain] = true
	}
}
