package standin

import (
	"fmt"
	"testing"

	"github.com/buckthornroute/buckthornroute/structs"
	"pgregory.net/rapid"
)

// TestPrefixCache explores calls, holds and releases in any order: the cache never
// exceeds its capacity, never evicts what is pinned, and its events rebuild it.
func TestPrefixCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := make(map[uint64]bool)
		cache := newPrefixCache(12, func(stored, removed []uint64) {
			for _, hash := range stored {
				seen[hash] = true
			}
			for _, hash := range removed {
				delete(seen, hash)
			}
		})
		var running [][]uint64
		chain := rapid.Custom(func(t *rapid.T) []uint64 {
			// Chains share prefixes: the conversation's number is in the later blocks only.
			shared := rapid.IntRange(0, 3).Draw(t, "shared")
			length := rapid.IntRange(1, 6).Draw(t, "length")
			conversation := rapid.Uint64Range(1, 4).Draw(t, "conversation")
			var out []uint64
			for i := range length {
				if i < shared {
					out = append(out, uint64(i))
				} else {
					out = append(out, conversation*1000+uint64(shared*100+i))
				}
			}
			return out
		})
		program := rapid.Map(rapid.IntRange(1, 4), func(n int) structs.ProgramID {
			return structs.ProgramID(fmt.Sprintf("p%d", n))
		})
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				prompt := chain.Draw(t, "prompt")
				known := prompt[:cache.match(prompt)]
				cache.pin(known)
				running = append(running, known)
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				cache.unpin(running[0])
				running = running[1:]
				whole := chain.Draw(t, "whole")
				if known := cache.store(whole); cache.match(whole) < known {
					t.Fatalf("%d blocks stored, %d cached", known, cache.match(whole))
				}
			},
			"reserve": func(t *rapid.T) {
				n := rapid.IntRange(0, 4).Draw(t, "n")
				if cache.fits(n) {
					cache.reserve(n)
				}
			},
			"release": func(*rapid.T) { cache.unreserve(cache.reserved) },
			"hold":    func(t *rapid.T) { cache.hold(program.Draw(t, "program"), chain.Draw(t, "chain")) },
			"drop":    func(t *rapid.T) { cache.dropHold(program.Draw(t, "program")) },
			"break":   func(*rapid.T) { cache.dropOldestHold() },
			"": func(t *rapid.T) {
				if len(cache.entries)+cache.reserved > cache.capacity {
					t.Fatalf("%d blocks and %d reserved exceed %d", len(cache.entries), cache.reserved, cache.capacity)
				}
				if cache.lru.Len()+cache.pinned != len(cache.entries) || len(seen) != len(cache.entries) {
					t.Fatalf("%d evictable and %d pinned of %d blocks, %d by events", cache.lru.Len(), cache.pinned, len(cache.entries), len(seen))
				}
				for _, known := range running {
					if cache.match(known) != len(known) {
						t.Fatalf("blocks %v of a running call were evicted", known)
					}
				}
				for _, hold := range cache.listHolds() {
					held := cache.holds[hold.Program]
					if cache.match(held) != len(held) {
						t.Fatalf("blocks %v held for %s were evicted", held, hold.Program)
					}
				}
			},
		})
	})
}
