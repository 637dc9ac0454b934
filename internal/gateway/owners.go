package gateway

import (
	"context"
	"encoding/binary"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/ledger"
)

const (
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
	// synchroniseInterval is the wait of an entry that has started before each attempt to fetch the
	// claims that its peers know: a few digest intervals.
	synchroniseInterval = 400 * time.Millisecond
	// claimsTimeout is the timeout of a /claims or /claims/handover request to one peer.
	claimsTimeout = 500 * time.Millisecond
)

// stageShift is the number of bits by which the program's stage is shifted in the value of an
// answer; the bits below hold the outcome.
const stageShift = 4

// waitedShift is the number of bits by which the time since the program's first request, in ms, is
// shifted. Earlier builds read 8 bits of the stage and ignore those above.
const waitedShift = stageShift + 8

// pendingFlag is set in the value of an answer if the turn must begin in the row. Earlier builds take it for a part of the
// stage; they don't get it.
const pendingFlag = 1 << (waitedShift - 1)

// limitShift is the number of bits by which the tokens of a limited reservation are shifted. Only an entry
// that named the least number of tokens gets a limit.
const limitShift = 40

// Kinds of questions between entries about budgets.
const (
	// callReserve reserves tokens for a turn at the owner of the program's budget.
	callReserve = 'r'
	// callSettle ends a reservation.
	callSettle = 's'
	// callGrantNotice announces a grant for a program.
	callGrantNotice = 'g'
	// callGrantsFor asks for the grants of a program that the receiver knows.
	callGrantsFor = 'k'
	// callRelease asks the receiver to return the unused tokens of its block of a program to the row.
	callRelease = 'u'
	// callBegin records that a turn begins whose tokens the receiver reserved.
	callBegin = 'b'
	// callTurnStoredBy asks which entry stored a turn and has it in memory.
	callTurnStoredBy = 'w'
)

// budgetPeers asks other entries about budgets and answers them. It implements budgetOwners.
type budgetPeers struct {
	g *Gateway
	// synchronised reports whether this entry knows every claim that its node has acknowledged: it has
	// received those that its peers knew when it started, or all entries started for the first time.
	synchronised atomic.Bool

	// mu guards handedOver, which maps nodes to the last handover of their claims to this entry.
	mu         sync.Mutex
	handedOver map[string]handover
}

var _ budgetOwners = (*budgetPeers)(nil)

// join registers the flag, the questions and the message of budgets.
func (o *budgetPeers) join() {
	m := o.g.mesh
	m.AddFlag(mesh.FlagSynchronised, o.synchronised.Load)
	o.joinClaims()
	m.HandleQuestion(callReserve, func(q mesh.Question) {
		call := reserveCall{
			Program: q.Text(), ID: q.Text(), Total: readTokens(q.Reader), MaxTokens: readTokens(q.Reader),
			Conversation: q.Text(), Durable: q.Bool(),
		}
		if q.More() { // builds before end here, and know no limit of an answer
			call.Least = readTokens(q.Reader)
		}
		if q.More() && q.Bool() { // builds before end here, and don't tell when a turn begins
			call.Process = o.processName(q.From)
		}
		if !q.Malformed() {
			o.handleReserve(call, q.Reply)
		}
	})
	m.HandleQuestion(callSettle, func(q mesh.Question) {
		call := settleCall{
			Program: q.Text(), ID: q.Text(), Used: readTokens(q.Reader), Conversation: q.Text(), Upstream: q.Text(),
			Stored: q.Bool(), StoredBy: q.From,
		}
		if !q.Malformed() {
			o.g.budgets.settleLocal(call)
			q.Reply(mesh.Answer{})
		}
	})
	m.HandleQuestion(callBegin, func(q mesh.Question) {
		if program, id := q.Text(), q.Text(); !q.Malformed() {
			go o.handleBegin(program, id, q.Reply)
		}
	})
	m.HandleQuestion(callGrantNotice, func(q mesh.Question) {
		if n := readNotice(q.Reader); !q.Malformed() {
			o.g.budgets.applyNotice(n)
			q.Reply(mesh.Answer{})
		}
	})
	m.HandleQuestion(callGrantsFor, func(q mesh.Question) {
		if program := q.Text(); !q.Malformed() {
			// Value tells whether the claims below are all that this node has acknowledged. It is read first: a
			// claim acknowledged later is not handed over at the shutdown of this entry.
			value := witnessIncomplete
			if o.isWitness() {
				value = witnessComplete
			}
			q.Reply(mesh.Answer{Value: value, Text: encodeGrants(o.g.budgets.grantsFor(program))})
		}
	})
	m.HandleQuestion(callRelease, func(q mesh.Question) {
		program := q.Text()
		if q.Malformed() {
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
			defer cancel()
			released := uint64(0)
			if o.g.budgets.release(ctx, program) {
				released = 1
			}
			q.Reply(mesh.Answer{Value: released})
		}()
	})
	m.HandleQuestion(callTurnStoredBy, func(q mesh.Question) {
		if program, turn := q.Text(), q.Text(); !q.Malformed() {
			q.Reply(mesh.Answer{Text: o.g.budgets.storedBy(program, turn)})
		}
	})
	m.HandleMessage("/grants", func(w http.ResponseWriter, r *http.Request) {
		m.WriteAnswer(w, r, o.g.budgets.allGrants())
	})
}

