package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	table "github.com/buckthornroute/buckthornroute/internal/platform"
)

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
