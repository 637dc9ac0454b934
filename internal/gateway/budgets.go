package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/reqlog"
	"github.com/buckthornroute/buckthornroute/internal/tablerelay"
	"github.com/buckthornroute/buckthornroute/ledger"
)

// errBudgetSpent reports that a program's budget has too few tokens left for another turn.
var errBudgetSpent = errors.New("the program's token budget is spent")

const (
	// rowPartitions is the number of table partitions over which rows are spread. With 1024,
	// concurrent calls rarely use the same partition, even while the table takes 240 ms for
	// each transaction.
	rowPartitions = 1024
	// maxRowAttempts bounds the compare-and-swaps of one change to a budget row. They fail
	// mostly because another entry changes the row at the same time.
	maxRowAttempts = 6
	// drawTimeout bounds a reservation, and each draw from a row in the background.
	drawTimeout = 900 * time.Millisecond
	// claimAfter is how long an owner waits for the row before it claims tokens that the row does
	// not show: about 10 times the table's usual latency.
	claimAfter = 60 * time.Millisecond
	// budgetIdle is the time after a program's last request for a turn at which its budget
	// is dropped from memory. Consecutive turns of a program are only seconds apart. It is also how
	// long an entry must have run until it knows all claims that may still matter.
	budgetIdle = 2 * time.Minute
	// knownIdle is how long after the last notice of a program the claims announced for it are dropped.
	knownIdle = 10 * time.Minute
	// settleAttempts is the number of times that the end of a reservation is sent to the
	// owner at most; settleTimeout bounds each of them.
	settleAttempts = 3
	settleTimeout  = 150 * time.Millisecond
	// claimRoundTimeout bounds a claim, and the questions to the witnesses before a change of a row.
	claimRoundTimeout = 200 * time.Millisecond
	// spentMemory is how long a program counts as spent without another look at its row, unless one of its
	// turns ends: some programs send many turns until they are refused.
	spentMemory = 300 * time.Millisecond
	// claimRetryDelay is how long a program claims nothing after a claim that too few witnesses acknowledged.
	claimRetryDelay = 300 * time.Millisecond
	// recordForOwnerAfter is how long an owner has to record its claims once the row is reachable,
	// before the witnesses do it. In that time the owner makes several attempts. It also bounds each
	// attempt of a witness.
	recordForOwnerAfter = 2 * time.Second
	// recordInterval is the time between two checks for what rows lack.
	recordInterval = 250 * time.Millisecond
	// maxFlushes bounds the writes of one row within recordInterval that only record ends of turns.
	maxFlushes = 4
	// reachablePoll is the time between two checks whether a row is in reach again.
	reachablePoll = 20 * time.Millisecond
	// returnRetryWait is the wait between two attempts to return tokens at shutdown.
	returnRetryWait = 100 * time.Millisecond
)

