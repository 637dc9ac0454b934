package kvcache

import (
	"cmp"
	"slices"

	"github.com/buckthornroute/buckthornroute/structs"
)

// none marks the end of a list of slots.
const none = int32(-1)

// slot is one cached block. Blocks that no program holds are linked by last use.
type slot struct {
	block      uint64
	prev, next int32
	holds      int32
}

// Tracker is a prefix cache of limited size: least recently used blocks leave first,
// children before their parents, and blocks that a program holds stay. An engine is
// modelled by one, and a side mirrors its engine with one.
type Tracker struct {
	limit       int
	incarnation string
	sequence    uint64
	index       map[uint64]int32
	slots       []slot
	free        []int32
	newest      int32
	oldest      int32
	held        int
	programs    map[structs.ProgramID][]uint64
}

// NewTracker returns an empty cache of limit blocks.
func NewTracker(incarnation string, limit int) *Tracker {
	return &Tracker{
		limit:       limit,
		incarnation: incarnation,
		index:       make(map[uint64]int32),
		newest:      none,
		oldest:      none,
		programs:    make(map[structs.ProgramID][]uint64),
	}
}

// Cached returns how many leading blocks are cached.
func (t *Tracker) Cached(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := t.index[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// Use marks blocks as just used, stores those that are missing and evicts others to
// make room. Blocks beyond the room that holds leave are not stored. It returns how
// many leading blocks were cached before, and the change for those who follow it.
func (t *Tracker) Use(blocks []uint64) (int, Event) {
	cached := t.Cached(blocks)
	e := t.nextEvent()
	n := min(len(blocks), t.room(blocks))
	for i := n - 1; i >= 0; i-- {
		if t.use(blocks[i]) {
			e.Stored = append(e.Stored, blocks[i])
		}
	}
	slices.Reverse(e.Stored)
	e.Removed = t.evict()
	return cached, t.publish(e)
}

// Hold keeps the cached part of blocks until Release and returns its length in
// blocks. A second hold of a program replaces the first.
func (t *Tracker) Hold(program structs.ProgramID, blocks []uint64) int {
	t.Release(program)
	n := t.Cached(blocks)
	if n == 0 {
		return 0
	}
	for _, b := range blocks[:n] {
		t.pin(b)
	}
	t.programs[program] = slices.Clone(blocks[:n])
	return n
}

// Release ends the hold of a program, and reports whether there was one.
func (t *Tracker) Release(program structs.ProgramID) bool {
	blocks, ok := t.programs[program]
	if !ok {
		return false
	}
	delete(t.programs, program)
	for _, b := range slices.Backward(blocks) {
		t.unpin(b)
	}
	return true
}

// Holds returns the programs that hold blocks, sorted.
func (t *Tracker) Holds() []structs.ProgramID {
	out := make([]structs.ProgramID, 0, len(t.programs))
	for p := range t.programs {
		out = append(out, p)
	}
	slices.Sort(out)
	return out
}

// Drop empties the cache but for what is held, and returns the change.
func (t *Tracker) Drop() Event {
	e := t.nextEvent()
	for t.oldest != none {
		e.Removed = append(e.Removed, t.removeOldest())
	}
	return t.publish(e)
}

// Snapshot returns the whole content, sorted by hash.
func (t *Tracker) Snapshot() Snapshot {
	blocks := make([]uint64, 0, len(t.index))
	for b := range t.index {
		blocks = append(blocks, b)
	}
	slices.SortFunc(blocks, cmp.Compare)
	return Snapshot{Incarnation: t.incarnation, Sequence: t.sequence, Blocks: blocks}
}

// Beat returns a sign of life that repeats the last sequence number.
func (t *Tracker) Beat() Event {
	return Event{Incarnation: t.incarnation, Sequence: t.sequence}
}

// Len returns the number of cached blocks, Held of those that programs hold, Limit
// the most that fit.
func (t *Tracker) Len() int { return len(t.index) }

// Held returns the number of blocks that programs hold.
func (t *Tracker) Held() int { return t.held }

// Limit returns the most blocks that fit.
func (t *Tracker) Limit() int { return t.limit }

// room returns how many of blocks can be cached beside all that others hold.
func (t *Tracker) room(blocks []uint64) int {
	own := 0
	for _, b := range blocks {
		if i, ok := t.index[b]; ok && t.slots[i].holds > 0 {
			own++
		}
	}
	return max(0, t.limit-t.held+own)
}

// use moves a block to the newest place and reports whether it was missing.
func (t *Tracker) use(block uint64) bool {
	i, ok := t.index[block]
	if !ok {
		i = t.take(block)
		t.pushNewest(i)
		return true
	}
	if t.slots[i].holds == 0 {
		t.unlink(i)
		t.pushNewest(i)
	}
	return false
}

func (t *Tracker) evict() []uint64 {
	var removed []uint64
	for len(t.index) > t.limit && t.oldest != none {
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

func (t *Tracker) pin(block uint64) {
	i := t.index[block]
	if t.slots[i].holds == 0 {
		t.unlink(i)
		t.held++
	}
	t.slots[i].holds++
}

func (t *Tracker) unpin(block uint64) {
	i := t.index[block]
	t.slots[i].holds--
	if t.slots[i].holds == 0 {
		t.held--
		t.pushNewest(i)
	}
}

// take returns a slot for a new block.
func (t *Tracker) take(block uint64) int32 {
	var i int32
	if n := len(t.free); n > 0 {
		i = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		t.slots = append(t.slots, slot{})
		i = int32(len(t.slots) - 1)
	}
	t.slots[i] = slot{block: block, prev: none, next: none}
	t.index[block] = i
	return i
}

func (t *Tracker) pushNewest(i int32) {
	s := &t.slots[i]
	s.prev, s.next = none, t.newest
	if t.newest != none {
		t.slots[t.newest].prev = i
	}
	t.newest = i
	if t.oldest == none {
		t.oldest = i
	}
}

func (t *Tracker) unlink(i int32) {
	s := t.slots[i]
	if s.prev != none {
		t.slots[s.prev].next = s.next
	} else {
		t.newest = s.next
	}
	if s.next != none {
		t.slots[s.next].prev = s.prev
	} else {
		t.oldest = s.prev
	}
}

func (t *Tracker) nextEvent() Event {
	return Event{Incarnation: t.incarnation, Sequence: t.sequence + 1}
}

// publish gives the event its number, or turns it into a sign of life when it is empty.
func (t *Tracker) publish(e Event) Event {
	if e.Empty() {
		return t.Beat()
	}
	t.sequence = e.Sequence
	return e
}
