package standin

import (
	"fmt"
	"testing"

	"github.com/buckthornroute/buckthornroute/structs"
	"pgregory.net/rapid"
)

// TestPrefixCache guards against a cache that exceeds its capacity, evicts a pinned block, or
// whose events give another number of blocks than it has. It runs calls, holds and releases
// in random order.
func TestPrefixCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reported := make(map[uint64]bool)
		cache := newPrefixCache(12, func(stored, removed []uint64) {
			for _, hash := range stored {
				reported[hash] = true
			}
			for _, hash := range removed {
				delete(reported, hash)
			}
		})
		var running [][]uint64
		chain := rapid.Custom(func(t *rapid.T) []uint64 {
			// Chains share prefixes: only their later blocks depend on the conversation.
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
				cached := prompt[:cache.match(prompt)]
				cache.pin(cached)
				running = append(running, cached)
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("no call is running")
				}
				cache.unpin(running[0])
				running = running[1:]
				stored := chain.Draw(t, "stored")
				if cached := cache.store(stored); cache.match(stored) < cached {
					t.Fatalf("store returned %d blocks, only %d are cached", cached, cache.match(stored))
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
					t.Fatalf("%d cached and %d reserved blocks exceed the capacity of %d", len(cache.entries), cache.reserved, cache.capacity)
				}
				if cache.lru.Len()+cache.pinned != len(cache.entries) || len(reported) != len(cache.entries) {
					t.Fatalf("%d evictable and %d pinned blocks of %d cached; %d according to the events", cache.lru.Len(), cache.pinned, len(cache.entries), len(reported))
				}
				for _, cached := range running {
					if cache.match(cached) != len(cached) {
						t.Fatalf("blocks %v of a running call were evicted", cached)
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
