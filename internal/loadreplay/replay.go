// Package loadreplay simulates a heavy load in virtual time and applies the gateway's
// routing and admission decisions to it, to show what each decision contributes. A seed
// determines the load: programs whose callers move between entries, long prompts that many
// programs share, bursts, engines with a batch, prefill and a cache, and engines that fail
// part of their calls. A run takes seconds. It does not replace the platform's benchmark.
package loadreplay

import (
	"cmp"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/routing"
)

// Config describes one load and the decisions that are applied to it.
type Config struct {
	Seed    uint64
	Entries int
	Engines int
	// Slots is the number of calls that an engine runs at the same time.
	Slots int
	// CacheTokens is the size of an engine's prompt cache in tokens.
	CacheTokens int64
	// TokensPerMs is the prefill speed of an engine, SetupMs the additional time that each call
	// takes, and TokenMs the decode step of a call without others in the batch. Zero stands for
	// the defaults below.
	TokensPerMs, SetupMs, TokenMs float64
	// TurnTokens is the mean length of an answer, InputTokens that of a turn's own input; zero
	// stands for the defaults below.
	TurnTokens, InputTokens int
	// SharedParts is the number of shared first parts of prompts, SharedPartTokens the length
	// of each.
	SharedParts      int
	SharedPartTokens int
	// ProgramsPerSecond is the rate at which programs start. In the burst from BurstFrom to
	// BurstTo it is BurstX times as high.
	ProgramsPerSecond  float64
	BurstX             float64
	BurstFrom, BurstTo time.Duration
	// Length is the time during which programs start.
	Length time.Duration
	// Urgent is the share of programs of the more urgent kind.
	Urgent float64
	// TimeLimitFactor is the time limit of a program as a multiple of its duration on idle
	// engines; 200 ms are added to it.
	TimeLimitFactor float64
	// UrgentTurns and UrgentTokens are the mean number of turns of a program of the more urgent kind
	// and the mean length of their answers; zero stands for those of the other kind.
	UrgentTurns, UrgentTokens int
	// Recovery is the time after a burst within which new programs must be in time again; 5 s by default.
	Recovery time.Duration
	// LeaveAtFinish lets refused programs give up once their time limit has passed.
	LeaveAtFinish bool
	// LastingSpeeds gives a quarter of the engines the speed 0.55 and the others 1.2.
	// DisturbedShare is the share of engines on which work takes 2.5 times as long at a time, for 0.6 s each.
	LastingSpeeds  bool
	DisturbedShare float64
	// Domains is the number of failure domains over which entries and engines are spread; 0
	// and 1 have no effect. NoDomains hides the domains from the routing decisions.
	Domains   int
	NoDomains bool
	// FailingEngines is the number of engines that fail the share FailureShare of their
	// calls at random.
	FailingEngines int
	FailureShare   float64
	// SlowEngines is the number of engines that take SlowX times as long from SlowFrom to SlowTo.
	SlowEngines      int
	SlowX            float64
	SlowFrom, SlowTo time.Duration

	// NoPreferredUpstreams disables the preference for some engines per shared first prompt
	// part, NoConversationAffinity the preference for the engine of a conversation's last
	// turn, NoAdmission the admission control of new programs, and NoFailures the recording
	// of outcomes. NoSpeedReports disables the reports of slow calls between the entries. SlotLimit
	// replaces the prediction of programs by the limit of calls per slot.
	NoPreferredUpstreams, NoConversationAffinity, NoAdmission, NoFailures, NoSpeedReports, SlotLimit bool
}

func (c Config) withDefaults() Config {
	c.Recovery = cmp.Or(c.Recovery, recoveryTime)
	c.TokensPerMs = cmp.Or(c.TokensPerMs, defaultTokensPerMs)
	c.SetupMs = cmp.Or(c.SetupMs, defaultSetupMs)
	c.TokenMs = cmp.Or(c.TokenMs, defaultTokenMs)
	c.TurnTokens = cmp.Or(c.TurnTokens, defaultTurnTokens)
	c.InputTokens = cmp.Or(c.InputTokens, defaultInputTokens)
	return c
}

