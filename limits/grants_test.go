package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// allowed returns the number of requests that an upstream may get in window at a limit.
func allowed(perSecond float64, window time.Duration) int {
	return int(1.5*perSecond*window.Seconds()) + 5
}

// busiest returns the largest number of times within window.
func busiest(times []time.Duration, window time.Duration) int {
	most := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at <= from+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestGrantsKeepToTheLimit asks for sends at any times and for any waits, of two entries of which one
// takes over from the other or grants its share beside it: in 4 s no more sends may be made
// than are allowed, and entries that ask all the time must get nearly all of the limit.
func TestGrantsKeepToTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		perSecond := rapid.Float64Range(0, 50).Draw(rt, "limit")
		start := time.Unix(100, 0)
		grantors := []*Grants{NewGrants(), NewGrants()}
		shares := []float64{1, ShareBesideAnother}
		takeover := rapid.Bool().Draw(rt, "takeover")
		changeAt := time.Duration(rapid.IntRange(0, 12_000).Draw(rt, "change")) * time.Millisecond
		var sent []time.Duration
		for at := time.Duration(0); at < 16*time.Second; at += time.Duration(rapid.IntRange(1, 200).Draw(rt, "pause")) * time.Millisecond {
			for i, g := range grantors {
				share := shares[i]
				if takeover {
					if (at < changeAt) != (i == 0) {
						continue
					}
					share = 1
				}
				wait := time.Duration(rapid.IntRange(0, 700).Draw(rt, "wait")) * time.Millisecond
				if grant := g.Reserve(start.Add(at), 1, perSecond, share, wait); grant.Granted {
					sent = append(sent, at+grant.Wait)
				}
			}
		}
		if n, most := busiest(sent, 4*time.Second), allowed(perSecond, 4*time.Second); n > most {
			rt.Fatalf("%d sends in 4 s at a limit of %v per second, %d are allowed", n, perSecond, most)
		}
	})
}

// TestGrantsUseTheLimit checks that entries which return when they are told get the whole limit between
// them, each a part of it.
func TestGrantsUseTheLimit(t *testing.T) {
	const entries, perSecond = 40, 2.0
	g := NewGrants()
	start := time.Unix(100, 0)
	returns, got := make([]time.Duration, entries), make([]int, entries)
	total, questions := 0, 0
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		for i := range entries {
			if at < returns[i] {
				continue
			}
			questions++
			grant := g.Reserve(start.Add(at), 1, perSecond, 1, 50*time.Millisecond)
			if grant.Granted {
				total++
				got[i]++
			}
			returns[i] = at + max(grant.Retry, 10*time.Millisecond)
		}
	}
	if want := int(perSecond * 60 * 0.9); total < want {
		t.Errorf("%d sends in a minute at a limit of %v per second, want %d or more", total, perSecond, want)
	}
	if most := 20 * 60 * entries / 40; questions > most {
		t.Errorf("%d questions in a minute, want %d at most", questions, most)
	}
}

// TestHigherLimitTakesEffect checks that a schedule made for a low limit does not delay sends after the
// upstream has named a higher one.
func TestHigherLimitTakesEffect(t *testing.T) {
	g := NewGrants()
	now := time.Unix(100, 0)
	g.Reserve(now, 1, 0, 1, Horizon)
	g.Reserve(now.Add(Horizon), 1, 0, 1, Horizon)
	if grant := g.Reserve(now.Add(2*Horizon), 1, 100, 1, Horizon); grant.Retry > time.Second {
		t.Errorf("%+v, want a send within a second", grant)
	}
}
