package gateway

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/limits"
	"github.com/buckthornroute/buckthornroute/quarantine"
	"github.com/buckthornroute/buckthornroute/routing"
)

const (
	// digestInterval is the minimum interval between two digests of an entry. In a burst an entry
	// starts about 10 calls within it.
	digestInterval = 100 * time.Millisecond
	// digestIntervalPerEntry bounds the packets per second at each entry: among n entries the
	// interval is at least n times as long.
	digestIntervalPerEntry = 4 * time.Millisecond
	// maxPacketSize is the maximum size in bytes of a packet between entries. It is below the
	// usual MTU of 1500 bytes. A digest is one packet; items that do not fit are dropped. Senders
	// do not check the size of calls and answers; the receiver cuts off what exceeds it.
	maxPacketSize = 1300
	// maxDigestItem is the maximum size of one item of a digest in bytes.
	maxDigestItem = 24
	// fullDigestEvery is the number of digests to all entries of which the first carries the sender's name and
	// addresses. The others carry only its incarnation, which the receivers know by then.
	fullDigestEvery = 8
	// fullDigestPeriod is how long all digests carry the name and addresses after an entry has
	// started or has added another one to its list: entries that start at the same time must agree on
	// the owners of budgets at once.
	fullDigestPeriod = 2 * time.Second
	// maxQueuedItems is the maximum number of cached prompts that are queued for the next digest.
	maxQueuedItems = 64
	// maxQueuedReports is the maximum number of crash reports that are queued; the oldest is
	// dropped first. An entry sends it in about 2 s.
	maxQueuedReports = 256
	// reportRepeats is the number of digests that carry a crash report, since a datagram may be
	// lost.
	reportRepeats = 3
	// maxTrialNumber is the largest number of a trial that is accepted.
	maxTrialNumber = 1 << 16
	// maxReportBytes is the part of a digest in bytes that crash reports may use. Other items may
	// use what they leave.
	maxReportBytes = 500
	// maxSpeedPercent and maxSpeedCalls bound what another entry may report of an upstream's calls.
	maxSpeedPercent = 10_000
	maxSpeedCalls   = 1 << 10
	// maxDocumentItem is the part of a digest in bytes that is kept free for the version of the document.
	maxDocumentItem = 11
	// maxLimitBytes is the part of a digest in bytes that is kept free for limits of upstreams.
	maxLimitBytes = 200
)

// Flags of a digest. The values are part of the wire format.
const (
	// flagTableReachable is set if the entry reaches the platform's table.
	flagTableReachable = 1 << iota
	// flagCanOwnBudgets is set if the entry may own budgets: it has registered and is not
	// shutting down.
	flagCanOwnBudgets
	// flagSynchronised is set if the entry knows the grants that it has to know; see
	// peer.synchronised.
	flagSynchronised
	// flagLeaving is set if the entry is shutting down.
	flagLeaving
	// flagGrantsSends is set if the entry may grant the sends to limited upstreams. Earlier builds
	// can't.
	flagGrantsSends
)

// Kinds of packets. The kind is the first byte of a packet.
const (
	// packetDigest is a digest with the sender's name and addresses.
	packetDigest = 1
	// packetCall and packetAnswer are a call between entries and its answer; see peerCalls.
	packetCall   = 2
	packetAnswer = 3
	// packetBrief is a digest that carries the sender's incarnation instead of its name and
	// addresses.
	packetBrief = 4
	// packetStream tells where a stream began: its key, the service and version, and the hash of the
	// upstream's incarnation. It is not answered. Earlier builds ignore it.
	packetStream = 5
)

// cachedPrompt holds the first part of a prompt that an upstream has cached.
type cachedPrompt struct {
	upstream string
	parts    []routing.PromptPart
}

// queueCachedPrompt queues the first part of a prompt for the next digest, so that the other
// entries know that the upstream has it cached. Many programs share that part.
func (m *mesh) queueCachedPrompt(upstream string, prompt []routing.PromptPart) {
	if len(prompt) == 0 {
		return
	}
	m.mu.Lock()
	if len(m.newlyCached) < maxQueuedItems {
		m.newlyCached = append(m.newlyCached, cachedPrompt{upstream, prompt[:1]})
	}
	m.mu.Unlock()
}

// queuedReport is a crash report with the number of digests that are still to carry it.
type queuedReport struct {
	quarantine.CrashReport
	repeats int
}