// Report holds the results of a run.
type Report struct {
	Programs, InTime, Late, Refused, Failed int
	// Urgent is the number of programs of the more urgent kind; UrgentInTime and UrgentLate
	// count those of them that ended in time and late.
	Urgent, UrgentInTime, UrgentLate int
	// AfterBurst counts the programs that start later than Recovery after the burst, and
	// AfterBurstInTime those of them that ended in time.
	AfterBurst, AfterBurstInTime int
	// TokensComputed is the number of prompt tokens that engines computed. SharedRecomputed is
	// the number of them that belong to shared first parts which some engine had computed before.
	TokensComputed, SharedRecomputed int64
	// FailingEngineCalls is the number of calls sent to failing engines, Calls of those sent to any.
	FailingEngineCalls, Calls int
	// SlowEngineCalls is the number of calls sent to slow engines once they could be known to be slow,
	// slowNotice after they turned slow, and AllEngineCalls of those sent to any meanwhile.
	// RecoveredCalls and RecoveredAllCalls are the same from slowRecovery after they were quick again.
	SlowEngineCalls, AllEngineCalls, RecoveredCalls, RecoveredAllCalls int
	// AllBytes is the number of bytes of all calls and answers on the network, CrossBytes of
	// those between failure domains.
	CrossBytes, AllBytes int64
	// Goodput and UrgentGoodput count the programs, and those of the more urgent kind, that end in time
	// in each second of the run.
	Goodput, UrgentGoodput [maxSeconds]int
}

// maxSeconds bounds the length of a run in seconds.
const maxSeconds = 64

// Worth returns the share of the programs that ended in time, in which a late program counts
// lateShare and a program of the more urgent kind counts urgentWorth times.
func (r Report) Worth(lateShare, urgentWorth float64) float64 {
	more := urgentWorth - 1
	earned := float64(r.InTime) + more*float64(r.UrgentInTime) + lateShare*(float64(r.Late)+more*float64(r.UrgentLate))
	return earned / max(1, float64(r.Programs)+more*float64(r.Urgent))
}

const (
	// tick is the step of virtual time.
	tick = 4 * time.Millisecond
	// The defaults of Config. They, and slotSlope, the share by which each further call lengthens
	// a decode step, are those of engines of 16 slots with a fast prefill.
	defaultTokensPerMs = 336
	defaultSetupMs     = 8.7
	defaultTokenMs     = 1.14
	slotSlope          = 0.0135
	defaultTurnTokens  = 260
	defaultInputTokens = 1200
	// meanTurns is the mean number of turns of a program, thinkTime the time between two turns.
	meanTurns = 5
	thinkTime = 60 * time.Millisecond
	// digestInterval is the interval at which the entries exchange digests.
	digestInterval = 100 * time.Millisecond
	// roamShare is the share of turns that arrive at an entry of a random failure domain.
	roamShare = 0.1
	// tokenBytes is the number of bytes of a prompt's or an answer's token on the network.
	tokenBytes = 1
	// networkMs is the time of a turn on the network.
	networkMs = 12
	// recoveryTime is the default of Config.Recovery.
	recoveryTime = 5 * time.Second
	// slowNotice is the time within which engines that turn slow must be known to be, slowRecovery that
	// after which they are used again when they are quick again.
	slowNotice   = 2 * time.Second
	slowRecovery = 8 * time.Second
	// maxOpenRetries is the number of times that a refused program retries before it gives up.
	maxOpenRetries = 4
)

// program is a program in progress.
type program struct {
	// startedAt is when it started, idleDuration its duration on idle engines.
	startedAt, idleDuration time.Duration
	// id names it to the entries; finishAt is when it should end.
	id       string
	finishAt time.Duration
	// answerTokens is the mean length of its answers.
	answerTokens int
	// domain is the index of the failure domain of its caller.
	domain    int
	prompt    []routing.PromptPart
	turnsLeft int
	// ranAt is the ID of the engine that ran its last turn; empty before the first.
	ranAt string
	// refusals is the number of times that it was refused.
	refusals int
	urgent   bool
	// nextAt is when its next turn starts; running reports whether a turn is in progress.
	nextAt  time.Duration
	running bool
	// failedAttempts is the number of failed attempts of its current turn.
	failedAttempts int
}

