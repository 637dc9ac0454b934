package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/reqlog"
	"github.com/buckthornroute/buckthornroute/ledger"
)

// errBudgetSpent reports that a program's budget does not hold another turn.
var errBudgetSpent = errors.New("the program's token budget is spent")

const (
	// rowPartitions is the number of table partitions over which rows are spread. With 1024,
	// concurrent calls rarely use the same partition, even while the table takes 240 ms for
	// each transaction.
	rowPartitions = 1024
	// maxDrawAttempts bounds the compare-and-swaps of one draw; each failed one means that
	// another entry has drawn.
	maxDrawAttempts = 6
	// drawTimeout bounds how long a turn waits for its draw.
	drawTimeout = 900 * time.Millisecond
	// provisionalAfter is how long an owner waits for the row before it grants tokens
	// provisionally: about 10 times the table's usual latency.
	provisionalAfter = 60 * time.Millisecond
	// budgetIdle is how long an account without turns stays in memory. Consecutive turns of
	// a program are only seconds apart.
	budgetIdle = 2 * time.Minute
	// settleAttempts is the number of times that the end of a reservation is sent to the
	// owner, settleTimeout the time that each of them may take.
	settleAttempts = 3
	settleTimeout  = 150 * time.Millisecond
	// provisionalTimeout bounds the calls to other entries that a provisional grant needs.
	provisionalTimeout = 200 * time.Millisecond
	// recordForOwnerAfter is how long an owner has to record its provisional grants once the
	// row is reachable, before the entries that were notified of them do it. In that time
	// the owner makes several attempts.
	recordForOwnerAfter = 2 * time.Second
	// recordInterval is the time between two checks for unrecorded provisional grants.
	recordInterval = 250 * time.Millisecond
)

// budgetOwners finds the entry that owns a program's budget, and calls other entries.
type budgetOwners interface {
	// owner returns the peer that owns the program's budget; nil when this entry does.
	owner(program string) *peer
	// reserveAt reserves tokens at the peer p; settleAt ends a reservation there.
	reserveAt(ctx context.Context, p *peer, r reserveCall) (reserveAnswer, error)
	settleAt(ctx context.Context, p *peer, s settleCall) error
	// collectGrants returns the grants of the program that entries know of, and how complete
	// that view is.
	collectGrants(ctx context.Context, program string) (granted ledger.Grants, view grantView)
	// announce notifies the entries that rank next as owners of the program of a grant. It
	// reports whether at least one of them has received the notice.
	announce(ctx context.Context, n grantNotice) bool
}

// reserveCall asks the owner to reserve the tokens of a turn.
type reserveCall struct {
	Program string
	// ID identifies the reservation. Repeated calls with the same ID are granted once.
	ID string
	// Total is the program's budget, MaxTokens the most tokens that the turn generates.
	Total     int
	MaxTokens int
	// Conversation identifies the sequence of turns that the turn belongs to.
	Conversation string
	// Durable reports whether the turn ends only once it is stored in the table.
	Durable bool
}

// settleCall ends a reservation.
type settleCall struct {
	Program string
	ID      string
	// Used is the number of tokens delivered to the caller.
	Used int
	// Conversation is that of the turn; Upstream is where it ran, empty when it did not run.
	Conversation string
	Upstream     string
	// Stored reports whether the turn was stored in the table. StoredBy is the incarnation
	// of the entry that stored it and still has it in memory.
	Stored   bool
	StoredBy string
}

// reserveOutcome is an owner's answer to a reserveCall; 0 means that a draw is needed first.
type reserveOutcome uint8

const (
	reserveGranted reserveOutcome = iota + 1
	reserveSpent
	reserveUnknown
)

// reserveAnswer is the answer to a reserveCall.
type reserveAnswer struct {
	outcome reserveOutcome
	// lastUpstream is where the conversation's last turn ran, or else the program's; it may
	// be empty.
	lastUpstream string
	// stage is that of the program, apart from this turn.
	stage programStage
}

// programStage reports whether a program has started to run turns.
type programStage uint8

const (
	// programStarted: at least one of its turns has run or is running.
	programStarted programStage = iota
	// programNew: none of its turns has run, and this is the first request for one.
	programNew
	// programRetried: none of its turns has run, and an earlier turn was requested.
	programRetried
)

