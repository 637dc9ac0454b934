package kvcache

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

const (
	// pauseShare is the weight of one observed pause in a tool's mean.
	pauseShare = 0.2
	// maxTools bounds the tools whose pauses are learnt; further ones share one mean.
	maxTools = 1024
	// defaultPause is predicted before any pause was seen.
	defaultPause = time.Second
	// maxHeldShare is the part of an engine's memory that holds may take.
	maxHeldShare = 0.5
	// pauseMargin is how much longer than predicted a hold lasts before it lapses.
	pauseMargin = 3
)

// Retention is what to do with a conversation's cache while a tool runs.
type Retention string

// Ways of keeping.
const (
	// RetentionHold holds the cache until the tool returns or the hold lapses.
	RetentionHold Retention = "hold"
	// RetentionNone leaves the cache to the engine's own eviction.
	RetentionNone Retention = "loose"
	// RetentionExport moves the cache to a neighbour that has room.
	RetentionExport Retention = "export"
)

// Pause is one tool pause to decide about.
type Pause struct {
	Tool string
	// Tokens is the length of the conversation's cache.
	Tokens int64
	// Load is the engine's load.
	Load structs.Load
	// HeldTokens are the tokens that programs hold at the engine.
	HeldTokens int64
	// EvictionAge is how long a block that nobody uses survives; zero means that the
	// engine evicts nothing.
	EvictionAge time.Duration
	// RecomputeShare is the share of evicted tokens that are computed again, 0 to 1.
	RecomputeShare float64
	// HoldMax is the preset's bound.
	HoldMax time.Duration
	// Neighbours are other engines that serve the model, with the rate in tokens a
	// second at which cache moves to them.
	Neighbours   []structs.Load
	TransferRate float64
}

// RetentionDecision is the choice for a pause.
type RetentionDecision struct {
	Retention Retention
	// For is how long a hold lasts without renewal.
	For time.Duration
	// Neighbour is where an export goes.
	Neighbour structs.UpstreamID
}

// RetentionPolicy learns how long tools take and decides how to keep caches meanwhile. It is
// not safe for concurrent use.
type RetentionPolicy struct {
	pauses map[string]time.Duration
	others time.Duration
}

// NewRetentionPolicy returns a Keeper that has seen no pause.
func NewRetentionPolicy() *RetentionPolicy {
	return &RetentionPolicy{pauses: make(map[string]time.Duration), others: defaultPause}
}

// Observe records how long a tool took.
func (k *RetentionPolicy) Observe(tool string, pause time.Duration) {
	mean, ok := k.pauses[tool]
	switch {
	case ok:
		k.pauses[tool] = mix(mean, pause)
	case len(k.pauses) < maxTools:
		k.pauses[tool] = pause
	default:
		k.others = mix(k.others, pause)
	}
}

// Predict returns how long the tool is expected to take.
func (k *RetentionPolicy) Predict(tool string) time.Duration {
	if mean, ok := k.pauses[tool]; ok {
		return mean
	}
	return k.others
}

// Decide holds a cache while the price of its memory over the predicted pause stays
// below the price of computing it again, exports it when the engine has no memory
// left to hold, and else leaves it to eviction. Both prices are in tokens computed
// again: a held token pushes out Pause/Turnover others, of which Reuse come back.
func (k *RetentionPolicy) Decide(p Pause) RetentionDecision {
	pause := k.Predict(p.Tool)
	if p.Tokens < BlockTokens || pause > p.HoldMax {
		return RetentionDecision{Retention: RetentionNone}
	}
	if memoryPrice(p, pause) >= float64(p.Tokens) {
		return k.export(p, pause)
	}
	if float64(p.HeldTokens+p.Tokens) > maxHeldShare*float64(p.Load.KVLimitTokens) {
		return k.export(p, pause)
	}
	return RetentionDecision{Retention: RetentionHold, For: min(pauseMargin*pause, p.HoldMax)}
}

// export picks the neighbour with the most free memory, when the move is faster than
// both the pause and computing the cache again.
func (k *RetentionPolicy) export(p Pause, pause time.Duration) RetentionDecision {
	loose := RetentionDecision{Retention: RetentionNone}
	if p.TransferRate <= 0 || p.TransferRate <= p.Load.PrefillRate {
		return loose
	}
	if float64(p.Tokens)/p.TransferRate > pause.Seconds() {
		return loose
	}
	var best *structs.Load
	for i := range p.Neighbours {
		n := &p.Neighbours[i]
		if n.Draining || room(n) < p.Tokens {
			continue
		}
		if best == nil || room(n) > room(best) {
			best = n
		}
	}
	if best == nil {
		return loose
	}
	return RetentionDecision{Retention: RetentionExport, For: min(pauseMargin*pause, p.HoldMax), Neighbour: best.Upstream}
}

func room(l *structs.Load) int64 { return l.KVLimitTokens - l.KVUsedTokens }

// memoryPrice returns the tokens that others compute again because of the hold.
func memoryPrice(p Pause, pause time.Duration) float64 {
	if p.EvictionAge <= 0 {
		return 0
	}
	return float64(p.Tokens) * p.RecomputeShare * pause.Seconds() / p.EvictionAge.Seconds()
}

func mix(mean, observed time.Duration) time.Duration {
	return mean + time.Duration(pauseShare*float64(observed-mean))
}
