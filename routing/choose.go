package routing

import (
	"math"
	"time"
)

// Choose returns the seat for the work of least cost. tried seats are left out. It
// returns false when there is none.
func (b *Balancer) Choose(now time.Time, seats []Upstream, w *CallInfo, tried []string) (Pick, bool) {
	best, found := Pick{}, false
	bestCost := math.Inf(1)
	if len(w.Prompt) > 0 {
		b.heads.came(now, w.Prompt[0])
		b.homes = b.heads.homes(b.homes[:0], w.Prompt[0], seats)
	}
	for i := range seats {
		s := &seats[i]
		if contains(tried, s.ID) {
			continue
		}
		a := b.account(s.ID, s.CacheTokens)
		n, age := b.inFlight(now, a)
		c := b.cost(s, a, w, n)
		cost := c.cost
		if c.cached == 0 && len(w.Prompt) > 0 && !b.homes[i] && !b.cfg.NoPrefixAffinity {
			cost += strayWeight * b.PaceOf(s.Service).prefill(w.Prompt[0].Tokens)
		}
		cost += w.failCost() * a.failingNow(now)
		if now.Sub(a.rested) > w.MaxConnIdle {
			cost += coldCost
		}
		if cost < bestCost {
			bestCost, found = cost, true
			best = Pick{
				ID: s.ID, InFlight: n, Own: a.own, Slots: s.Slots, Cached: c.cached, OldestDigestAge: age, FailureRate: a.failingNow(now),
				Finish: inMs(c.finish), FirstEvent: inMs(c.first),
			}
		}
	}
	return best, found
}

// strayWeight is the cost of reading a shared part at an upstream that is none of its
// homes, in readings: one other part leaves the cache for it and is read again later,
// which stalls a batch of some calls.
const strayWeight = 8

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

const (
	// harmWeight is the weight of the delay of other calls against that of the call itself.
	harmWeight = 1.0
	// crossDomainCost is the cost in milliseconds of the way to another failure domain and
	// back, crossDomainByte that of each byte, which is paid for: the 17 KB of a long prompt
	// weigh about as much as one more call in an engine's batch.
	crossDomainCost = 2.0
	crossDomainByte = 2.0 / (1 << 10)
	// coldCost is the cost in milliseconds of a new connection: its way, the upstream's
	// work for it, and what it is priced at, some five times these.
	coldCost = 8
	// tieBreak in milliseconds spreads entries over upstreams of equal cost: less than
	// one call beside costs.
	tieBreak = 6
)

// estimate is what running a call at a seat costs and takes, in milliseconds.
type estimate struct {
	cost, finish, first float64
	// cached is the number of prompt tokens believed cached.
	cached int
}

func inMs(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// cost estimates the work at the seat where n calls run.
func (b *Balancer) cost(s *Upstream, a *account, w *CallInfo, n int) estimate {
	p := b.PaceOf(s.Service)
	slots := max(1, s.Slots)
	var e estimate
	if w.Generate > 0 {
		e.cached = w.cachedAt(s.ID, a)
		prefill := p.prefill(max(0, w.Tokens-e.cached)) * a.slowness
		step := p.step(min(n+1, slots)) * a.slowness
		decode := float64(w.Generate) * step
		e.first = prefill + p.wait(n, slots, decode) + step
		e.finish = e.first + decode
		// A prefill stalls all that run beside it; one more in the batch slows each of
		// them for as long as both run, half of the call on average.
		beside := float64(min(n, slots-1))
		harm := beside * (prefill + decode/2*(p.batchFactor(2)-p.batchFactor(1)))
		e.cost = e.finish + harmWeight*harm
	} else {
		call := p.call * a.slowness
		e.finish = call * (1 + float64(n)*plainShare/float64(slots))
		if n >= slots {
			e.finish += call * float64(n-slots+1) / float64(slots)
		}
		e.first, e.cost = e.finish, e.finish
	}
	if w.Domain != "" && s.Domain != w.Domain {
		e.cost += crossDomainCost + crossDomainByte*float64(w.Bytes)
	}
	e.cost += tieBreak * b.rng.Float64()
	return e
}

// failCost returns the cost in milliseconds of the call's failure.
func (w *CallInfo) failCost() float64 {
	if w.Repeatable {
		return failCostAgain
	}
	return failCost
}

// cachedAt returns the prompt tokens believed cached at an upstream. All but the last
// part of a prompt were in that of the line's last turn, or its parent's.
func (w *CallInfo) cachedAt(id string, a *account) int {
	cached := a.cache.cached(w.Prompt)
	if id != w.LastUpstream || len(w.Prompt) == 0 {
		return cached
	}
	before := 0
	for _, p := range w.Prompt[:len(w.Prompt)-1] {
		before += p.Tokens
	}
	return max(cached, before)
}

// plainShare is how much slower a plain call is taken to be at an upstream whose
// slots are nearly all used, so that calls spread before slots run out.
const plainShare = 0.5
