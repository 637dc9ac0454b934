package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	table "github.com/buckthornroute/buckthornroute/internal/platform"
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

// partOf returns the part of the row of an id.
func partOf(id string) string {
	return strconv.FormatUint(xxhash.Sum64String(id)%rowParts, 16)
}

func budgetKey(program string) string { return "budgets/" + partOf(program) + "/" + program }

// budgetOwners finds the entry that counts a program's budget.
type budgetOwners interface {
	// owner returns the peer that owns the program; nil when this entry does.
	owner(program string) *peer
	// reserveAt and settleAt make the calls at a peer.
	reserveAt(ctx context.Context, p *peer, r reserveCall) (reserveAnswer, error)
	settleAt(ctx context.Context, p *peer, s settleCall) error
	// learn returns what entries know to have been granted for the program, and how much
	// that says.
	learn(ctx context.Context, program string) (granted int, k knowledge)
	// tell tells the entries that would own the program next what was granted for it. It
	// reports whether one has heard it.
	tell(ctx context.Context, n grantNotice) bool
}

// knowledge is how much an owner knows of a program's grants.
type knowledge uint8

const (
	knowsNothing knowledge = iota
	// knowsGrants: nothing is missing, unless another entry takes itself for the owner.
	knowsGrants
	// knowsAlone: no other entry does.
	knowsAlone
)

// grantNotice says how many tokens of a program's budget entries were granted in all.
type grantNotice struct {
	Program string `json:"program"`
	Granted int    `json:"granted"`
	// Returned says that tokens were given back, so that Granted replaces a greater count.
	Returned bool `json:"returned,omitempty"`
	// Total is the budget; Ahead says that a part of Granted is not in the row yet.
	Total int  `json:"total,omitempty"`
	Ahead bool `json:"ahead,omitempty"`
}

// reserveCall asks the owner to set aside the most of a turn.
type reserveCall struct {
	Program string
	// ID names the reservation; the same one is granted once.
	ID    string
	Total int
	Most  int
	// Line names the line of turns that the turn belongs to.
	Line string
}

// settleCall ends a reservation with the tokens handed to the caller.
type settleCall struct {
	Program string
	ID      string
	Used    int
	// Line and Upstream say where the turn ran; Upstream is empty when it did not.
	Line     string
	Upstream string
}

// reserveVerdict is an owner's answer.
type reserveVerdict uint8

const (
	reserveGranted reserveVerdict = iota + 1
	reserveSpent
	reserveUnknown
)

// reserveAnswer is a verdict and where the line's last turn ran, or else the program's.
type reserveAnswer struct {
	verdict reserveVerdict
	ranAt   string
	// standing says whether the program has begun.
	standing programStanding
}

// programStanding is how far a program has come.
type programStanding uint8

const (
	// programBegun: a turn of it has run or runs.
	programBegun programStanding = iota
	// programNew: none has, and none was asked for before.
	programNew
	// programReturned: none has, though one was asked for before.
	programReturned
)

// budgets counts the budgets of the programs that this entry owns, and asks the owners
// of the others. Any entry may draw from a program's row, so an owner that can't be
// reached delays nothing.
type budgets struct {
	table   table.Table
	commits *committer
	owners  budgetOwners
	expiry  *expiry
	holder  string
	// away reports whether a key of the table surely can't be reached now, troubled
	// whether calls of the table have failed lately.
	away     func(key string) bool
	troubled func() bool
	// slow reports whether a turn would wait long for a draw.
	slow func() bool

	mu       sync.Mutex
	accounts map[string]*budget
	// known is what other entries told of the programs that this one may own next.
	known map[string]knownGrant
}

type knownGrant struct {
	granted int
	at      time.Time
	total   int
	// ahead says that a part of it was not in the row; reachable is since when the row
	// could be reached, after which the owner should have recorded it.
	ahead     bool
	reachable time.Time
}

