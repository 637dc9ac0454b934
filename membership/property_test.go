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

// TestMain fixes the seed of the properties unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	m.Run()
}

// TestRandomFaults runs random verbs and faults. Gates never go back, and while the
// network is whole no log of a living holder is adopted. When all faults have healed, the log
// of each dead process has been adopted, and all members see the same.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(Config{})
		names := []string{"e1", "e2", "e3", "e4", "e5"}[:rapid.IntRange(3, 5).Draw(t, "nodes")]
		domains := []string{"a", "b", "c"}
		for i, name := range names {
			w.start(name, domains[i%3], 1, []string{"e1", "e2"})
		}
		w.advance(3 * time.Second)
		var dead []structs.LogID
		version := uint64(0)
		seen := map[string]Gate{}
		for range rapid.IntRange(3, 25).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "node")
			n := w.nodes[name]
			switch verb := rapid.SampledFrom(verbs).Draw(t, "verb"); verb {
			case "kill":
				n.dead = true
			case "restart":
				n.dead = true
				w.start(name, string(n.member.Domain), n.member.Incarnation+1, []string{"e1", "e2"})
				dead = append(dead, n.member.Log)
			case "pause":
				n.paused = true
			case "resume":
				w.resume(n)
			case "cut":
				other := rapid.SampledFrom(append([]string{""}, append(domains, names...)...)).Draw(t, "from")
				w.partitions[name+" "+other] = true
			case "heal":
				clear(w.partitions)
			case "outage":
				w.outage = !w.outage
			case "offline":
				n.offline = !n.offline
			case "drain":
				version++
				gate := Gate{VM: "vm-x", Version: rapid.Uint64Range(1, version).Draw(t, "version")}
				gate.Drained = gate.Version%2 == 1
				w.deliver(n, DrainOrdered{gate})
			case "vm":
				w.vms["vm-x"] = rapid.SampledFrom([]platform.VMState{platform.VMLive, platform.VMLeaving, platform.VMGone}).Draw(t, "state")
			case "advance":
				w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "100ms")) * 100 * time.Millisecond)
			default:
				n.faults = append(n.faults, verb, verb, verb)
			}
			w.checkGates(t, names, seen)
		}
		w.checkConvergence(t, names, dead)
	})
}

var verbs = []string{
	"kill", "restart", "pause", "resume", "cut", "heal", "outage", "offline", "drain", "vm",
	"advance", "advance", "advance", "advance", "lose", "late", "reorder", "duplicate",
}

// checkGates checks that what a process knows of a VM only grows.
func (w *cluster) checkGates(t *rapid.T, names []string, seen map[string]Gate) {
	for _, name := range names {
		n := w.nodes[name]
		gate := n.machine.Gate("vm-x")
		key := string(n.member.Log)
		if before := seen[key]; gate.merge(before) != gate {
			t.Fatalf("gate at %s went from %+v to %+v", name, before, gate)
		}
		seen[key] = gate
	}
}

func (w *cluster) checkConvergence(t *rapid.T, names []string, dead []structs.LogID) {
	w.outage = false
	clear(w.partitions)
	for _, name := range names {
		w.nodes[name].offline = false
		w.resume(w.nodes[name])
	}
	w.advance(5 * time.Second)
	for _, name := range names {
		if n := w.nodes[name]; n.dead {
			w.vms["vm-"+name] = platform.VMGone
			dead = append(dead, n.member.Log)
		}
	}
	before := w.liveTakeovers
	w.advance(30 * time.Second)
	if w.liveTakeovers != before {
		t.Fatalf("a log of a living holder was adopted on a whole network")
	}
	w.checkViews(t, names, dead)
}

// checkViews checks that the living see each other and nobody else.
func (w *cluster) checkViews(t *rapid.T, names []string, dead []structs.LogID) {
	var want []string
	var gate *Gate
	for _, name := range names {
		n := w.nodes[name]
		if _, taken := w.takenOver[n.member.Log]; n.dead || taken {
			continue
		}
		var got []string
		for _, v := range n.machine.Members() {
			got = append(got, string(v.Log))
			if slices.Contains(dead, v.Log) {
				t.Fatalf("%s still counts %s, which is dead, as a member", name, v.Log)
			}
		}
		slices.Sort(got)
		if want == nil {
			want = got
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("%s sees %v, others see %v", name, got, want)
		}
		g := n.machine.Gate("vm-x")
		if gate != nil && *gate != g {
			t.Fatalf("%s knows gate %+v, others %+v", name, g, *gate)
		}
		gate = &g
	}
}

// TestSubset checks that subsets are bounded, cover each upstream, and change little when
// one entry joins.
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
				t.Fatalf("subset of %d upstreams, expected about %d", len(subset), limit+expected)
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
				t.Fatalf("upstream %s has %d entries", u, covered[u])
			}
		}
		if most := cover * len(upstreams); changed > most {
			t.Fatalf("%d pairs changed", changed)
		}
	})
}

// FuzzDecodePacket checks that no bytes crash the decoder, and that what it takes survives
// being encoded again.
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
			t.Fatalf("packet %+v came back as %+v, %v", p, again, err)
		}
	})
}
