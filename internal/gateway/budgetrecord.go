package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/ledger"
)

// recordLoop draws from the rows what was granted ahead of them as soon as they can be
// reached, until ctx ends.
func (b *budgets) recordLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, recordInterval)
		for _, call := range b.unrecorded() {
			go b.record(call)
		}
		for _, o := range b.orphaned(time.Now()) {
			go b.witness(ctx, o)
		}
	}
}

// orphan is grants ahead of a row that nobody has recorded.
type orphan struct {
	program string
	total   int
	granted ledger.Grants
}

// orphaned lists the grants ahead of rows that this entry has heard of and that their
// owners, which may have ended, have not recorded for a while though they could.
func (b *budgets) orphaned(now time.Time) []orphan {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []orphan
	for program, k := range b.known {
		if len(k.ahead) == 0 || k.total <= 0 {
			continue
		}
		switch {
		case b.away(budgetKey(program)):
			k.reachable = time.Time{}
		case k.reachable.IsZero():
			k.reachable = now
		case now.Sub(k.reachable) > witnessAfter:
			k.reachable = now
			o := orphan{program: program, total: k.total, granted: ledger.Grants{}}
			for holder := range k.ahead {
				o.granted[holder] = k.granted[holder]
			}
			out = append(out, o)
		}
	}
	return out
}

// witness records what lives of entries were granted, in their place.
func (b *budgets) witness(ctx context.Context, o orphan) {
	ctx, cancel := context.WithTimeout(ctx, witnessAfter)
	defer cancel()
	key := budgetKey(o.program)
	for range maxDrawTries {
		row, version, err := b.read(ctx, key, o.total)
		if err != nil {
			return // it is tried again after witnessAfter
		}
		next, changed := row.Witness(o.granted)
		if changed {
			err = b.commits.apply(ctx, []platformapi.Condition{{Key: key, Version: version}}, []platformapi.Write{{Key: key, Value: next.Encode()}})
		}
		if err == nil {
			b.witnessed(o, changed)
			return
		}
	}
}

func (b *budgets) witnessed(o orphan, changed bool) {
	if changed {
		b.commits.metrics.grantsLearned.Inc(1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.known[o.program]
	if k == nil {
		return
	}
	for holder, n := range o.granted {
		if k.granted[holder] == n {
			delete(k.ahead, holder)
		}
	}
}

// unrecorded lists the programs with advances whose rows may be reachable.
func (b *budgets) unrecorded() []reserveCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	var calls []reserveCall
	for program, of := range b.accounts {
		if of.account.Advanced() > 0 && of.row == nil && !b.away(budgetKey(program)) {
			calls = append(calls, reserveCall{Program: program, Total: of.account.Total(), ID: of.asked})
		}
	}
	return calls
}

func (b *budgets) record(call reserveCall) {
	b.mu.Lock()
	of := b.accounts[call.Program]
	if of == nil || of.row != nil || of.account.Advanced() == 0 {
		b.mu.Unlock()
		return
	}
	row := b.startDrawLocked(of, call)
	b.mu.Unlock()
	<-row.done
	if row.err != nil {
		b.commits.metrics.provisionalGrantsUnrecorded.Inc(1)
	}
}

// returnUnused returns to the rows what this entry has drawn and not used, before it ends.
func (b *budgets) returnUnused(ctx context.Context) {
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
				b.commits.metrics.blocksLost.Inc(1)
			}
		}()
	}
	wait.Wait()
}

func (b *budgets) giveBackOne(ctx context.Context, program string, tokens int) error {
	key := budgetKey(program)
	for range maxDrawTries {
		row, version, err := b.read(ctx, key, 0)
		if err != nil || version == platformapi.Absent {
			return err
		}
		next := row.Return(b.holder, tokens)
		err = b.commits.apply(ctx, []platformapi.Condition{{Key: key, Version: version}}, []platformapi.Write{{Key: key, Value: next.Encode()}})
		// An unknown outcome is not repeated: tokens given back twice could be spent twice.
		if err == nil {
			b.owners.tell(ctx, grantNotice{Program: program, Holder: b.holder, Granted: next.Drawn[b.holder], Returned: true})
			return nil
		}
		if !errors.Is(err, platformapi.ErrConditionFailed) {
			return err
		}
	}
	return errors.Mark(errors.New("budget row changes too fast"), platformapi.ErrUnavailable)
}