type budget struct {
	account *ledger.Account
	// open are the reservations by their ids, with the most of each.
	open map[string]int
	// drawing is closed when the draw under way ends; nil when none is.
	drawing  chan struct{}
	used     time.Time
	arrivals ledger.Arrivals
	// asked is the reservation that asked last, to count each once.
	asked string
	asks  int
	// ranAt is the upstream of each line's last turn, last that of the program's.
	ranAt map[string]string
	last  string
}

func newBudgets(l *link, c *committer, owners budgetOwners, e *expiry, holder string) *budgets {
	return &budgets{
		table: l, commits: c, owners: owners, expiry: e, holder: holder, away: l.awayFor, troubled: l.troubled, slow: l.slow,
		accounts: map[string]*budget{}, known: map[string]knownGrant{},
	}
}

// reservation is the most that one turn may generate, set aside from its program's budget.
type reservation struct {
	b *budgets
	// at is the owner; nil when this entry counts.
	at   *peer
	call reserveCall
	// ranAt is where the line's last turn ran; empty when that is not known.
	ranAt    string
	standing programStanding
}

// reserve sets aside the most of a turn. It returns errBudgetSpent, or an error of the
// table when it can't tell.
func (b *budgets) reserve(ctx context.Context, call reserveCall) (*reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	at := b.owners.owner(call.Program)
	answer := reserveAnswer{verdict: reserveUnknown}
	var err error
	if at != nil {
		answer, err = b.owners.reserveAt(ctx, at, call)
	}
	switch {
	case at == nil:
		answer, err = b.grant(ctx, call, true)
	case errors.Is(err, errPeer):
		// Any entry may draw from the row; only the owner grants ahead of it.
		at = nil
		answer, err = b.grant(ctx, call, false)
	}
	switch answer.verdict {
	case reserveGranted:
		return &reservation{b: b, at: at, call: call, ranAt: answer.ranAt, standing: answer.standing}, nil
	case reserveSpent:
		return nil, errBudgetSpent
	default:
		return nil, errors.Mark(errors.Wrap(err, "budget can't be told"), table.ErrUnavailable)
	}
}

// settle ends the reservation with the tokens that were handed to the caller by the
// upstream.
func (r *reservation) settle(used int, upstream string) {
	if r == nil {
		return
	}
	s := settleCall{Program: r.call.Program, ID: r.call.ID, Used: used, Line: r.call.Line, Upstream: upstream}
	if r.at == nil {
		r.b.settleHere(s)
		return
	}
	go r.b.tellSettled(r.at, s)
}

// tellSettled tells the owner, which counts the most of the turn until it hears it.
func (b *budgets) tellSettled(at *peer, s settleCall) {
	for range settleTries {
		ctx, cancel := context.WithTimeout(context.Background(), settleRetry)
		err := b.owners.settleAt(ctx, at, s)
		cancel()
		if err == nil {
			return
		}
	}
	b.commits.metrics.settlesLost.Inc(1)
}

// settleHere ends a reservation that this entry granted; it may come twice.
func (b *budgets) settleHere(s settleCall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	of := b.accounts[s.Program]
	if of == nil {
		return
	}
	if most, ok := of.open[s.ID]; ok {
		delete(of.open, s.ID)
		of.account.Settle(most, s.Used)
		if s.Upstream != "" {
			of.ranAt[s.Line], of.last = s.Upstream, s.Upstream
		}
	}
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
		of = &budget{account: ledger.NewAccount(call.Total), open: map[string]int{}, ranAt: map[string]string{}}
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
func (of *budget) standing(id string) programStanding {
	_, granted := of.open[id]
	switch {
	case of.last != "" || len(of.open) > 1 || len(of.open) == 1 && !granted:
		return programBegun
	case of.asks > 1:
		return programReturned
	default:
		return programNew
	}
}

func (b *budgets) tryLocked(of *budget, call reserveCall) reserveAnswer {
	answer := reserveAnswer{ranAt: of.ranAt[call.Line], standing: of.standing(call.ID)}
	if answer.ranAt == "" {
		answer.ranAt = of.last
	}
	_, granted := of.open[call.ID]
	switch {
	case granted:
		answer.verdict = reserveGranted
	case of.account.Reserve(call.Most):
		of.open[call.ID] = call.Most
		answer.verdict = reserveGranted
	case of.account.Exhausted():
		answer.verdict = reserveSpent
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
		if answer := b.tryLocked(of, call); answer.verdict != 0 {
			return answer, nil
		}
		if of.drawing == nil {
			if err := b.drawLocked(ctx, of, call, owner); err != nil {
				return reserveAnswer{verdict: reserveUnknown}, err
			}
			continue
		}
		if err := b.awaitLocked(ctx, of); err != nil {
			return reserveAnswer{verdict: reserveUnknown}, err
		}
	}
}

// awaitLocked waits for the draw under way.
func (b *budgets) awaitLocked(ctx context.Context, of *budget) error {
	drawing := of.drawing
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case <-drawing:
		return nil
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), table.ErrUnavailable)
	}
}