// budgets manages the token budgets of the programs that this entry owns, and calls the
// owners of other programs. Any entry may draw from a program's row, so an unreachable
// owner delays no turn.
type budgets struct {
	table   platformapi.Table
	commits *committer
	owners  budgetOwners
	expiry  *expiry
	lines   *reqlog.Logger
	// holder is the name of this entry's incarnation in budget rows.
	holder      string
	incarnation string
	// keyUnreachable reports whether the row of a key is known to be unreachable now.
	keyUnreachable func(key string) bool
	// tableFailedRecently reports whether calls to the table have failed lately.
	tableFailedRecently func() bool
	// tableUnreachable reports whether the table is unreachable, directly and through other
	// entries.
	tableUnreachable func() bool
	// tableSlow reports whether a turn would wait long for a draw.
	tableSlow func() bool

	mu       sync.Mutex
	accounts map[string]*programBudget
	// known holds the grants that other entries announced for programs that this entry may
	// own next.
	known map[string]*knownGrants
}

// programBudget is the state of one program's budget at this entry.
type programBudget struct {
	account *ledger.Account
	// open maps the id of each open reservation to its tokens. ended contains the ids of
	// settled reservations; an id may be in there before the reservation is granted, because
	// the entry that requested it may have given up.
	open  map[string]int
	ended map[string]bool
	// drawing is closed when the draw that turns wait for ends; nil when there is none.
	drawing chan struct{}
	// pendingDraw is the draw from the row in flight; it may outlast the turn that started it.
	pendingDraw *rowDraw
	lastUsed    time.Time
	runaway     ledger.RunawayDetector
	// lastRequest is the id of the newest reservation requested, so that a repeated request
	// is counted once in requests.
	lastRequest string
	requests    int
	// upstreamOf maps each conversation to the upstream of its last turn; lastUpstream is
	// that of the program's last turn.
	upstreamOf   map[string]string
	lastUpstream string
	// storedBy maps each stored turn to the incarnation of the entry that has it in memory.
	storedBy map[string]string
}

func newBudgets(l *tableClient, c *committer, owners budgetOwners, e *expiry, lines *reqlog.Logger, holder, incarnation string) *budgets {
	return &budgets{
		table: l, commits: c, owners: owners, expiry: e, lines: lines, holder: holder, incarnation: incarnation, keyUnreachable: l.unreachableFor, tableFailedRecently: l.failedRecently, tableSlow: l.slow, tableUnreachable: l.unreachable,
		accounts: map[string]*programBudget{}, known: map[string]*knownGrants{},
	}
}

// reservation is the number of tokens that one turn may generate, set aside from its
// program's budget.
type reservation struct {
	b *budgets
	// owner is the entry that granted it; nil when this entry did.
	owner *peer
	call  reserveCall
	// lastUpstream is where the conversation's last turn ran, or else the program's; empty
	// when that is unknown.
	lastUpstream string
	stage        programStage
}

// reserve sets aside the tokens of a turn. It returns errBudgetSpent when the budget does
// not hold them, or an error marked ErrUnavailable when that can't be determined now.
func (b *budgets) reserve(ctx context.Context, call reserveCall) (*reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	owner := b.owners.owner(call.Program)
	answer := reserveAnswer{outcome: reserveUnknown}
	var err error
	if owner != nil {
		answer, err = b.owners.reserveAt(ctx, owner, call)
	}
	switch {
	case owner == nil:
		answer, err = b.grant(ctx, call, true)
	case errors.Is(err, errPeerUnreachable):
		// The owner may still grant this reservation later, and no turn would use it.
		go b.sendSettle(context.WithoutCancel(ctx), owner, settleCall{Program: call.Program, ID: call.ID})
		// Any entry may draw from the row. Only the owner grants provisionally, and only the
		// owner can determine that the budget is spent.
		owner = nil
		if answer, err = b.grant(ctx, call, false); answer.outcome == reserveSpent {
			answer.outcome, err = reserveUnknown, errPeerUnreachable
		}
	}
	switch answer.outcome {
	case reserveGranted:
		return &reservation{b: b, owner: owner, call: call, lastUpstream: answer.lastUpstream, stage: answer.stage}, nil
	case reserveSpent:
		return nil, errBudgetSpent
	default:
		if err == nil {
			err = platformapi.ErrUnavailable
		}
		return nil, errors.Mark(errors.Wrapf(err, "reserve %d tokens for program %q", call.MaxTokens, call.Program), platformapi.ErrUnavailable)
	}
}

// settle ends the reservation. used is the number of tokens delivered to the caller,
// upstream is where the turn ran, and stored reports whether the turn was stored.
func (r *reservation) settle(used int, upstream string, stored bool) {
	if r == nil {
		return
	}
	s := settleCall{Program: r.call.Program, ID: r.call.ID, Used: used, Conversation: r.call.Conversation, Upstream: upstream, Stored: stored, StoredBy: r.b.incarnation}
	if r.owner == nil {
		r.b.settleLocal(s)
		return
	}
	go r.b.sendSettle(context.Background(), r.owner, s)
}

