package gateway

import (
	"context"
	"encoding/binary"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/limits"
	"github.com/buckthornroute/buckthornroute/resume"
)

const (
	// peerCallRetryDelay is the wait before the first resend of a call; it doubles with each
	// resend. An answer takes about 2 ms, and about 8 ms more if tokens are drawn from the table
	// for it.
	peerCallRetryDelay = 25 * time.Millisecond
	// peerCallTimeout is the timeout of a call whose receiver has the answer in memory or draws
	// tokens from the table for it.
	peerCallTimeout = 250 * time.Millisecond
	// peerCallTimeoutDegraded replaces peerCallTimeout for a reservation if a call to the table
	// failed recently. The owner then asks other entries for their grants before it answers, and
	// the entry that waits probably can't draw tokens from the table itself either.
	peerCallTimeoutDegraded = 500 * time.Millisecond
	// turnStoredByTimeout is the timeout of a callTurnStoredBy call. Without an answer the turn is
	// read from the table.
	turnStoredByTimeout = 60 * time.Millisecond
	// recentOwnerWindow is how long after the last digest of an entry its grants still matter: a
	// program that has stopped may resume within this time.
	recentOwnerWindow = time.Minute
	// grantReplicas is the number of entries, besides the owner, to which each grant is announced.
	grantReplicas = 2
	// synchroniseInterval is the wait of an entry that has started before each attempt to fetch the
	// grants that its peers know: a few digest intervals.
	synchroniseInterval = 400 * time.Millisecond
	// grantsTimeout is the timeout of a /grants request to one peer.
	grantsTimeout = 500 * time.Millisecond
)

// stageShift is the number of bits by which the program's stage is shifted in the value of an
// answer; the bits below hold the outcome.
const stageShift = 4

// waitedShift is the number of bits by which the time since the program's first request, in ms, is
// shifted. Earlier builds read 8 bits of the stage and ignore those above.
const waitedShift = stageShift + 8

// Kinds of calls between entries.
const (
	// callReserve reserves tokens for a turn at the owner of the program's budget.
	callReserve = 'r'
	// callSettle ends a reservation.
	callSettle = 's'
	// callGrantNotice announces a grant for a program.
	callGrantNotice = 'g'
	// callGrantsFor asks for the grants of a program that the receiver knows.
	callGrantsFor = 'k'
	// callTurnStoredBy asks which entry stored a turn and has it in memory.
	callTurnStoredBy = 'w'
	// callPermit asks for a permit to send a call to a limited upstream.
	callPermit = 'p'
	// callStreamOrigin asks where a stream began.
	callStreamOrigin = 'o'
)

// peerCalls makes short calls to other entries and answers theirs. In this file a call is one
// between entries, not one of a caller or of the table. A call and its answer take one datagram
// each. All calls are idempotent, because a call is sent again if its datagram or that of the
// answer was lost.
//
// After the kind of packet, a call carries its id, the sender's incarnation, the kind of call
// and the fields of that kind. The answer carries the id and the incarnation of the call, and
// then a callAnswer. An entry ignores answers to the calls of its earlier incarnations.
type peerCalls struct {
	m *mesh

	mu sync.Mutex
	// lastID is the id of the newest call.
	lastID uint64
	// waiting maps the id of each call without an answer to the channel that takes the answer.
	waiting map[uint64]chan callAnswer
}

// callAnswer is the answer to a call: a number and, for some calls, a text.
type callAnswer struct {
	value uint64
	text  string
}

func newPeerCalls(m *mesh) *peerCalls { return &peerCalls{m: m, waiting: map[uint64]chan callAnswer{}} }

// ask sends a call to a peer and waits up to peerCallTimeout for the answer.
func (c *peerCalls) ask(ctx context.Context, p *peer, body []byte) (callAnswer, error) {
	return c.askWithTimeout(ctx, p, peerCallTimeout, body)
}

// askWithTimeout is ask with another timeout. It resends the call until the answer arrives.
func (c *peerCalls) askWithTimeout(ctx context.Context, p *peer, timeout time.Duration, body []byte) (callAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer := make(chan callAnswer, 1)
	c.mu.Lock()
	c.lastID++
	id := c.lastID
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
	to := net.UDPAddrFromAddrPort(p.udpAddr)
	for wait := peerCallRetryDelay; ; wait *= 2 {
		if _, err := c.m.packetConn.WriteTo(b, to); err != nil {
			return callAnswer{}, markUnreachable(err, p)
		}
		t := time.NewTimer(wait)
		select {
		case v := <-answer:
			t.Stop()
			return v, nil
		case <-ctx.Done():
			t.Stop()
			return callAnswer{}, markUnreachable(ctx.Err(), p)
		case <-t.C:
		}
	}
}

