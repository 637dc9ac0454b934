package preset

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Message is what a machine is stepped with.
type Message interface{ isMessage() }

// Tick lets time pass; the shell sends one at least each quarter of the poll interval.
type Tick struct{}

// Members gives the entries of the deployment, this node among them when it is an entry.
type Members struct{ Nodes []structs.NodeID }

// ReadDone is the answer to the effect Read with the same number.
type ReadDone struct {
	Number uint64
	// Failed says that the platform did not answer.
	Failed bool
	// RowVersion is the platform's version of the row; 0 says that there is no row.
	RowVersion int64
	Value      []byte
}

// WriteResult is what is known of a write.
type WriteResult int

// Results of writes.
const (
	// WriteApplied: the row was written.
	WriteApplied WriteResult = iota
	// WriteConflict: the row's version was another one; nothing was written.
	WriteConflict
	// WriteNotApplied: the platform refused the write before it took effect.
	WriteNotApplied
	// WriteUnknown: no answer; the write may have taken effect or may still do so.
	WriteUnknown
)

// WriteDone is the answer to the effect Write with the same number.
type WriteDone struct {
	Number uint64
	Result WriteResult
}

// Switch is an operator's order to put a preset in force.
type Switch struct {
	// ID names the request towards the shell; it is unique in the process.
	ID       uint64
	Operator string
	// Nonce is unique to the order; a repeated order with the same nonce is done once.
	Nonce  string
	Preset structs.Preset
	// Expected is the version that the operator wants to replace; 0 replaces any.
	Expected uint64
}

// Received is a message from a peer's machine.
type Received struct {
	From    structs.NodeID
	Message PeerMessage
}

// VersionReceived is the version that any other message of a peer carried.
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

// PeerMessage travels between machines.
type PeerMessage interface{ isPeerMessage() }

// Pull asks a peer for a newer version and for its evidence.
type Pull struct {
	Number  uint64 `json:"number"`
	Version uint64 `json:"version"`
}

// PullReply answers the Ask with the same number.
type PullReply struct {
	Number  uint64 `json:"number"`
	Version uint64 `json:"version"`
	// Informed says that the sender knows every switch accepted before its start.
	Informed bool `json:"informed,omitempty"`
	// Proved says that the sender has evidence; Age is the time since it.
	Proved bool          `json:"proved,omitempty"`
	Age    time.Duration `json:"age,omitempty"`
	// InForce is present when the asker's version was lower.
	InForce *structs.PresetInForce `json:"in_force,omitempty"`
}

// Push carries a new version.
type Push struct {
	InForce structs.PresetInForce `json:"in_force"`
	// Number, when not 0, asks the receiver for a Seen with that number.
	Number uint64 `json:"number,omitempty"`
}

// PushAck answers the Push with the same number.
type PushAck struct {
	Number  uint64 `json:"number"`
	Version uint64 `json:"version"`
	// Incarnation tells the sender's restarts apart.
	Incarnation uint64 `json:"incarnation"`
}

func (Pull) isPeerMessage()      {}
func (PullReply) isPeerMessage() {}
func (Push) isPeerMessage()      {}
func (PushAck) isPeerMessage()   {}

// Effect is what the shell carries out.
type Effect interface{ isEffect() }

// Read asks for the row InForceKey.
type Read struct{ Number uint64 }

// Write writes the row InForceKey on condition that its version is Expected (0: no row).
type Write struct {
	Number   uint64
	Expected int64
	Value    []byte
}

// Send sends a message to a peer's machine; it may be lost.
type Send struct {
	To      structs.NodeID
	Message PeerMessage
}

// Apply puts a preset in force on this node.
type Apply struct{ InForce structs.PresetInForce }

// Freshness says that the node may take new work from now on, or may not.
type Freshness struct {
	Fresh bool
	// ProvenAt is the time up to which every accepted switch is known here.
	ProvenAt time.Time
}

// RowInvalid says that the row does not decode; the former preset stays in force.
type RowInvalid struct{ Err error }

// Switched answers the Switch with the same ID: the row is written.
type Switched struct {
	ID      uint64
	Version uint64
	// Accepted says that a majority of the voters has it in force. Otherwise it comes
	// into force as Missing can be reached.
	Accepted bool
	Missing  []structs.NodeID
}

// SwitchRefused answers the Switch with the same ID. The refusal's outcome says
// whether the switch can still come into force.
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
