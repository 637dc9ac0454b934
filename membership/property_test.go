package membership

import (
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// TestMain sets a fixed seed for rapid unless the command line gives one, so that a run
// without flags checks the same faults each time.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	m.Run()
}

// TestRandomFaults runs random actions and faults against 3 to 5 members. It guards against
// gates that go back. After all faults have ended, it guards against a takeover from a live owner
// without a network fault, against logs of dead processes that nobody takes over, and against
// members whose views differ.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(Config{})
		names := []string{"e1", "e2", "e3", "e4", "e5"}[:rapid.IntRange(3, 5).Draw(t, "nodes")]
		domains := []string{"a", "b", "c"}
		for i, name := range names {
			c.start(name, domains[i%3], 1, []string{"e1", "e2"})
		}
		c.advance(3 * time.Second)
		var dead []structs.LogID
		version := uint64(0)
		seen := map[string]Gate{}
		for range rapid.IntRange(3, 25).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "node")
			n := c.nodes[name]
			switch action := rapid.SampledFrom(actions).Draw(t, "action"); action {
			case "kill":
				n.dead = true
			case "restart":
				n.dead = true
				c.start(name, string(n.member.Domain), n.member.Incarnation+1, []string{"e1", "e2"})
				dead = append(dead, n.member.Log)
			case "pause":
				n.paused = true
			case "resume":
				c.resume(n)
			case "partition":
				other := rapid.SampledFrom(append([]string{""}, append(domains, names...)...)).Draw(t, "from")
				c.partitions[name+" "+other] = true
			case "heal":
				clear(c.partitions)
			case "outage":
				c.outage = !c.outage
			case "offline":
				n.offline = !n.offline
			case "drain":
				version++
				gate := Gate{VM: "vm-x", Version: rapid.Uint64Range(1, version).Draw(t, "version")}
				gate.Drained = gate.Version%2 == 1
				c.deliver(n, DrainOrdered{gate})
			case "vm":
				c.vms["vm-x"] = rapid.SampledFrom([]platform.VMState{platform.VMLive, platform.VMLeaving, platform.VMGone}).Draw(t, "state")
			case "advance":
				c.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "100ms")) * 100 * time.Millisecond)
			default:
				n.faults = append(n.faults, action, action, action)
			}
			c.checkGates(t, names, seen)
		}
		c.checkConvergence(t, names, dead)
	})
}

// actions are the actions and faults to draw from; a repeated one is drawn more often.
var actions = []string{
	"kill", "restart", "pause", "resume", "partition", "heal", "outage", "offline", "drain", "vm",
	"advance", "advance", "advance", "advance", "lose", "late", "reorder", "duplicate",
}

// checkGates checks that the gate that each process knows never goes back.
func (c *cluster) checkGates(t *rapid.T, names []string, seen map[string]Gate) {
	for _, name := range names {
		n := c.nodes[name]
		gate := n.machine.Gate("vm-x")
		key := string(n.member.Log)
		if before := seen[key]; gate.merge(before) != gate {
			t.Fatalf("gate at %s went back from %+v to %+v", name, before, gate)
		}
		seen[key] = gate
	}
}

// checkConvergence ends all faults and checks that the members then agree and take over no log
// of a live owner.
func (c *cluster) checkConvergence(t *rapid.T, names []string, dead []structs.LogID) {
	c.outage = false
	clear(c.partitions)
	for _, name := range names {
		c.nodes[name].offline = false
		c.resume(c.nodes[name])
	}
	c.advance(5 * time.Second)
	for _, name := range names {
		if n := c.nodes[name]; n.dead {
			c.vms["vm-"+name] = platform.VMGone
			dead = append(dead, n.member.Log)
		}
	}
	before := c.liveTakeovers
	c.advance(30 * time.Second)
	if c.liveTakeovers != before {
		t.Fatalf("a log of a live owner was taken over without a network fault")
	}
	c.checkViews(t, names, dead)
}

// checkViews checks that the live members see each other and nobody else.
func (c *cluster) checkViews(t *rapid.T, names []string, dead []structs.LogID) {
	var want []string
	var gate *Gate
	for _, name := range names {
		n := c.nodes[name]
		if _, takenOver := c.takenOver[n.member.Log]; n.dead || takenOver {
			continue
		}
		var got []string
		for _, v := range n.machine.Members() {
			got = append(got, string(v.Log))
			if slices.Contains(dead, v.Log) {
				t.Fatalf("%s still lists %s, which is dead, as a member", name, v.Log)
			}
		}
		slices.Sort(got)
		if want == nil {
			want = got
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("%s lists members %v, others list %v", name, got, want)
		}
		g := n.machine.Gate("vm-x")
		if gate != nil && *gate != g {
			t.Fatalf("%s has gate %+v, others have %+v", name, g, *gate)
		}
		gate = &g
	}
}

// TestSubset checks that subsets are bounded, that each upstream is in the subsets of enough
// entries, and that few pairs change when one entry joins.
func TestSubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]structs.NodeID, rapid.IntRange(2, 40).Draw(t, "entries"))
		for i := range entries {
			entries[i] = structs.NodeID(fmt.Sprintf("e%d", i))
		}
		upstreams := make([]structs.UpstreamID, rapid.IntRange(1, 200).Draw(t, "upstreams"))
		for i := range upstreams {
			upstreams[i] = structs.UpstreamID(fmt.Sprintf("u%d", i))
		}
		const limit, cover = 8, 2
		covered := map[structs.UpstreamID]int{}
		changed := 0
		for _, e := range entries {
			subset := Subset(e, entries, upstreams, limit, cover)
			if expected := cover * len(upstreams) / len(entries); len(subset) > limit+4*expected+12 {
				t.Fatalf("subset has %d upstreams, expected about %d", len(subset), limit+expected)
			}
			for _, u := range subset {
				covered[u]++
			}
			after := Subset(e, append(slices.Clone(entries), "new"), upstreams, limit, cover)
			for _, u := range subset {
				if !slices.Contains(after, u) {
					changed++
				}
			}
		}
		for _, u := range upstreams {
			if covered[u] < cover {
				t.Fatalf("upstream %s is in the subsets of %d entries, want at least %d", u, covered[u], cover)
			}
		}
		if most := cover * len(upstreams); changed > most {
			t.Fatalf("%d pairs changed when one entry joined, want at most %d", changed, most)
		}
	})
}

// FuzzDecodePacket checks that no input crashes the decoder, and that a decoded packet stays
// the same when it is encoded and decoded again.
func FuzzDecodePacket(f *testing.F) {
	f.Add(Packet{
		Kind: Heartbeat, Log: "e1-1", Address: "e1", StateDigest: 7, Preset: 3, Subject: "e2-1", Alive: true, KnownDigests: []uint64{1},
		Updates: []Update{{Member: Member{Node: "e2", Log: "e2-1", VM: "v", Domain: "a", Address: "e2", Incarnation: 1, Ready: true}, State: Gone, Version: 2, Successor: "e1-1"}},
		Gates:   []Gate{{VM: "v", Version: 1, Drained: true, State: RankLeaving}},
	}.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := DecodePacket(b)
		if err != nil {
			return
		}
		again, err := DecodePacket(p.Encode())
		if err != nil || !reflect.DeepEqual(p, again) {
			t.Fatalf("packet %+v was decoded as %+v after encoding, error %v", p, again, err)
		}
	})
}