// drawLocked draws a lump from the program's row; the lock is released meanwhile. While
// the row can't be reached it grants tokens ahead of it instead.
func (b *budgets) drawLocked(ctx context.Context, of *budget, call reserveCall, owner bool) error {
	of.drawing = make(chan struct{})
	defer func() {
		close(of.drawing)
		of.drawing = nil
	}()
	// Other turns wait for the draw too, so it outlives the call that began it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drawTimeout)
	defer cancel()
	if owner && b.slow() && b.advanceLocked(ctx, of, call) {
		return nil // recordLoop draws it in the background
	}
	err := table.ErrUnavailable
	// A draw that only records what was granted ahead of the row needs no tokens.
	if !owner || !b.away(budgetKey(call.Program)) {
		b.learnLocked(ctx, of, call.Program)
		state := of.account.Drawing(call.Most)
		b.mu.Unlock()
		lump, left, drawErr := b.draw(ctx, call.Program, call.Total, state)
		b.mu.Lock()
		err = drawErr
		if err == nil {
			of.account.Drawn(state, lump)
			go b.owners.tell(context.WithoutCancel(ctx), grantNotice{Program: call.Program, Granted: call.Total - left, Total: call.Total})
			return nil
		}
	}
	if owner && failed(err) && b.advanceLocked(ctx, of, call) {
		return nil
	}
	return err
}

// learnLocked takes into account what other entries were granted, as this one has heard
// or, shortly after trouble with the table, as those say that should know.
func (b *budgets) learnLocked(ctx context.Context, of *budget, program string) {
	of.account.Learn(b.known[program].granted)
	if !b.troubled() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, advanceTimeout)
	defer cancel()
	b.mu.Unlock()
	granted, _ := b.owners.learn(ctx, program)
	b.mu.Lock()
	of.account.Learn(granted)
}

// advanceLocked grants tokens ahead of the row when all that was granted for the program
// is known, and another entry knows of this grant too. It reports whether the turn may
// go on; the lock is released meanwhile.
func (b *budgets) advanceLocked(ctx context.Context, of *budget, call reserveCall) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), advanceTimeout)
	defer cancel()
	b.mu.Unlock()
	granted, knows := b.owners.learn(ctx, call.Program)
	b.mu.Lock()
	if knows == knowsNothing {
		return false
	}
	of.account.Learn(granted)
	need, ok := of.account.AdvanceNeeded(call.Most, ledger.Standing{
		Alone: knows == knowsAlone, Open: len(of.open), Surging: of.arrivals.Surging(),
	})
	if !ok {
		return false
	}
	notice := grantNotice{Program: call.Program, Granted: of.account.Known() + need, Total: call.Total, Ahead: true}
	b.mu.Unlock()
	heard := b.owners.tell(ctx, notice)
	b.mu.Lock()
	if heard {
		of.account.Advance(need)
	}
	return heard
}

// hear records what another entry was granted.
func (b *budgets) hear(n grantNotice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := max(n.Granted, b.known[n.Program].granted)
	if n.Returned {
		granted = n.Granted
	}
	b.known[n.Program] = knownGrant{granted: granted, at: time.Now(), total: n.Total, ahead: n.Ahead}
}

