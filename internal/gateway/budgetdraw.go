package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/tablerelay"
	"github.com/buckthornroute/buckthornroute/ledger"
)

// partitionOf returns the table partition that holds the row of an id.
func partitionOf(id string) string {
	return strconv.FormatUint(xxhash.Sum64String(id)%rowPartitions, 16)
}

// budgetKey returns the key of the row of the program's budget.
func budgetKey(program string) string { return "budgets/" + partitionOf(program) + "/" + program }

// awaitObtainingLocked waits until the turn that is obtaining tokens for the program is
// done; the lock is released meanwhile.
func (b *budgets) awaitObtainingLocked(ctx context.Context, pb *programBudget) error {
	obtaining := pb.obtaining
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case <-obtaining:
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

// errDrawPending reports that a draw has not finished within the time given. The draw
// continues.
var errDrawPending = errors.Mark(errors.New("the draw from the budget row has not finished"), platformapi.ErrUnavailable)

// obtainLocked obtains tokens for the call by a draw from the program's row, or by a
// provisional grant when this entry is the owner and the row is unreachable or slow. The
// lock is released meanwhile.
//
// The owner waits for the draw for provisionalAfter before it tries a provisional grant. At
// the start of an outage draws stay unanswered until the outage is detected.
func (b *budgets) obtainLocked(ctx context.Context, pb *programBudget, call reserveCall, isOwner bool) error {
	pb.obtaining = make(chan struct{})
	defer func() {
		close(pb.obtaining)
		pb.obtaining = nil
	}()
	// Other turns wait for these tokens too, so this must outlive the call that started it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drawTimeout)
	defer cancel()
	unreachable := b.keyUnreachable(budgetKey(call.Program))
	provisional := isOwner && (unreachable || b.tableSlow())
	if provisional && b.grantProvisionallyLocked(ctx, pb, call) {
		return nil // recordLoop draws the tokens in the background
	}
	// An entry that is not the owner still tries the draw while only this row is known to be
	// unreachable.
	if isOwner && unreachable || b.tableUnreachable() {
		return errors.Wrapf(platformapi.ErrUnavailable, "budget row of program %q is unreachable", call.Program)
	}
	draw := b.startDrawLocked(pb, call)
	if !isOwner || provisional {
		// A provisional grant is not allowed here, or was not made above.
		return b.awaitDrawLocked(ctx, draw, drawTimeout)
	}
	err := b.awaitDrawLocked(ctx, draw, provisionalAfter)
	// errDrawPending counts as a failure of the table here.
	if tablerelay.IsFailure(err) && b.grantProvisionallyLocked(ctx, pb, call) {
		return nil
	}
	if errors.Is(err, errDrawPending) {
		err = b.awaitDrawLocked(ctx, draw, drawTimeout)
	}
	return err
}

// awaitDrawLocked waits for a draw for at most the timeout, after which it returns
// errDrawPending; the lock is released meanwhile.
func (b *budgets) awaitDrawLocked(ctx context.Context, draw *rowDraw, timeout time.Duration) error {
	b.mu.Unlock()
	defer b.mu.Lock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-draw.done:
		return draw.err
	case <-t.C:
		return errDrawPending
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), platformapi.ErrUnavailable)
	}
}

// startDrawLocked starts a draw from the program's row in the background and returns it. If
// a draw is in flight, it returns that one, even if it was started for fewer tokens. Each draw
// also records the tokens that were granted provisionally; a call whose MaxTokens is 0 needs
// no others.
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
		draw.err = b.drawAndAnnounceLocked(ctx, pb, call)
		pb.pendingDraw = nil
		close(draw.done)
	}()
	return draw
}

// drawAndAnnounceLocked draws from the program's row and announces the grants of this entry. It
// does not wait until other entries have received the notice. The lock is released during calls
// to other entries and to the table.
func (b *budgets) drawAndAnnounceLocked(ctx context.Context, pb *programBudget, call reserveCall) error {
	b.updateOthersLocked(ctx, pb, call.Program)
	request := pb.account.NextDraw(call.MaxTokens)
	b.mu.Unlock()
	block, err := b.drawFromRow(ctx, pb.holder, call.Program, call.Total, request)
	b.mu.Lock()
	if err != nil {
		return err
	}
	pb.account.ApplyDraw(request, block)
	go b.owners.announce(context.WithoutCancel(ctx), b.notice(pb, call, pb.account.Granted(), pb.account.Provisional() > 0))
	return nil
}

// drawFromRow takes a block of tokens from the program's row for an account and returns its size:
// usually at least d.Need, or 0 when the row has too few tokens left. The block is smaller when the
// row already shows more than d.KnownDrawn for this account.
func (b *budgets) drawFromRow(ctx context.Context, holder, program string, total int, d ledger.DrawRequest) (block int, err error) {
	key := budgetKey(program)
	// The first draw assumes that there is no row yet, which saves a read. If there is one, the
	// write fails with a conflict, which carries the row.
	row, version := ledger.Row{Total: total}, platformapi.Absent
	if d.KnownDrawn > 0 {
		if row, version, err = b.read(ctx, key, total); err != nil {
			return 0, err
		}
	}
	for range maxRowAttempts {
		if version == platformapi.Absent && d.KnownDrawn > 0 {
			// The row was deleted while the program still ran.
			row.Drawn = map[string]int{holder: d.KnownDrawn}
		}
		if drawn := row.Drawn[holder]; drawn > d.KnownDrawn {
			// The answer to an earlier draw of this account was lost, or another entry recorded
			// its provisional grants.
			return drawn - d.KnownDrawn, nil
		}
		var next ledger.Row
		if next, block = row.Draw(holder, d); block == 0 {
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
	return 0, errors.Mark(errors.Newf("budget row %q: %d compare-and-swaps failed", key, maxRowAttempts), platformapi.ErrUnavailable)
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

// decodeBudget returns the budget row in r and its version.
func decodeBudget(r platformapi.Row) (ledger.Row, int64, error) {
	row, err := ledger.DecodeRow(r.Value)
	return row, r.Version, errors.Wrapf(err, "row %q", r.Key)
}

// forgetIdle drops the budgets of programs that requested no turn for budgetIdle, unless tokens
// are being obtained or drawn for them or were granted provisionally, and returns their unused
// tokens to the rows. It also drops the known grants of programs of which no notice arrived for
// budgetIdle.
func (b *budgets) forgetIdle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for program, pb := range b.programs {
		if pb.obtaining != nil || pb.pendingDraw != nil || pb.account.Provisional() > 0 || now.Sub(pb.lastUsed) <= budgetIdle {
			continue
		}
		delete(b.programs, program)
		if n := pb.account.ReturnFree(); n > 0 {
			go b.returnForgotten(program, pb.holder, n)
		}
	}
	for program, k := range b.known {
		if now.Sub(k.updated) > budgetIdle {
			delete(b.known, program)
		}
	}
}

// returnForgotten returns the unused tokens of an account that was dropped. If that fails, they
// count as spent.
func (b *budgets) returnForgotten(program, holder string, tokens int) {
	ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
	defer cancel()
	if err := b.returnTokens(ctx, program, holder, tokens); err != nil {
		b.commits.metrics.blocksLost.Inc(1)
		b.log.Info("budget_not_returned").Str("program", program).Int("tokens", int64(tokens)).Err(err).End()
	}
}
