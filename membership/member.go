package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Member describes one incarnation of a process to the other members.
type Member struct {
	Node    structs.NodeID
	Log     structs.LogID
	VM      structs.VMID
	Domain  structs.FailureDomain
	Address string
	// Incarnation grows with each start of the node. Zero means unknown.
	Incarnation uint64
	// Ready reports whether the process accepts new work.
	Ready bool
}

// State is the stage in the life cycle of a member. It never goes back.
type State uint8

// States of members.
const (
	// Up: the member owns its log.
	Up State = iota + 1
	// Leaving: the member hands its programs over and shuts down.
	Leaving
	// Gone: the member's log is sealed or deleted.
	Gone
)

// Update is the state of one member as it is disseminated. Of two updates for the same log the
// one with the later state wins, and within one state the higher version.
type Update struct {
	Member
	State State
	// Version grows with each change that the member makes to its own update.
	Version uint64
	// Successor is the log that took over the programs, if any.
	Successor structs.LogID
}

// supersedes reports whether u replaces v.
func (u Update) supersedes(v Update) bool {
	if u.State != v.State {
		return u.State > v.State
	}
	return u.Version > v.Version
}

// digest identifies the content of the update in the state digest by the log, the state and the
// version. Members that are gone contribute 0, since processes drop them at different times.
func (u Update) digest() uint64 {
	if u.State == Gone {
		return 0
	}
	return mix(xxhash.Sum64String(string(u.Log)), uint64(u.State)<<56^u.Version)
}

// memberRecord holds what this process knows about one other member.
type memberRecord struct {
	Update
	// hash is the hash of Log, from which rendezvous weights are computed.
	hash uint64
	// sends counts the heartbeat rounds that have carried the update.
	sends int
	// lastReceived is when the wait for the member's next packet began: when its last packet
	// arrived, this process resumed from a pause, or this process became its watcher.
	lastReceived time.Time
	// addedAt is when the member became known. lastReceived is equal to it at first; a later
	// lastReceived counts as contact with the member.
	addedAt time.Time
	// preset is the preset version in force at the member, as reported by its last heartbeat.
	preset uint64
	// watched reports whether this process is one of the member's watchers.
	watched bool
	suspect suspicion
	// pendingProbes are probes by others that wait for the member to answer a ping.
	pendingProbes []pendingProbe
	takeover      takeoverPlan
	// goneAt is when the member became Gone.
	goneAt time.Time
}

// currentDigest returns what the record contributes to the state digest: 0 while it has no
// update yet.
func (r *memberRecord) currentDigest() uint64 {
	if r.State == 0 {
		return 0
	}
	return r.digest()
}

// View is what the machine knows about one member.
type View struct {
	Member
	State State
	// Suspected reports whether this process, as a watcher of the member, received no packet from
	// it for the suspicion timeout. It stays true until a packet arrives or the member is gone,
	// even if this process stops watching the member. Only watched members become suspected.
	Suspected bool
	// Preset is the preset version in force at the member; zero if unknown.
	Preset uint64
}
