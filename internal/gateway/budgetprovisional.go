package gateway

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/ledger"
)

// grantView states whether all grants of a program are known, and whether another entry may
// consider itself the owner of its budget.
type grantView uint8

const (
	// viewIncomplete: grants may be missing.
	viewIncomplete grantView = iota
	// viewComplete: no grant is missing, unless another entry considers itself the owner.
	viewComplete
	// viewExclusive: no grant is missing, and no other entry considers itself the owner.
	viewExclusive
)

// grantNotice announces how many tokens of a program's budget one incarnation of an entry
// was granted in total.
type grantNotice struct {
	Program string `json:"program"`
	Holder  string `json:"holder"`
	Granted int    `json:"granted"`
	// Returned reports whether tokens were returned, so that Granted replaces a greater count.
	Returned bool `json:"returned,omitempty"`
	// Total is the program's budget. Provisional reports whether a part of Granted is not
	// recorded in the row yet.
	Total       int  `json:"total,omitempty"`
	Provisional bool `json:"ahead,omitempty"`
}

// knownGrants holds the grants of one program that other entries announced.
type knownGrants struct {
	// total is the program's budget; 0 until a notice carries it.
	total   int
	granted ledger.Grants
	// provisional contains the incarnations whose grants were not all recorded in the row.
	provisional map[string]bool
	// updated is when the last notice arrived.
	updated time.Time
	// reachableSince is when the row was first seen to be reachable, or when this entry last
	// tried to record the grants. The incarnations that made the grants have recordForOwnerAfter
	// from then on to record them. It is zero while the row is unreachable, and from each notice
	// until the next check.
	reachableSince time.Time
}

// updateOthersLocked updates the account with the grants of other entries: those announced
// to this entry, or those that collectGrants returns if a call to the table has failed
// recently, since the row may then lack grants. The lock is released during that call.
func (b *budgets) updateOthersLocked(ctx context.Context, pb *programBudget, program string) {
	granted := b.grantsForLocked(program)
	if b.tableFailedRecently() {
		ctx, cancel := context.WithTimeout(ctx, provisionalTimeout)
		defer cancel()
		b.mu.Unlock()
		granted, _ = b.owners.collectGrants(ctx, program)
		b.mu.Lock()
	}
	pb.account.SetOthers(granted, pb.holder)
}

// grantProvisionallyLocked grants tokens before the row records them. It does so only when
// all grants of the program are known and another entry has received the notice of this
// one. It reports whether the account now has enough free tokens for the turn; the lock is
// released meanwhile.
func (b *budgets) grantProvisionallyLocked(ctx context.Context, pb *programBudget, call reserveCall) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), provisionalTimeout)
	defer cancel()
	b.mu.Unlock()
	granted, view := b.owners.collectGrants(ctx, call.Program)
	b.mu.Lock()
	if view == viewIncomplete {
		return false
	}
	if pb.account.ExceedsOneTurn(call.MaxTokens) {
		// The turn may be the first of a burst. Wait until pb.runaway has observed the others.
		b.mu.Unlock()
		sleep(ctx, ledger.BurstDelay)
		b.mu.Lock()
	}
	pb.account.SetOthers(granted, pb.holder)
	// needed returns the number of tokens to grant provisionally, or false when none may be.
	needed := func() (int, bool) {
		return pb.account.ProvisionalGrant(call.MaxTokens, ledger.GrantConditions{
			ExclusiveOwner: view == viewExclusive, Minority: b.owners.inMinority(), OpenTurns: len(pb.open), Runaway: pb.runaway.Runaway(),
			CannotComplete: call.Durable && b.tableUnreachable(),
		})
	}
	need, ok := needed()
	if !ok {
		return false
	}
	notice := b.notice(pb, call, pb.account.Granted()+need, true)
	b.mu.Unlock()
	received := b.owners.announce(ctx, notice)
	b.mu.Lock()
	if !received {
		return false
	}
	// A draw in flight may have ended meanwhile, so that fewer tokens or none are needed. No
	// more is granted than was announced.
	if needNow, ok := needed(); ok && needNow > 0 {
		pb.account.GrantProvisionally(min(need, needNow))
		b.log.Info("budget_granted_ahead").Str("request", call.ID).Str("program", call.Program).Int("tokens", int64(min(need, needNow))).
			Int("ahead", int64(pb.account.Provisional())).Int("drawn", int64(pb.account.Granted()-pb.account.Provisional())).
			Int("budget", int64(call.Total)).Int("open_turns", int64(len(pb.open))).End()
	}
	return pb.account.Free() >= call.MaxTokens
}

// notice returns a notice that the account was granted a number of tokens of the call's
// program in total. provisional reports whether a part of them is not recorded in the row.
func (b *budgets) notice(pb *programBudget, call reserveCall, granted int, provisional bool) grantNotice {
	return grantNotice{Program: call.Program, Holder: pb.holder, Granted: granted, Total: call.Total, Provisional: provisional}
}

// applyNotice stores in memory the grants that another entry announced.
func (b *budgets) applyNotice(n grantNotice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.known[n.Program]
	if k == nil {
		k = &knownGrants{granted: ledger.Grants{}, provisional: map[string]bool{}}
		b.known[n.Program] = k
	}
	// Each notice restarts the time within which the owners must record their grants.
	k.updated, k.reachableSince = time.Now(), time.Time{}
	k.total = max(k.total, n.Total)
	if n.Granted < k.granted[n.Holder] && !n.Returned {
		return // a later notice arrived first
	}
	k.granted[n.Holder] = n.Granted
	k.provisional[n.Holder] = n.Provisional
	if !n.Provisional {
		delete(k.provisional, n.Holder)
	}
}

// grantsFor returns the grants of a program that this entry knows, its own included.
func (b *budgets) grantsFor(program string) ledger.Grants {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.grantsForLocked(program)
}

// grantsForLocked does the work of grantsFor. For its own incarnation it takes the count of the
// account, which is newer than that of any notice.
func (b *budgets) grantsForLocked(program string) ledger.Grants {
	granted := ledger.Grants{}
	if k := b.known[program]; k != nil {
		granted.Merge(k.granted)
	}
	if pb := b.programs[program]; pb != nil && pb.account.Granted() > 0 {
		granted[pb.holder] = pb.account.Granted()
	}
	return granted
}

// allGrants returns all grants that this entry knows, its own included, for an entry that has
// just started.
func (b *budgets) allGrants() []grantNotice {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []grantNotice
	for program, k := range b.known {
		for holder, n := range k.granted {
			out = append(out, grantNotice{Program: program, Holder: holder, Granted: n, Total: k.total, Provisional: k.provisional[holder]})
		}
	}
	for program, pb := range b.programs {
		if n := pb.account.Granted(); n > 0 {
			out = append(out, b.notice(pb, reserveCall{Program: program, Total: pb.account.Total()}, n, pb.account.Provisional() > 0))
		}
	}
	return out
}
