package mesh

import (
	"context"
	"encoding/binary"
	"net"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
)

const (
	// digestInterval is the minimum interval between two digests of an entry. In a burst an entry
	// starts about 10 calls within it.
	digestInterval = 100 * time.Millisecond
	// digestIntervalPerEntry bounds the packets per second at each entry: among n entries the
	// interval is at least n times as long.
	digestIntervalPerEntry = 4 * time.Millisecond
	// fullDigestEvery is the number of digests to all entries of which the first carries the sender's name and
	// addresses. The others carry only its incarnation, which the receivers know by then.
	fullDigestEvery = 8
	// fullDigestPeriod is how long all digests carry the name and addresses after an entry has
	// started or has added another one to its list: entries that start at the same time must agree on
	// the owners of budgets at once.
	fullDigestPeriod = 2 * time.Second
)

// Flags are the flags of a digest, which state something of its sender. The values are part of the
// wire format. A package that adds a flag sets it with AddFlag.
type Flags byte

const (
	// FlagTableReachable is set if the entry reaches the platform's table directly, not through a
	// peer.
	FlagTableReachable Flags = 1 << iota
	// FlagOwner is set if the entry may own keys: it has registered and is not shutting down.
	FlagOwner
	// FlagSynchronised is set if the entry has received what its peers knew when it started, or if all
	// entries started for the first time.
	FlagSynchronised
	// FlagLeaving is set if the entry is shutting down. A leaving peer whose digests have stopped
	// grants nothing more.
	FlagLeaving
	// FlagGrants is set, as FlagOwner, if the entry may grant shares of limits. Early builds can't.
	FlagGrants
	// FlagGrantsTokens is set if the entry may grant the tokens of organisations' request quotas.
	FlagGrantsTokens
)

// flagSource reports whether flags are set in this entry's digests.
type flagSource struct {
	flag Flags
	set  func() bool
}

// AddFlag has this entry's digests carry a flag while set returns true.
func (m *Mesh) AddFlag(flag Flags, set func() bool) { m.flags = append(m.flags, flagSource{flag, set}) }

// Field is a part of the content of digests: items of one kind, which is their first byte.
type Field struct {
	Kind byte
	// Append appends items, each with its kind, to a digest that has room for room further bytes.
	// Items that do not fit are left out. It is nil for a kind that another field's Append
	// appends.
	Append func(b []byte, room int) []byte
	// Apply reads one item without its kind and applies it, unless it is malformed. from is the
	// name of the peer that sent it.
	Apply func(from string, r *Reader)
	// Begin is called instead for each digest, if the items of the field take effect together,
	// also if there are none. It returns the function that reads an item, and one that is called
	// after the last item of the digest.
	Begin func(from string) (item func(r *Reader), done func())
	// Reserve is the number of bytes of a digest that the fields before this one leave free for it.
	Reserve int
	// Early has the field encoded before those that come before it, in Reserve bytes. They may use
	// what it leaves.
	Early bool
	// Frequent has the digests to the entries of the own failure domain, which may be more frequent,
	// carry the field as well. They carry the state only: what is sent once must reach all entries.
	Frequent bool
}

// AddField registers a field. Fields are sent in the order of registration. Earlier builds stop
// reading a digest at a kind that they don't know, so new fields must come last.
func (m *Mesh) AddField(f Field) {
	m.fields = append(m.fields, &f)
	m.byKind[f.Kind] = &f
}

// sendDigests sends digests to the other entries until ctx ends.
func (m *Mesh) sendDigests(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		interval := DigestInterval(m.Size())
		perInterval := frequentDigestsFor(interval, m.nearSize())
		// Peers send their digests at about the same interval, so what they report must count for
		// longer when it grows.
		if m.interval.Swap(int64(interval)) != int64(interval) && m.cfg.OnTimeoutChange != nil {
			m.cfg.OnTimeoutChange(m.scaledTimeout(responsiveTimeout))
		}
		urgent := m.awaitDigest(ctx, interval/time.Duration(perInterval))
		if !urgent && round%perInterval != 0 {
			m.sendPacket(m.FrequentDigest(), m.digestTargets(true))
			continue
		}
		m.sendPacket(m.Digest(), m.digestTargets(false))
	}
}

// awaitDigest waits until the next digest is due: for the interval, or until one is urgent. It
// reports whether one is.
func (m *Mesh) awaitDigest(ctx context.Context, interval time.Duration) (urgent bool) {
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.urgent:
		return true
	}
	return false
}

// SendDigestNow has the next digest sent at once.
func (m *Mesh) SendDigestNow() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// sendsFullDigests reports whether every digest has to carry this entry's name and addresses
// at the moment.
func (m *Mesh) sendsFullDigests(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.lastPeerChange) < m.scaledTimeout(fullDigestPeriod)
}

// DigestInterval returns the interval between two digests of an entry, for a number of
// entries.
func DigestInterval(entries int) time.Duration {
	return max(digestInterval, time.Duration(entries)*digestIntervalPerEntry)
}

// frequentDigestsFor returns how many digests an entry sends within an interval to the other entries of
// its failure domain, of which there are near with itself: all but the first carry the frequent fields
// only. Most calls stay in their domain, so that many entries choose among few upstreams; with digests
// that are further apart than calls are long, each would know only calls that have ended.
func frequentDigestsFor(interval time.Duration, near int) int {
	return max(1, int(interval/DigestInterval(near)))
}

