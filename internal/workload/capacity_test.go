package workload

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
	"google.golang.org/protobuf/proto"
)

// sampleLoad returns a load report whose names have the usual length.
func sampleLoad(i int) structs.Load {
	return structs.Load{
		Upstream: structs.UpstreamID(fmt.Sprintf("region-model-%05d", i)), VM: structs.VMID(fmt.Sprintf("vm-region-model-%05d", i)),
		Domain: "region-a", Kind: structs.KindModel, Models: []string{"council-8b", "newsletter-8b"},
		Running: 14, Queued: 3, QueuedPrefillTokens: 12_345, BatchLimit: 16, KVUsedTokens: 99_000, KVLimitTokens: 131_072,
		PrefillRate: 8000, StepTime: 27 * time.Millisecond, Sequence: 1 << 20, Incarnation: "region-model-00001-12",
	}
}

// sampleBlocks returns n different block hashes, which depend on seed.
func sampleBlocks(seed, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(seed+1)*0x9e3779b97f4a7c15 ^ uint64(i)*0xbf58476d1ce4e5b9
	}
	return out
}

// BenchmarkWire reports the encoded size of the control messages, without the gRPC frame, and
// of calls that send a delta (1,000 tokens) or the whole history. "four" is one token.
func BenchmarkWire(b *testing.B) {
	call := func(tokens int) proto.Message {
		c := peer.CallToPB(&structs.ModelCall{Call: "e1-5f0c2a.17/3/2", Program: "e1-5f0c2a.17", Organisation: "org-00001", Model: "council-8b"})
		c.Delta = peer.MessagesToPB([]structs.Message{{Role: structs.RoleUser, Content: strings.Repeat("four", tokens)}})
		return c
	}
	for name, m := range map[string]proto.Message{
		"load":                 &peerpb.WatchReply{Load: peer.LoadToPB(sampleLoad(1))},
		"event/blocks=8+8":     &peerpb.WatchReply{Cache: &peerpb.CacheEvents{Incarnation: "region-model-00001-12", Sequence: 1 << 20, Stored: sampleBlocks(1, 8), Removed: sampleBlocks(2, 8)}},
		"event/blocks=1+0":     &peerpb.WatchReply{Cache: &peerpb.CacheEvents{Incarnation: "region-model-00001-12", Sequence: 1 << 20, Stored: sampleBlocks(1, 1)}},
		"snapshot/blocks=4096": &peerpb.WatchReply{Cache: &peerpb.CacheEvents{Incarnation: "region-model-00001-12", Snapshot: true, Stored: sampleBlocks(1, 4096)}},
		"call/tokens=1000":     call(1000),
		"call/tokens=33000":    call(33_000),
		"call/tokens=330000":   call(330_000),
	} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/message")
		})
	}
}

// BenchmarkStateMemory reports the memory in bytes that an entry uses for each side: its load,
// slowness, step model and expected cache of 4,096 blocks.
func BenchmarkStateMemory(b *testing.B) {
	for _, sides := range []int{16, 64, 640} {
		b.Run(fmt.Sprintf("sides=%d", sides), func(b *testing.B) {
			var per float64
			for b.Loop() {
				per = stateBytes(sides)
			}
			b.ReportMetric(per, "bytes/side")
		})
	}
}

// stateBytes returns the heap bytes of a routing state, divided by its number of sides.
func stateBytes(sides int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	now := time.Unix(1000, 0)
	s := routing.NewState(routing.Config{Cache: kvcache.ViewConfig{MaxBlocks: 4096}})
	for i := range sides {
		l := sampleLoad(i)
		s.Report(now, l)
		s.Cache(l.Upstream).Resync(now, kvcache.Snapshot{Incarnation: "1", Sequence: 1, Blocks: sampleBlocks(i, 4096)})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(s)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(sides)
}

// BenchmarkReport measures how an entry decodes and applies one load report and one cache event
// from the stream of a side.
func BenchmarkReport(b *testing.B) {
	load, _ := proto.Marshal(&peerpb.WatchReply{Load: peer.LoadToPB(sampleLoad(1))})
	event, _ := proto.Marshal(&peerpb.WatchReply{Cache: &peerpb.CacheEvents{Incarnation: "1", Stored: sampleBlocks(1, 8), Removed: sampleBlocks(2, 8)}})
	s := routing.NewState(routing.Config{})
	now := time.Unix(1000, 0)
	sequence := uint64(0)
	b.Run("load", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var m peerpb.WatchReply
			if err := proto.Unmarshal(load, &m); err != nil {
				b.Fatal(err)
			}
			s.Report(now, peer.LoadFromPB(m.GetLoad()))
		}
	})
	b.Run("event", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var m peerpb.WatchReply
			if err := proto.Unmarshal(event, &m); err != nil {
				b.Fatal(err)
			}
			sequence++
			s.Cache("region-model-00001").Apply(now, kvcache.Event{Incarnation: "1", Sequence: sequence, Stored: m.GetCache().GetStored(), Removed: m.GetCache().GetRemoved()})
		}
	})
}
