package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornroute/buckthornroute/structs"
)

// mix combines two hashes into one. It is not symmetric. Its constants are from SplitMix64.
func mix(a, b uint64) uint64 {
	const increment = 0x9e3779b97f4a7c15
	hi, lo := bits.Mul64(a^increment, bits.RotateLeft64(b, 31)+increment)
	x := hi ^ lo
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// watcherCount returns the number of watchers of each of n members: about log2(n) plus a
// margin.
func watcherCount(n int) int {
	const margin = 2
	return min(max(n-1, 0), bits.Len(uint(max(n-1, 0)))+margin)
}

// weighted is an item with its rendezvous weight.
type weighted[T any] struct {
	item   T
	weight uint64
}

// top returns the k items of greatest weight, the greatest first.
func top[T cmp.Ordered](items []T, k int, weight func(T) uint64) []T {
	all := make([]weighted[T], len(items))
	for i, item := range items {
		all[i] = weighted[T]{item, weight(item)}
	}
	slices.SortFunc(all, func(a, b weighted[T]) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.item, b.item))
	})
	best := make([]T, 0, k)
	for _, r := range all[:min(k, len(all))] {
		best = append(best, r.item)
	}
	return best
}

// Subset returns the upstreams that an entry connects to, sorted: the limit upstreams of
// greatest rendezvous weight, and those for which the entry is among the cover entries of
// greatest weight, so that each upstream has at least cover entries. Adding or removing one
// entry or upstream changes few of the pairs of entry and upstream. The upstreams passed should
// all serve one model.
func Subset(entry structs.NodeID, entries []structs.NodeID, upstreams []structs.UpstreamID, limit, cover int) []structs.UpstreamID {
	own := xxhash.Sum64String(string(entry))
	hashes := make([]uint64, len(entries))
	for i, e := range entries {
		hashes[i] = xxhash.Sum64String(string(e))
	}
	chosen := top(upstreams, limit, func(u structs.UpstreamID) uint64 { return mix(own, xxhash.Sum64String(string(u))) })
	have := make(map[structs.UpstreamID]bool, len(chosen))
	for _, u := range chosen {
		have[u] = true
	}
	for _, u := range upstreams {
		if !have[u] && covers(own, hashes, xxhash.Sum64String(string(u)), cover) {
			chosen = append(chosen, u)
		}
	}
	slices.Sort(chosen)
	return chosen
}

// covers reports whether fewer than cover entries have a greater weight for the upstream.
func covers(own uint64, entries []uint64, upstream uint64, cover int) bool {
	weight := mix(own, upstream)
	for _, e := range entries {
		if mix(e, upstream) > weight {
			cover--
		}
	}
	return cover > 0
}
