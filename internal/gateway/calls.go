package gateway

import (
	"cmp"
	"context"
	"encoding/binary"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	table "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/routing"
)

const (
	// callRetry is the wait before a call between entries is sent again; it doubles. An
	// answer takes some 2 ms, and a draw from the table some 8 ms more.
	callRetry = 25 * time.Millisecond
	// callTimeout bounds a call whose owner has what is asked for at hand or draws it.
	callTimeout = 250 * time.Millisecond
	// ownerSettled is how long an entry that died may still matter for what was granted:
	// as long as a stopped program may come back.
	ownerSettled = time.Minute
	// witnesses is the number of entries beside the owner that hear of each grant.
	witnesses = 2
	// settleInterval is the wait before an entry that started asks what the others know:
	// some digests.
	settleInterval = 400 * time.Millisecond
	// learnTimeout bounds the answer of one of them.
	learnTimeout = 500 * time.Millisecond
)

// standingShift is the place of a program's standing beside the verdict in an answer.
const standingShift = 4

// Calls between entries.
const (
	callReserve = 'r'
	callSettle  = 's'
	// callGranted tells, and callKnown asks, what was granted for a program.
	callGranted = 'g'
	callKnown   = 'k'
)

// calls are short questions between entries, one datagram each way. Each is repeatable,
// as a lost datagram is sent again.
type calls struct {
	m *mesh

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan callAnswer
}

// callAnswer is a small number and, for some calls, a name.
type callAnswer struct {
	value uint64
	text  string
}

func newCalls(m *mesh) *calls { return &calls{m: m, waiting: map[uint64]chan callAnswer{}} }

// ask sends a call to a peer and waits for its answer.
func (c *calls) ask(ctx context.Context, p *peer, body []byte) (callAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer := make(chan callAnswer, 1)
	c.mu.Lock()
	c.next++
	id := c.next
	c.waiting[id] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
	}()
	b := append(make([]byte, 0, len(body)+32), packetCall)
	b = binary.AppendUvarint(b, id)
	b = append(appendText(b, c.m.g.life), body...)
	to := net.UDPAddrFromAddrPort(p.address)
	for wait := callRetry; ; wait *= 2 {
		if _, err := c.m.packets.WriteTo(b, to); err != nil {
			return callAnswer{}, unreached(err, p)
		}
		t := time.NewTimer(wait)
		select {
		case v := <-answer:
			t.Stop()
			return v, nil
		case <-ctx.Done():
			t.Stop()
			return callAnswer{}, unreached(ctx.Err(), p)
		case <-t.C:
		}
	}
}

func unreached(err error, p *peer) error {
	return errors.Mark(errors.Mark(errors.Wrapf(err, "entry %q", p.Node), errPeer), table.ErrUnavailable)
}

// answer takes the answer to a call of this entry.
func (c *calls) answer(b []byte) bool {
	p := packet{b: b}
	id, life := p.uvarint(), p.text()
	v := callAnswer{value: p.uvarint(), text: p.text()}
	if p.bad || life != c.m.g.life {
		return !p.bad
	}
	c.mu.Lock()
	waiting := c.waiting[id]
	c.mu.Unlock()
	if waiting != nil {
		select {
		case waiting <- v:
		default: // an answer to a call that was sent again
		}
	}
	return true
}

// serve answers a call of another entry.
func (c *calls) serve(b []byte, from net.Addr) bool {
	p := packet{b: b}
	id, life := p.uvarint(), p.text()
	kind := p.byte()
	if p.bad {
		return false
	}
	reply := func(v callAnswer) {
		b := append(make([]byte, 0, 32), packetAnswer)
		b = appendText(binary.AppendUvarint(appendText(binary.AppendUvarint(b, id), life), v.value), v.text)
		if _, err := c.m.packets.WriteTo(b, from); err != nil {
			c.m.g.metrics.digestErrors.Inc(1)
		}
	}
	switch kind {
	case callReserve:
		call := reserveCall{Program: p.text(), ID: p.text(), Total: int(p.uvarint()), Most: int(p.uvarint()), Line: p.text()}
		if p.bad {
			return false
		}
		c.serveReserve(call, reply)
	case callSettle:
		call := settleCall{Program: p.text(), ID: p.text(), Used: int(p.uvarint()), Line: p.text(), Upstream: p.text()}
		if p.bad {
			return false
		}
		c.m.g.budgets.settleHere(call)
		reply(callAnswer{})
	case callGranted:
		n := p.notice()
		if p.bad {
			return false
		}
		c.m.g.budgets.hear(n)
		reply(callAnswer{})
	case callKnown:
		program := p.text()
		if p.bad {
			return false
		}
		reply(callAnswer{value: uint64(c.m.g.budgets.knows(program))})
	default:
		return false
	}
	return true
}

// askNumber is ask with an answer that fits a count of tokens.
func (c *calls) askNumber(ctx context.Context, p *peer, body []byte) (int, error) {
	v, err := c.ask(ctx, p, body)
	return int(min(v.value, math.MaxInt32)), err
}

func (c *calls) serveReserve(call reserveCall, reply func(callAnswer)) {
	b := c.m.g.budgets
	if a := b.tryGrant(call); a.verdict != 0 {
		reply(callAnswer{uint64(a.verdict) | uint64(a.standing)<<standingShift, a.ranAt})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
		defer cancel()
		a, err := b.grant(ctx, call, true)
		if err != nil {
			c.m.g.env.Requests.Warn("budget_not_told").Str("request", call.ID).Str("program", call.Program).Err(err).End()
		}
		reply(callAnswer{uint64(a.verdict) | uint64(a.standing)<<standingShift, a.ranAt})
	}()
}

