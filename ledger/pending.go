package ledger

import (
	"maps"
	"slices"
	"strings"
)

// A reservation is pending from its write until the first event of its turn arrives at the process that serves the
// turn. That process hands the event out only once the row shows that the reservation has begun. So a pending
// reservation whose process has ended stands for no tokens that a caller received, and it may be dropped.
//
// Dropping is safe even if the process only seemed to have ended: its turn can't begin then unless the
// budget has room for it.

// processOf returns the process that a holder's name, NODE/INCARNATION/NUMBER, belongs to, as NODE/INCARNATION.
func processOf(holder string) string {
	if i := strings.LastIndexByte(holder, '/'); i >= 0 {
		return holder[:i]
	}
	return holder
}

// nodeOf returns the node of a process that is named NODE/INCARNATION.
func nodeOf(process string) string {
	if i := strings.LastIndexByte(process, '/'); i >= 0 {
		return process[:i]
	}
	return process
}

// replaced reports whether a process is an earlier one of the same node as own.
func replaced(process, own string) bool {
	return process != own && nodeOf(process) != "" && nodeOf(process) == nodeOf(own)
}

// setPending marks in place that the reservation under a key, served by a process, has not begun.
func (r *Row) setPending(key, process string) {
	if r.Pending == nil {
		r.Pending = map[string]string{}
	}
	r.Pending[key] = process
}

// begin records in place that the turn under a key begins, which reserves its tokens once more if they were dropped
// meanwhile. It reports whether the turn has its tokens, and whether that changes the row.
func (r Row) begin(key string, tokens int) (begun, changed bool) {
	_, pending := r.Pending[key]
	if have, ok := r.Drawn[key]; !ok || have < tokens {
		if !r.reserve(key, tokens, 0) {
			return false, false
		}
		changed = true
	}
	delete(r.Pending, key)
	return true, changed || pending
}

// dropPending removes in place the pending reservations whose processes have ended, and returns their keys in order.
func (r Row) dropPending(c Change) []string {
	var dropped []string
	own := processOf(c.Holder)
	for key, process := range r.Pending {
		if key == c.Turn || !replaced(process, own) && !slices.Contains(c.Gone, process) {
			continue
		}
		if _, claimed := c.Claims[key]; claimed {
			continue
		}
		delete(r.Pending, key)
		delete(r.Drawn, key)
		dropped = append(dropped, key)
	}
	slices.Sort(dropped)
	return dropped
}

// pendingProcesses returns, in order, the processes that serve pending reservations.
func (r Row) pendingProcesses() []string {
	var processes []string
	for _, process := range r.Pending {
		processes = append(processes, process)
	}
	slices.Sort(processes)
	return slices.Compact(processes)
}

// BeginOf returns the change that records the beginning of a turn with a number of tokens.
func BeginOf(id string, standIn bool, tokens int) Change {
	return Change{Begin: map[string]int{turnKey(id, standIn): tokens}}
}

// ServedBy records which process, NODE/INCARNATION, serves a turn; without it, this one does. An empty name stands for a process that
// can't tell when the turn begins, so that its reservation counts as begun.
func (p *Program) ServedBy(id, process string) {
	if !p.IsOpen(id) && !p.settled[id] {
		p.processes[id] = process
	}
}

// processOfTurn returns the process that serves a turn.
func (p *Program) processOfTurn(id string) string {
	if process, ok := p.processes[id]; ok {
		return process
	}
	return processOf(p.holder)
}

// BeginState is the state of a reservation whose turn is about to hand out its first tokens.
type BeginState uint8

const (
	// BeginPending means that a Change must record the beginning first.
	BeginPending BeginState = iota
	// BeginDone means that tokens may be handed out.
	BeginDone
	// BeginLost means that the turn has no tokens: the reservation was settled or dropped, or is not known here.
	BeginLost
)

// Begin asks for the beginning of a turn to be recorded, unless it needs no record: a claimed turn begins at once, since its
// witnesses know of the claim.
func (p *Program) Begin(id string) BeginState {
	r, ok := p.open[id]
	switch {
	case !ok || r.lost:
		return BeginLost
	case r.begun:
		return BeginDone
	case r.source == fromClaim: // from now on the claim is recorded as one that hands tokens out
		r.begun = true
		p.open[id] = r
		return BeginDone
	default:
		p.beginning[id] = true
		r.beginAsked = true
		p.open[id] = r
		return BeginPending
	}
}

// Pending reports whether a turn must begin in the row before its first tokens are handed out.
func (p *Program) Pending(id string) bool { r, ok := p.open[id]; return ok && !r.begun }

// begins returns the keys and tokens of the reservations to record as begun.
func (p *Program) begins() map[string]int {
	begin := map[string]int{}
	for id := range p.beginning {
		if r, ok := p.open[id]; ok && !r.begun {
			begin[r.key] = r.tokens
		} else {
			delete(p.beginning, id)
		}
	}
	return begin
}

// applyBegins notes which turns the row shows as begun.
func (p *Program) applyBegins(c Change, res Result) {
	for key := range maps.Keys(c.Begin) {
		id := TurnOf(key)
		delete(p.beginning, id)
		r, ok := p.open[id]
		if !ok || r.key != key {
			continue
		}
		r.begun = slices.Contains(res.Begun, key)
		r.unwritten, r.lost = false, !r.begun
		p.open[id] = r
	}
}
