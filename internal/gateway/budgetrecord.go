package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/ledger"
)

// recordLoop records provisional grants in their rows once these are reachable, until ctx
// ends. It handles this entry's own grants, and those that other owners left unrecorded.
func (b *budgets) recordLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, recordInterval)
		for _, call := range b.unrecorded() {
			go b.record(call)
		}
		for _, o := range b.orphaned(time.Now()) {
			go b.recordOrphan(ctx, o)
		}
	}
}

// orphan holds provisional grants of one program that the incarnations that made them have not
// recorded.
type orphan struct {
	program string
	total   int
	granted ledger.Grants
}

// orphaned returns the provisional grants announced to this entry whose owners have not
// recorded them within recordForOwnerAfter of the row being reachable. Such an owner may
// have crashed.
func (b *budgets) orphaned(now time.Time) []orphan {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []orphan
	for program, k := range b.known {
		if len(k.provisional) == 0 || k.total <= 0 {
			continue // nothing to record, or no total with which to create a missing row
		}
		switch {
		case b.keyUnreachable(budgetKey(program)):
			k.reachableSince = time.Time{}
		case k.reachableSince.IsZero():
			k.reachableSince = now
		case now.Sub(k.reachableSince) > recordForOwnerAfter:
			k.reachableSince = now // the next attempt follows after recordForOwnerAfter
			o := orphan{program: program, total: k.total, granted: ledger.Grants{}}
			for holder := range k.provisional {
				o.granted[holder] = k.granted[holder]
			}
			out = append(out, o)
		}
	}
	return out
}

// recordOrphan records the grants of o in the row, under the names of the incarnations that
// made them.
func (b *budgets) recordOrphan(ctx context.Context, o orphan) {
	ctx, cancel := context.WithTimeout(ctx, recordForOwnerAfter)
	defer cancel()
	key := budgetKey(o.program)
	for range maxRowAttempts {
		row, version, err := b.read(ctx, key, o.total)
		if err != nil {
			return // orphaned lists them again after recordForOwnerAfter
		}
		// A write that fails or whose outcome is unknown is repeated on the current row. That is
		// safe, because RecordGrants takes the greater count of each holder.
		next, changed := row.RecordGrants(o.granted)
		if changed {
			err = b.commits.apply(ctx, []platformapi.Condition{{Key: key, Version: version}}, []platformapi.Write{{Key: key, Value: next.Encode()}})
		}
		if err == nil {
			b.markRecorded(o, changed)
			return
		}
	}
}

// markRecorded marks the grants of o as recorded, except those that a newer notice has
// changed. changed reports whether this entry wrote them to the row; if not, the row had them
// already.
func (b *budgets) markRecorded(o orphan, changed bool) {
	if changed {
		b.commits.metrics.orphansRecorded.Inc(1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.known[o.program]
	if k == nil {
		return
	}
	for holder, n := range o.granted {
		if k.granted[holder] == n {
			delete(k.provisional, holder)
		}
	}
}

// unrecorded returns the programs of this entry with provisional grants whose rows are not
// known to be unreachable, each as a call for 0 tokens to start a draw with.
func (b *budgets) unrecorded() []reserveCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	var calls []reserveCall
	for program, pb := range b.programs {
		if pb.account.Provisional() > 0 && pb.pendingDraw == nil && !b.keyUnreachable(budgetKey(program)) {
			calls = append(calls, reserveCall{Program: program, Total: pb.account.Total(), ID: pb.lastRequest})
		}
	}
	return calls
}

// record starts a draw that records this entry's provisional grants, and waits for it.
func (b *budgets) record(call reserveCall) {
	b.mu.Lock()
	pb := b.programs[call.Program]
	if pb == nil || pb.pendingDraw != nil || pb.account.Provisional() == 0 {
		b.mu.Unlock()
		return
	}
	draw := b.startDrawLocked(pb, call)
	b.mu.Unlock()
	<-draw.done
	if draw.err != nil {
		b.commits.metrics.provisionalGrantsUnrecorded.Inc(1)
	}
}

// returnUnused returns drawn and unused tokens to their rows when this entry shuts down.
func (b *budgets) returnUnused(ctx context.Context) {
	b.mu.Lock()
	type unusedTokens struct {
		holder string
		tokens int
	}
	unused := map[string]unusedTokens{}
	for program, pb := range b.programs {
		if n := pb.account.ReturnFree(); n > 0 {
			unused[program] = unusedTokens{pb.holder, n}
		}
	}
	b.mu.Unlock()
	var wait sync.WaitGroup
	for program, u := range unused {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if err := b.returnTokens(ctx, program, u.holder, u.tokens); err != nil {
				b.commits.metrics.blocksLost.Inc(1)
			}
		}()
	}
	wait.Wait()
}

// returnTokens returns tokens of an account to the program's row and announces what the account
// retains.
func (b *budgets) returnTokens(ctx context.Context, program, holder string, tokens int) error {
	key := budgetKey(program)
	for range maxRowAttempts {
		// The total is used only for a row that does not exist.
		row, version, err := b.read(ctx, key, 0)
		if err != nil || version == platformapi.Absent {
			return err
		}
		next := row.Return(holder, tokens)
		err = b.commits.apply(ctx, []platformapi.Condition{{Key: key, Version: version}}, []platformapi.Write{{Key: key, Value: next.Encode()}})
		if err == nil {
			b.owners.announce(ctx, grantNotice{Program: program, Holder: holder, Granted: next.Drawn[holder], Returned: true})
			return nil
		}
		// A write with an unknown outcome is not repeated: tokens returned twice could be
		// spent twice.
		if !errors.Is(err, platformapi.ErrConditionFailed) {
			return err
		}
	}
	return errors.Mark(errors.Newf("budget row %q: %d compare-and-swaps failed", key, maxRowAttempts), platformapi.ErrUnavailable)
}
