package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// BalancerConfig bounds what a Book believes; zero fields take the defaults.
type BalancerConfig struct {
	// Entry names this entry; it spreads entries that know the same over equal upstreams.
	Entry string
	// PeerTTL is how long the calls that another entry said it runs are believed;
	// 1 s by default, several times the interval of its digests.
	PeerTTL time.Duration
	Seed    uint64
	// NoPrefixAffinity lets shared prompt parts go anywhere, to compare.
	NoPrefixAffinity bool
}

func (c BalancerConfig) withDefaults() BalancerConfig {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&c.PeerTTL, time.Second)
	return c
}

// Upstream is an upstream that may be chosen.
type Upstream struct {
	ID      string
	Service string
	Domain  string
	Slots   int
	// CacheTokens is the memory of a model engine; zero for other upstreams.
	CacheTokens int64
	// Hash is HashSeat of the id.
	Hash uint64
}

// PromptPart is one part of a prompt, as callers name it.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// CallInfo is what a call asks of an upstream.
type CallInfo struct {
	Prompt []PromptPart
	// Tokens is the length of the prompt.
	Tokens int
	// Generate is the expected number of generated tokens; zero for plain calls.
	Generate int
	// LastUpstream is the upstream of the line's last turn: whatever the prompt had then is
	// cached there.
	LastUpstream string
	// Object names what a plain call is about; upstreams that saw it work faster.
	Object string
	// Domain is the caller's entry's failure domain.
	Domain string
	// Repeatable says that the call is sent again when it fails.
	Repeatable bool
	// MaxConnIdle is how long a connection may have rested that the call may be sent on.
	MaxConnIdle time.Duration
	// Bytes is about what the call and its answer send over the network.
	Bytes int
}

// Pick is a chosen upstream and what the choice rests on.
type Pick struct {
	ID string
	// InFlight is the number of calls believed to run there, Own those of this entry.
	InFlight int
	Own      int
	Slots    int
	// Cached is the number of prompt tokens believed cached there.
	Cached int
	// Finish is the predicted time to the end of the answer.
	Finish time.Duration
	// FirstEvent is the predicted time to the first event.
	FirstEvent time.Duration
	// FailureRate is the believed chance that the call fails there.
	FailureRate float64
	// OldestDigestAge is the age of the oldest digest that InFlight rests on.
	OldestDigestAge time.Duration
}

// remote is what another entry said of its calls at an upstream.
type remote struct {
	calls int
	at    time.Time
}

type account struct {
	own    int
	remote map[string]remote
	cache  *prefixSet
	// slowness is the observed time of a generated token, or of a plain call, over the
	// predicted one.
	slowness float64
	// failing is the believed chance that a call fails there, as of failedAt; it halves
	// with time, so that an upstream is tried again.
	failing  float64
	failedAt time.Time
	// streak says that the last call that told anything failed.
	streak bool
	// rested is when the last of this entry's calls there ended, which left a connection.
	rested time.Time
	// untoldFailed and untoldFine are the ends of calls that other entries have not been
	// told of.
	untoldFailed, untoldFine int
}

// failingNow returns the believed chance that a call fails.
func (a *account) failingNow(now time.Time) float64 {
	if a.failing == 0 {
		return 0
	}
	return a.failing * math.Exp2(-float64(now.Sub(a.failedAt))/float64(failHalfLife))
}

// observe moves the chance of failure towards an outcome.
func (a *account) observe(now time.Time, failed bool) {
	v, weight, outcome := a.failingNow(now), endWeight, 0.0
	if failed {
		outcome = 1
		if a.streak {
			weight = streakWeight
		}
	}
	a.streak = failed
	a.failing, a.failedAt = v+weight*(outcome-v), now
}

const (
	// failHalfLife is the time after which a failure counts half: upstreams that go down
	// and up by turns do so about every second and a half.
	failHalfLife = 2 * time.Second
	// endWeight is the weight of the end of a call, streakWeight that of a failure right
	// after another: one failure among many calls says little, two in a row say much.
	endWeight    = 0.12
	streakWeight = 0.35
	// failCost is the cost in milliseconds of a failed call: its program may fail with it.
	// failCostAgain is that of one which may be sent again: the wait until it is. They are
	// weighed against the load of the others, so that upstreams which all fail alike, or
	// seldom, are used.
	failCost      = 1500
	failCostAgain = 400
)