// owner implements budgetOwners.
func (o *budgetPeers) owner(program string) *mesh.Peer { return o.g.mesh.Owner(program) }

// handleReserve reserves tokens for a turn that another entry serves. It answers at once if the
// tokens at this entry suffice or the reservation is refused. Otherwise it answers after an
// attempt to draw or grant more tokens; if that fails, the outcome is reserveUnknown.
func (o *budgetPeers) handleReserve(call reserveCall, reply func(mesh.Answer)) {
	b := o.g.budgets
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
			o.g.env.Requests.Warn("budget_not_told").Str("request", call.ID).Str("program", call.Program).Err(err).End()
		}
		reply(a.encode())
	}()
}

// encode packs the answer to a reservation: the outcome in the low bits of the value and the
// stage above it.
func (a reserveAnswer) encode() mesh.Answer {
	pending := uint64(0)
	if a.pending {
		pending = pendingFlag
	}
	return mesh.Answer{Value: pending | uint64(a.outcome) | uint64(a.stage)<<stageShift | uint64(min(max(0, a.waited.Milliseconds()), budgetIdle.Milliseconds()))<<waitedShift | uint64(a.tokens)<<limitShift, Text: a.lastUpstream}
}

// decodeReserveAnswer unpacks the answer to a reservation.
func decodeReserveAnswer(v mesh.Answer) reserveAnswer {
	return reserveAnswer{
		outcome: reserveOutcome(v.Value & (1<<stageShift - 1)), lastUpstream: v.Text,
		stage: programStage(v.Value & (pendingFlag - 1) >> stageShift), pending: v.Value&pendingFlag != 0, waited: time.Duration(min(v.Value&(1<<limitShift-1)>>waitedShift, uint64(budgetIdle.Milliseconds()))) * time.Millisecond,
		tokens: int(v.Value >> limitShift),
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

// reserveAt implements budgetOwners. The owner gets more time while the table fails.
func (o *budgetPeers) reserveAt(ctx context.Context, p *mesh.Peer, r reserveCall) (reserveAnswer, error) {
	b := mesh.AppendText(mesh.AppendText(make([]byte, 0, 96), r.Program), r.ID)
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(r.Total)), uint64(r.MaxTokens))
	b = binary.AppendUvarint(mesh.AppendBool(mesh.AppendText(b, r.Conversation), r.Durable), uint64(r.Least))
	b = mesh.AppendBool(b, true) // this build tells when the turn begins
	timeout := peerCallTimeout
	if o.g.table.FailedRecently() {
		timeout = peerCallTimeoutDegraded
	}
	v, err := o.g.mesh.Ask(ctx, p, timeout, callReserve, b)
	answer := decodeReserveAnswer(v)
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
func (o *budgetPeers) turnStoredBy(ctx context.Context, program, turn string) string {
	if program == "" {
		return ""
	}
	owner := o.owner(program)
	if owner == nil {
		return o.g.budgets.storedBy(program, turn)
	}
	b := mesh.AppendText(mesh.AppendText(make([]byte, 0, 64), program), turn)
	v, err := o.g.mesh.Ask(ctx, owner, turnStoredByTimeout, callTurnStoredBy, b)
	if err != nil {
		o.g.metrics.chainQueriesFailed.Inc(1)
		return ""
	}
	return v.Text
}

// releaseAt implements budgetOwners. The name of a holder is NODE/INCARNATION/NUMBER.
func (o *budgetPeers) releaseAt(ctx context.Context, program string, holders []string) bool {
	now, asked := time.Now(), map[string]bool{}
	answers := make(chan bool, len(holders))
	for _, holder := range holders {
		parts := strings.Split(holder, "/")
		if len(parts) < 3 || asked[parts[len(parts)-2]] {
			continue
		}
		incarnation := parts[len(parts)-2]
		p := o.g.mesh.ByIncarnation(incarnation)
		if p == nil || !o.g.mesh.Responsive(p, now) {
			continue
		}
		asked[incarnation] = true
		go func() {
			v, err := o.g.mesh.Ask(ctx, p, peerCallTimeout, callRelease, mesh.AppendText(nil, program))
			answers <- err == nil && v.Value == 1
		}()
	}
	released := false
	for range asked {
		released = <-answers || released
	}
	return released
}

// settleAt implements budgetOwners. StoredBy is not encoded: the receiver takes it from the
// sender's incarnation, which each call carries.
func (o *budgetPeers) settleAt(ctx context.Context, p *mesh.Peer, s settleCall) error {
	b := mesh.AppendText(mesh.AppendText(make([]byte, 0, 64), s.Program), s.ID)
	b = mesh.AppendText(mesh.AppendText(binary.AppendUvarint(b, uint64(s.Used)), s.Conversation), s.Upstream)
	_, err := o.g.mesh.Ask(ctx, p, peerCallTimeout, callSettle, mesh.AppendBool(b, s.Stored))
	return err
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
	b = binary.AppendUvarint(mesh.AppendText(mesh.AppendText(b, n.Program), n.Holder), uint64(max(0, n.Granted)))
	return binary.AppendUvarint(binary.AppendUvarint(b, uint64(max(0, n.Total))), flags)
}

// readNotice decodes a grantNotice.
func readNotice(r *mesh.Reader) grantNotice {
	n := grantNotice{Program: r.Text(), Holder: r.Text(), Granted: readTokens(r), Total: readTokens(r)}
	flags := r.Uvarint()
	n.Returned, n.Provisional = flags&noticeReturned != 0, flags&noticeProvisional != 0
	return n
}

// readTokens reads a number of tokens. One above ledger.MaxTokens makes the packet malformed.
func readTokens(r *mesh.Reader) int {
	n := r.Uvarint()
	if n > ledger.MaxTokens {
		r.Fail()
		return 0
	}
	return int(n)
}

// encodeGrants encodes grants as a string, the form in which mesh.Answer carries them.
func encodeGrants(g ledger.Grants) string {
	var b []byte
	for holder, n := range g {
		b = binary.AppendUvarint(mesh.AppendText(b, holder), uint64(max(0, n)))
	}
	return string(b)
}

// decodeGrants decodes what encodeGrants returned. It returns nil when the text is malformed.
func decodeGrants(text string) ledger.Grants {
	r := mesh.NewReader([]byte(text))
	g := ledger.Grants{}
	for r.More() {
		holder, n := r.Text(), readTokens(r)
		if r.Malformed() {
			return nil
		}
		g[holder] = n
	}
	return g
}
