package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Machine is one process's view of the members. It is not safe for concurrent use.
type Machine struct {
	cfg  Config
	self Update
	hash uint64
	now  time.Time
	out  []Effect

	members map[structs.LogID]*record
	// order are the logs of all members, sorted.
	order []structs.LogID
	// table is the digest of the own update and of all records that are not gone.
	table uint64
	// watchers are those of this process; they and record.watched are computed anew when
	// the members have changed.
	watchers []structs.LogID
	changed  bool

	preset    uint64
	nextBeat  time.Time
	nextSync  time.Time
	nextCheck time.Time

	gates    gates
	isolated bool
	// platformAt is when the platform answered last, peerAt when any peer was heard.
	platformAt time.Time
	peerAt     time.Time
}

// New returns a machine that knows nobody but itself. Its first Tick starts the heartbeats.
func New(cfg Config) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg:     cfg,
		self:    Update{Member: cfg.Self, State: Up, Version: 1},
		hash:    xxhash.Sum64String(string(cfg.Self.Log)),
		members: make(map[structs.LogID]*record),
		gates:   gates{known: make(map[structs.VMID]*gateRecord)},
	}
	m.table = m.self.digest()
	return m
}

// Step takes one message at the time now and returns what the shell has to do, in order.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	if m.now.IsZero() {
		m.platformAt, m.peerAt, m.gates.readAt = now, now, now
	}
	m.noticePause(now)
	m.now = now
	m.out = nil
	switch msg := msg.(type) {
	case Received:
		m.receive(msg.Packet)
	case VMsListed:
		m.platformAt = now
		m.listedVMs(msg.VMs)
	case PlatformResult:
		if msg.Answered {
			m.platformAt = now
		}
	case LogsListed:
		for _, member := range msg.Members {
			m.learn(Update{Member: member, State: Up}, fresh)
		}
	case SelfChanged:
		m.changeSelf(msg)
	case Leave:
		m.changeOwn(func(u *Update) { u.State = max(u.State, Leaving) })
		m.nextBeat = now
	case TakenOver:
		m.taken(msg)
	case DrainOrdered:
		m.joinGate(msg.Gate)
	case Tick:
	}
	m.advance()
	return m.out
}

// noticePause lets all members count as heard when this process has itself been stopped:
// their silence is its own.
func (m *Machine) noticePause(now time.Time) {
	if m.now.IsZero() || now.Sub(m.now) < m.suspicionTime()/2 {
		return
	}
	for _, r := range m.members {
		if r.State != Gone && r.suspect.since.IsZero() {
			r.heard = now
		}
	}
}

// advance does what has fallen due.
func (m *Machine) advance() {
	m.rank()
	if !m.now.Before(m.nextBeat) {
		m.nextBeat = m.now.Add(m.interval())
		m.beat()
	}
	if !m.now.Before(m.nextCheck) {
		m.nextCheck = m.now.Add(m.interval() / 4)
		m.checkMembers()
		m.noticeStaleList()
		m.forgetGates()
		m.checkIsolation()
	}
	wake := m.nextBeat
	if m.nextCheck.Before(wake) {
		wake = m.nextCheck
	}
	m.emit(WakeAt{At: wake})
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

func (m *Machine) changeSelf(c SelfChanged) {
	m.preset = c.Preset
	if c.Ready != m.self.Ready {
		m.changeOwn(func(u *Update) { u.Ready = c.Ready })
	}
}

// changeOwn changes the own update; its version grows.
func (m *Machine) changeOwn(change func(*Update)) {
	m.table ^= m.self.digest()
	change(&m.self)
	m.self.Version++
	m.table ^= m.self.digest()
	m.sendOwn()
}

// Heartbeats cost bytes: the packet, and what carries it.
const (
	// beatBytes is the size of a heartbeat without news.
	beatBytes = 64
	// carrierBytes is what TCP/IP and the frames of a stream add to a packet.
	carrierBytes = 120
)

// interval returns the time between two heartbeats to one watcher. Each is sent by one
// process and received by another, so a process pays for twice the number of watchers.
func (m *Machine) interval() time.Duration {
	bytes := 2 * len(m.watchers) * (beatBytes + carrierBytes)
	return max(m.cfg.HeartbeatInterval, time.Duration(bytes)*time.Second/time.Duration(m.cfg.WireBytesPerSecond))
}

// suspicionTime returns the silence after which a member is suspected: long enough for two
// heartbeats to be lost or late.
func (m *Machine) suspicionTime() time.Duration {
	return max(m.cfg.SuspicionTimeout, m.interval()*5/2)
}

// checkIsolation tells the shell when this process is cut off from the platform and from
// all peers, and when that has ended. In an outage of the platform that all see, peers are
// still heard. A process without peers cannot tell, and carries on.
func (m *Machine) checkIsolation() {
	since := m.platformAt
	if m.peerAt.After(since) {
		since = m.peerAt
	}
	cut := m.hasPeers() && m.now.Sub(since) >= m.cfg.IsolationTimeout
	if cut != m.isolated {
		m.isolated = cut
		m.emit(IsolationChanged{Isolated: cut})
	}
}

// hasPeers says that there are others to hear from: settings name some, or some are known.
func (m *Machine) hasPeers() bool {
	if len(m.cfg.Seeds) > 0 {
		return true
	}
	for _, r := range m.members {
		if r.State != Gone {
			return true
		}
	}
	return false
}

// Members returns what is known of all members that are not gone, this one among them, by log.
func (m *Machine) Members() []View {
	views := []View{{Member: m.self.Member, State: m.self.State, Preset: m.preset}}
	for _, log := range m.order {
		r := m.members[log]
		if r.State != Gone {
			views = append(views, View{Member: r.Member, State: r.State, Suspected: r.suspect.since.After(time.Time{}), Preset: r.preset})
		}
	}
	return views
}

// Relays returns the addresses of members that have lately said that they hear the log's
// holder, for calls when this process does not.
func (m *Machine) Relays(log structs.LogID) []string {
	r := m.members[log]
	if r == nil {
		return nil
	}
	var addresses []string
	for _, peer := range sortedKeys(r.suspect.alive) {
		if p := m.members[peer]; p != nil && p.State != Gone {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}
