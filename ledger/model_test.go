package ledger

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// cluster is a model of several entries, the row of one program, and its stored turns. It carries
// the changes and claims of Program as package gateway does, and loses them at every point.
type cluster struct {
	t       *rapid.T
	kept    bool
	total   int
	row     Row
	version int
	down    bool
	// stored maps the keys of stored turns to the tokens that their callers received.
	stored map[string]Usage
	// late are writes without an answer that may still be applied.
	late    []lateWrite
	entries []*modelEntry
	turns   []*modelTurn
	waiting []waitingTurn
	// calmed is set once no more faults occur.
	calmed bool
	// forgets are turns that their owners are to be told to forget.
	forgets []waitingTurn
	// handed is the number of tokens that callers have received, broken the most of turns that did not end
	// whole and of those that no one may count as used up less.
	handed, broken int
	// lost is the number of tokens reserved for turns that were refused or had broken off when the entry
	// that knew it was killed.
	lost   int
	nextID int
}

// lateWrite is a write of the row that expects a version.
type lateWrite struct {
	version int
	row     Row
}

// modelEntry is one entry. Its witness knowledge is lost when it is killed.
type modelEntry struct {
	name   string
	lives  int
	states int
	state  *Program
	up     bool
	cut    bool
	known  Grants
	synced bool
	handed map[string]bool // nodes that handed their claims over to it
}

// modelTurn is a turn in progress, granted by an entry in one of its lives.
type modelTurn struct {
	id     string
	by     *modelEntry
	life   int
	most   int
	handed int
	// standIn is set if by does not own the budget.
	standIn bool
	// server serves the turn in its life serverLife. reached is set once the turn has reached an engine, begun once its
	// tokens may be handed out.
	server         *modelEntry
	serverLife     int
	reached, begun bool
}

// waitingTurn is a turn that was not granted and may be asked for again.
type waitingTurn struct {
	at   *modelEntry
	life int
	id   string
}

const modelMost = 100

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, kept: rapid.Bool().Draw(t, "kept"), total: rapid.IntRange(1, 8).Draw(t, "turns") * modelMost, stored: map[string]Usage{}}
	c.row = Row{Total: c.total}
	for i := range rapid.IntRange(3, 5).Draw(t, "entries") {
		e := &modelEntry{name: fmt.Sprintf("e%d", i)}
		c.start(e)
		e.synced = true // all start for the first time
		c.entries = append(c.entries, e)
	}
	return c
}

func (c *cluster) start(e *modelEntry) {
	e.up, e.lives, e.known, e.handed, e.synced = true, e.lives+1, Grants{}, map[string]bool{}, false
	c.renew(e)
}

// renew gives the entry a state of its own for the program.
func (c *cluster) renew(e *modelEntry) {
	e.states++
	e.state = NewProgram(c.total, fmt.Sprintf("%s/%d/%d", e.name, e.lives, e.states))
	if c.kept {
		e.state.MarkKept()
	}
}

// witnesses returns those of the program; the ranking never changes.
func (c *cluster) witnesses() []*modelEntry { return c.entries[:Witnesses] }

// askWitnesses tells the witnesses that e reaches of a claim, and returns the claims that they know and
// whether a majority of them has answered.
func (c *cluster) askWitnesses(e *modelEntry, key string, tokens int) (Grants, bool) {
	known, answered := Grants{}, 0
	for _, w := range c.witnesses() {
		if !w.up || w != e && (w.cut || e.cut) || !rapid.Bool().Draw(c.t, "reached") && w != e {
			continue
		}
		if key != "" && w != e {
			w.known[key] = tokens
		}
		if !w.synced {
			continue
		}
		answered++
		known.Merge(w.known)
		known.Merge(w.state.Claims())
	}
	return known, answered >= Quorum(len(c.witnesses()))
}

// tell tells every witness that e reaches of the end of claims.
func (c *cluster) tell(e *modelEntry, key string, tokens int) {
	for _, w := range c.witnesses() {
		if w == e || !w.up || w.cut || e.cut {
			continue
		}
		w.known[key] = tokens
	}
}

