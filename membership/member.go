package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Member is one incarnation of a process: what others need to know of it.
type Member struct {
	Node    structs.NodeID
	Log     structs.LogID
	VM      structs.VMID
	Domain  structs.FailureDomain
	Address string
	// Incarnation grows with each start of the node.
	Incarnation uint64
	// Ready says that it takes new work.
	Ready bool
}

// State is how far a member's life has got. It never goes back.
type State uint8

// States of members.
const (
	// Up: the member's log is its own.
	Up State = iota + 1
	// Leaving: the member hands its programs over and ends.
	Leaving
	// Gone: the member's log is sealed or deleted.
	Gone
)

// Update is the news of one member. Of two for the same log the later one counts: first
// by state, then by version.
type Update struct {
	Member
	State State
	// Version grows with each change that the member makes of itself.
	Version uint64
	// Successor is the log that took the programs over, if any.
	Successor structs.LogID
}

// supersedes says whether u supersedes v.
func (u Update) supersedes(v Update) bool {
	if u.State != v.State {
		return u.State > v.State
	}
	return u.Version > v.Version
}

// digest identifies the update's content in the digest of the whole table. Members that are
// gone count nothing, since processes forget them at different times.
func (u Update) digest() uint64 {
	if u.State == Gone {
		return 0
	}
	return mix(xxhash.Sum64String(string(u.Log)), uint64(u.State)<<56^u.Version)
}

// record is what this process knows of one other member.
type record struct {
	Update
	hash uint64
	// sends is how often the update has travelled with a heartbeat.
	sends int
	// lastReceived is when a message came from the member itself; first is when it became known.
	lastReceived time.Time
	addedAt      time.Time
	// preset is the version in force there, as its last heartbeat gave it.
	preset uint64
	// watched says that this process is among the member's watchers.
	watched bool
	suspect suspicion
	// pendingProbes are the probes to be answered once the member has answered a ping.
	pendingProbes []pendingProbe
	takeover      takeoverPlan
	// goneAt is when the member became Gone.
	goneAt time.Time
}

// currentDigest returns the record's part of the digest of the whole table.
func (r *record) currentDigest() uint64 {
	if r.State == 0 {
		return 0
	}
	return r.digest()
}

// View is what the machine knows of one member.
type View struct {
	Member
	State State
	// Suspected says that the member has been silent for longer than the suspicion time.
	Suspected bool
	// Preset is the version in force there, as far as known; zero if unknown.
	Preset uint64
}
