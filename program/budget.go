package program

import (
	"maps"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Amount is a quantity of each resource that a budget bounds.
type Amount struct {
	Tokens   int64         `json:"tokens,omitempty"`
	Calls    int64         `json:"calls,omitempty"`
	ToolTime time.Duration `json:"tool_time,omitempty"`
	Agents   int64         `json:"agents,omitempty"`
}

func (a Amount) add(b Amount) Amount {
	return Amount{a.Tokens + b.Tokens, a.Calls + b.Calls, a.ToolTime + b.ToolTime, a.Agents + b.Agents}
}

func (a Amount) sub(b Amount) Amount {
	return Amount{a.Tokens - b.Tokens, a.Calls - b.Calls, a.ToolTime - b.ToolTime, a.Agents - b.Agents}
}

func (a Amount) min(b Amount) Amount {
	return Amount{min(a.Tokens, b.Tokens), min(a.Calls, b.Calls), min(a.ToolTime, b.ToolTime), min(a.Agents, b.Agents)}
}

func (a Amount) max(b Amount) Amount {
	return Amount{max(a.Tokens, b.Tokens), max(a.Calls, b.Calls), max(a.ToolTime, b.ToolTime), max(a.Agents, b.Agents)}
}

func (a Amount) div(n int64) Amount {
	return Amount{a.Tokens / n, a.Calls / n, a.ToolTime / time.Duration(n), a.Agents / n}
}

// within reports whether no field of a exceeds that of b.
func (a Amount) within(b Amount) bool { return a.min(b) == a }

// pendingAmount is an amount that a record not committed yet holds: the total drawn on the budget,
// or what a finished sub-agent left of its share.
type pendingAmount struct {
	seq    uint64
	amount Amount
}

// ledger accounts for the budget of one program at its home. It does not use the package
// ledger, which is for programs whose turns are served by several entries.
//
// The home draws a part of the budget ahead of its use. Each record holds the total drawn so far.
// After a crash the next home counts this total as spent, except for the known shares of
// sub-agents. Reservations come out of the drawn part, and a call runs only when the committed
// total covers all that is spent and reserved. So all homes together spend no more than the budget.
type ledger struct {
	limit Amount
	// drawSize is what one draw adds to the total beyond what is spent or reserved, unless the
	// next step needs more.
	drawSize Amount
	// nextStep is the amount that the next step is expected to reserve.
	nextStep Amount
	spent    Amount
	reserved Amount
	// requestedTotal is the total drawn that the next record holds, committedTotal the one that
	// the last committed record holds. pendingDraws holds the totals of the records in between,
	// one entry per change.
	requestedTotal Amount
	committedTotal Amount
	pendingDraws   []pendingAmount
	// shares holds the reservation of each sub-agent of the current batch.
	shares map[structs.CallID]Amount
	// inherited holds the shares that a restart found and that no call of this home has
	// claimed yet.
	inherited map[structs.CallID]Amount
	// pendingReturns holds what finished sub-agents left of their shares. Until the record of
	// such an end is committed, a restart would reserve the whole share for the sub-agent, so
	// no call may use the rest.
	pendingReturns []pendingAmount
}

// newLedger returns the ledger of a program that has spent nothing. A draw is the budget divided by
// divisor, but at least the smaller of minDrawSize and the budget divided by minDrawCount.
func newLedger(b structs.Budget, divisor int64) ledger {
	limit := Amount{Tokens: b.Tokens, Calls: b.Calls, ToolTime: b.ToolTime, Agents: b.Agents}
	least := minDrawSize.min(limit.div(minDrawCount))
	return ledger{limit: limit, drawSize: limit.div(divisor).max(least)}
}

// minDrawCount limits minDrawSize to a part of the budget, since each crash loses up to 1.5 draws:
// minDrawSize raises a draw to at most the budget divided by minDrawCount.
const minDrawCount = 4

// minDrawSize is the smallest draw, unless minDrawCount limits it. It suffices for about one turn of
// a small program.
var minDrawSize = Amount{Tokens: 16 << 10, Calls: 8, ToolTime: time.Minute, Agents: 1}

// free returns what is neither spent nor reserved.
func (l *ledger) free() Amount { return l.limit.sub(l.spent).sub(l.reserved) }

// fits reports whether need can be reserved.
func (l *ledger) fits(need Amount) bool {
	return l.spent.add(l.reserved).add(need).within(l.limit)
}

// reserve reserves need, which must fit, and requests a larger total if the last one does not
// cover it.
func (l *ledger) reserve(need Amount) {
	l.reserved = l.reserved.add(need)
	if !l.taken().min(l.limit).within(l.requestedTotal) {
		l.raise()
	}
}

// taken returns what is spent or reserved.
func (l *ledger) taken() Amount { return l.spent.add(l.reserved) }

// covered reports whether the reserved calls may run. After a crash the last record that is found
// may be the last committed one or any later one. The total in each of these records must cover all
// that is taken, plus what finished sub-agents left of their shares if only a later record holds
// their end: a restart from the earlier record reserves the whole share again.
func (l *ledger) covered() bool {
	if !l.taken().add(l.uncommittedReturns(0)).within(l.committedTotal) {
		return false
	}
	for _, d := range l.pendingDraws {
		if !l.taken().add(l.uncommittedReturns(d.seq)).within(d.amount) {
			return false
		}
	}
	return true
}

// uncommittedReturns returns the sum of what sub-agents left of their shares, over the ends that
// are recorded after record seq and are not committed.
func (l *ledger) uncommittedReturns(seq uint64) Amount {
	var left Amount
	for _, r := range l.pendingReturns {
		if r.seq > seq {
			left = left.add(r.amount)
		}
	}
	return left
}

// unrecorded reports whether no record holds the requested total yet.
func (l *ledger) unrecorded() bool { return l.lastRecorded() != l.requestedTotal }

// lastRecorded returns the total that the last record holds, committed or not.
func (l *ledger) lastRecorded() Amount {
	if n := len(l.pendingDraws); n > 0 {
		return l.pendingDraws[n-1].amount
	}
	return l.committedTotal
}

// settle replaces a reservation by what was used.
func (l *ledger) settle(reserved, used Amount) {
	l.reserved = l.reserved.sub(reserved)
	l.spent = l.spent.add(used)
}

// settleShare replaces the share of a sub-agent by what it used. The record numbered seq, which
// comes next, holds this end.
func (l *ledger) settleShare(call structs.CallID, share, used Amount, seq uint64) {
	l.settle(share, used)
	l.shares[call] = used
	l.pendingReturns = append(l.pendingReturns, pendingAmount{seq: seq, amount: share.sub(used)})
}

// usable returns the smallest total that a restart could find in the home log: the smallest of the
// committed total and the pending ones.
func (l *ledger) usable() Amount {
	usable := l.committedTotal
	for _, d := range l.pendingDraws {
		usable = usable.min(d.amount)
	}
	return usable
}

// raise requests a total that covers all that is taken and, beyond it, the larger of one draw
// and the next step.
func (l *ledger) raise() {
	target := l.taken().add(l.drawSize.max(l.nextStep)).min(l.limit)
	l.requestedTotal = l.requestedTotal.max(target)
}

// topUp requests a larger total when half a draw is used up or the next step would exceed the
// total, so that the draw is committed by the time it is needed.
func (l *ledger) topUp() {
	if !l.taken().add(l.drawSize.div(2).max(l.nextStep)).min(l.limit).within(l.requestedTotal) {
		l.raise()
	}
}

// lower reduces the requested total to the one that raise would request. It is called when
// reservations have ended, so that the unused part of the draw returns to the budget.
func (l *ledger) lower() {
	target := l.taken().add(l.drawSize.max(l.nextStep)).min(l.limit)
	l.requestedTotal = l.requestedTotal.min(target)
}

// recordDraw adds the requested total to pendingDraws, as part of record seq, unless an earlier
// record holds it.
func (l *ledger) recordDraw(seq uint64) {
	if l.unrecorded() {
		l.pendingDraws = append(l.pendingDraws, pendingAmount{seq: seq, amount: l.requestedTotal})
	}
}

// commit marks the draws and returns of the records up to seq as committed.
func (l *ledger) commit(seq uint64) {
	n := countThrough(l.pendingDraws, seq)
	if n > 0 {
		l.committedTotal = l.pendingDraws[n-1].amount
	}
	l.pendingDraws = dropFirst(l.pendingDraws, n)
	l.pendingReturns = dropFirst(l.pendingReturns, countThrough(l.pendingReturns, seq))
}

// countThrough returns the number of amounts in the records up to seq.
func countThrough(amounts []pendingAmount, seq uint64) int {
	n := 0
	for n < len(amounts) && amounts[n].seq <= seq {
		n++
	}
	return n
}

// dropFirst removes the first n amounts and releases the memory when none is left.
func dropFirst(amounts []pendingAmount, n int) []pendingAmount {
	if n == len(amounts) {
		return nil
	}
	return amounts[n:]
}

// restore sets the state from the total drawn in a record and the shares of the batch. All that was
// drawn counts as spent, except for the shares of sub-agents, which stay reserved.
func (l *ledger) restore(total Amount, shares map[structs.CallID]Amount) {
	var reserved Amount
	for _, share := range shares {
		reserved = reserved.add(share)
	}
	l.requestedTotal, l.committedTotal, l.pendingDraws = total, total, nil
	l.pendingReturns = nil
	l.shares = shares
	l.inherited = maps.Clone(shares)
	l.reserved = reserved
	l.spent = total.sub(reserved)
}

// claimInherited returns and removes the share that an earlier home reserved for the call.
func (l *ledger) claimInherited(call structs.CallID) (Amount, bool) {
	share, found := l.inherited[call]
	delete(l.inherited, call)
	return share, found
}

// closeBatch ends the shares of the current batch. Inherited shares that no call has claimed count
// as spent.
func (l *ledger) closeBatch() {
	for _, share := range l.inherited {
		l.settle(share, share)
	}
	l.shares, l.inherited = nil, nil
}

// setShare sets the share of a sub-agent of the current batch.
func (l *ledger) setShare(call structs.CallID, amount Amount) {
	if l.shares == nil {
		l.shares = make(map[structs.CallID]Amount)
	}
	l.shares[call] = amount
}