// write changes the row for a turn of e, or only records what is pending if id is empty.
func (c *cluster) write(e *modelEntry, id string, owner bool) {
	c.carryOut(e, c.plan(e, id))
}

// plan returns the change of the row for a turn of e.
func (c *cluster) plan(e *modelEntry, id string) Change {
	known := maps.Clone(e.known)
	if !e.state.RowSeen() {
		theirs, _ := c.askWitnesses(e, "", 0)
		known.Merge(theirs)
	}
	change := e.state.Change(id, modelMost, known)
	for _, o := range c.entries {
		for life := range o.lives {
			change.Gone = append(change.Gone, fmt.Sprintf("%s/%d", o.name, life))
		}
		// A process that is out of reach may be taken for one that has ended.
		if !o.up || o != e && !c.calmed && rapid.IntRange(0, 7).Draw(c.t, "taken for gone") == 0 {
			change.Gone = append(change.Gone, o.process())
		}
	}
	return change
}

// carryOut changes the row as planned, maybe some time after.
func (c *cluster) carryOut(e *modelEntry, change Change) {
	if c.down {
		e.state.Failed(change, false)
		return
	}
	res := c.row.Apply(change)
	if res.Short && len(res.Unresolved)+len(res.PendingAt) > 0 {
		used := map[string]Usage{}
		for _, key := range res.Unresolved {
			if n, ok := c.stored[key]; ok {
				used[key] = n
			}
		}
		change.Resolved(used)
		res = c.row.Apply(change)
	}
	if res.Write {
		switch rapid.SampledFrom([]string{"answered", "answered", "lost", "late", "repeated"}).Draw(c.t, "write") {
		case "lost": // applied, not answered, and the entry gives up
			c.apply(lateWrite{c.version, res.Row})
			e.state.Failed(change, true)
			return
		case "late": // not applied yet, and the entry gives up
			c.late = append(c.late, lateWrite{c.version, res.Row})
			e.state.Failed(change, true)
			return
		case "repeated": // applied, not answered, and carried out again on the row that shows it
			c.apply(lateWrite{c.version, res.Row})
			if res = c.row.Apply(change); res.Write {
				c.apply(lateWrite{c.version, res.Row})
			}
		default:
			c.apply(lateWrite{c.version, res.Row})
		}
	}
	for _, key := range e.state.Applied(change, res) {
		c.tell(e, key, res.Row.Drawn[key])
	}
}

// apply carries out a write if its condition holds.
func (c *cluster) apply(w lateWrite) {
	if w.version == c.version {
		c.row, c.version = w.row, c.version+1
	}
}

// request asks for a new turn at e.
func (c *cluster) request(e *modelEntry) {
	c.nextID++
	c.ask(e, fmt.Sprint(c.nextID))
}

// ask asks for a turn at e.
func (c *cluster) ask(e *modelEntry, id string) {
	owner := rapid.Bool().Draw(c.t, "owner")
	server := e // of the entry that reserves in place of the owner
	if owner {
		server = rapid.SampledFrom(c.entries).Draw(c.t, "server")
	}
	if !server.up {
		return
	}
	e.state.ServedBy(id, server.process())
	if owner && !c.down && rapid.Bool().Draw(c.t, "in memory") {
		e.state.ReserveInMemory(id, modelMost)
	}
	if out := e.state.Reserve(id, modelMost, !owner); out == OutcomeObtain {
		if owner && (c.down || rapid.IntRange(0, 3).Draw(c.t, "slow") == 0) {
			c.claim(e, id)
		} else if c.write(e, id, owner); e.state.Reserve(id, modelMost, !owner) == OutcomeObtain && rapid.Bool().Draw(c.t, "claim") {
			c.claim(e, id)
		}
	}
	if e.state.Reserve(id, modelMost, !owner) == OutcomeGranted {
		if owner && !c.calmed && rapid.IntRange(0, 5).Draw(c.t, "unanswered") == 0 {
			c.fallBack(e, id)
			return
		}
		c.granted(e, server, id, !owner)
		return
	}
	if e.state.Abandon(id); rapid.Bool().Draw(c.t, "again") {
		c.waiting = append(c.waiting, waitingTurn{e, e.lives, id})
	}
}