// call is a call in progress. entry and upstream are indexes into world.balancers and
// world.upstreams.
type call struct {
	p        *program
	entry    int
	upstream int
	// prefill is the remaining prefill time in ms, decode the remaining number of tokens.
	prefill float64
	decode  float64
	// fails is set for a call that fails at the end of its prefill.
	fails bool
	// info and pick are those of the decision; sentAt and firstAt are when the call was sent and
	// when its prefill ended.
	info            routing.CallInfo
	pick            routing.Pick
	sentAt, firstAt time.Duration
	// sentLoad is the load that its entry knew of when the call was sent.
	sentLoad float64
	// tokens is the length of the answer, quickest the least time of a token in ms, in a tick without a
	// prefill.
	tokens   int
	quickest float64
}

// engine is a simulated engine. failing is set when it fails part of its calls, slows when it turns slow.
type engine struct {
	calls          []*call
	cache          *routing.PrefixCache
	failing, slows bool
	// speed is the lasting speed; disturbedUntil is when a transient disturbance ends.
	speed          float64
	disturbedUntil time.Duration
}

// world is the state of a simulation.
type world struct {
	cfg Config
	rng *rand.Rand
	// now is the virtual time since the start of the run, start the time that clock returns at
	// the start.
	now   time.Duration
	start time.Time
	// balancers holds the balancer of each entry.
	balancers []*routing.Balancer
	// upstreams and engines describe the same engines, in the same order.
	upstreams []routing.Upstream
	engines   []*engine
	live      []*program
	// nextPart is the ID of the last prompt part that belongs to one program only.
	nextPart uint64
	// seen has the IDs of the shared first parts that some engine has computed.
	seen          map[uint64]bool
	digestsSentAt time.Duration
	admit         admission.NewProgramPolicy
	// programs holds the admission of each entry.
	programs []*admission.Programs
	report   Report
}

// Run simulates the load to its end. A program that has not ended by then counts as late.
func Run(cfg Config) Report {
	w := newWorld(cfg)
	// The last programs have 10 s to end.
	for ; w.now < cfg.Length+10*time.Second; w.now += tick {
		if w.now < cfg.Length {
			w.arrive()
		}
		w.send()
		w.disturb()
		w.advanceEngines()
		if w.now-w.digestsSentAt >= digestInterval {
			w.exchangeDigests()
		}
	}
	w.report.Late += len(w.live)
	return w.report
}

// newWorld returns the state at the start of a run. The IDs of parts that belong to one
// program start above those of the shared parts.
func newWorld(cfg Config) *world {
	cfg = cfg.withDefaults()
	w := &world{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 11)), start: time.Unix(1000, 0),
		seen: map[uint64]bool{}, admit: admission.DefaultNewProgramPolicy(), nextPart: 1 << 32,
	}
	for i := range cfg.Engines {
		id := "engine-" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		w.upstreams = append(w.upstreams, routing.Upstream{ID: id, Service: "s", Slots: cfg.Slots, CacheTokens: cfg.CacheTokens, Hash: routing.HashID(id)})
		w.upstreams[i].Domain = w.domainOf(i)
		e := &engine{cache: routing.NewPrefixCache(cfg.CacheTokens), failing: i < cfg.FailingEngines, slows: i < cfg.SlowEngines, speed: 1}
		if cfg.LastingSpeeds {
			e.speed = 1.2
			if i%4 == 0 {
				e.speed = 0.55
			}
		}
		w.engines = append(w.engines, e)
	}
	for i := range cfg.Entries {
		w.programs = append(w.programs, admission.NewPrograms(w.admit))
		w.balancers = append(w.balancers, routing.NewBalancer(routing.BalancerConfig{Seed: cfg.Seed + uint64(i), NoPrefixAffinity: cfg.NoPreferredUpstreams}))
	}
	return w
}

