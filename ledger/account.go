package ledger

// Account is one entry's view of one program's budget. It is not safe for
// concurrent use.
type Account struct {
	// total is the program's budget in tokens.
	total int
	// granted is what this entry may spend: drawn lumps and advances.
	granted  int
	reserved int
	spent    int
	// exhausted says that the row had nothing left when it was last read.
	exhausted bool
}

// NewAccount returns the account of a program with the budget in tokens.
func NewAccount(total int) *Account { return &Account{total: total} }

// Total returns the program's budget in tokens.
func (a *Account) Total() int { return a.total }

// Granted returns the tokens that this entry may spend in all.
func (a *Account) Granted() int { return a.granted }

// Free returns the tokens that are granted and neither reserved nor spent.
func (a *Account) Free() int { return a.granted - a.reserved - a.spent }

// Grant adds a lump of tokens.
func (a *Account) Grant(tokens int) { a.granted += tokens }

// Exhaust records that nothing more can be drawn.
func (a *Account) Exhaust() { a.exhausted = true }

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

// Return takes back up to tokens of free grants, for another entry, and returns how many.
func (a *Account) Return(tokens int) int {
	back := max(0, min(tokens, a.Free()))
	a.granted -= back
	return back
}