// Balancer knows what runs at each upstream, by this entry's own calls and what other
// entries tell, and chooses where a call goes. It is not safe for concurrent use.
type Balancer struct {
	cfg      BalancerConfig
	accounts map[string]*account
	paces    map[string]*Pace
	heads    *heads
	rng      *rand.Rand
	// homes is room for the answer of heads.homes.
	homes []bool
}

// NewBalancer returns a book that knows of no call.
func NewBalancer(cfg BalancerConfig) *Balancer {
	cfg = cfg.withDefaults()
	return &Balancer{
		cfg:      cfg,
		accounts: map[string]*account{},
		paces:    map[string]*Pace{},
		heads:    newHeads(),
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5bd1e995)),
	}
}

func (b *Balancer) account(id string, cacheTokens int64) *account {
	a := b.accounts[id]
	if a == nil {
		a = &account{remote: map[string]remote{}, slowness: 1, cache: newPrefixSet(cacheTokens)}
		b.accounts[id] = a
	}
	if cacheTokens > 0 {
		a.cache.limit = cacheTokens
	}
	return a
}

// PaceOf returns the learned pace of a service's upstreams.
func (b *Balancer) PaceOf(service string) *Pace {
	p := b.paces[service]
	if p == nil {
		p = newPace()
		b.paces[service] = p
	}
	return p
}

// Retain forgets the upstreams that keep does not know.
func (b *Balancer) Retain(keep func(id string) bool) {
	for id, a := range b.accounts {
		if a.own == 0 && !keep(id) {
			delete(b.accounts, id)
		}
	}
}

// inFlight returns the calls believed to run at the upstream, and the age of the
// oldest digest among what that rests on.
func (b *Balancer) inFlight(now time.Time, a *account) (int, time.Duration) {
	n, oldest := a.own, time.Duration(0)
	for peer, r := range a.remote {
		age := now.Sub(r.at)
		if age > b.cfg.PeerTTL {
			delete(a.remote, peer)
			continue
		}
		n += r.calls
		oldest = max(oldest, age)
	}
	return n, oldest
}

// SetPeerTTL sets how long the calls that another entry said it runs are believed.
func (b *Balancer) SetPeerTTL(d time.Duration) { b.cfg.PeerTTL = d }

// SetPeerCalls records the calls that another entry runs at an upstream.
func (b *Balancer) SetPeerCalls(now time.Time, peer, id string, calls int) {
	a := b.account(id, 0)
	if calls == 0 {
		delete(a.remote, peer)
		return
	}
	a.remote[peer] = remote{calls: calls, at: now}
}

// AddPeerCached records that an upstream has read the parts, as another entry tells.
func (b *Balancer) AddPeerCached(id string, parts []PromptPart) { b.account(id, 0).cache.add(parts) }

// EachInFlight calls each with the upstreams at which this entry runs calls.
func (b *Balancer) EachInFlight(each func(id string, calls int)) {
	for id, a := range b.accounts {
		if a.own > 0 {
			each(id, a.own)
		}
	}
}

// Started records a call that is sent to an upstream; it must be ended by Ended.
func (b *Balancer) Started(s Upstream, w *CallInfo) {
	a := b.account(s.ID, s.CacheTokens)
	a.own++
	if len(w.Prompt) > 0 {
		a.cache.add(w.Prompt)
	}
}

// Outcome is what the end of a call says of its upstream.
type Outcome uint8

// Verdicts.
const (
	// OutcomeSuccess: the upstream answered.
	OutcomeSuccess Outcome = iota
	// OutcomeFailure: it could not be reached, broke off or answered wrongly.
	OutcomeFailure
	// OutcomeInconclusive tells nothing, such as a call that its caller cancelled.
	OutcomeInconclusive
)

