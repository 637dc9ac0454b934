package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// benchCluster runs many members that all know each other.
type benchCluster struct {
	now      time.Time
	machines []*Machine
	wake     []time.Time
	byName   map[string]int
	queue    []Send
	packets  int
	bytes    int
}

// newBenchCluster returns n machines, each of which has received the updates of all.
func newBenchCluster(n int) *benchCluster {
	c := &benchCluster{now: time.Unix(0, 0), wake: make([]time.Time, n), byName: map[string]int{}}
	all := Packet{Kind: SyncReply, Log: "none", Address: "none"}
	for i := range n {
		name := fmt.Sprintf("node-%d", i)
		member := Member{
			Node: structs.NodeID(name), Log: structs.LogID(name + "-5f0c2a"), VM: structs.VMID("vm-" + name),
			Domain: structs.FailureDomain(fmt.Sprintf("domain-%d", i%11)), Address: name, Incarnation: 1, Ready: true,
		}
		c.byName[name] = i
		c.machines = append(c.machines, New(Config{Self: member, VMListMaxAge: time.Hour}))
		all.Updates = append(all.Updates, Update{Member: member, State: Up, Version: 1})
	}
	for i := range c.machines {
		c.step(i, Received{all})
	}
	return c
}

// step passes a message to machine i, and queues the packets that it sends.
func (c *benchCluster) step(i int, msg Message) {
	for _, e := range c.machines[i].Step(c.now, msg) {
		switch e := e.(type) {
		case WakeAt:
			c.wake[i] = e.At
		case Send:
			c.queue = append(c.queue, e)
		}
	}
}

// run advances the clock in steps and delivers the packets in their encoded form.
func (c *benchCluster) run(span time.Duration) {
	const step = 20 * time.Millisecond
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(step) {
		for i := range c.machines {
			if !c.wake[i].After(c.now) {
				c.step(i, Tick{})
			}
		}
		queue := c.queue
		c.queue = nil
		for _, s := range queue {
			b := s.Packet.Encode()
			c.packets++
			c.bytes += len(b)
			p, err := DecodePacket(b)
			if to, ok := c.byName[s.Address]; ok && err == nil {
				c.step(to, Received{p})
			}
		}
	}
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkHeartbeats runs each number of members for 5 seconds of simulated time. It reports,
// per member, the bytes per second sent and received (packets alone, and with framing), the
// processor time per second and the heap, and the time of one packet from encoding to receipt.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{10, 100, 750} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			before := heapBytes()
			c := newBenchCluster(n)
			c.run(time.Second)
			heap := float64(heapBytes()-before) / float64(n)
			const span = 5 * time.Second
			for b.Loop() {
				c.packets, c.bytes = 0, 0
				start := time.Now()
				c.run(span)
				used := time.Since(start)
				perNode := 2 / span.Seconds() / float64(n)
				b.ReportMetric(float64(c.bytes)*perNode, "packet-B/s/node")
				b.ReportMetric(float64(c.bytes+c.packets*framingBytes)*perNode, "wire-B/s/node")
				b.ReportMetric(float64(used.Microseconds())/span.Seconds()/float64(n), "cpu-us/s/node")
				b.ReportMetric(float64(used.Nanoseconds())/float64(c.packets), "ns/packet")
				b.ReportMetric(heap, "heap-B/node")
			}
			if known := len(c.machines[0].Members()); known != n {
				b.Fatalf("machine 0 knows %d of %d members", known, n)
			}
		})
	}
}

// BenchmarkSubset computes one entry's subset of the upstreams of one model.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{10, 100, 750} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			entries, upstreams := benchNames(n, n*14/3)
			b.ReportAllocs()
			for b.Loop() {
				Subset(entries[0], entries, upstreams, 32, 2)
			}
		})
	}
}

func benchNames(entries, upstreams int) ([]structs.NodeID, []structs.UpstreamID) {
	e := make([]structs.NodeID, entries)
	for i := range e {
		e[i] = structs.NodeID(fmt.Sprintf("node-%d", i))
	}
	u := make([]structs.UpstreamID, upstreams)
	for i := range u {
		u[i] = structs.UpstreamID(fmt.Sprintf("upstream-%d", i))
	}
	return e, u
}
