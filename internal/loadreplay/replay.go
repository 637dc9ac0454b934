// Package loadreplay plays the load of a bad day against the pure decisions of the
// gateway, in virtual time and from a seed: programs whose callers move between entries,
// long prompts that many programs share, bursts, engines with a batch, prefill and a
// cache, and engines that fail part of their calls. It answers in seconds which decision
// earns what; the bench of the platform has the last word.
package loadreplay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/routing"
)

// Config is one load and the decisions that meet it.
type Config struct {
	Seed    uint64
	Entries int
	Engines int
	Slots   int
	// CacheTokens is an engine's memory for prompts.
	CacheTokens int64
	// Heads is the number of shared first parts of prompts, HeadTokens the length of each.
	Heads      int
	HeadTokens int
	// ProgramsPerSecond begin; in the burst from BurstFrom to BurstTo BurstX times as many.
	ProgramsPerSecond  float64
	BurstX             float64
	BurstFrom, BurstTo time.Duration
	Length             time.Duration
	// Urgent is the share of programs of the more urgent kind.
	Urgent float64
	// Patience is how many times its time on idle engines a program may take, beside 200 ms.
	Patience float64
	// Domains is the number of failure domains over which entries and engines spread; zero
	// or one has no effect. NoDomains forgets where they are.
	Domains   int
	NoDomains bool
	// Grey engines fail GreyShare of their calls.
	Grey      int
	GreyShare float64

	// NoHomes spreads shared parts over all engines, NoLines forgets where lines ran,
	// NoAdmission lets every program begin, NoFailures forgets failures.
	NoHomes, NoLines, NoAdmission, NoFailures bool
}

// Report is what came of it.
type Report struct {
	Programs, InTime, Late, Refused, Failed int
	// Urgent are those of the more urgent kind among them.
	Urgent, UrgentInTime, UrgentLate int
	// TokensRead is the prompt tokens that engines read, SharedAgain those of shared first
	// parts among them that an engine had read before.
	TokensRead, SharedAgain int64
	// GreyCalls and Calls are the calls sent to failing engines and to all.
	GreyCalls, Calls int
	// CrossBytes is what calls sent to engines in other failure domains, of AllBytes.
	CrossBytes, AllBytes int64
}

// Worth is the programs in time and, at lateShare each, the late ones, of all; those of the
// more urgent kind count urgentWorth times.
func (r Report) Worth(lateShare, urgentWorth float64) float64 {
	more := urgentWorth - 1
	earned := float64(r.InTime) + more*float64(r.UrgentInTime) + lateShare*(float64(r.Late)+more*float64(r.UrgentLate))
	return earned / max(1, float64(r.Programs)+more*float64(r.Urgent))
}

const (
	// tick is the step of virtual time.
	tick = 4 * time.Millisecond
	// tokensPerMs is an engine's speed of prefill, setupMs what each call takes of it beside
	// that, tokenMs its decode step alone and slotSlope how much longer the step is for each
	// further call in the batch, all as the engines of tcod-portal-grown.
	tokensPerMs = 336
	setupMs     = 8.7
	tokenMs     = 1.14
	slotSlope   = 0.0135
	// turnTokens is the mean length of an answer, inputTokens of a turn's own input.
	turnTokens  = 260
	inputTokens = 1200
	meanTurns   = 5
	think       = 60 * time.Millisecond
	// tellEvery is the interval of digests between entries.
	tellEvery = 100 * time.Millisecond
	// roam is the share of turns that come through an entry anywhere.
	roam = 0.1
	// tokenBytes is what a token of a prompt or an answer takes on the network.
	tokenBytes = 1
	// comeBack bounds how often a refused program asks again.
	comeBack = 4
)

type program struct {
	begun, idle time.Duration
	// domain is that of its callers.
	domain    int
	prompt    []routing.PromptPart
	turnsLeft int
	ranAt     string
	asked     int
	urgent    bool
	// nextAt is when its next turn comes; running says that one is under way.
	nextAt  time.Duration
	running bool
	tries   int
}

type call struct {
	p       *program
	entry   int
	seat    int
	prefill float64
	decode  float64
	fails   bool
}

type engine struct {
	calls []*call
	cache *routing.PrefixCache
	grey  bool
}

type world struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Duration
	start    time.Time
	books    []*routing.Balancer
	seats    []routing.Upstream
	engines  []*engine
	live     []*program
	nextPart uint64
	seen     map[uint64]bool
	told     time.Duration
	admit    admission.NewProgramPolicy
	report   Report
}

