package gateway

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/ledger"
	"github.com/buckthornroute/buckthornroute/routing"
)

// reserveAt implements budgetOwners. The owner gets more time while the table fails.
func (m *mesh) reserveAt(ctx context.Context, p *peer, r reserveCall) (reserveAnswer, error) {
	b := append(make([]byte, 0, 96), callReserve)
	b = appendText(appendText(b, r.Program), r.ID)
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(r.Total)), uint64(r.MaxTokens))
	b = appendBool(appendText(b, r.Conversation), r.Durable)
	timeout := peerCallTimeout
	if m.g.table.failedRecently() {
		timeout = peerCallTimeoutDegraded
	}
	v, err := m.calls.askWithTimeout(ctx, p, timeout, b)
	answer := v.reserveAnswer()
	if err != nil {
		return reserveAnswer{outcome: reserveUnknown}, err
	}
	if answer.outcome != reserveGranted && answer.outcome != reserveSpent {
		return answer, errors.Wrapf(platformapi.ErrUnavailable, "owner %q could not grant or refuse a reservation for program %q", p.Node, r.Program)
	}
	return answer, nil
}

// turnStoredBy asks the owner of the program's budget for the incarnation of the entry that has
// a stored turn in memory. It returns an empty string when the owner has no record of the turn or
// does not answer.
func (m *mesh) turnStoredBy(ctx context.Context, program, turn string) string {
	if program == "" {
		return ""
	}
	owner := m.owner(program)
	if owner == nil {
		return m.g.budgets.storedBy(program, turn)
	}
	b := appendText(appendText(append(make([]byte, 0, 64), callTurnStoredBy), program), turn)
	v, err := m.calls.askWithTimeout(ctx, owner, turnStoredByTimeout, b)
	if err != nil {
		m.g.metrics.chainQueriesFailed.Inc(1)
		return ""
	}
	return v.text
}

// settleAt implements budgetOwners. StoredBy is not encoded: the receiver takes it from the
// sender's incarnation, which each call carries.
func (m *mesh) settleAt(ctx context.Context, p *peer, s settleCall) error {
	b := append(make([]byte, 0, 64), callSettle)
	b = appendText(appendText(b, s.Program), s.ID)
	b = appendText(appendText(binary.AppendUvarint(b, uint64(s.Used)), s.Conversation), s.Upstream)
	_, err := m.calls.ask(ctx, p, appendBool(b, s.Stored))
	return err
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

// canOwnBudgets reports whether this entry is eligible as an owner of budgets: it is listed
// in the table and is not shutting down.
func (m *mesh) canOwnBudgets() bool { return m.registered.Load() && !m.g.draining.Load() }

// owner implements budgetOwners by rendezvous hashing over the responsive entries that can
// own budgets.
func (m *mesh) owner(program string) *peer {
	now := time.Now()
	var best *peer
	var weight uint64
	if m.canOwnBudgets() {
		weight = routing.Rendezvous(program, string(m.g.cfg.Node))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		if !p.canOwnBudgets || !m.responsive(p, now) {
			continue
		}
		if w := routing.Rendezvous(program, name); w > weight {
			best, weight = p, w
		}
	}
	return best
}

const (
	// responsiveTimeout is the least time without a digest after which a peer no longer
	// counts as responsive. It is a few digest intervals, so that a crashed owner delays few
	// turns.
	responsiveTimeout = time.Second
	// maxMissedDigests is the number of digest intervals that a timeout for a peer's digests
	// lasts at least; see scaledTimeout. It takes effect with many entries, because the interval
	// grows with their number. With 2.5, one digest may be lost and the next be late.
	maxMissedDigests = 2.5
)

// responsive reports whether the last digest of a peer is recent enough to send it calls.
func (m *mesh) responsive(p *peer, now time.Time) bool {
	return now.Sub(p.lastDigest) < m.scaledTimeout(responsiveTimeout)
}

// peerSilent reports whether a listed peer that is not leaving no longer counts as responsive.
func (m *mesh) peerSilent(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if !p.leaving && !m.responsive(p, now) {
			return true
		}
	}
	return false
}

// scaledTimeout returns minimum, or maxMissedDigests digest intervals if that is longer.
func (m *mesh) scaledTimeout(minimum time.Duration) time.Duration {
	return max(minimum, time.Duration(maxMissedDigests*float64(m.interval.Load())))
}

// ranked returns at most count entries in descending order of their rendezvous weight for the
// program; the first one is the owner if it is eligible. nil stands for this entry, which is
// always a candidate; include selects the peers that are candidates too.
func (m *mesh) ranked(program string, count int, include func(*peer) bool) []*peer {
	type candidate struct {
		p      *peer
		weight uint64
	}
	all := []candidate{{nil, routing.Rendezvous(program, string(m.g.cfg.Node))}}
	m.mu.Lock()
	for name, p := range m.peers {
		if include(p) {
			all = append(all, candidate{p, routing.Rendezvous(program, name)})
		}
	}
	m.mu.Unlock()
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*peer, 0, count)
	for _, c := range all[:min(count, len(all))] {
		out = append(out, c.p)
	}
	return out
}

// announce implements budgetOwners. It sends the notice to the responsive peers that rank
// first for the program, and waits until one has answered or all calls have failed. Of the
// grantReplicas+1 entries that rank first, this entry itself is left out.
func (m *mesh) announce(ctx context.Context, n grantNotice) bool {
	now := time.Now()
	received := make(chan bool, grantReplicas)
	sent := 0
	for _, p := range m.ranked(n.Program, grantReplicas+1, func(p *peer) bool { return m.responsive(p, now) }) {
		if p == nil {
			continue
		}
		sent++
		go func() {
			_, err := m.calls.ask(ctx, p, n.appendTo(append(make([]byte, 0, 48), callGrantNotice)))
			received <- err == nil
		}()
	}
	for range sent {
		if <-received {
			return true
		}
	}
	return false
}

