package workload

import "sync"

// blockTokens is the length of a cache block; it equals kvcache.BlockTokens.
const blockTokens = 256

// Ledger counts prompt tokens over all engines of a run, and those of them that were
// computed although some engine had computed them before: they were cached elsewhere,
// or evicted before reuse. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	seen       map[uint64]struct{}
	prompt     int64
	cached     int64
	recomputed int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{seen: make(map[uint64]struct{})} }

// Add counts one call: the block chains of its prompt and of prompt and answer, and
// the length of the prompt and of its cached part in tokens.
func (l *Ledger) Add(prompt, whole []uint64, promptTokens, cachedTokens int) {
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
	for _, b := range whole {
		l.seen[b] = struct{}{}
	}
}

// CacheCounts is the ledger's sum in tokens.
type CacheCounts struct {
	Prompt     int64 `json:"prompt_tokens"`
	Cached     int64 `json:"cached_tokens"`
	Recomputed int64 `json:"recomputed_tokens"`
}

// Wasted returns the recomputed tokens as a share of the prompt tokens.
func (c CacheCounts) Wasted() float64 {
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
