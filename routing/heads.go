package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixAffinity knows how often prompts begin with which part. Many programs share the first
// part of their prompts, and an engine's memory holds only some of these parts beside
// the prompts that run; so each has homes, more of them the more often it comes. All
// entries find the same homes without talking, as they rank upstreams by hash.
//
// It answers the pattern of many programs over few long shared prompts, where each
// entry by itself would spread every part over all engines until none stays cached.
type prefixAffinity struct {
	counts map[uint64]*partCount
	total  float64
	tokens float64
	last   time.Time
	ranks  []upstreamRank
	// domains is room for the failure domains of the seats in the order of their ranks.
	domains []domainCount
}

type partCount struct{ n float64 }

type upstreamRank struct {
	weight uint64
	index  int
	// domainRank is the number of better seats in its failure domain.
	domainRank int
}

type domainCount struct {
	name      string
	upstreams int
}

const (
	// partHalfLife is the time after which a part's calls count half: some hundred calls
	// of an entry.
	partHalfLife = 5 * time.Second
	// decayInterval bounds how often counts are decayed.
	decayInterval = 250 * time.Millisecond
	// sharedMemoryShare is the share of an engine's memory for shared first parts; the rest
	// holds what runs and the private parts of lines between their turns.
	sharedMemoryShare = 0.07
	// minPreferred is the least number of homes of a part, so that one may leave; there is one
	// in each failure domain too.
	minPreferred = 2
	// minPartCount is the count below which a part is no longer known.
	minPartCount = 0.05
)

func newPrefixAffinity() *prefixAffinity { return &prefixAffinity{counts: map[uint64]*partCount{}} }

// observe counts a call whose prompt begins with the part.
func (h *prefixAffinity) observe(now time.Time, p PromptPart) {
	if age := now.Sub(h.last); age >= decayInterval {
		h.decay(math.Exp2(-float64(age) / float64(partHalfLife)))
		h.last = now
	}
	c := h.counts[p.ID]
	if c == nil {
		c = &partCount{}
		h.counts[p.ID] = c
	}
	c.n++
	h.total++
	h.tokens += float64(p.Tokens)
}

func (h *prefixAffinity) decay(factor float64) {
	for id, c := range h.counts {
		if c.n *= factor; c.n < minPartCount {
			delete(h.counts, id)
		}
	}
	h.total *= factor
	h.tokens *= factor
}

// appendPreferred appends for each seat whether it is a home of the part. Homes are spread evenly
// over the failure domains, so that few calls need leave theirs for one.
func (h *prefixAffinity) appendPreferred(out []bool, p PromptPart, seats []Upstream) []bool {
	h.ranks = h.ranks[:0]
	for i := range seats {
		out = append(out, false)
		h.ranks = append(h.ranks, upstreamRank{weight: affinityWeight(p.ID, seats[i].Hash), index: i})
	}
	slices.SortFunc(h.ranks, func(a, b upstreamRank) int { return cmp.Compare(b.weight, a.weight) })
	h.rankWithinDomains(seats)
	k := max(h.preferredCount(p, seats), min(len(h.domains), len(seats)))
	if k >= len(seats) {
		for i := range out {
			out[i] = true
		}
		return out
	}
	slices.SortFunc(h.ranks, func(a, b upstreamRank) int {
		return cmp.Or(cmp.Compare(a.domainRank, b.domainRank), cmp.Compare(b.weight, a.weight))
	})
	for _, r := range h.ranks[:k] {
		out[r.index] = true
	}
	return out
}

// rankWithinDomains counts for each ranked seat the better ones in its failure domain.
func (h *prefixAffinity) rankWithinDomains(seats []Upstream) {
	h.domains = h.domains[:0]
	for i := range h.ranks {
		name := seats[h.ranks[i].index].Domain
		at := slices.IndexFunc(h.domains, func(d domainCount) bool { return d.name == name })
		if at < 0 {
			at = len(h.domains)
			h.domains = append(h.domains, domainCount{name: name})
		}
		h.ranks[i].domainRank = h.domains[at].upstreams
		h.domains[at].upstreams++
	}
}

// preferredCount returns the number of homes of the part.
func (h *prefixAffinity) preferredCount(p PromptPart, seats []Upstream) int {
	if len(seats) == 0 || h.total == 0 {
		return len(seats)
	}
	mean := h.tokens / h.total
	perSeat := max(1, sharedMemoryShare*float64(seats[0].CacheTokens)/max(1, mean))
	share := h.counts[p.ID].n / h.total
	return min(len(seats), max(minPreferred, int(math.Ceil(share*perSeat*float64(len(seats))))))
}

// HashID returns the hash by which upstreams are ranked for a part.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// affinityWeight returns the weight of a seat for a part.
func affinityWeight(part, seat uint64) uint64 {
	x := part*0x9e3779b97f4a7c15 ^ seat
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	x *= 0x94d049bb133111eb
	return x ^ x>>29
}
