package membership

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/buckthornroute/buckthornroute/structs"
)

// ErrBadPacket is returned for bytes that are not a valid packet.
var ErrBadPacket = errors.New("malformed membership packet")

// PacketKind is the kind of a packet.
type PacketKind uint8

// Kinds of packets.
const (
	// Heartbeat shows that the sender is alive.
	Heartbeat PacketKind = iota + 1
	// Probe asks whether the receiver gets packets from the subject.
	Probe
	// ProbeReply answers a Probe.
	ProbeReply
	// Ping asks its receiver to answer with a Heartbeat.
	Ping
	// Dead notifies a candidate that the subject's failure is confirmed.
	Dead
	// Sync requests the updates that the sender lacks; KnownDigests identify those it has.
	Sync
	// SyncReply answers a Sync with the missing updates, those of members that are gone, and
	// all gates.
	SyncReply
)

// Packet is a message between members.
type Packet struct {
	Kind PacketKind
	// Log and Address identify the sender.
	Log     structs.LogID
	Address string
	// StateDigest is the digest of the members and gates known to the sender, and Preset the
	// preset version in force there. Both are set in a Heartbeat.
	StateDigest uint64
	Preset      uint64
	// Subject is the log of the member that a Probe, ProbeReply or Dead is about. Alive reports
	// whether the sender of a ProbeReply receives packets from it.
	Subject structs.LogID
	Alive   bool
	// Updates and Gates may be carried by any packet.
	Updates []Update
	Gates   []Gate
	// KnownDigests are the digests of the updates that the sender of a Sync has.
	KnownDigests []uint64
}

// Field numbers of a Packet, which is encoded in the protocol buffer wire format.
const (
	fieldKind protowire.Number = iota + 1
	fieldLog
	fieldAddress
	fieldStateDigest
	fieldPreset
	fieldSubject
	fieldAlive
	fieldUpdate
	fieldGate
	fieldKnownDigests
)

// Field numbers of an Update within a packet.
const (
	fieldNode protowire.Number = iota + 1
	fieldMemberLog
	fieldVM
	fieldDomain
	fieldMemberAddress
	fieldIncarnation
	fieldReady
	fieldState
	fieldVersion
	fieldSuccessor
)

// Field numbers of a Gate within a packet.
const (
	fieldGateVM protowire.Number = iota + 1
	fieldGateVersion
	fieldGateDrained
	fieldGateState
	fieldGateSince
)

// maxItems bounds the sum of updates, gates and digests in one packet.
const maxItems = 16384

// Encode returns the packet's wire format.
func (p Packet) Encode() []byte {
	e := encoder{}
	e.number(fieldKind, uint64(p.Kind))
	e.text(fieldLog, string(p.Log))
	e.text(fieldAddress, p.Address)
	e.fixed(fieldStateDigest, p.StateDigest)
	e.number(fieldPreset, p.Preset)
	e.text(fieldSubject, string(p.Subject))
	e.flag(fieldAlive, p.Alive)
	for _, u := range p.Updates {
		e.text(fieldUpdate, string(u.encode()))
	}
	for _, g := range p.Gates {
		e.text(fieldGate, string(g.encode()))
	}
	for _, k := range p.KnownDigests {
		e.b = protowire.AppendTag(e.b, fieldKnownDigests, protowire.Fixed64Type)
		e.b = protowire.AppendFixed64(e.b, k)
	}
	return e.b
}

func (u Update) encode() []byte {
	e := encoder{}
	e.text(fieldNode, string(u.Node))
	e.text(fieldMemberLog, string(u.Log))
	e.text(fieldVM, string(u.VM))
	e.text(fieldDomain, string(u.Domain))
	e.text(fieldMemberAddress, u.Address)
	e.number(fieldIncarnation, u.Incarnation)
	e.flag(fieldReady, u.Ready)
	e.number(fieldState, uint64(u.State))
	e.number(fieldVersion, u.Version)
	e.text(fieldSuccessor, string(u.Successor))
	return e.b
}

func (g Gate) encode() []byte {
	e := encoder{}
	e.text(fieldGateVM, string(g.VM))
	e.number(fieldGateVersion, g.Version)
	e.flag(fieldGateDrained, g.Drained)
	e.number(fieldGateState, uint64(g.State))
	e.number(fieldGateSince, g.Since)
	return e.b
}

// encoder appends fields to b; zero values are omitted.
type encoder struct{ b []byte }

func (e *encoder) number(f protowire.Number, v uint64) {
	if v != 0 {
		e.b = protowire.AppendVarint(protowire.AppendTag(e.b, f, protowire.VarintType), v)
	}
}

