package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// VMRank orders the states of a VM in the platform's list; a VM never goes back.
type VMRank uint8

// Ranks of VM states.
const (
	RankUnknown VMRank = iota
	RankLive
	RankLeaving
	RankGone
)

// Gate is what is known of a VM's willingness to take new work. It joins two registers:
// the operators' order, in which the higher version counts, and the platform's state,
// which only grows.
type Gate struct {
	VM structs.VMID
	// Version and Drained are the operators' last order; version 0 says that there was none.
	Version uint64
	Drained bool
	// State is the furthest state that the platform's list has given.
	State VMRank
	// Since is when the first process read that state, in seconds of Unix time.
	Since uint64
}

// Closed says that the VM takes no new work.
func (g Gate) Closed() bool { return g.Drained || g.State >= RankLeaving }

// join returns what is known from g and h together.
func (g Gate) join(h Gate) Gate {
	if h.Version > g.Version {
		g.Version, g.Drained = h.Version, h.Drained
	}
	switch {
	case h.State > g.State:
		g.State, g.Since = h.State, h.Since
	case h.State == g.State && h.Since < g.Since:
		g.Since = h.Since
	}
	return g
}

func rankOf(s platform.VMState) VMRank {
	switch s {
	case platform.VMLive:
		return RankLive
	case platform.VMLeaving:
		return RankLeaving
	case platform.VMGone:
		return RankGone
	}
	return RankUnknown
}

// gates keeps the gates of all VMs that have ever been other than open.
type gates struct {
	known map[structs.VMID]*gateRecord
	// readAt is when the list was read, stale whether that has been noticed to be long ago.
	readAt time.Time
	stale  bool
}

type gateRecord struct {
	Gate
	sends int
}

// open says that the gate says no more than none at all would.
func (g Gate) open() bool { return g.State <= RankLive && g.Version == 0 }

// digest identifies the gate in the digest of the member table, so that what did not reach
// all is asked for.
func (g Gate) digest() uint64 {
	if g.open() {
		return 0
	}
	content := g.Version<<8 | uint64(g.State)
	if g.Drained {
		content |= 1 << 7
	}
	return mix(mix(xxhash.Sum64String(string(g.VM)), content), g.Since)
}

// expired says that the VM has been gone for so long that all forget it. The time travels
// with the gate: else processes would remind each other of it for ever.
func (m *Machine) expired(g Gate) bool {
	return g.State == RankGone && m.now.Sub(time.Unix(int64(g.Since), 0)) >= m.cfg.GateRetention
}

// forgetGates drops what has expired.
func (m *Machine) forgetGates() {
	for vm, r := range m.gates.known {
		if m.expired(r.Gate) {
			m.table ^= r.digest()
			delete(m.gates.known, vm)
		}
	}
}

// Gate returns what is known of a VM.
func (m *Machine) Gate(vm structs.VMID) Gate {
	if r := m.gates.known[vm]; r != nil {
		return r.Gate
	}
	return Gate{VM: vm}
}

// joinGate takes news of a VM in and passes it on.
func (m *Machine) joinGate(news Gate) {
	before := m.Gate(news.VM)
	after := before.join(news)
	if after == before || after.open() || m.expired(after) {
		return
	}
	m.gates.known[news.VM] = &gateRecord{Gate: after}
	m.table ^= before.digest() ^ after.digest()
	if after.Closed() != before.Closed() {
		m.emit(GateChanged{VM: news.VM, Closed: after.Closed()})
	}
	if after.State != before.State {
		m.noticeVM(after)
	}
}

func (m *Machine) noticeVM(g Gate) {
	event := EventVMLeaving
	if g.State == RankGone {
		event = EventVMGone
		m.vmGone(g.VM)
	}
	m.emit(ReportEvent{Event: event, VM: g.VM})
}

// listedVMs takes the platform's list in. Absence from it says nothing: the VM may be too
// new for the list, or the list cut short.
func (m *Machine) listedVMs(vms []VM) {
	m.gates.readAt = m.now
	m.gates.stale = false
	vms = slices.Clone(vms)
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	for _, vm := range vms {
		if rank := rankOf(vm.State); rank > m.Gate(vm.ID).State {
			m.joinGate(Gate{VM: vm.ID, State: rank, Since: uint64(m.now.Unix())})
		}
	}
}

// noticeStaleList reports once that the list has not been read for long.
func (m *Machine) noticeStaleList() {
	if !m.gates.stale && m.now.Sub(m.gates.readAt) >= m.cfg.VMListMaxAge {
		m.gates.stale = true
		m.emit(ReportEvent{Event: EventListStale})
	}
}

// gateNews returns the gates that have not yet travelled often enough.
func (m *Machine) gateNews(limit int) []Gate {
	var news []Gate
	for _, vm := range sortedKeys(m.gates.known) {
		r := m.gates.known[vm]
		if len(news) < limit && r.sends < m.sendLimit() {
			r.sends++
			news = append(news, r.Gate)
		}
	}
	return news
}

// allGates returns all gates, in order.
func (m *Machine) allGates() []Gate {
	all := make([]Gate, 0, len(m.gates.known))
	for _, vm := range sortedKeys(m.gates.known) {
		all = append(all, m.gates.known[vm].Gate)
	}
	return all
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for k := range values {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