// queueCrashReport queues a crash report for the next digests.
func (m *mesh) queueCrashReport(report quarantine.CrashReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.crashReports) >= maxQueuedReports {
		m.g.metrics.crashReportsDropped.Inc(1)
		m.crashReports = m.crashReports[1:]
	}
	m.crashReports = append(m.crashReports, queuedReport{report, reportRepeats})
}

// sendDigests sends digests to the other entries until ctx ends.
func (m *mesh) sendDigests(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		interval := digestIntervalFor(m.size())
		perInterval := callDigestsFor(interval, m.nearSize())
		// Peers send their digests at about the same interval, so the calls that they report must
		// count for longer when it grows.
		if m.interval.Swap(int64(interval)) != int64(interval) {
			m.g.mu.Lock()
			m.g.balancer.SetPeerTTL(m.scaledTimeout(responsiveTimeout))
			m.g.mu.Unlock()
		}
		urgent := m.awaitDigest(ctx, interval/time.Duration(perInterval))
		if !urgent && round%perInterval != 0 {
			m.sendPacket(m.callDigest(), m.digestTargets(true))
			continue
		}
		m.sendPacket(m.digest(), m.digestTargets(false))
		m.g.reportSpeedChanges(time.Now())
	}
}

// sendPacket sends a packet to the addresses.
func (m *mesh) sendPacket(packet []byte, targets []net.Addr) {
	for _, to := range targets {
		if _, err := m.packetConn.WriteTo(packet, to); err != nil {
			m.g.metrics.digestErrors.Inc(1)
		}
	}
}

// awaitDigest waits until the next digest is due: for the interval, or until a crash report is
// urgent. It reports whether one is.
func (m *mesh) awaitDigest(ctx context.Context, interval time.Duration) (urgent bool) {
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

// sendDigestNow has the next digest sent at once.
func (m *mesh) sendDigestNow() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// sendsFullDigests reports whether every digest has to carry this entry's name and addresses
// at the moment.
func (m *mesh) sendsFullDigests(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.lastPeerChange) < m.scaledTimeout(fullDigestPeriod)
}

// digestIntervalFor returns the interval between two digests of an entry, for a number of
// entries.
func digestIntervalFor(entries int) time.Duration {
	return max(digestInterval, time.Duration(entries)*digestIntervalPerEntry)
}

// callDigestsFor returns how many digests an entry sends within an interval to the other entries of its
// failure domain, of which there are near with itself: all but the first are call digests. Most calls
// stay in their domain, so that many entries choose among few upstreams; with digests that are
// further apart than calls are long, each would know only calls that have ended.
func callDigestsFor(interval time.Duration, near int) int {
	return max(1, int(interval/digestIntervalFor(near)))
}

// nearSize returns the number of live entries of this entry's failure domain, including this one.
func (m *mesh) nearSize() int {
	now, own := time.Now(), string(m.g.cfg.FailureDomain)
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, p := range m.peers {
		if p.Domain == own && m.isLive(p, now) {
			n++
		}
	}
	return n
}

// digestTargets returns the UDP addresses of the other entries, or of those of this failure domain only.
func (m *mesh) digestTargets(nearOnly bool) []net.Addr {
	own := string(m.g.cfg.FailureDomain)
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]net.Addr, 0, len(m.peers))
	for _, p := range m.peers {
		if !nearOnly || p.Domain == own {
			out = append(out, net.UDPAddrFromAddrPort(p.udpAddr))
		}
	}
	return out
}

// callDigest encodes a digest that carries the calls in flight only. Those to all entries carry the
// rest: what is sent once must reach all.
func (m *mesh) callDigest() []byte {
	m.mu.Lock()
	m.seq++
	seq := m.seq
	m.mu.Unlock()
	return m.appendCalls(m.appendDigestHeader(make([]byte, 0, maxPacketSize), seq, false), maxPacketSize)
}

// appendCalls appends the calls in flight at each upstream to a digest of at most limit bytes.
func (m *mesh) appendCalls(b []byte, limit int) []byte {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.g.balancer.EachInFlight(func(id string, calls int) {
		if len(b)+maxDigestItem < limit {
			b = appendUpstream(append(b, 'l'), id)
			b = binary.AppendUvarint(b, uint64(calls))
		}
	})
	return b
}

