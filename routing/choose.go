package routing

import (
	"math"
	"time"
)

// Choose returns the upstream of least estimated cost for the call. Upstreams in tried
// are left out, and those that are held for longer than the call's patience. It returns false when no upstream is left.
func (b *Balancer) Choose(now time.Time, upstreams []Upstream, call *CallInfo, tried []string) (Pick, bool) {
	best, found := Pick{}, false
	bestCost, nextCost := math.Inf(1), math.Inf(1)
	if len(call.Prompt) > 0 {
		b.affinity.observe(now, call.Prompt[0])
		b.preferred = b.affinity.appendPreferred(b.preferred[:0], call.Prompt[0], upstreams, func(id string) bool {
			return b.Slowness(now, id) >= slowAbove
		})
	}
	for i := range upstreams {
		u := &upstreams[i]
		if contains(tried, u.ID) {
			continue
		}
		stats := b.statsOf(u.ID, u.CacheTokens)
		held := max(0, stats.heldUntil.Sub(now))
		if held > call.Patience {
			continue
		}
		n, age := b.inFlight(now, stats)
		slow := stats.slowdown(now)
		e := b.cost(u, stats, call, n, slow)
		cost := e.cost + ms(held)
		// The first part would have to be cached at an upstream that is not preferred for it.
		if e.cached == 0 && len(call.Prompt) > 0 && !b.preferred[i] && !b.cfg.NoPrefixAffinity {
			cost += nonPreferredWeight * b.LatencyModel(u.Service).prefill(call.Prompt[0].Tokens)
		}
		cost += call.failureCost() * stats.currentFailureRate(now)
		// No connection is known that has been idle for at most MaxConnIdle, so the call would
		// open a new one.
		if now.Sub(stats.lastSuccess) > call.MaxConnIdle {
			cost += newConnCost
		}
		if cost >= bestCost {
			nextCost = min(nextCost, cost)
		} else {
			nextCost, bestCost, found = bestCost, cost, true
			best = Pick{
				ID: u.ID, InFlight: n, Own: stats.own, Slots: u.Slots, Cached: e.cached, OldestDigestAge: age, FailureRate: stats.currentFailureRate(now),
				Finish: fromMs(e.finish), FirstEvent: fromMs(e.first), Slowness: slow,
			}
		}
	}
	if best.Alternative = !math.IsInf(nextCost, 1); best.Alternative {
		best.Margin = fromMs(nextCost - bestCost)
	}
	return best, found
}

// nonPreferredWeight is the cost of caching a first part at an upstream that is not preferred
// for it, as a multiple of the part's prefill time. Another part is evicted for it, and the
// later prefill of that other part stalls a batch of several calls.
const nonPreferredWeight = 8

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

const (
	// delayWeight is the weight of the delay of other calls relative to that of the call
	// itself.
	delayWeight = 1.0
	// crossDomainCost is the cost in milliseconds of the round trip to another failure
	// domain.
	crossDomainCost = 2.0
	// crossDomainCostPerByte is the cost in milliseconds of each byte of a call and its answer
	// between failure domains, where traffic is charged for. The 17 KB of a long prompt cost
	// about as much as one more call in an engine's batch.
	crossDomainCostPerByte = 2.0 / (1 << 10)
	// newConnCost is the cost in milliseconds of a new connection: its round trip, the
	// upstream's work for it, and the price charged for it. The price counts about 5 times
	// as much as the other two together.
	newConnCost = 8
	// tieBreak is the maximum in milliseconds of a random cost that spreads entries over
	// upstreams of equal cost; it is less than the cost of one more call in a batch.
	tieBreak = 6
)

// estimate holds the cost of a call at an upstream and the times to its first event and
// to its end, in milliseconds.
type estimate struct {
	cost, finish, first float64
	// cached is the estimated number of cached prompt tokens.
	cached int
}

func fromMs(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// cost estimates the cost and the times of a call at an upstream of slowness slow with n calls in flight.
func (b *Balancer) cost(u *Upstream, stats *upstreamStats, call *CallInfo, n int, slow float64) estimate {
	model := b.LatencyModel(u.Service)
	slots := max(1, u.Slots)
	var e estimate
	if call.Generate > 0 {
		e.cached = call.cachedAt(u.ID, stats, model.growth)
		prefill := model.prefill(max(0, call.Tokens-e.cached)) * slow
		step := model.step(min(n+1, slots)) * slow
		decode := float64(call.Generate) * step
		e.first = prefill + model.wait(n, slots, decode) + step
		e.finish = e.first + decode
		// A prefill stalls all other calls in the batch. The larger batch then slows each of
		// them while they overlap with the call, on average for half of its decode time.
		others := float64(min(n, slots-1))
		delay := others * (prefill + decode/2*(model.batchFactor(2)-model.batchFactor(1)))
		e.cost = e.finish + delayWeight*delay
	} else {
		plain := model.call * slow
		e.finish = plain * (1 + float64(n)*plainSlowdown/float64(slots))
		if n >= slots { // the call waits for a slot
			e.finish += plain * float64(n-slots+1) / float64(slots)
		}
		e.first, e.cost = e.finish, e.finish
	}
	if call.Domain != "" && u.Domain != call.Domain {
		e.cost += crossDomainCost + crossDomainCostPerByte*float64(call.Bytes)
	}
	e.cost += tieBreak * b.rng.Float64()
	return e
}

// failureCost returns the cost in milliseconds if the call fails.
func (c *CallInfo) failureCost() float64 {
	if c.Repeatable {
		return repeatableFailureCost
	}
	return nonRepeatableFailureCost
}

// cachedAt returns the estimated number of prompt tokens that are cached at an upstream. At
// LastUpstream all parts but the last count as cached: they were in the prompt of the
// conversation's last turn there, or in that of the conversation from which it started. Of the
// last part, all counts but the mean growth of a turn.
func (c *CallInfo) cachedAt(id string, stats *upstreamStats, growth float64) int {
	cached := stats.cache.cached(c.Prompt)
	if id != c.LastUpstream || len(c.Prompt) == 0 {
		return cached
	}
	last := len(c.Prompt) - 1
	before := max(0, c.Prompt[last].Tokens-int(growth))
	for _, p := range c.Prompt[:last] {
		before += p.Tokens
	}
	return max(cached, before)
}

// plainSlowdown is the assumed relative slowdown of a plain call at an upstream with all
// slots in use. It spreads calls before slots run out.
const plainSlowdown = 0.5
