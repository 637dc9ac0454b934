package quota

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/routing"
)

const (
	simStep    = 5 * time.Millisecond
	simSilent  = time.Second
	simTimeout = 60 * time.Millisecond
)

// simEntry is an entry of the simulation, with its process and what it knows of the others.
type simEntry struct {
	name        string
	up          bool
	frozenUntil time.Time
	incarnation int
	grants      *Grants
	holdings    *Holdings
	heard       map[string]time.Time
	ready       map[string]bool
	contacts    *Contacts
	inbox       []func()
	// asks is the question under way by organisation: when it was sent and how many ranks were asked.
	asks map[string]*simAsk
	// skip are entries that did not answer, until when they are not asked.
	skip map[string]time.Time
}

type simAsk struct {
	seq     uint64
	at      time.Time
	asked   map[string]bool
	to      string
	waiting []*simRequest
}

type simRequest struct {
	organisation string
	newProgram   bool
	done         func(Outcome)
}

type simMessage struct {
	at time.Time
	to *simEntry
	do func()
}

// sim runs entries that exchange digests and questions over links that may fail.
type sim struct {
	r        *rand.Rand
	now      time.Time
	entries  []*simEntry
	messages []simMessage
	// cut reports whether datagrams from a to b are lost.
	cut       func(a, b *simEntry) bool
	loss, dup float64
	late      float64
	limits    []Limit
	version   uint64
	used      map[string][]time.Time
	outcomes  map[Outcome]int
	questions int
	step      int
}

func newSim(seed int64, n int, limits ...Limit) *sim {
	s := &sim{
		r: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), limits: limits, version: 1,
		cut: func(*simEntry, *simEntry) bool { return false }, used: map[string][]time.Time{}, outcomes: map[Outcome]int{},
	}
	for i := range n {
		s.entries = append(s.entries, &simEntry{name: fmt.Sprintf("entry-%d", i)})
	}
	for _, e := range s.entries {
		s.start(e)
	}
	return s
}

func (s *sim) start(e *simEntry) {
	e.up, e.incarnation, e.frozenUntil = true, e.incarnation+1, time.Time{}
	e.grants = NewGrants(s.now, s.r.Uint64()>>1)
	e.holdings = NewHoldings(fmt.Sprintf("%s/%d", e.name, e.incarnation))
	e.heard, e.ready, e.asks, e.skip = map[string]time.Time{}, map[string]bool{}, map[string]*simAsk{}, map[string]time.Time{}
	e.inbox, e.contacts = nil, NewContacts(s.now)
	s.setLimits(e)
}

func (s *sim) setLimits(e *simEntry) {
	e.grants.SetLimits(s.now, s.version, s.limits)
	e.holdings.SetLimits(s.version, s.limits)
}

func (s *sim) kill(e *simEntry) {
	e.up = false
	for _, a := range e.asks {
		for _, r := range a.waiting {
			r.done(Unknown)
		}
	}
}

func (s *sim) send(from, to *simEntry, do func()) {
	copies := 1
	if s.r.Float64() < s.dup {
		copies = 2
	}
	for range copies {
		if s.cut(from, to) || s.r.Float64() < s.loss {
			continue
		}
		delay := time.Duration(1+s.r.Intn(8)) * time.Millisecond
		if s.r.Float64() < s.late {
			delay += time.Duration(s.r.Intn(2000)) * time.Millisecond
		}
		incarnation := to.incarnation
		s.messages = append(s.messages, simMessage{s.now.Add(delay), to, func() {
			if to.up && to.incarnation == incarnation {
				do()
			}
		}})
	}
}

