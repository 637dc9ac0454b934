package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/ledger"
)

// partitionOf returns the part of the row of an id.
func partitionOf(id string) string {
	return strconv.FormatUint(xxhash.Sum64String(id)%rowParts, 16)
}

func budgetKey(program string) string { return "budgets/" + partitionOf(program) + "/" + program }

// awaitLocked waits for the draw under way.
func (b *budgets) awaitLocked(ctx context.Context, of *budget) error {
	drawing := of.drawing
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case <-drawing:
		return nil
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), platformapi.ErrUnavailable)
	}
}

// rowDraw is a draw from a program's row on its way.
type rowDraw struct {
	// done is closed when it has ended; err is set by then.
	done chan struct{}
	err  error
}

// errRowSlow says that a row has not answered for a while; it still may.
var errRowSlow = errors.Mark(errors.New("the row takes long"), platformapi.ErrUnavailable)

// drawLocked draws a lump from the program's row; the lock is released meanwhile. While
// the row can't be reached, or takes long, the owner grants tokens ahead of it instead.
//
// It answers the pattern of an outage that has just begun: until it is noticed each draw
// goes without an answer.
func (b *budgets) drawLocked(ctx context.Context, of *budget, call reserveCall, owner bool) error {
	of.drawing = make(chan struct{})
	defer func() {
		close(of.drawing)
		of.drawing = nil
	}()
	// Other turns wait for the draw too, so it outlives the call that began it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drawTimeout)
	defer cancel()
	away := b.away(budgetKey(call.Program))
	ahead := owner && (away || b.slow())
	if ahead && b.advanceLocked(ctx, of, call) {
		return nil // recordLoop draws it in the background
	}
	if owner && away || b.lost() {
		return errors.Wrap(platformapi.ErrUnavailable, "the row can't be reached")
	}
	row := b.startDrawLocked(of, call)
	if !owner || ahead {
		return b.awaitRowLocked(ctx, row, drawTimeout)
	}
	err := b.awaitRowLocked(ctx, row, drawPatience)
	if isTableFailure(err) && b.advanceLocked(ctx, of, call) {
		return nil
	}
	if errors.Is(err, errRowSlow) {
		err = b.awaitRowLocked(ctx, row, drawTimeout)
	}
	return err
}

// awaitRowLocked waits for a draw, for patience at most; the lock is released meanwhile.
func (b *budgets) awaitRowLocked(ctx context.Context, row *rowDraw, patience time.Duration) error {
	b.mu.Unlock()
	defer b.mu.Lock()
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case <-row.done:
		return row.err
	case <-t.C:
		return errRowSlow
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), platformapi.ErrUnavailable)
	}
}

// startDrawLocked begins a draw from the program's row unless one is on its way. A call
// whose most is zero only records what was granted ahead of the row.
func (b *budgets) startDrawLocked(of *budget, call reserveCall) *rowDraw {
	if of.row != nil {
		return of.row
	}
	row := &rowDraw{done: make(chan struct{})}
	of.row = row
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
		defer cancel()
		b.mu.Lock()
		defer b.mu.Unlock()
		row.err = b.drawRowLocked(ctx, of, call)
		of.row = nil
		close(row.done)
	}()
	return row
}

// drawRowLocked draws from the program's row; the lock is released meanwhile.
func (b *budgets) drawRowLocked(ctx context.Context, of *budget, call reserveCall) error {
	b.learnLocked(ctx, of, call.Program)
	state := of.account.Drawing(call.MaxTokens)
	b.mu.Unlock()
	lump, err := b.draw(ctx, call.Program, call.Total, state)
	b.mu.Lock()
	if err != nil {
		return err
	}
	of.account.Drawn(state, lump)
	go b.owners.tell(context.WithoutCancel(ctx), b.notice(call, of.account.Granted(), of.account.Advanced() > 0))
	return nil
}

// draw takes the tokens asked for or more from the program's row. It returns zero when
// the row does not hold them.
func (b *budgets) draw(ctx context.Context, program string, total int, d ledger.Drawing) (lump int, err error) {
	key := budgetKey(program)
	row, version := ledger.Row{Total: total}, platformapi.Absent
	if d.Recorded > 0 {
		if row, version, err = b.read(ctx, key, total); err != nil {
			return 0, err
		}
	}
	for range maxDrawTries {
		if had := row.Drawn[b.holder]; had > d.Recorded {
			// An earlier draw of this entry went through though its answer was lost.
			return had - d.Recorded, nil
		}
		var next ledger.Row
		if next, lump = row.Draw(b.holder, d); lump == 0 {
			return 0, nil
		}
		err = b.commits.apply(ctx, []platformapi.Condition{{Key: key, Version: version}}, []platformapi.Write{{Key: key, Value: next.Encode()}})
		if err == nil {
			if version == platformapi.Absent {
				b.expiry.add(key, budgetIdle)
			}
			return lump, nil
		}
		if row, version, err = b.afterFailure(ctx, key, total, err); err != nil {
			return 0, err
		}
	}
	return 0, errors.Mark(errors.New("budget row changes too fast"), platformapi.ErrUnavailable)
}

// afterFailure returns the row as it is after a swap that failed or whose outcome is unknown.
func (b *budgets) afterFailure(ctx context.Context, key string, total int, err error) (ledger.Row, int64, error) {
	var conflict *platformapi.Conflict
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
	if errors.Is(err, platformapi.ErrNotFound) {
		return ledger.Row{Total: total}, platformapi.Absent, nil
	}
	if err != nil {
		return ledger.Row{}, 0, err
	}
	return decodeBudget(r)
}

func decodeBudget(r platformapi.Row) (ledger.Row, int64, error) {
	row, err := ledger.DecodeRow(r.Value)
	return row, r.Version, err
}

// forgetIdle drops accounts that no turn has used for a while.
func (b *budgets) forgetIdle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for program, of := range b.accounts {
		if of.drawing == nil && of.row == nil && now.Sub(of.used) > budgetIdle {
			delete(b.accounts, program)
		}
	}
	for program, k := range b.known {
		if now.Sub(k.at) > budgetIdle {
			delete(b.known, program)
		}
	}
}