// markUnreachable names the peer in the error of a call and marks the error as
// errPeerUnreachable and as platformapi.ErrUnavailable.
func markUnreachable(err error, p *peer) error {
	return errors.Mark(errors.Mark(errors.Wrapf(err, "call to entry %q", p.Node), errPeerUnreachable), platformapi.ErrUnavailable)
}

// handleAnswer passes the answer to a call of this entry to the goroutine that waits for it. It
// reports whether the answer is well-formed.
func (c *peerCalls) handleAnswer(b []byte) bool {
	p := packetReader{b: b}
	id, incarnation := p.uvarint(), p.text()
	v := callAnswer{value: p.uvarint(), text: p.text()}
	if p.malformed || incarnation != c.m.g.incarnation {
		return !p.malformed
	}
	c.mu.Lock()
	waiting := c.waiting[id]
	c.mu.Unlock()
	if waiting != nil {
		select {
		case waiting <- v:
		default: // a second answer: the call was sent again
		}
	}
	return true
}

// handleCall carries out a call of another entry and answers it. It reports whether the call is
// well-formed.
func (c *peerCalls) handleCall(b []byte, from net.Addr) bool {
	p := packetReader{b: b}
	id, incarnation := p.uvarint(), p.text()
	kind := p.byte()
	if p.malformed {
		return false
	}
	reply := func(v callAnswer) {
		b := append(make([]byte, 0, 32), packetAnswer)
		b = appendText(binary.AppendUvarint(appendText(binary.AppendUvarint(b, id), incarnation), v.value), v.text)
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
		c.handleReserve(call, reply)
	case callSettle:
		call := settleCall{
			Program: p.text(), ID: p.text(), Used: int(p.uvarint()), Conversation: p.text(), Upstream: p.text(),
			Stored: p.byte() == 1, StoredBy: incarnation,
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
	case callStreamOrigin:
		key := resume.Key(p.uint64())
		if p.malformed {
			return false
		}
		reply(c.m.g.origins.answer(key))
	case callPermit:
		upstream := p.uvarint()
		s, maxWait := p.statement(time.Now()), time.Duration(p.uvarint())*time.Millisecond
		if p.malformed {
			return false
		}
		question := incarnation + "/" + strconv.FormatUint(id, 10)
		reply(c.m.g.limits.answerPermit(question, incarnation, upstream, s, min(maxWait, limits.Horizon)))
	default:
		return false
	}
	return true
}

// handleReserve reserves tokens for a turn that another entry serves. It answers at once if the
// tokens at this entry suffice or the reservation is refused. Otherwise it answers after an
// attempt to draw or grant more tokens; if that fails, the outcome is reserveUnknown.
func (c *peerCalls) handleReserve(call reserveCall, reply func(callAnswer)) {
	b := c.m.g.budgets
	if a := b.tryGrant(call); a.outcome != 0 {
		reply(a.encode())
		return
	}
	// More tokens must be obtained. The caller of handleReserve receives all packets and must
	// not wait for them.
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

// encode packs the answer to a reservation: the outcome in the low bits of the value and the
// stage above it.
func (a reserveAnswer) encode() callAnswer {
	return callAnswer{value: uint64(a.outcome) | uint64(a.stage)<<stageShift | uint64(max(0, a.waited.Milliseconds()))<<waitedShift, text: a.lastUpstream}
}

// reserveAnswer unpacks the answer to a reservation.
func (v callAnswer) reserveAnswer() reserveAnswer {
	return reserveAnswer{
		outcome: reserveOutcome(v.value & (1<<stageShift - 1)), lastUpstream: v.text,
		stage: programStage(v.value >> stageShift), waited: time.Duration(min(v.value>>waitedShift, uint64(budgetIdle.Milliseconds()))) * time.Millisecond,
	}
}

// Flags of a grantNotice.
const (
	// noticeReturned is set if tokens were returned, so that a smaller count replaces a
	// greater one.
	noticeReturned = 1 << iota
	// noticeProvisional is set if a part of the grant is not recorded in the budget's row yet.
	noticeProvisional
)
