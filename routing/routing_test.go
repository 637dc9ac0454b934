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

var policyNames = []string{PolicyCost, PolicyRoundRobin, PolicyLeastLoad, PolicyStickyHash}

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

// TestChoiceIsUsable runs reports, drains, calls and failures in random order. No policy
// may choose an upstream that is draining, lacks the model or does not exist, no
// prediction may be negative, and a second State with the same inputs must lead to the
// same decisions.
func TestChoiceIsUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		preset := structs.Preset{Policy: rapid.SampledFrom(policyNames).Draw(t, "policy"), LatencyWeight: 1, WasteWeight: 1,
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
					t.Fatalf("same inputs led to different decisions %+v and %+v", got[0], got[1])
				}
				if !ok[0] {
					continue
				}
				d := got[0]
				if drained[d.Upstream] || !slices.Contains(models[d.Upstream], "x") {
					t.Fatalf("chose %q: draining=%v models=%v", d.Upstream, drained[d.Upstream], models[d.Upstream])
				}
				if d.Wait < 0 || d.Prefill < 0 || d.StepTime < 0 || d.PrefillTokens < 0 || d.CachedTokens < 0 {
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

// TestOnlyProgramsOfLostUpstreamMove checks that with rendezvous hashing the loss of an
// upstream moves only the programs that it owned.
func TestOnlyProgramsOfLostUpstreamMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		nodes := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 2, 8, rapid.ID[string]).Draw(t, "nodes")
		ownerOf := func(nodes []string) string {
			return slices.MaxFunc(nodes, func(a, b string) int {
				if Rendezvous(key, a) < Rendezvous(key, b) {
					return -1
				}
				return 1
			})
		}
		owner := ownerOf(nodes)
		lost := rapid.SampledFrom(nodes).Draw(t, "lost")
		rest := slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == lost })
		if lost != owner && ownerOf(rest) != owner {
			t.Fatalf("key %q moved away from %q when %q was lost", key, owner, lost)
		}
	})
}

// benchState returns a State of n engines with caches of the default size. Every 8th engine
// caches a leading part of blocks.
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

// BenchmarkChoose measures the cost policy for several pool sizes and prompt lengths.
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

// BenchmarkSentDone measures the updates of a State by one call and by the load report with
// its answer.
func BenchmarkSentDone(b *testing.B) {
	call := &structs.ModelCall{Call: "p1/1/1", Program: "p1", Model: "x", Messages: prompt("a", 33_000)}
	blocks := kvcache.Blocks(call.Messages)
	s, now := benchState(64, blocks)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Sent(now, call, blocks, Decision{Upstream: "m0001"})
		s.Done(now, call.Call, 0, Result{})
		s.ReportWithAnswer(now.Add(3*time.Millisecond), s.upstreams["m0001"].load)
	}
}

// TestPreferredUpstreamsInEachDomain checks that each shared part has a preferred upstream
// in every failure domain and that its preferred upstreams are spread evenly. Otherwise
// calls would cross domains to reach one.
func TestPreferredUpstreamsInEachDomain(t *testing.T) {
	var upstreams []Upstream
	for i := range 12 {
		id := "engine-" + string(rune('a'+i))
		upstreams = append(upstreams, Upstream{ID: id, Domain: string(rune('x' + i%3)), Slots: 8, CacheTokens: 200_000, Hash: HashID(id)})
	}
	affinity := newPrefixAffinity()
	now := time.Unix(100, 0)
	for part := range uint64(8) {
		for range 40 / (part + 1) {
			affinity.observe(now, PromptPart{ID: part, Tokens: 12_600})
		}
	}
	for part := range uint64(8) {
		perDomain := map[string]int{}
		for i, preferred := range affinity.appendPreferred(nil, PromptPart{ID: part, Tokens: 12_600}, upstreams, func(string) bool { return false }) {
			if preferred {
				perDomain[upstreams[i].Domain]++
			}
		}
		least, most := min(perDomain["x"], perDomain["y"], perDomain["z"]), max(perDomain["x"], perDomain["y"], perDomain["z"])
		if least < 1 || most-least > 1 {
			t.Errorf("part %d has preferred upstreams %v by domain, want at least 1 in each and a difference of at most 1", part, perDomain)
		}
	}
}

// TestCallsReuseIdleConnections replays the plain calls of one entry under low load, with
// few calls per second to each upstream and connections that may be idle for 250 ms. If
// Choose ignored how long connections have been idle, almost half of the calls would open a
// new one.
func TestCallsReuseIdleConnections(t *testing.T) {
	newConnections := func(maxIdle time.Duration) int {
		var upstreams []Upstream
		for i := range 12 {
			id := "app-" + string(rune('a'+i))
			upstreams = append(upstreams, Upstream{ID: id, Slots: 6, Hash: HashID(id)})
		}
		b := NewBalancer(BalancerConfig{Seed: 3})
		now, n := time.Unix(100, 0), 0
		endedAt := map[string]time.Time{}
		for range 500 {
			now = now.Add(30 * time.Millisecond)
			info := &CallInfo{MaxConnIdle: maxIdle}
			pick, _ := b.Choose(now, upstreams, info, nil)
			if now.Sub(endedAt[pick.ID]) > 250*time.Millisecond {
				n++
			}
			b.Started(Upstream{ID: pick.ID}, info)
			endedAt[pick.ID] = now.Add(20 * time.Millisecond)
			b.Ended(endedAt[pick.ID], pick.ID, OutcomeSuccess)
		}
		return n
	}
	with, without := newConnections(250*time.Millisecond), newConnections(0)
	t.Logf("%d of 500 calls opened a connection, %d without a preference for idle connections", with, without)
	if 4*with > without {
		t.Errorf("%d calls opened a connection, want at most a quarter of the %d without a preference", with, without)
	}
}

