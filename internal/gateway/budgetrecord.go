package gateway

import (
	"context"
	"sync"
	"time"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/ledger"
)

// recordLoop writes what the rows lack once these are reachable, until ctx ends: this entry's claims
// and ends of turns, and claims that other entries left unrecorded.
func (b *budgets) recordLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, recordInterval)
		b.flushAll()
		for _, o := range b.orphaned(time.Now()) {
			go b.recordOrphan(ctx, o)
		}
	}
}

// flushAll starts a write for each program whose row lacks something and is not known to be
// unreachable.
func (b *budgets) flushAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for program, pb := range b.programs {
		pb.flushes = 0
		if !pb.ledger.Flush() || pb.pendingWrite != nil || b.keyUnreachable(budgetKey(program)) {
			continue
		}
		w := b.startWriteLocked(pb, reserveCall{Program: program, Total: pb.ledger.Total()})
		go func() {
			if <-w.done; w.err != nil {
				b.commits.metrics.provisionalGrantsUnrecorded.Inc(1)
			}
		}()
	}
}

// orphan holds claims of one program that the claimants have not recorded.
type orphan struct {
	program string
	total   int
	granted ledger.Grants
}

// orphaned returns the claims announced to this entry that have not been recorded within
// recordForOwnerAfter of the row being reachable. The claimant may have crashed.
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
			for key := range k.provisional {
				o.granted[key] = k.granted[key]
			}
			out = append(out, o)
		}
	}
	return out
}

// recordOrphan records the claims of o in the row.
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
		// safe, because Record leaves claims that the row has.
		next, changed := row.Record(o.granted)
		if changed {
			err = b.commits.apply(ctx, []platformapi.Condition{{Key: key, Version: version}}, []platformapi.Write{{Key: key, Value: next.Encode()}})
		}
		if err == nil {
			b.expiry.watch(key, 0, time.Now())
			b.markRecorded(o, changed)
			return
		}
	}
}

// markRecorded marks the claims of o as recorded, except those that a newer notice has changed.
// changed reports whether this entry wrote them to the row; if not, the row had them already.
func (b *budgets) markRecorded(o orphan, changed bool) {
	if changed {
		b.commits.metrics.orphansRecorded.Inc(1)
		for key, n := range o.granted {
			b.log.Info("budget_claim_recorded").Str("program", o.program).Str("key", key).Int("tokens", int64(n)).End()
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.known[o.program]
	if k == nil {
		return
	}
	for key, n := range o.granted {
		if k.granted[key] == n {
			delete(k.provisional, key)
		}
	}
}

// releaseAll starts to lower the blocks of all programs to what was used.
func (b *budgets) releaseAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for program, pb := range b.programs {
		if pb.ledger.Release() {
			b.flushLocked(program, pb)
		}
	}
}

// returnUnused lowers the blocks of all programs to what was used, and writes what else the rows lack,
// when this entry shuts down. Rows that can't be reached are tried again until ctx ends.
func (b *budgets) returnUnused(ctx context.Context) {
	b.mu.Lock()
	pending := map[string]*programBudget{}
	for program, pb := range b.programs {
		if pb.ledger.Release(); pb.ledger.Flush() {
			pending[program] = pb
		}
	}
	b.mu.Unlock()
	var wait sync.WaitGroup
	for program, pb := range pending {
		wait.Add(1)
		go func() {
			defer wait.Done()
			b.returnUntil(ctx, program, pb)
		}()
	}
	wait.Wait()
}

// returnUntil records what the row of a program lacks, until that succeeds or ctx ends.
func (b *budgets) returnUntil(ctx context.Context, program string, pb *programBudget) {
	for {
		b.mu.Lock()
		if !pb.ledger.Flush() {
			b.mu.Unlock()
			return
		}
		w := b.startWriteLocked(pb, reserveCall{Program: program, Total: pb.ledger.Total()})
		b.mu.Unlock()
		select {
		case <-w.done:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			b.commits.metrics.blocksLost.Inc(1)
			b.log.Info("budget_not_returned").Str("program", program).Str("holder", pb.ledger.Holder()).Err(ctx.Err()).End()
			return
		}
		if w.err != nil {
			sleep(ctx, returnRetryWait)
		}
	}
}

// release lowers the program's block at this entry to what was used, for an entry that owns the budget
// now, and reports whether the row shows that.
func (b *budgets) release(ctx context.Context, program string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	pb := b.programs[program]
	if pb == nil || !pb.ledger.Release() {
		return false
	}
	w := b.startWriteLocked(pb, reserveCall{Program: program, Total: pb.ledger.Total()})
	err := b.awaitWriteLocked(ctx, w, drawTimeout)
	b.log.Info("budget_released").Str("program", program).Str("holder", pb.ledger.Holder()).Err(err).End()
	return err == nil
}

// settleInRow records the end of a reservation that its owner can't be told: nothing else would
// show that the turn did not use all of its tokens.
func (b *budgets) settleInRow(ctx context.Context, call reserveCall, used int) {
	change := ledger.EndOf(call.ID, used)
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, drawTimeout)
		_, _, err := b.changeRow(attempt, call, &change, &heldRow{exists: true})
		cancel()
		b.log.Info("budget_settled_in_row").Str("request", call.ID).Str("program", call.Program).Int("used", int64(used)).Err(err).End()
		if err == nil {
			return
		}
		sleep(ctx, recordInterval)
	}
}
