package quota

import (
	"math/rand"
	"testing"
	"time"
)

var owner = View{Rank: 0, Share: 1, Stable: time.Unix(900, 0)}

func newTestGrants(l Limit) (*Grants, time.Time) {
	g := NewGrants(time.Unix(900, 0), 7)
	now := time.Unix(1000, 0)
	g.SetLimits(now, 1, []Limit{l})
	g.reassessed = now
	return g, now
}

// TestRepeatedQuestionTakesNothing guards against tokens lost to a question that is sent again or arrives late.
func TestRepeatedQuestionTakesNothing(t *testing.T) {
	l := Limit{"org", 10, 10}
	g, now := newTestGrants(l)
	q := Question{Organisation: "org", From: "a", Seq: 5, Want: 4}
	first := g.Answer(now, q, owner)
	level := g.buckets["org"].level
	if again := g.Answer(now, q, owner); again != first || g.buckets["org"].level != level {
		t.Errorf("answered %+v, then %+v; level %v, then %v", first, again, level, g.buckets["org"].level)
	}
	q.Seq = 4
	if a := g.Answer(now, q, owner); a.Outcome != Unknown || g.buckets["org"].level != level {
		t.Errorf("an overtaken question got %+v", a)
	}
}

// TestSuspendedGrantorStartsEmpty guards against the burst being granted twice: by a grantor that was suspended and
// by the one that replaced it.
func TestSuspendedGrantorStartsEmpty(t *testing.T) {
	g, now := newTestGrants(Limit{"org", 10, 1000})
	g.Answer(now, Question{Organisation: "org", From: "a", Seq: 1, Want: 1}, owner)
	now = now.Add(3 * time.Second)
	if a := g.Answer(now, Question{Organisation: "org", From: "a", Seq: 2, Want: 100}, owner); a.Outcome != Unknown {
		t.Errorf("a grantor that was suspended granted %+v", a)
	}
	if !g.Reassess(now, func(string) View { return owner }) {
		t.Error("no gap reported")
	}
	total := uint64(0)
	for seq := uint64(3); seq < 100; seq++ {
		total += g.Answer(now, Question{Organisation: "org", From: "a", Seq: seq, Want: 100}, owner).Count
	}
	if most := (Limit{"org", 10, 1000}).reserve(0); float64(total) > most {
		t.Errorf("granted %d, its reserve is %.0f", total, most)
	}
}

// TestUnusedTokensAreCredited guards against a limit that is used up by tokens nobody uses.
func TestUnusedTokensAreCredited(t *testing.T) {
	g, now := newTestGrants(Limit{"org", 10, 100})
	a := g.Answer(now, Question{Organisation: "org", From: "a", Seq: 1, Want: 30, Ahead: true}, owner)
	level := g.buckets["org"].level
	g.Answer(now, Question{Organisation: "org", From: "a", Seq: 2, Want: 1, Epoch: a.Epoch, Used: 10, Held: 5}, owner)
	if got, want := g.buckets["org"].level, level+15-1; got != want {
		t.Errorf("level %v after 15 of 30 tokens expired unused, want %v", got, want)
	}
}

// TestExpiredTokensAreNotUsed guards against tokens of a suspended entry that are used beside those of a new grantor.
func TestExpiredTokensAreNotUsed(t *testing.T) {
	h := NewHoldings("a")
	h.SetLimits(1, []Limit{{"org", 10, 10}})
	now := time.Unix(1000, 0)
	h.Take(now, "org", false, false)
	q, _ := h.Question(now, "org", 2, false)
	h.Answered(now.Add(100*time.Millisecond), "org", Answer{Seq: q.Seq, Outcome: Granted, Epoch: 1, Count: 2})
	d := h.Take(now.Add(Lease-1), "org", false, true)
	if d.Outcome != Granted || d.Grant.Valid(now.Add(Lease)) {
		t.Errorf("a token may be used until %v, its lease ends at %v", d.Grant.Expires, now.Add(Lease))
	}
	if d := h.Take(now.Add(Lease), "org", false, false); d.Outcome != Ask {
		t.Errorf("%v with an expired token", d.Outcome)
	}
	if h.Answered(now, "org", Answer{Seq: q.Seq, Outcome: Granted, Epoch: 1, Count: 2}) {
		t.Error("the answer counted twice")
	}
}

// TestReturnedTokenServesAgain guards against requests within the limit that are refused since others did not run.
func TestReturnedTokenServesAgain(t *testing.T) {
	h := NewHoldings("a")
	h.SetLimits(1, []Limit{{"org", 10, 10}})
	now := time.Unix(1000, 0)
	h.Take(now, "org", false, false)
	q, _ := h.Question(now, "org", 1, false)
	h.Answered(now, "org", Answer{Seq: q.Seq, Outcome: Granted, Epoch: 1, Count: 1})
	d := h.Take(now, "org", false, true)
	h.Return(now, d.Grant)
	if d = h.Take(now, "org", false, false); d.Outcome != Granted {
		t.Errorf("%v with a returned token", d.Outcome)
	}
	h.Return(now.Add(time.Second), d.Grant)
	if q, _ := h.Question(now.Add(time.Second), "org", 1, false); q.Returned != 1 {
		t.Errorf("%d tokens reported as returned", q.Returned)
	}
}

// TestSurgeDoesNotCrowdOut guards against organisations that get no service while another one surges within its
// limit: none may be served less than a quarter as often as the mean, as a part of what it offers.
func TestSurgeDoesNotCrowdOut(t *testing.T) {
	for _, part := range []float64{0.8, 0.5, 0.2, 0.05} {
		r := rand.New(rand.NewSource(1))
		entries := []*Fair{NewFair(), NewFair(), NewFair()}
		names := []string{"a", "b", "c", "d", "e", "f", "g", "small"}
		rates := []float64{800, 100, 100, 50, 50, 20, 10, 0.5} // a sends 8 times its usual rate
		offered, served := make([]float64, len(names)), make([]float64, len(names))
		now := time.Unix(1000, 0)
		for step := range 20_000 {
			now = now.Add(time.Millisecond)
			if step%100 == 0 {
				for i, e := range entries {
					for j, to := range entries {
						if i != j {
							to.Receive(now, string(rune('0'+i)), e.Report(now, 20))
						}
					}
				}
			}
			for i, rate := range rates {
				if r.Float64() >= rate/1000 {
					continue
				}
				admitted := entries[r.Intn(3)].Offer(now, names[i], part)
				if step > 3000 {
					offered[i]++
					if admitted {
						served[i]++
					}
				}
			}
		}
		all, allServed := 0.0, 0.0
		for i := range names {
			all += offered[i]
			allServed += served[i]
		}
		mean := allServed / all
		t.Logf("capacity for %.2f: served %.3f", part, mean)
		if mean > part*1.1 || mean < part*0.9 {
			t.Errorf("capacity for %.2f: %.3f served", part, mean)
		}
		for i, name := range names {
			if offered[i] > 0 && served[i]/offered[i] < mean/4 {
				t.Errorf("capacity for %.2f: %s was served %.3f of its requests, the mean is %.3f", part, name, served[i]/offered[i], mean)
			}
		}
	}
}
