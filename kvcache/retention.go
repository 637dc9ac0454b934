package kvcache

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

const (
	// pauseWeight is the weight of a new pause in the moving average of a tool's pauses,
	// between 0 and 1.
	pauseWeight = 0.2
	// maxTools is the maximum number of tools with an average of their own; all further
	// tools share one.
	maxTools = 1024
	// defaultPause is the predicted pause before any pause has been observed.
	defaultPause = time.Second
	// maxHeldShare is the share of an engine's KV cache that holds may occupy.
	maxHeldShare = 0.5
	// holdMargin is the ratio of the maximum duration of a hold to the predicted pause.
	holdMargin = 3
)

// Retention is how a conversation's cache is treated while a tool runs.
type Retention string

// Values of Retention.
const (
	// RetentionHold holds the cache until the tool returns or the hold expires.
	RetentionHold Retention = "hold"
	// RetentionNone leaves the cache to the engine's eviction. Its text is "loose".
	RetentionNone Retention = "loose"
	// RetentionExport moves the cache to another engine that has room.
	RetentionExport Retention = "export"
)

// Pause describes one tool pause, as the input of RetentionPolicy.Decide.
type Pause struct {
	Tool string
	// Tokens is the length of the cached conversation.
	Tokens int64
	// Load is the load of the engine that caches the conversation. Only KVLimitTokens and
	// PrefillRate are used.
	Load structs.Load
	// HeldTokens is the number of tokens that the engine holds for programs already.
	HeldTokens int64
	// EvictionAge is how long an unused block stays cached; zero means that the engine
	// evicts nothing.
	EvictionAge time.Duration
	// RecomputeShare is the share of evicted tokens that are recomputed later, 0 to 1.
	RecomputeShare float64
	// HoldMax is the longest hold that the preset allows.
	HoldMax time.Duration
	// Neighbours are the loads of the other engines that serve the model, to which the
	// cache can be exported.
	Neighbours []structs.Load
	// TransferRate is the speed of an export in tokens per second; 0 allows no export.
	TransferRate float64
}

// RetentionDecision is the decision about one pause.
type RetentionDecision struct {
	Retention Retention
	// For is the maximum duration of the hold, after an export that of the hold at
	// Neighbour; 0 for RetentionNone.
	For time.Duration
	// Neighbour is the engine to which the cache is exported.
	Neighbour structs.UpstreamID
}

// RetentionPolicy predicts the pauses of tools from earlier ones and decides how caches are
// retained meanwhile. It is not safe for concurrent use.
type RetentionPolicy struct {
	// meanPauses holds the moving averages of up to maxTools tools. otherMeanPause is the average of
	// all further tools, and the prediction for a tool without an observed pause.
	meanPauses     map[string]time.Duration
	otherMeanPause time.Duration
}

// NewRetentionPolicy returns a RetentionPolicy without observations.
func NewRetentionPolicy() *RetentionPolicy {
	return &RetentionPolicy{meanPauses: make(map[string]time.Duration), otherMeanPause: defaultPause}
}

// Observe records the duration of one pause of a tool. The first pause of a tool becomes its average.
func (r *RetentionPolicy) Observe(tool string, pause time.Duration) {
	mean, ok := r.meanPauses[tool]
	switch {
	case ok:
		r.meanPauses[tool] = movingAverage(mean, pause)
	case len(r.meanPauses) < maxTools:
		r.meanPauses[tool] = pause
	default:
		r.otherMeanPause = movingAverage(r.otherMeanPause, pause)
	}
}

// Predict returns the predicted duration of a pause of the tool: the average of its earlier pauses,
// or otherMeanPause if the tool has no average of its own.
func (r *RetentionPolicy) Predict(tool string) time.Duration {
	if mean, ok := r.meanPauses[tool]; ok {
		return mean
	}
	return r.otherMeanPause
}

// Decide compares the cost of holding the cache over the predicted pause with the cost of
// recomputing it, both in recomputed tokens. One held token displaces pause/EvictionAge other
// tokens, and the share RecomputeShare of these is recomputed. Decide holds the cache if that
// costs less and the engine has room for more holds. Otherwise it exports the cache if a
// neighbour has room and the transfer is fast enough, and else leaves it to eviction. It always
// leaves a cache to eviction if it is shorter than one block, or if the predicted pause is
// longer than HoldMax.
func (r *RetentionPolicy) Decide(p Pause) RetentionDecision {
	pause := r.Predict(p.Tool)
	if p.Tokens < BlockTokens || pause > p.HoldMax {
		return RetentionDecision{Retention: RetentionNone}
	}
	if holdCost(p, pause) >= float64(p.Tokens) {
		return r.export(p, pause)
	}
	if float64(p.HeldTokens+p.Tokens) > maxHeldShare*float64(p.Load.KVLimitTokens) {
		return r.export(p, pause)
	}
	return RetentionDecision{Retention: RetentionHold, For: min(holdMargin*pause, p.HoldMax)}
}

// export exports the cache to the neighbour with the most free tokens, if the transfer takes
// no longer than the pause and less time than recomputing the cache. Otherwise, or if no
// neighbour has room, it leaves the cache to eviction.
func (r *RetentionPolicy) export(p Pause, pause time.Duration) RetentionDecision {
	none := RetentionDecision{Retention: RetentionNone}
	if p.TransferRate <= 0 || p.TransferRate <= p.Load.PrefillRate {
		return none
	}
	if float64(p.Tokens)/p.TransferRate > pause.Seconds() {
		return none
	}
	var best *structs.Load
	for i := range p.Neighbours {
		n := &p.Neighbours[i]
		if n.Draining || freeTokens(n) < p.Tokens {
			continue
		}
		if best == nil || freeTokens(n) > freeTokens(best) {
			best = n
		}
	}
	if best == nil {
		return none
	}
	return RetentionDecision{Retention: RetentionExport, For: min(holdMargin*pause, p.HoldMax), Neighbour: best.Upstream}
}

func freeTokens(l *structs.Load) int64 { return l.KVLimitTokens - l.KVUsedTokens }

// holdCost returns the number of tokens that other programs recompute because of the hold.
func holdCost(p Pause, pause time.Duration) float64 {
	if p.EvictionAge <= 0 {
		return 0
	}
	return float64(p.Tokens) * p.RecomputeShare * pause.Seconds() / p.EvictionAge.Seconds()
}

func movingAverage(mean, observed time.Duration) time.Duration {
	return mean + time.Duration(pauseWeight*float64(observed-mean))
}
