package standin

import (
	"container/list"
	"slices"
	"sort"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
)

// prefixCache is the KV cache of an engine in blocks. Blocks in use by a running
// call or a hold are pinned; the others are evicted least recently used first.
// Not safe for concurrent use.
type prefixCache struct {
	capacity  int
	entries   map[uint64]*cacheEntry
	lru       *list.List // of *cacheEntry that are not pinned; front is the most recent
	pinned    int
	reserved  int // blocks that running calls may still store
	holds     map[structs.ProgramID][]uint64
	holdOrder []structs.ProgramID // programs of holds, oldest first
	onChange  func(stored, removed []uint64)
}

type cacheEntry struct {
	hash uint64
	pins int
	elem *list.Element
}

func newPrefixCache(capacity int, changed func(stored, removed []uint64)) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		entries:  make(map[uint64]*cacheEntry),
		lru:      list.New(),
		holds:    make(map[structs.ProgramID][]uint64),
		onChange: changed,
	}
}

// match returns the number of leading blocks of the chain that are cached.
func (c *prefixCache) match(chain []uint64) int {
	for i, hash := range chain {
		if c.entries[hash] == nil {
			return i
		}
	}
	return len(chain)
}

// pin keeps the blocks, all of which are cached, from eviction.
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

// unpin takes back one pin. The last block of a chain becomes the oldest, so
// that chains are evicted from their ends.
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

// fits reports whether n blocks can be reserved beside what is pinned and reserved.
func (c *prefixCache) fits(n int) bool { return c.pinned+c.reserved+n <= c.capacity }

// reserve sets n blocks aside, for which fits has reported true.
func (c *prefixCache) reserve(n int) {
	c.reserved += n
	c.evict(0)
}

// unreserve gives back n reserved blocks.
func (c *prefixCache) unreserve(n int) { c.reserved -= n }

// store adds the blocks that are not cached, as far as there is room, and
// returns the length of the chain that is cached now.
func (c *prefixCache) store(chain []uint64) int {
	var stored []uint64
	known := c.match(chain)
	c.pin(chain[:known])
	for _, hash := range chain[known:] {
		if c.entries[hash] != nil {
			c.pin([]uint64{hash})
			known++
			continue
		}
		if !c.evict(1) {
			break
		}
		c.entries[hash] = &cacheEntry{hash: hash, pins: 1}
		c.pinned++
		known++
		stored = append(stored, hash)
	}
	c.unpin(chain[:known])
	if len(stored) > 0 {
		c.onChange(stored, nil)
	}
	return known
}

// evict makes room for n blocks beside what is cached and reserved; it reports
// whether it could.
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

// hold pins the cached part of the chain for a program, in place of its hold before.
func (c *prefixCache) hold(program structs.ProgramID, chain []uint64) int {
	c.dropHold(program)
	known := c.match(chain)
	held := slices.Clone(chain[:known])
	c.pin(held)
	c.holds[program] = held
	c.holdOrder = append(c.holdOrder, program)
	return known
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

// listHolds returns the holds by program.
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
