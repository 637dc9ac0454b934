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

// errBudgetSpent says that a program's budget does not hold another turn.
var errBudgetSpent = errors.New("the program's token budget is spent")

const (
	// rowParts is the number of parts over which rows are spread: so many that calls
	// seldom meet in one, even while the table takes 240 ms for each transaction.
	rowParts = 1024
	// maxDrawTries bounds the compare-and-swaps of one draw; each failure means that
	// another entry has drawn.
	maxDrawTries = 6
	// drawTimeout bounds how long a turn waits for its draw.
	drawTimeout = 900 * time.Millisecond
	// drawPatience is how long an owner waits for a row before it grants ahead of it: some
	// ten times what the table usually takes.
	drawPatience = 60 * time.Millisecond
	// budgetIdle is how long an account without turns is remembered; a program's turns
	// follow each other within seconds.
	budgetIdle = 2 * time.Minute
	// settleTries and settleRetry bound how often a reservation's end is told to the owner.
	settleTries = 3
	settleRetry = 150 * time.Millisecond
	// advanceTimeout bounds the questions and notices to other entries for tokens that are
	// granted ahead of a row.
	advanceTimeout = 200 * time.Millisecond
	// witnessAfter is how long an owner has to record its grants once it can, before the
	// entries that have heard of them do it: several rounds of its own attempts.
	witnessAfter = 2 * time.Second
	// recordInterval is the time between two looks for grants ahead of rows.
	recordInterval = 250 * time.Millisecond
)

// budgetOwners finds the entry that counts a program's budget.
type budgetOwners interface {
	// owner returns the peer that owns the program; nil when this entry does.
	owner(program string) *peer
	// reserveAt and settleAt make the calls at a peer.
	reserveAt(ctx context.Context, p *peer, r reserveCall) (reserveAnswer, error)
	settleAt(ctx context.Context, p *peer, s settleCall) error
	// learn returns what entries know to have been granted for the program, and how much
	// that says.
	learn(ctx context.Context, program string) (granted ledger.Grants, k knowledge)
	// tell tells the entries that would own the program next what was granted for it. It
	// reports whether one has heard it.
	tell(ctx context.Context, n grantNotice) bool
}

// reserveCall asks the owner to set aside the most of a turn.
type reserveCall struct {
	Program string
	// ID names the reservation; the same one is granted once.
	ID        string
	Total     int
	MaxTokens int
	// Conversation names the line of turns that the turn belongs to.
	Conversation string
	// Durable says that the turn ends only once it is in the table.
	Durable bool
}

// settleCall ends a reservation with the tokens handed to the caller.
type settleCall struct {
	Program string
	ID      string
	Used    int
	// Conversation and Upstream say where the turn ran; Upstream is empty when it did not.
	Conversation string
	Upstream     string
	// Stored says that the turn was kept, KeptBy names the life of the entry that has it.
	Stored   bool
	StoredBy string
}

// reserveOutcome is an owner's answer.
type reserveOutcome uint8

const (
	reserveGranted reserveOutcome = iota + 1
	reserveSpent
	reserveUnknown
)

// reserveAnswer is a verdict and where the line's last turn ran, or else the program's.
type reserveAnswer struct {
	outcome      reserveOutcome
	lastUpstream string
	// stage says whether the program has begun.
	stage programStage
}

// programStage is how far a program has come.
type programStage uint8

const (
	// programStarted: a turn of it has run or runs.
	programStarted programStage = iota
	// programNew: none has, and none was asked for before.
	programNew
	// programRetried: none has, though one was asked for before.
	programRetried
)

