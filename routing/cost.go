package routing

import (
	"time"

	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Cost takes the candidate of least cost: the latency weight times the predicted
// finish and the delay that the call adds to those beside it, plus the waste weight
// times the seconds of prefill that are computed again or pushed out of the cache.
type Cost struct {
	latency      float64
	waste        float64
	firstVersion bool
	maxQueue     int
	cached       []int
}

// NewCost returns the policy with the preset's weights; weights that are both zero
// count as a latency weight of 1.
func NewCost(preset structs.Preset) *Cost {
	p := &Cost{latency: preset.LatencyWeight, waste: preset.WasteWeight, maxQueue: preset.MaxQueue}
	if p.latency == 0 && p.waste == 0 {
		p.latency = 1
	}
	return p
}

// Choose implements Policy.
func (p *Cost) Choose(now time.Time, call *structs.ModelCall, blocks []uint64, candidates []Candidate) (Decision, bool) {
	prompt := promptTokens(call)
	most := p.estimateCached(now, call, blocks, candidates)
	var best Decision
	found := false
	for i := range candidates {
		if p.cached[i] < 0 {
			continue
		}
		c := &candidates[i]
		cached := min(prompt, p.cached[i])
		d := predictCached(call, c, prompt, cached)
		d.RecomputedTokens = max(0, min(most, prompt)-cached)
		d.Cost = p.cost(c, &d)
		if !found || d.Cost < best.Cost {
			best, found = d, true
		}
	}
	return best, found
}

// estimateCached fills p.cached with the believed cached tokens of each candidate, -1 for
// one that may not take the call, and returns the most.
func (p *Cost) estimateCached(now time.Time, call *structs.ModelCall, blocks []uint64, candidates []Candidate) int {
	p.cached = p.cached[:0]
	most := 0
	for i := range candidates {
		c := &candidates[i]
		tokens := -1
		if usable(c, call.Model, p.maxQueue) {
			tokens = 0
			if c.Cache != nil {
				tokens = kvcache.BlockTokens * c.Cache.Cached(now, blocks)
			}
		}
		most = max(most, tokens)
		p.cached = append(p.cached, tokens)
	}
	return most
}

func (p *Cost) cost(c *Candidate, d *Decision) float64 {
	latency := d.Finish().Seconds() + p.delayToOthers(c, d)
	waste := (float64(d.RecomputedTokens) + p.evicted(c, d)) / prefillRate(&c.Load)
	return p.latency*latency + p.waste*waste
}

// delayToOthers returns the seconds that the call adds to the calls that run beside
// it or wait: its prefill, during which the batch generates nothing, and the longer
// step for its generation.
func (p *Cost) delayToOthers(c *Candidate, d *Decision) float64 {
	others := float64(min(c.Load.Running, batchLimit(&c.Load)))
	delay := others * c.Step.Growth() * float64(d.Generate)
	if p.firstVersion {
		return delay
	}
	return delay + stallFactor*(others+float64(c.Load.Queued))*d.Prefill.Seconds()
}

// stallFactor is how many seconds each second of prefill costs a call beside it: the
// stall itself, and the longer queue that its own program and others then meet.
const stallFactor = 4

// reuseTime is within how long most evicted blocks would have been used again: a
// caller's or a tool's pause.
const reuseTime = 2 * time.Minute

// evicted returns the tokens pushed out of a full cache that will be computed again:
// the more, the shorter a block survives there.
func (p *Cost) evicted(c *Candidate, d *Decision) float64 {
	tokens := float64(evictedTokens(c, d))
	if p.firstVersion || c.Load.Turnover <= 0 {
		return tokens
	}
	return tokens * min(maxEvictedWeight, reuseTime.Seconds()/c.Load.Turnover.Seconds())
}

// maxEvictedWeight bounds how much dearer an evicted token is than one computed again.
const maxEvictedWeight = 10

// evictedTokens returns how many tokens of others the call pushes out of a full cache.
func evictedTokens(c *Candidate, d *Decision) int {
	if c.Load.KVLimitTokens <= 0 {
		return 0
	}
	need := int64(d.PrefillTokens + d.Generate)
	over := c.Load.KVUsedTokens + need - c.Load.KVLimitTokens
	return int(max(0, min(over, need)))
}
