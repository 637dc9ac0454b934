package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
	"pgregory.net/rapid"
)

var policies = []string{PolicyCost, PolicyRoundRobin, PolicyLeastLoad, PolicyStickyHash}

func drawLoad(t *rapid.T, sequence uint64) structs.Load {
	return structs.Load{
		Upstream:      structs.UpstreamID(rapid.SampledFrom([]string{"m1", "m2", "m3", "m4"}).Draw(t, "upstream")),
		Kind:          structs.KindModel,
		Models:        rapid.SampledFrom([][]string{{"x"}, {"y"}, {"x", "y"}, nil}).Draw(t, "models"),
		Running:       rapid.IntRange(-1, 40).Draw(t, "running"),
		Queued:        rapid.IntRange(-1, 40).Draw(t, "queued"),
		BatchLimit:    rapid.IntRange(0, 16).Draw(t, "limit"),
		PrefillRate:   rapid.Float64Range(-1, 1e5).Draw(t, "rate"),
		StepTime:      time.Duration(rapid.IntRange(-1, 1e9).Draw(t, "step")),
		KVUsedTokens:  rapid.Int64Range(0, 1e6).Draw(t, "used"),
		KVLimitTokens: rapid.Int64Range(0, 1e6).Draw(t, "kv"),
		Draining:      rapid.Bool().Draw(t, "draining"),
		Incarnation:   rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation"),
		Sequence:      sequence,
	}
}

// TestChoiceIsUsable explores reports, drains, sends and failures in any order: no
// policy chooses an upstream that drains, lacks the model, or is not there, each
// prediction is at least zero, and a second State given the same messages decides alike.
func TestChoiceIsUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		preset := structs.Preset{Policy: rapid.SampledFrom(policies).Draw(t, "policy"), LatencyWeight: 1, WasteWeight: 1,
			MaxQueue: rapid.IntRange(0, 20).Draw(t, "queue")}
		var states [2]*State
		var chosen [2]Policy
		for i := range states {
			states[i] = NewState(Config{})
			chosen[i], _ = NewPolicy(preset, 3)
		}
		now := time.Unix(1, 0)
		drained := map[structs.UpstreamID]bool{}
		models := map[structs.UpstreamID][]string{}
		both := func(f func(*State)) { f(states[0]); f(states[1]) }
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2e9).Draw(t, "advance")))
			switch rapid.IntRange(0, 3).Draw(t, "verb") {
			case 0:
				l := drawLoad(t, uint64(n))
				both(func(s *State) { s.Report(now, l) })
				models[l.Upstream] = l.Models
				drained[l.Upstream] = l.Draining
			case 1:
				id := structs.UpstreamID(rapid.SampledFrom([]string{"m1", "m2"}).Draw(t, "drained"))
				both(func(s *State) { s.Drain(id) })
				drained[id] = true
			case 2:
				call := &structs.ModelCall{Call: structs.CallID(fmt.Sprintf("p%d/1/%d", n%3, n)), Model: "x",
					Messages: prompt("a", rapid.IntRange(0, 5000).Draw(t, "tokens"))}
				blocks := kvcache.Blocks(call.Messages)
				var got [2]Decision
				var ok [2]bool
				for i, s := range states {
					got[i], ok[i] = chosen[i].Choose(now, call, blocks, s.Candidates(now, structs.KindModel))
				}
				if got[0] != got[1] || ok[0] != ok[1] {
					t.Fatalf("same messages, different decisions %+v and %+v", got[0], got[1])
				}
				if !ok[0] {
					continue
				}
				d := got[0]
				if drained[d.Upstream] || !slices.Contains(models[d.Upstream], "x") {
					t.Fatalf("chose %q: draining=%v models=%v", d.Upstream, drained[d.Upstream], models[d.Upstream])
				}
				if d.Wait < 0 || d.Prefill < 0 || d.Step < 0 || d.PrefillTokens < 0 || d.CachedTokens < 0 {
					t.Fatalf("negative prediction in %+v", d)
				}
				both(func(s *State) { s.Sent(now, call, blocks, d) })
			case 3:
				id := structs.CallID(fmt.Sprintf("p%d/1/%d", rapid.IntRange(0, 2).Draw(t, "program"), rapid.IntRange(0, 60).Draw(t, "call")))
				r := Result{Failed: rapid.Bool().Draw(t, "failed"), Inconclusive: rapid.Bool().Draw(t, "void")}
				both(func(s *State) { s.Done(now, id, 0, r) })
			}
			for _, c := range states[0].Candidates(now, structs.KindModel) {
				if c.Load.Running < 0 || c.Load.Queued < 0 || c.Outstanding < 0 || c.Load.QueuedPrefillTokens < 0 {
					t.Fatalf("negative load in %+v", c)
				}
			}
		}
	})
}