// sendSettle sends the end of a reservation to the owner. Until the owner receives it, all
// reserved tokens of the turn count as used.
func (b *budgets) sendSettle(ctx context.Context, owner *peer, s settleCall) {
	for range settleAttempts {
		once, cancel := context.WithTimeout(ctx, settleTimeout)
		err := b.owners.settleAt(once, owner, s)
		cancel()
		if err == nil {
			return
		}
	}
	b.commits.metrics.settlementsLost.Inc(1)
}

// settleLocal ends a reservation that this entry granted. It is idempotent, because a call
// may be received twice.
func (b *budgets) settleLocal(s settleCall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pb := b.accounts[s.Program]
	if pb == nil {
		return
	}
	pb.ended[s.ID] = true
	if maxTokens, ok := pb.open[s.ID]; ok {
		delete(pb.open, s.ID)
		pb.account.Settle(maxTokens, s.Used)
		if s.Upstream != "" {
			pb.upstreamOf[s.Conversation], pb.lastUpstream = s.Upstream, s.Upstream
		}
		if s.Stored {
			pb.storedBy[s.ID] = s.StoredBy
		}
	}
}

// storedBy returns the incarnation of the entry that has a stored turn in memory; empty
// when this entry has no record of it.
func (b *budgets) storedBy(program, turn string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if pb := b.accounts[program]; pb != nil {
		return pb.storedBy[turn]
	}
	return ""
}

// tryGrant grants from the tokens already drawn. An outcome of 0 means that a draw is needed.
func (b *budgets) tryGrant(call reserveCall) reserveAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryLocked(b.accountLocked(call), call)
}

// accountLocked returns the budget of the call's program, which it creates if needed, and
// counts the call.
func (b *budgets) accountLocked(call reserveCall) *programBudget {
	pb := b.accounts[call.Program]
	if pb == nil {
		pb = &programBudget{
			account: ledger.NewAccount(call.Total), open: map[string]int{}, ended: map[string]bool{},
			upstreamOf: map[string]string{}, storedBy: map[string]string{},
		}
		b.accounts[call.Program] = pb
	}
	pb.lastUsed = time.Now()
	if call.ID != pb.lastRequest {
		pb.lastRequest = call.ID
		pb.requests++
		pb.runaway.Observe(pb.lastUsed)
	}
	return pb
}

// stage returns the stage of the program, apart from the turn with the id.
func (pb *programBudget) stage(id string) programStage {
	_, granted := pb.open[id]
	switch {
	case pb.lastUpstream != "" || len(pb.open) > 1 || len(pb.open) == 1 && !granted:
		return programStarted
	case pb.requests > 1:
		return programRetried
	default:
		return programNew
	}
}

// tryLocked answers the call from the tokens already drawn; see tryGrant.
func (b *budgets) tryLocked(pb *programBudget, call reserveCall) reserveAnswer {
	answer := reserveAnswer{lastUpstream: pb.upstreamOf[call.Conversation], stage: pb.stage(call.ID)}
	if answer.lastUpstream == "" {
		answer.lastUpstream = pb.lastUpstream
	}
	_, granted := pb.open[call.ID]
	switch {
	case granted:
		answer.outcome = reserveGranted
	case pb.ended[call.ID]:
		answer.outcome = reserveUnknown
	case pb.account.Reserve(call.MaxTokens):
		pb.open[call.ID] = call.MaxTokens
		answer.outcome = reserveGranted
	case pb.account.Exhausted():
		answer.outcome = reserveSpent
	}
	return answer
}

// grant reserves the tokens of a turn at this entry and draws from the program's row as
// needed. Only the owner of the program's budget grants tokens provisionally.
func (b *budgets) grant(ctx context.Context, call reserveCall, isOwner bool) (reserveAnswer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pb := b.accountLocked(call)
	for {
		if answer := b.tryLocked(pb, call); answer.outcome != 0 {
			return answer, nil
		}
		if pb.drawing == nil {
			if err := b.drawLocked(ctx, pb, call, isOwner); err != nil {
				return reserveAnswer{outcome: reserveUnknown}, err
			}
			continue
		}
		if err := b.awaitLocked(ctx, pb); err != nil {
			return reserveAnswer{outcome: reserveUnknown}, err
		}
	}
}
