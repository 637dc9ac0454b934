package ledger

import "maps"

// Outcome is the result of a request to reserve the tokens of a turn.
type Outcome uint8

const (
	// OutcomeObtain means that more tokens must be obtained first, by a Change of the row or by a claim.
	OutcomeObtain Outcome = iota
	// OutcomeGranted means that the tokens are reserved.
	OutcomeGranted
	// OutcomeSpent means that the budget has too few tokens left.
	OutcomeSpent
	// OutcomeSettled means that the reservation was settled before it was granted.
	OutcomeSettled
)

// source is where the tokens of a reservation come from.
type source uint8

const (
	fromBlock source = iota
	fromRow
	fromClaim
)

// reservation is the number of tokens of one turn in progress.
type reservation struct {
	tokens int
	source source
}

// Program is what one entry knows and has granted of one program's budget. Its methods are the
// steps of the protocol in docs/design/budget.md; the caller carries writes and messages. It is not
// safe for concurrent use.
type Program struct {
	holder string
	block  *Account
	// kept is set once a turn was asked for that the entries keep.
	kept bool
	// mostTokens is the most that one turn was to generate so far.
	mostTokens int
	open       map[string]reservation
	// settled contains the ids of settled reservations. A reservation may be settled before it is
	// granted, because the entry that requested it may have given up.
	settled map[string]bool
	// ended maps the keys of ended reservations that the row may still show to the tokens used.
	ended map[string]int
	// flush is set when the row must show the ends soon, since no stored turn shows them.
	flush bool
	// force is set when an unanswered write may still be applied.
	force bool
	// claims holds the unrecorded claims of this entry by key.
	claims Grants
	// rowSeen reports whether this entry has seen or written the program's row. shown contains the keys
	// of the claims that it showed then, and excess is by how much it exceeded the budget.
	rowSeen bool
	shown   map[string]bool
	excess  int
}

// NewProgram returns the state of a program whose budget is total tokens. holder names its block
// in the row, and no other incarnation or state may have that name.
func NewProgram(total int, holder string) *Program {
	return &Program{
		holder: holder, block: NewAccount(total), open: map[string]reservation{}, settled: map[string]bool{},
		ended: map[string]int{}, claims: Grants{},
	}
}

// Total returns the program's budget in tokens.
func (p *Program) Total() int { return p.block.Total() }

// Holder returns the name of the program's block in the row.
func (p *Program) Holder() string { return p.holder }

// OpenTurns returns the number of reservations in progress.
func (p *Program) OpenTurns() int { return len(p.open) }

// IsOpen reports whether the reservation is granted and not settled.
func (p *Program) IsOpen(id string) bool {
	_, ok := p.open[id]
	return ok
}

// MarkKept notes that the entries keep turns of the program. Its block is no longer used then.
func (p *Program) MarkKept() {
	if !p.kept {
		p.kept = true
		p.flush = p.block.ReturnFree() > 0 || p.flush
	}
}

// Kept reports whether the entries keep turns of the program.
func (p *Program) Kept() bool { return p.kept }

// Reserve reserves the tokens of a turn from what this entry has. byTurn is set if the program
// may have no block here.
func (p *Program) Reserve(id string, tokens int, byTurn bool) Outcome {
	p.mostTokens = max(p.mostTokens, tokens)
	switch {
	case p.IsOpen(id):
		return OutcomeGranted
	case p.settled[id]:
		return OutcomeSettled
	case byTurn || p.kept:
		return OutcomeObtain
	case p.block.Reserve(tokens):
		p.open[id] = reservation{tokens, fromBlock}
		return OutcomeGranted
	case p.block.Exhausted():
		return OutcomeSpent
	default:
		return OutcomeObtain
	}
}

// Change returns the change of the row that obtains the tokens of a turn, or only records what
// is pending if id is empty. byTurn is as for Reserve; known holds the claims of other entries.
func (p *Program) Change(id string, tokens int, byTurn bool, known Grants) Change {
	c := Change{Claims: maps.Clone(p.claims), Ended: maps.Clone(p.ended), Own: map[string]bool{}, Holder: p.holder, Force: p.force}
	for key, n := range known {
		if _, own := p.claims[key]; !own {
			c.Claims[key] = n
		}
	}
	for open, r := range p.open {
		switch r.source {
		case fromRow:
			c.Own[turnKey(open)] = true
		case fromClaim:
			c.Own[claimKey(open)] = true
		}
	}
	if p.kept || p.block.Exhausted() {
		c.Retained = map[string]int{p.holder: p.block.Granted()}
	}
	switch {
	case id == "":
	case byTurn || p.kept:
		c.Turn, c.Tokens = id, tokens
	default:
		if d := p.block.NextDraw(tokens); d.Need > 0 { // none if a turn has ended meanwhile
			c.Block = &d
		}
	}
	return c
}

// EndOf returns the change that records the end of a turn with used tokens.
func EndOf(id string, used int) Change {
	return Change{Ended: map[string]int{turnKey(id): used, claimKey(id): used}}
}

// Resolved adds the ends of other entries' reservations, read from stored turns, to a change.
func (c *Change) Resolved(used map[string]int) { maps.Copy(c.Ended, used) }

