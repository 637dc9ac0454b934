package gateway

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/quarantine"
	"github.com/buckthornroute/buckthornroute/routing"
)

const (
	// digestInterval is the least time between two digests to the others: some ten calls
	// of an entry in a burst.
	digestInterval = 100 * time.Millisecond
	// digestBudget is the time that each further entry adds to it, so that what an entry
	// sends and hears a second does not grow with the number of entries.
	digestBudget = 4 * time.Millisecond
	// maxDigest bounds a digest in bytes, so that it travels in one packet.
	maxDigest = 1300
	// digestItem is the greatest length of one item of a digest.
	digestItem = 24
	// namedEvery is the number of digests of which one has the sender's name and addresses;
	// the others name its life alone, since those who listen know it by then.
	namedEvery = 8
	// namedFor is how long after an entry has started, or has heard of another, all its
	// digests do: entries that start at the same time must agree on owners at once.
	namedFor = 2 * time.Second
	// maxFresh bounds the newly cached prompts that wait to be told.
	maxFresh = 64
)

// Flags of a digest.
const (
	// flagTableUp: the entry reaches the table.
	flagTableUp = 1 << iota
	// flagOwns: the entry counts budgets; it has registered and does not shut down.
	flagOwns
	// flagSettled: the entry has heard of all grants that it should have.
	flagSettled
	// flagLeaving: the entry shuts down.
	flagLeaving
)

// Kinds of packets, the first byte of each.
const (
	packetDigest = 1
	packetCall   = 2
	packetAnswer = 3
	// packetBrief is a digest that names the sender's life alone.
	packetBrief = 4
)

// cachedParts are prompt parts that an upstream has read.
type cachedParts struct {
	upstream string
	parts    []routing.PromptPart
}

// queueCachedPrompt remembers what to tell the others of an upstream's cache: the first part,
// which many programs share.
func (m *mesh) queueCachedPrompt(upstream string, prompt []routing.PromptPart) {
	if len(prompt) == 0 {
		return
	}
	m.mu.Lock()
	if len(m.fresh) < maxFresh {
		m.fresh = append(m.fresh, cachedParts{upstream, prompt[:1]})
	}
	m.mu.Unlock()
}

// queueCrashReport remembers to tell the others of a strike.
func (m *mesh) queueCrashReport(k quarantine.CrashReport) {
	m.mu.Lock()
	if len(m.strikes) < maxFresh {
		m.strikes = append(m.strikes, k)
	}
	m.mu.Unlock()
}

// sendDigests sends digests until ctx ends.
func (m *mesh) sendDigests(ctx context.Context) {
	for ctx.Err() == nil {
		interval := intervalAmong(m.size())
		if m.interval.Swap(int64(interval)) != int64(interval) {
			m.g.mu.Lock()
			m.g.balancer.SetPeerTTL(m.maxSilence(ownerSilence))
			m.g.mu.Unlock()
		}
		sleep(ctx, interval)
		if m.packetConn == nil {
			continue
		}
		packet := m.digest()
		for _, to := range m.targets() {
			if _, err := m.packetConn.WriteTo(packet, to); err != nil {
				m.g.metrics.digestErrors.Inc(1)
			}
		}
	}
}

// naming reports whether each digest has the sender's name and addresses.
func (m *mesh) naming(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.changed) < m.maxSilence(namedFor)
}

// intervalAmong returns the time between two digests of each of some entries.
func intervalAmong(entries int) time.Duration {
	return max(digestInterval, time.Duration(entries)*digestBudget)
}

func (m *mesh) targets() []net.Addr {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]net.Addr, 0, len(m.peers))
	for _, p := range m.peers {
		out = append(out, net.UDPAddrFromAddrPort(p.address))
	}
	return out
}

// digest encodes this entry's calls by upstream and the parts newly cached.
func (m *mesh) digest() []byte {
	m.mu.Lock()
	m.seq++
	seq := m.seq
	fresh, strikes := m.fresh, m.strikes
	m.fresh, m.strikes = nil, nil
	m.mu.Unlock()
	b := m.digestHead(make([]byte, 0, maxDigest), seq)
	m.g.mu.Lock()
	m.g.balancer.EachInFlight(func(id string, calls int) {
		if len(b)+digestItem < maxDigest {
			b = appendSeat(append(b, 'l'), id)
			b = binary.AppendUvarint(b, uint64(calls))
		}
	})
	m.g.balancer.TakeUnreportedOutcomes(time.Now(), func(id string, failed, fine int) {
		if len(b)+digestItem < maxDigest {
			b = appendSeat(append(b, 'f'), id)
			b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(failed)), uint64(fine))
		}
	})
	m.g.mu.Unlock()
	for _, k := range strikes {
		if len(b)+digestItem < maxDigest {
			b = append(b, 'x')
			b = binary.AppendUvarint(binary.AppendUvarint(b, k.Request), k.Upstream)
		}
	}
	for _, f := range fresh {
		if len(b)+digestItem < maxDigest {
			b = appendSeat(append(b, 'c'), f.upstream)
			b = binary.AppendUvarint(b, f.parts[0].ID)
			b = binary.AppendUvarint(b, uint64(f.parts[0].Tokens))
		}
	}
	return b
}

// digestHead appends who sends the digest and what it says of itself.
func (m *mesh) digestHead(b []byte, seq uint64) []byte {
	flags := byte(0)
	if m.g.table.directlyReachable() {
		flags |= flagTableUp
	}
	if m.canOwnBudgets() {
		flags |= flagOwns
	}
	if m.synchronised.Load() {
		flags |= flagSettled
	}
	if m.g.draining.Load() {
		flags |= flagLeaving
	}
	self := m.self()
	if seq%namedEvery != 1 && !m.naming(time.Now()) {
		return binary.AppendUvarint(appendText(append(b, packetBrief, flags), self.Life), seq)
	}
	b = append(b, packetDigest, flags)
	for _, text := range []string{self.Node, self.Domain, self.HTTPAddress, self.Digests, self.Life} {
		b = appendText(b, text)
	}
	return binary.AppendUvarint(b, seq)
}

