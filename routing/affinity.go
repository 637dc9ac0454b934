package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixAffinity assigns preferred upstreams to the first parts of prompts. Many programs
// share the first part of their prompts, and an engine's memory holds only some of these
// parts besides the running prompts. Each part therefore has a few preferred upstreams; the
// larger its share of the calls, the more it has. All entries rank the upstreams for a part
// alike, by hash and without communication. How many of them are preferred depends on the
// calls that an entry has seen.
//
// If each entry instead spread every part over all engines, none of the few long parts that
// many programs share would stay cached.
type prefixAffinity struct {
	// counts holds the decayed number of calls by the ID of their first part.
	counts map[uint64]*partCount
	// total is the decayed number of all calls, tokens the decayed sum of the lengths of
	// their first parts.
	total  float64
	tokens float64
	// last is when the counts were last decayed.
	last time.Time
	// ranks and domains are reused buffers of appendPreferred. domains holds the failure
	// domains in the order of the highest-ranked upstream of each.
	ranks   []upstreamRank
	domains []domainCount
}

// partCount is the decayed number of calls whose prompt begins with one part.
type partCount struct{ n float64 }

// upstreamRank holds the values by which an upstream is ranked for a part.
type upstreamRank struct {
	// weight is the affinityWeight; a higher weight ranks first.
	weight uint64
	// index is the position of the upstream in the list of upstreams.
	index int
	// domainRank is the number of higher-ranked upstreams in the same failure domain.
	domainRank int
}

// domainCount counts the upstreams of a failure domain that have been ranked so far.
type domainCount struct {
	name      string
	upstreams int
}

const (
	// partHalfLife is the half-life of the counts, the time of about 100 calls of an entry.
	partHalfLife = 5 * time.Second
	// decayInterval is the least time between two decays of the counts.
	decayInterval = 250 * time.Millisecond
	// sharedMemoryShare is the share of an engine's memory for shared first parts. The rest
	// holds the running prompts and the private parts of conversations between their turns.
	sharedMemoryShare = 0.07
	// minPreferred is the least number of preferred upstreams of a part, so that the part
	// stays cached when one upstream is lost. A part also has at least as many as there are
	// failure domains.
	minPreferred = 2
	// minPartCount is the count below which a part is dropped.
	minPartCount = 0.05
)

func newPrefixAffinity() *prefixAffinity { return &prefixAffinity{counts: map[uint64]*partCount{}} }

// observe counts a call whose prompt begins with the part.
func (a *prefixAffinity) observe(now time.Time, p PromptPart) {
	if age := now.Sub(a.last); age >= decayInterval {
		a.decay(math.Exp2(-float64(age) / float64(partHalfLife)))
		a.last = now
	}
	c := a.counts[p.ID]
	if c == nil {
		c = &partCount{}
		a.counts[p.ID] = c
	}
	c.n++
	a.total++
	a.tokens += float64(p.Tokens)
}

// decay multiplies all counts by factor and drops those below minPartCount.
func (a *prefixAffinity) decay(factor float64) {
	for id, c := range a.counts {
		if c.n *= factor; c.n < minPartCount {
			delete(a.counts, id)
		}
	}
	a.total *= factor
	a.tokens *= factor
}

// appendPreferred appends to out, for each upstream, whether it is preferred for the part.
// Preferred upstreams are spread evenly over the failure domains, so that few calls have
// to leave their own domain to reach one. Those for which avoid returns true leave their place to the
// next in rank, so that all entries move a part to the same upstreams. The part must have been observed.
func (a *prefixAffinity) appendPreferred(out []bool, p PromptPart, upstreams []Upstream, avoid func(id string) bool) []bool {
	a.ranks = a.ranks[:0]
	for i := range upstreams {
		out = append(out, false)
		if avoid(upstreams[i].ID) {
			continue
		}
		a.ranks = append(a.ranks, upstreamRank{weight: affinityWeight(p.ID, upstreams[i].Hash), index: i})
	}
	slices.SortFunc(a.ranks, func(a, b upstreamRank) int { return cmp.Compare(b.weight, a.weight) })
	a.rankWithinDomains(upstreams)
	n := max(a.preferredCount(p, upstreams), min(len(a.domains), len(upstreams)))
	n = min(n, len(a.ranks))
	// Take the highest-ranked upstream of each domain first, then the second of each, and so on.
	slices.SortFunc(a.ranks, func(a, b upstreamRank) int {
		return cmp.Or(cmp.Compare(a.domainRank, b.domainRank), cmp.Compare(b.weight, a.weight))
	})
	for _, r := range a.ranks[:n] {
		out[r.index] = true
	}
	return out
}

// rankWithinDomains sets the domainRank of each ranked upstream.
func (a *prefixAffinity) rankWithinDomains(upstreams []Upstream) {
	a.domains = a.domains[:0]
	for i := range a.ranks {
		name := upstreams[a.ranks[i].index].Domain
		d := slices.IndexFunc(a.domains, func(d domainCount) bool { return d.name == name })
		if d < 0 {
			d = len(a.domains)
			a.domains = append(a.domains, domainCount{name: name})
		}
		a.ranks[i].domainRank = a.domains[d].upstreams
		a.domains[d].upstreams++
	}
}

// preferredCount returns the number of preferred upstreams of the part, in proportion to
// its share of the calls. It assumes that all upstreams have as much memory as the first.
func (a *prefixAffinity) preferredCount(p PromptPart, upstreams []Upstream) int {
	if len(upstreams) == 0 || a.total == 0 {
		return len(upstreams)
	}
	mean := a.tokens / a.total
	// partsPerUpstream is the number of first parts of mean length for which one upstream's
	// cache has room, see sharedMemoryShare; at least 1.
	partsPerUpstream := max(1, sharedMemoryShare*float64(upstreams[0].CacheTokens)/max(1, mean))
	share := a.counts[p.ID].n / a.total
	return min(len(upstreams), max(minPreferred, int(math.Ceil(share*partsPerUpstream*float64(len(upstreams))))))
}

// HashID returns the hash of an upstream's ID.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// affinityWeight returns the weight by which an upstream is ranked for a part. It mixes the
// bits of the part's ID and the upstream's hash with the constants of SplitMix64.
func affinityWeight(part, upstream uint64) uint64 {
	x := part*0x9e3779b97f4a7c15 ^ upstream
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	x *= 0x94d049bb133111eb
	return x ^ x>>29
}