// Applied notes that the row now is as Row.Apply left it. It returns the keys of the own claims that
// the row shows now.
func (p *Program) Applied(c Change, r Result) (recorded []string) {
	p.rowSeen, p.force = true, false
	p.excess, p.shown = max(0, -r.Row.Remaining()), map[string]bool{}
	for key := range r.Row.Drawn {
		if isClaim(key) {
			p.shown[key] = true
		}
	}
	for key, n := range c.Claims {
		now, own := p.claims[key]
		if !own {
			continue
		}
		delete(p.claims, key)
		recorded = append(recorded, key)
		if now != n { // it was settled meanwhile
			p.ended[key] = now
			p.flush = true
		}
	}
	for key, used := range c.Ended {
		if now, ok := p.ended[key]; ok && now == used {
			delete(p.ended, key)
		}
	}
	p.flush = p.flush && len(p.ended) > 0
	switch {
	case r.Reserved && (p.settled[c.Turn] || p.IsOpen(c.Turn)):
		p.end(turnKey(c.Turn), 0, false) // given up, or claimed meanwhile
	case r.Reserved:
		p.open[c.Turn] = reservation{c.Tokens, fromRow}
	case c.Block != nil:
		p.block.ApplyDraw(r.Drawn)
	}
	return recorded
}

// Failed notes that a change was not applied, or may not have been if unknown is set. The turn is not
// reserved, and a later write must make sure of that.
func (p *Program) Failed(c Change, unknown bool) {
	if !unknown {
		return
	}
	p.force = true
	if c.Turn != "" {
		p.end(turnKey(c.Turn), 0, false)
	}
}

// end notes the end of a reservation that the row shows. stored reports whether a stored turn
// shows it too.
func (p *Program) end(key string, used int, stored bool) {
	p.ended[key] = used
	p.flush = p.flush || !stored
}

// Settle ends a reservation of which used tokens were handed out; stored reports whether the turn
// was stored. It reports whether the reservation was open, and returns the key of its claim if that is
// not recorded. Settling twice changes nothing.
func (p *Program) Settle(id string, used int, stored bool) (wasOpen bool, claim string) {
	p.settled[id] = true
	r, ok := p.open[id]
	if !ok {
		return false, ""
	}
	delete(p.open, id)
	switch key := claimKey(id); r.source {
	case fromBlock:
		p.block.Settle(r.tokens, used)
	case fromRow:
		p.end(turnKey(id), used, stored)
	case fromClaim:
		if _, unrecorded := p.claims[key]; !unrecorded {
			p.end(key, used, stored)
			break
		}
		p.claims[key] = used
		p.end(key, used, stored) // a witness may have recorded it
		return true, key
	}
	return true, ""
}

// RowSeen reports whether this entry has seen or written the program's row.
func (p *Program) RowSeen() bool { return p.rowSeen }

// FlushEnds reports whether the row should be written soon for ends of turns that nothing else shows.
func (p *Program) FlushEnds() bool { return p.flush || p.force }

// Flush reports whether the row should be written soon for the ends that it does not show, or for
// claims that it lacks.
func (p *Program) Flush() bool { return p.FlushEnds() || len(p.claims) > 0 }

// Claims returns a copy of the unrecorded claims of this entry by key.
func (p *Program) Claims() Grants { return maps.Clone(p.claims) }

// Claim claims the tokens of a turn from the slack, next to the claims that are known of other
// entries. It returns the key of the claim. The claim counts from now on, but nothing may
// be handed out before Confirm; Withdraw takes it back.
func (p *Program) Claim(id string, tokens int, known Grants) (key string, ok bool) {
	p.mostTokens = max(p.mostTokens, tokens)
	key = claimKey(id)
	if _, again := p.claims[key]; again || p.block.Exhausted() && !p.kept || !p.fits(key, tokens, known) {
		return "", false
	}
	p.claims[key] = tokens
	return key, true
}

// fits reports whether a claim of tokens fits the slack beside the other claims: those that the row
// does not show as far as this entry knows, and what recorded ones have taken beyond the budget.
func (p *Program) fits(key string, tokens int, known Grants) bool {
	total := tokens + p.excess
	for k, n := range p.claims {
		if k != key {
			total += n
		}
	}
	for k, n := range known {
		if _, own := p.claims[k]; !own && k != key && !p.shown[k] {
			total += n
		}
	}
	return total <= p.mostTokens
}

// Confirm completes a claim once a majority of the witnesses has acknowledged it and shown the
// claims that they know. It reports whether the turn may be sent.
func (p *Program) Confirm(id string, tokens int, known Grants) bool {
	key := claimKey(id)
	if _, ok := p.claims[key]; !ok || p.settled[id] || p.IsOpen(id) || !p.fits(key, tokens, known) {
		return false
	}
	p.open[id] = reservation{tokens, fromClaim}
	return true
}

// Withdraw takes back a claim that was not confirmed.
func (p *Program) Withdraw(id string) {
	key := claimKey(id)
	if _, unrecorded := p.claims[key]; unrecorded {
		// The row is to show it with 0 tokens: a witness that does not hear of this would record it.
		p.claims[key] = 0
	}
	p.end(key, 0, false)
}

// Stop returns the free tokens of the block, so that the next change lowers it.
func (p *Program) Stop() {
	if p.block.ReturnFree() > 0 {
		p.flush = true
	}
}
