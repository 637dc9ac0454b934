package membership

import (
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornroute/buckthornroute/structs"
)

// updatesPerHeartbeat bounds the updates, and the gates, that travel with one heartbeat.
const updatesPerHeartbeat = 2

// fullySent stands for a number of sends that is above any limit.
const fullySent = math.MaxInt32

// origin says how news of a member came here.
type origin uint8

const (
	// fresh news is passed on.
	fresh origin = iota
	// synced news came with a whole table, which others ask for themselves.
	synced
)

// sendLimit returns with how many heartbeats a piece of news travels from one process, each
// to all its watchers: more than the rounds in which it reaches all.
func (m *Machine) sendLimit() int { return bits.Len(uint(len(m.members))) + 2 }

// applyUpdate takes news of a member in and passes them on.
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
		r = &record{hash: xxhash.Sum64String(string(u.Log)), addedAt: m.now, lastReceived: m.now}
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
	case before == 0:
		m.planReplaced(r)
	}
}

// applyOwnUpdate answers news of this process that it did not make: only the seal of its log
// does, and the journal finds that for itself.
func (m *Machine) applyOwnUpdate(u Update) {
	if u.State == Gone && m.self.State != Gone {
		m.updateSelf(func(own *Update) { own.State, own.Successor = Gone, u.Successor })
		m.emit(Superseded{Successor: u.Successor})
	}
}

// markGone ends the care for a member.
func (m *Machine) markGone(r *record) {
	r.goneAt = m.now
	r.suspect = suspicion{}
	r.takeover = takeoverPlan{}
	m.emit(ReportEvent{Event: EventGone, Node: r.Node, Log: r.Log})
}

// sendHeartbeats sends a heartbeat to each watcher, or greets the seeds.
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

// contactSeeds sends the own update to the addresses of the settings where no member is heard.
func (m *Machine) contactSeeds(p Packet) {
	p.Updates = append([]Update{m.self}, p.Updates...)
	for _, address := range m.cfg.Seeds {
		if address != m.self.Address && !m.isResponsive(address) {
			m.emit(Send{Address: address, Packet: p})
		}
	}
}

func (m *Machine) isResponsive(address string) bool {
	for _, log := range m.sortedLogs {
		r := m.members[log]
		if r.Address == address && r.State != Gone && r.suspect.since.IsZero() {
			return true
		}
	}
	return false
}

// broadcastOwnUpdate tells the watchers at once of a change of this process.
func (m *Machine) broadcastOwnUpdate() {
	p := m.packet(Heartbeat)
	p.StateDigest, p.Preset = m.stateDigest, m.preset
	p.Updates = []Update{m.self}
	for _, log := range m.watchers {
		m.send(log, p)
	}
}

func (m *Machine) packet(kind PacketKind) Packet {
	return Packet{Kind: kind, Log: m.self.Log, Address: m.self.Address}
}

func (m *Machine) send(to structs.LogID, p Packet) {
	if r := m.members[to]; r != nil && r.Address != "" {
		m.emit(Send{Address: r.Address, Packet: p})
	}
}

// pendingUpdates returns the updates that have not yet travelled often enough, the least
// travelled first.
func (m *Machine) pendingUpdates(limit int) []Update {
	var waiting []*record
	for _, log := range m.sortedLogs {
		if r := m.members[log]; r.sends < m.sendLimit() {
			waiting = append(waiting, r)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *record) int { return a.sends - b.sends })
	var news []Update
	for _, r := range waiting[:min(limit, len(waiting))] {
		r.sends++
		news = append(news, r.Update)
	}
	return news
}

// receive takes a packet in.
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

func (m *Machine) ownHeartbeat() Packet {
	p := m.packet(Heartbeat)
	p.StateDigest, p.Preset = m.stateDigest, m.preset
	return p
}

// recordContact notes that the sender lives.
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
	m.answerPendingProbes(r)
	if !r.suspect.since.IsZero() {
		r.suspect = suspicion{}
		m.emit(ReportEvent{Event: EventRecovered, Node: r.Node, Log: r.Log})
	}
	if r.takeover.reason == ReasonUnresponsive {
		r.takeover = takeoverPlan{}
	}
}

// notifyGone tells a process that lives that its log has been taken over, as a paused holder
// does not know.
func (m *Machine) notifyGone(r *record) {
	p := m.ownHeartbeat()
	p.Updates = []Update{r.Update}
	m.send(r.Log, p)
}

// compareDigests asks the sender of a heartbeat for what this process lacks, when their
// tables differ though no news is on its way, or when the sender is unknown.
func (m *Machine) compareDigests(p Packet) {
	if m.members[p.Log] == nil || p.StateDigest != m.stateDigest && !m.now.Before(m.nextSync) {
		const beatsBetweenSyncs = 10
		m.nextSync = m.now.Add(beatsBetweenSyncs * m.heartbeatInterval())
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

// handleSync sends the updates that the asker lacks, and all gates.
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
