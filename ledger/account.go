package ledger

// Account is one entry's view of one program's budget. It is not safe for concurrent use.
type Account struct {
	// total is the program's budget in tokens.
	total int
	// drawn is the number of tokens that this entry has drawn from the row.
	drawn int
	// provisional is the number of tokens that this entry has granted without recording
	// them in the row, because the table was unreachable or slow.
	provisional int
	// others is what is known of the grants of other incarnations, drawn or provisional.
	others Grants
	// reserved counts the tokens set aside for turns in progress, spent those that ended
	// turns have used.
	reserved int
	spent    int
	// exhausted reports whether the row did not hold another turn at the last draw.
	exhausted bool
}

// NewAccount returns the account of a program whose budget is total tokens.
func NewAccount(total int) *Account { return &Account{total: total} }

// Total returns the program's budget in tokens.
func (a *Account) Total() int { return a.total }

// Free returns the number of granted tokens that are neither reserved nor spent. It is
// negative when more was granted provisionally than the row turned out to hold.
func (a *Account) Free() int { return a.drawn + a.provisional - a.reserved - a.spent }

// Exhausted reports whether the row did not hold another turn at the last draw.
func (a *Account) Exhausted() bool { return a.exhausted }

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

// DrawRequest describes a draw from the row.
type DrawRequest struct {
	// Recorded is the number of tokens that this entry had drawn before.
	Recorded int
	// Need is the least number of tokens to draw.
	Need int
	// Others is what is known of the grants of other incarnations, drawn or provisional.
	Others Grants
	// provisional is the part of Need that has been granted provisionally.
	provisional int
}

// DrawRequest returns the draw that a turn of maxTokens needs. It includes the tokens that
// were granted provisionally, so that the draw records them.
func (a *Account) DrawRequest(maxTokens int) DrawRequest {
	return DrawRequest{Recorded: a.drawn, Others: a.others, Need: a.provisional + max(0, maxTokens-a.Free()), provisional: a.provisional}
}

// ApplyDraw adds the block that the draw d took. A block of 0 means that the row did not
// hold enough tokens, and marks the account as exhausted.
func (a *Account) ApplyDraw(d DrawRequest, block int) {
	if block == 0 {
		a.exhausted = true
		return
	}
	a.drawn += block
	// The block also covers what was granted provisionally while the draw was in flight, as
	// far as it holds the tokens in use.
	a.provisional = min(max(0, a.provisional-d.provisional), max(0, a.reserved+a.spent-a.drawn))
}

// provisionalDivisor bounds provisional grants to 1/provisionalDivisor of a budget. With
// half, 2 entries that both consider themselves the owner don't exceed the budget.
const provisionalDivisor = 2

// Grants maps each incarnation of an entry to the number of tokens granted to it for a
// program in total, drawn from the row and provisional.
type Grants map[string]int

// Merge takes the greater count for each incarnation: the grants of an incarnation only
// grow until it ends.
func (g Grants) Merge(other Grants) {
	for holder, n := range other {
		g[holder] = max(g[holder], n)
	}
}

// sum returns the number of tokens granted to all incarnations.
func (g Grants) sum() int {
	total := 0
	for _, n := range g {
		total += n
	}
	return total
}

// SetOthers replaces the known grants of other incarnations. The grants of self, the
// account's own incarnation, are left out.
func (a *Account) SetOthers(known Grants, self string) {
	a.others = make(Grants, len(known))
	for holder, n := range known {
		if holder != self {
			a.others[holder] = n
		}
	}
}

// GrantConditions is what a provisional grant depends on beside the account.
type GrantConditions struct {
	// ExclusiveOwner reports whether no other entry can be granting tokens for the program.
	ExclusiveOwner bool
	// OpenTurns is the number of the program's turns in progress.
	OpenTurns int
	// Runaway reports whether the program sent a burst of turns; see RunawayDetector.
	Runaway bool
	// CannotComplete reports whether its turns can't complete at present, so that the caller
	// will send them again.
	CannotComplete bool
}

// ProvisionalGrant returns the number of tokens to grant provisionally for a turn of
// maxTokens. It reports false when the turn must not run. SetOthers must have been called
// with the current grants of the other incarnations.
//
// Provisional grants are lost when all entries that know of them fail. It does no harm to
// lose the grant of one turn, or the grants of a program that spends its budget only once.
// Therefore only programs that send one turn at a time are granted more than one turn.
func (a *Account) ProvisionalGrant(maxTokens int, c GrantConditions) (int, bool) {
	need := max(0, maxTokens-a.Free())
	limit := a.total - a.drawn - a.others.sum()
	if !c.ExclusiveOwner {
		limit = min(limit, max(maxTokens, a.total/provisionalDivisor))
	}
	if c.Runaway || c.CannotComplete || c.OpenTurns > 0 {
		limit = min(limit, maxTokens)
	}
	return need, !a.exhausted && a.provisional+need <= limit
}

// ExceedsOneTurn reports whether another turn of maxTokens would raise the provisional
// grants above the tokens of one turn.
func (a *Account) ExceedsOneTurn(maxTokens int) bool {
	return a.provisional+max(0, maxTokens-a.Free()) > maxTokens
}

// GrantProvisionally grants tokens that the row does not record yet.
func (a *Account) GrantProvisionally(tokens int) { a.provisional += tokens }

// Granted returns the number of tokens that this entry was granted in total.
func (a *Account) Granted() int { return a.drawn + a.provisional }

// Provisional returns the number of tokens that were granted provisionally.
func (a *Account) Provisional() int { return a.provisional }

// ReturnFree removes the free part of the drawn tokens from the account and returns its
// size. The account is exhausted afterwards.
func (a *Account) ReturnFree() int {
	returned := max(0, min(a.drawn, a.Free()-a.provisional))
	a.drawn -= returned
	a.exhausted = true
	return returned
}
