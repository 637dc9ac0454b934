package routing

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// Names of policies, as structs.Preset.Policy gives them.
const (
	PolicyCost       = "cost"
	PolicyRoundRobin = "round_robin"
	PolicyLeastLoad  = "least_load"
	PolicyStickyHash = "sticky_hash"
	// PolicyCostFirst is the first version of PolicyCost, kept for comparisons.
	PolicyCostFirst = "cost_first"
)

// ErrUnknownPolicy reports a preset whose policy does not exist.
var ErrUnknownPolicy = errors.New("unknown routing policy")

// Policy chooses the upstream of a model call. It is not safe for concurrent use.
type Policy interface {
	// Choose returns the decision for call, whose conversation has the given cache
	// blocks, among candidates that are all model engines. It returns false when none
	// may take the call.
	Choose(now time.Time, call *structs.ModelCall, blocks []uint64, candidates []Candidate) (Decision, bool)
}

// CacheView tells how many leading blocks an engine is believed to cache.
type CacheView interface {
	Cached(now time.Time, blocks []uint64) int
}

// Candidate is one upstream as an entry knows it at one moment.
type Candidate struct {
	// Load is the last report with the entry's own sends since then added.
	Load structs.Load
	// Cache is the believed prefix cache; nil believes nothing.
	Cache CacheView
	// Slowness is the observed service time over the predicted one; below 1 counts as 1.
	Slowness float64
	// Excluded says that recent calls failed there, or that nothing is heard of it.
	Excluded bool
	// Step predicts the decode step; the zero value takes Load.StepTime at any batch.
	Step StepModel
	// Outstanding is the number of the entry's own calls that run there.
	Outstanding int
}

// Decision is a chosen upstream and what the choice predicts.
type Decision struct {
	Upstream structs.UpstreamID
	// CachedTokens are prompt tokens believed cached there, PrefillTokens the others.
	CachedTokens  int
	PrefillTokens int
	// Wait is the predicted time until the engine starts the call.
	Wait time.Duration
	// Prefill is the predicted time from the start to the first token.
	Prefill time.Duration
	// Step is the predicted time of one generated token.
	Step time.Duration
	// Generate is the predicted number of generated tokens.
	Generate int
	// RecomputedTokens are prefill tokens that another candidate is believed to cache.
	RecomputedTokens int
	// Cost is the policy's own figure; lower is better. Baselines leave it zero.
	Cost float64
}

// FirstToken returns the predicted time to the first token.
func (d Decision) FirstToken() time.Duration { return d.Wait + d.Prefill }

// Finish returns the predicted time to the whole answer.
func (d Decision) Finish() time.Duration {
	return d.FirstToken() + time.Duration(d.Generate)*d.Step
}

// IsBaseline reports whether the policy is one of those that ours is measured against.
// They bring neither an order of calls by program, nor holds, nor admission by patience.
func IsBaseline(policy string) bool {
	switch policy {
	case PolicyRoundRobin, PolicyLeastLoad, PolicyStickyHash:
		return true
	}
	return false
}

// NewPolicy returns the policy that the preset names; an empty name means "cost".
// The seed feeds the policies that draw. It returns ErrUnknownPolicy.
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

// maxSeedOffset bounds the first turn of round robin.
const maxSeedOffset = 1 << 16

// usable reports whether a candidate may take a call of the model at all. A maxQueue
// of 0 sets no bound.
func usable(c *Candidate, model string, maxQueue int) bool {
	if c.Load.Draining || c.Excluded {
		return false
	}
	if maxQueue > 0 && c.Load.Queued >= maxQueue {
		return false
	}
	return serves(&c.Load, model)
}

// serves reports whether the upstream has the model loaded.
func serves(l *structs.Load, model string) bool {
	for _, m := range l.Models {
		if m == model {
			return true
		}
	}
	return false
}
