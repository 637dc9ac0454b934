package gateway

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

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

// rowWrite is a change of a program's row in flight.
type rowWrite struct {
	// id is the reservation that the change is for; empty if it only records what is pending.
	id string
	// done is closed when the write has ended; err is valid from then on.
	done chan struct{}
	err  error
}

// errWritePending reports that a write has not finished within the time given. It continues.
var errWritePending = errors.Mark(errors.New("the change of the budget row has not finished"), platformapi.ErrUnavailable)

// obtainLocked obtains the tokens of a call by a change of the program's row, or by a claim when
// this entry is the owner and the row is unreachable or slow. The lock is released meanwhile.
//
// The owner waits for the row for claimAfter before it tries a claim. At the start of an outage
// writes stay unanswered until the outage is detected.
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
	claimFirst := isOwner && (unreachable || b.tableSlow())
	if claimFirst && b.claimLocked(ctx, pb, call) {
		return nil // recordLoop records it
	}
	// An entry that is not the owner still tries the write while only this row is known to be
	// unreachable.
	if isOwner && unreachable || b.tableUnreachable() {
		return errors.Wrapf(platformapi.ErrUnavailable, "budget row of program %q is unreachable", call.Program)
	}
	w := b.startWriteLocked(pb, call)
	if !isOwner || claimFirst {
		// A claim is not allowed here, or was not made above.
		return b.awaitWriteLocked(ctx, w, drawTimeout)
	}
	err := b.awaitWriteLocked(ctx, w, claimAfter)
	// errWritePending counts as a failure of the table here.
	if tablerelay.IsFailure(err) && b.claimLocked(ctx, pb, call) {
		return nil
	}
	if errors.Is(err, errWritePending) {
		err = b.awaitWriteLocked(ctx, w, drawTimeout)
	}
	if errors.Is(err, errBudgetSpent) && w.id != call.ID {
		return nil // the tokens of another turn were refused; this one asks for itself
	}
	return err
}

// awaitWriteLocked waits for a write for at most the timeout, after which it returns
// errWritePending; the lock is released meanwhile.
func (b *budgets) awaitWriteLocked(ctx context.Context, w *rowWrite, timeout time.Duration) error {
	b.mu.Unlock()
	defer b.mu.Lock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-w.done:
		return w.err
	case <-t.C:
		return errWritePending
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), platformapi.ErrUnavailable)
	}
}

// startWriteLocked starts a change of the program's row in the background and returns it. If
// one is in flight, it returns that one, even if it is for another turn. A call without an id only
// records what is pending.
func (b *budgets) startWriteLocked(pb *programBudget, call reserveCall) *rowWrite {
	if pb.pendingWrite != nil {
		return pb.pendingWrite
	}
	w := &rowWrite{id: call.ID, done: make(chan struct{})}
	pb.pendingWrite = w
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
		defer cancel()
		b.mu.Lock()
		defer b.mu.Unlock()
		w.err = b.writeLocked(ctx, pb, call)
		pb.pendingWrite = nil
		close(w.done)
		// What ended meanwhile is recorded now rather than by recordLoop.
		b.flushLocked(call.Program, pb)
	}()
	return w
}

// flushLocked starts a write of what the row should show soon, unless it is known to be unreachable.
func (b *budgets) flushLocked(program string, pb *programBudget) {
	if pb.ledger.Flush() && pb.pendingWrite == nil && !b.keyUnreachable(budgetKey(program)) && pb.flushes < maxFlushes {
		pb.flushes++
		b.startWriteLocked(pb, reserveCall{Program: program, Total: pb.ledger.Total()})
	}
}

// writeLocked changes the program's row for a call. The lock is released during calls to other
// entries and to the table.
func (b *budgets) writeLocked(ctx context.Context, pb *programBudget, call reserveCall) error {
	known := b.knownClaimsLocked(ctx, pb, call)
	res, err := b.applyChangeLocked(ctx, pb, call, known)
	if err != nil || !res.Short {
		return err
	}
	// Other entries may hold unused tokens: those that owned the budget before.
	if len(res.Holders) > 0 {
		b.mu.Unlock()
		released := b.owners.releaseAt(ctx, call.Program, res.Holders)
		b.mu.Lock()
		if released {
			if res, err = b.applyChangeLocked(ctx, pb, call, known); err != nil || !res.Short {
				return err
			}
		}
		if b.claimLocked(ctx, pb, call) {
			return nil
		}
	}
	pb.spentAt = time.Now()
	b.log.Info("budget_spent").Str("request", call.ID).Str("program", call.Program).Int("tokens", int64(call.MaxTokens)).
		Int("budget", int64(call.Total)).Int("remaining", int64(res.Row.Remaining())).Int("unresolved", int64(len(res.Unresolved))).Int("pending", int64(len(res.Row.Pending))).
		Str("row", string(res.Row.Encode())).End()
	return errBudgetSpent
}

// applyChangeLocked carries out the change of the row for a call once. The lock is released meanwhile.
func (b *budgets) applyChangeLocked(ctx context.Context, pb *programBudget, call reserveCall, known ledger.Grants) (ledger.Result, error) {
	change := pb.ledger.Change(call.ID, call.MaxTokens, known)
	held := pb.held
	if held == nil {
		held = &heldRow{exists: pb.ledger.RowSeen()}
	}
	b.mu.Unlock()
	res, unknown, err := b.changeRow(ctx, call, &change, held)
	b.mu.Lock()
	pb.held = held
	if err != nil {
		pb.ledger.Failed(change, unknown)
		return res, err
	}
	if recorded := pb.ledger.Applied(change, res); len(recorded) > 0 {
		go b.announceRecorded(context.WithoutCancel(ctx), call.Program, res.Row, recorded)
	}
	return res, nil
}

