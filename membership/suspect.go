package membership

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// suspicion is the state of the failure detection for one member that this process watches. It
// lasts until a packet from the member arrives or the member is gone, even if this process stops
// watching the member.
type suspicion struct {
	// since is when the member was suspected; zero while it is not.
	since time.Time
	// probedAt is the time of the last round of probes, and probedPeers the number of peers
	// that it asked.
	probedAt    time.Time
	probedPeers int
	// confirmedBy holds the failure domains of the peers that do not receive packets from the
	// member either.
	confirmedBy map[structs.FailureDomain]bool
	// reachableBy holds the peers that do receive packets from the member.
	reachableBy map[structs.LogID]bool
	confirmed   bool
	// notifiedAt is when takeover candidates were last notified, and notifiedCandidates the
	// limit on their number.
	notifiedAt         time.Time
	notifiedCandidates int
}

// pendingProbe is a probe that waits for its subject to answer a ping, which was sent at since.
type pendingProbe struct {
	prober structs.LogID
	since  time.Time
}

// probesPerRound is the number of peers that are probed at once about an unresponsive member.
const probesPerRound = 3

// updateWatchers recomputes who watches whom after members have joined or become Gone.
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
			// The member did not send this process its heartbeats until now, so the wait starts
			// now.
			r.lastReceived = m.now
		}
		r.watched = watched
	}
}

// isWatcher reports whether the process with the hash own is one of the k watchers of the
// member: fewer than k of the others have a greater weight for the member.
func isWatcher(member uint64, others []uint64, own uint64, k int) bool {
	weight := mix(member, own)
	for _, o := range others {
		if o != member && mix(member, o) > weight {
			k--
		}
	}
	return k > 0
}

// checkMembers checks each member for a missing heartbeat and for a due takeover attempt.
func (m *Machine) checkMembers() {
	for _, log := range slices.Clone(m.sortedLogs) {
		r := m.members[log]
		if r.State == Gone {
			m.dropGone(r)
			continue
		}
		m.replyToPendingProbes(r)
		m.checkResponsiveness(r)
		m.requestTakeover(r)
	}
}

// dropGone removes a member that has been gone for longer than GoneRetention.
func (m *Machine) dropGone(r *memberRecord) {
	if m.now.Sub(r.goneAt) >= m.cfg.GoneRetention {
		delete(m.members, r.Log)
		m.sortedLogs = slices.DeleteFunc(m.sortedLogs, func(log structs.LogID) bool { return log == r.Log })
	}
}

// checkResponsiveness suspects a watched member that sends no packets, and probes peers about it
// until they confirm the failure. Then it notifies the takeover candidates.
func (m *Machine) checkResponsiveness(r *memberRecord) {
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

// failureConfirmed reports whether peers in failure domains other than this process's confirm
// the failure and no peer vetoes it. Confirmation from two domains counts at once, and so does
// that of the only peer that was probed; otherwise one domain suffices after the probe timeout.
func (m *Machine) failureConfirmed(s *suspicion) bool {
	if len(s.confirmedBy) == 0 || len(s.reachableBy) > 0 {
		return false
	}
	return len(s.confirmedBy) >= min(s.probedPeers, 2) || m.now.Sub(s.probedAt) >= m.probeTimeout()
}

// probeTimeout returns how long to wait for the replies to one round of probes.
func (m *Machine) probeTimeout() time.Duration { return m.suspicionTimeout() / 2 }

// probe asks peers in failure domains other than this process's whether they receive packets
// from the member.
func (m *Machine) probe(r *memberRecord) {
	r.suspect.probedAt = m.now
	r.suspect.confirmedBy = map[structs.FailureDomain]bool{}
	r.suspect.reachableBy = map[structs.LogID]bool{}
	p := m.packet(Probe)
	p.Subject = r.Log
	p.Updates = []Update{r.Update}
	targets := m.probeTargets(r)
	r.suspect.probedPeers = len(targets)
	for _, log := range targets {
		m.send(log, p)
	}
}

// probeTargets returns the peers to probe about a member: those in failure domains other than
// that of this process, without peers that are suspected or not Up. One peer of each domain
// precedes the second of any.
func (m *Machine) probeTargets(r *memberRecord) []structs.LogID {
	var logs []structs.LogID
	for _, log := range m.sortedLogs {
		peer := m.members[log]
		if log != r.Log && peer.State == Up && peer.Domain != m.self.Domain && peer.suspect.since.IsZero() {
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

// handleProbe replies whether this process receives packets from the subject. For a subject that
// is unknown or gone the reply is false. Without recent contact with the subject (see
// memberRecord.lastReceived), and unless it suspects the subject itself, this process pings the
// subject before it replies.
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
		r.pendingProbes = append(r.pendingProbes, pendingProbe{prober: p.Log, since: m.now})
		m.send(r.Log, m.packet(Ping))
	}
}

// replyToPendingProbes replies to the probes that wait for the answer to a ping: with true as soon
// as the member has answered, or with false after half of the probe timeout.
func (m *Machine) replyToPendingProbes(r *memberRecord) {
	waiting := r.pendingProbes[:0]
	for _, probe := range r.pendingProbes {
		alive := r.lastReceived.After(probe.since)
		if alive || m.now.Sub(probe.since) >= m.probeTimeout()/2 {
			m.sendProbeReply(probe.prober, r.Log, alive)
			continue
		}
		waiting = append(waiting, probe)
	}
	r.pendingProbes = waiting
}

// sendProbeReply replies whether this process receives packets from the subject. If the subject
// is gone, the reply carries the update that says so.
func (m *Machine) sendProbeReply(to, subject structs.LogID, alive bool) {
	p := m.packet(ProbeReply)
	p.Subject, p.Alive = subject, alive
	if r := m.members[subject]; r != nil && r.State == Gone {
		p.Updates = []Update{r.Update}
	}
	m.send(to, p)
}

// handleProbeReply counts a reply to a probe. A peer in this process's own failure domain
// cannot confirm a failure, but any peer can veto it.
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
