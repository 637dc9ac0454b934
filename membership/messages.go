package membership

import (
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// VM is one line of the platform's list.
type VM = platform.VM

// Message is what a Machine is stepped by.
type Message interface{ isMessage() }

// Tick says that time has passed. It comes at the times that WakeAt gives.
type Tick struct{}

// Received is a packet from a peer.
type Received struct{ Packet Packet }

// VMsListed is the platform's list of VMs, as it was read.
type VMsListed struct{ VMs []VM }

// PlatformResult says whether the platform answered a request of this process just now.
type PlatformResult struct{ Answered bool }

// LogsListed names holders of open logs, as the platform's table gives them.
type LogsListed struct{ Members []Member }

// SelfChanged tells what has changed of this process itself.
type SelfChanged struct {
	Ready bool
	// Preset is the version in force here.
	Preset uint64
}

// Leave says that this process hands its programs over and ends.
type Leave struct{}

// TakenOver says that a log has been adopted by this process or by another, or is gone; the
// shell sends it when its attempt has ended with any outcome that says so.
type TakenOver struct {
	Log structs.LogID
	// Successor may be empty.
	Successor structs.LogID
}

// DrainOrdered is an operator's order about a VM. Of two orders the one of higher version counts.
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

// Effect is what a Machine asks its shell to do.
type Effect interface{ isEffect() }

// Send sends a packet to the address of a peer. It may be lost.
type Send struct {
	Address string
	Packet  Packet
}

// AttemptTakeover asks to adopt a log. It comes again until Taken or until its holder is heard.
type AttemptTakeover struct {
	Log    structs.LogID
	Reason Reason
}

// Reason is why a log is fit for adoption.
type Reason string

// Reasons.
const (
	// ReasonUnresponsive: peers in another failure domain confirm the silence.
	ReasonUnresponsive Reason = "silence confirmed"
	// ReasonVMGone: the platform's list says that the VM is gone.
	ReasonVMGone Reason = "VM gone"
	// ReasonReplaced: the node runs a newer incarnation.
	ReasonReplaced Reason = "replaced by a newer incarnation"
)

// IsolationChanged says whether this process is cut off from the platform and from all peers; it
// then takes no new work.
type IsolationChanged struct{ Isolated bool }

// Superseded says that peers know this process's log as taken over. The journal's next
// record tells for certain.
type Superseded struct{ Successor structs.LogID }

// GateChanged says whether a VM takes new work.
type GateChanged struct {
	VM     structs.VMID
	Closed bool
}

// ReportEvent is an event for the log of the process.
type ReportEvent struct {
	Event Event
	// Node, Log or VM name what it is about.
	Node structs.NodeID
	Log  structs.LogID
	VM   structs.VMID
}

// Event is a kind of Noticed.
type Event string

// Events.
const (
	EventJoined       Event = "joined"
	EventSuspected    Event = "suspected"
	EventUnresponsive Event = "silence confirmed"
	EventRecovered    Event = "heard again"
	EventRestarted    Event = "restarted"
	EventGone         Event = "gone"
	EventVMLeaving    Event = "VM leaving"
	EventVMGone       Event = "VM gone"
	EventListStale    Event = "VM list stale"
)

// WakeAt asks for a Tick at the time; a later WakeAt replaces an earlier one.
type WakeAt struct{ At time.Time }

func (Send) isEffect()             {}
func (AttemptTakeover) isEffect()  {}
func (IsolationChanged) isEffect() {}
func (Superseded) isEffect()       {}
func (GateChanged) isEffect()      {}
func (ReportEvent) isEffect()      {}
func (WakeAt) isEffect()           {}