// budgetOwners finds the entry that owns a program's budget, and calls other entries.
type budgetOwners interface {
	// owner returns the peer that owns the program's budget; nil when this entry does, or
	// when no entry is eligible.
	owner(program string) *mesh.Peer
	// reserveAt reserves tokens at the peer p; settleAt ends a reservation there.
	reserveAt(ctx context.Context, p *mesh.Peer, r reserveCall) (reserveAnswer, error)
	settleAt(ctx context.Context, p *mesh.Peer, s settleCall) error
	// beginAt has the peer p record that a turn begins whose tokens it reserved.
	beginAt(ctx context.Context, p *mesh.Peer, program, id string) error
	// gone returns those of the processes, NODE/INCARNATION, that are not known to run.
	gone(processes []string) []string
	// askWitnesses sends the notice, unless it is nil, to the witnesses of the program, and then asks them
	// for the unrecorded claims that they know. quorate reports whether a majority of them, which knows
	// all claims that they acknowledged, has answered.
	askWitnesses(ctx context.Context, program string, notice *grantNotice) (known ledger.Grants, quorate bool)
	// releaseAt asks the entries among the holders of blocks of a program that are in reach to return their
	// unused tokens to the row. It reports whether one of them has done so.
	releaseAt(ctx context.Context, program string, holders []string) bool
	// announce sends a notice to the witnesses of its program.
	announce(ctx context.Context, n grantNotice)
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
	// Least is the least number of tokens with which the turn may be sent if no more can be claimed; 0 if it
	// needs MaxTokens.
	Least int
	// Durable reports whether the turn ends only once it is stored in the table.
	Durable bool
	// Process is the one that serves the turn, NODE/INCARNATION; empty for builds before, which don't tell
	// when a turn begins.
	Process string
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

// reserveOutcome is the result of a reserveCall. Only tryGrant and tryGrantLocked return 0: the
// tokens here do not suffice and more must be obtained first.
type reserveOutcome uint8

const (
	// reserveGranted: the tokens are reserved.
	reserveGranted reserveOutcome = iota + 1
	// reserveSpent: the budget has too few tokens left.
	reserveSpent
	// reserveUnknown: neither can be determined now, or the reservation was already settled.
	reserveUnknown
)

// reserveAnswer is the answer to a reserveCall.
type reserveAnswer struct {
	outcome reserveOutcome
	// lastUpstream is where the conversation's last turn ran, or else the program's; it may
	// be empty.
	lastUpstream string
	// stage is the stage of the program, not counting this turn.
	stage programStage
	// waited is the time since the program's first request.
	waited time.Duration
	// tokens is the number of tokens granted if that is less than MaxTokens, else 0.
	tokens int
	// pending reports whether the turn must begin in the row before its first tokens are handed out.
	pending bool
}

// programStage is how far a program has come: whether a turn of it has run.
type programStage uint8

const (
	// programStarted: at least one of its turns has run or is running.
	programStarted programStage = iota
	// programNew: none of its turns has run, and this is the first request for one.
	programNew
	// programRetried: none of its turns has run, though one was requested before.
	programRetried
)

// budgets manages the token budgets of the programs that this entry owns, and calls the
// owners of other programs. Any entry may draw from a program's row, so turns can run while
// the owner is unreachable.
type budgets struct {
	table   platformapi.Table
	commits *committer
	owners  budgetOwners
	expiry  *budgetExpiry
	log     *reqlog.Logger
	// incarnation identifies this incarnation of the entry; holder is the first part of the names
	// of its accounts in budget rows.
	holder      string
	incarnation string
	// keyUnreachable reports whether the row of a key is known to be unreachable.
	keyUnreachable func(key string) bool
	// tableFailedRecently reports whether a call to the table failed recently; see
	// tablerelay.Client.
	tableFailedRecently func() bool
	// tableUnreachable reports whether the table is unreachable, directly and through other
	// entries.
	tableUnreachable func() bool
	// tableSlow reports whether a turn would wait long for a draw.
	tableSlow func() bool

	// mu guards the fields below. Methods whose names end in Locked must be called with it held.
	mu       sync.Mutex
	programs map[string]*programBudget
	// accounts counts the accounts so far.
	accounts int
	// known holds the claims that other entries announced for programs of which this entry is a
	// witness.
	known map[string]*knownGrants
	// usageOf reads from the stored turn with the id how many tokens its caller received; stored is
	// false when there is no such turn.
	usageOf func(ctx context.Context, id string) (used ledger.Usage, stored bool, err error)
}

// programBudget is the state of one program's budget at this entry.
type programBudget struct {
	// ledger holds what this entry has granted. The name of its block in the row differs from those of
	// earlier states of the same program: it must not take for its own what they drew and spent.
	ledger *ledger.Program
	// obtaining is closed when the turn that is now obtaining tokens for the program is done;
	// nil when no turn is.
	obtaining chan struct{}
	// pendingWrite is the change of the row in flight; nil when there is none. It may outlast the
	// turn that started it. flushes counts those since the last check that only recorded ends of turns.
	pendingWrite *rowWrite
	flushes      int
	// held is what is remembered of the row; nil before the first change.
	held *heldRow
	// spentAt is when too few tokens were found left; zero once a turn has ended since.
	spentAt time.Time
	// noQuorumAt is when a claim last failed for lack of witnesses.
	noQuorumAt time.Time
	lastUsed   time.Time
	// requests counts the reservations requested. lastRequest is the id of the newest one, so
	// that its immediate repetition is not counted again.
	lastRequest string
	requests    int
	// firstRequestAt is when this entry received the first of them.
	firstRequestAt time.Time
	// upstreamOf maps each conversation to the upstream of its last turn; lastUpstream is
	// that of the program's last turn.
	upstreamOf   map[string]string
	lastUpstream string
	// storedBy maps each stored turn to the incarnation of the entry that has it in memory.
	storedBy map[string]string
}

// newBudgets returns budgets without any program. They read rows from t and write them
// through c.
func newBudgets(t *tablerelay.Client, c *committer, owners budgetOwners, log *reqlog.Logger, holder, incarnation string) *budgets {
	return &budgets{
		table: t, commits: c, owners: owners, expiry: &budgetExpiry{table: t, commits: c, rows: map[string]watchedRow{}}, log: log, holder: holder, incarnation: incarnation, keyUnreachable: t.UnreachableFor, tableFailedRecently: t.FailedRecently, tableSlow: t.Slow, tableUnreachable: t.Unreachable,
		programs: map[string]*programBudget{}, known: map[string]*knownGrants{},
	}
}

// reservation is the number of tokens that one turn may generate, set aside from its
// program's budget.
type reservation struct {
	b *budgets
	// owner is the entry that granted it; nil when this entry did.
	owner *mesh.Peer
	call  reserveCall
	// lastUpstream is where the conversation's last turn ran, or else the program's; empty
	// when that is unknown.
	lastUpstream string
	stage        programStage
	// waited is the time since the program's first request, if its owner knows that; else zero.
	waited time.Duration
	// standIn is set if this entry granted it in place of an owner out of reach.
	standIn bool
	// limit is the number of tokens that the turn may hand out if that is less than MaxTokens, else 0.
	limit int
	// pending is set until the row shows that the turn has begun, if it must.
	pending bool
}

// reserve sets aside the tokens of a turn. While the program's row is out of reach it waits for that, up to
// a time: callers make few attempts, which together should outlast an outage. It returns errBudgetSpent
// when the budget has too few tokens left, or an error marked ErrUnavailable when that can't be determined now.
func (b *budgets) reserve(ctx context.Context, call reserveCall, patience time.Duration) (*reservation, error) {
	end := time.Now().Add(patience)
	for {
		r, err := b.reserveNow(ctx, call)
		if err == nil || errors.Is(err, errBudgetSpent) || !b.keyUnreachable(budgetKey(call.Program)) {
			return r, err
		}
		for b.keyUnreachable(budgetKey(call.Program)) {
			if left := time.Until(end); left <= 0 || ctx.Err() != nil {
				return r, err
			}
			sleep(ctx, min(reachablePoll, max(0, time.Until(end))))
		}
	}
}

// reserveNow does the work of reserve without waiting for a row that is out of reach.
func (b *budgets) reserveNow(ctx context.Context, call reserveCall) (*reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	call.Process = b.holder
	owner := b.owners.owner(call.Program)
	answer, standIn := reserveAnswer{outcome: reserveUnknown}, false
	var err error
	if owner != nil {
		answer, err = b.owners.reserveAt(ctx, owner, call)
	}
	switch {
	case owner == nil:
		answer, err = b.grant(ctx, call, true)
	case errors.Is(err, mesh.ErrUnreachable):
		// The owner may still grant this reservation later, and no turn would use it. The
		// settleCall frees its tokens, or prevents the grant if it arrives first. In the row the turn has not
		// ended: this entry reserves its tokens under the same key.
		go b.tellOwner(context.WithoutCancel(ctx), owner, settleCall{Program: call.Program, ID: call.ID})
		// Any entry may draw from the row. Only the owner grants provisionally, and only the
		// owner can determine that the budget is spent.
		owner, standIn = nil, true // from here on this entry counts as the one that grants the reservation
		if answer, err = b.grant(ctx, call, false); answer.outcome == reserveSpent {
			answer.outcome, err = reserveUnknown, mesh.ErrUnreachable
		}
	}
	switch answer.outcome {
	case reserveGranted:
		return &reservation{b: b, owner: owner, call: call, standIn: standIn, lastUpstream: answer.lastUpstream, stage: answer.stage, waited: answer.waited, limit: answer.tokens, pending: answer.pending}, nil
	case reserveSpent:
		return nil, errBudgetSpent
	default:
		if err == nil {
			err = platformapi.ErrUnavailable
		}
		return nil, errors.Mark(errors.Wrapf(err, "reserve %d tokens for program %q", call.MaxTokens, call.Program), platformapi.ErrUnavailable)
	}
}

// settle ends the reservation; it does nothing on nil, which stands for a call without a
// budget. used is the number of tokens delivered to the caller, upstream is where the turn ran,
// and stored reports whether the turn was stored.
func (r *reservation) settle(used int, upstream string, stored bool) {
	if r == nil {
		return
	}
	s := settleCall{Program: r.call.Program, ID: r.call.ID, Used: used, Conversation: r.call.Conversation, Upstream: upstream, Stored: stored, StoredBy: r.b.incarnation}
	if r.owner == nil {
		r.b.settleLocal(s)
		return
	}
	go r.b.sendSettle(context.Background(), r.owner, r.call, s)
}

// sendSettle sends the end of a reservation to the owner. Until the owner receives it, all
// reserved tokens of the turn count as used. If the owner can't be told, the end of a turn that was
// not stored is recorded in the row.
func (b *budgets) sendSettle(ctx context.Context, owner *mesh.Peer, call reserveCall, s settleCall) {
	if b.tellOwner(ctx, owner, s) || s.Stored {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, budgetIdle)
	defer cancel()
	b.settleInRow(ctx, call, s.Used)
}

// tellOwner sends a settleCall to the owner and reports whether that has received it.
func (b *budgets) tellOwner(ctx context.Context, owner *mesh.Peer, s settleCall) bool {
	for range settleAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, settleTimeout)
		err := b.owners.settleAt(attemptCtx, owner, s)
		cancel()
		if err == nil {
			return true
		}
	}
	b.commits.metrics.settlementsLost.Inc(1)
	return false
}