// idlePrefill returns the time that an idle engine takes before the first token of a turn of which only
// its own input is not cached.
func (w *world) idlePrefill() time.Duration {
	return time.Duration((w.cfg.SetupMs + float64(w.cfg.InputTokens)/w.cfg.TokensPerMs + networkMs) * float64(time.Millisecond))
}

// domainOf returns the failure domain of the ith entry or engine; empty without domains.
func (w *world) domainOf(i int) string {
	if w.cfg.Domains < 2 {
		return ""
	}
	return string(rune('a' + i%w.cfg.Domains))
}

// clock returns the virtual time.
func (w *world) clock() time.Time { return w.start.Add(w.now) }

// arrive starts the programs of one tick.
func (w *world) arrive() {
	rate := w.cfg.ProgramsPerSecond
	if w.now >= w.cfg.BurstFrom && w.now < w.cfg.BurstTo {
		rate *= w.cfg.BurstX
	}
	// The fractional part of the expected number is the probability of one more program.
	for expected := rate * tick.Seconds(); expected > 0; expected-- {
		if w.rng.Float64() >= expected {
			continue
		}
		urgent := w.cfg.UrgentTurns > 0 && w.rng.Float64() < w.cfg.Urgent
		meanOf, answer := meanTurns, w.cfg.TurnTokens
		if urgent {
			meanOf, answer = w.cfg.UrgentTurns, cmp.Or(w.cfg.UrgentTokens, answer)
		}
		// From 2 to 2*meanOf-2 turns, so that the mean is meanOf.
		turns := 2 + w.rng.IntN(2*meanOf-3)
		// Parts of a lower number are shared by more programs.
		part := uint64(float64(w.cfg.SharedParts) * math.Pow(w.rng.Float64(), 1.8))
		p := &program{
			startedAt: w.now, nextAt: w.now, turnsLeft: turns, domain: w.report.Programs % max(1, w.cfg.Domains),
			prompt:       []routing.PromptPart{{ID: part, Tokens: w.cfg.SharedPartTokens}},
			idleDuration: time.Duration(turns) * (thinkTime + time.Duration(float64(answer)*w.cfg.TokenMs*float64(time.Millisecond)) + w.idlePrefill()),
			id:           strconv.Itoa(w.report.Programs), answerTokens: answer,
		}
		p.finishAt = w.now + time.Duration(w.cfg.TimeLimitFactor*float64(p.idleDuration)) + 200*time.Millisecond
		if w.cfg.UrgentTurns == 0 {
			urgent = w.cfg.Urgent > 0 && w.rng.Float64() < w.cfg.Urgent
		}
		if urgent {
			p.urgent = true
			w.report.Urgent++
		}
		w.live = append(w.live, p)
		w.report.Programs++
		if w.afterBurst(p) {
			w.report.AfterBurst++
		}
	}
}

// send starts the turns that are due.
func (w *world) send() {
	remaining := w.live[:0]
	for _, p := range w.live {
		if p.running || p.nextAt > w.now {
			remaining = append(remaining, p)
			continue
		}
		if w.place(p) {
			remaining = append(remaining, p)
		}
	}
	w.live = remaining
}

// entryOf chooses at random the entry at which a program's next turn arrives, mostly one of
// its domain. The entries of domain d have the indexes d, d+Domains, d+2*Domains and so on.
func (w *world) entryOf(p *program) int {
	n := len(w.balancers)
	if w.cfg.Domains < 2 || w.rng.Float64() < roamShare {
		return w.rng.IntN(n)
	}
	return p.domain + w.cfg.Domains*w.rng.IntN((n-p.domain+w.cfg.Domains-1)/w.cfg.Domains)
}

