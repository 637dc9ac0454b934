package ledger

import "maps"

// Outcome is the result of a request to reserve the tokens of a turn.
type Outcome uint8

const (
	// OutcomeObtain means that more tokens must be obtained first, by a Change of the row or by a claim.
	OutcomeObtain Outcome = iota
	// OutcomeGranted means that the tokens are reserved.
	OutcomeGranted
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
	key    string
	tokens int
	source source
	// begun is set once tokens may be handed out, lost if the reservation was dropped from the row before.
	begun, lost bool
	// unwritten is set while no change of the row has shown the reservation, beginAsked once one that may is planned.
	unwritten, beginAsked bool
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
	// processes maps the ids of turns to the processes that serve them, if others than this one. beginning
	// contains the ids of those that wait for the row to show that they begin.
	processes map[string]string
	beginning map[string]bool
	// settled contains the ids of settled reservations. A reservation may be settled before it is
	// granted, because the entry that requested it may have given up.
	settled map[string]bool
	// standIn contains the ids that were asked for in place of an owner out of reach.
	standIn map[string]bool
	// abandoned contains the ids of requests that failed. A change in flight may still reserve their tokens.
	abandoned map[string]bool
	// ended holds the ends of turns, by key, that the row may not show yet.
	ended map[string]End
	// flush is set when the row must show the ends soon, since no stored turn shows them.
	flush bool
	// spent is set when the last change found too few tokens left, though no other entry holds a block.
	spent bool
	// lowered is set while the row may show more for the block than the program retains of it.
	lowered bool
	// force is set when an unanswered write may still be applied.
	force bool
	// claims holds the unrecorded claims of this entry by key, announced the keys of all of its claims.
	claims    Grants
	announced map[string]bool
	// row is the row as of the last change, nil if that is not known. inFlight are the tokens of the turn that the change
	// in flight reserves.
	row      *Row
	inFlight int
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
		holder: holder, block: NewAccount(total), open: map[string]reservation{}, settled: map[string]bool{}, abandoned: map[string]bool{}, standIn: map[string]bool{},
		processes: map[string]string{}, beginning: map[string]bool{}, ended: map[string]End{}, claims: Grants{}, announced: map[string]bool{},
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

// Tokens returns the tokens of a reservation in progress.
func (p *Program) Tokens(id string) int { return p.open[id].tokens }

// MarkKept notes that the entries keep turns of the program. Its block is no longer used then.
func (p *Program) MarkKept() {
	if !p.kept {
		p.kept = true
		p.Release()
	}
}

// Kept reports whether the entries keep turns of the program.
func (p *Program) Kept() bool { return p.kept }

// keyOf returns the key of the turn with the id.
func (p *Program) keyOf(id string) string { return turnKey(id, p.standIn[id]) }

// Reserve reserves the tokens of a turn from what this entry has. standIn is set if another entry owns the
// budget; then no block is used.
func (p *Program) Reserve(id string, tokens int, standIn bool) Outcome {
	p.mostTokens = max(p.mostTokens, tokens)
	delete(p.abandoned, id) // it is asked for again
	if delete(p.standIn, id); standIn {
		p.standIn[id] = true
	}
	switch {
	case p.IsOpen(id):
		return OutcomeGranted
	case p.settled[id]:
		return OutcomeSettled
	case standIn || p.kept:
		return OutcomeObtain
	case p.block.Reserve(tokens):
		p.open[id] = reservation{tokens: tokens, source: fromBlock, begun: true}
		return OutcomeGranted
	default:
		return OutcomeObtain
	}
}

// Change returns the change of the row that obtains the tokens of a turn, or only records what
// is pending if id is empty or the turn needs none any more. Reserve must have been called for the id. known holds the claims of other entries.
func (p *Program) Change(id string, tokens int, known Grants) Change {
	c := Change{Claims: Grants{}, Ended: maps.Clone(p.ended), Own: map[string]bool{}, Holder: p.holder, Force: p.force, Begin: p.begins()}
	c.Unwritten = p.unwrittenTokens(c.Begin)
	for key, n := range p.claims {
		if !p.unconfirmed(key, n) && !p.Pending(TurnOf(key)) {
			c.Claims[key] = n
		}
	}
	for key, n := range known {
		if _, own := p.claims[key]; !own {
			c.Claims[key] = n
		}
	}
	for _, r := range p.open {
		if r.source != fromBlock {
			c.Own[r.key] = true
		}
	}
	if p.lowered {
		c.Retained = map[string]int{p.holder: p.block.Granted()}
	}
	switch {
	case id == "" || p.IsOpen(id) || p.settled[id]: // a claim may have been confirmed meanwhile, and its turn ended
	case p.standIn[id] || p.kept:
		c.Turn, c.Tokens, c.Process = p.keyOf(id), tokens, p.processOfTurn(id)
	default:
		if d := p.block.NextDraw(tokens); d.Need > 0 { // none if a turn has ended meanwhile
			c.Block = &d
		}
	}
	p.inFlight = c.Tokens
	return c
}

// EndOf returns the change that records the end of a turn with used tokens.
func EndOf(id string, used int) Change {
	return Change{Ended: map[string]End{turnKey(id, false): {used, true}}}
}

// Resolved adds the ends of other entries' turns, by key, read from stored turns, to a change.
func (c *Change) Resolved(used map[string]Usage) {
	c.endsRead = true
	for key, u := range used {
		c.Ended[key] = End{u.Of(key), true}
	}
}

// unconfirmed reports whether a claim of this entry waits for its witnesses. It may be withdrawn.
func (p *Program) unconfirmed(key string, tokens int) bool {
	id := TurnOf(key)
	return tokens > 0 && !p.IsOpen(id) && !p.settled[id]
}

// Applied notes that the row now is as Row.Apply left it. It returns the keys of the own claims that
// the row shows now.
func (p *Program) Applied(c Change, r Result) (recorded []string) {
	p.rowSeen, p.force = true, false
	p.row, p.inFlight = &r.Row, 0
	p.spent = r.Short && len(r.Holders) == 0
	p.excess, p.shown = max(0, -r.Row.Remaining()), map[string]bool{}
	for key := range r.Row.Drawn {
		// A pending reservation may be dropped, while a claim under its key has handed tokens out.
		if _, pending := r.Row.Pending[key]; TurnOf(key) != "" && !pending {
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
			p.end(key, End{now, true}, false)
		}
	}
	for key, end := range c.Ended {
		if now, ok := p.ended[key]; ok && now == end {
			delete(p.ended, key)
		}
	}
	if n, ok := c.Retained[p.holder]; ok && n == p.block.Granted() {
		p.lowered = false
	}
	p.flush = p.flush && len(p.ended) > 0
	p.applyBegins(c, r)
	_, ended := c.Ended[c.Turn]
	switch {
	case r.Reserved:
		p.reserved(c.Turn, c.Tokens)
	case c.Turn != "" && r.Row.Drawn[c.Turn] >= c.Tokens && !ended && !p.IsOpen(TurnOf(c.Turn)) && p.claims[c.Turn] == 0:
		// An earlier write reserved them, and the budget holds them no more. Fewer tokens, or those of a turn that has
		// ended, are what the turn used when it ran before: its caller asks again under the same id.
		p.end(c.Turn, End{}, false)
	case c.Block != nil:
		p.block.ApplyDraw(r.Drawn)
	}
	return recorded
}

// reserved notes that the row shows the reservation of a turn under its key.
func (p *Program) reserved(key string, tokens int) {
	id := TurnOf(key)
	_, claimed := p.claims[key]
	switch {
	case p.open[id].key == key: // claimed meanwhile
	case p.settled[id] || p.abandoned[id] || p.IsOpen(id) || p.keyOf(id) != key:
		if !claimed { // else the end of the claim is recorded with it
			p.end(key, End{}, false)
		}
	default:
		// A claim that was withdrawn meanwhile must not be recorded as unused.
		delete(p.claims, key)
		delete(p.ended, key)
		p.open[id] = reservation{key: key, tokens: tokens, source: fromRow, begun: p.processOfTurn(id) == ""}
	}
}

// Failed notes that a change was not applied, or may not have been if unknown is set. The turn is not
// reserved, and a later write must make sure of that.
func (p *Program) Failed(c Change, unknown bool) {
	p.row, p.inFlight = nil, 0
	if !unknown {
		return
	}
	p.force = true
	if _, claimed := p.claims[c.Turn]; c.Turn != "" && !claimed && p.open[TurnOf(c.Turn)].key != c.Turn {
		p.end(c.Turn, End{}, false)
	}
}

// end notes the end of a turn that the row may show. stored reports whether a stored turn shows it
// too.
func (p *Program) end(key string, e End, stored bool) {
	e.Keep = e.Keep || p.announced[key]
	p.ended[key] = e
	p.flush = p.flush || !stored
}

// Abandon notes that a request for tokens failed. It may be made again.
func (p *Program) Abandon(id string) {
	p.abandoned[id] = true
	delete(p.processes, id)
}

// Settle ends a reservation of which used tokens were handed out; stored reports whether the turn
// was stored. It reports whether the reservation was open, and returns the key of its claim if that is
// not recorded. Settling twice changes nothing.
func (p *Program) Settle(id string, used int, stored bool) (wasOpen bool, claim string) {
	p.settled[id] = true
	delete(p.processes, id)
	r, ok := p.open[id]
	if !ok {
		return false, ""
	}
	delete(p.open, id)
	switch key := r.key; {
	case r.unwritten && !r.beginAsked && used == 0: // no change of the row has it; with tokens used, its process began it in the row
	case r.source == fromBlock:
		p.block.Settle(r.tokens, used)
	case r.source == fromRow:
		p.end(key, End{used, false}, stored)
	case r.source == fromClaim:
		p.end(key, End{used, true}, stored) // a witness may have recorded it
		if _, unrecorded := p.claims[key]; unrecorded {
			p.claims[key] = used
			return true, key
		}
	}
	return true, ""
}

// RowSeen reports whether this entry has seen or written the program's row.
func (p *Program) RowSeen() bool { return p.rowSeen }

// FlushEnds reports whether the row should be written soon for ends of turns that nothing else shows.
func (p *Program) FlushEnds() bool { return p.flush || p.force || p.lowered }

// Flush reports whether the row should be written soon for the ends that it does not show, or for
// claims that it lacks.
func (p *Program) Flush() bool {
	if p.FlushEnds() {
		return true
	}
	for key := range p.claims {
		if !p.Pending(TurnOf(key)) {
			return true
		}
	}
	return false
}

// Claims returns a copy of the unrecorded claims of this entry by key.
func (p *Program) Claims() Grants { return maps.Clone(p.claims) }

// Claim claims tokens for a turn from the slack, next to the claims that are known of other entries: as many
// as the turn may generate, or those that are left if they are at least a number. It returns the key and the
// tokens of the claim. The claim counts from now on, but nothing may be handed out before Confirm;
// Withdraw takes it back.
func (p *Program) Claim(id string, tokens, least int, known Grants) (key string, claimed int, ok bool) {
	p.mostTokens = max(p.mostTokens, tokens)
	key = p.keyOf(id)
	claimed = min(tokens, p.slack(key, known))
	// A key is claimed once: witnesses take a second claim under it for a late notice of the first, and the row keeps
	// what it has.
	if p.announced[key] || p.spent || claimed < least || claimed <= 0 {
		return "", 0, false
	}
	p.claims[key], p.announced[key] = claimed, true
	delete(p.ended, key) // of a reservation that failed
	return key, claimed, true
}

// slack returns how many tokens can be claimed under a key beside the other claims: those that the row does not
// show as far as this entry knows, and what recorded ones have taken beyond the budget.
func (p *Program) slack(key string, known Grants) int {
	left := p.mostTokens - p.excess
	for k, n := range p.claims {
		if k != key {
			left -= n
		}
	}
	for k, n := range known {
		if _, own := p.claims[k]; !own && k != key && !p.shown[k] {
			left -= n
		}
	}
	return left
}

// Confirm completes a claim once a majority of the witnesses has acknowledged it and shown the
// claims that they know. It reports whether the turn may be sent.
func (p *Program) Confirm(id string, known Grants) bool {
	key := p.keyOf(id)
	tokens, ok := p.claims[key]
	if !ok || p.settled[id] || p.IsOpen(id) || tokens > p.slack(key, known) {
		return false
	}
	p.open[id] = reservation{key: key, tokens: tokens, source: fromClaim, begun: !p.kept || p.processOfTurn(id) == ""}
	return true
}

// Withdraw takes back a claim that was not confirmed.
func (p *Program) Withdraw(id string) {
	key := p.keyOf(id)
	if _, unrecorded := p.claims[key]; unrecorded {
		// The row is to show it with 0 tokens: a witness that does not hear of this would record it.
		p.claims[key] = 0
	}
	p.end(key, End{0, true}, false)
}

// Release returns the free tokens of the block, so that the next change lowers it in the row. It
// reports whether there are any.
func (p *Program) Release() bool {
	if p.block.ReturnFree() > 0 {
		p.lowered = true
	}
	return p.lowered
}