// settleLocal ends a reservation that this entry granted. It is idempotent, because the same
// settleCall may be received twice.
func (b *budgets) settleLocal(s settleCall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pb := b.programs[s.Program]
	if pb == nil {
		return
	}
	wasOpen, claim := pb.ledger.Settle(s.ID, s.Used, s.Stored)
	pb.spentAt = time.Time{}
	if claim != "" {
		go b.owners.announce(context.Background(), grantNotice{Program: s.Program, Holder: claim, Granted: s.Used, Total: pb.ledger.Total(), Returned: true, Provisional: s.Used > 0})
	}
	if !wasOpen {
		return
	}
	if s.Upstream != "" {
		pb.upstreamOf[s.Conversation], pb.lastUpstream = s.Upstream, s.Upstream
	}
	if s.Stored {
		pb.storedBy[s.ID] = s.StoredBy
	}
	b.flushLocked(s.Program, pb)
}

// storedBy returns the incarnation of the entry that has a stored turn in memory; empty
// when this entry has no record of it.
func (b *budgets) storedBy(program, turn string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if pb := b.programs[program]; pb != nil {
		return pb.storedBy[turn]
	}
	return ""
}

// tryGrant reserves from the tokens already granted to this entry. An outcome of 0 means
// that more tokens must be obtained first; see obtainLocked.
func (b *budgets) tryGrant(call reserveCall) reserveAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryGrantLocked(b.programLocked(call), call, true)
}

