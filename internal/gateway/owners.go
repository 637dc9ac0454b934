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

// reserveAt implements budgetOwners.
func (m *mesh) reserveAt(ctx context.Context, p *peer, r reserveCall) (reserveAnswer, error) {
	b := append(make([]byte, 0, 96), callReserve)
	b = appendText(appendText(b, r.Program), r.ID)
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(r.Total)), uint64(r.MaxTokens))
	b = appendBool(appendText(b, r.Conversation), r.Durable)
	timeout := callTimeout
	if m.g.table.failedRecently() {
		timeout = callTimeoutDegraded
	}
	v, err := m.calls.askWithTimeout(ctx, p, timeout, b)
	answer := v.reserveAnswer()
	if err != nil {
		return reserveAnswer{outcome: reserveUnknown}, err
	}
	if answer.outcome != reserveGranted && answer.outcome != reserveSpent {
		return answer, errors.Wrapf(platformapi.ErrUnavailable, "owner %q can't tell", p.Node)
	}
	return answer, nil
}

// turnStoredBy returns the life of the entry that has a kept turn at hand, as the program's
// owner knows; empty when it does not or can't be asked.
func (m *mesh) turnStoredBy(ctx context.Context, program, turn string) string {
	if program == "" {
		return ""
	}
	at := m.owner(program)
	if at == nil {
		return m.g.budgets.storedBy(program, turn)
	}
	b := appendText(appendText(append(make([]byte, 0, 64), callTurnStoredBy), program), turn)
	v, err := m.calls.askWithTimeout(ctx, at, turnStoredByTimeout, b)
	if err != nil {
		m.g.metrics.chainQueriesFailed.Inc(1)
		return ""
	}
	return v.text
}

// settleAt implements budgetOwners.
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

// canOwnBudgets reports whether this entry counts budgets for others.
func (m *mesh) canOwnBudgets() bool { return m.registered.Load() && !m.g.draining.Load() }

// owner implements budgetOwners by rendezvous hashing over the entries that live.
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
	// ownerSilence is the least time after its last digest from which an entry is no longer
	// asked for budgets: a few digests, so that a dead owner delays few turns.
	ownerSilence = time.Second
	// silentDigests is the same in digests, which are further apart among many entries: one
	// may be lost and the next be late.
	silentDigests = 2.5
)

// responsive reports whether a peer was heard lately enough to be asked.
func (m *mesh) responsive(p *peer, now time.Time) bool {
	return now.Sub(p.lastDigest) < m.maxSilence(ownerSilence)
}

// maxSilence returns how long an entry may be silent; at least as given.
func (m *mesh) maxSilence(least time.Duration) time.Duration {
	return max(least, time.Duration(silentDigests*float64(m.interval.Load())))
}

// ranked returns the entries by their weight for the program, the owner-to-be first;
// nil stands for this entry. keep says which peers count.
func (m *mesh) ranked(program string, count int, keep func(*peer) bool) []*peer {
	type weighed struct {
		p      *peer
		weight uint64
	}
	all := []weighed{{nil, routing.Rendezvous(program, string(m.g.cfg.Node))}}
	m.mu.Lock()
	for name, p := range m.peers {
		if keep(p) {
			all = append(all, weighed{p, routing.Rendezvous(program, name)})
		}
	}
	m.mu.Unlock()
	slices.SortFunc(all, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*peer, 0, count)
	for _, w := range all[:min(count, len(all))] {
		out = append(out, w.p)
	}
	return out
}

// tell implements budgetOwners: the entries that rank next for the program hear it.
func (m *mesh) tell(ctx context.Context, n grantNotice) bool {
	now := time.Now()
	heard := make(chan bool, grantReplicas)
	asked := 0
	for _, p := range m.ranked(n.Program, grantReplicas+1, func(p *peer) bool { return m.responsive(p, now) }) {
		if p == nil {
			continue
		}
		asked++
		go func() {
			_, err := m.calls.ask(ctx, p, n.append(append(make([]byte, 0, 48), callGrantNotice)))
			heard <- err == nil
		}()
	}
	for range asked {
		if <-heard {
			return true
		}
	}
	return false
}

// append encodes a notice.
func (n grantNotice) append(b []byte) []byte {
	flags := uint64(0)
	if n.Returned {
		flags |= noticeReturned
	}
	if n.Ahead {
		flags |= noticeProvisional
	}
	b = binary.AppendUvarint(appendText(appendText(b, n.Program), n.Holder), uint64(max(0, n.Granted)))
	return binary.AppendUvarint(binary.AppendUvarint(b, uint64(max(0, n.Total))), flags)
}

// notice reads a notice.
func (p *packetReader) notice() grantNotice {
	n := grantNotice{Program: p.text(), Holder: p.text(), Granted: int(p.uvarint()), Total: int(p.uvarint())}
	flags := p.uvarint()
	n.Returned, n.Ahead = flags&noticeReturned != 0, flags&noticeProvisional != 0
	return n
}

// learn implements budgetOwners. Of the entries that lived lately, each that ranked
// among the first for the program may have heard of its grants, and one that has been there
// all along has. When all of them live, no other entry can take itself for the owner
// unheard.
func (m *mesh) learn(ctx context.Context, program string) (ledger.Grants, knowledge) {
	now := time.Now()
	lately := func(p *peer) bool {
		return now.Sub(p.lastDigest) < recentOwnerWindow || now.Sub(p.listedAt) < recentOwnerWindow
	}
	granted := m.g.budgets.grantsFor(program)
	var ask []*peer
	knows, all := knowsNothing, true
	for _, p := range m.ranked(program, grantReplicas+1, lately) {
		switch {
		case p == nil && m.synchronised.Load():
			knows = knowsGrants
		case p != nil && p.synchronised && m.responsive(p, now):
			ask = append(ask, p)
		case p != nil && p.leaving:
		default:
			all = false
		}
	}
	// A grant is told to one of them at least, so each that lives must answer.
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
	answered := true
	for range ask {
		theirs := <-answers
		answered = answered && theirs != nil
		granted.Merge(theirs)
	}
	switch {
	case !answered:
		return granted, knowsNothing
	case len(ask) > 0:
		knows = knowsGrants
	}
	if knows == knowsGrants && all {
		knows = knowsAlone
	}
	return granted, knows
}

// encodeGrants packs grants into an answer.
func encodeGrants(g ledger.Grants) string {
	var b []byte
	for holder, n := range g {
		b = binary.AppendUvarint(appendText(b, holder), uint64(max(0, n)))
	}
	return string(b)
}

// decodeGrants reads them; nil says that they are malformed.
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

// synchronise makes this entry one that has been there all along: it learns what those that
// have been know.
func (m *mesh) synchronise(ctx context.Context) {
	if m.g.cfg.FirstStart {
		m.synchronised.Store(true)
		return
	}
	for ctx.Err() == nil && !m.synchronised.Load() {
		sleep(ctx, synchroniseInterval)
		m.synchronised.Store(m.learnAll(ctx))
	}
}

// learnAll asks all settled entries for what they know. It reports whether there are
// such and all have answered.
func (m *mesh) learnAll(ctx context.Context) bool {
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
