package kvcache

import (
	"cmp"
	"slices"

	"github.com/buckthornroute/buckthornroute/structs"
)

// noSlot marks the end of the list of slots.
const noSlot = int32(-1)

// slot is one cached block. The blocks that no program holds form a list in the order of
// their last use, which an index of noSlot ends.
type slot struct {
	block uint64
	// prev is the index of the slot that was used after this one, next that of the slot that
	// was used before it.
	prev, next int32
	// holds is the number of programs that hold the block.
	holds int32
}

// Tracker is the prefix cache of one engine, with a limited number of blocks. It evicts the
// least recently used blocks first, children before their parents, and never a block that a
// program holds. It can serve as the model of an engine, or in the process beside an engine as
// a copy of the engine's cache. It is not safe for concurrent use.
type Tracker struct {
	limit       int
	incarnation string
	// sequence is the number of the last event.
	sequence uint64
	// index maps each cached block to its index in slots; free holds the unused indices.
	index map[uint64]int32
	slots []slot
	free  []int32
	// newest and oldest are the ends of the list of blocks that no program holds.
	newest int32
	oldest int32
	// held is the number of blocks that at least one program holds; heldBlocks holds the blocks
	// of each program's hold.
	held       int
	heldBlocks map[structs.ProgramID][]uint64
}

// NewTracker returns an empty cache with room for limit blocks.
func NewTracker(incarnation string, limit int) *Tracker {
	return &Tracker{
		limit:       limit,
		incarnation: incarnation,
		index:       make(map[uint64]int32),
		newest:      noSlot,
		oldest:      noSlot,
		heldBlocks:  make(map[structs.ProgramID][]uint64),
	}
}

