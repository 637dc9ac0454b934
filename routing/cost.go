package routing

import (
	"time"

	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Cost is the policy that chooses the candidate of least cost. The cost is the latency
// weight times the sum of the call's predicted duration and the delay that it adds to
// other calls, plus the waste weight times the seconds of prefill for tokens that are
// recomputed or evicted from the cache.
type Cost struct {
	latencyWeight float64
	wasteWeight   float64
	firstVersion  bool // selects PolicyCostFirst
	maxQueue      int
	cached        []int // reused result buffer of estimateCached
}

// NewCost returns the policy with the preset's weights. If both weights are zero, the
// latency weight is 1.
func NewCost(preset structs.Preset) *Cost {
	p := &Cost{latencyWeight: preset.LatencyWeight, wasteWeight: preset.WasteWeight, maxQueue: preset.MaxQueue}
	if p.latencyWeight == 0 && p.wasteWeight == 0 {
		p.latencyWeight = 1
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

// estimateCached fills p.cached with the estimated number of cached tokens of each
// candidate, or -1 if it may not take the call, and returns the highest number.
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

// cost returns the cost of the decision.
func (p *Cost) cost(c *Candidate, d *Decision) float64 {
	latency := d.Finish().Seconds() + p.delayToOthers(c, d)
	waste := (float64(d.RecomputedTokens) + p.weightedEvictedTokens(c, d)) / prefillRate(&c.Load)
	return p.latencyWeight*latency + p.wasteWeight*waste
}

// delayToOthers returns the estimated delay in seconds of other calls. It is the longer
// decode steps of each running call, and stallFactor times the prefill for each running or
// queued one, since the batch generates nothing during a prefill. The first version of the
// policy leaves out the prefill.
func (p *Cost) delayToOthers(c *Candidate, d *Decision) float64 {
	others := float64(min(c.Load.Running, batchLimit(&c.Load)))
	delay := others * c.StepModel.Growth() * float64(d.Generate)
	if p.firstVersion {
		return delay
	}
	return delay + stallFactor*(others+float64(c.Load.Queued))*d.Prefill.Seconds()
}

// stallFactor is the delay in seconds of another call for each second of prefill. It
// includes the stall itself and the longer queue for later calls of all programs.
const stallFactor = 4

// reuseTime is the assumed time within which most blocks are used again: the pause of a
// caller between turns or the run of a tool.
const reuseTime = 2 * time.Minute

// weightedEvictedTokens returns the number of tokens that the call evicts from a full
// cache, multiplied by reuseTime/EvictionAge, at most maxEvictedWeight: the shorter a block
// stays in that cache, the more of the tokens are recomputed. The factor is 1 if the
// eviction age is unknown, and in the first version of the policy.
func (p *Cost) weightedEvictedTokens(c *Candidate, d *Decision) float64 {
	tokens := float64(evictedTokens(c, d))
	if p.firstVersion || c.Load.EvictionAge <= 0 {
		return tokens
	}
	return tokens * min(maxEvictedWeight, reuseTime.Seconds()/c.Load.EvictionAge.Seconds())
}

// maxEvictedWeight limits the weight of an evicted token relative to a recomputed one.
const maxEvictedWeight = 10

// evictedTokens returns the number of other calls' tokens that the call evicts from a full
// cache.
func evictedTokens(c *Candidate, d *Decision) int {
	if c.Load.KVLimitTokens <= 0 {
		return 0
	}
	need := int64(d.PrefillTokens + d.Generate)
	over := c.Load.KVUsedTokens + need - c.Load.KVLimitTokens
	return int(max(0, min(over, need)))
}
