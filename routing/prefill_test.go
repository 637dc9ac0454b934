package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestPrefillRateIsLearned checks that the rate of engines far from the default is found from calls
// that wait for other reasons too: 10 ms each, and one in ten behind another prompt. After some
// hundred calls the estimate is off by a fifth at most.
func TestPrefillRateIsLearned(t *testing.T) {
	for _, tokensPerMs := range []float64{38, 336, 900} {
		m, rng := newLatencyModel(), rand.New(rand.NewPCG(1, 2))
		for range 600 {
			tokens := 200 + rng.IntN(4000)
			took := 10 + float64(tokens)/tokensPerMs + rng.Float64()*5
			if rng.IntN(10) == 0 {
				took += 2500 / tokensPerMs
			}
			m.observePrefill(tokens, took)
		}
		if got := 1 / m.prefillMs; math.Abs(got/tokensPerMs-1) > 0.2 {
			t.Errorf("estimated %.0f tokens per ms, want %.0f", got, tokensPerMs)
		}
	}
}

// TestPrefillRateKeepsToItsBounds checks that calls whose times say nothing leave a usable rate.
func TestPrefillRateKeepsToItsBounds(t *testing.T) {
	for name, took := range map[string]func(tokens int) float64{
		"faster with more tokens": func(tokens int) float64 { return 2000 / float64(tokens) },
		"all alike":               func(int) float64 { return 20 },
		"far too slow":            func(tokens int) float64 { return 10 * float64(tokens) },
	} {
		m := newLatencyModel()
		for i := range 500 {
			m.observePrefill(100+37*(i%90), took(100+37*(i%90)))
		}
		if m.prefillMs < minPrefillMs || m.prefillMs > maxPrefillMs {
			t.Errorf("%s: %g ms a token", name, m.prefillMs)
		}
	}
	m := newLatencyModel()
	for range 500 {
		m.observePrefill(1000, 30)
	}
	if got := 1 / m.prefillMs; math.Abs(got/defaultTokensPerMs-1) > 0.01 {
		t.Errorf("calls of equal length changed the rate to %.0f tokens per ms", got)
	}
}

// TestGrownPartIsPartlyCached checks that of a conversation's prompt, whose last part keeps its ID,
// only what was there in the last turn counts as cached.
func TestGrownPartIsPartlyCached(t *testing.T) {
	s := newPrefixSet(100_000)
	s.add([]PromptPart{{ID: 1, Tokens: 2560}, {ID: 2, Tokens: 1200}})
	grown := []PromptPart{{ID: 1, Tokens: 2560}, {ID: 2, Tokens: 2900}}
	if got, want := s.cached(grown), 2560+1200; got != want {
		t.Errorf("%d tokens cached, want %d", got, want)
	}
	if got := s.cached(append(grown, PromptPart{ID: 3, Tokens: 10})); got != 2560+1200 {
		t.Errorf("%d tokens cached of a prompt that goes on behind a grown part", got)
	}
	if grew, ok := s.growth(grown); !ok || grew != 1700 {
		t.Errorf("grown by %d tokens, %v", grew, ok)
	}
}

// TestConversationStaysWherePromptsAreDear checks that a turn stays at the engine of the last one when
// another engine with a smaller batch would have to compute the prompt again, once it is known
// how long these engines take for prompts.
func TestConversationStaysWherePromptsAreDear(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBalancer(BalancerConfig{Seed: 1, NoPrefixAffinity: true})
	ups := []Upstream{{ID: "a", Service: "s", Slots: 24, CacheTokens: 180_000}, {ID: "b", Service: "s", Slots: 24, CacheTokens: 180_000}}
	first := CallInfo{Prompt: []PromptPart{{ID: 1, Tokens: 2500}, {ID: 2, Tokens: 1500}}, Tokens: 4000, Generate: 34}
	for i := range 200 {
		seen := CallInfo{Tokens: 3000 + 10*(i%100)}
		b.ObserveFirstEvent(now, "s", &seen, &Pick{ID: "a", Cached: 2500}, time.Duration(float64(seen.Tokens-2500)/38*float64(time.Millisecond)))
	}
	b.Started(ups[0], &first)
	for range 6 {
		b.Started(ups[0], &CallInfo{})
	}
	turn := CallInfo{Prompt: []PromptPart{{ID: 1, Tokens: 2500}, {ID: 2, Tokens: 2000}}, Tokens: 4500, Generate: 34, LastUpstream: "a"}
	if pick, _ := b.Choose(now, ups, &turn, nil); pick.ID != "a" || pick.Cached != 4000 {
		t.Errorf("chose %s with %d tokens cached, want a with 4000", pick.ID, pick.Cached)
	}
}
