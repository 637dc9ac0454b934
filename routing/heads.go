package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// heads knows how often prompts begin with which part. Many programs share the first
// part of their prompts, and an engine's memory holds only some of these parts beside
// the prompts that run; so each has homes, more of them the more often it comes. All
// entries find the same homes without talking, as they rank upstreams by hash.
//
// It answers the pattern of many programs over few long shared prompts, where each
// entry by itself would spread every part over all engines until none stays cached.
type heads struct {
	counts map[uint64]*headCount
	total  float64
	tokens float64
	last   time.Time
	ranks  []headRank
	// domains is room for the failure domains of the seats in the order of their ranks.
	domains []domainCount
}

type headCount struct{ n float64 }

type headRank struct {
	weight uint64
	seat   int
	// depth is the number of better seats in its failure domain.
	depth int
}

type domainCount struct {
	name  string
	seats int
}

const (
	// headHalfLife is the time after which a part's calls count half: some hundred calls
	// of an entry.
	headHalfLife = 5 * time.Second
	// headDecayEvery bounds how often counts are decayed.
	headDecayEvery = 250 * time.Millisecond
	// headMemory is the share of an engine's memory for shared first parts; the rest
	// holds what runs and the private parts of lines between their turns.
	headMemory = 0.07
	// minHomes is the least number of homes of a part, so that one may leave; there is one
	// in each failure domain too.
	minHomes = 2
	// headForgotten is the count below which a part is no longer known.
	headForgotten = 0.05
)

func newHeads() *heads { return &heads{counts: map[uint64]*headCount{}} }

// came counts a call whose prompt begins with the part.
func (h *heads) came(now time.Time, p PromptPart) {
	if age := now.Sub(h.last); age >= headDecayEvery {
		h.decay(math.Exp2(-float64(age) / float64(headHalfLife)))
		h.last = now
	}
	c := h.counts[p.ID]
	if c == nil {
		c = &headCount{}
		h.counts[p.ID] = c
	}
	c.n++
	h.total++
	h.tokens += float64(p.Tokens)
}

func (h *heads) decay(factor float64) {
	for id, c := range h.counts {
		if c.n *= factor; c.n < headForgotten {
			delete(h.counts, id)
		}
	}
	h.total *= factor
	h.tokens *= factor
}

// homes appends for each seat whether it is a home of the part. Homes are spread evenly
// over the failure domains, so that few calls need leave theirs for one.
func (h *heads) homes(out []bool, p PromptPart, seats []Upstream) []bool {
	h.ranks = h.ranks[:0]
	for i := range seats {
		out = append(out, false)
		h.ranks = append(h.ranks, headRank{weight: mixHead(p.ID, seats[i].Hash), seat: i})
	}
	slices.SortFunc(h.ranks, func(a, b headRank) int { return cmp.Compare(b.weight, a.weight) })
	h.spread(seats)
	k := max(h.count(p, seats), min(len(h.domains), len(seats)))
	if k >= len(seats) {
		for i := range out {
			out[i] = true
		}
		return out
	}
	slices.SortFunc(h.ranks, func(a, b headRank) int {
		return cmp.Or(cmp.Compare(a.depth, b.depth), cmp.Compare(b.weight, a.weight))
	})
	for _, r := range h.ranks[:k] {
		out[r.seat] = true
	}
	return out
}

// spread counts for each ranked seat the better ones in its failure domain.
func (h *heads) spread(seats []Upstream) {
	h.domains = h.domains[:0]
	for i := range h.ranks {
		name := seats[h.ranks[i].seat].Domain
		at := slices.IndexFunc(h.domains, func(d domainCount) bool { return d.name == name })
		if at < 0 {
			at = len(h.domains)
			h.domains = append(h.domains, domainCount{name: name})
		}
		h.ranks[i].depth = h.domains[at].seats
		h.domains[at].seats++
	}
}

// count returns the number of homes of the part.
func (h *heads) count(p PromptPart, seats []Upstream) int {
	if len(seats) == 0 || h.total == 0 {
		return len(seats)
	}
	mean := h.tokens / h.total
	perSeat := max(1, headMemory*float64(seats[0].CacheTokens)/max(1, mean))
	share := h.counts[p.ID].n / h.total
	return min(len(seats), max(minHomes, int(math.Ceil(share*perSeat*float64(len(seats))))))
}

// HashID returns the hash by which upstreams are ranked for a part.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// mixHead returns the weight of a seat for a part.
func mixHead(part, seat uint64) uint64 {
	x := part*0x9e3779b97f4a7c15 ^ seat
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	x *= 0x94d049bb133111eb
	return x ^ x>>29
}
