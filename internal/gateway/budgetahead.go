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

// grantNotice says how many tokens of a program's budget entries were granted in all.
type grantNotice struct {
	Program string `json:"program"`
	Granted int    `json:"granted"`
	// Returned says that tokens were given back, so that Granted replaces a greater count.
	Returned bool `json:"returned,omitempty"`
	// Total is the budget; Ahead says that a part of Granted is not in the row yet.
	Total int  `json:"total,omitempty"`
	Ahead bool `json:"ahead,omitempty"`
}

type knownGrant struct {
	granted int
	at      time.Time
	total   int
	// ahead says that a part of it was not in the row; reachable is since when the row
	// could be reached, after which the owner should have recorded it.
	ahead     bool
	reachable time.Time
}

// learnLocked takes into account what other entries were granted, as this one has heard
// or, shortly after trouble with the table, as those say that should know.
func (b *budgets) learnLocked(ctx context.Context, of *budget, program string) {
	of.account.Learn(b.known[program].granted)
	if !b.troubled() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, advanceTimeout)
	defer cancel()
	b.mu.Unlock()
	granted, _ := b.owners.learn(ctx, program)
	b.mu.Lock()
	of.account.Learn(granted)
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
	of.account.Learn(granted)
	need, ok := of.account.AdvanceNeeded(call.Most, ledger.Standing{
		Alone: knows == knowsAlone, Open: len(of.open), Surging: of.arrivals.Surging(),
	})
	if !ok {
		return false
	}
	notice := grantNotice{Program: call.Program, Granted: of.account.Known() + need, Total: call.Total, Ahead: true}
	b.mu.Unlock()
	heard := b.owners.tell(ctx, notice)
	b.mu.Lock()
	if heard {
		of.account.Advance(need)
	}
	return heard
}

// hear records what another entry was granted.
func (b *budgets) hear(n grantNotice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := max(n.Granted, b.known[n.Program].granted)
	if n.Returned {
		granted = n.Granted
	}
	// A notice that says less than is known leaves what was ahead of the row there.
	ahead := n.Ahead || b.known[n.Program].ahead && n.Granted < granted
	b.known[n.Program] = knownGrant{granted: granted, at: time.Now(), total: max(n.Total, b.known[n.Program].total), ahead: ahead}
}

// knows returns what this entry knows to have been granted for a program.
func (b *budgets) knows(program string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := b.known[program].granted
	if of := b.accounts[program]; of != nil {
		granted = max(granted, of.account.Known())
		if of.account.Exhausted() {
			granted = max(granted, of.account.Total())
		}
	}
	return granted
}

// knowsOf returns all that this entry knows, for one that starts.
func (b *budgets) knowsOf() []grantNotice {
	b.mu.Lock()
	programs := make([]string, 0, len(b.known)+len(b.accounts))
	for program := range b.known {
		programs = append(programs, program)
	}
	for program := range b.accounts {
		if _, also := b.known[program]; !also {
			programs = append(programs, program)
		}
	}
	b.mu.Unlock()
	out := make([]grantNotice, 0, len(programs))
	for _, program := range programs {
		n := grantNotice{Program: program, Granted: b.knows(program)}
		b.mu.Lock()
		if k, also := b.known[program]; also {
			n.Total, n.Ahead = k.total, k.ahead
		}
		b.mu.Unlock()
		out = append(out, n)
	}
	return out
}
