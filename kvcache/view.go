package kvcache

import (
	"sort"
	"time"
)

// Defaults of ViewConfig.
const (
	defaultMaxAge    = 30 * time.Second
	defaultMaxBlocks = 1 << 16
)

// ViewConfig bounds what a View believes; zero fields take the defaults.
type ViewConfig struct {
	// MaxAge bounds belief without confirmation; 30 s by default.
	MaxAge time.Duration
	// MaxBlocks bounds the blocks that the view stores; 65,536 by default.
	MaxBlocks int
}

// View is what an entry believes that one engine caches. It follows events that come
// late, twice, out of order and with gaps, and asks for a snapshot when it has lost
// track. Blocks that own calls are known to have left there are believed before any
// event tells of them. A View only ever guesses: the engine's count of cached tokens
// is the truth.
type View struct {
	cfg         ViewConfig
	incarnation string
	sequence    uint64
	synced      bool
	confirmed   time.Time
	known       map[uint64]struct{}
	expected    map[uint64]struct{}
	fading      map[uint64]struct{}
	turned      time.Time
}

// NewView returns a view that believes nothing and asks for a snapshot.
func NewView(cfg ViewConfig) *View {
	if cfg.MaxAge <= 0 {
		cfg.MaxAge = defaultMaxAge
	}
	if cfg.MaxBlocks <= 0 {
		cfg.MaxBlocks = defaultMaxBlocks
	}
	return &View{
		cfg:      cfg,
		known:    make(map[uint64]struct{}),
		expected: make(map[uint64]struct{}),
	}
}

// Apply takes one event. It reports whether the view needs a snapshot afterwards.
// An event that was already taken is ignored.
func (v *View) Apply(now time.Time, e Event) bool {
	if e.Incarnation != v.incarnation {
		v.restart(e.Incarnation)
	}
	if e.Sequence < v.sequence || (e.Sequence == v.sequence && !e.Empty()) {
		return v.NeedsSnapshot(now)
	}
	if v.followsOn(e) {
		v.confirmed = now
	} else {
		v.synced = false
	}
	v.sequence = e.Sequence
	v.change(e)
	return v.NeedsSnapshot(now)
}

// followsOn reports whether e is the next event, or a sign of life that misses none.
func (v *View) followsOn(e Event) bool {
	if !v.synced {
		return false
	}
	if e.Empty() {
		return e.Sequence == v.sequence
	}
	return e.Sequence == v.sequence+1
}

// Resync replaces all belief by a snapshot. One older than the last event is ignored.
func (v *View) Resync(now time.Time, s Snapshot) {
	if s.Incarnation != v.incarnation {
		v.restart(s.Incarnation)
	}
	if s.Sequence < v.sequence {
		return
	}
	clear(v.known)
	v.change(Event{Stored: s.Blocks})
	v.sequence = s.Sequence
	v.synced = true
	v.confirmed = now
	v.forgetExpected()
}

// Expect records that an own call has left blocks in the engine's cache.
func (v *View) Expect(now time.Time, blocks []uint64) {
	v.age(now)
	for _, b := range blocks {
		if len(v.expected) >= v.cfg.MaxBlocks {
			return
		}
		v.expected[b] = struct{}{}
	}
}

// Truncate records that the engine cached only the first n of blocks, as its answer said.
func (v *View) Truncate(blocks []uint64, n int) {
	for _, b := range blocks[min(n, len(blocks)):] {
		v.remove(b)
	}
}

// Cached returns how many leading blocks the engine is believed to cache. Engines
// evict children before parents, so it searches by halves; where a lost event left
// a hole the answer may be off.
func (v *View) Cached(now time.Time, blocks []uint64) int {
	v.age(now)
	fresh := v.fresh(now)
	return sort.Search(len(blocks), func(i int) bool {
		return !v.believes(blocks[i], fresh)
	})
}

// NeedsSnapshot reports whether events were lost, or none confirmed the view for half
// of the age bound.
func (v *View) NeedsSnapshot(now time.Time) bool {
	return !v.synced || now.Sub(v.confirmed) > v.cfg.MaxAge/2
}

// Len returns the number of blocks stored.
func (v *View) Len() int { return len(v.known) + len(v.expected) + len(v.fading) }

func (v *View) believes(block uint64, fresh bool) bool {
	if _, ok := v.known[block]; ok && fresh {
		return true
	}
	if _, ok := v.expected[block]; ok {
		return true
	}
	_, ok := v.fading[block]
	return ok
}

// fresh reports whether the blocks known by events are within the age bound.
func (v *View) fresh(now time.Time) bool { return now.Sub(v.confirmed) <= v.cfg.MaxAge }

// age drops expectations in two generations. A generation is believed for a third of
// the age bound at least, and for no longer than the bound.
func (v *View) age(now time.Time) {
	third := v.cfg.MaxAge / 3
	since := now.Sub(v.turned)
	if since < third {
		return
	}
	if since >= 2*third {
		clear(v.expected)
	}
	v.turned = now
	v.fading, v.expected = v.expected, v.fading
	if v.expected == nil {
		v.expected = make(map[uint64]struct{})
	}
	clear(v.expected)
}

func (v *View) change(e Event) {
	for _, b := range e.Removed {
		v.remove(b)
	}
	for _, b := range e.Stored {
		if len(v.known) >= v.cfg.MaxBlocks {
			return
		}
		v.known[b] = struct{}{}
	}
}

func (v *View) remove(block uint64) {
	delete(v.known, block)
	delete(v.expected, block)
	delete(v.fading, block)
}

// restart forgets all that a former incarnation of the engine cached.
func (v *View) restart(incarnation string) {
	v.incarnation = incarnation
	v.sequence = 0
	v.synced = false
	clear(v.known)
	v.forgetExpected()
}

func (v *View) forgetExpected() {
	clear(v.expected)
	clear(v.fading)
}