// fallBack has another entry reserve a turn whose reservation at the owner was not answered. The owner is told to
// forget the turn, sooner or later.
func (c *cluster) fallBack(owner *modelEntry, id string) {
	c.forgets = append(c.forgets, waitingTurn{owner, owner.lives, id})
	other := rapid.SampledFrom(c.entries).Draw(c.t, "other")
	if other == owner || !other.up {
		return
	}
	if other.state.Reserve(id, modelMost, true) == OutcomeObtain {
		c.write(other, id, false)
	}
	if other.state.Reserve(id, modelMost, true) == OutcomeGranted {
		c.granted(other, other, id, true)
		return
	}
	other.state.Abandon(id)
}

// process returns the name of the entry's process.
func (e *modelEntry) process() string { return fmt.Sprintf("%s/%d", e.name, e.lives) }

// granted adds a turn that an entry granted to the one that serves it.
func (c *cluster) granted(by, server *modelEntry, id string, standIn bool) {
	begun := !by.state.Pending(id)
	counted := begun || by.state.announced[turnKey(id, standIn)] // the row has a claim as begun
	c.turns = append(c.turns, &modelTurn{
		id: id, by: by, life: by.lives, most: by.state.Tokens(id), standIn: standIn, server: server, serverLife: server.lives, reached: counted, begun: begun,
	})
}

// begin records that a turn begins, at the entry that granted it or else in the row. The write may fail.
func (c *cluster) begin(u *modelTurn) {
	if u.reached = true; u.begun {
		return
	}
	if u.by.up && u.by.lives == u.life && !u.by.cut && !u.server.cut {
		if u.by.state.Begin(u.id) == BeginPending {
			c.write(u.by, "", false)
		}
		if u.begun = u.by.state.Begin(u.id) == BeginDone; u.begun {
			return
		}
	}
	if c.down || c.calmed {
		return
	}
	change := BeginOf(u.id, u.standIn, u.most)
	res := c.row.Apply(change)
	if len(res.Begun) == 0 {
		return
	}
	w := lateWrite{c.version, res.Row}
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "late"}).Draw(c.t, "begin") {
	case "lost":
		c.apply(w)
	case "late":
		c.late = append(c.late, w)
	default:
		c.apply(w)
		u.begun = true
	}
}

// forget tells an owner that a turn was reserved elsewhere.
func (c *cluster) forget(i int) {
	w := c.forgets[i]
	c.forgets = append(c.forgets[:i], c.forgets[i+1:]...)
	if w.at.up && w.at.lives == w.life {
		w.at.state.Settle(w.id, 0, false)
	}
}

// retry asks again for a turn that was not granted, at the same entry.
func (c *cluster) retry(i int) {
	w := c.waiting[i]
	c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
	if w.at.up && w.at.lives == w.life {
		c.ask(w.at, w.id)
	}
}

// claim claims the tokens of a turn. A write for the same turn that has taken long may be planned before and carried
// out meanwhile, and so may writes of other entries, which learn of the claim.
func (c *cluster) claim(e *modelEntry, id string) {
	known := maps.Clone(e.known)
	var inFlight *Change
	if rapid.IntRange(0, 3).Draw(c.t, "write in flight") == 0 {
		change := c.plan(e, id)
		inFlight = &change
	}
	key, tokens, ok := e.state.Claim(id, modelMost, rapid.IntRange(1, modelMost).Draw(c.t, "least"), known)
	if !ok {
		return
	}
	theirs, quorate := c.askWitnesses(e, key, tokens)
	known.Merge(theirs)
	if other := rapid.SampledFrom(c.entries).Draw(c.t, "meanwhile"); other != e && other.up && rapid.IntRange(0, 3).Draw(c.t, "records") == 0 {
		c.write(other, "", false)
	}
	switch {
	case inFlight != nil:
		c.carryOut(e, *inFlight)
	case rapid.IntRange(0, 3).Draw(c.t, "write meanwhile") == 0:
		c.write(e, id, true)
	}
	if (!quorate || !e.state.Confirm(id, known)) && !e.state.IsOpen(id) {
		e.state.Withdraw(id)
		c.tell(e, key, 0)
	}
}

