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

// ViewConfig holds the limits of a View. Zero fields take the defaults.
type ViewConfig struct {
	// MaxAge is the longest time that reported blocks count as cached without confirmation
	// by an event or snapshot, and that expected blocks count as cached; 30 s by default.
	MaxAge time.Duration
	// MaxBlocks is the maximum number of reported blocks that the view stores, and of
	// expected blocks in each of their 2 generations; 65,536 by default. Further blocks are
	// ignored, so that Cached estimates too few.
	MaxBlocks int
}

// View is an entry's estimate of the blocks that one engine caches. Reported blocks come from
// the engine's events and snapshots. Expected blocks come from the entry's own calls; they
// count as cached before an event reports them. Events may arrive late, twice, out of order or
// with gaps; when events were lost, the view reports that it needs a snapshot. An event of
// another incarnation, even a late event of an earlier one, empties the view. A View is only an
// estimate: the engine's own count of cached tokens is authoritative. It is not safe for
// concurrent use.
type View struct {
	cfg         ViewConfig
	incarnation string
	sequence    uint64
	// synced reports whether no event has been lost since the last snapshot.
	synced bool
	// confirmedAt is when an event or snapshot last confirmed the reported blocks.
	confirmedAt time.Time
	reported    map[uint64]struct{}
	// newerExpected and olderExpected are the two generations of expected blocks, so that old
	// blocks are removed without a time for each block. Expect adds to newerExpected; rotatedAt
	// is when that was last emptied.
	newerExpected map[uint64]struct{}
	olderExpected map[uint64]struct{}
	rotatedAt     time.Time
}

// NewView returns an empty view, which needs a snapshot.
func NewView(cfg ViewConfig) *View {
	if cfg.MaxAge <= 0 {
		cfg.MaxAge = defaultMaxAge
	}
	if cfg.MaxBlocks <= 0 {
		cfg.MaxBlocks = defaultMaxBlocks
	}
	return &View{
		cfg:           cfg,
		reported:      make(map[uint64]struct{}),
		newerExpected: make(map[uint64]struct{}),
	}
}

// Apply handles one event. It reports whether the view needs a snapshot afterwards. An event
// that is not newer than the last one is ignored, unless it is a heartbeat with the last
// number.
func (v *View) Apply(now time.Time, e Event) bool {
	if e.Incarnation != v.incarnation {
		v.reset(e.Incarnation)
	}
	if e.Sequence < v.sequence || (e.Sequence == v.sequence && !e.Empty()) {
		return v.NeedsSnapshot(now)
	}
	if v.isNext(e) {
		v.confirmedAt = now
	} else {
		v.synced = false
	}
	v.sequence = e.Sequence
	v.applyBlocks(e)
	return v.NeedsSnapshot(now)
}

// isNext reports whether e is the next event, or a heartbeat that shows that no event was
// lost.
func (v *View) isNext(e Event) bool {
	if !v.synced {
		return false
	}
	if e.Empty() {
		return e.Sequence == v.sequence
	}
	return e.Sequence == v.sequence+1
}

// Resync replaces the content of the view with a snapshot. A snapshot that is older than the
// last event is ignored.
func (v *View) Resync(now time.Time, s Snapshot) {
	if s.Incarnation != v.incarnation {
		v.reset(s.Incarnation)
	}
	if s.Sequence < v.sequence {
		return
	}
	clear(v.reported)
	v.applyBlocks(Event{Stored: s.Blocks})
	v.sequence = s.Sequence
	v.synced = true
	v.confirmedAt = now
	v.clearExpected()
}

// Expect records that a call of this entry has stored blocks in the engine's cache.
func (v *View) Expect(now time.Time, blocks []uint64) {
	v.rotateExpected(now)
	for _, b := range blocks {
		if len(v.newerExpected) >= v.cfg.MaxBlocks {
			return
		}
		v.newerExpected[b] = struct{}{}
	}
}

// Truncate removes all but the first n of blocks from the view, after an answer of the engine
// showed that only these were cached.
func (v *View) Truncate(blocks []uint64, n int) {
	for _, b := range blocks[min(n, len(blocks)):] {
		v.remove(b)
	}
}

// Cached returns the estimated number of leading blocks that the engine caches. It uses a
// binary search, because engines evict children before parents. The result may be wrong if a
// lost event left a gap.
func (v *View) Cached(now time.Time, blocks []uint64) int {
	v.rotateExpected(now)
	countReported := v.withinMaxAge(now)
	return sort.Search(len(blocks), func(i int) bool {
		return !v.contains(blocks[i], countReported)
	})
}

// NeedsSnapshot reports whether the view is out of step with the engine's events (because it
// is new, the publisher restarted or events were lost), or whether no event has confirmed it
// for more than half of MaxAge.
func (v *View) NeedsSnapshot(now time.Time) bool {
	return !v.synced || now.Sub(v.confirmedAt) > v.cfg.MaxAge/2
}

// Len returns the number of stored blocks. A block that is both reported and expected
// counts for each.
func (v *View) Len() int { return len(v.reported) + len(v.newerExpected) + len(v.olderExpected) }

// contains reports whether the block counts as cached. countReported reports whether reported
// blocks count.
func (v *View) contains(block uint64, countReported bool) bool {
	if _, ok := v.reported[block]; ok && countReported {
		return true
	}
	if _, ok := v.newerExpected[block]; ok {
		return true
	}
	_, ok := v.olderExpected[block]
	return ok
}

// withinMaxAge reports whether the last confirmation of the reported blocks is at most MaxAge
// ago.
func (v *View) withinMaxAge(now time.Time) bool { return now.Sub(v.confirmedAt) <= v.cfg.MaxAge }

// rotateExpected removes the older generation of expected blocks once a third of MaxAge has
// passed since the last rotation, and makes the newer generation the older one. Expect and Cached
// rotate first, so a block counts as cached for at least MaxAge/3 and for no longer than MaxAge.
func (v *View) rotateExpected(now time.Time) {
	third := v.cfg.MaxAge / 3
	since := now.Sub(v.rotatedAt)
	if since < third {
		return
	}
	if since >= 2*third {
		// The rotation is late: the newer blocks are at least MaxAge/3 old, and could count for
		// longer than MaxAge as the older generation.
		clear(v.newerExpected)
	}
	v.rotatedAt = now
	v.olderExpected, v.newerExpected = v.newerExpected, v.olderExpected
	if v.newerExpected == nil {
		v.newerExpected = make(map[uint64]struct{})
	}
	clear(v.newerExpected)
}

// applyBlocks removes and adds the blocks of an event. Reported blocks beyond MaxBlocks are ignored.
func (v *View) applyBlocks(e Event) {
	for _, b := range e.Removed {
		v.remove(b)
	}
	for _, b := range e.Stored {
		if len(v.reported) >= v.cfg.MaxBlocks {
			return
		}
		v.reported[b] = struct{}{}
	}
}

func (v *View) remove(block uint64) {
	delete(v.reported, block)
	delete(v.newerExpected, block)
	delete(v.olderExpected, block)
}

// reset removes all blocks of the previous incarnation of the publisher.
func (v *View) reset(incarnation string) {
	v.incarnation = incarnation
	v.sequence = 0
	v.synced = false
	clear(v.reported)
	v.clearExpected()
}

func (v *View) clearExpected() {
	clear(v.newerExpected)
	clear(v.olderExpected)
}