// knows returns what this entry knows to have been granted for a program.
func (b *budgets) knows(program string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := b.known[program].granted
	if of := b.accounts[program]; of != nil {
		granted = max(granted, of.account.Known())
		if of.account.Exhausted() {
			granted = max(granted, of.account.Total())
		}
	}
	return granted
}

// knowsOf returns all that this entry knows, for one that starts.
func (b *budgets) knowsOf() []grantNotice {
	b.mu.Lock()
	programs := make([]string, 0, len(b.known)+len(b.accounts))
	for program := range b.known {
		programs = append(programs, program)
	}
	for program := range b.accounts {
		if _, also := b.known[program]; !also {
			programs = append(programs, program)
		}
	}
	b.mu.Unlock()
	out := make([]grantNotice, 0, len(programs))
	for _, program := range programs {
		n := grantNotice{Program: program, Granted: b.knows(program)}
		b.mu.Lock()
		if k, also := b.known[program]; also {
			n.Total, n.Ahead = k.total, k.ahead
		}
		b.mu.Unlock()
		out = append(out, n)
	}
	return out
}

// draw takes the tokens asked for or more from the program's row, and returns what is
// left there too. The lump is zero when the row does not hold them.
func (b *budgets) draw(ctx context.Context, program string, total int, d ledger.Drawing) (lump, left int, err error) {
	key := budgetKey(program)
	row, version := ledger.Row{Total: total}, table.Absent
	if d.Recorded > 0 {
		if row, version, err = b.read(ctx, key, total); err != nil {
			return 0, 0, err
		}
	}
	for range maxDrawTries {
		if had := row.Drawn[b.holder]; had > d.Recorded {
			// An earlier draw of this entry went through though its answer was lost.
			return had - d.Recorded, row.Left(), nil
		}
		var next ledger.Row
		if next, lump = row.Draw(b.holder, d); lump == 0 {
			return 0, 0, nil
		}
		err = b.commits.apply(ctx, []table.Condition{{Key: key, Version: version}}, []table.Write{{Key: key, Value: next.Encode()}})
		if err == nil {
			if version == table.Absent {
				b.expiry.add(key, budgetIdle)
			}
			return lump, next.Left(), nil
		}
		if row, version, err = b.afterFailure(ctx, key, total, err); err != nil {
			return 0, 0, err
		}
	}
	return 0, 0, errors.Mark(errors.New("budget row changes too fast"), table.ErrUnavailable)
}

// afterFailure returns the row as it is after a swap that failed or whose outcome is unknown.
func (b *budgets) afterFailure(ctx context.Context, key string, total int, err error) (ledger.Row, int64, error) {
	var conflict *table.Conflict
	if errors.As(err, &conflict) {
		for _, r := range conflict.Rows {
			if r.Key == key {
				return decodeBudget(r)
			}
		}
	}
	if ctx.Err() != nil {
		return ledger.Row{}, 0, err
	}
	return b.read(ctx, key, total)
}

func (b *budgets) read(ctx context.Context, key string, total int) (ledger.Row, int64, error) {
	r, err := b.table.Get(ctx, key)
	if errors.Is(err, table.ErrNotFound) {
		return ledger.Row{Total: total}, table.Absent, nil
	}
	if err != nil {
		return ledger.Row{}, 0, err
	}
	return decodeBudget(r)
}

func decodeBudget(r table.Row) (ledger.Row, int64, error) {
	row, err := ledger.DecodeRow(r.Value)
	return row, r.Version, err
}

// forgetIdle drops accounts that no turn has used for a while.
func (b *budgets) forgetIdle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for program, of := range b.accounts {
		if of.drawing == nil && now.Sub(of.used) > budgetIdle {
			delete(b.accounts, program)
		}
	}
	for program, k := range b.known {
		if now.Sub(k.at) > budgetIdle {
			delete(b.known, program)
		}
	}
}

// recordLoop draws from the rows what was granted ahead of them as soon as they can be
// reached, until ctx ends.
func (b *budgets) recordLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, recordInterval)
		for _, call := range b.unrecorded() {
			go b.record(ctx, call)
		}
		for _, n := range b.orphaned(time.Now()) {
			go b.witness(ctx, n)
		}
	}
}