// Run plays the load to its end.
func Run(cfg Config) Report {
	w := newWorld(cfg)
	for ; w.now < cfg.Length+10*time.Second; w.now += tick {
		if w.now < cfg.Length {
			w.arrive()
		}
		w.send()
		w.work()
		if w.now-w.told >= tellEvery {
			w.tell()
		}
	}
	w.report.Late += len(w.live)
	return w.report
}

func newWorld(cfg Config) *world {
	w := &world{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 11)), start: time.Unix(1000, 0),
		seen: map[uint64]bool{}, admit: admission.DefaultNewProgramPolicy(), nextPart: 1 << 32,
	}
	for i := range cfg.Engines {
		id := "engine-" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		w.seats = append(w.seats, routing.Upstream{ID: id, Service: "s", Slots: cfg.Slots, CacheTokens: cfg.CacheTokens, Hash: routing.HashID(id)})
		w.seats[i].Domain = w.domain(i)
		w.engines = append(w.engines, &engine{cache: routing.NewPrefixCache(cfg.CacheTokens), grey: i < cfg.Grey})
	}
	for i := range cfg.Entries {
		w.books = append(w.books, routing.NewBalancer(routing.BalancerConfig{Seed: cfg.Seed + uint64(i), NoPrefixAffinity: cfg.NoHomes}))
	}
	return w
}

// domain names the failure domain of the ith entry or engine.
func (w *world) domain(i int) string {
	if w.cfg.Domains < 2 {
		return ""
	}
	return string(rune('a' + i%w.cfg.Domains))
}

func (w *world) clock() time.Time { return w.start.Add(w.now) }

// arrive begins the programs of one tick.
func (w *world) arrive() {
	rate := w.cfg.ProgramsPerSecond
	if w.now >= w.cfg.BurstFrom && w.now < w.cfg.BurstTo {
		rate *= w.cfg.BurstX
	}
	for expected := rate * tick.Seconds(); expected > 0; expected-- {
		if w.rng.Float64() >= expected {
			continue
		}
		turns := 2 + w.rng.IntN(2*meanTurns-3)
		// Shared parts come by the inverse of their rank.
		head := uint64(float64(w.cfg.Heads) * math.Pow(w.rng.Float64(), 1.8))
		p := &program{
			begun: w.now, nextAt: w.now, turnsLeft: turns, domain: w.report.Programs % max(1, w.cfg.Domains),
			prompt: []routing.PromptPart{{ID: head, Tokens: w.cfg.HeadTokens}},
			idle:   time.Duration(turns) * (think + time.Duration(turnTokens*tokenMs*float64(time.Millisecond)) + 24*time.Millisecond),
		}
		if w.cfg.Urgent > 0 && w.rng.Float64() < w.cfg.Urgent {
			p.urgent = true
			w.report.Urgent++
		}
		w.live = append(w.live, p)
		w.report.Programs++
	}
}

// send places the turns that are due.
func (w *world) send() {
	kept := w.live[:0]
	for _, p := range w.live {
		if p.running || p.nextAt > w.now {
			kept = append(kept, p)
			continue
		}
		if w.place(p) {
			kept = append(kept, p)
		}
	}
	w.live = kept
}

// entryOf draws the entry to which a program's next turn comes, mostly in its domain.
func (w *world) entryOf(p *program) int {
	n := len(w.books)
	if w.cfg.Domains < 2 || w.rng.Float64() < roam {
		return w.rng.IntN(n)
	}
	return p.domain + w.cfg.Domains*w.rng.IntN((n-p.domain+w.cfg.Domains-1)/w.cfg.Domains)
}

// place sends a program's next turn; it reports false when the program is over.
func (w *world) place(p *program) bool {
	entry := w.entryOf(p)
	book := w.books[entry]
	if p.ranAt == "" && !w.cfg.NoAdmission {
		rank := 0
		if p.urgent {
			rank = 1
		}
		ok, after := w.admit.Admit(book.Load(w.clock(), w.seats), rank, p.asked > 0)
		if !ok {
			p.asked++
			p.nextAt = w.now + after
			if p.asked > comeBack {
				w.report.Refused++
				return false
			}
			return true
		}
	}
	w.nextPart++
	own := routing.PromptPart{ID: w.nextPart, Tokens: inputTokens/2 + w.rng.IntN(inputTokens)}
	prompt := append(append([]routing.PromptPart(nil), p.prompt...), own)
	work := routing.CallInfo{Prompt: prompt, Generate: turnTokens, Domain: w.domain(entry)}
	for _, part := range prompt {
		work.Tokens += part.Tokens
	}
	work.Bytes = tokenBytes * (work.Tokens + turnTokens)
	if w.cfg.NoDomains {
		work.Domain = ""
	}
	if !w.cfg.NoLines {
		work.LastUpstream = p.ranAt
	}
	pick, _ := book.Choose(w.clock(), w.seats, &work, nil)
	for i := range w.seats {
		if w.seats[i].ID == pick.ID {
			book.Started(w.seats[i], &work)
			w.report.AllBytes += int64(work.Bytes)
			if w.seats[i].Domain != w.domain(entry) {
				w.report.CrossBytes += int64(work.Bytes)
			}
			w.run(p, &call{p: p, entry: entry, seat: i, decode: turnTokens * (0.4 + 1.2*w.rng.Float64())}, prompt)
			break
		}
	}
	return true
}

