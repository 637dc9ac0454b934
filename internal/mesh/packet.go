package mesh

import (
	"encoding/binary"
	"net"
)

// MaxPacketSize is the maximum size in bytes of a packet between entries. It is below the
// usual MTU of 1500 bytes. A digest is one packet; items that do not fit are dropped. Senders
// do not check the size of questions and answers; the receiver cuts off what exceeds it.
const MaxPacketSize = 1300

// Kinds of packets; HandlePackets adds others. The kind is the first byte of a packet. The values are
// part of the wire format.
const (
	// packetDigest is a digest with the sender's name and addresses.
	packetDigest = 1
	// packetQuestion and packetAnswer are a question and its answer; see questions.
	packetQuestion = 2
	packetAnswer   = 3
	// packetBrief is a digest that carries the sender's incarnation instead of its name and
	// addresses.
	packetBrief = 4
)

// HandlePackets has f process the packets of a further kind. Builds that don't know the kind
// ignore them.
func (m *Mesh) HandlePackets(kind byte, f func(r *Reader)) { m.packets[kind] = f }

// Send sends a packet of a kind of HandlePackets to a peer. Whether it arrives is not known.
func (m *Mesh) Send(p *Peer, kind byte, body []byte) {
	m.sendPacket(append([]byte{kind}, body...), []net.Addr{net.UDPAddrFromAddrPort(p.udpAddr)})
}

// sendPacket sends a packet to the addresses.
func (m *Mesh) sendPacket(packet []byte, targets []net.Addr) {
	for _, to := range targets {
		if _, err := m.packetConn.WriteTo(packet, to); err != nil {
			m.cfg.PacketErrors.Inc(1)
		}
	}
}

// Receive reads packets until the socket is closed.
func (m *Mesh) Receive() {
	buf := make([]byte, MaxPacketSize+1)
	for {
		n, from, err := m.packetConn.ReadFrom(buf)
		if err != nil {
			return
		}
		if n == 0 || !m.HandlePacket(buf[:n], from) {
			m.cfg.PacketErrors.Inc(1)
		}
	}
}

// HandlePacket processes one packet. It reports whether the packet is well-formed.
func (m *Mesh) HandlePacket(b []byte, from net.Addr) bool {
	r := &Reader{b: b[1:]}
	switch b[0] {
	case packetDigest:
		return m.handleDigest(r)
	case packetBrief:
		return m.handleBriefDigest(r)
	case packetQuestion:
		return m.questions.handleQuestion(r, from)
	case packetAnswer:
		return m.questions.handleAnswer(r)
	}
	f := m.packets[b[0]]
	if f == nil {
		return false
	}
	f(r)
	return !r.malformed
}

// AppendText appends a string with its length.
func AppendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// AppendBool appends a byte that is 1 or 0.
func AppendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

// Reader reads the fields of a packet. Once one is missing or invalid, the packet is malformed,
// and further reads may return zero values.
type Reader struct {
	b         []byte
	malformed bool
}

// NewReader returns a reader of b.
func NewReader(b []byte) *Reader { return &Reader{b: b} }

// Malformed reports whether a field was missing or invalid.
func (r *Reader) Malformed() bool { return r.malformed }

// Fail marks the packet as malformed.
func (r *Reader) Fail() { r.malformed = true }

// More reports whether there are further bytes and the packet isn't malformed.
func (r *Reader) More() bool { return len(r.b) > 0 && !r.malformed }

// take returns the next n bytes; nil if there are fewer.
func (r *Reader) take(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.malformed = true
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

// Byte reads a byte.
func (r *Reader) Byte() byte {
	if v := r.take(1); v != nil {
		return v[0]
	}
	return 0
}

// Bool reads what AppendBool appended.
func (r *Reader) Bool() bool { return r.Byte() == 1 }

// Uvarint reads a number of variable size.
func (r *Reader) Uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.malformed = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

// Uint32 reads a number of 4 bytes.
func (r *Reader) Uint32() uint32 {
	if v := r.take(4); v != nil {
		return binary.BigEndian.Uint32(v)
	}
	return 0
}

// Uint64 reads a number of 8 bytes.
func (r *Reader) Uint64() uint64 {
	if v := r.take(8); v != nil {
		return binary.BigEndian.Uint64(v)
	}
	return 0
}

// Text reads what AppendText appended.
func (r *Reader) Text() string {
	n := r.Uvarint()
	if r.malformed {
		return ""
	}
	return string(r.take(n))
}