// digestTargets returns the UDP addresses of the other entries, or of those of this failure domain only.
func (m *Mesh) digestTargets(nearOnly bool) []net.Addr {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]net.Addr, 0, len(m.peers))
	for _, p := range m.peers {
		if !nearOnly || p.Domain == m.cfg.Self.Domain {
			out = append(out, net.UDPAddrFromAddrPort(p.udpAddr))
		}
	}
	return out
}

// FrequentDigest encodes the next digest to the entries of the own failure domain, with the frequent
// fields only.
func (m *Mesh) FrequentDigest() []byte {
	m.mu.Lock()
	m.seq++
	seq := m.seq
	m.mu.Unlock()
	b := m.appendHeader(make([]byte, 0, MaxPacketSize), seq, false)
	for _, f := range m.fields {
		if f.Frequent {
			b = f.Append(b, MaxPacketSize-len(b))
		}
	}
	return b
}

// Digest encodes the next digest to all entries: its header and all fields.
func (m *Mesh) Digest() []byte {
	m.mu.Lock()
	m.seq++
	m.rounds++
	seq, rounds := m.seq, m.rounds
	m.mu.Unlock()
	early := make([][]byte, len(m.fields))
	limit := MaxPacketSize
	for i, f := range m.fields {
		if f.Early {
			early[i] = f.Append(nil, f.Reserve)
			limit -= len(early[i])
			continue
		}
		limit -= f.Reserve
	}
	full := rounds%fullDigestEvery == 1 || m.sendsFullDigests(time.Now())
	b := m.appendHeader(make([]byte, 0, MaxPacketSize), seq, full)
	for i, f := range m.fields {
		switch {
		case f.Early:
			b = append(b, early[i]...)
			limit += len(early[i])
		case f.Append != nil:
			limit += f.Reserve
			b = f.Append(b, limit-len(b))
		}
	}
	return b
}

// appendHeader appends the kind of the packet, this entry's flags, its identity and the
// sequence number. A full one carries the name and addresses.
func (m *Mesh) appendHeader(b []byte, seq uint64, full bool) []byte {
	var flags Flags
	if m.CanOwn() {
		flags |= FlagOwner | FlagGrants
	}
	if m.cfg.Leaving() {
		flags |= FlagLeaving
	}
	for _, s := range m.flags {
		if s.set() {
			flags |= s.flag
		}
	}
	self := m.cfg.Self
	if !full {
		return binary.AppendUvarint(AppendText(append(b, packetBrief, byte(flags)), self.Incarnation), seq)
	}
	b = append(b, packetDigest, byte(flags))
	for _, text := range []string{self.Node, self.Domain, self.HTTPAddress, self.UDPAddress, self.Incarnation} {
		b = AppendText(b, text)
	}
	return binary.AppendUvarint(b, seq)
}

// handleDigest processes a full digest. It reports whether the digest is well-formed.
func (m *Mesh) handleDigest(r *Reader) bool {
	flags := Flags(r.Byte())
	from := Peer{Node: r.Text(), Domain: r.Text(), HTTPAddress: r.Text(), UDPAddress: r.Text(), Incarnation: r.Text()}
	seq := r.Uvarint()
	if r.malformed || from.Node == m.cfg.Self.Node {
		return !r.malformed
	}
	if err := m.addPeer(from); err != nil {
		return false // counted as malformed
	}
	if !m.accept(&from, seq, flags) {
		return true
	}
	return m.applyItems(from.Node, r)
}

// handleBriefDigest processes a digest that carries only its sender's incarnation, and ignores
// it if that incarnation is unknown. It reports whether the digest is well-formed.
func (m *Mesh) handleBriefDigest(r *Reader) bool {
	flags, incarnation, seq := Flags(r.Byte()), r.Text(), r.Uvarint()
	if r.malformed {
		return false
	}
	from := m.ByIncarnation(incarnation)
	if from == nil || !m.accept(from, seq, flags) {
		return true
	}
	return m.applyItems(from.Node, r)
}

// accept records the arrival of a digest and the sender's flags. It reports whether the digest is
// to be applied: it is not if the sender's incarnation is not the listed one, or if this digest
// or a newer one has already arrived.
func (m *Mesh) accept(from *Peer, seq uint64, flags Flags) bool {
	now := time.Now()
	m.mu.Lock()
	known := m.peers[from.Node]
	if known == nil || known.Incarnation != from.Incarnation || seq <= known.seq {
		m.mu.Unlock()
		return false
	}
	silent := !known.LastDigest.IsZero() && now.Sub(known.LastDigest) > m.scaledTimeout(peerTimeout)
	known.seq, known.LastDigest, known.Flags = seq, now, flags
	m.mu.Unlock()
	if silent {
		m.cfg.Events.Emit(eventlog.GatewayPeerRecovered, eventlog.Fields{Step: "mesh", Peer: from.Node})
	}
	return true
}

// applyItems applies the items of a digest. It reports whether all of them are well-formed; those
// before a malformed one are applied.
func (m *Mesh) applyItems(from string, r *Reader) bool {
	items := map[byte]func(r *Reader){}
	var done []func()
	for _, f := range m.fields {
		if f.Begin != nil {
			item, end := f.Begin(from)
			items[f.Kind], done = item, append(done, end)
		}
	}
	wellFormed := m.readItems(from, r, items)
	for _, end := range done {
		end()
	}
	return wellFormed
}

// readItems does the work of applyItems, given the functions that read the items of fields with Begin.
func (m *Mesh) readItems(from string, r *Reader, items map[byte]func(r *Reader)) bool {
	for r.More() {
		kind := r.Byte()
		f := m.byKind[kind]
		switch {
		case f == nil:
			return false
		case f.Begin != nil:
			items[kind](r)
		default:
			f.Apply(from, r)
		}
	}
	return !r.malformed
}
