package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// VMStateRank orders the states of a VM. A gate never returns to a lower rank, even if the
// platform's list is out of date and shows one.
type VMStateRank uint8

// Ranks of VM states.
const (
	RankUnknown VMStateRank = iota
	RankLive
	RankLeaving
	RankGone
)

// Gate is the admission gate of a VM; while it is closed, the VM accepts no new work. It has two
// parts, which are merged separately: the operators' last order, of which the higher version
// wins, and the platform's state, which only increases. It differs from the gate of one upstream
// in the package internal/side.
type Gate struct {
	VM structs.VMID
	// Version and Drained are the operators' last order; version 0 means that there was none.
	Version uint64
	Drained bool
	// State is the highest rank that the platform's list has shown.
	State VMStateRank
	// Since is when the first process read that state, in seconds of Unix time.
	Since uint64
}

// Closed reports whether the gate is closed: by an operator's drain order or because the VM is
// leaving or gone.
func (g Gate) Closed() bool { return g.Drained || g.State >= RankLeaving }

// merge returns the combination of g and h. The order of merges does not matter, provided that
// equal versions carry the same order.
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

// rankOf returns the rank of a platform state; a state that is not known has RankUnknown.
func rankOf(s platform.VMState) VMStateRank {
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

// gateTable holds the gates of all VMs for which an operator has given an order, even if it was
// revoked, or that have left the live state. Expired gates are dropped.
type gateTable struct {
	byVM map[structs.VMID]*gateRecord
	// listReadAt is when the platform's VM list was last read, or the first Step before any
	// read. staleReported is set once EventListStale has been emitted since then.
	listReadAt    time.Time
	staleReported bool
}

// gateRecord is a gate and the number of heartbeat rounds that have carried it.
type gateRecord struct {
	Gate
	sends int
}

// isDefault reports whether the gate is equivalent to having no gate for the VM.
func (g Gate) isDefault() bool { return g.State <= RankLive && g.Version == 0 }

// digest identifies the gate in the state digest, so that processes that missed it request a
// synchronisation.
func (g Gate) digest() uint64 {
	if g.isDefault() {
		return 0
	}
	// The low byte holds the state and, in its top bit, Drained.
	content := g.Version<<8 | uint64(g.State)
	if g.Drained {
		content |= 1 << 7
	}
	return mix(mix(xxhash.Sum64String(string(g.VM)), content), g.Since)
}

// expired reports whether the VM has been gone for longer than GateRetention. The time is part
// of the gate so that all processes drop it at the same time; otherwise they would reintroduce
// it to each other forever.
func (m *Machine) expired(g Gate) bool {
	return g.State == RankGone && m.now.Sub(time.Unix(int64(g.Since), 0)) >= m.cfg.GateRetention
}

// dropExpiredGates removes the gates that have expired.
func (m *Machine) dropExpiredGates() {
	for vm, r := range m.gates.byVM {
		if m.expired(r.Gate) {
			m.stateDigest ^= r.digest()
			delete(m.gates.byVM, vm)
		}
	}
}

// Gate returns the gate of a VM.
func (m *Machine) Gate(vm structs.VMID) Gate {
	if r := m.gates.byVM[vm]; r != nil {
		return r.Gate
	}
	return Gate{VM: vm}
}

// mergeGate merges a gate into the known one and disseminates the result if it changed.
func (m *Machine) mergeGate(g Gate) {
	before := m.Gate(g.VM)
	after := before.merge(g)
	if after == before || after.isDefault() || m.expired(after) {
		return
	}
	m.gates.byVM[g.VM] = &gateRecord{Gate: after}
	m.stateDigest ^= before.digest() ^ after.digest()
	if after.Closed() != before.Closed() {
		m.emit(GateChanged{VM: g.VM, Closed: after.Closed()})
	}
	if after.State != before.State {
		m.reportVM(after)
	}
}

// reportVM reports the new platform state of a VM and plans takeovers if the VM is gone.
func (m *Machine) reportVM(g Gate) {
	event := EventVMLeaving
	if g.State == RankGone {
		event = EventVMGone
		m.planForGoneVM(g.VM)
	}
	m.emit(ReportEvent{Event: event, VM: g.VM})
}

// applyVMList applies the platform's list. A VM that is absent from it keeps its state: it may
// be newer than the list, or the list may be truncated.
func (m *Machine) applyVMList(vms []VM) {
	m.gates.listReadAt = m.now
	m.gates.staleReported = false
	vms = slices.Clone(vms)
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	for _, vm := range vms {
		if rank := rankOf(vm.State); rank > m.Gate(vm.ID).State {
			m.mergeGate(Gate{VM: vm.ID, State: rank, Since: uint64(m.now.Unix())})
		}
	}
}

// checkListAge reports once when the list has not been read for VMListMaxAge.
func (m *Machine) checkListAge() {
	if !m.gates.staleReported && m.now.Sub(m.gates.listReadAt) >= m.cfg.VMListMaxAge {
		m.gates.staleReported = true
		m.emit(ReportEvent{Event: EventListStale})
	}
}

// pendingGates returns up to limit gates that have not reached sendLimit and increments their
// send counts.
func (m *Machine) pendingGates(limit int) []Gate {
	var gates []Gate
	for _, vm := range sortedKeys(m.gates.byVM) {
		r := m.gates.byVM[vm]
		if len(gates) < limit && r.sends < m.sendLimit() {
			r.sends++
			gates = append(gates, r.Gate)
		}
	}
	return gates
}

// allGates returns all gates, sorted by VM.
func (m *Machine) allGates() []Gate {
	all := make([]Gate, 0, len(m.gates.byVM))
	for _, vm := range sortedKeys(m.gates.byVM) {
		all = append(all, m.gates.byVM[vm].Gate)
	}
	return all
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for k := range values {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