// appendTo appends the encoded notice to b.
func (n grantNotice) appendTo(b []byte) []byte {
	flags := uint64(0)
	if n.Returned {
		flags |= noticeReturned
	}
	if n.Provisional {
		flags |= noticeProvisional
	}
	b = binary.AppendUvarint(appendText(appendText(b, n.Program), n.Holder), uint64(max(0, n.Granted)))
	return binary.AppendUvarint(binary.AppendUvarint(b, uint64(max(0, n.Total))), flags)
}

// notice decodes a grantNotice.
func (p *packetReader) notice() grantNotice {
	n := grantNotice{Program: p.text(), Holder: p.text(), Granted: int(p.uvarint()), Total: int(p.uvarint())}
	flags := p.uvarint()
	n.Returned, n.Provisional = flags&noticeReturned != 0, flags&noticeProvisional != 0
	return n
}

// collectGrants implements budgetOwners. Each entry that ranks first for the program and sent
// a digest or was listed within recentOwnerWindow may have received notices of its grants; the
// synchronised ones are asked.
// The view is exclusive only when each of these entries is synchronised and responsive, or
// is leaving: then no other entry can consider itself the owner.
func (m *mesh) collectGrants(ctx context.Context, program string) (ledger.Grants, grantView) {
	now := time.Now()
	recent := func(p *peer) bool {
		return now.Sub(p.lastDigest) < recentOwnerWindow || now.Sub(p.listedAt) < recentOwnerWindow
	}
	granted := m.g.budgets.grantsFor(program)
	var ask []*peer
	view, allKnown := viewIncomplete, true
	for _, p := range m.ranked(program, grantReplicas+1, recent) {
		switch {
		case p == nil && m.synchronised.Load():
			view = viewComplete
		case p != nil && p.synchronised && m.responsive(p, now):
			ask = append(ask, p)
		case p != nil && p.leaving: // grants nothing once it is unresponsive
		default:
			allKnown = false
		}
	}
	// A notice may have reached only one of them, so each must answer.
	answers := make(chan ledger.Grants, len(ask))
	for _, p := range ask {
		go func() {
			v, err := m.calls.ask(ctx, p, appendText(append(make([]byte, 0, 48), callGrantsFor), program))
			if err != nil {
				answers <- nil
				return
			}
			answers <- decodeGrants(v.text)
		}()
	}
	allAnswered := true
	for range ask {
		theirs := <-answers
		allAnswered = allAnswered && theirs != nil
		granted.Merge(theirs)
	}
	switch {
	case !allAnswered:
		return granted, viewIncomplete
	case len(ask) > 0:
		view = viewComplete
	}
	if view == viewComplete && allKnown {
		view = viewExclusive
	}
	return granted, view
}

// inMinority implements budgetOwners: of the entries that sent a digest within recentOwnerWindow and are
// not leaving, this one included, only half or fewer are responsive. When the table is unreachable
// for all of them, the others may be behind a partition and reach it.
func (m *mesh) inMinority() bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	responsive, all := 1, 1
	for _, p := range m.peers {
		if p.leaving || now.Sub(p.lastDigest) >= recentOwnerWindow {
			continue
		}
		all++
		if m.responsive(p, now) {
			responsive++
		}
	}
	return all > 1 && 2*responsive <= all
}

// encodeGrants encodes grants as a string, the form in which callAnswer carries them.
func encodeGrants(g ledger.Grants) string {
	var b []byte
	for holder, n := range g {
		b = binary.AppendUvarint(appendText(b, holder), uint64(max(0, n)))
	}
	return string(b)
}

// decodeGrants decodes what encodeGrants returned. It returns nil when the text is malformed.
func decodeGrants(text string) ledger.Grants {
	p := packetReader{b: []byte(text)}
	g := ledger.Grants{}
	for len(p.b) > 0 {
		holder, n := p.text(), int(p.uvarint())
		if p.malformed {
			return nil
		}
		g[holder] = n
	}
	return g
}

// synchronise makes this entry a synchronised one, which knows all grants that it should
// have been notified of. It collects the known grants of the synchronised entries until all
// of them have answered. With FirstStart set there are no earlier grants to collect.
func (m *mesh) synchronise(ctx context.Context) {
	if m.g.cfg.FirstStart {
		m.synchronised.Store(true)
		return
	}
	for ctx.Err() == nil && !m.synchronised.Load() {
		sleep(ctx, synchroniseInterval)
		m.synchronised.Store(m.collectAllGrants(ctx))
	}
}

// collectAllGrants asks all synchronised entries for the grants that they know. It
// reports whether there is at least one such entry and all have answered.
func (m *mesh) collectAllGrants(ctx context.Context) bool {
	now := time.Now()
	m.mu.Lock()
	var from []string
	for _, p := range m.peers {
		if p.synchronised && m.responsive(p, now) {
			from = append(from, p.HTTPAddress)
		}
	}
	m.mu.Unlock()
	for _, address := range from {
		var known []grantNotice
		ctx, cancel := context.WithTimeout(ctx, grantsTimeout)
		err := m.client.post(ctx, address, "/grants", struct{}{}, &known)
		cancel()
		if err != nil {
			return false
		}
		for _, n := range known {
			m.g.budgets.applyNotice(n)
		}
	}
	return len(from) > 0
}
