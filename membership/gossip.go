package membership

import (
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornroute/buckthornroute/structs"
)

// updatesPerHeartbeat bounds the member updates, and separately the gates, that one heartbeat
// carries.
const updatesPerHeartbeat = 2

// fullySent is a send count above any limit: the update is not piggybacked any more.
const fullySent = math.MaxInt32

// origin is how an update reached this process.
type origin uint8

const (
	// fresh updates are passed on with heartbeats.
	fresh origin = iota
	// synced updates arrived in a SyncReply. They are not passed on while the member is Up:
	// other processes request them with a Sync of their own.
	synced
)

// sendLimit returns the number of heartbeat rounds in which this process passes an update on,
// each round to all its watchers. It exceeds the number of rounds that an update needs to reach
// all members, which grows with their logarithm.
func (m *Machine) sendLimit() int { return bits.Len(uint(len(m.members))) + 2 }

// applyUpdate applies an update that supersedes the known one and queues it for dissemination.
// An update that an unknown member is gone is ignored.
func (m *Machine) applyUpdate(u Update, from origin) {
	if u.Log == m.self.Log {
		m.applyOwnUpdate(u)
		return
	}
	r := m.members[u.Log]
	if r != nil && !u.supersedes(r.Update) || r == nil && u.State == Gone {
		return
	}
	if r == nil {
		r = &memberRecord{hash: xxhash.Sum64String(string(u.Log)), addedAt: m.now, lastReceived: m.now}
		m.members[u.Log] = r
		at, _ := slices.BinarySearch(m.sortedLogs, u.Log)
		m.sortedLogs = slices.Insert(m.sortedLogs, at, u.Log)
		m.emit(ReportEvent{Event: EventJoined, Node: u.Node, Log: u.Log})
	}
	before := r.State
	m.stateDigest ^= r.currentDigest() ^ u.digest()
	r.Update = u
	r.sends = 0
	if from == synced && u.State == Up {
		r.sends = fullySent
	}
	if u.State == before {
		return
	}
	m.membersChanged = true
	switch {
	case u.State == Gone:
		m.markGone(r)
	case before == 0: // the member was unknown
		m.planReplaced(r)
	}
}

// applyOwnUpdate handles an update about this process from a peer. Only Gone matters: it reports
// that the log has been sealed. The next append to the log, which is then rejected, confirms it.
func (m *Machine) applyOwnUpdate(u Update) {
	if u.State == Gone && m.self.State != Gone {
		m.updateSelf(func(own *Update) { own.State, own.Successor = Gone, u.Successor })
		m.emit(Superseded{Successor: u.Successor})
	}
}

// markGone clears the suspicion of and the takeover plan for a member that is gone.
func (m *Machine) markGone(r *memberRecord) {
	r.goneAt = m.now
	r.suspect = suspicion{}
	r.takeover = takeoverPlan{}
	m.emit(ReportEvent{Event: EventGone, Node: r.Node, Log: r.Log})
}

// sendHeartbeats sends a heartbeat to each watcher and contacts the seeds.
func (m *Machine) sendHeartbeats() {
	p := m.packet(Heartbeat)
	p.StateDigest, p.Preset = m.stateDigest, m.preset
	p.Updates = m.pendingUpdates(updatesPerHeartbeat)
	p.Gates = m.pendingGates(updatesPerHeartbeat)
	for _, log := range m.watchers {
		m.send(log, p)
	}
	m.contactSeeds(p)
}

// contactSeeds sends the update of this process to each seed address at which no responsive
// member is known.
func (m *Machine) contactSeeds(p Packet) {
	p.Updates = append([]Update{m.self}, p.Updates...)
	for _, address := range m.cfg.Seeds {
		if address != m.self.Address && !m.hasResponsiveMember(address) {
			m.emit(Send{Address: address, Packet: p})
		}
	}
}

// hasResponsiveMember reports whether a member at the address is known that is neither gone nor
// suspected by this process.
func (m *Machine) hasResponsiveMember(address string) bool {
	for _, log := range m.sortedLogs {
		r := m.members[log]
		if r.Address == address && r.State != Gone && r.suspect.since.IsZero() {
			return true
		}
	}
	return false
}

// broadcastOwnUpdate sends a change of this process to its watchers without waiting for the
// next heartbeat.
func (m *Machine) broadcastOwnUpdate() {
	p := m.packet(Heartbeat)
	p.StateDigest, p.Preset = m.stateDigest, m.preset
	p.Updates = []Update{m.self}
	for _, log := range m.watchers {
		m.send(log, p)
	}
}

// packet returns a packet with this process as the sender.
func (m *Machine) packet(kind PacketKind) Packet {
	return Packet{Kind: kind, Log: m.self.Log, Address: m.self.Address}
}

