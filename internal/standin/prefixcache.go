package standin

import (
	"container/list"
	"slices"
	"sort"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
)

// prefixCache is the KV cache of an engine. Sizes are in blocks. Blocks in use by a
// running call or a hold are pinned; the others are evicted in LRU order.
// Not safe for concurrent use.
type prefixCache struct {
	capacity  int
	entries   map[uint64]*cacheEntry
	lru       *list.List // of *cacheEntry that are not pinned; front is the most recent
	pinned    int        // blocks with at least 1 pin
	reserved  int        // blocks that running calls may still store
	holds     map[structs.ProgramID][]uint64
	holdOrder []structs.ProgramID // programs with holds, oldest first
	// onChange is called with the blocks that were stored or removed.
	onChange func(stored, removed []uint64)
}

type cacheEntry struct {
	hash uint64
	pins int           // running calls and holds that use the block
	elem *list.Element // the place in lru; nil while pinned
}

func newPrefixCache(capacity int, onChange func(stored, removed []uint64)) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		entries:  make(map[uint64]*cacheEntry),
		lru:      list.New(),
		holds:    make(map[structs.ProgramID][]uint64),
		onChange: onChange,
	}
}

// match returns how many leading blocks of the chain are cached.
func (c *prefixCache) match(chain []uint64) int {
	for i, hash := range chain {
		if c.entries[hash] == nil {
			return i
		}
	}
	return len(chain)
}

// pin protects the blocks from eviction; all of them must be cached.
func (c *prefixCache) pin(chain []uint64) {
	for _, hash := range chain {
		e := c.entries[hash]
		if e.pins == 0 {
			c.lru.Remove(e.elem)
			e.elem = nil
			c.pinned++
		}
		e.pins++
	}
}

// unpin removes one pin from each block. Within a chain, the last block becomes the least
// recently used one, so that chains are evicted from their ends.
func (c *prefixCache) unpin(chain []uint64) {
	for _, hash := range slices.Backward(chain) {
		e := c.entries[hash]
		e.pins--
		if e.pins == 0 {
			e.elem = c.lru.PushFront(e)
			c.pinned--
		}
	}
}

// fits reports whether n blocks can be reserved in addition to the pinned and reserved ones.
func (c *prefixCache) fits(n int) bool { return c.pinned+c.reserved+n <= c.capacity }

// reserve reserves n blocks and evicts as many as necessary; fits(n) must be true.
func (c *prefixCache) reserve(n int) {
	c.reserved += n
	c.evict(0)
}

// unreserve releases n reserved blocks.
func (c *prefixCache) unreserve(n int) { c.reserved -= n }

// store adds the blocks of the chain that are not cached, in order, until the cache is
// full. It returns how many leading blocks of the chain are cached now.
func (c *prefixCache) store(chain []uint64) int {
	var stored []uint64
	// The blocks of the chain are pinned until the end, so that evict does not remove them.
	cached := c.match(chain)
	c.pin(chain[:cached])
	for _, hash := range chain[cached:] {
		if c.entries[hash] != nil {
			c.pin([]uint64{hash})
			cached++
			continue
		}
		if !c.evict(1) {
			break
		}
		c.entries[hash] = &cacheEntry{hash: hash, pins: 1}
		c.pinned++
		cached++
		stored = append(stored, hash)
	}
	c.unpin(chain[:cached])
	if len(stored) > 0 {
		c.onChange(stored, nil)
	}
	return cached
}

// evict evicts blocks until n more fit beside the cached and reserved ones; it reports
// whether they fit.
func (c *prefixCache) evict(n int) bool {
	var removed []uint64
	for len(c.entries)+c.reserved+n > c.capacity {
		oldest := c.lru.Back()
		if oldest == nil {
			break
		}
		hash := oldest.Value.(*cacheEntry).hash
		c.lru.Remove(oldest)
		delete(c.entries, hash)
		removed = append(removed, hash)
	}
	if len(removed) > 0 {
		c.onChange(nil, removed)
	}
	return len(c.entries)+c.reserved+n <= c.capacity
}

// hold pins the cached leading blocks of the chain for a program, replacing its previous
// hold. It returns the number of pinned blocks.
func (c *prefixCache) hold(program structs.ProgramID, chain []uint64) int {
	c.dropHold(program)
	cached := c.match(chain)
	held := slices.Clone(chain[:cached])
	c.pin(held)
	c.holds[program] = held
	c.holdOrder = append(c.holdOrder, program)
	return cached
}

// dropHold ends a program's hold; it reports whether there was one.
func (c *prefixCache) dropHold(program structs.ProgramID) bool {
	held, exists := c.holds[program]
	if !exists {
		return false
	}
	c.unpin(held)
	delete(c.holds, program)
	c.holdOrder = slices.DeleteFunc(c.holdOrder, func(p structs.ProgramID) bool { return p == program })
	return true
}

// dropOldestHold ends the oldest hold; it reports whether there was one.
func (c *prefixCache) dropOldestHold() bool {
	return len(c.holdOrder) > 0 && c.dropHold(c.holdOrder[0])
}

// listHolds returns the holds, sorted by program.
func (c *prefixCache) listHolds() []engine.Hold {
	out := make([]engine.Hold, 0, len(c.holds))
	for program, held := range c.holds {
		out = append(out, engine.Hold{Program: program, Tokens: int64(len(held)) * kvcache.BlockTokens})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Program < out[j].Program })
	return out
}

// hashes returns all cached blocks, sorted.
func (c *prefixCache) hashes() []uint64 {
	out := make([]uint64, 0, len(c.entries))
	for hash := range c.entries {
		out = append(out, hash)
	}
	slices.Sort(out)
	return out
}
