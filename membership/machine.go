package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Machine tracks the members as one process sees them. It is not safe for concurrent use.
type Machine struct {
	cfg  Config
	self Update
	// hash is the hash of this process's log, from which rendezvous weights are computed.
	hash uint64
	// now and out are the time and the effects of the current step.
	now time.Time
	out []Effect

	members map[structs.LogID]*memberRecord
	// sortedLogs holds the keys of members, sorted.
	sortedLogs []structs.LogID
	// stateDigest combines the digests of the update of this process, of all members that are
	// not gone, and of all gates. Equal digests mean that two processes know the same state.
	stateDigest uint64
	// watchers are the members that receive this process's heartbeats. They and memberRecord.watched
	// are recomputed when membersChanged is set.
	watchers       []structs.LogID
	membersChanged bool

	// preset is the preset version in force at this process.
	preset        uint64
	nextHeartbeat time.Time
	// nextSync is the earliest time of the next Sync to a known member.
	nextSync time.Time
	// nextCheck is the time of the next check of timeouts and due takeovers.
	nextCheck time.Time

	gates    gateTable
	isolated bool
	// lastPlatformAnswer is when the platform last answered, lastPeerPacket when the last
	// packet from any peer arrived.
	lastPlatformAnswer time.Time
	lastPeerPacket     time.Time
}

// New returns a machine that knows only itself. Its first Tick starts the heartbeats.
func New(cfg Config) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg:     cfg,
		self:    Update{Member: cfg.Self, State: Up, Version: 1},
		hash:    xxhash.Sum64String(string(cfg.Self.Log)),
		members: make(map[structs.LogID]*memberRecord),
		gates:   gateTable{byVM: make(map[structs.VMID]*gateRecord)},
	}
	m.stateDigest = m.self.digest()
	return m
}

// Step processes one message at the time now and returns the effects that the driver has to
// carry out, in order.
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

// compensatePause restarts the suspicion timers of all members that are not yet suspected if
// this process was paused, since it could not receive their heartbeats meanwhile. A gap of at
// least half of the suspicion timeout between two Steps counts as a pause.
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

// runDue runs all timers that have expired.
func (m *Machine) runDue() {
	m.updateWatchers()
	if !m.now.Before(m.nextHeartbeat) {
		m.nextHeartbeat = m.now.Add(m.heartbeatInterval())
		m.sendHeartbeats()
	}
	if !m.now.Before(m.nextCheck) {
		// A timeout is noticed at most a quarter of an interval late.
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

// applySelfChange applies the current readiness and preset. A change of readiness is sent to the
// watchers at once; a new preset waits for the next heartbeat.
func (m *Machine) applySelfChange(c SelfChanged) {
	m.preset = c.Preset
	if c.Ready != m.self.Ready {
		m.updateSelf(func(u *Update) { u.Ready = c.Ready })
	}
}

// updateSelf changes the update of this process, increases its version and sends it to the
// watchers.
func (m *Machine) updateSelf(change func(*Update)) {
	m.stateDigest ^= m.self.digest()
	change(&m.self)
	m.self.Version++
	m.stateDigest ^= m.self.digest()
	m.broadcastOwnUpdate()
}

// Sizes of heartbeats on the wire.
const (
	// heartbeatBytes is the estimated size of a heartbeat without updates.
	heartbeatBytes = 64
	// framingBytes is the estimated overhead per packet of TCP/IP and stream framing.
	framingBytes = 120
)

// heartbeatInterval returns the time between two heartbeats to one watcher. A process sends one
// heartbeat to each of its watchers and receives as many on average, so it handles 2 ×
// len(watchers) packets per interval.
func (m *Machine) heartbeatInterval() time.Duration {
	bytes := 2 * len(m.watchers) * (heartbeatBytes + framingBytes)
	return max(m.cfg.HeartbeatInterval, time.Duration(bytes)*time.Second/time.Duration(m.cfg.WireBytesPerSecond))
}

// suspicionTimeout returns the time without a packet after which a watched member is suspected.
// It is at least 2.5 heartbeat intervals, so that one lost heartbeat and a late next one cause
// no suspicion.
func (m *Machine) suspicionTimeout() time.Duration {
	return max(m.cfg.SuspicionTimeout, m.heartbeatInterval()*5/2)
}

// checkIsolation reports when this process becomes isolated from the platform and from all
// peers, and when that ends. An outage of the platform alone isolates nobody, since packets
// from peers still arrive. A process without peers cannot distinguish the two and continues to
// work.
func (m *Machine) checkIsolation() {
	since := m.lastPlatformAnswer
	if m.lastPeerPacket.After(since) {
		since = m.lastPeerPacket
	}
	isolated := m.hasPeers() && m.now.Sub(since) >= m.cfg.IsolationTimeout
	if isolated != m.isolated {
		m.isolated = isolated
		m.emit(IsolationChanged{Isolated: isolated})
	}
}

// hasPeers reports whether there are other processes to expect packets from: seeds in the
// settings or known members.
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

// Members returns the view of this process, whatever its state, and then of the other members
// that are not gone, sorted by log.
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

// Relays returns the addresses of members that recently confirmed contact with the log's
// owner. Calls can go through them while this process cannot reach the owner.
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
