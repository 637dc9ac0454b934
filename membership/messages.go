package membership

import (
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// VM is one item of the platform's VM list.
type VM = platform.VM

// Message is an input of a Machine.
type Message interface{ isMessage() }

// Tick reports that time has passed. It is due at the time of the last WakeAt.
type Tick struct{}

// Received delivers a packet from a peer.
type Received struct{ Packet Packet }

// VMsListed delivers the platform's list of VMs after a successful read.
type VMsListed struct{ VMs []VM }

// PlatformResult reports whether the platform has just answered a request of this process.
type PlatformResult struct{ Answered bool }

// LogsListed delivers the owners of open logs as read from the platform's table.
type LogsListed struct{ Members []Member }

// SelfChanged reports the current readiness and preset of this process.
type SelfChanged struct {
	Ready bool
	// Preset is the preset version in force at this process.
	Preset uint64
}

// Leave reports that this process starts to hand its programs over before it shuts down.
type Leave struct{}

// TakenOver reports that a log has been taken over, by this process or another, or that it no
// longer exists. The driver sends it after each takeover attempt that establishes this.
type TakenOver struct {
	Log structs.LogID
	// Successor may be empty.
	Successor structs.LogID
}

// DrainOrdered delivers an operator's drain order for a VM, in the fields VM, Version and
// Drained of Gate. Of two orders the one with the higher version wins.
type DrainOrdered struct{ Gate Gate }

func (Tick) isMessage()           {}
func (Received) isMessage()       {}
func (VMsListed) isMessage()      {}
func (PlatformResult) isMessage() {}
func (LogsListed) isMessage()     {}
func (SelfChanged) isMessage()    {}
func (Leave) isMessage()          {}
func (TakenOver) isMessage()      {}
func (DrainOrdered) isMessage()   {}

// Effect is an action that a Machine requests from its driver, or a change that it reports to
// it.
type Effect interface{ isEffect() }

// Send sends a packet to the address of a peer. The packet may be lost.
type Send struct {
	Address string
	Packet  Packet
}

// AttemptTakeover requests an attempt to take over a log. It is repeated until TakenOver
// arrives or the plan is cancelled because the owner is responsive again.
type AttemptTakeover struct {
	Log    structs.LogID
	Reason Reason
}

// Reason is why a log may be taken over.
type Reason string

// Reasons.
const (
	// ReasonUnresponsive: peers in failure domains other than the watcher's confirm that the
	// owner does not respond.
	ReasonUnresponsive Reason = "silence confirmed"
	// ReasonVMGone: the platform's list shows the owner's VM as gone.
	ReasonVMGone Reason = "VM gone"
	// ReasonReplaced: a newer incarnation of the node runs.
	ReasonReplaced Reason = "replaced by a newer incarnation"
)

// IsolationChanged reports whether this process is isolated from the platform and from all
// peers. While it is, it accepts no new work.
type IsolationChanged struct{ Isolated bool }

// Superseded reports that a peer sent an update by which this process's log has been taken
// over. Only a rejected append to the log proves that it is sealed.
type Superseded struct{ Successor structs.LogID }

// GateChanged reports that the gate of a VM has closed or opened.
type GateChanged struct {
	VM     structs.VMID
	Closed bool
}

// ReportEvent requests a record in the event log of the process.
type ReportEvent struct {
	Event Event
	// Node, Log and VM name the subject; those that do not apply are empty.
	Node structs.NodeID
	Log  structs.LogID
	VM   structs.VMID
}

// Event is the kind of a ReportEvent.
type Event string

// Events.
const (
	EventJoined    Event = "joined"
	EventSuspected Event = "suspected"
	// EventUnresponsive: peers in failure domains other than this process's confirmed the
	// suspicion.
	EventUnresponsive Event = "unresponsive"
	// EventRecovered: a packet from a suspected member arrived.
	EventRecovered Event = "recovered"
	// EventRestarted: a newer incarnation of the node runs.
	EventRestarted Event = "restarted"
	EventGone      Event = "gone"
	EventVMLeaving Event = "VM leaving"
	EventVMGone    Event = "VM gone"
	// EventListStale: the platform's VM list has not been read for VMListMaxAge.
	EventListStale Event = "VM list stale"
)

// WakeAt requests a Tick at the given time. A later WakeAt replaces an earlier one.
type WakeAt struct{ At time.Time }

func (Send) isEffect()             {}
func (AttemptTakeover) isEffect()  {}
func (IsolationChanged) isEffect() {}
func (Superseded) isEffect()       {}
func (GateChanged) isEffect()      {}
func (ReportEvent) isEffect()      {}
func (WakeAt) isEffect()           {}
