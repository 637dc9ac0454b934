package ledger

// Account is the view that one incarnation of an entry has of one program's budget. It is
// not safe for concurrent use.
type Account struct {
	// total is the program's budget in tokens.
	total int
	// drawn is the number of tokens that this incarnation has drawn and not returned.
	drawn int
	// provisional is the number of tokens that it has granted and not yet recorded in the
	// row, because the table was unreachable or slow.
	provisional int
	// others holds the known grants of other incarnations.
	others Grants
	// reserved is the number of tokens set aside for turns in progress.
	reserved int
	// spent is the number of tokens that ended turns delivered to callers.
	spent int
	// exhausted is set when a draw finds too few tokens left, and by ReturnFree. It stays set.
	exhausted bool
}

// NewAccount returns the account of a program whose budget is total tokens.
func NewAccount(total int) *Account { return &Account{total: total} }

// Total returns the program's budget in tokens.
func (a *Account) Total() int { return a.total }

// Free returns the number of granted tokens that are neither reserved nor spent. It is
// negative after a draw that added fewer tokens than the provisional grants that it was to
// record, or when a turn delivered more than it had reserved.
func (a *Account) Free() int { return a.drawn + a.provisional - a.reserved - a.spent }

// Exhausted reports whether a draw has found too few tokens left, or ReturnFree was called.
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

// DrawRequest describes a draw from the row, as NextDraw returns it. Row.Draw executes it, and
// ApplyDraw adds its result to the account.
type DrawRequest struct {
	// KnownDrawn is the number of tokens that this incarnation had drawn before and not
	// returned, as far as its account knows. Row.Draw does not use it: the caller compares it
	// with the row, which shows more when the answer to an earlier draw was lost or when another
	// entry recorded provisional grants of this incarnation.
	KnownDrawn int
	// Need is the least number of tokens to draw: those granted provisionally so far, and those
	// that the next turn lacks.
	Need int
	// Others holds the known grants of other incarnations.
	Others Grants
	// provisional is the part of Need that has been granted provisionally.
	provisional int
}

// NextDraw returns the draw needed for a turn that may generate maxTokens. It includes the
// tokens that were granted provisionally, so that the draw records them.
func (a *Account) NextDraw(maxTokens int) DrawRequest {
	return DrawRequest{KnownDrawn: a.drawn, Others: a.others, Need: a.provisional + max(0, maxTokens-a.Free()), provisional: a.provisional}
}

// ApplyDraw adds the block that the draw d took, or that the row already showed beyond
// d.KnownDrawn. A block of 0 means that the row had too few tokens left, and marks the account as
// exhausted.
func (a *Account) ApplyDraw(d DrawRequest, block int) {
	if block == 0 {
		a.exhausted = true
		return
	}
	a.drawn += block
	// Grants that d includes are recorded now. Those made while the draw was in flight are
	// covered too, as far as the drawn tokens suffice for the reserved and spent ones; the rest
	// stays provisional.
	a.provisional = min(max(0, a.provisional-d.provisional), max(0, a.reserved+a.spent-a.drawn))
}

// provisionalDivisor bounds the provisional grants of an entry that may not be the only
// owner to 1/provisionalDivisor of the budget, or to one turn if that is more. With a divisor
// of 2, two entries that both consider themselves the owner don't exceed the budget.
const provisionalDivisor = 2

// Grants maps holders, the names of incarnations of entries, to the number of tokens that
// each was granted for a program in total: drawn from the row and provisional.
type Grants map[string]int

// Merge takes the greater count for each holder: its grants only grow until it returns
// tokens at shutdown.
func (g Grants) Merge(other Grants) {
	for holder, n := range other {
		g[holder] = max(g[holder], n)
	}
}

// sum returns the number of tokens granted to all holders.
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

// GrantConditions holds the inputs of a provisional grant that the account does not know.
type GrantConditions struct {
	// ExclusiveOwner reports whether no other entry can grant tokens provisionally for the
	// program.
	ExclusiveOwner bool
	// Minority reports whether most of the entries may be behind a partition, where they may reach
	// the row that the owner does not reach and draw all of it.
	Minority bool
	// OpenTurns is the number of the program's turns in progress.
	OpenTurns int
	// Runaway reports whether the program sent a burst of turns; see RunawayDetector.
	Runaway bool
	// CannotComplete reports whether this turn can't complete at present, so that its caller
	// will send it again.
	CannotComplete bool
}

// ProvisionalGrant returns the number of tokens to grant provisionally for a turn of
// maxTokens. It reports false when nothing may be granted provisionally for it. SetOthers
// must have been called with the current grants of the other incarnations.
//
// When all entries that know of provisional grants fail, or others draw from the row meanwhile, the
// tokens can be granted again. This does no harm when it concerns the tokens of one turn, or a
// program that would not use them a second time. A program that is a runaway, has turns in progress
// or will send this turn again may do so, and is therefore granted at most the tokens of one turn;
// so is any program while the owner is in a minority, where it may not see what the program does.
func (a *Account) ProvisionalGrant(maxTokens int, c GrantConditions) (int, bool) {
	need := max(0, maxTokens-a.Free())
	// limit bounds the provisional grants of this incarnation, those of earlier turns included.
	limit := a.total - a.drawn - a.others.sum()
	if !c.ExclusiveOwner {
		limit = min(limit, max(maxTokens, a.total/provisionalDivisor))
	}
	if c.Minority || c.Runaway || c.CannotComplete || c.OpenTurns > 0 {
		limit = min(limit, maxTokens)
	}
	return need, !a.exhausted && a.provisional+need <= limit
}

// ExceedsOneTurn reports whether granting another turn of maxTokens would bring the
// provisional grants above maxTokens.
func (a *Account) ExceedsOneTurn(maxTokens int) bool {
	return a.provisional+max(0, maxTokens-a.Free()) > maxTokens
}

// GrantProvisionally grants tokens that the row does not record yet.
func (a *Account) GrantProvisionally(tokens int) { a.provisional += tokens }

// Granted returns the number of tokens that this incarnation was granted in total.
func (a *Account) Granted() int { return a.drawn + a.provisional }

// Provisional returns the number of tokens that were granted provisionally and are not yet
// recorded in the row.
func (a *Account) Provisional() int { return a.provisional }

// ReturnFree removes the drawn tokens that are free from the account and returns their
// number. The account is exhausted afterwards, so that no more is drawn or granted.
func (a *Account) ReturnFree() int {
	returned := max(0, min(a.drawn, a.Free()-a.provisional))
	a.drawn -= returned
	a.exhausted = true
	return returned
}
