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
	// rowParts is the number of parts over which rows are spread: one part takes 250
	// transactions a second, the table six times as many.
	rowParts = 16
	// maxDrawTries bounds the compare-and-swaps of one draw; each failure means that
	// another entry has drawn.
	maxDrawTries = 6
	// drawTimeout bounds how long a turn waits for its draw.
	drawTimeout = 900 * time.Millisecond
	// budgetIdle is how long an account without turns is remembered; a program's turns
	// follow each other within seconds.
	budgetIdle = 2 * time.Minute
)

// partOf returns the part of the row of an id.
func partOf(id string) string {
	return strconv.FormatUint(xxhash.Sum64String(id)%rowParts, 16)
}

func budgetKey(program string) string { return "budgets/" + partOf(program) + "/" + program }

// budgets keeps the accounts of the programs that this entry has seen.
type budgets struct {
	table   table.Table
	commits *committer
	holder  string

	mu       sync.Mutex
	accounts map[string]*budget
}

type budget struct {
	account *ledger.Account
	// drawing is closed when the draw under way ends; nil when none is.
	drawing chan struct{}
	used    time.Time
}

func newBudgets(t table.Table, c *committer, holder string) *budgets {
	return &budgets{table: t, commits: c, holder: holder, accounts: map[string]*budget{}}
}

// reservation is the most that one turn may generate, set aside from its program's budget.
type reservation struct {
	b    *budgets
	of   *budget
	most int
}

// settle ends the reservation with the tokens that were handed to the caller.
func (r *reservation) settle(used int) {
	if r == nil {
		return
	}
	r.b.mu.Lock()
	r.of.account.Settle(r.most, used)
	r.b.mu.Unlock()
}

// reserve sets aside most tokens of the program's budget of total. It returns
// errBudgetSpent, or an error of the table when it can't tell.
func (b *budgets) reserve(ctx context.Context, program string, total, most int) (*reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	b.mu.Lock()
	defer b.mu.Unlock()
	of := b.accounts[program]
	if of == nil {
		of = &budget{account: ledger.NewAccount(total)}
		b.accounts[program] = of
	}
	of.used = time.Now()
	for {
		if of.account.Reserve(most) {
			return &reservation{b: b, of: of, most: most}, nil
		}
		if of.account.Exhausted() {
			return nil, errBudgetSpent
		}
		if of.drawing == nil {
			if err := b.drawLocked(ctx, of, program, total, most); err != nil {
				return nil, err
			}
			continue
		}
		if err := b.awaitLocked(ctx, of); err != nil {
			return nil, err
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

// drawLocked draws a lump from the program's row; the lock is released meanwhile.
func (b *budgets) drawLocked(ctx context.Context, of *budget, program string, total, most int) error {
	of.drawing = make(chan struct{})
	granted := of.account.Granted()
	need := most - of.account.Free()
	b.mu.Unlock()
	lump, err := b.draw(ctx, program, total, granted, need)
	b.mu.Lock()
	close(of.drawing)
	of.drawing = nil
	if err != nil {
		return err
	}
	if lump == 0 {
		of.account.Exhaust()
		return nil
	}
	of.account.Grant(lump)
	return nil
}

// draw takes need tokens or more from the program's row, of which this life of the
// entry has drawn granted. It returns zero when the row does not hold them.
func (b *budgets) draw(ctx context.Context, program string, total, granted, need int) (int, error) {
	key := budgetKey(program)
	row, version := ledger.Row{Total: total}, table.Absent
	if granted > 0 {
		var err error
		if row, version, err = b.read(ctx, key, total); err != nil {
			return 0, err
		}
	}
	for range maxDrawTries {
		if had := row.Drawn[b.holder]; had > granted {
			// An earlier draw of this entry went through though its answer was lost.
			return had - granted, nil
		}
		next, lump := row.Draw(b.holder, need)
		if lump == 0 {
			return 0, nil
		}
		err := b.commits.apply(ctx, []table.Condition{{Key: key, Version: version}}, []table.Write{{Key: key, Value: next.Encode()}})
		if err == nil {
			return lump, nil
		}
		if row, version, err = b.afterFailure(ctx, key, total, err); err != nil {
			return 0, err
		}
	}
	return 0, errors.Mark(errors.New("budget row changes too fast"), table.ErrUnavailable)
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
}