func (s *sim) peer(name string) *simEntry {
	for _, e := range s.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// ranked returns the entries that may grant, as e sees them.
func (s *sim) ranked(e *simEntry, organisation string) []string {
	var names []string
	if e.grants.Ready(s.now) {
		names = append(names, e.name)
	}
	for name, at := range e.heard {
		if s.now.Sub(at) < simSilent && e.ready[name] {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if routing.Rendezvous(organisation, a) > routing.Rendezvous(organisation, b) {
			return -1
		}
		return 1
	})
	return names
}

func (s *sim) view(e *simEntry, organisation string) View {
	rank := slices.Index(s.ranked(e, organisation), e.name)
	if rank < 0 {
		rank = MaxRank
	}
	return View{Rank: rank, Share: e.contacts.Share(s.now), Stable: e.contacts.Stable()}
}

// tick runs the periodic work of an entry.
func (s *sim) tick(e *simEntry) {
	var peers []Peer
	for _, p := range s.entries {
		if p != e {
			peers = append(peers, Peer{p.name, s.now.Sub(e.heard[p.name]) < simSilent && e.ready[p.name]})
		}
	}
	e.contacts.Observe(s.now, peers)
	if e.grants.Reassess(s.now, func(organisation string) View { return s.view(e, organisation) }) {
		e.contacts.Gap(s.now)
	}
	ready := e.grants.Ready(s.now)
	from := e.name
	for _, to := range s.entries {
		if to != e && to.up {
			sentAt := s.now
			s.send(e, to, func() {
				// Digests carry sequence numbers, so a late one does not count. It is the arrival that counts.
				if s.now.Sub(sentAt) < 300*time.Millisecond || to.frozenUntil.After(sentAt) {
					to.heard[from], to.ready[from] = s.now, ready
				}
			})
		}
	}
}

// request lets e serve a request.
func (s *sim) request(e *simEntry, r *simRequest) { s.take(e, r, false) }

func (s *sim) take(e *simEntry, r *simRequest, again bool) {
	d := e.holdings.Take(s.now, r.organisation, r.newProgram, again)
	switch d.Outcome {
	case Granted:
		s.used[r.organisation] = append(s.used[r.organisation], s.now)
		r.done(Granted)
	case Ask:
		a := e.asks[r.organisation]
		if a == nil {
			a = &simAsk{asked: map[string]bool{}, waiting: []*simRequest{r}}
			e.asks[r.organisation] = a
			q, _ := e.holdings.Question(s.now, r.organisation, 1, r.newProgram)
			s.ask(e, a, q)
			return
		}
		a.waiting = append(a.waiting, r)
		return
	default:
		r.done(d.Outcome)
	}
	if d.Prefetch && e.asks[r.organisation] == nil {
		a := &simAsk{asked: map[string]bool{}}
		e.asks[r.organisation] = a
		q, _ := e.holdings.Question(s.now, r.organisation, 0, false)
		s.ask(e, a, q)
	}
}

// ask sends a question to the first entry that was not asked yet.
func (s *sim) ask(e *simEntry, a *simAsk, q Question) {
	a.seq, a.at = q.Seq, s.now
	for rank, name := range s.ranked(e, q.Organisation) {
		if rank >= MaxRank {
			break
		}
		if a.asked[name] || s.now.Before(e.skip[name]) {
			continue
		}
		a.asked[name], a.to = true, name
		to := s.peer(name)
		s.questions++
		if to == e {
			s.answered(e, to.grants.Answer(s.now, q, s.view(to, q.Organisation)), q.Organisation)
			return
		}
		for range 2 { // sent again once
			s.send(e, to, func() {
				answer := to.grants.Answer(s.now, q, s.view(to, q.Organisation))
				s.send(to, e, func() { s.answered(e, answer, q.Organisation) })
			})
		}
		return
	}
	e.holdings.Unanswered(s.now, q.Organisation)
	s.finish(e, q.Organisation)
}

func (s *sim) answered(e *simEntry, answer Answer, organisation string) {
	a := e.asks[organisation]
	if a == nil || a.seq != answer.Seq {
		return
	}
	if answer.Outcome == Unknown {
		if q, ok := e.holdings.Renew(s.now, organisation); ok {
			s.ask(e, a, q)
			return
		}
	}
	if e.holdings.Answered(s.now, organisation, answer) {
		s.finish(e, organisation)
	}
}

func (s *sim) finish(e *simEntry, organisation string) {
	a := e.asks[organisation]
	delete(e.asks, organisation)
	if a == nil {
		return
	}
	for _, r := range a.waiting {
		s.take(e, r, true)
	}
}

// advance runs one step. load is called for each running entry.
func (s *sim) advance(load func(e *simEntry)) {
	s.now = s.now.Add(simStep)
	s.step++
	var due []simMessage
	s.messages = slices.DeleteFunc(s.messages, func(m simMessage) bool {
		if m.at.After(s.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	for _, m := range due {
		m.to.inbox = append(m.to.inbox, m.do)
	}
	for i, e := range s.entries {
		if !e.up || s.now.Before(e.frozenUntil) {
			continue
		}
		tickFirst := s.r.Intn(2) == 0
		if tickFirst && (s.step+i)%20 == 0 {
			s.tick(e)
		}
		inbox := e.inbox
		e.inbox = nil
		for _, do := range inbox {
			do()
		}
		if !tickFirst && (s.step+i)%20 == 0 {
			s.tick(e)
		}
		for organisation, a := range e.asks {
			if s.now.Sub(a.at) > simTimeout {
				e.skip[a.to] = s.now.Add(300 * time.Millisecond)
				if q, ok := e.holdings.Renew(s.now, organisation); ok {
					s.ask(e, a, q)
				}
			}
		}
		load(e)
	}
}

func (s *sim) poisson(mean float64) int {
	n := 0
	for t := s.r.ExpFloat64(); t < mean; t += s.r.ExpFloat64() {
		n++
	}
	return n
}

// busiest returns the largest number of times within Window and when that begins.
func busiest(times []time.Time) (int, time.Time) {
	most, first := 0, 0
	var begins time.Time
	for i := range times {
		for times[i].Sub(times[first]) > Window {
			first++
		}
		if n := i - first + 1; n > most {
			most, begins = n, times[first]
		}
	}
	return most, begins
}