// end ends a turn in one of the ways in which turns end.
func (c *cluster) end(i int) {
	u := c.turns[i]
	c.turns = append(c.turns[:i], c.turns[i+1:]...)
	// A turn is handed out by the entry that serves it, which outlives the one that granted it.
	served := u.server.up && u.server.lives == u.serverLife
	if served && rapid.Bool().Draw(c.t, "reaches an engine") {
		c.begin(u)
	}
	n := 0
	if u.begun && served {
		n = rapid.IntRange(0, u.most).Draw(c.t, "used")
	}
	u.handed += n
	c.handed += n
	whole := rapid.Bool().Draw(c.t, "whole") && u.begun && served
	stored := whole && c.kept && !c.down
	if stored {
		usage := Usage{u.handed, u.standIn}
		c.stored[turnKey(u.id, false)], c.stored[turnKey(u.id, true)] = usage, usage
	}
	if !stored && u.reached {
		c.broken += modelMost - u.handed
	}
	if !served {
		return // nobody tells the owner
	}
	if !u.by.up || u.by.state == nil || u.by.lives != u.life || u.by.cut {
		return // the owner can't be told
	}
	if _, key := u.by.state.Settle(u.id, u.handed, stored); key != "" {
		c.tell(u.by, key, u.handed)
	}
	if u.by.state.FlushEnds() && rapid.Bool().Draw(c.t, "flush") {
		c.write(u.by, "", false)
	}
}

// kill ends an entry without warning.
func (c *cluster) kill(e *modelEntry) {
	if e.up = false; e.state == nil {
		return
	}
	// It was not told to forget these turns.
	for _, w := range c.forgets {
		if w.at == e && w.life == e.lives {
			c.lost += c.pending(turnKey(w.id, false))
		}
	}
	// Turns that were refused or broke off just now have not ended as far as the row can tell.
	for key, end := range e.state.ended {
		if _, ok := c.stored[key]; ok {
			continue
		}
		c.lost += max(0, c.pending(key)-end.Used)
	}
	e.state = nil
}

// pending returns the tokens that the row has, or may come to have, under a key.
func (c *cluster) pending(key string) int {
	most := 0
	for _, w := range append([]lateWrite{{c.version, c.row}}, c.late...) {
		if _, pending := w.row.Pending[key]; !pending {
			most = max(most, w.row.Drawn[key])
		}
	}
	for _, e := range c.entries {
		most = max(most, e.known[key])
	}
	return most
}

// stop ends an entry that hands over what it knows and returns its block.
func (c *cluster) stop(e *modelEntry) {
	if e.synced && !e.cut {
		for _, o := range c.entries {
			if o != e && o.up && !o.cut {
				o.handed[e.name] = true
				o.known.Merge(e.known)
				o.known.Merge(e.state.Claims())
			}
		}
	}
	e.state.Release()
	if e.state.Flush() {
		c.write(e, "", false)
	}
	c.kill(e)
}

// synchronise makes e a witness if it can learn every claim that its node acknowledged.
func (c *cluster) synchronise(e *modelEntry) {
	if e.synced || e.cut {
		return
	}
	missing, handed := map[string]bool{}, map[string]bool{}
	for _, o := range c.entries {
		if o == e {
			continue
		}
		if !o.up || o.cut {
			missing[o.name] = true
			continue
		}
		e.known.Merge(o.known)
		e.known.Merge(o.state.Claims())
		maps.Copy(handed, o.handed)
		delete(o.handed, e.name)
		if !o.synced {
			missing[o.name] = true
		}
	}
	for name := range handed {
		delete(missing, name)
	}
	e.synced = handed[e.name] || len(missing) == 0
}

// recordOrphans has a witness record the claims that it knows.
func (c *cluster) recordOrphans(e *modelEntry) {
	if c.down {
		return
	}
	if next, changed := c.row.Record(e.known); changed {
		c.apply(lateWrite{c.version, next})
	}
}

