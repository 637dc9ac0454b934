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

// merge returns what is known from g and h together.
func (g Gate) merge(h Gate) Gate {
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

// gateTable keeps the gateTable of all VMs that have ever been other than open.
type gateTable struct {
	byVM map[structs.VMID]*gateRecord
	// listReadAt is when the list was read, stale whether that has been noticed to be long ago.
	listReadAt time.Time
	listStale  bool
}

type gateRecord struct {
	Gate
	sends int
}

// isDefault says that the gate says no more than none at all would.
func (g Gate) isDefault() bool { return g.State <= RankLive && g.Version == 0 }

// digest identifies the gate in the digest of the member table, so that what did not reach
// all is asked for.
func (g Gate) digest() uint64 {
	if g.isDefault() {
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

// dropExpiredGates drops what has expired.
func (m *Machine) dropExpiredGates() {
	for vm, r := range m.gates.byVM {
		if m.expired(r.Gate) {
			m.stateDigest ^= r.digest()
			delete(m.gates.byVM, vm)
		}
	}
}

// Gate returns what is known of a VM.
func (m *Machine) Gate(vm structs.VMID) Gate {
	if r := m.gates.byVM[vm]; r != nil {
		return r.Gate
	}
	return Gate{VM: vm}
}

// mergeGate takes news of a VM in and passes it on.
func (m *Machine) mergeGate(news Gate) {
	before := m.Gate(news.VM)
	after := before.merge(news)
	if after == before || after.isDefault() || m.expired(after) {
		return
	}
	m.gates.byVM[news.VM] = &gateRecord{Gate: after}
	m.stateDigest ^= before.digest() ^ after.digest()
	if after.Closed() != before.Closed() {
		m.emit(GateChanged{VM: news.VM, Closed: after.Closed()})
	}
	if after.State != before.State {
		m.reportVM(after)
	}
}

func (m *Machine) reportVM(g Gate) {
	event := EventVMLeaving
	if g.State == RankGone {
		event = EventVMGone
		m.planForGoneVM(g.VM)
	}
	m.emit(ReportEvent{Event: event, VM: g.VM})
}

// applyVMList takes the platform's list in. Absence from it says nothing: the VM may be too
// new for the list, or the list cut short.
func (m *Machine) applyVMList(vms []VM) {
	m.gates.listReadAt = m.now
	m.gates.listStale = false
	vms = slices.Clone(vms)
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	for _, vm := range vms {
		if rank := rankOf(vm.State); rank > m.Gate(vm.ID).State {
			m.mergeGate(Gate{VM: vm.ID, State: rank, Since: uint64(m.now.Unix())})
		}
	}
}

// checkListAge reports once that the list has not been read for long.
func (m *Machine) checkListAge() {
	if !m.gates.listStale && m.now.Sub(m.gates.listReadAt) >= m.cfg.VMListMaxAge {
		m.gates.listStale = true
		m.emit(ReportEvent{Event: EventListStale})
	}
}

// pendingGates returns the gates that have not yet travelled often enough.
func (m *Machine) pendingGates(limit int) []Gate {
	var news []Gate
	for _, vm := range sortedKeys(m.gates.byVM) {
		r := m.gates.byVM[vm]
		if len(news) < limit && r.sends < m.sendLimit() {
			r.sends++
			news = append(news, r.Gate)
		}
	}
	return news
}

// allGates returns all gates, in order.
func (m *Machine) allGates() []Gate {
	all := make([]Gate, 0, len(m.gates.byVM))
	for _, vm := range sortedKeys(m.gates.byVM) {
		all = append(all, m.gates.byVM[vm].Gate)
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
