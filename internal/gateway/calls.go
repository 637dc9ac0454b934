package gateway

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
)

const (
	// callRetry is the wait before a call between entries is sent again; it doubles. An
	// answer takes some 2 ms, and a draw from the table some 8 ms more.
	callRetry = 25 * time.Millisecond
	// callTimeout bounds a call whose owner has what is asked for at hand or draws it.
	callTimeout = 250 * time.Millisecond
	// callTimeoutDegraded bounds it while the table fails: the owner then asks others what
	// was granted, and nothing is gained by a draw of one's own.
	callTimeoutDegraded = 500 * time.Millisecond
	// turnStoredByTimeout bounds the question which entry has a turn at hand; it is read from the
	// table otherwise.
	turnStoredByTimeout = 60 * time.Millisecond
	// recentOwnerWindow is how long an entry that died may still matter for what was granted:
	// as long as a stopped program may come back.
	recentOwnerWindow = time.Minute
	// grantReplicas is the number of entries beside the owner that hear of each grant.
	grantReplicas = 2
	// synchroniseInterval is the wait before an entry that started asks what the others know:
	// some digests.
	synchroniseInterval = 400 * time.Millisecond
	// grantsTimeout bounds the answer of one of them.
	grantsTimeout = 500 * time.Millisecond
)

// standingShift is the place of a program's standing beside the verdict in an answer.
const standingShift = 4

// Calls between entries.
const (
	callReserve = 'r'
	callSettle  = 's'
	// callGrantNotice tells, and callKnown asks, what was granted for a program.
	callGrantNotice = 'g'
	callGrantsFor   = 'k'
	// callTurnStoredBy asks which entry has a kept turn at hand.
	callTurnStoredBy = 'w'
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
	return c.askWithTimeout(ctx, p, callTimeout, body)
}

func (c *calls) askWithTimeout(ctx context.Context, p *peer, timeout time.Duration, body []byte) (callAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	b = append(appendText(b, c.m.g.incarnation), body...)
	to := net.UDPAddrFromAddrPort(p.address)
	for wait := callRetry; ; wait *= 2 {
		if _, err := c.m.packetConn.WriteTo(b, to); err != nil {
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
	return errors.Mark(errors.Mark(errors.Wrapf(err, "entry %q", p.Node), errPeerUnreachable), platformapi.ErrUnavailable)
}

// answer takes the answer to a call of this entry.
func (c *calls) answer(b []byte) bool {
	p := packetReader{b: b}
	id, life := p.uvarint(), p.text()
	v := callAnswer{value: p.uvarint(), text: p.text()}
	if p.malformed || life != c.m.g.incarnation {
		return !p.malformed
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
	p := packetReader{b: b}
	id, life := p.uvarint(), p.text()
	kind := p.byte()
	if p.malformed {
		return false
	}
	reply := func(v callAnswer) {
		b := append(make([]byte, 0, 32), packetAnswer)
		b = appendText(binary.AppendUvarint(appendText(binary.AppendUvarint(b, id), life), v.value), v.text)
		if _, err := c.m.packetConn.WriteTo(b, from); err != nil {
			c.m.g.metrics.digestErrors.Inc(1)
		}
	}
	switch kind {
	case callReserve:
		call := reserveCall{
			Program: p.text(), ID: p.text(), Total: int(p.uvarint()), MaxTokens: int(p.uvarint()),
			Conversation: p.text(), Durable: p.byte() == 1,
		}
		if p.malformed {
			return false
		}
		c.serveReserve(call, reply)
	case callSettle:
		call := settleCall{
			Program: p.text(), ID: p.text(), Used: int(p.uvarint()), Conversation: p.text(), Upstream: p.text(),
			Stored: p.byte() == 1, StoredBy: life,
		}
		if p.malformed {
			return false
		}
		c.m.g.budgets.settleLocal(call)
		reply(callAnswer{})
	case callGrantNotice:
		n := p.notice()
		if p.malformed {
			return false
		}
		c.m.g.budgets.applyNotice(n)
		reply(callAnswer{})
	case callGrantsFor:
		program := p.text()
		if p.malformed {
			return false
		}
		reply(callAnswer{text: encodeGrants(c.m.g.budgets.grantsFor(program))})
	case callTurnStoredBy:
		program, turn := p.text(), p.text()
		if p.malformed {
			return false
		}
		reply(callAnswer{text: c.m.g.budgets.storedBy(program, turn)})
	default:
		return false
	}
	return true
}

func (c *calls) serveReserve(call reserveCall, reply func(callAnswer)) {
	b := c.m.g.budgets
	if a := b.tryGrant(call); a.outcome != 0 {
		reply(a.encode())
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
		defer cancel()
		a, err := b.grant(ctx, call, true)
		if err != nil {
			c.m.g.env.Requests.Warn("budget_not_told").Str("request", call.ID).Str("program", call.Program).Err(err).End()
		}
		reply(a.encode())
	}()
}

func (a reserveAnswer) encode() callAnswer {
	return callAnswer{value: uint64(a.outcome) | uint64(a.stage)<<standingShift, text: a.lastUpstream}
}

func (v callAnswer) reserveAnswer() reserveAnswer {
	return reserveAnswer{
		outcome: reserveOutcome(v.value & (1<<standingShift - 1)), lastUpstream: v.text,
		stage: programStage(v.value >> standingShift),
	}
}

// Flags of a notice.
const (
	noticeReturned = 1 << iota
	noticeProvisional
)