func (c *cluster) step() {
	e := rapid.SampledFrom(c.entries).Draw(c.t, "entry")
	switch op := rapid.SampledFrom([]string{
		"request", "request", "request", "end", "end", "flush", "kill", "kill all", "stop", "start", "cut", "heal",
		"table", "late", "retry", "forget turn", "synchronise", "record", "forget", "release", "begin", "begin",
	}).Draw(c.t, "step"); {
	case op == "end" && len(c.turns) > 0:
		c.end(rapid.IntRange(0, len(c.turns)-1).Draw(c.t, "turn"))
	case op == "begin" && len(c.turns) > 0:
		if u := c.turns[rapid.IntRange(0, len(c.turns)-1).Draw(c.t, "turn")]; u.server.up && u.server.lives == u.serverLife {
			c.begin(u)
		}
	case op == "retry" && len(c.waiting) > 0:
		c.retry(rapid.IntRange(0, len(c.waiting)-1).Draw(c.t, "waiting"))
	case op == "forget turn" && len(c.forgets) > 0:
		c.forget(rapid.IntRange(0, len(c.forgets)-1).Draw(c.t, "forgotten"))
	case op == "table":
		c.down = !c.down
	case op == "late" && len(c.late) > 0 && !c.down:
		c.apply(c.late[0])
		c.late = c.late[1:]
	case op == "kill all":
		for _, e := range c.entries {
			c.kill(e)
		}
	case op == "start" && !e.up:
		c.start(e)
	case !e.up:
	case op == "request":
		c.request(e)
	case op == "flush" && e.state.Flush():
		c.write(e, "", false)
	case op == "kill":
		c.kill(e)
	case op == "stop":
		c.stop(e)
	case op == "cut":
		e.cut = true
	case op == "heal":
		e.cut = false
	case op == "release":
		if e.state.Release() {
			c.write(e, "", false)
		}
	case op == "synchronise":
		c.synchronise(e)
	case op == "record":
		c.recordOrphans(e)
	case op == "forget" && e.state.OpenTurns() == 0 && len(e.state.Claims()) == 0 && !e.state.Flush():
		if e.state.Release(); e.state.Flush() {
			c.write(e, "", false)
		}
		c.renew(e)
	}
}

// calm heals everything and has the entries write what they know. Turns in progress whose entries are
// gone have broken off.
func (c *cluster) calm() {
	c.down, c.late, c.calmed = false, nil, true
	for _, u := range c.turns {
		if u.reached {
			c.broken += modelMost - u.handed
		}
	}
	c.turns = nil
	for len(c.forgets) > 0 {
		c.forget(0)
	}
	for _, e := range c.entries {
		if e.cut = false; !e.up {
			c.start(e)
		}
		for range 20 { // a write may fail
			if e.state.Flush() {
				c.write(e, "", false)
			}
		}
	}
}

// TestNoLossBreaksABudget runs random sequences of turns, ends of entries, outages of the table and lost
// answers. Callers must never receive more than the budget and the most of one turn, in all.
func TestNoLossBreaksABudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			c.step()
			if c.handed > c.total+modelMost {
				t.Fatalf("callers received %d tokens of a budget of %d; one turn is %d", c.handed, c.total, modelMost)
			}
		}
	})
}

// TestKeptTurnGoesOnAfterLoss runs the same sequences and then kills all entries. A program whose turns
// are kept must be granted one more turn if its budget has room, with turns that broke off
// counted at their most.
func TestKeptTurnGoesOnAfterLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		if !c.kept {
			return
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.step()
		}
		c.calm()
		for _, e := range c.entries {
			c.kill(e)
			c.start(e)
		}
		if c.total-c.handed-c.broken-c.lost < modelMost {
			return
		}
		e := c.entries[0]
		for range 30 { // a write may fail
			c.request(e)
			if len(c.turns) > 0 {
				return
			}
		}
		t.Fatalf("no turn is granted though callers received %d, and %d may have been used, of %d; row %+v, stored %v", c.handed, c.broken, c.total, c.row, c.stored)
	})
}