// TestFewestCandidatesMove checks that the loss of one upstream moves only its own programs.
func TestFewestCandidatesMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		nodes := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 2, 8, rapid.ID[string]).Draw(t, "nodes")
		first := func(nodes []string) string {
			return slices.MaxFunc(nodes, func(a, b string) int {
				if Rendezvous(key, a) < Rendezvous(key, b) {
					return -1
				}
				return 1
			})
		}
		chosen := first(nodes)
		lost := rapid.SampledFrom(nodes).Draw(t, "lost")
		rest := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == lost })
		if lost != chosen && first(rest) != chosen {
			t.Fatalf("key %q moved from %q although %q was lost", key, chosen, lost)
		}
	})
}

// candidates returns n engines with views of 4,096 blocks each, one of which caches blocks.
func benchState(n int, blocks []uint64) (*State, time.Time) {
	now := time.Unix(1000, 0)
	s := NewState(Config{})
	for i := range n {
		id := structs.UpstreamID(fmt.Sprintf("m%04d", i))
		s.Report(now, structs.Load{Upstream: id, Kind: structs.KindModel, Models: []string{"x"}, Running: i % 8,
			BatchLimit: 16, PrefillRate: 8000, StepTime: 20 * time.Millisecond, KVLimitTokens: 1 << 20})
		if i%8 == 0 {
			s.Cache(id).Expect(now, blocks[:len(blocks)*(i%5)/5])
		}
	}
	return s, now
}

func BenchmarkChoose(b *testing.B) {
	call := &structs.ModelCall{Call: "p1/1/1", Program: "p1", Model: "x", Messages: prompt("a", 1)}
	for _, tokens := range []int{3_300, 33_000, 330_000} {
		call.Messages = prompt("a", tokens)
		blocks := kvcache.Blocks(call.Messages)
		for _, n := range []int{6, 64, 640} {
			b.Run(fmt.Sprintf("candidates=%d/tokens=%d", n, tokens), func(b *testing.B) {
				s, now := benchState(n, blocks)
				policy := NewCost(structs.Preset{LatencyWeight: 1, WasteWeight: 1})
				b.ReportAllocs()
				for b.Loop() {
					policy.Choose(now, call, blocks, s.Candidates(now, structs.KindModel))
				}
			})
		}
	}
}

func BenchmarkSentDone(b *testing.B) {
	call := &structs.ModelCall{Call: "p1/1/1", Program: "p1", Model: "x", Messages: prompt("a", 33_000)}
	blocks := kvcache.Blocks(call.Messages)
	s, now := benchState(64, blocks)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Sent(now, call, blocks, Decision{Upstream: "m0001"})
		s.Done(now, call.Call, 0, Result{})
		s.ReportWithReply(now.Add(3*time.Millisecond), s.upstreams["m0001"].load)
	}
}

// TestHomesLieInEachDomain: each shared part has a home in every failure domain, and its
// homes are spread evenly.
func TestHomesLieInEachDomain(t *testing.T) {
	var seats []Upstream
	for i := range 12 {
		id := "engine-" + string(rune('a'+i))
		seats = append(seats, Upstream{ID: id, Domain: string(rune('x' + i%3)), Slots: 8, CacheTokens: 200_000, Hash: HashID(id)})
	}
	h := newHeads()
	now := time.Unix(100, 0)
	for part := range uint64(8) {
		for range 40 / (part + 1) {
			h.came(now, PromptPart{ID: part, Tokens: 12_600})
		}
	}
	for part := range uint64(8) {
		in := map[string]int{}
		for i, home := range h.homes(nil, PromptPart{ID: part, Tokens: 12_600}, seats) {
			if home {
				in[seats[i].Domain]++
			}
		}
		least, most := min(in["x"], in["y"], in["z"]), max(in["x"], in["y"], in["z"])
		if least < 1 || most-least > 1 {
			t.Errorf("part %d has homes %v", part, in)
		}
	}
}

// TestCallsGoWhereAConnectionIs replays the plain calls of one entry on a calm day: few a
// second for each upstream, on connections that may rest for 250 ms.
func TestCallsGoWhereAConnectionIs(t *testing.T) {
	opened := func(warm time.Duration) int {
		var seats []Upstream
		for i := range 12 {
			id := "app-" + string(rune('a'+i))
			seats = append(seats, Upstream{ID: id, Slots: 6, Hash: HashID(id)})
		}
		b := NewBalancer(BalancerConfig{Seed: 3})
		now, n := time.Unix(100, 0), 0
		ended := map[string]time.Time{}
		for range 500 {
			now = now.Add(30 * time.Millisecond)
			w := &CallInfo{MaxConnIdle: warm}
			pick, _ := b.Choose(now, seats, w, nil)
			if now.Sub(ended[pick.ID]) > 250*time.Millisecond {
				n++
			}
			b.Started(Upstream{ID: pick.ID}, w)
			ended[pick.ID] = now.Add(20 * time.Millisecond)
			b.Ended(ended[pick.ID], pick.ID, OutcomeSuccess)
		}
		return n
	}
	with, without := opened(250*time.Millisecond), opened(0)
	t.Logf("%d of 500 calls opened a connection, %d when none is preferred", with, without)
	if 4*with > without {
		t.Errorf("%d calls opened a connection against %d", with, without)
	}
}