// programLocked returns the budget of the call's program, which it creates if needed. It also
// counts the call as a request, unless it repeats the last one.
func (b *budgets) programLocked(call reserveCall) *programBudget {
	pb := b.programs[call.Program]
	if pb == nil {
		b.accounts++
		pb = &programBudget{
			ledger:     ledger.NewProgram(call.Total, b.holder+"/"+strconv.Itoa(b.accounts)),
			upstreamOf: map[string]string{}, storedBy: map[string]string{}, firstRequestAt: time.Now(),
		}
		b.programs[call.Program] = pb
	}
	pb.lastUsed = time.Now()
	if call.ID != pb.lastRequest {
		pb.lastRequest = call.ID
		pb.requests++
	}
	if call.Durable {
		pb.ledger.MarkKept()
	}
	pb.ledger.ServedBy(call.ID, call.Process)
	return pb
}

// stage returns the stage of the program, not counting the turn with the id.
func (pb *programBudget) stage(id string) programStage {
	open, granted := pb.ledger.OpenTurns(), pb.ledger.IsOpen(id)
	switch {
	case pb.lastUpstream != "" || open > 1 || open == 1 && !granted:
		return programStarted
	case pb.requests > 1:
		return programRetried
	default:
		return programNew
	}
}

// tryGrantLocked does the work of tryGrant for the program of pb.
func (b *budgets) tryGrantLocked(pb *programBudget, call reserveCall, isOwner bool) reserveAnswer {
	answer := reserveAnswer{lastUpstream: pb.upstreamOf[call.Conversation], stage: pb.stage(call.ID), waited: time.Since(pb.firstRequestAt)}
	if answer.lastUpstream == "" {
		answer.lastUpstream = pb.lastUpstream
	}
	if isOwner && call.Durable && !b.keyUnreachable(budgetKey(call.Program)) && !b.tableSlow() && !b.tableFailedRecently() {
		pb.ledger.ReserveInMemory(call.ID, call.MaxTokens)
	}
	switch pb.ledger.Reserve(call.ID, call.MaxTokens, !isOwner) {
	case ledger.OutcomeGranted:
		answer.outcome, answer.pending = reserveGranted, pb.ledger.Pending(call.ID)
		if n := pb.ledger.Tokens(call.ID); n < call.MaxTokens {
			answer.tokens = n
		}
	case ledger.OutcomeSettled:
		answer.outcome = reserveUnknown
	case ledger.OutcomeObtain:
	}
	return answer
}

// grant reserves the tokens of a turn at this entry and changes the program's row as needed. Only
// the owner of the program's budget draws blocks and claims tokens.
func (b *budgets) grant(ctx context.Context, call reserveCall, isOwner bool) (reserveAnswer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pb := b.programLocked(call)
	// Obtain tokens, or wait for the turn that obtains them, until the reservation is granted or
	// refused.
	for {
		answer := b.tryGrantLocked(pb, call, isOwner)
		if answer.outcome == 0 && time.Since(pb.spentAt) < spentMemory {
			answer.outcome = reserveSpent
		}
		if answer.outcome != 0 {
			return answer, nil
		}
		var err error
		if pb.obtaining == nil {
			err = b.obtainLocked(ctx, pb, call, isOwner)
		} else {
			err = b.awaitObtainingLocked(ctx, pb)
		}
		if err == nil && ctx.Err() != nil {
			err = errors.Mark(ctx.Err(), platformapi.ErrUnavailable)
		}
		switch {
		case errors.Is(err, errBudgetSpent):
			answer.outcome = reserveSpent
			return answer, nil
		case err != nil:
			pb.ledger.Abandon(call.ID)
			return reserveAnswer{outcome: reserveUnknown}, err
		}
	}
}