// digest encodes the next digest. Its header is followed by items of these kinds:
//
//	'l' upstream, calls in flight at it from this entry
//	'f' upstream, failed and successful calls since they were last reported
//	'x' hashes of the request and of the upstream of a crash report
//	'o' the same of a crash report that is withdrawn
//	't' hash of a request that is tried once more, and the number of the trial; 0 from earlier builds
//	'q' hash of all refused requests
//	'c' upstream, ID and tokens of a prompt part that it has cached
//	'm' hash of an upstream's incarnation, its limit, and how old that statement is
//	'e' hash of the incarnation of an upstream that leaves
//	's' upstream, mean time of calls out of the ordinary in percent of the predicted one, their number
//	'd' version of the operator's document
//
// Items that do not fit are dropped; only the counts of calls in flight are in the next digest
// again.
func (m *mesh) digest() []byte {
	m.mu.Lock()
	m.seq++
	m.rounds++
	seq, rounds := m.seq, m.rounds
	cached := m.newlyCached
	m.newlyCached = nil
	reports := m.takeReportsLocked()
	m.mu.Unlock()
	limit := maxPacketSize - maxLimitBytes - len(reports)
	full := rounds%fullDigestEvery == 1 || m.sendsFullDigests(time.Now())
	b := m.appendCalls(m.appendDigestHeader(make([]byte, 0, maxPacketSize), seq, full), limit)
	m.g.mu.Lock()
	m.g.balancer.TakeUnreportedOutcomes(time.Now(), func(id string, failed, succeeded int) {
		if len(b)+maxDigestItem < limit {
			b = appendUpstream(append(b, 'f'), id)
			b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(failed)), uint64(succeeded))
		}
	})
	m.g.mu.Unlock()
	for _, c := range cached {
		if len(b)+maxDigestItem < limit {
			b = appendUpstream(append(b, 'c'), c.upstream)
			b = binary.AppendUvarint(b, c.parts[0].ID)
			b = binary.AppendUvarint(b, uint64(c.parts[0].Tokens))
		}
	}
	return m.g.documents.appendVersion(m.appendSpeeds(m.appendStatements(append(b, reports...), rounds)))
}

// appendSpeeds appends what calls took at upstreams that are slow or may be, as far as it fits. It comes
// last, since earlier builds stop reading there.
func (m *mesh) appendSpeeds(b []byte) []byte {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.g.balancer.TakeUnreportedSpeeds(func(id string, ratio float64, calls int) bool {
		if len(b)+maxDigestItem > maxPacketSize-maxDocumentItem {
			return false
		}
		b = appendUpstream(append(b, 's'), id)
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(100*ratio)), uint64(calls))
		return true
	})
	return b
}

// appendStatements appends what upstreams have said of their limits, and that they leave, as far as it
// fits. It comes last, since earlier builds stop reading there.
func (m *mesh) appendStatements(b []byte, round uint64) []byte {
	now := time.Now()
	m.g.limits.takeStatements(round, func(incarnation uint64, s limits.Statement) bool {
		if len(b)+maxDigestItem > maxPacketSize-maxDocumentItem {
			return false
		}
		b = appendStatement(binary.AppendUvarint(append(b, 'm'), incarnation), now, s)
		return true
	})
	m.g.leaving.takeAnnounced(func(incarnation uint64) bool {
		if len(b)+maxDigestItem > maxPacketSize-maxDocumentItem {
			return false
		}
		b = binary.AppendUvarint(append(b, 'e'), incarnation)
		return true
	})
	return b
}

// itemsOfReports maps the kinds of crash reports to those of digest items.
var itemsOfReports = map[quarantine.ReportKind]byte{quarantine.Crash: 'x', quarantine.Withdrawn: 'o', quarantine.Trial: 't'}

// takeReportsLocked encodes the queued crash reports that fit in a digest, and the digest of the
// refused requests. Reports that were sent reportRepeats times leave the queue; those sent now go
// behind the others. m.mu must be held.
func (m *mesh) takeReportsLocked() []byte {
	var b []byte
	var again []queuedReport
	sent := 0
	for _, r := range m.crashReports {
		if len(b)+maxDigestItem > maxReportBytes {
			break
		}
		b = append(b, itemsOfReports[r.Kind])
		detail := r.Upstream
		if r.Kind == quarantine.Trial {
			detail = uint64(max(0, r.Trial))
		}
		b = binary.AppendUvarint(binary.AppendUvarint(b, r.Request), detail)
		sent++
		if r.repeats--; r.repeats > 0 {
			again = append(again, r)
		}
	}
	m.crashReports = append(m.crashReports[sent:], again...)
	return binary.AppendUvarint(append(b, 'q'), m.quarantineDigest.Load())
}