// send sends a packet to a member, unless the member or its address is unknown.
func (m *Machine) send(to structs.LogID, p Packet) {
	if r := m.members[to]; r != nil && r.Address != "" {
		m.emit(Send{Address: r.Address, Packet: p})
	}
}

// pendingUpdates returns up to limit updates that have not reached sendLimit, the least sent
// first, and increments their send counts.
func (m *Machine) pendingUpdates(limit int) []Update {
	var waiting []*memberRecord
	for _, log := range m.sortedLogs {
		if r := m.members[log]; r.sends < m.sendLimit() {
			waiting = append(waiting, r)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *memberRecord) int { return a.sends - b.sends })
	var updates []Update
	for _, r := range waiting[:min(limit, len(waiting))] {
		r.sends++
		updates = append(updates, r.Update)
	}
	return updates
}

// receive processes a packet from a peer.
func (m *Machine) receive(p Packet) {
	if p.Log == m.self.Log {
		return
	}
	from := fresh
	if p.Kind == SyncReply {
		from = synced
	}
	for _, u := range p.Updates {
		m.applyUpdate(u, from)
	}
	for _, g := range p.Gates {
		m.mergeGate(g)
	}
	m.recordContact(p)
	switch p.Kind {
	case Heartbeat:
		m.compareDigests(p)
	case Probe:
		m.handleProbe(p)
	case ProbeReply:
		m.handleProbeReply(p)
	case Ping:
		m.emit(Send{Address: p.Address, Packet: m.ownHeartbeat()})
	case Dead:
		m.handleDead(p)
	case Sync:
		m.handleSync(p)
	}
}

// ownHeartbeat returns a Heartbeat without updates or gates.
func (m *Machine) ownHeartbeat() Packet {
	p := m.packet(Heartbeat)
	p.StateDigest, p.Preset = m.stateDigest, m.preset
	return p
}

// recordContact records that the sender of a packet is alive. It ends the suspicion of the
// sender and cancels a takeover plan that was based on it. The record of a sender that is
// already Gone does not change: its Heartbeat is answered with the update that it is gone. Its
// packets still show that this process is not isolated.
func (m *Machine) recordContact(p Packet) {
	m.lastPeerPacket = m.now
	r := m.members[p.Log]
	if r == nil || r.State == Gone && p.Kind != Heartbeat {
		return
	}
	if r.State == Gone {
		m.notifyGone(r)
		return
	}
	r.lastReceived = m.now
	if p.Kind == Heartbeat {
		r.preset = p.Preset
	}
	m.replyToPendingProbes(r)
	if !r.suspect.since.IsZero() {
		r.suspect = suspicion{}
		m.emit(ReportEvent{Event: EventRecovered, Node: r.Node, Log: r.Log})
	}
	if r.takeover.reason == ReasonUnresponsive {
		r.takeover = takeoverPlan{}
	}
}

// notifyGone informs a live process that its log has been taken over. An owner that was paused
// does not know it yet.
func (m *Machine) notifyGone(r *memberRecord) {
	p := m.ownHeartbeat()
	p.Updates = []Update{r.Update}
	m.send(r.Log, p)
}

// compareDigests requests a synchronisation from the sender of a heartbeat if the sender is
// unknown or if the state digests differ. For a known sender it does so at most once in
// heartbeatsBetweenSyncs heartbeat intervals: most differences are resolved by updates that are
// still in transit.
func (m *Machine) compareDigests(p Packet) {
	if m.members[p.Log] == nil || p.StateDigest != m.stateDigest && !m.now.Before(m.nextSync) {
		const heartbeatsBetweenSyncs = 10
		m.nextSync = m.now.Add(heartbeatsBetweenSyncs * m.heartbeatInterval())
		sync := m.packet(Sync)
		sync.Updates = []Update{m.self}
		for _, log := range m.sortedLogs {
			if r := m.members[log]; r.State != Gone {
				sync.KnownDigests = append(sync.KnownDigests, r.digest())
			}
		}
		m.emit(Send{Address: p.Address, Packet: sync})
	}
}

// handleSync answers with the updates that the sender lacks, the updates of all members that
// are gone, and all gates.
func (m *Machine) handleSync(p Packet) {
	known := make(map[uint64]bool, len(p.KnownDigests))
	for _, k := range p.KnownDigests {
		known[k] = true
	}
	answer := m.packet(SyncReply)
	answer.Updates = []Update{m.self}
	for _, log := range m.sortedLogs {
		if r := m.members[log]; r.State == Gone || !known[r.digest()] {
			answer.Updates = append(answer.Updates, r.Update)
		}
	}
	answer.Gates = m.allGates()
	m.emit(Send{Address: p.Address, Packet: answer})
}
