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

// partitionOf returns the table partition that holds the row of an id.
func partitionOf(id string) string {
	return strconv.FormatUint(xxhash.Sum64String(id)%rowPartitions, 16)
}

func budgetKey(program string) string { return "budgets/" + partitionOf(program) + "/" + program }

// awaitLocked waits for the draw in progress; the lock is released meanwhile.
func (b *budgets) awaitLocked(ctx context.Context, pb *programBudget) error {
	drawing := pb.drawing
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case <-drawing:
		return nil
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), platformapi.ErrUnavailable)
	}
}

// rowDraw is a draw from a program's row in flight.
type rowDraw struct {
	// done is closed when the draw has ended; err is valid from then on.
	done chan struct{}
	err  error
}

// errRowSlow reports that a row has not answered within the time given; the draw continues.
var errRowSlow = errors.Mark(errors.New("the budget row has not answered yet"), platformapi.ErrUnavailable)

// drawLocked draws a block of tokens from the program's row; the lock is released
// meanwhile. While the row is unreachable or slow, the owner grants tokens provisionally
// instead.
//
// The owner does not wait for the full timeout because, at the start of an outage, draws
// remain unanswered until the outage is detected.
func (b *budgets) drawLocked(ctx context.Context, pb *programBudget, call reserveCall, isOwner bool) error {
	pb.drawing = make(chan struct{})
	defer func() {
		close(pb.drawing)
		pb.drawing = nil
	}()
	// Other turns wait for the draw too, so it must outlive the call that started it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drawTimeout)
	defer cancel()
	unreachable := b.keyUnreachable(budgetKey(call.Program))
	provisional := isOwner && (unreachable || b.tableSlow())
	if provisional && b.grantProvisionallyLocked(ctx, pb, call) {
		return nil // recordLoop draws the tokens in the background
	}
	if isOwner && unreachable || b.tableUnreachable() {
		return errors.Wrapf(platformapi.ErrUnavailable, "budget row of program %q is unreachable", call.Program)
	}
	draw := b.startDrawLocked(pb, call)
	if !isOwner || provisional {
		return b.awaitRowLocked(ctx, draw, drawTimeout)
	}
	err := b.awaitRowLocked(ctx, draw, provisionalAfter)
	if isTableFailure(err) && b.grantProvisionallyLocked(ctx, pb, call) {
		return nil
	}
	if errors.Is(err, errRowSlow) {
		err = b.awaitRowLocked(ctx, draw, drawTimeout)
	}
	return err
}

// awaitRowLocked waits for a draw for at most the timeout, after which it returns
// errRowSlow; the lock is released meanwhile.
func (b *budgets) awaitRowLocked(ctx context.Context, draw *rowDraw, timeout time.Duration) error {
	b.mu.Unlock()
	defer b.mu.Lock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-draw.done:
		return draw.err
	case <-t.C:
		return errRowSlow
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), platformapi.ErrUnavailable)
	}
}

// startDrawLocked starts a draw from the program's row unless one is in flight. A call
// whose MaxTokens is 0 only records what was granted provisionally.
func (b *budgets) startDrawLocked(pb *programBudget, call reserveCall) *rowDraw {
	if pb.pendingDraw != nil {
		return pb.pendingDraw
	}
	draw := &rowDraw{done: make(chan struct{})}
	pb.pendingDraw = draw
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
		defer cancel()
		b.mu.Lock()
		defer b.mu.Unlock()
		draw.err = b.drawRowLocked(ctx, pb, call)
		pb.pendingDraw = nil
		close(draw.done)
	}()
	return draw
}

// drawRowLocked draws from the program's row and announces the grant; the lock is released
// during the draw.
func (b *budgets) drawRowLocked(ctx context.Context, pb *programBudget, call reserveCall) error {
	b.updateOthersLocked(ctx, pb, call.Program)
	request := pb.account.DrawRequest(call.MaxTokens)
	b.mu.Unlock()
	block, err := b.draw(ctx, call.Program, call.Total, request)
	b.mu.Lock()
	if err != nil {
		return err
	}
	pb.account.ApplyDraw(request, block)
	go b.owners.announce(context.WithoutCancel(ctx), b.notice(call, pb.account.Granted(), pb.account.Provisional() > 0))
	return nil
}

// draw takes a block of at least the requested tokens from the program's row and returns
// its size; 0 means that the row does not hold that many.
func (b *budgets) draw(ctx context.Context, program string, total int, d ledger.DrawRequest) (block int, err error) {
	key := budgetKey(program)
	row, version := ledger.Row{Total: total}, platformapi.Absent
	if d.Recorded > 0 {
		if row, version, err = b.read(ctx, key, total); err != nil {
			return 0, err
		}
	}
	for range maxDrawAttempts {
		if drawn := row.Drawn[b.holder]; drawn > d.Recorded {
			// An earlier draw of this entry was applied, but its answer was lost.
			return drawn - d.Recorded, nil
		}
		var next ledger.Row
		if next, block = row.Draw(b.holder, d); block == 0 {
			return 0, nil
		}
		err = b.commits.apply(ctx, []platformapi.Condition{{Key: key, Version: version}}, []platformapi.Write{{Key: key, Value: next.Encode()}})
		if err == nil {
			if version == platformapi.Absent {
				b.expiry.add(key, budgetIdle)
			}
			return block, nil
		}
		if row, version, err = b.rowAfterFailure(ctx, key, total, err); err != nil {
			return 0, err
		}
	}
	return 0, errors.Mark(errors.Newf("budget row %q: %d compare-and-swaps failed", key, maxDrawAttempts), platformapi.ErrUnavailable)
}

// rowAfterFailure returns the current row after a compare-and-swap that failed with err or
// whose outcome is unknown.
func (b *budgets) rowAfterFailure(ctx context.Context, key string, total int, err error) (ledger.Row, int64, error) {
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

// read reads a budget row and its version. A row that does not exist yet has the total and
// the version Absent.
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

// forgetIdle drops accounts and known grants that were not used for budgetIdle.
func (b *budgets) forgetIdle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for program, pb := range b.accounts {
		if pb.drawing == nil && pb.pendingDraw == nil && now.Sub(pb.lastUsed) > budgetIdle {
			delete(b.accounts, program)
		}
	}
	for program, k := range b.known {
		if now.Sub(k.updated) > budgetIdle {
			delete(b.known, program)
		}
	}
}