// appendDigestHeader appends the kind of the packet, this entry's flags, its identity and the
// sequence number. A full one carries the name and addresses.
func (m *mesh) appendDigestHeader(b []byte, seq uint64, full bool) []byte {
	flags := byte(0)
	if m.g.table.directlyReachable() {
		flags |= flagTableReachable
	}
	if m.canOwnBudgets() {
		flags |= flagCanOwnBudgets | flagGrantsSends
	}
	if m.synchronised.Load() {
		flags |= flagSynchronised
	}
	if m.g.draining.Load() {
		flags |= flagLeaving
	}
	self := m.selfPeer()
	if !full {
		return binary.AppendUvarint(appendText(append(b, packetBrief, flags), self.Incarnation), seq)
	}
	b = append(b, packetDigest, flags)
	for _, text := range []string{self.Node, self.Domain, self.HTTPAddress, self.UDPAddress, self.Incarnation} {
		b = appendText(b, text)
	}
	return binary.AppendUvarint(b, seq)
}

// appendUpstream appends the short hash that stands for an upstream.
func appendUpstream(b []byte, id string) []byte {
	return binary.BigEndian.AppendUint32(b, uint32(routing.HashID(id)))
}

// appendText appends a string with its length.
func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// receive reads packets until the socket is closed.
func (m *mesh) receive() {
	buf := make([]byte, maxPacketSize+1)
	for {
		n, from, err := m.packetConn.ReadFrom(buf)
		if err != nil {
			return
		}
		if n == 0 || !m.handlePacket(buf[:n], from) {
			m.g.metrics.digestErrors.Inc(1)
		}
	}
}

// handlePacket processes one packet. It reports whether the packet is well-formed.
func (m *mesh) handlePacket(b []byte, from net.Addr) bool {
	switch b[0] {
	case packetDigest:
		return m.handleDigest(b[1:])
	case packetBrief:
		return m.handleBriefDigest(b[1:])
	case packetCall:
		return m.calls.handleCall(b[1:], from)
	case packetAnswer:
		return m.calls.handleAnswer(b[1:])
	case packetStream:
		return m.g.origins.receive(b[1:])
	default:
		return false
	}
}

// packetReader reads the fields of a packet. It sets malformed when one is missing or invalid.
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

// uint64 reads a number of 8 bytes.
func (p *packetReader) uint64() uint64 {
	if len(p.b) < 8 {
		p.malformed = true
		return 0
	}
	v := binary.BigEndian.Uint64(p.b)
	p.b = p.b[8:]
	return v
}

// upstream reads the short hash that stands for an upstream.
func (p *packetReader) upstream() uint32 {
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

// appendReport reads a crash report and appends it unless it is malformed.
func (p *packetReader) appendReport(reports []quarantine.CrashReport, kind quarantine.ReportKind) []quarantine.CrashReport {
	r := quarantine.CrashReport{Kind: kind, Request: p.uvarint(), Upstream: p.uvarint()}
	if p.malformed || kind == quarantine.Trial && r.Upstream > maxTrialNumber {
		p.malformed = true
		return reports
	}
	if kind == quarantine.Trial {
		r.Trial, r.Upstream = int(r.Upstream), 0
	}
	return append(reports, r)
}

// handleDigest processes a full digest. It reports whether the digest is well-formed.
func (m *mesh) handleDigest(b []byte) bool {
	p := packetReader{b: b}
	flags := p.byte()
	from := peer{Node: p.text(), Domain: p.text(), HTTPAddress: p.text(), UDPAddress: p.text(), Incarnation: p.text()}
	seq := p.uvarint()
	if p.malformed || from.Node == string(m.g.cfg.Node) {
		return !p.malformed
	}
	if _, err := netip.ParseAddrPort(from.UDPAddress); err != nil {
		return false
	}
	m.addPeer(from)
	if !m.accept(from, seq, flags) {
		return true
	}
	return m.applyItems(from.Node, &p)
}

// handleBriefDigest processes a digest that carries only its sender's incarnation, and ignores
// it if that incarnation is unknown. It reports whether the digest is well-formed.
func (m *mesh) handleBriefDigest(b []byte) bool {
	p := packetReader{b: b}
	flags, incarnation, seq := p.byte(), p.text(), p.uvarint()
	if p.malformed {
		return false
	}
	from, known := m.peerByIncarnation(incarnation)
	if !known || !m.accept(from, seq, flags) {
		return true
	}
	return m.applyItems(from.Node, &p)
}

// peerByIncarnation returns the peer with the incarnation.
func (m *mesh) peerByIncarnation(incarnation string) (peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.Incarnation == incarnation {
			return *p, true
		}
	}
	return peer{}, false
}