// simulateFailures simulates plain calls, a third of which are non-repeatable, at less than
// half of the capacity of 12 upstreams. 7 of these fail the given share of their calls. It
// returns the shares of the non-repeatable and of the repeatable calls that are sent to the
// 5 healthy upstreams, and the share of all calls that are sent to an upstream without a
// free slot.
func simulateFailures(share float64) (nonRepeatable, repeatable, full float64) {
	var upstreams []Upstream
	for i := range 12 {
		id := "app-" + string(rune('a'+i))
		upstreams = append(upstreams, Upstream{ID: id, Slots: 6, Hash: HashID(id)})
	}
	type call struct {
		upstream int
		ends     time.Time
	}
	b := NewBalancer(BalancerConfig{Seed: 5})
	rng := rand.New(rand.NewPCG(5, 1))
	now := time.Unix(100, 0)
	var running []call
	healthy, calls := map[bool]float64{}, map[bool]float64{}
	const total = 3000
	for i := range total {
		now = now.Add(2 * time.Millisecond)
		running = slices.DeleteFunc(running, func(c call) bool {
			if c.ends.After(now) {
				return false
			}
			outcome := OutcomeSuccess
			if c.upstream < 7 && rng.Float64() < share {
				outcome = OutcomeFailure
			}
			b.Ended(now, upstreams[c.upstream].ID, outcome)
			return true
		})
		info := &CallInfo{Repeatable: i%3 != 0}
		pick, _ := b.Choose(now, upstreams, info, nil)
		index := slices.IndexFunc(upstreams, func(u Upstream) bool { return u.ID == pick.ID })
		b.Started(upstreams[index], info)
		running = append(running, call{index, now.Add(time.Duration(30+rng.IntN(60)) * time.Millisecond)})
		calls[info.Repeatable]++
		if pick.InFlight >= pick.Slots {
			full++
		}
		if index >= 7 {
			healthy[info.Repeatable]++
		}
	}
	return healthy[false] / calls[false], healthy[true] / calls[true], full / total
}

// TestNonRepeatableCallsAvoidFailingUpstreams has 7 of 12 upstreams lose 1 answer in 20.
// Non-repeatable calls should avoid these more than repeatable ones do. If all calls avoided
// them, calls would queue at the other 5 at less than half of the total capacity.
func TestNonRepeatableCallsAvoidFailingUpstreams(t *testing.T) {
	const evenShare = 5. / 12
	nonRepeatable, repeatable, full := simulateFailures(0.05)
	t.Logf("healthy upstreams get %.2f of the non-repeatable and %.2f of the repeatable calls; %.3f of all calls find no free slot", nonRepeatable, repeatable, full)
	if nonRepeatable < 1.5*evenShare || repeatable > nonRepeatable {
		t.Errorf("healthy upstreams get %.2f of the non-repeatable calls, want at least %.2f, and %.2f of the repeatable ones, want no more than that", nonRepeatable, 1.5*evenShare, repeatable)
	}
	if full > 0.05 {
		t.Errorf("%.2f of the calls find no free slot, want at most 0.05", full)
	}
}

// TestUpstreamsWithHighFailureRate checks that upstreams which fail half of their calls get
// few calls.
func TestUpstreamsWithHighFailureRate(t *testing.T) {
	if nonRepeatable, repeatable, _ := simulateFailures(0.5); nonRepeatable < 0.95 || repeatable < 0.85 {
		t.Errorf("healthy upstreams get %.2f of the non-repeatable and %.2f of the repeatable calls, want at least 0.95 and 0.85", nonRepeatable, repeatable)
	}
}