// appendSeat appends the short name of an upstream.
func appendSeat(b []byte, id string) []byte {
	return binary.BigEndian.AppendUint32(b, uint32(routing.HashID(id)))
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// receive reads digests until the socket is closed.
func (m *mesh) receive() {
	buf := make([]byte, maxDigest+1)
	for {
		n, from, err := m.packetConn.ReadFrom(buf)
		if err != nil {
			return
		}
		if n == 0 || !m.packet(buf[:n], from) {
			m.g.metrics.digestErrors.Inc(1)
		}
	}
}

// packet takes one packet; it reports whether it was well-formed.
func (m *mesh) packet(b []byte, from net.Addr) bool {
	switch b[0] {
	case packetDigest:
		return m.heard(b[1:])
	case packetBrief:
		return m.heardBrief(b[1:])
	case packetCall:
		return m.calls.serve(b[1:], from)
	case packetAnswer:
		return m.calls.answer(b[1:])
	default:
		return false
	}
}

// packetReader reads the fields of a digest.
type packetReader struct {
	b         []byte
	malformed bool
}

func (p *packetReader) byte() byte {
	if len(p.b) == 0 {
		p.malformed = true
		return 0
	}
	v := p.b[0]
	p.b = p.b[1:]
	return v
}

func (p *packetReader) uvarint() uint64 {
	v, n := binary.Uvarint(p.b)
	if n <= 0 {
		p.malformed = true
		return 0
	}
	p.b = p.b[n:]
	return v
}

// seat reads the short name of an upstream.
func (p *packetReader) seat() uint32 {
	if len(p.b) < 4 {
		p.malformed = true
		return 0
	}
	v := binary.BigEndian.Uint32(p.b)
	p.b = p.b[4:]
	return v
}

func (p *packetReader) text() string {
	n := p.uvarint()
	if p.malformed || n > uint64(len(p.b)) {
		p.malformed = true
		return ""
	}
	v := string(p.b[:n])
	p.b = p.b[n:]
	return v
}

// heard takes one digest; it reports whether it was well-formed.
func (m *mesh) heard(b []byte) bool {
	p := packetReader{b: b}
	flags := p.byte()
	from := peer{Node: p.text(), Domain: p.text(), HTTPAddress: p.text(), Digests: p.text(), Life: p.text()}
	seq := p.uvarint()
	if p.malformed || from.Node == string(m.g.cfg.Node) {
		return !p.malformed
	}
	if _, err := netip.ParseAddrPort(from.Digests); err != nil {
		return false
	}
	m.add(from)
	if !m.accept(from, seq, flags) {
		return true
	}
	return m.takeLoads(from.Node, &p)
}

// heardBrief takes a digest that names its sender's life alone; from a life that is not
// known it says nothing.
func (m *mesh) heardBrief(b []byte) bool {
	p := packetReader{b: b}
	flags, life, seq := p.byte(), p.text(), p.uvarint()
	if p.malformed {
		return false
	}
	from, known := m.byLife(life)
	if !known || !m.accept(from, seq, flags) {
		return true
	}
	return m.takeLoads(from.Node, &p)
}

// byLife returns the peer of a life.
func (m *mesh) byLife(life string) (peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.Life == life {
			return *p, true
		}
	}
	return peer{}, false
}

// accept records the digest's sender as heard; an overtaken digest is not accepted.
func (m *mesh) accept(from peer, seq uint64, flags byte) bool {
	now := time.Now()
	m.mu.Lock()
	known := m.peers[from.Node]
	if known == nil || known.Life != from.Life || seq <= known.seq {
		m.mu.Unlock()
		return false
	}
	silent := !known.lastDigest.IsZero() && now.Sub(known.lastDigest) > m.maxSilence(entrySilence)
	known.seq, known.lastDigest = seq, now
	known.tableReachable, known.canOwnBudgets, known.synchronised = flags&flagTableUp != 0, flags&flagOwns != 0, flags&flagSettled != 0
	known.leaving = flags&flagLeaving != 0
	m.mu.Unlock()
	if silent {
		m.g.env.Events.Emit(eventlog.GatewayPeerBack, eventlog.Fields{Step: "mesh", Peer: from.Node})
	}
	return true
}

func (m *mesh) takeLoads(from string, p *packetReader) bool {
	now := time.Now()
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.g.balancer.ClearPeerCalls(from)
	names := m.g.fleet.Load().short
	for len(p.b) > 0 && !p.malformed {
		switch p.byte() {
		case 'l':
			id, calls := names[p.seat()], int(p.uvarint())
			if !p.malformed && id != "" {
				m.g.balancer.SetPeerCalls(now, from, id, calls)
			}
		case 'f':
			id, failed, fine := names[p.seat()], int(p.uvarint()), int(p.uvarint())
			if !p.malformed && id != "" {
				m.g.balancer.AddPeerOutcomes(now, id, failed, fine)
			}
		case 'c':
			id, part, tokens := names[p.seat()], p.uvarint(), int(p.uvarint())
			if !p.malformed && id != "" {
				m.g.balancer.AddPeerCached(id, []routing.PromptPart{{ID: part, Tokens: tokens}})
			}
		case 'x':
			k := quarantine.CrashReport{Request: p.uvarint(), Upstream: p.uvarint()}
			if !p.malformed {
				m.g.strikes.Add(now, k)
			}
		default:
			return false
		}
	}
	return !p.malformed
}