// accept records the arrival of a digest and the sender's flags. It reports whether the digest is
// to be applied: it is not if the sender's incarnation is not the listed one, or if this digest
// or a newer one has already arrived.
func (m *mesh) accept(from peer, seq uint64, flags byte) bool {
	now := time.Now()
	m.mu.Lock()
	known := m.peers[from.Node]
	if known == nil || known.Incarnation != from.Incarnation || seq <= known.seq {
		m.mu.Unlock()
		return false
	}
	silent := !known.lastDigest.IsZero() && now.Sub(known.lastDigest) > m.scaledTimeout(peerTimeout)
	known.seq, known.lastDigest = seq, now
	known.tableReachable, known.canOwnBudgets, known.synchronised = flags&flagTableReachable != 0, flags&flagCanOwnBudgets != 0, flags&flagSynchronised != 0
	known.leaving, known.grantsSends = flags&flagLeaving != 0, flags&flagGrantsSends != 0
	m.mu.Unlock()
	if silent {
		m.g.env.Events.Emit(eventlog.GatewayPeerRecovered, eventlog.Fields{Step: "mesh", Peer: from.Node})
	}
	return true
}

// applyItems replaces the peer's counts of calls in flight and applies the other items of a digest.
// Items of unknown upstreams are ignored. It reports whether all items are well-formed.
func (m *mesh) applyItems(from string, p *packetReader) bool {
	now := time.Now()
	reports, said, wellFormed := m.applyLocked(now, from, p)
	for _, report := range reports {
		m.g.receiveCrashReport(now, from, report)
	}
	for incarnation, s := range said.limits {
		m.g.limits.receiveStatement(from, incarnation, s)
	}
	for _, incarnation := range said.leaving {
		m.g.upstreamLeaves(incarnation, from, false)
	}
	if said.document > 0 {
		m.g.documents.announced(from, said.document)
	}
	return wellFormed
}

// upstreamStatements is what upstreams have said of themselves, by the hash of their incarnation, and
// the version of the sender's document.
type upstreamStatements struct {
	limits  map[uint64]limits.Statement
	leaving []uint64
	// document is the version of the sender's document; 0 if it has none.
	document uint64
}

// applyLocked does the work of applyItems, but for crash reports and statements of upstreams, which it
// returns.
func (m *mesh) applyLocked(now time.Time, from string, p *packetReader) (reports []quarantine.CrashReport, said upstreamStatements, wellFormed bool) {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	m.g.balancer.ClearPeerCalls(from)
	names := m.g.fleet.Load().byHash
	for len(p.b) > 0 && !p.malformed {
		switch p.byte() {
		case 'l':
			id, calls := names[p.upstream()], int(p.uvarint())
			if !p.malformed && id != "" {
				m.g.balancer.SetPeerCalls(now, from, id, calls)
			}
		case 'f':
			id, failed, succeeded := names[p.upstream()], int(p.uvarint()), int(p.uvarint())
			if !p.malformed && id != "" {
				m.g.balancer.AddPeerOutcomes(now, id, failed, succeeded)
			}
		case 'c':
			id, part, tokens := names[p.upstream()], p.uvarint(), int(p.uvarint())
			if !p.malformed && id != "" {
				m.g.balancer.AddPeerCached(id, []routing.PromptPart{{ID: part, Tokens: tokens}})
			}
		case 'x':
			reports = p.appendReport(reports, quarantine.Crash)
		case 'o':
			reports = p.appendReport(reports, quarantine.Withdrawn)
		case 't':
			reports = p.appendReport(reports, quarantine.Trial)
		case 'q':
			if digest := p.uvarint(); !p.malformed && digest != m.quarantineDigest.Load() {
				m.requestRecords(from)
			}
		case 'm':
			incarnation, s := p.uvarint(), p.statement(now)
			if !p.malformed {
				if said.limits == nil {
					said.limits = map[uint64]limits.Statement{}
				}
				said.limits[incarnation] = s
			}
		case 's':
			id, percent, calls := names[p.upstream()], p.uvarint(), p.uvarint()
			if !p.malformed && id != "" {
				m.g.balancer.AddPeerSpeeds(now, id, float64(min(percent, maxSpeedPercent))/100, int(min(calls, maxSpeedCalls)))
			}
		case 'e':
			if incarnation := p.uvarint(); !p.malformed {
				said.leaving = append(said.leaving, incarnation)
			}
		case 'd':
			if version := p.uvarint(); !p.malformed {
				said.document = version
			}
		default:
			return reports, said, false
		}
	}
	return reports, said, !p.malformed
}