// Cached returns the number of leading blocks that are cached.
func (t *Tracker) Cached(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := t.index[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// Use marks blocks as most recently used, stores the missing ones and evicts others to make
// room. Trailing blocks that do not fit beside the held blocks are not stored. It returns the
// number of leading blocks that were cached before, and the change as an event for Views.
func (t *Tracker) Use(blocks []uint64) (int, Event) {
	cached := t.Cached(blocks)
	e := t.nextEvent()
	n := min(len(blocks), t.capacityFor(blocks))
	// From the last block to the first, so that a parent is more recently used than its
	// children and is evicted after them.
	for i := n - 1; i >= 0; i-- {
		if t.touch(blocks[i]) {
			e.Stored = append(e.Stored, blocks[i])
		}
	}
	slices.Reverse(e.Stored)
	e.Removed = t.evict()
	return cached, t.numberEvent(e)
}

// Hold protects the cached leading part of blocks from eviction until Release and returns
// its length in blocks. A second hold of a program replaces the first, also if it finds no
// cached block.
func (t *Tracker) Hold(program structs.ProgramID, blocks []uint64) int {
	t.Release(program)
	n := t.Cached(blocks)
	if n == 0 {
		return 0
	}
	for _, b := range blocks[:n] {
		t.addHold(b)
	}
	t.heldBlocks[program] = slices.Clone(blocks[:n])
	return n
}

// Release ends the hold of a program and marks its blocks as most recently used, unless
// another program holds them. It reports whether there was a hold.
func (t *Tracker) Release(program structs.ProgramID) bool {
	blocks, ok := t.heldBlocks[program]
	if !ok {
		return false
	}
	delete(t.heldBlocks, program)
	for _, b := range slices.Backward(blocks) {
		t.removeHold(b)
	}
	return true
}

// Holds returns the programs that hold blocks, sorted.
func (t *Tracker) Holds() []structs.ProgramID {
	out := make([]structs.ProgramID, 0, len(t.heldBlocks))
	for p := range t.heldBlocks {
		out = append(out, p)
	}
	slices.Sort(out)
	return out
}

// EvictUnheld evicts all blocks that no program holds, and returns the change.
func (t *Tracker) EvictUnheld() Event {
	e := t.nextEvent()
	for t.oldest != noSlot {
		e.Removed = append(e.Removed, t.removeOldest())
	}
	return t.numberEvent(e)
}

// Snapshot returns the complete content, sorted by hash.
func (t *Tracker) Snapshot() Snapshot {
	blocks := make([]uint64, 0, len(t.index))
	for b := range t.index {
		blocks = append(blocks, b)
	}
	slices.SortFunc(blocks, cmp.Compare)
	return Snapshot{Incarnation: t.incarnation, Sequence: t.sequence, Blocks: blocks}
}

// Heartbeat returns an event without blocks, with the last sequence number.
func (t *Tracker) Heartbeat() Event {
	return Event{Incarnation: t.incarnation, Sequence: t.sequence}
}

// Len returns the number of cached blocks.
func (t *Tracker) Len() int { return len(t.index) }

// Held returns the number of blocks that programs hold. A block that several programs hold
// counts once.
func (t *Tracker) Held() int { return t.held }

// Limit returns the maximum number of cached blocks.
func (t *Tracker) Limit() int { return t.limit }

// capacityFor returns how many of blocks can be cached beside the other held blocks.
func (t *Tracker) capacityFor(blocks []uint64) int {
	own := 0
	for _, b := range blocks {
		if i, ok := t.index[b]; ok && t.slots[i].holds > 0 {
			own++
		}
	}
	return max(0, t.limit-t.held+own)
}

// touch marks a block as most recently used and stores it if it is missing. It reports
// whether it was missing.
func (t *Tracker) touch(block uint64) bool {
	i, ok := t.index[block]
	if !ok {
		i = t.allocate(block)
		t.pushNewest(i)
		return true
	}
	if t.slots[i].holds == 0 {
		t.unlink(i)
		t.pushNewest(i)
	}
	return false
}

// evict removes the least recently used blocks that no program holds, until the cache is within
// its limit or only held blocks are left, and returns them.
func (t *Tracker) evict() []uint64 {
	var removed []uint64
	for len(t.index) > t.limit && t.oldest != noSlot {
		removed = append(removed, t.removeOldest())
	}
	return removed
}

func (t *Tracker) removeOldest() uint64 {
	i := t.oldest
	block := t.slots[i].block
	t.unlink(i)
	delete(t.index, block)
	t.free = append(t.free, i)
	return block
}

// addHold adds a program to those that hold a cached block. A held block is not in the list.
func (t *Tracker) addHold(block uint64) {
	i := t.index[block]
	if t.slots[i].holds == 0 {
		t.unlink(i)
		t.held++
	}
	t.slots[i].holds++
}

// removeHold undoes addHold for one program.
func (t *Tracker) removeHold(block uint64) {
	i := t.index[block]
	t.slots[i].holds--
	if t.slots[i].holds == 0 {
		t.held--
		t.pushNewest(i)
	}
}

// allocate returns the index of a slot for a new block.
func (t *Tracker) allocate(block uint64) int32 {
	var i int32
	if n := len(t.free); n > 0 {
		i = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		t.slots = append(t.slots, slot{})
		i = int32(len(t.slots) - 1)
	}
	t.slots[i] = slot{block: block, prev: noSlot, next: noSlot}
	t.index[block] = i
	return i
}

// pushNewest adds a slot to the list as the most recently used.
func (t *Tracker) pushNewest(i int32) {
	s := &t.slots[i]
	s.prev, s.next = noSlot, t.newest
	if t.newest != noSlot {
		t.slots[t.newest].prev = i
	}
	t.newest = i
	if t.oldest == noSlot {
		t.oldest = i
	}
}

// unlink removes a slot from the list.
func (t *Tracker) unlink(i int32) {
	s := t.slots[i]
	if s.prev != noSlot {
		t.slots[s.prev].next = s.next
	} else {
		t.newest = s.next
	}
	if s.next != noSlot {
		t.slots[s.next].prev = s.prev
	} else {
		t.oldest = s.prev
	}
}

// nextEvent returns an event without blocks and with the next sequence number. The number is
// not assigned before numberEvent.
func (t *Tracker) nextEvent() Event {
	return Event{Incarnation: t.incarnation, Sequence: t.sequence + 1}
}

// numberEvent assigns the sequence number of an event from nextEvent. It returns a heartbeat
// instead if the event is empty.
func (t *Tracker) numberEvent(e Event) Event {
	if e.Empty() {
		return t.Heartbeat()
	}
	t.sequence = e.Sequence
	return e
}