// reserveAt implements budgetOwners.
func (m *mesh) reserveAt(ctx context.Context, p *peer, r reserveCall) (reserveAnswer, error) {
	b := append(make([]byte, 0, 96), callReserve)
	b = appendText(appendText(b, r.Program), r.ID)
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(r.Total)), uint64(r.Most))
	v, err := m.calls.ask(ctx, p, appendText(b, r.Line))
	answer := reserveAnswer{reserveVerdict(v.value & (1<<standingShift - 1)), v.text, programStanding(v.value >> standingShift)}
	if err != nil {
		return reserveAnswer{verdict: reserveUnknown}, err
	}
	if answer.verdict != reserveGranted && answer.verdict != reserveSpent {
		return answer, errors.Wrapf(table.ErrUnavailable, "owner %q can't tell", p.Node)
	}
	return answer, nil
}

// settleAt implements budgetOwners.
func (m *mesh) settleAt(ctx context.Context, p *peer, s settleCall) error {
	b := append(make([]byte, 0, 64), callSettle)
	b = appendText(appendText(b, s.Program), s.ID)
	b = appendText(appendText(binary.AppendUvarint(b, uint64(s.Used)), s.Line), s.Upstream)
	_, err := m.calls.ask(ctx, p, b)
	return err
}

// owns reports whether this entry counts budgets for others.
func (m *mesh) owns() bool { return m.registered.Load() && !m.g.draining.Load() }

// owner implements budgetOwners by rendezvous hashing over the entries that live.
func (m *mesh) owner(program string) *peer {
	now := time.Now()
	var best *peer
	var weight uint64
	if m.owns() {
		weight = routing.Rendezvous(program, string(m.g.cfg.Node))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		if !p.owns || !alive(p, now) {
			continue
		}
		if w := routing.Rendezvous(program, name); w > weight {
			best, weight = p, w
		}
	}
	return best
}

// ownerSilence is how long after its last digest an entry is no longer asked for
// budgets: a few digests, so that a dead owner delays few turns.
const ownerSilence = time.Second

// alive reports whether a peer was heard lately enough to be asked.
func alive(p *peer, now time.Time) bool { return now.Sub(p.heard) < ownerSilence }

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
	heard := make(chan bool, witnesses)
	asked := 0
	for _, p := range m.ranked(n.Program, witnesses+1, func(p *peer) bool { return alive(p, now) }) {
		if p == nil {
			continue
		}
		asked++
		go func() {
			_, err := m.calls.ask(ctx, p, n.append(append(make([]byte, 0, 48), callGranted)))
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

// Flags of a notice.
const (
	noticeReturned = 1 << iota
	noticeAhead
)

// append encodes a notice.
func (n grantNotice) append(b []byte) []byte {
	flags := uint64(0)
	if n.Returned {
		flags |= noticeReturned
	}
	if n.Ahead {
		flags |= noticeAhead
	}
	b = binary.AppendUvarint(appendText(b, n.Program), uint64(max(0, n.Granted)))
	return binary.AppendUvarint(binary.AppendUvarint(b, uint64(max(0, n.Total))), flags)
}

// notice reads a notice.
func (p *packet) notice() grantNotice {
	n := grantNotice{Program: p.text(), Granted: int(p.uvarint()), Total: int(p.uvarint())}
	flags := p.uvarint()
	n.Returned, n.Ahead = flags&noticeReturned != 0, flags&noticeAhead != 0
	return n
}

// learn implements budgetOwners. Of the entries that lived lately, each that ranked
// among the first for the program has heard of its grants; one that has been there all
// along is enough to know them. When all of them live, no other entry can take itself
// for the owner unheard.
func (m *mesh) learn(ctx context.Context, program string) (int, knowledge) {
	now := time.Now()
	lately := func(p *peer) bool { return now.Sub(p.heard) < ownerSettled || now.Sub(p.listed) < ownerSettled }
	granted := m.g.budgets.knows(program)
	var ask []*peer
	knows, all := knowsNothing, true
	for _, p := range m.ranked(program, witnesses+1, lately) {
		switch {
		case p == nil && m.settled.Load():
			knows = knowsGrants
		case p != nil && p.settled && alive(p, now):
			ask = append(ask, p)
		case p != nil && p.leaving:
		default:
			all = false
		}
	}
	for _, p := range ask {
		if knows != knowsNothing {
			break
		}
		n, err := m.calls.askNumber(ctx, p, appendText(append(make([]byte, 0, 48), callKnown), program))
		if err == nil {
			granted, knows = max(granted, n), knowsGrants
		}
	}
	if knows == knowsGrants && all {
		knows = knowsAlone
	}
	return granted, knows
}

// settle makes this entry one that has been there all along: it learns what those that
// have been know.
func (m *mesh) settle(ctx context.Context) {
	if m.g.cfg.FirstStart {
		m.settled.Store(true)
		return
	}
	for ctx.Err() == nil && !m.settled.Load() {
		sleep(ctx, settleInterval)
		m.settled.Store(m.learnAll(ctx))
	}
}

// learnAll asks all settled entries for what they know. It reports whether there are
// such and all have answered.
func (m *mesh) learnAll(ctx context.Context) bool {
	now := time.Now()
	m.mu.Lock()
	var from []string
	for _, p := range m.peers {
		if p.settled && alive(p, now) {
			from = append(from, p.Mesh)
		}
	}
	m.mu.Unlock()
	for _, address := range from {
		var known []grantNotice
		ctx, cancel := context.WithTimeout(ctx, learnTimeout)
		err := m.client.post(ctx, address, "/grants", struct{}{}, &known)
		cancel()
		if err != nil {
			return false
		}
		for _, n := range known {
			m.g.budgets.hear(n)
		}
	}
	return len(from) > 0
}