// run hands a call to its engine.
func (w *world) run(p *program, c *call, prompt []routing.PromptPart) {
	e := w.engines[c.seat]
	cached := e.cache.Cached(prompt)
	total := 0
	for _, part := range prompt {
		total += part.Tokens
	}
	if cached == 0 {
		if w.seen[prompt[0].ID] {
			w.report.SharedAgain += int64(prompt[0].Tokens)
		}
		w.seen[prompt[0].ID] = true
	}
	w.report.TokensRead += int64(total - cached)
	e.cache.Add(prompt)
	c.prefill = setupMs + float64(total-cached)/tokensPerMs
	c.fails = e.grey && w.rng.Float64() < w.cfg.GreyShare
	w.report.Calls++
	if e.grey {
		w.report.GreyCalls++
	}
	p.running, p.prompt = true, prompt
	e.calls = append(e.calls, c)
}

// work lets each engine work for one tick.
func (w *world) work() {
	for _, e := range w.engines {
		left := float64(tick) / float64(time.Millisecond)
		batch := e.calls[:min(len(e.calls), w.cfg.Slots)]
		decoding := 0
		for _, c := range batch {
			use := min(left, c.prefill)
			c.prefill -= use
			left -= use
			if c.prefill <= 0 {
				decoding++
			}
		}
		step := tokenMs * (1 + slotSlope*float64(max(0, decoding-1)))
		for _, c := range batch {
			if c.prefill <= 0 {
				c.decode -= left / step
			}
		}
		w.end(e)
	}
}

// end takes the finished calls off an engine.
func (w *world) end(e *engine) {
	kept := e.calls[:0]
	for _, c := range e.calls {
		if c.decode > 0 && !(c.fails && c.prefill <= 0) {
			kept = append(kept, c)
			continue
		}
		verdict := routing.OutcomeSuccess
		if c.fails {
			verdict = routing.OutcomeFailure
		}
		if w.cfg.NoFailures {
			verdict = routing.OutcomeInconclusive
		}
		w.books[c.entry].Ended(w.clock(), w.seats[c.seat].ID, verdict)
		w.turnOver(c)
	}
	e.calls = kept
}

func (w *world) turnOver(c *call) {
	p := c.p
	p.running, p.ranAt = false, w.seats[c.seat].ID
	p.nextAt = w.now + think
	if c.fails {
		p.tries++
		if p.tries > 2 {
			w.report.Failed++
			w.drop(p)
		}
		return
	}
	p.tries = 0
	if p.turnsLeft--; p.turnsLeft > 0 {
		return
	}
	w.drop(p)
	aim := time.Duration(w.cfg.Patience*float64(p.idle)) + 200*time.Millisecond
	w.count(p.urgent, w.now-p.begun <= aim)
}

// count counts a program that ended whole.
func (w *world) count(urgent, inTime bool) {
	r := &w.report
	switch {
	case inTime:
		r.InTime++
	default:
		r.Late++
	}
	switch {
	case urgent && inTime:
		r.UrgentInTime++
	case urgent:
		r.UrgentLate++
	}
}

func (w *world) drop(p *program) {
	for i, other := range w.live {
		if other == p {
			w.live = append(w.live[:i], w.live[i+1:]...)
			return
		}
	}
}

// tell passes the digests of all entries to all.
func (w *world) tell() {
	w.told = w.now
	now := w.clock()
	type end struct {
		id           string
		failed, fine int
	}
	for i, from := range w.books {
		name := "entry-" + string(rune('a'+i))
		own := map[string]int{}
		from.EachInFlight(func(id string, calls int) { own[id] = calls })
		var ends []end
		from.TakeUnreportedOutcomes(now, func(id string, failed, fine int) { ends = append(ends, end{id, failed, fine}) })
		for j, to := range w.books {
			if i == j {
				continue
			}
			to.ClearPeerCalls(name)
			for id, calls := range own {
				to.SetPeerCalls(now, name, id, calls)
			}
			for _, e := range ends {
				to.AddPeerOutcomes(now, e.id, e.failed, e.fine)
			}
		}
	}
}