// TestConversationStaysDespiteTwoMoreCalls checks that a conversation whose last turns are
// cached at an engine with 6 calls does not move to one with 4, except by a rare tie break.
// Recomputing its 2,000 tokens there would cost more engine time than two more calls in the
// batch.
func TestConversationStaysDespiteTwoMoreCalls(t *testing.T) {
	upstreams := []Upstream{{ID: "here", Slots: 12, CacheTokens: 200_000}, {ID: "there", Slots: 12, CacheTokens: 200_000}}
	b := NewBalancer(BalancerConfig{Seed: 1})
	now := time.Unix(100, 0)
	firstPart, rest := PromptPart{ID: 1, Tokens: 12_000}, PromptPart{ID: 2, Tokens: 2_000}
	for range 6 {
		b.Started(upstreams[0], &CallInfo{Prompt: []PromptPart{firstPart, rest}})
	}
	for range 4 {
		b.Started(upstreams[1], &CallInfo{Prompt: []PromptPart{firstPart}})
	}
	info := &CallInfo{Prompt: []PromptPart{firstPart, rest, {ID: 3, Tokens: 500}}, Tokens: 14_500, Generate: 324, LastUpstream: "here"}
	stayed := 0
	for range 20 {
		if pick, _ := b.Choose(now, upstreams, info, nil); pick.ID == "here" {
			stayed++
		}
	}
	if stayed < 18 {
		t.Errorf("the conversation stays at its engine %d of 20 times, want at least 18", stayed)
	}
}

// TestHeldUpstreamIsLeftOut checks that a limited upstream which accepts no call now is left out unless
// the call can wait for it, and that it does not count as idle.
func TestHeldUpstreamIsLeftOut(t *testing.T) {
	b := NewBalancer(BalancerConfig{Seed: 1})
	now := time.Unix(100, 0)
	upstreams := []Upstream{{ID: "limited", Service: "llm", Slots: 10}, {ID: "other", Service: "llm", Slots: 10}}
	info := &CallInfo{Tokens: 100, Generate: 100}
	b.SetLimit("limited", 4)
	b.Hold("limited", now.Add(300*time.Millisecond))
	for range 20 {
		pick, _ := b.Choose(now, upstreams, info, nil)
		if pick.ID != "other" || pick.Alternative {
			t.Fatalf("%+v, want the other upstream, without an alternative", pick)
		}
		b.Started(upstreams[1], info)
	}
	if load := b.Load(now, upstreams); load < 1.7 { // 20 calls, 10 slots and 1.2 of the limited one
		t.Errorf("load %.2f, want the slots of the limited upstream to count by its limit", load)
	}
	if _, ok := b.Choose(now, upstreams, info, []string{"other"}); ok {
		t.Error("a held upstream was chosen")
	}
	patient := *info
	patient.Patience = 300 * time.Millisecond
	if pick, ok := b.Choose(now, upstreams, &patient, []string{"other"}); !ok || pick.ID != "limited" {
		t.Errorf("%+v, want the held upstream for a call that waits", pick)
	}
	b.Hold("other", now.Add(500*time.Millisecond))
	for _, want := range []time.Duration{300, 800, 1300} { // two entries share 4 calls per second
		if after, held := b.RetryAfter(now, upstreams, nil, 2); !held || after != want*time.Millisecond {
			t.Errorf("%v, %v, want callers to return one after the other, this one after %d ms", after, held, want)
		}
	}
	b.RemoveLimit("limited")
	if pick, ok := b.Choose(now, upstreams, info, nil); !ok || pick.ID != "limited" {
		t.Errorf("%+v, want the upstream whose limit has ended", pick)
	}
}

// TestUnsentPromptIsNotCached checks that the prompt of a call which a limited upstream did not accept
// draws no later calls there.
func TestUnsentPromptIsNotCached(t *testing.T) {
	b := NewBalancer(BalancerConfig{Seed: 1})
	now := time.Unix(100, 0)
	upstreams := []Upstream{{ID: "limited", Service: "llm", Slots: 10, CacheTokens: 1 << 20}}
	info := &CallInfo{Tokens: 100, Generate: 100, Prompt: []PromptPart{{ID: 1, Tokens: 100}}}
	b.SetLimit("limited", 4)
	b.Started(upstreams[0], info)
	b.Ended(now, "limited", OutcomeInconclusive)
	if pick, _ := b.Choose(now, upstreams, info, nil); pick.Cached != 0 {
		t.Errorf("%d tokens count as cached after a call that was not sent, want none", pick.Cached)
	}
	b.Started(upstreams[0], info)
	b.Permitted("limited", info)
	if pick, _ := b.Choose(now, upstreams, info, nil); pick.Cached != 100 {
		t.Errorf("%d tokens count as cached after a call that was sent, want 100", pick.Cached)
	}
}

// TestLoadWhileAllUpstreamsAreHeld checks that the load refuses new programs when no upstream accepts a
// call soon, although few calls are in flight.
func TestLoadWhileAllUpstreamsAreHeld(t *testing.T) {
	b := NewBalancer(BalancerConfig{Seed: 1})
	now := time.Unix(100, 0)
	upstreams := []Upstream{{ID: "a", Service: "llm", Slots: 10}, {ID: "b", Service: "llm", Slots: 10}}
	for i, u := range upstreams {
		b.SetLimit(u.ID, 1)
		b.Hold(u.ID, now.Add(time.Duration(i+1)*250*time.Millisecond))
	}
	if load := b.Load(now, upstreams); load != 2 {
		t.Errorf("load %.2f, want 2 when the first upstream is free in 250 ms", load)
	}
	if load := b.Load(now.Add(250*time.Millisecond), upstreams); load != 0 {
		t.Errorf("load %.2f, want 0 when one is free", load)
	}
}
