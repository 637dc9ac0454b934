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
	// sortedLogs are the logs of all members, sorted.
	sortedLogs []structs.LogID
	// stateDigest is the digest of the own update and of all records that are not gone.
	stateDigest uint64
	// watchers are those of this process; they and record.watched are computed anew when
	// the members have changed.
	watchers       []structs.LogID
	membersChanged bool

	preset        uint64
	nextHeartbeat time.Time
	nextSync      time.Time
	nextCheck     time.Time

	gates    gateTable
	isolated bool
	// lastPlatformAnswer is when the platform answered last, peerAt when any peer was heard.
	lastPlatformAnswer time.Time
	lastPeerPacket     time.Time
}

// New returns a machine that knows nobody but itself. Its first Tick starts the heartbeats.
func New(cfg Config) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg:     cfg,
		self:    Update{Member: cfg.Self, State: Up, Version: 1},
		hash:    xxhash.Sum64String(string(cfg.Self.Log)),
		members: make(map[structs.LogID]*record),
		gates:   gateTable{byVM: make(map[structs.VMID]*gateRecord)},
	}
	m.stateDigest = m.self.digest()
	return m
}

// Step takes one message at the time now and returns what the shell has to do, in order.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	if m.now.IsZero() {
		m.lastPlatformAnswer, m.lastPeerPacket, m.gates.listReadAt = now, now, now
	}
	m.compensatePause(now)
	m.now = now
	m.out = nil
	switch msg := msg.(type) {
	case Received:
		m.receive(msg.Packet)
	case VMsListed:
		m.lastPlatformAnswer = now
		m.applyVMList(msg.VMs)
	case PlatformResult:
		if msg.Answered {
			m.lastPlatformAnswer = now
		}
	case LogsListed:
		for _, member := range msg.Members {
			m.applyUpdate(Update{Member: member, State: Up}, fresh)
		}
	case SelfChanged:
		m.applySelfChange(msg)
	case Leave:
		m.updateSelf(func(u *Update) { u.State = max(u.State, Leaving) })
		m.nextHeartbeat = now
	case TakenOver:
		m.markTakenOver(msg)
	case DrainOrdered:
		m.mergeGate(msg.Gate)
	case Tick:
	}
	m.runDue()
	return m.out
}

// compensatePause lets all members count as heard when this process has itself been stopped:
// their silence is its own.
func (m *Machine) compensatePause(now time.Time) {
	if m.now.IsZero() || now.Sub(m.now) < m.suspicionTimeout()/2 {
		return
	}
	for _, r := range m.members {
		if r.State != Gone && r.suspect.since.IsZero() {
			r.lastReceived = now
		}
	}
}

// runDue does what has fallen due.
func (m *Machine) runDue() {
	m.updateWatchers()
	if !m.now.Before(m.nextHeartbeat) {
		m.nextHeartbeat = m.now.Add(m.heartbeatInterval())
		m.sendHeartbeats()
	}
	if !m.now.Before(m.nextCheck) {
		m.nextCheck = m.now.Add(m.heartbeatInterval() / 4)
		m.checkMembers()
		m.checkListAge()
		m.dropExpiredGates()
		m.checkIsolation()
	}
	wake := m.nextHeartbeat
	if m.nextCheck.Before(wake) {
		wake = m.nextCheck
	}
	m.emit(WakeAt{At: wake})
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

func (m *Machine) applySelfChange(c SelfChanged) {
	m.preset = c.Preset
	if c.Ready != m.self.Ready {
		m.updateSelf(func(u *Update) { u.Ready = c.Ready })
	}
}

// updateSelf changes the own update; its version grows.
func (m *Machine) updateSelf(change func(*Update)) {
	m.stateDigest ^= m.self.digest()
	change(&m.self)
	m.self.Version++
	m.stateDigest ^= m.self.digest()
	m.broadcastOwnUpdate()
}

// Heartbeats cost bytes: the packet, and what carries it.
const (
	// heartbeatBytes is the size of a heartbeat without news.
	heartbeatBytes = 64
	// framingBytes is what TCP/IP and the frames of a stream add to a packet.
	framingBytes = 120
)

// heartbeatInterval returns the time between two heartbeats to one watcher. Each is sent by one
// process and received by another, so a process pays for twice the number of watchers.
func (m *Machine) heartbeatInterval() time.Duration {
	bytes := 2 * len(m.watchers) * (heartbeatBytes + framingBytes)
	return max(m.cfg.HeartbeatInterval, time.Duration(bytes)*time.Second/time.Duration(m.cfg.WireBytesPerSecond))
}

// suspicionTimeout returns the silence after which a member is suspected: long enough for two
// heartbeats to be lost or late.
func (m *Machine) suspicionTimeout() time.Duration {
	return max(m.cfg.SuspicionTimeout, m.heartbeatInterval()*5/2)
}

// checkIsolation tells the shell when this process is cut off from the platform and from
// all peers, and when that has ended. In an outage of the platform that all see, peers are
// still heard. A process without peers cannot tell, and carries on.
func (m *Machine) checkIsolation() {
	since := m.lastPlatformAnswer
	if m.lastPeerPacket.After(since) {
		since = m.lastPeerPacket
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
	for _, log := range m.sortedLogs {
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
	for _, peer := range sortedKeys(r.suspect.reachableBy) {
		if p := m.members[peer]; p != nil && p.State != Gone {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}
