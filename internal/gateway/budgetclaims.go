package gateway

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/ledger"
)

// grantNotice tells a witness of a claim, or of the end of one. Builds before used it for all
// grants of an incarnation of an entry.
type grantNotice struct {
	Program string `json:"program"`
	// Holder is the key of the claim in the program's row, Granted its tokens.
	Holder  string `json:"holder"`
	Granted int    `json:"granted"`
	// Returned reports whether the claim has ended or was withdrawn, so that Granted replaces a greater
	// count.
	Returned bool `json:"returned,omitempty"`
	// Total is the program's budget. Provisional reports whether the row may not show the claim yet.
	Total       int  `json:"total,omitempty"`
	Provisional bool `json:"ahead,omitempty"`
}

// knownGrants holds the claims of one program that other entries announced.
type knownGrants struct {
	// total is the program's budget; 0 until a notice carries it.
	total int
	// granted holds the tokens of each claim, among them those that the row shows.
	granted ledger.Grants
	// provisional contains the keys of those that the row may not show.
	provisional map[string]bool
	// returned contains the keys of those that ended; a notice that arrives late must not raise them.
	returned map[string]bool
	// updated is when the last notice arrived.
	updated time.Time
	// reachableSince is when the row was first seen to be reachable, or when this entry last
	// tried to record the claims. The claimants have recordForOwnerAfter from then on to record
	// them. It is zero while the row is unreachable, and from each notice until the next check.
	reachableSince time.Time
}

// knownClaimsLocked returns the claims of other entries for a change of the program's row. The
// witnesses are asked if this entry changes the row for the first time, since it may be a new owner, and if
// a call to the table has failed recently. The lock is released meanwhile.
func (b *budgets) knownClaimsLocked(ctx context.Context, pb *programBudget, call reserveCall) ledger.Grants {
	known := b.grantsForLocked(call.Program)
	if pb.ledger.RowSeen() && !b.tableFailedRecently() {
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, claimRoundTimeout)
	defer cancel()
	b.mu.Unlock()
	theirs, _ := b.owners.askWitnesses(ctx, call.Program, nil)
	b.mu.Lock()
	known.Merge(theirs)
	return known
}

// claimLocked claims the tokens of a turn that the row does not show. It reports whether the
// turn is reserved now; the lock is released meanwhile.
func (b *budgets) claimLocked(ctx context.Context, pb *programBudget, call reserveCall) bool {
	known := b.grantsForLocked(call.Program)
	if time.Since(pb.noQuorumAt) < claimRetryDelay {
		return false
	}
	least := call.Least
	if least <= 0 {
		least = call.MaxTokens
	}
	key, tokens, ok := pb.ledger.Claim(call.ID, call.MaxTokens, least, known)
	if !ok {
		b.logClaim("budget_claim_refused", pb, call, known, "slack in use")
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimRoundTimeout)
	defer cancel()
	notice := grantNotice{Program: call.Program, Holder: key, Granted: tokens, Total: call.Total, Provisional: true}
	b.mu.Unlock()
	theirs, quorate := b.owners.askWitnesses(ctx, call.Program, &notice)
	b.mu.Lock()
	known.Merge(theirs)
	if quorate && pb.ledger.Confirm(call.ID, known) {
		b.logClaim("budget_granted_ahead", pb, call, known, "")
		b.flushLocked(call.Program, pb) // a slow row shows it before the next turn
		return true
	}
	if !pb.ledger.IsOpen(call.ID) {
		pb.ledger.Withdraw(call.ID)
		notice.Granted, notice.Returned, notice.Provisional = 0, true, false
		go b.owners.announce(context.WithoutCancel(ctx), notice)
	}
	reason := "slack in use"
	if !quorate {
		reason, pb.noQuorumAt = "too few witnesses", time.Now()
	}
	b.logClaim("budget_claim_refused", pb, call, known, reason)
	return false
}

// logClaim logs the decision on a claim with what it was based on.
func (b *budgets) logClaim(event string, pb *programBudget, call reserveCall, known ledger.Grants, reason string) {
	others := 0
	for _, n := range known {
		others += n
	}
	own := 0
	for _, n := range pb.ledger.Claims() {
		own += n
	}
	line := b.log.Info(event).Str("request", call.ID).Str("program", call.Program).Int("tokens", int64(call.MaxTokens)).
		Int("ahead", int64(own)).Int("others_ahead", int64(others)).Int("budget", int64(call.Total)).Int("open_turns", int64(pb.ledger.OpenTurns()))
	if reason != "" {
		line = line.Str("reason", reason)
	}
	line.End()
}

// announceRecorded tells the witnesses that the row shows claims now.
func (b *budgets) announceRecorded(ctx context.Context, program string, row ledger.Row, keys []string) {
	for _, key := range keys {
		b.owners.announce(ctx, grantNotice{Program: program, Holder: key, Granted: row.Drawn[key], Total: row.Total, Returned: true})
	}
}

// applyNotice stores in memory what another entry announced.
func (b *budgets) applyNotice(n grantNotice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.known[n.Program]
	if k == nil {
		k = &knownGrants{granted: ledger.Grants{}, provisional: map[string]bool{}, returned: map[string]bool{}}
		b.known[n.Program] = k
	}
	// Each notice restarts the time within which the claimants must record their claims.
	k.updated, k.reachableSince = time.Now(), time.Time{}
	k.total = max(k.total, n.Total)
	if !n.Returned && (n.Granted < k.granted[n.Holder] || k.returned[n.Holder]) {
		return // a later notice arrived first
	}
	k.granted[n.Holder] = n.Granted
	if n.Returned {
		k.returned[n.Holder] = true
	}
	k.provisional[n.Holder] = n.Provisional
	if !n.Provisional {
		delete(k.provisional, n.Holder)
	}
}

// grantsFor returns the claims of a program that this entry knows, its own unrecorded ones
// included. Those that the row shows are among them: whoever has not seen the row must assume that they
// have taken it beyond the budget.
func (b *budgets) grantsFor(program string) ledger.Grants {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.grantsForLocked(program)
}

// grantsForLocked does the work of grantsFor.
func (b *budgets) grantsForLocked(program string) ledger.Grants {
	granted := ledger.Grants{}
	if k := b.known[program]; k != nil {
		granted.Merge(k.granted)
	}
	if pb := b.programs[program]; pb != nil {
		granted.Merge(pb.ledger.Claims())
	}
	return granted
}

// allGrants returns all claims that this entry knows, its own included, for an entry that has
// just started or that takes over from this one.
func (b *budgets) allGrants() []grantNotice {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := []grantNotice{}
	for program, k := range b.known {
		for key, n := range k.granted {
			out = append(out, grantNotice{Program: program, Holder: key, Granted: n, Returned: k.returned[key], Total: k.total, Provisional: k.provisional[key]})
		}
	}
	for program, pb := range b.programs {
		for key, n := range pb.ledger.Claims() {
			out = append(out, grantNotice{Program: program, Holder: key, Granted: n, Total: pb.ledger.Total(), Provisional: true})
		}
	}
	return out
}
