package ledger

// Account is one entry's view of one program's budget. It is not safe for
// concurrent use.
type Account struct {
	// total is the program's budget in tokens.
	total int
	// recorded is what this entry has drawn from the row.
	recorded int
	// advanced is what it has granted ahead of the row, while the table was away.
	advanced int
	// others is what other lives of entries are known to have drawn or granted ahead.
	others   Grants
	reserved int
	spent    int
	// exhausted says that the row had nothing left when it was last read.
	exhausted bool
}

// NewAccount returns the account of a program with the budget in tokens.
func NewAccount(total int) *Account { return &Account{total: total} }

// Total returns the program's budget in tokens.
func (a *Account) Total() int { return a.total }

// Free returns the tokens that are granted and neither reserved nor spent; it is
// negative when advances turned out to be more than the row held.
func (a *Account) Free() int { return a.recorded + a.advanced - a.reserved - a.spent }

// Exhausted reports whether the row had nothing left for another turn.
func (a *Account) Exhausted() bool { return a.exhausted }

// Reserve sets aside the most that a turn generates. It reports false when the
// grants don't hold it.
func (a *Account) Reserve(most int) bool {
	if a.Free() < most {
		return false
	}
	a.reserved += most
	return true
}

// Settle ends a reservation of most tokens of which used were handed to the caller.
func (a *Account) Settle(most, used int) {
	a.reserved -= most
	a.spent += used
}

// Drawing is what a draw from the row must know.
type Drawing struct {
	// Recorded is what the row has of this entry before the draw.
	Recorded int
	// Need is the least number of tokens to draw.
	Need int
	// Others is what other lives of entries are known to have been granted, in the row and
	// ahead of it.
	Others Grants
	// advanced is the part of Need that was granted ahead.
	advanced int
}

// Drawing returns the draw that is needed for a turn of most tokens. What was granted
// ahead of the row is drawn with it.
func (a *Account) Drawing(most int) Drawing {
	return Drawing{Recorded: a.recorded, Others: a.others, Need: a.advanced + max(0, most-a.Free()), advanced: a.advanced}
}

// Drawn records the lump that a draw took; zero says that the row did not hold it.
func (a *Account) Drawn(d Drawing, lump int) {
	if lump == 0 {
		a.exhausted = true
		return
	}
	a.recorded += lump
	// What was granted ahead while the draw was on its way is covered by the lump too, as
	// far as that holds what is in use.
	a.advanced = min(max(0, a.advanced-d.advanced), max(0, a.reserved+a.spent-a.recorded))
}

// advanceShare is the part of a budget that an owner grants ahead of the row: with a
// half, two entries that both take themselves for the owner don't exceed the budget.
const advanceShare = 2

// Grants is the tokens that each life of an entry was granted for a program in all,
// drawn from its row and ahead of it.
type Grants map[string]int

// Merge takes the greater count of each life: grants grow until their life ends.
func (g Grants) Merge(other Grants) {
	for holder, n := range other {
		g[holder] = max(g[holder], n)
	}
}

// sum returns the tokens granted to all.
func (g Grants) sum() int {
	total := 0
	for _, n := range g {
		total += n
	}
	return total
}

// Learn replaces what is known of the other lives; self is the account's own.
func (a *Account) Learn(known Grants, self string) {
	a.others = make(Grants, len(known))
	for holder, n := range known {
		if holder != self {
			a.others[holder] = n
		}
	}
}

// Standing is what is known of a program and its owner when tokens are granted ahead
// of the row.
type Standing struct {
	// Alone says that no other entry grants tokens for the program.
	Alone bool
	// Open is the number of its turns under way.
	Open int
	// Surging says that it sends more turns at once than programs do that end.
	Surging bool
	// Stuck says that its turns can't end whole now, so that what they get is sent again.
	Stuck bool
}

// AdvanceNeeded returns the tokens to grant ahead of the row for a turn of most tokens,
// for an entry that has learnt what the others were granted. It reports false when the
// turn must not go on.
//
// Grants ahead of the row are lost when all entries that know of them end. The most of
// one turn may be lost without harm, and so may what a program is granted that spends
// its budget once; so beyond one turn only programs that go one turn at a time get more.
func (a *Account) AdvanceNeeded(most int, s Standing) (int, bool) {
	need := max(0, most-a.Free())
	limit := a.total - a.recorded - a.others.sum()
	if !s.Alone {
		limit = min(limit, max(most, a.total/advanceShare))
	}
	if s.Surging || s.Stuck || s.Open > 0 {
		limit = min(limit, most)
	}
	return need, !a.exhausted && a.advanced+need <= limit
}

// BeyondOneTurn reports whether another turn of most tokens would bring what is granted
// ahead of the row beyond the most of one turn.
func (a *Account) BeyondOneTurn(most int) bool { return a.advanced+max(0, most-a.Free()) > most }

// Advance grants tokens ahead of the row.
func (a *Account) Advance(tokens int) { a.advanced += tokens }

// Granted returns what this entry was granted in all.
func (a *Account) Granted() int { return a.recorded + a.advanced }

// Advanced returns the tokens granted ahead of the row.
func (a *Account) Advanced() int { return a.advanced }

// Return takes back the free part of what was drawn and returns how many tokens it is.
func (a *Account) Return() int {
	back := max(0, min(a.recorded, a.Free()-a.advanced))
	a.recorded -= back
	a.exhausted = true
	return back
}
