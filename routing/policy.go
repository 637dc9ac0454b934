package routing

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// Names of policies in structs.Preset.Policy.
const (
	// PolicyCost chooses the candidate of least cost, see Cost.
	PolicyCost = "cost"
	// PolicyRoundRobin chooses the usable candidates in turn.
	PolicyRoundRobin = "round_robin"
	// PolicyLeastLoad chooses the candidate with the fewest running and queued calls.
	PolicyLeastLoad = "least_load"
	// PolicyStickyHash sends all calls of a program to the same candidate while it is usable.
	PolicyStickyHash = "sticky_hash"
	// PolicyCostFirst is the first version of PolicyCost, kept only to compare PolicyCost with
	// it. It does not count the stall of other calls and does not weight evicted tokens.
	PolicyCostFirst = "cost_first"
)

// ErrUnknownPolicy is returned for a preset whose policy does not exist.
var ErrUnknownPolicy = errors.New("unknown routing policy")

// Policy chooses the upstream of a model call. It is not safe for concurrent use.
type Policy interface {
	// Choose returns the decision for a call. blocks are the cache blocks of the call's
	// messages. All candidates must be model engines. It returns false when none of them
	// may take the call.
	Choose(now time.Time, call *structs.ModelCall, blocks []uint64, candidates []Candidate) (Decision, bool)
}

// CacheView estimates an engine's prefix cache.
type CacheView interface {
	// Cached returns the estimated number of leading blocks that are cached.
	Cached(now time.Time, blocks []uint64) int
}

// Candidate is a snapshot of what an entry knows of one upstream.
type Candidate struct {
	// Load is the last load report, with the entry's own calls since then added.
	Load structs.Load
	// Cache is the estimated prefix cache; nil counts as empty.
	Cache CacheView
	// Slowness is the moving average of the ratio of the observed to the predicted service
	// time; values below 1 count as 1.
	Slowness float64
	// Excluded reports whether the upstream gets no calls because recent calls failed or
	// its load reports are missing.
	Excluded bool
	// StepModel predicts the decode step. The zero value uses Load.StepTime at any batch size.
	StepModel StepModel
	// Outstanding is the number of the entry's own calls in flight there.
	Outstanding int
}

// Decision is a chosen upstream with the predictions for the call.
type Decision struct {
	Upstream structs.UpstreamID
	// CachedTokens is the estimated number of prompt tokens cached there, PrefillTokens the
	// number of the remaining prompt tokens.
	CachedTokens  int
	PrefillTokens int
	// Wait is the predicted time until the engine starts the call.
	Wait time.Duration
	// Prefill is the predicted time from that start to the first token.
	Prefill time.Duration
	// StepTime is the predicted time of one generated token.
	StepTime time.Duration
	// Generate is the predicted number of generated tokens.
	Generate int
	// RecomputedTokens is the estimated number of prefill tokens that another candidate has
	// cached. Baseline policies leave it zero.
	RecomputedTokens int
	// Cost is the cost by which the cost policies compare candidates. Baseline policies
	// leave it zero.
	Cost float64
}

// FirstToken returns the predicted time to the first token.
func (d Decision) FirstToken() time.Duration { return d.Wait + d.Prefill }

// Finish returns the predicted time to the end of the answer.
func (d Decision) Finish() time.Duration {
	return d.FirstToken() + time.Duration(d.Generate)*d.StepTime
}

// IsBaseline reports whether the policy is a baseline with which the cost policies are
// compared. With a baseline, calls are not ordered by program, prefixes are not held in
// the cache, and admission does not consider how long callers wait.
func IsBaseline(policy string) bool {
	switch policy {
	case PolicyRoundRobin, PolicyLeastLoad, PolicyStickyHash:
		return true
	}
	return false
}

// NewPolicy returns the policy that the preset names; an empty name means "cost". The
// seed sets where round robin starts. It returns ErrUnknownPolicy for another name.
func NewPolicy(preset structs.Preset, seed uint64) (Policy, error) {
	switch preset.Policy {
	case PolicyCost, "":
		return NewCost(preset), nil
	case PolicyCostFirst:
		p := NewCost(preset)
		p.firstVersion = true
		return p, nil
	case PolicyRoundRobin:
		return &roundRobin{maxQueue: preset.MaxQueue, next: int(seed % maxSeedOffset)}, nil
	case PolicyLeastLoad:
		return &leastLoad{maxQueue: preset.MaxQueue}, nil
	case PolicyStickyHash:
		return &stickyHash{maxQueue: preset.MaxQueue}, nil
	default:
		return nil, errors.Wrapf(ErrUnknownPolicy, "policy %q of preset %q", preset.Policy, preset.Name)
	}
}

// maxSeedOffset bounds the position at which round robin starts, so that it fits an int
// whatever the seed.
const maxSeedOffset = 1 << 16

// usable reports whether a candidate may take a call for the model. A maxQueue of 0 does
// not limit its queue.
func usable(c *Candidate, model string, maxQueue int) bool {
	if c.Load.Draining || c.Excluded {
		return false
	}
	if maxQueue > 0 && c.Load.Queued >= maxQueue {
		return false
	}
	return serves(&c.Load, model)
}

// serves reports whether the upstream lists the model or service.
func serves(l *structs.Load, model string) bool {
	for _, m := range l.Models {
		if m == model {
			return true
		}
	}
	return false
}
