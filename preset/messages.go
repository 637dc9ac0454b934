package preset

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Message is an input of Machine.Step.
type Message interface{ isMessage() }

// Tick reports that time has passed. The driver sends one at least every quarter of the poll interval.
type Tick struct{}

// Members lists the entries of the deployment that are visible, including this node if it is an entry.
type Members struct{ Nodes []structs.NodeID }

// ReadDone is the answer to the effect Read with the same number.
type ReadDone struct {
	Number uint64
	// Failed reports whether the read failed.
	Failed bool
	// RowVersion is the table's version of the row, 0 if the row does not exist.
	RowVersion int64
	Value      []byte
}

// WriteResult is the outcome of a write as far as it is known.
type WriteResult int

// Results of a write.
const (
	// WriteApplied means that the row was written.
	WriteApplied WriteResult = iota
	// WriteConflict means that the row did not have ExpectedRowVersion; nothing was written.
	WriteConflict
	// WriteNotApplied means that the platform refused the write before it took effect.
	WriteNotApplied
	// WriteUnknown means that there was no answer; the write may have taken effect or may still do so.
	WriteUnknown
)

// WriteDone is the answer to the effect Write with the same number.
type WriteDone struct {
	Number uint64
	Result WriteResult
}

// Switch is an operator's order to put a preset in force.
type Switch struct {
	// ID identifies the order in the answer to the driver; it is unique in the process.
	ID       uint64
	Operator string
	// Nonce is unique to the order. An order that is repeated with the same nonce takes effect once.
	Nonce  string
	Preset structs.Preset
	// ExpectedVersion is the version of the preset that the operator wants to replace; 0
	// replaces any version.
	ExpectedVersion uint64
}

// Received carries a message from a peer's machine.
type Received struct {
	From    structs.NodeID
	Message PeerMessage
}

// VersionReceived carries the version that another kind of message from a peer contained.
type VersionReceived struct {
	From    structs.NodeID
	Version uint64
}

func (Tick) isMessage()            {}
func (Members) isMessage()         {}
func (ReadDone) isMessage()        {}
func (WriteDone) isMessage()       {}
func (Switch) isMessage()          {}
func (Received) isMessage()        {}
func (VersionReceived) isMessage() {}

// PeerMessage is a message that one machine sends to another.
type PeerMessage interface{ isPeerMessage() }

// Pull requests a newer version and the freshness proof of a peer.
type Pull struct {
	Number uint64 `json:"number"`
	// Version is the sender's version in force.
	Version uint64 `json:"version"`
}

// PullReply answers the Pull with the same number.
type PullReply struct {
	Number uint64 `json:"number"`
	// Version is the sender's version in force.
	Version uint64 `json:"version"`
	// CaughtUp reports whether the sender knows every switch that was accepted before its start.
	CaughtUp bool `json:"informed,omitempty"`
	// Proved reports whether the sender has a freshness proof; Age is the age of the proof.
	Proved bool          `json:"proved,omitempty"`
	Age    time.Duration `json:"age,omitempty"`
	// InForce is set if the Pull had a lower version.
	InForce *structs.PresetInForce `json:"in_force,omitempty"`
}

// Push carries the preset in force with a new version.
type Push struct {
	InForce structs.PresetInForce `json:"in_force"`
	// Number, if not 0, requests a PushAck with the same number.
	Number uint64 `json:"number,omitempty"`
}

// PushAck acknowledges the Push with the same number.
type PushAck struct {
	Number uint64 `json:"number"`
	// Version is the sender's version in force.
	Version uint64 `json:"version"`
	// Incarnation is the sender's, so that its restarts are detected.
	Incarnation uint64 `json:"incarnation"`
}

func (Pull) isPeerMessage()      {}
func (PullReply) isPeerMessage() {}
func (Push) isPeerMessage()      {}
func (PushAck) isPeerMessage()   {}

// Effect is an output of Machine.Step, which the driver of the machine carries out.
type Effect interface{ isEffect() }

// Read requests the row InForceKey.
type Read struct{ Number uint64 }

// Write writes the row InForceKey on condition that the table's version of the row, as in
// ReadDone.RowVersion, is ExpectedRowVersion; 0 means that the row must not exist.
type Write struct {
	Number             uint64
	ExpectedRowVersion int64
	Value              []byte
}

// Send sends a message to a peer's machine. The message may be lost.
type Send struct {
	To      structs.NodeID
	Message PeerMessage
}

// Apply puts a preset in force on this node.
type Apply struct{ InForce structs.PresetInForce }

// Freshness reports that the node has become fresh or stale.
type Freshness struct {
	// Fresh reports whether the node may take new work.
	Fresh bool
	// ProvenAt is the time of the newest freshness proof: every switch accepted before it is known.
	ProvenAt time.Time
}

// RowInvalid reports that the row does not decode, or that the initial preset does not encode. The
// previous preset stays in force.
type RowInvalid struct{ Err error }

// Switched answers the Switch with the same ID. Its row was written, even if it is not accepted.
type Switched struct {
	ID      uint64
	Version uint64
	// Accepted reports whether a majority of the voters confirmed the version within
	// SwitchTimeout. Otherwise it comes into force on the voters in Missing as they become
	// reachable.
	Accepted bool
	// Missing lists the known voters that have not confirmed the version.
	Missing []structs.NodeID
}

// SwitchRefused answers the Switch with the same ID. The refusal's outcome tells whether the
// switch can still come into force.
type SwitchRefused struct {
	ID      uint64
	Refusal *structs.Refusal
}

func (Read) isEffect()          {}
func (Write) isEffect()         {}
func (Send) isEffect()          {}
func (Apply) isEffect()         {}
func (Freshness) isEffect()     {}
func (RowInvalid) isEffect()    {}
func (Switched) isEffect()      {}
func (SwitchRefused) isEffect() {}