// budgets counts the budgets of the programs that this entry owns, and asks the owners
// of the others. Any entry may draw from a program's row, so an owner that can't be
// reached delays nothing.
type budgets struct {
	table   platformapi.Table
	commits *committer
	owners  budgetOwners
	expiry  *expiry
	lines   *reqlog.Logger
	holder  string
	// life is this entry's.
	life string
	// away reports whether a key of the table surely can't be reached now, troubled
	// whether calls of the table have failed lately.
	away     func(key string) bool
	troubled func() bool
	// lost reports whether the table can't be reached by any way.
	lost func() bool
	// slow reports whether a turn would wait long for a draw.
	slow func() bool

	mu       sync.Mutex
	accounts map[string]*budget
	// known is what other entries told of the programs that this one may own next.
	known map[string]*knownGrants
}

type budget struct {
	account *ledger.Account
	// open are the reservations by their ids, with the most of each; ended are those that
	// were settled, maybe before they were granted: who asked for one may have given up.
	open  map[string]int
	ended map[string]bool
	// drawing is closed when the draw under way ends; nil when none is.
	drawing chan struct{}
	// row is the draw from the row on its way, which may outlast the one that began it.
	row      *rowDraw
	used     time.Time
	arrivals ledger.Arrivals
	// asked is the reservation that asked last, to count each once.
	asked string
	asks  int
	// ranAt is the upstream of each line's last turn, last that of the program's.
	ranAt map[string]string
	last  string
	// storedBy is the life of the entry that has each kept turn at hand.
	storedBy map[string]string
}

func newBudgets(l *tableClient, c *committer, owners budgetOwners, e *expiry, lines *reqlog.Logger, holder, life string) *budgets {
	return &budgets{
		table: l, commits: c, owners: owners, expiry: e, lines: lines, holder: holder, life: life, away: l.unreachableFor, troubled: l.failedRecently, slow: l.slow, lost: l.unreachable,
		accounts: map[string]*budget{}, known: map[string]*knownGrants{},
	}
}

// reservation is the most that one turn may generate, set aside from its program's budget.
type reservation struct {
	b *budgets
	// at is the owner; nil when this entry counts.
	at   *peer
	call reserveCall
	// lastUpstream is where the line's last turn ran; empty when that is not known.
	lastUpstream string
	stage        programStage
}

// reserve sets aside the most of a turn. It returns errBudgetSpent, or an error of the
// table when it can't tell.
func (b *budgets) reserve(ctx context.Context, call reserveCall) (*reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	at := b.owners.owner(call.Program)
	answer := reserveAnswer{outcome: reserveUnknown}
	var err error
	if at != nil {
		answer, err = b.owners.reserveAt(ctx, at, call)
	}
	switch {
	case at == nil:
		answer, err = b.grant(ctx, call, true)
	case errors.Is(err, errPeerUnreachable):
		// The owner may still grant what it was asked for; nobody waits for that.
		go b.tellSettled(context.WithoutCancel(ctx), at, settleCall{Program: call.Program, ID: call.ID})
		// Any entry may draw from the row; only the owner grants ahead of it, and only the
		// owner can say that nothing is left.
		at = nil
		if answer, err = b.grant(ctx, call, false); answer.outcome == reserveSpent {
			answer.outcome, err = reserveUnknown, errPeerUnreachable
		}
	}
	switch answer.outcome {
	case reserveGranted:
		return &reservation{b: b, at: at, call: call, lastUpstream: answer.lastUpstream, stage: answer.stage}, nil
	case reserveSpent:
		return nil, errBudgetSpent
	default:
		if err == nil {
			err = platformapi.ErrUnavailable
		}
		return nil, errors.Mark(errors.Wrap(err, "budget can't be told"), platformapi.ErrUnavailable)
	}
}

// settle ends the reservation with the tokens that were handed to the caller by the
// upstream; kept says that the turn was kept.
func (r *reservation) settle(used int, upstream string, kept bool) {
	if r == nil {
		return
	}
	s := settleCall{Program: r.call.Program, ID: r.call.ID, Used: used, Conversation: r.call.Conversation, Upstream: upstream, Stored: kept, StoredBy: r.b.life}
	if r.at == nil {
		r.b.settleLocal(s)
		return
	}
	go r.b.tellSettled(context.Background(), r.at, s)
}