// place sends a program's next turn to an engine, or delays the program if it is refused. It
// returns false if the program gives up after maxOpenRetries retries.
func (w *world) place(p *program) bool {
	entry := w.entryOf(p)
	balancer := w.balancers[entry]
	load := balancer.Load(w.clock(), w.upstreams)
	left := p.finishAt - w.now
	if p.ranAt == "" && !w.cfg.NoAdmission {
		if ok, after := w.mayStart(p, entry, load, left); !ok {
			p.refusals++
			p.nextAt = w.now + after
			if p.refusals > maxOpenRetries || w.cfg.LeaveAtFinish && p.nextAt >= p.finishAt {
				w.report.Refused++
				return false
			}
			return true
		}
	} else {
		w.programs[entry].Cost(kindOf(p)).Turn(p.id, left, load)
	}
	w.nextPart++
	own := routing.PromptPart{ID: w.nextPart, Tokens: w.cfg.InputTokens/2 + w.rng.IntN(w.cfg.InputTokens)}
	prompt := append(append([]routing.PromptPart(nil), p.prompt...), own)
	info := routing.CallInfo{Prompt: prompt, Generate: p.answerTokens, Domain: w.domainOf(entry)}
	for _, part := range prompt {
		info.Tokens += part.Tokens
	}
	info.Bytes = tokenBytes * (info.Tokens + p.answerTokens)
	if w.cfg.NoDomains {
		info.Domain = ""
	}
	if !w.cfg.NoConversationAffinity {
		info.LastUpstream = p.ranAt
	}
	// If the balancer finds no engine, the next tick tries again.
	pick, _ := balancer.Choose(w.clock(), w.upstreams, &info, nil)
	for i := range w.upstreams {
		if w.upstreams[i].ID == pick.ID {
			balancer.Started(w.upstreams[i], &info)
			w.report.AllBytes += int64(info.Bytes)
			if w.upstreams[i].Domain != w.domainOf(entry) {
				w.report.CrossBytes += int64(info.Bytes)
			}
			decode := float64(p.answerTokens) * (0.4 + 1.2*w.rng.Float64())
			w.startCall(p, &call{p: p, entry: entry, upstream: i, decode: decode, tokens: int(decode), info: info, pick: pick, sentAt: w.now, sentLoad: load}, prompt)
			break
		}
	}
	return true
}

// mayStart decides at an entry whether a program may start; if not, after is when it returns.
func (w *world) mayStart(p *program, entry int, load float64, left time.Duration) (ok bool, after time.Duration) {
	rank := 0
	if p.urgent {
		rank = 1
	}
	if w.cfg.SlotLimit {
		return w.admit.Admit(load, rank, p.refusals > 0)
	}
	d := w.programs[entry].Start(w.clock(), admission.ProgramStart{
		Route: kindOf(p), Program: p.id, Rank: rank, Retried: p.refusals > 0, Left: left, Waited: w.now - p.startedAt, Load: load,
		Growth: w.balancers[entry].LatencyModel("s").Growth(p.answerTokens) * float64(w.cfg.Slots), TotalSlots: w.cfg.Slots * w.cfg.Engines, Entries: w.cfg.Entries, DigestInterval: digestInterval,
	})
	// The jitter is that of the gateway.
	return d.OK, d.After/2 + time.Duration(w.rng.Float64()*float64(d.After))
}

// kindOf returns the name of the route of the program.
func kindOf(p *program) string {
	if p.urgent {
		return "urgent"
	}
	return "other"
}

// startCall adds a call to its engine and counts the prompt tokens that the engine has to
// compute.
func (w *world) startCall(p *program, c *call, prompt []routing.PromptPart) {
	e := w.engines[c.upstream]
	cached := e.cache.Cached(prompt)
	total := 0
	for _, part := range prompt {
		total += part.Tokens
	}
	// Only leading parts are cached: without a cached token, the engine also computes the
	// shared first part.
	if cached == 0 {
		if w.seen[prompt[0].ID] {
			w.report.SharedRecomputed += int64(prompt[0].Tokens)
		}
		w.seen[prompt[0].ID] = true
	}
	w.report.TokensComputed += int64(total - cached)
	e.cache.Add(prompt)
	c.prefill = w.cfg.SetupMs + float64(total-cached)/w.cfg.TokensPerMs
	c.fails = e.failing && w.rng.Float64() < w.cfg.FailureShare
	w.report.Calls++
	if e.failing {
		w.report.FailingEngineCalls++
	}
	w.countSlow(e)
	p.running, p.prompt = true, prompt
	e.calls = append(e.calls, c)
}

