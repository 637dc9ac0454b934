package workload

import "sync"

// blockTokens is the length of a cache block; it equals kvcache.BlockTokens.
const blockTokens = 256

// Ledger counts the prompt tokens of all engines of a run, those that were cached, and those
// that were computed again although some engine had computed them before. Tokens are computed
// again when they are cached only at another engine or were evicted before reuse. A Ledger is
// safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	seen       map[uint64]struct{}
	prompt     int64
	cached     int64
	recomputed int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{seen: make(map[uint64]struct{})} }

// Add counts one call. prompt has the block hashes of its prompt, conversation those of the
// prompt with the answer. promptTokens is the length of the prompt, cachedTokens that of its
// cached part.
func (l *Ledger) Add(prompt, conversation []uint64, promptTokens, cachedTokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prompt += int64(promptTokens)
	l.cached += int64(cachedTokens)
	for i, b := range prompt {
		if i*blockTokens < cachedTokens {
			continue
		}
		if _, ok := l.seen[b]; ok {
			l.recomputed += blockTokens
		}
	}
	for _, b := range conversation {
		l.seen[b] = struct{}{}
	}
}

// CacheCounts has the counts of a Ledger in tokens.
type CacheCounts struct {
	Prompt     int64 `json:"prompt_tokens"`
	Cached     int64 `json:"cached_tokens"`
	Recomputed int64 `json:"recomputed_tokens"`
}

// WastedRatio returns the recomputed tokens as a share of the prompt tokens.
func (c CacheCounts) WastedRatio() float64 {
	if c.Prompt == 0 {
		return 0
	}
	return float64(c.Recomputed) / float64(c.Prompt)
}

// Sum returns the counts so far.
func (l *Ledger) Sum() CacheCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return CacheCounts{Prompt: l.prompt, Cached: l.cached, Recomputed: l.recomputed}
}
