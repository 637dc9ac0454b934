package ledger

// Account is the block that one account of an entry has drawn from a program's budget, and what
// it did with it. It is not safe for concurrent use.
type Account struct {
	// total is the program's budget in tokens.
	total int
	// drawn is the number of tokens that the account has drawn and not returned.
	drawn int
	// reserved is the number of tokens set aside for turns in progress.
	reserved int
	// spent is the number of tokens that ended turns delivered to callers.
	spent int
}

// NewAccount returns the account of a program whose budget is total tokens.
func NewAccount(total int) *Account { return &Account{total: total} }

// Total returns the program's budget in tokens.
func (a *Account) Total() int { return a.total }

// Free returns the number of drawn tokens that are neither reserved nor spent. It is negative
// when a turn delivered more than it had reserved.
func (a *Account) Free() int { return a.drawn - a.reserved - a.spent }

// Reserve sets aside maxTokens, the number of tokens that a turn may generate. It reports
// false when fewer tokens are free.
func (a *Account) Reserve(maxTokens int) bool {
	if a.Free() < maxTokens {
		return false
	}
	a.reserved += maxTokens
	return true
}

// Settle ends a reservation of maxTokens, of which used were delivered to the caller.
func (a *Account) Settle(maxTokens, used int) {
	a.reserved -= maxTokens
	a.spent += used
}

// DrawRequest describes a draw from the row, as NextDraw returns it.
type DrawRequest struct {
	// KnownDrawn is the number of tokens that the account had drawn before and not returned. The
	// row shows more when the answer to an earlier draw was lost.
	KnownDrawn int
	// Need is the least number of tokens to draw, Ahead the number to draw if the row has it.
	Need, Ahead int
}

// turnsAhead is the number of turns for which a draw takes tokens, if the row has them: a program that
// has begun goes on with them while the table is away.
const turnsAhead = 3

// NextDraw returns the draw needed for a turn that may generate maxTokens.
func (a *Account) NextDraw(maxTokens int) DrawRequest {
	return DrawRequest{KnownDrawn: a.drawn, Need: max(0, maxTokens-a.Free()), Ahead: max(0, turnsAhead*maxTokens-a.Free())}
}

// ApplyDraw adds the block that a draw took, or that the row already showed.
func (a *Account) ApplyDraw(block int) { a.drawn += block }

// Granted returns the number of tokens that the account has drawn and not returned.
func (a *Account) Granted() int { return a.drawn }

// ReturnFree removes the free tokens from the account and returns their number.
func (a *Account) ReturnFree() int {
	returned := max(0, min(a.drawn, a.Free()))
	a.drawn -= returned
	return returned
}
