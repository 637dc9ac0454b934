package program

import (
	"maps"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Amount is a quantity of each thing that a budget bounds.
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

// within reports whether no part of a exceeds that of b.
func (a Amount) within(b Amount) bool { return a.min(b) == a }

// draw is a recorded draw on the budget that the journal may not hold yet.
type draw struct {
	seq   uint64
	total Amount
}

// ledger keeps the budget of one program.
//
// A reservation comes out of the part drawn. Each record states the total drawn; after a
// crash all of it counts as spent, but for the shares of sub-agents that are known. So the
// sum of what all homes spend stays within the budget as long as nothing runs on a draw
// that is not committed.
type ledger struct {
	limit Amount
	lump  Amount
	// ahead is what the next step is expected to reserve.
	ahead    Amount
	spent    Amount
	reserved Amount
	// stated is the total in the last record, drawn the committed total.
	stated  Amount
	drawn   Amount
	pending []draw
	// shares holds the reservation of each sub-agent of the present step.
	shares map[structs.CallID]Amount
	// inherited are those shares that a restart found and no call of this home has taken up.
	inherited map[structs.CallID]Amount
	// returning is what finished sub-agents left of their shares. A restart that does not
	// find the record of it keeps the whole share for the sub-agent, so until the commit
	// nothing may run on what is left.
	returning []draw
}

func newLedger(b structs.Budget, divisor int64) ledger {
	limit := Amount{Tokens: b.Tokens, Calls: b.Calls, ToolTime: b.ToolTime, Agents: b.Agents}
	least := minLump.min(limit.div(minLumps))
	return ledger{limit: limit, lump: limit.div(divisor).max(least)}
}

// minLumps is the least number of lumps of a budget, since each crash loses up to one and a half.
const minLumps = 4

// minLump is the least draw of a larger budget: about one turn of a small program.
var minLump = Amount{Tokens: 16 << 10, Calls: 8, ToolTime: time.Minute, Agents: 1}

// free returns what is neither spent nor reserved.
func (l *ledger) free() Amount { return l.limit.sub(l.spent).sub(l.reserved) }

// fits reports whether need can be reserved.
func (l *ledger) fits(need Amount) bool {
	return l.spent.add(l.reserved).add(need).within(l.limit)
}

// reserve takes need, which must fit, and states a larger total when the last one does not cover it.
func (l *ledger) reserve(need Amount) {
	l.reserved = l.reserved.add(need)
	if !l.taken().min(l.limit).within(l.stated) {
		l.raise()
	}
}

// taken is what is spent or reserved.
func (l *ledger) taken() Amount { return l.spent.add(l.reserved) }

// covered reports whether each record that a restart could find last covers all that is
// taken, together with the shares that it keeps for sub-agents which have ended since.
func (l *ledger) covered() bool {
	if !l.taken().add(l.returnedAfter(0)).within(l.drawn) {
		return false
	}
	for _, d := range l.pending {
		if !l.taken().add(l.returnedAfter(d.seq)).within(d.total) {
			return false
		}
	}
	return true
}

// returnedAfter is what is left of the shares whose ends are recorded after record seq and
// are not committed.
func (l *ledger) returnedAfter(seq uint64) Amount {
	var left Amount
	for _, r := range l.returning {
		if r.seq > seq {
			left = left.add(r.total)
		}
	}
	return left
}

// unrecorded reports whether the stated total is in no record yet.
func (l *ledger) unrecorded() bool { return l.lastRecorded() != l.stated }

func (l *ledger) lastRecorded() Amount {
	if n := len(l.pending); n > 0 {
		return l.pending[n-1].total
	}
	return l.drawn
}

// settle replaces a reservation by what was used.
func (l *ledger) settle(reserved, used Amount) {
	l.reserved = l.reserved.sub(reserved)
	l.spent = l.spent.add(used)
}

// settleShare ends the reservation of a sub-agent that used so much of it, as the next
// record, numbered seq, says.
func (l *ledger) settleShare(call structs.CallID, share, used Amount, seq uint64) {
	l.settle(share, used)
	l.shares[call] = used
	l.returning = append(l.returning, draw{seq: seq, total: share.sub(used)})
}

// usable is the smallest total that a restart could find in the journal.
func (l *ledger) usable() Amount {
	usable := l.drawn
	for _, d := range l.pending {
		usable = usable.min(d.total)
	}
	return usable
}

// raise states a total that covers all that is taken, and beyond it one lump or the next step.
func (l *ledger) raise() {
	target := l.taken().add(l.lump.max(l.ahead)).min(l.limit)
	l.stated = l.stated.max(target)
}

// topUp states a larger total before the lump is used up or the next step exceeds it, so that
// the draw is committed by the time it is needed.
func (l *ledger) topUp() {
	if !l.taken().add(l.lump.div(2).max(l.ahead)).min(l.limit).within(l.stated) {
		l.raise()
	}
}

// lower gives back what was drawn beyond what raise would state.
func (l *ledger) lower() {
	target := l.taken().add(l.lump.max(l.ahead)).min(l.limit)
	l.stated = l.stated.min(target)
}

// recorded notes that record seq states the total drawn.
func (l *ledger) recorded(seq uint64) {
	if l.unrecorded() {
		l.pending = append(l.pending, draw{seq: seq, total: l.stated})
	}
}

// commit takes over the draws and the returns of the records up to seq.
func (l *ledger) commit(seq uint64) {
	n := reached(l.pending, seq)
	if n > 0 {
		l.drawn = l.pending[n-1].total
	}
	l.pending = drop(l.pending, n)
	l.returning = drop(l.returning, reached(l.returning, seq))
}

// reached returns the number of draws in the records up to seq.
func reached(draws []draw, seq uint64) int {
	n := 0
	for n < len(draws) && draws[n].seq <= seq {
		n++
	}
	return n
}

// drop removes the first n draws and lets go of the memory when none is left.
func drop(draws []draw, n int) []draw {
	if n == len(draws) {
		return nil
	}
	return draws[n:]
}

// restore takes the state that a record stated. All that was drawn counts as spent,
// but for the shares of sub-agents, which stay reserved.
func (l *ledger) restore(stated Amount, shares map[structs.CallID]Amount) {
	var reserved Amount
	for _, share := range shares {
		reserved = reserved.add(share)
	}
	l.stated, l.drawn, l.pending = stated, stated, nil
	l.returning = nil
	l.shares = shares
	l.inherited = maps.Clone(shares)
	l.reserved = reserved
	l.spent = stated.sub(reserved)
}

// inherit takes up the share that an earlier home gave to the call.
func (l *ledger) inherit(call structs.CallID) (Amount, bool) {
	share, found := l.inherited[call]
	delete(l.inherited, call)
	return share, found
}

// closeStep ends the shares of the present step. What earlier homes gave to calls that
// were not taken up again counts as spent.
func (l *ledger) closeStep() {
	for _, share := range l.inherited {
		l.settle(share, share)
	}
	l.shares, l.inherited = nil, nil
}

func (l *ledger) share(call structs.CallID, amount Amount) {
	if l.shares == nil {
		l.shares = make(map[structs.CallID]Amount)
	}
	l.shares[call] = amount
}
