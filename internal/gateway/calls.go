package gateway

import (
	"context"
	"encoding/binary"
	"net"
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
	// ownerSettled is how long the entries must have been the same for an owner to know
	// what was granted for its programs: programs last some ten seconds.
	ownerSettled = 30 * time.Second
)

// Calls between entries.
const (
	callReserve = 'r'
	callSettle  = 's'
)

// calls are short questions between entries, one datagram each way. Each is repeatable,
// as a lost datagram is sent again.
type calls struct {
	m *mesh

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan byte
}

func newCalls(m *mesh) *calls { return &calls{m: m, waiting: map[uint64]chan byte{}} }

// ask sends a call to a peer and waits for its one-byte answer.
func (c *calls) ask(ctx context.Context, p *peer, body []byte) (byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer := make(chan byte, 1)
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
			return 0, errors.Mark(errors.Wrap(err, "call to entry"), table.ErrUnavailable)
		}
		t := time.NewTimer(wait)
		select {
		case v := <-answer:
			t.Stop()
			return v, nil
		case <-ctx.Done():
			t.Stop()
			return 0, errors.Mark(errors.Wrapf(ctx.Err(), "entry %q does not answer", p.Node), table.ErrUnavailable)
		case <-t.C:
		}
	}
}

// answer takes the answer to a call of this entry.
func (c *calls) answer(b []byte) bool {
	p := packet{b: b}
	id, life, v := p.uvarint(), p.text(), p.byte()
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
	reply := func(v byte) {
		b := append(make([]byte, 0, 32), packetAnswer)
		b = append(appendText(binary.AppendUvarint(b, id), life), v)
		if _, err := c.m.packets.WriteTo(b, from); err != nil {
			c.m.g.metrics.digestErrors.Inc(1)
		}
	}
	switch kind {
	case callReserve:
		call := reserveCall{Program: p.text(), ID: p.text(), Total: int(p.uvarint()), Most: int(p.uvarint())}
		if p.bad {
			return false
		}
		c.serveReserve(call, reply)
	case callSettle:
		call := settleCall{Program: p.text(), ID: p.text(), Used: int(p.uvarint())}
		if p.bad {
			return false
		}
		c.m.g.budgets.settleHere(call)
		reply(byte(reserveGranted))
	default:
		return false
	}
	return true
}

func (c *calls) serveReserve(call reserveCall, reply func(byte)) {
	b := c.m.g.budgets
	if v := b.tryGrant(call); v != 0 {
		reply(byte(v))
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
		defer cancel()
		v, err := b.grant(ctx, call)
		if err != nil {
			c.m.g.env.Requests.Warn("budget_not_told").Str("request", call.ID).Str("program", call.Program).Err(err).End()
		}
		reply(byte(v))
	}()
}

// reserveAt implements budgetOwners.
func (m *mesh) reserveAt(ctx context.Context, p *peer, r reserveCall) (reserveVerdict, error) {
	b := append(make([]byte, 0, 64), callReserve)
	b = appendText(appendText(b, r.Program), r.ID)
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(r.Total)), uint64(r.Most))
	v, err := m.calls.ask(ctx, p, b)
	if err != nil {
		return reserveUnknown, err
	}
	if reserveVerdict(v) == reserveUnknown {
		return reserveUnknown, errors.Wrapf(table.ErrUnavailable, "owner %q can't tell", p.Node)
	}
	return reserveVerdict(v), nil
}

// settleAt implements budgetOwners.
func (m *mesh) settleAt(ctx context.Context, p *peer, s settleCall) error {
	b := append(make([]byte, 0, 64), callSettle)
	b = appendText(appendText(b, s.Program), s.ID)
	b = binary.AppendUvarint(b, uint64(s.Used))
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
		if !p.owns || now.Sub(p.heard) > ownerSilence {
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

// soleOwner implements budgetOwners. An entry that died or joined lately may have
// granted tokens for the programs that are or were its own.
func (m *mesh) soleOwner(program string) bool {
	now := time.Now()
	if !m.owns() || !m.g.cfg.FirstStart && now.Sub(m.g.started) < ownerSettled {
		return false
	}
	weight := routing.Rendezvous(program, string(m.g.cfg.Node))
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		lately := now.Sub(p.heard) < ownerSettled || now.Sub(p.listed) < ownerSettled
		if lately && routing.Rendezvous(program, name) > weight {
			return false
		}
	}
	return true
}
