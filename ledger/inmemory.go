package ledger

// inMemoryMargin is the number of turns that a budget must hold for one of them to be reserved in memory. The row that is remembered may lack
// what others have reserved since, and a turn that finds too few tokens when it begins has reached an engine by then.
const inMemoryMargin = 2

// ReserveInMemory reserves the tokens of a turn of a kept program in memory, and reports whether it has. Nothing is written: the
// turn is reserved in the row when it begins, and until then nothing is handed out. It needs the row as of the last change and room
// for several turns in it; else the row must be changed first. Only the owner of the budget may call it, for a turn whose
// process tells when it begins, and while the row is in reach.
func (p *Program) ReserveInMemory(id string, tokens int) bool {
	key := turnKey(id, false)
	_, ended := p.ended[key]
	switch {
	case p.row == nil || !p.kept || p.force || p.excess > 0 || len(p.claims) > 0:
		return false
	case p.IsOpen(id) || p.settled[id] || p.abandoned[id] || p.announced[key] || ended || p.standIn[id] || p.processOfTurn(id) == "":
		return false
	case p.row.Drawn[key] > 0 || p.free() < inMemoryMargin*max(tokens, p.mostTokens):
		return false
	}
	p.mostTokens = max(p.mostTokens, tokens)
	p.open[id] = reservation{key: key, tokens: tokens, source: fromRow, unwritten: true}
	return true
}

// free returns the tokens that are left in the row as of the last change, after the ends that it does not show and
// without those that are reserved in memory or by the change in flight.
func (p *Program) free() int {
	free := p.row.Remaining() - p.unwrittenTokens(nil) - p.inFlight
	for key, end := range p.ended {
		if have := p.row.Drawn[key]; have > end.Used {
			free += have - end.Used
		}
	}
	return free
}

// unwrittenTokens returns the tokens of the reservations in memory, but for those that begin.
func (p *Program) unwrittenTokens(begin map[string]int) int {
	tokens := 0
	for _, r := range p.open {
		if _, begins := begin[r.key]; r.unwritten && !begins {
			tokens += r.tokens
		}
	}
	return tokens
}
