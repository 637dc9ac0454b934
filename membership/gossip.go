package membership

import (
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornroute/buckthornroute/structs"
)

// newsPerBeat bounds the updates, and the gates, that travel with one heartbeat.
const newsPerBeat = 2

// spread stands for a number of sends that is above any limit.
const spread = math.MaxInt32

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

// learn takes news of a member in and passes them on.
func (m *Machine) learn(u Update, from origin) {
	if u.Log == m.self.Log {
		m.learnSelf(u)
		return
	}
	r := m.members[u.Log]
	if r != nil && !u.later(r.Update) || r == nil && u.State == Gone {
		return
	}
	if r == nil {
		r = &record{hash: xxhash.Sum64String(string(u.Log)), first: m.now, heard: m.now}
		m.members[u.Log] = r
		at, _ := slices.BinarySearch(m.order, u.Log)
		m.order = slices.Insert(m.order, at, u.Log)
		m.emit(ReportEvent{Event: EventJoined, Node: u.Node, Log: u.Log})
	}
	before := r.State
	m.table ^= r.known() ^ u.digest()
	r.Update = u
	r.sends = 0
	if from == synced && u.State == Up {
		r.sends = spread
	}
	if u.State == before {
		return
	}
	m.changed = true
	switch {
	case u.State == Gone:
		m.gone(r)
	case before == 0:
		m.findReplaced(r)
	}
}

// learnSelf answers news of this process that it did not make: only the seal of its log
// does, and the journal finds that for itself.
func (m *Machine) learnSelf(u Update) {
	if u.State == Gone && m.self.State != Gone {
		m.changeOwn(func(own *Update) { own.State, own.Successor = Gone, u.Successor })
		m.emit(Superseded{Successor: u.Successor})
	}
}

// gone ends the care for a member.
func (m *Machine) gone(r *record) {
	r.goneAt = m.now
	r.suspect = suspicion{}
	r.adopt = attempt{}
	m.emit(ReportEvent{Event: EventGone, Node: r.Node, Log: r.Log})
}

// beat sends a heartbeat to each watcher, or greets the seeds.
func (m *Machine) beat() {
	p := m.packet(Heartbeat)
	p.StateDigest, p.Preset = m.table, m.preset
	p.Updates = m.memberNews(newsPerBeat)
	p.Gates = m.gateNews(newsPerBeat)
	for _, log := range m.watchers {
		m.send(log, p)
	}
	m.greetSeeds(p)
}

// greetSeeds sends the own update to the addresses of the settings where no member is heard.
func (m *Machine) greetSeeds(p Packet) {
	p.Updates = append([]Update{m.self}, p.Updates...)
	for _, address := range m.cfg.Seeds {
		if address != m.self.Address && !m.hears(address) {
			m.emit(Send{Address: address, Packet: p})
		}
	}
}

func (m *Machine) hears(address string) bool {
	for _, log := range m.order {
		r := m.members[log]
		if r.Address == address && r.State != Gone && r.suspect.since.IsZero() {
			return true
		}
	}
	return false
}

// sendOwn tells the watchers at once of a change of this process.
func (m *Machine) sendOwn() {
	p := m.packet(Heartbeat)
	p.StateDigest, p.Preset = m.table, m.preset
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

// memberNews returns the updates that have not yet travelled often enough, the least
// travelled first.
func (m *Machine) memberNews(limit int) []Update {
	var waiting []*record
	for _, log := range m.order {
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
		m.learn(u, from)
	}
	for _, g := range p.Gates {
		m.joinGate(g)
	}
	m.heard(p)
	switch p.Kind {
	case Heartbeat:
		m.compareTables(p)
	case Probe:
		m.probed(p)
	case ProbeReply:
		m.probeReply(p)
	case Ping:
		m.emit(Send{Address: p.Address, Packet: m.ownHeartbeat()})
	case Dead:
		m.toldDead(p)
	case Sync:
		m.answerSync(p)
	}
}

func (m *Machine) ownHeartbeat() Packet {
	p := m.packet(Heartbeat)
	p.StateDigest, p.Preset = m.table, m.preset
	return p
}

// heard notes that the sender lives.
func (m *Machine) heard(p Packet) {
	m.peerAt = m.now
	r := m.members[p.Log]
	if r == nil || r.State == Gone && p.Kind != Heartbeat {
		return
	}
	if r.State == Gone {
		m.tellGone(r)
		return
	}
	r.heard = m.now
	if p.Kind == Heartbeat {
		r.preset = p.Preset
	}
	m.answerPings(r)
	if !r.suspect.since.IsZero() {
		r.suspect = suspicion{}
		m.emit(ReportEvent{Event: EventRecovered, Node: r.Node, Log: r.Log})
	}
	if r.adopt.reason == ReasonUnresponsive {
		r.adopt = attempt{}
	}
}

// tellGone tells a process that lives that its log has been taken over, as a paused holder
// does not know.
func (m *Machine) tellGone(r *record) {
	p := m.ownHeartbeat()
	p.Updates = []Update{r.Update}
	m.send(r.Log, p)
}

// compareTables asks the sender of a heartbeat for what this process lacks, when their
// tables differ though no news is on its way, or when the sender is unknown.
func (m *Machine) compareTables(p Packet) {
	if m.members[p.Log] == nil || p.StateDigest != m.table && !m.now.Before(m.nextSync) {
		const beatsBetweenSyncs = 10
		m.nextSync = m.now.Add(beatsBetweenSyncs * m.interval())
		sync := m.packet(Sync)
		sync.Updates = []Update{m.self}
		for _, log := range m.order {
			if r := m.members[log]; r.State != Gone {
				sync.KnownDigests = append(sync.KnownDigests, r.digest())
			}
		}
		m.emit(Send{Address: p.Address, Packet: sync})
	}
}

// answerSync sends the updates that the asker lacks, and all gates.
func (m *Machine) answerSync(p Packet) {
	known := make(map[uint64]bool, len(p.KnownDigests))
	for _, k := range p.KnownDigests {
		known[k] = true
	}
	answer := m.packet(SyncReply)
	answer.Updates = []Update{m.self}
	for _, log := range m.order {
		if r := m.members[log]; r.State == Gone || !known[r.digest()] {
			answer.Updates = append(answer.Updates, r.Update)
		}
	}
	answer.Gates = m.allGates()
	m.emit(Send{Address: p.Address, Packet: answer})
}
