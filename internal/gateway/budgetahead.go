package gateway

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/ledger"
)

// knowledge is how much an owner knows of a program's grants.
type knowledge uint8

const (
	knowsNothing knowledge = iota
	// knowsGrants: nothing is missing, unless another entry takes itself for the owner.
	knowsGrants
	// knowsAlone: no other entry does.
	knowsAlone
)

// grantNotice says how many tokens of a program's budget one life of an entry was granted
// in all.
type grantNotice struct {
	Program string `json:"program"`
	Holder  string `json:"holder"`
	Granted int    `json:"granted"`
	// Returned says that tokens were given back, so that Granted replaces a greater count.
	Returned bool `json:"returned,omitempty"`
	// Total is the budget; Ahead says that a part of Granted is not in the row yet.
	Total int  `json:"total,omitempty"`
	Ahead bool `json:"ahead,omitempty"`
}

// knownGrants is what was told of one program.
type knownGrants struct {
	total   int
	granted ledger.Grants
	// ahead are the lives whose grants were not all in the row.
	ahead map[string]bool
	at    time.Time
	// reachable is since when the row could be reached, after which they should have
	// recorded them.
	reachable time.Time
}

// learnLocked takes into account what other entries were granted, as this one has heard
// or, shortly after trouble with the table, as those say that should know.
func (b *budgets) learnLocked(ctx context.Context, of *budget, program string) {
	granted := b.knowsLocked(program)
	if b.troubled() {
		ctx, cancel := context.WithTimeout(ctx, advanceTimeout)
		defer cancel()
		b.mu.Unlock()
		granted, _ = b.owners.learn(ctx, program)
		b.mu.Lock()
	}
	of.account.Learn(granted, b.holder)
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
	if of.account.BeyondOneTurn(call.MaxTokens) {
		b.mu.Unlock()
		sleep(ctx, ledger.SurgeWatch)
		b.mu.Lock()
	}
	of.account.Learn(granted, b.holder)
	needed := func() (int, bool) {
		return of.account.AdvanceNeeded(call.MaxTokens, ledger.Standing{
			Alone: knows == knowsAlone, Open: len(of.open), Surging: of.arrivals.Surging(),
			Stuck: call.Durable && b.lost(),
		})
	}
	need, ok := needed()
	if !ok {
		return false
	}
	notice := b.notice(call, of.account.Granted()+need, true)
	b.mu.Unlock()
	heard := b.owners.tell(ctx, notice)
	b.mu.Lock()
	if !heard {
		return false
	}
	// A draw on its way may have ended meanwhile; never more is granted than was told.
	if still, ok := needed(); ok && still > 0 {
		of.account.Advance(min(need, still))
		b.lines.Info("budget_granted_ahead").Str("request", call.ID).Str("program", call.Program).Int("tokens", int64(min(need, still))).
			Int("ahead", int64(of.account.Advanced())).Int("drawn", int64(of.account.Granted()-of.account.Advanced())).
			Int("budget", int64(call.Total)).Int("open_turns", int64(len(of.open))).End()
	}
	return of.account.Free() >= call.MaxTokens
}

// notice tells of this life's own grants.
func (b *budgets) notice(call reserveCall, granted int, ahead bool) grantNotice {
	return grantNotice{Program: call.Program, Holder: b.holder, Granted: granted, Total: call.Total, Ahead: ahead}
}

// applyNotice records what another entry was granted.
func (b *budgets) applyNotice(n grantNotice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.known[n.Program]
	if k == nil {
		k = &knownGrants{granted: ledger.Grants{}, ahead: map[string]bool{}}
		b.known[n.Program] = k
	}
	k.at, k.reachable = time.Now(), time.Time{}
	k.total = max(k.total, n.Total)
	if n.Granted < k.granted[n.Holder] && !n.Returned {
		return // overtaken by a later notice
	}
	k.granted[n.Holder] = n.Granted
	k.ahead[n.Holder] = n.Ahead
	if !n.Ahead {
		delete(k.ahead, n.Holder)
	}
}

// grantsFor returns what this entry grantsFor to have been granted for a program.
func (b *budgets) grantsFor(program string) ledger.Grants {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.knowsLocked(program)
}

func (b *budgets) knowsLocked(program string) ledger.Grants {
	granted := ledger.Grants{}
	if k := b.known[program]; k != nil {
		granted.Merge(k.granted)
	}
	if of := b.accounts[program]; of != nil && of.account.Granted() > 0 {
		granted[b.holder] = of.account.Granted()
	}
	return granted
}

// allGrants returns all that this entry knows, for one that starts.
func (b *budgets) allGrants() []grantNotice {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []grantNotice
	for program, k := range b.known {
		for holder, n := range k.granted {
			out = append(out, grantNotice{Program: program, Holder: holder, Granted: n, Total: k.total, Ahead: k.ahead[holder]})
		}
	}
	for program, of := range b.accounts {
		if n := of.account.Granted(); n > 0 {
			out = append(out, b.notice(reserveCall{Program: program, Total: of.account.Total()}, n, of.account.Advanced() > 0))
		}
	}
	return out
}