func (e *encoder) fixed(f protowire.Number, v uint64) {
	if v != 0 {
		e.b = protowire.AppendFixed64(protowire.AppendTag(e.b, f, protowire.Fixed64Type), v)
	}
}

func (e *encoder) flag(f protowire.Number, v bool) {
	if v {
		e.number(f, 1)
	}
}

func (e *encoder) text(f protowire.Number, s string) {
	if s != "" {
		e.b = protowire.AppendString(protowire.AppendTag(e.b, f, protowire.BytesType), s)
	}
}

// DecodePacket decodes a packet; its errors wrap ErrBadPacket. Unknown fields with the wire
// types varint, fixed64 and bytes are skipped for compatibility with newer processes.
func DecodePacket(b []byte) (Packet, error) {
	var p Packet
	err := eachField(b, func(f protowire.Number, v uint64, text []byte) error {
		var err error
		switch f {
		case fieldKind:
			p.Kind = PacketKind(v)
		case fieldLog:
			p.Log = structs.LogID(text)
		case fieldAddress:
			p.Address = string(text)
		case fieldStateDigest:
			p.StateDigest = v
		case fieldPreset:
			p.Preset = v
		case fieldSubject:
			p.Subject = structs.LogID(text)
		case fieldAlive:
			p.Alive = v != 0
		case fieldUpdate:
			var u Update
			u, err = decodeUpdate(text)
			p.Updates = append(p.Updates, u)
		case fieldGate:
			var g Gate
			g, err = decodeGate(text)
			p.Gates = append(p.Gates, g)
		case fieldKnownDigests:
			p.KnownDigests = append(p.KnownDigests, v)
		}
		return err
	})
	switch {
	case err != nil:
		return Packet{}, err
	case p.Kind < Heartbeat || p.Kind > SyncReply || p.Log == "":
		return Packet{}, errors.Wrapf(ErrBadPacket, "kind %d from log %.80q", p.Kind, p.Log)
	case len(p.Updates)+len(p.Gates)+len(p.KnownDigests) > maxItems:
		return Packet{}, errors.Wrapf(ErrBadPacket, "more than %d items", maxItems)
	}
	return p, nil
}

func decodeUpdate(b []byte) (Update, error) {
	var u Update
	err := eachField(b, func(f protowire.Number, v uint64, text []byte) error {
		switch f {
		case fieldNode:
			u.Node = structs.NodeID(text)
		case fieldMemberLog:
			u.Log = structs.LogID(text)
		case fieldVM:
			u.VM = structs.VMID(text)
		case fieldDomain:
			u.Domain = structs.FailureDomain(text)
		case fieldMemberAddress:
			u.Address = string(text)
		case fieldIncarnation:
			u.Incarnation = v
		case fieldReady:
			u.Ready = v != 0
		case fieldState:
			u.State = State(v)
		case fieldVersion:
			u.Version = v
		case fieldSuccessor:
			u.Successor = structs.LogID(text)
		}
		return nil
	})
	if err == nil && (u.Log == "" || u.State < Up || u.State > Gone) {
		err = errors.Wrapf(ErrBadPacket, "update of log %.80q with state %d", u.Log, u.State)
	}
	return u, err
}

func decodeGate(b []byte) (Gate, error) {
	var g Gate
	err := eachField(b, func(f protowire.Number, v uint64, text []byte) error {
		switch f {
		case fieldGateVM:
			g.VM = structs.VMID(text)
		case fieldGateVersion:
			g.Version = v
		case fieldGateDrained:
			g.Drained = v != 0
		case fieldGateState:
			g.State = VMStateRank(v)
		case fieldGateSince:
			g.Since = v
		}
		return nil
	})
	if err == nil && (g.VM == "" || g.State > RankGone) {
		err = errors.Wrapf(ErrBadPacket, "gate of VM %.80q with state %d", g.VM, g.State)
	}
	return g, err
}

// eachField calls f for each field of b, with v for a numeric field and text for a
// length-delimited one. It stops at the first error.
func eachField(b []byte, f func(field protowire.Number, v uint64, text []byte) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errors.Wrap(ErrBadPacket, "malformed field")
		}
		b = b[n:]
		var v uint64
		var text []byte
		switch kind {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			text, n = protowire.ConsumeBytes(b)
		default:
			return errors.Wrapf(ErrBadPacket, "field %d has wire type %d", field, kind)
		}
		if n < 0 {
			return errors.Wrapf(ErrBadPacket, "field %d is cut short", field)
		}
		b = b[n:]
		if err := f(field, v, text); err != nil {
			return err
		}
	}
	return nil
}
