package routing

import "container/list"

// prefixSet estimates the cache of a model engine, in units of prompt parts. The least
// recently used parts are evicted first; the last part left is never evicted. limit and size
// are in tokens; a limit of 0 means no limit.
type prefixSet struct {
	limit int64
	size  int64
	order *list.List // of PromptPart, the most recently used in front
	byID  map[uint64]*list.Element
}

func newPrefixSet(limit int64) *prefixSet {
	return &prefixSet{limit: limit, order: list.New(), byID: map[uint64]*list.Element{}}
}

// cached returns the number of tokens in the leading parts of the prompt that are cached.
// A part counts only if all parts before it are cached. The last part of a conversation's prompt
// keeps its ID while it grows, so that of a part which has grown only the earlier length counts.
func (s *prefixSet) cached(prompt []PromptPart) int {
	tokens := 0
	for _, p := range prompt {
		e, ok := s.byID[p.ID]
		if !ok {
			break
		}
		known := e.Value.(PromptPart).Tokens
		tokens += min(known, p.Tokens)
		if known < p.Tokens {
			break
		}
	}
	return tokens
}

// growth returns by how many tokens the last part of the prompt has grown since it was added. It
// returns false if the part is unknown or has not grown.
func (s *prefixSet) growth(prompt []PromptPart) (int, bool) {
	if len(prompt) == 0 {
		return 0, false
	}
	last := prompt[len(prompt)-1]
	e, ok := s.byID[last.ID]
	if !ok {
		return 0, false
	}
	grown := last.Tokens - e.Value.(PromptPart).Tokens
	return grown, grown > 0
}

// add marks the parts of a prompt as used most recently. It adds them in reverse order, so
// that a part is evicted only after the parts that follow it, as in an engine.
func (s *prefixSet) add(prompt []PromptPart) {
	for i := len(prompt) - 1; i >= 0; i-- {
		p := prompt[i]
		if e := s.byID[p.ID]; e != nil {
			s.size += int64(p.Tokens - e.Value.(PromptPart).Tokens)
			e.Value = p
			s.order.MoveToFront(e)
			continue
		}
		s.byID[p.ID] = s.order.PushFront(p)
		s.size += int64(p.Tokens)
	}
	for s.limit > 0 && s.size > s.limit && s.order.Len() > 1 {
		last := s.order.Back()
		p := s.order.Remove(last).(PromptPart)
		delete(s.byID, p.ID)
		s.size -= int64(p.Tokens)
	}
}

// PrefixCache is a model engine's cache in units of prompt parts, for simulated engines.
type PrefixCache struct{ set *prefixSet }

// NewPrefixCache returns an empty cache of limit tokens.
func NewPrefixCache(limit int64) *PrefixCache { return &PrefixCache{newPrefixSet(limit)} }

// Cached returns the number of tokens in the leading parts of the prompt that are cached.
func (c *PrefixCache) Cached(prompt []PromptPart) int { return c.set.cached(prompt) }

// Add marks the parts of a prompt as used most recently.
func (c *PrefixCache) Add(prompt []PromptPart) { c.set.add(prompt) }