// heldRow is what an entry remembers of a program's row between two changes, to save a read.
type heldRow struct {
	// exists reports whether the row was there when it was last seen.
	exists bool
	// row is the row at the version; version is 0 if that is not known.
	row     ledger.Row
	version int64
}

// changeRow applies a change to the program's row by compare-and-swap and returns its result. If it
// fails, unknown reports whether the change may have been applied or may still be. It begins with the
// row that is held, and updates that.
//
// If too few tokens are left, the ends of turns that other entries reserved are read from the stored
// turns first.
func (b *budgets) changeRow(ctx context.Context, call reserveCall, change *ledger.Change, held *heldRow) (res ledger.Result, unknown bool, err error) {
	key := budgetKey(call.Program)
	// The first write assumes that there is no row yet, which saves a read. If there is one, the
	// write fails with a conflict, which carries the row.
	row, version := ledger.Row{Total: call.Total}, platformapi.Absent
	known := *held
	held.version = 0
	switch {
	case known.version != 0:
		row, version = known.row, known.version
	case known.exists:
		if row, version, err = b.read(ctx, key, call.Total); err != nil {
			return res, false, err
		}
	}
	unanswered := int64(-1) // the version that a write without an answer expected
	resolved := false
	for range maxRowAttempts {
		res = row.Apply(*change)
		if res.Short && !resolved && len(res.Unresolved)+len(res.PendingAt) > 0 {
			resolved, change.Gone = true, b.owners.gone(res.PendingAt)
			used, err := b.endsOf(ctx, res.Unresolved)
			if err != nil {
				return res, unanswered >= 0, err
			}
			change.Resolved(used)
			if len(used) > 0 {
				b.log.Info("budget_resolved").Str("request", call.ID).Str("program", call.Program).Int("unresolved", int64(len(res.Unresolved))).Int("ended", int64(len(used))).End()
			}
			res = row.Apply(*change)
		}
		if !res.Write {
			// The row that was held may be old; that too few tokens are left must be true of the present one.
			if version != known.version || version == platformapi.Absent {
				*held = heldRow{exists: version != platformapi.Absent, row: row, version: version}
				return res, false, nil
			}
			known.version = 0
			if row, version, err = b.read(ctx, key, call.Total); err != nil {
				return res, unanswered >= 0, err
			}
			continue
		}
		var applied int64
		applied, err = b.commits.applyVersioned(ctx, []platformapi.Condition{{Key: key, Version: version}}, []platformapi.Write{{Key: key, Value: res.Row.Encode()}})
		if err == nil {
			b.expiry.watch(key, applied, time.Now())
			*held = heldRow{exists: true, row: res.Row, version: applied}
			if len(res.Dropped) > 0 {
				b.commits.metrics.reservationsDropped.Inc(int64(len(res.Dropped)))
				b.log.Info("budget_reservations_dropped").Str("request", call.ID).Str("program", call.Program).Int("row_version", applied).
					Str("dropped", strings.Join(res.Dropped, " ")).Str("gone", strings.Join(change.Gone, " ")).Int("remaining", int64(res.Row.Remaining())).End()
			}
			return res, false, nil
		}
		if !errors.Is(err, platformapi.ErrConditionFailed) && !errors.Is(err, platformapi.ErrNotApplied) {
			unanswered = version
		}
		if row, version, err = b.rowAfterFailure(ctx, key, call.Total, err); err != nil {
			return res, unanswered >= 0, err
		}
		if version != unanswered {
			unanswered = -1 // it was applied, or its condition fails from now on
		}
	}
	return res, unanswered >= 0, errors.Mark(errors.Newf("budget row %q: %d compare-and-swaps failed", key, maxRowAttempts), platformapi.ErrUnavailable)
}

// endsOf returns, by key, the tokens used by those of the reservations and claims whose turns are stored.
// It fails if that can't be read of one of them.
func (b *budgets) endsOf(ctx context.Context, keys []string) (map[string]ledger.Usage, error) {
	var mu sync.Mutex
	used := map[string]ledger.Usage{}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	for _, key := range keys {
		group.Go(func() error {
			u, stored, err := b.usageOf(ctx, ledger.TurnOf(key))
			if err == nil && stored {
				mu.Lock()
				defer mu.Unlock()
				used[key] = u
			}
			return err
		})
	}
	return used, group.Wait()
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
// are being obtained for them, and returns their unused tokens to the rows. It also drops what other
// entries announced of programs of which no notice arrived for knownIdle.
func (b *budgets) forgetIdle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for program, pb := range b.programs {
		if pb.obtaining != nil || pb.pendingWrite != nil || len(pb.ledger.Claims()) > 0 || now.Sub(pb.lastUsed) <= budgetIdle {
			continue
		}
		delete(b.programs, program)
		if pb.ledger.Release(); pb.ledger.Flush() {
			go b.flushForgotten(program, pb)
		}
	}
	for program, k := range b.known {
		if now.Sub(k.updated) > knownIdle {
			delete(b.known, program)
		}
	}
}

// flushForgotten records what the row of a dropped program lacks. If that fails, unused tokens
// count as spent.
func (b *budgets) flushForgotten(program string, pb *programBudget) {
	ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
	defer cancel()
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.writeLocked(ctx, pb, reserveCall{Program: program, Total: pb.ledger.Total()}); err != nil {
		b.commits.metrics.blocksLost.Inc(1)
		b.log.Info("budget_not_returned").Str("program", program).Str("holder", pb.ledger.Holder()).Err(err).End()
	}
}
