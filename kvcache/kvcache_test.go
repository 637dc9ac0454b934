package kvcache

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"pgregory.net/rapid"
)

func drawMessages(t *rapid.T) []structs.Message {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) structs.Message {
		m := structs.Message{
			Role:    rapid.SampledFrom([]structs.Role{structs.RoleUser, structs.RoleTool, structs.RoleAssistant}).Draw(t, "role"),
			Content: strings.Repeat(rapid.StringN(1, 8, -1).Draw(t, "text"), rapid.IntRange(0, 400).Draw(t, "times")),
		}
		if m.Role == structs.RoleAssistant {
			m.ToolCalls = []structs.ToolCall{{Name: "t", Arguments: rapid.String().Draw(t, "arguments")}}
		}
		return m
	}), 0, 6).Draw(t, "messages")
}

// TestChainAppendMatchesWhole guards against a chain whose blocks depend on how it was
// extended, a clone that shares state with the original, and a block hash that ignores earlier
// text.
func TestChainAppendMatchesWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := drawMessages(t)
		whole := Blocks(messages)
		var c Chain
		cut := rapid.IntRange(0, len(messages)).Draw(t, "cut")
		c.Append(messages[:cut]...)
		before := slices.Clone(c.Blocks())
		grown := c.Clone()
		grown.Append(messages[cut:]...)
		other := c.Clone()
		other.Append(structs.Message{Content: strings.Repeat("z", 5*BlockBytes)})
		if !slices.Equal(grown.Blocks(), whole) {
			t.Fatalf("blocks of a chain extended in parts are %x, of the whole conversation %x", grown.Blocks(), whole)
		}
		if !slices.Equal(c.Blocks(), before) {
			t.Fatalf("an append to the clone changed the original from %x to %x", before, c.Blocks())
		}
		if len(whole) != grown.bytes/BlockBytes {
			t.Fatalf("%d blocks for a conversation of %d bytes", len(whole), grown.bytes)
		}
		if len(messages) == 0 {
			return
		}
		changed := slices.Clone(messages)
		changed[0].Content = "changed " + changed[0].Content
		for i, b := range Blocks(changed)[:min(len(whole), len(Blocks(changed)))] {
			if b == whole[i] {
				t.Fatalf("block %d has the same hash although the first message differs", i)
			}
		}
	})
}

// TestTrackerAndView draws uses, holds and releases in any order, with events that are lost or
// delivered twice. The cache must never exceed its limit, evict a held block, or cache a block
// without its parent. A view that lost no event, or was resynchronised since, must agree with
// the engine.
func TestTrackerAndView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker("1", rapid.IntRange(1, 12).Draw(t, "limit"))
		view := NewView(ViewConfig{MaxBlocks: 1000})
		now := time.Unix(1, 0)
		view.Resync(now, tracker.Snapshot())
		held := map[structs.ProgramID][]uint64{}
		chain := rapid.Custom(func(t *rapid.T) []uint64 {
			return blocks(rapid.StringOfN(rapid.SampledFrom([]rune("ab")), 0, 6, -1).Draw(t, "chain"))
		})
		program := rapid.SampledFrom([]structs.ProgramID{"p1", "p2", "p3"})
		lost := false
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "verb") {
			case 0:
				_, e := tracker.Use(chain.Draw(t, "use"))
				times := rapid.IntRange(0, 2).Draw(t, "deliveries")
				lost = lost || (times == 0 && !e.Empty())
				for range times {
					view.Apply(now, e)
				}
			case 1:
				p, blocks := program.Draw(t, "program"), chain.Draw(t, "hold")
				held[p] = blocks[:tracker.Hold(p, blocks)]
			case 2:
				p := program.Draw(t, "program")
				tracker.Release(p)
				delete(held, p)
			case 3:
				if lost {
					view.Apply(now, tracker.Heartbeat())
					if !view.NeedsSnapshot(now) {
						t.Fatalf("the view lost an event and needs no snapshot")
					}
				}
				view.Resync(now, tracker.Snapshot())
				lost = false
			}
			checkCache(t, tracker, held)
			if b := chain.Draw(t, "probe"); !lost && view.Cached(now, b) != tracker.Cached(b) {
				t.Fatalf("view estimates %d cached blocks of %x, engine caches %d", view.Cached(now, b), b, tracker.Cached(b))
			}
		}
	})
}

// checkCache verifies that the cache is within its limit, caches and counts the held blocks, and
// caches the parent of each block.
func checkCache(t *rapid.T, tracker *Tracker, held map[structs.ProgramID][]uint64) {
	if tracker.Len() > tracker.Limit() {
		t.Fatalf("%d blocks cached, limit %d", tracker.Len(), tracker.Limit())
	}
	union := map[uint64]bool{}
	for p, blocks := range held {
		if tracker.Cached(blocks) != len(blocks) {
			t.Fatalf("program %q holds %x, but only the first %d blocks are cached", p, blocks, tracker.Cached(blocks))
		}
		for _, b := range blocks {
			union[b] = true
		}
	}
	if tracker.Held() != len(union) {
		t.Fatalf("%d blocks held, want %d", tracker.Held(), len(union))
	}
	for _, b := range tracker.Snapshot().Blocks {
		if parent := b >> 8; parent != 0 && tracker.Cached([]uint64{parent}) == 0 {
			t.Fatalf("block %x is cached without its parent", b)
		}
	}
}

// longChain returns n blocks of one conversation. Chains of different seeds have no common block.
func longChain(seed, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(seed)<<32 | uint64(i)
	}
	return out
}

// BenchmarkEvent applies one event of 8 stored and 8 removed blocks to a view of n blocks.
func BenchmarkEvent(b *testing.B) {
	for _, n := range []int{4_000, 40_000, 400_000} {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			v := NewView(ViewConfig{MaxBlocks: 2 * n})
			v.Resync(now, Snapshot{Incarnation: "1", Blocks: longChain(1, n)})
			one, two := longChain(2, 8), longChain(3, 8)
			sequence := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				v.Apply(now, Event{Incarnation: "1", Sequence: sequence, Stored: one, Removed: two})
				one, two = two, one
			}
		})
	}
}

// BenchmarkTrackerUse uses conversations of 64 blocks in turn, with a cache of n blocks.
func BenchmarkTrackerUse(b *testing.B) {
	for _, n := range []int{4_000, 40_000, 400_000} {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			t := NewTracker("1", n)
			seed := 0
			b.ReportAllocs()
			for b.Loop() {
				seed++
				t.Use(longChain(seed%(n/64), 64))
			}
		})
	}
}

// BenchmarkChainAppend appends one message to a conversation of 33,000 tokens.
func BenchmarkChainAppend(b *testing.B) {
	for _, tokens := range []int{256, 2_560, 25_600} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			m := structs.Message{Role: structs.RoleUser, Content: strings.Repeat("four", tokens)}
			var base Chain
			base.Append(structs.Message{Content: strings.Repeat("four", 33_000)})
			b.SetBytes(int64(4 * tokens))
			b.ReportAllocs()
			for b.Loop() {
				c := base
				c.Append(m)
			}
		})
	}
}