// Ended records the end of a call.
func (b *Balancer) Ended(now time.Time, id string, v Outcome) {
	a := b.account(id, 0)
	a.own = max(0, a.own-1)
	switch v {
	case OutcomeSuccess:
		a.rested = now
		if a.failing > 0 {
			a.observe(now, false)
			a.untoldFine++
		}
	case OutcomeFailure:
		a.observe(now, true)
		a.untoldFailed++
	case OutcomeInconclusive:
	}
}

// AddPeerOutcomes records the ends of calls at an upstream that another entry tells of.
func (b *Balancer) AddPeerOutcomes(now time.Time, id string, failed, fine int) {
	a := b.account(id, 0)
	// Their order is not told; taken in turn, more failures than successes are a streak.
	failed, fine = min(failed, maxEndsHeard), min(fine, maxEndsHeard)
	for ; failed > 0 || fine > 0; failed, fine = failed-1, fine-1 {
		if fine > 0 {
			a.observe(now, false)
		}
		if failed > 0 {
			a.observe(now, true)
		}
	}
}

// maxEndsHeard bounds what one digest says of an upstream.
const maxEndsHeard = 8

// TakeUnreportedOutcomes calls each with the ends of calls since the last time at upstreams where
// some failed lately.
func (b *Balancer) TakeUnreportedOutcomes(now time.Time, each func(id string, failed, fine int)) {
	for id, a := range b.accounts {
		if a.untoldFailed > 0 || a.untoldFine > 0 && a.failingNow(now) > toldChance {
			each(id, a.untoldFailed, a.untoldFine)
		}
		a.untoldFailed, a.untoldFine = 0, 0
	}
}

// toldChance is the chance of failure above which entries tell each other of calls that
// went well.
const toldChance = 0.05

// ResetUpstream drops what is believed of an upstream's cache, such as after its restart.
func (b *Balancer) ResetUpstream(id string) {
	a := b.account(id, 0)
	a.cache = newPrefixSet(a.cache.limit)
	a.slowness, a.failing = 1, 0
}

// slownessWeight is the weight of one observation of an upstream's pace: some eight
// calls move the belief, so that one long call does not.
const slownessWeight = 0.12

// ObserveDecode records that an upstream made tokens in took while running calls ran there.
func (b *Balancer) ObserveDecode(service, id string, tokens int, took time.Duration, running int) {
	if tokens <= 0 || took <= 0 {
		return
	}
	p := b.PaceOf(service)
	observed := ms(took) / float64(tokens)
	a := b.account(id, 0)
	p.observeStep(observed/p.batchFactor(running), a.slowness)
	ratio := observed / p.step(running)
	a.slowness = clamp(a.slowness+slownessWeight*(ratio-a.slowness), minPaceRatio, maxPaceRatio)
}

// ObserveCall records that a plain call took the time at an upstream.
func (b *Balancer) ObserveCall(service, id string, took time.Duration) {
	p := b.PaceOf(service)
	p.observeCall(ms(took))
	a := b.account(id, 0)
	ratio := ms(took) / p.call
	a.slowness = clamp(a.slowness+slownessWeight/2*(ratio-a.slowness), minPaceRatio, maxPaceRatio)
}

const (
	minPaceRatio = 0.5
	maxPaceRatio = 10
)

func clamp(v, low, high float64) float64 { return math.Max(low, math.Min(high, v)) }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ClearPeerCalls starts a digest of another entry: what it does not name, it runs no more.
func (b *Balancer) ClearPeerCalls(peer string) {
	for _, a := range b.accounts {
		delete(a.remote, peer)
	}
}

// Load returns the calls believed to run or wait at the seats, for each of their places.
func (b *Balancer) Load(now time.Time, seats []Upstream) float64 {
	calls, slots := 0, 0
	for i := range seats {
		slots += max(1, seats[i].Slots)
		if a := b.accounts[seats[i].ID]; a != nil {
			n, _ := b.inFlight(now, a)
			calls += n
		}
	}
	return float64(calls) / float64(max(1, slots))
}

// RandomFloat returns a random number from 0 to 1.
func (b *Balancer) RandomFloat() float64 { return b.rng.Float64() }