// tellSettled tells the owner, which counts the most of the turn until it hears it.
func (b *budgets) tellSettled(ctx context.Context, at *peer, s settleCall) {
	for range settleTries {
		once, cancel := context.WithTimeout(ctx, settleRetry)
		err := b.owners.settleAt(once, at, s)
		cancel()
		if err == nil {
			return
		}
	}
	b.commits.metrics.settlementsLost.Inc(1)
}

// settleLocal ends a reservation that this entry granted; it may come twice.
func (b *budgets) settleLocal(s settleCall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	of := b.accounts[s.Program]
	if of == nil {
		return
	}
	of.ended[s.ID] = true
	if most, ok := of.open[s.ID]; ok {
		delete(of.open, s.ID)
		of.account.Settle(most, s.Used)
		if s.Upstream != "" {
			of.ranAt[s.Conversation], of.last = s.Upstream, s.Upstream
		}
		if s.Stored {
			of.storedBy[s.ID] = s.StoredBy
		}
	}
}

// storedBy returns the life of the entry that has a kept turn at hand; empty when this entry
// does not know it.
func (b *budgets) storedBy(program, turn string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if of := b.accounts[program]; of != nil {
		return of.storedBy[turn]
	}
	return ""
}

// tryGrant grants from what is at hand; a zero verdict says that a draw is needed.
func (b *budgets) tryGrant(call reserveCall) reserveAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryLocked(b.accountLocked(call), call)
}

func (b *budgets) accountLocked(call reserveCall) *budget {
	of := b.accounts[call.Program]
	if of == nil {
		of = &budget{
			account: ledger.NewAccount(call.Total), open: map[string]int{}, ended: map[string]bool{},
			ranAt: map[string]string{}, storedBy: map[string]string{},
		}
		b.accounts[call.Program] = of
	}
	of.used = time.Now()
	if call.ID != of.asked {
		of.asked = call.ID
		of.asks++
		of.arrivals.Note(of.used)
	}
	return of
}

// standing tells how far the program has come, but for the turn with the id.
func (of *budget) standing(id string) programStage {
	_, granted := of.open[id]
	switch {
	case of.last != "" || len(of.open) > 1 || len(of.open) == 1 && !granted:
		return programStarted
	case of.asks > 1:
		return programRetried
	default:
		return programNew
	}
}

func (b *budgets) tryLocked(of *budget, call reserveCall) reserveAnswer {
	answer := reserveAnswer{lastUpstream: of.ranAt[call.Conversation], stage: of.standing(call.ID)}
	if answer.lastUpstream == "" {
		answer.lastUpstream = of.last
	}
	_, granted := of.open[call.ID]
	switch {
	case granted:
		answer.outcome = reserveGranted
	case of.ended[call.ID]:
		answer.outcome = reserveUnknown
	case of.account.Reserve(call.MaxTokens):
		of.open[call.ID] = call.MaxTokens
		answer.outcome = reserveGranted
	case of.account.Exhausted():
		answer.outcome = reserveSpent
	}
	return answer
}

// grant sets aside the most of a turn here, drawing from the program's row as needed.
// Only the program's owner grants ahead of the row.
func (b *budgets) grant(ctx context.Context, call reserveCall, owner bool) (reserveAnswer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	of := b.accountLocked(call)
	for {
		if answer := b.tryLocked(of, call); answer.outcome != 0 {
			return answer, nil
		}
		if of.drawing == nil {
			if err := b.drawLocked(ctx, of, call, owner); err != nil {
				return reserveAnswer{outcome: reserveUnknown}, err
			}
			continue
		}
		if err := b.awaitLocked(ctx, of); err != nil {
			return reserveAnswer{outcome: reserveUnknown}, err
		}
	}
}