// orphaned lists the grants ahead of rows that this entry has heard of and that their
// owner, which may have ended, has not recorded for a while though it could.
func (b *budgets) orphaned(now time.Time) []grantNotice {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []grantNotice
	for program, k := range b.known {
		if !k.ahead || k.total <= 0 {
			continue
		}
		switch {
		case b.away(budgetKey(program)):
			k.reachable = time.Time{}
		case k.reachable.IsZero():
			k.reachable = now
		case now.Sub(k.reachable) > witnessAfter:
			k.reachable = now
			out = append(out, grantNotice{Program: program, Granted: k.granted, Total: k.total})
		}
		b.known[program] = k
	}
	return out
}

// witness records what a program was granted, in place of its owner.
func (b *budgets) witness(ctx context.Context, n grantNotice) {
	ctx, cancel := context.WithTimeout(ctx, witnessAfter)
	defer cancel()
	key := budgetKey(n.Program)
	for range maxDrawTries {
		row, version, err := b.read(ctx, key, n.Total)
		if err != nil {
			return // it is tried again after witnessAfter
		}
		next, changed := row.Witness(n.Granted)
		if changed {
			err = b.commits.apply(ctx, []table.Condition{{Key: key, Version: version}}, []table.Write{{Key: key, Value: next.Encode()}})
		}
		if err == nil {
			b.witnessed(n, changed)
			return
		}
	}
}

func (b *budgets) witnessed(n grantNotice, changed bool) {
	if changed {
		b.commits.metrics.grantsWitnessed.Inc(1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.known[n.Program]; k.granted == n.Granted {
		k.ahead = false
		b.known[n.Program] = k
	}
}

// unrecorded lists the programs with advances whose rows may be reachable.
func (b *budgets) unrecorded() []reserveCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	var calls []reserveCall
	for program, of := range b.accounts {
		if of.account.Advanced() > 0 && of.drawing == nil && !b.away(budgetKey(program)) {
			calls = append(calls, reserveCall{Program: program, Total: of.account.Total(), ID: of.asked})
		}
	}
	return calls
}

func (b *budgets) record(ctx context.Context, call reserveCall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	of := b.accounts[call.Program]
	if of == nil || of.drawing != nil || of.account.Advanced() == 0 {
		return
	}
	if err := b.drawLocked(ctx, of, call, false); err != nil {
		b.commits.metrics.advancesUnrecorded.Inc(1)
	}
}

// giveBack returns to the rows what this entry has drawn and not used, before it ends.
func (b *budgets) giveBack(ctx context.Context) {
	b.mu.Lock()
	free := map[string]int{}
	for program, of := range b.accounts {
		if n := of.account.Return(); n > 0 {
			free[program] = n
		}
	}
	b.mu.Unlock()
	var wait sync.WaitGroup
	for program, tokens := range free {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if err := b.giveBackOne(ctx, program, tokens); err != nil {
				b.commits.metrics.lumpsLost.Inc(1)
			}
		}()
	}
	wait.Wait()
}

func (b *budgets) giveBackOne(ctx context.Context, program string, tokens int) error {
	key := budgetKey(program)
	for range maxDrawTries {
		row, version, err := b.read(ctx, key, 0)
		if err != nil || version == table.Absent {
			return err
		}
		next := row.Return(b.holder, tokens)
		err = b.commits.apply(ctx, []table.Condition{{Key: key, Version: version}}, []table.Write{{Key: key, Value: next.Encode()}})
		// An unknown outcome is not repeated: tokens given back twice could be spent twice.
		if err == nil {
			b.owners.tell(ctx, grantNotice{Program: program, Granted: next.Total - next.Left(), Returned: true})
			return nil
		}
		if !errors.Is(err, table.ErrConditionFailed) {
			return err
		}
	}
	return errors.Mark(errors.New("budget row changes too fast"), table.ErrUnavailable)
}