// disturb begins transient disturbances at random, so that a share of the engines is disturbed at a time.
func (w *world) disturb() {
	if w.cfg.DisturbedShare <= 0 {
		return
	}
	const length = 600 * time.Millisecond
	for _, e := range w.engines {
		if e.disturbedUntil <= w.now && w.rng.Float64() < w.cfg.DisturbedShare/(1-w.cfg.DisturbedShare)*float64(tick)/float64(length) {
			e.disturbedUntil = w.now + length
		}
	}
}

// slow reports whether the slow engines are slow now.
func (w *world) slow() bool { return w.now >= w.cfg.SlowFrom && w.now < w.cfg.SlowTo }

// countSlow counts a call to the engine in the report.
func (w *world) countSlow(e *engine) {
	r, calls := &w.report, 0
	if e.slows {
		calls = 1
	}
	switch {
	case w.slow() && w.now >= w.cfg.SlowFrom+slowNotice:
		r.AllEngineCalls++
		r.SlowEngineCalls += calls
	case w.now >= w.cfg.SlowTo+slowRecovery:
		r.RecoveredAllCalls++
		r.RecoveredCalls += calls
	}
}

// advanceEngines advances each engine by one tick. Prefills run one after another; in the
// rest of the tick, the calls whose prefill has ended decode together.
func (w *world) advanceEngines() {
	for _, e := range w.engines {
		left := float64(tick) / float64(time.Millisecond)
		left *= e.speed
		if e.slows && w.slow() {
			left /= w.cfg.SlowX
		}
		if e.disturbedUntil > w.now {
			left /= 2.5
		}
		batch := e.calls[:min(len(e.calls), w.cfg.Slots)]
		decoding := 0
		for _, c := range batch {
			use := min(left, c.prefill)
			c.prefill -= use
			left -= use
			if c.prefill <= 0 {
				decoding++
				if c.firstAt == 0 {
					c.firstAt = w.now + tick
				}
			}
		}
		step := w.cfg.TokenMs * (1 + slotSlope*float64(max(0, decoding-1)))
		for _, c := range batch {
			if c.prefill <= 0 {
				c.decode -= left / step
				if left > 0 {
					if perToken := float64(tick) / float64(time.Millisecond) / (left / step); c.quickest == 0 || perToken < c.quickest {
						c.quickest = perToken
					}
				}
			}
		}
		w.endCalls(e)
	}
}

// endCalls removes the finished calls from an engine and reports their outcomes.
func (w *world) endCalls(e *engine) {
	remaining := e.calls[:0]
	for _, c := range e.calls {
		if c.decode > 0 && !(c.fails && c.prefill <= 0) {
			remaining = append(remaining, c)
			continue
		}
		outcome := routing.OutcomeSuccess
		if c.fails {
			outcome = routing.OutcomeFailure
		}
		if w.cfg.NoFailures {
			outcome = routing.OutcomeInconclusive
		}
		w.observe(c)
		w.balancers[c.entry].Ended(w.clock(), w.upstreams[c.upstream].ID, outcome)
		w.endTurn(c)
	}
	e.calls = remaining
}