// lossyCalls replays plain calls, a third of which must not run twice, at under half of the
// load that twelve upstreams take, of which seven fail the share of their calls. It returns
// the shares of the calls of either kind that go to the other five, and the share of all
// that meet an upstream whose slots are used up.
func lossyCalls(share float64) (once, again, full float64) {
	var seats []Upstream
	for i := range 12 {
		id := "app-" + string(rune('a'+i))
		seats = append(seats, Upstream{ID: id, Slots: 6, Hash: HashID(id)})
	}
	type call struct {
		seat int
		ends time.Time
	}
	b := NewBalancer(BalancerConfig{Seed: 5})
	rng := rand.New(rand.NewPCG(5, 1))
	now := time.Unix(100, 0)
	var running []call
	sound, calls := map[bool]float64{}, map[bool]float64{}
	const all = 3000
	for i := range all {
		now = now.Add(2 * time.Millisecond)
		running = slices.DeleteFunc(running, func(c call) bool {
			if c.ends.After(now) {
				return false
			}
			v := OutcomeSuccess
			if c.seat < 7 && rng.Float64() < share {
				v = OutcomeFailure
			}
			b.Ended(now, seats[c.seat].ID, v)
			return true
		})
		w := &CallInfo{Repeatable: i%3 != 0}
		pick, _ := b.Choose(now, seats, w, nil)
		seat := slices.IndexFunc(seats, func(s Upstream) bool { return s.ID == pick.ID })
		b.Started(seats[seat], w)
		running = append(running, call{seat, now.Add(time.Duration(30+rng.IntN(60)) * time.Millisecond)})
		calls[w.Repeatable]++
		if pick.InFlight >= pick.Slots {
			full++
		}
		if seat >= 7 {
			sound[w.Repeatable]++
		}
	}
	return sound[false] / calls[false], sound[true] / calls[true], full / all
}

// TestUpstreamsThatLoseFewAnswers: seven of twelve lose one answer in twenty. Calls that
// must not run twice avoid them; were they shunned by all, the others would queue calls at
// under half of the load.
func TestUpstreamsThatLoseFewAnswers(t *testing.T) {
	const fair = 5. / 12
	once, again, full := lossyCalls(0.05)
	t.Logf("to the five that lose none go %.2f of the calls that must not run twice and %.2f of the others; %.3f of all meet full slots", once, again, full)
	if once < 1.5*fair || again > once {
		t.Errorf("%.2f and %.2f of the calls go to the five that lose none", once, again)
	}
	if full > 0.05 {
		t.Errorf("%.2f of the calls meet an upstream whose slots are used up", full)
	}
}

// TestUpstreamsThatFailMuch: those that fail half of their calls get few.
func TestUpstreamsThatFailMuch(t *testing.T) {
	if once, again, _ := lossyCalls(0.5); once < 0.95 || again < 0.85 {
		t.Errorf("only %.2f and %.2f of the calls go to the five that fail none", once, again)
	}
}

// TestLineStaysBesideTwoMoreCalls replays a burst: batches of six and four calls, and a line
// whose last turns are cached at the larger one. Reading 2,000 tokens again there and then
// takes more of the engines than two more calls in a batch do.
func TestLineStaysBesideTwoMoreCalls(t *testing.T) {
	seats := []Upstream{{ID: "here", Slots: 12, CacheTokens: 200_000}, {ID: "there", Slots: 12, CacheTokens: 200_000}}
	b := NewBalancer(BalancerConfig{Seed: 1})
	now := time.Unix(100, 0)
	head, rest := PromptPart{ID: 1, Tokens: 12_000}, PromptPart{ID: 2, Tokens: 2_000}
	for range 6 {
		b.Started(seats[0], &CallInfo{Prompt: []PromptPart{head, rest}})
	}
	for range 4 {
		b.Started(seats[1], &CallInfo{Prompt: []PromptPart{head}})
	}
	turn := &CallInfo{Prompt: []PromptPart{head, rest, {ID: 3, Tokens: 500}}, Tokens: 14_500, Generate: 324, LastUpstream: "here"}
	stays := 0
	for range 20 {
		if pick, _ := b.Choose(now, seats, turn, nil); pick.ID == "here" {
			stays++
		}
	}
	if stays < 18 {
		t.Errorf("the line stays %d times of 20", stays)
	}
}