// observe passes the times of a call on to the balancer of its entry.
func (w *world) observe(c *call) {
	b, id := w.balancers[c.entry], w.upstreams[c.upstream].ID
	w.programs[c.entry].Cost(kindOf(c.p)).TurnEnded(w.clock(), c.p.id, w.now-c.sentAt, (c.sentLoad+b.Load(w.clock(), w.upstreams))/2)
	b.ObserveFirstEvent(w.clock(), "s", &c.info, &c.pick, c.firstAt-c.sentAt)
	if !c.fails {
		b.ObserveDecode(w.clock(), "s", id, routing.Decode{
			Tokens: c.tokens, BatchSize: c.pick.InFlight + 1, Elapsed: w.now + tick - c.firstAt, Undisturbed: time.Duration(c.quickest * float64(time.Millisecond)),
		})
	}
}

// endTurn schedules the next turn of the call's program, or ends the program after its last
// turn or its third failed attempt.
func (w *world) endTurn(c *call) {
	p := c.p
	p.running, p.ranAt = false, w.upstreams[c.upstream].ID
	p.nextAt = w.now + thinkTime
	if c.fails {
		p.failedAttempts++
		if p.failedAttempts > 2 {
			w.report.Failed++
			w.drop(p)
		}
		return
	}
	p.failedAttempts = 0
	if p.turnsLeft--; p.turnsLeft > 0 {
		return
	}
	w.drop(p)
	w.count(p, w.now <= p.finishAt)
}

// count adds a program that completed all of its turns to the report.
func (w *world) count(p *program, inTime bool) {
	r := &w.report
	if inTime && w.afterBurst(p) {
		r.AfterBurstInTime++
	}
	switch {
	case inTime:
		r.InTime++
		if second := int(w.now / time.Second); second < maxSeconds {
			r.Goodput[second]++
			if p.urgent {
				r.UrgentGoodput[second]++
			}
		}
	default:
		r.Late++
	}
	switch {
	case p.urgent && inTime:
		r.UrgentInTime++
	case p.urgent:
		r.UrgentLate++
	}
}

// afterBurst reports whether the program starts later than Recovery after the burst.
func (w *world) afterBurst(p *program) bool {
	return w.cfg.BurstX > 0 && p.startedAt > w.cfg.BurstTo+w.cfg.Recovery
}

// drop removes a program that has ended from the live programs.
func (w *world) drop(p *program) {
	for i, other := range w.live {
		if other == p {
			w.live = append(w.live[:i], w.live[i+1:]...)
			return
		}
	}
}

// exchangeDigests applies the digest of each entry at all other entries: the calls in flight
// at each engine and the outcomes not reported before.
func (w *world) exchangeDigests() {
	w.digestsSentAt = w.now
	now := w.clock()
	type outcomes struct {
		id                string
		failed, succeeded int
	}
	type speeds struct {
		id    string
		ratio float64
		calls int
	}
	for i, from := range w.balancers {
		name := "entry-" + strconv.Itoa(i)
		own := map[string]int{}
		from.EachInFlight(func(id string, calls int) { own[id] = calls })
		var reported []outcomes
		var reportedSpeeds []speeds
		from.TakeUnreportedSpeeds(func(id string, ratio float64, calls int) bool {
			reportedSpeeds = append(reportedSpeeds, speeds{id, ratio, calls})
			return true
		})
		if w.cfg.NoSpeedReports {
			reportedSpeeds = nil
		}
		from.TakeUnreportedOutcomes(now, func(id string, failed, succeeded int) { reported = append(reported, outcomes{id, failed, succeeded}) })
		samples := map[string]admission.CostSample{}
		w.programs[i].EachCost(func(route string, c *admission.ProgramCost) {
			if s, ok := c.TakeUnreported(); ok {
				samples[route] = s
			}
		})
		for j, to := range w.balancers {
			if i == j {
				continue
			}
			to.ClearPeerCalls(name)
			for id, calls := range own {
				to.SetPeerCalls(now, name, id, calls)
			}
			for route, s := range samples {
				w.programs[j].Cost(route).Apply(&s)
			}
			for _, e := range reported {
				to.AddPeerOutcomes(now, e.id, e.failed, e.succeeded)
			}
			for _, e := range reportedSpeeds {
				to.AddPeerSpeeds(now, e.id, e.ratio, e.calls)
			}
		}
	}
}
