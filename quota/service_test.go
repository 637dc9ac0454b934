package quota

import (
	"testing"
	"time"
)

// spread returns entries' parts of the load, the first many times those of the last.
func spread(n int) []float64 {
	parts, sum := make([]float64, n), 0.0
	for i := range parts {
		parts[i] = 1 / float64(i+2)
		sum += parts[i]
	}
	for i := range parts {
		parts[i] /= sum
	}
	return parts
}

// serve runs the simulation with requests at perSecond over all entries and returns the outcomes.
func (s *sim) serve(d time.Duration, organisation string, perSecond float64, parts []float64) map[Outcome]int {
	out := map[Outcome]int{}
	index := map[*simEntry]int{}
	for i, e := range s.entries {
		index[e] = i
	}
	for range int(d / simStep) {
		s.advance(func(e *simEntry) {
			for range s.poisson(perSecond * parts[index[e]] * simStep.Seconds()) {
				s.request(e, &simRequest{organisation: organisation, done: func(o Outcome) { out[o]++ }})
			}
		})
	}
	return out
}

// TestNothingRefusedBelowLimit guards against tokens that are out of reach at entries with less traffic: a load
// below the limit, unevenly spread, must not be refused more than by one central bucket.
func TestNothingRefusedBelowLimit(t *testing.T) {
	for _, c := range []struct{ rate, burst, load float64 }{{699, 699, 0.95}, {5, 5, 0.95}, {5, 5, 0.6}, {40, 40, 0.95}, {40, 8, 0.95}, {1, 1, 0.6}} {
		s := newSim(1, 27, Limit{"org", c.rate, c.burst})
		parts := spread(27)
		s.serve(8*time.Second, "org", c.rate*0.6, parts) // the bucket starts empty, the central one full
		s.questions = 0
		var arrivals []time.Time
		out := map[Outcome]int{}
		for range int(60 * time.Second / simStep) {
			s.advance(func(e *simEntry) {
				for i := range s.entries {
					if s.entries[i] != e {
						continue
					}
					for range s.poisson(c.rate * c.load * parts[i] * simStep.Seconds()) {
						arrivals = append(arrivals, s.now)
						s.request(e, &simRequest{organisation: "org", done: func(o Outcome) { out[o]++ }})
					}
				}
			})
		}
		for range 100 { // the last questions are answered
			s.advance(func(*simEntry) {})
		}
		central, level, at := 0, c.burst, arrivals[0]
		for _, a := range arrivals {
			level = min(c.burst, level+a.Sub(at).Seconds()*c.rate)
			at = a
			if level >= 1 {
				level--
			} else {
				central++
			}
		}
		refused := len(arrivals) - out[Granted]
		t.Logf("rate %g, burst %g, load %g: %d of %d refused %v, %d by a central bucket, %.2f questions per request", c.rate, c.burst, c.load, refused, len(arrivals), out, central, float64(s.questions)/float64(len(arrivals)))
		if refused > central {
			t.Errorf("rate %g, burst %g, load %g: %d of %d refused, a central bucket refuses %d", c.rate, c.burst, c.load, refused, len(arrivals), central)
		}
	}
}

// TestPartitionKeepsUsualShare guards against an organisation that is refused its usual requests in a half.
func TestPartitionKeepsUsualShare(t *testing.T) {
	s := newSim(2, 26, Limit{"org", 699, 699})
	parts := spread(26)
	s.serve(7*time.Second, "org", 437, parts)
	index := map[*simEntry]int{}
	for i, e := range s.entries {
		index[e] = i % 2
	}
	s.cut = func(a, b *simEntry) bool { return index[a] != index[b] }
	first := s.serve(1500*time.Millisecond, "org", 437, parts)
	later := s.serve(10*time.Second, "org", 437, parts)
	s.cut = func(*simEntry, *simEntry) bool { return false }
	healed := s.serve(2*time.Second, "org", 437, parts)
	t.Logf("first 1.5 s %v, then %v, healed %v", first, later, healed)
	if n := later[OverLimit] + later[Unknown] + healed[OverLimit] + healed[Unknown]; n > 0 {
		t.Errorf("%d requests refused", n)
	}
}

// TestGrantorKilled guards against an outage of an organisation after its grantor was killed: until that is
// replaced, the stand-ins grant their reserve; from 1.5 s on nothing is refused.
func TestGrantorKilled(t *testing.T) {
	for _, l := range []Limit{{"org", 699, 699}, {"org", 40, 40}, {"org", 5, 5}} {
		s := newSim(3, 27, l)
		parts := spread(27)
		s.serve(7*time.Second, "org", l.PerSecond/1.6, parts)
		s.kill(s.peer(s.ranked(s.entries[0], "org")[0]))
		for i, e := range s.entries {
			if !e.up {
				parts[i] = 0
			}
		}
		first := s.serve(1500*time.Millisecond, "org", l.PerSecond/1.6, parts)
		later := s.serve(5*time.Second, "org", l.PerSecond/1.6, parts)
		t.Logf("%v: first 1.5 s %v, then %v", l, first, later)
		if n := later[OverLimit] + later[Unknown]; n > 0 {
			t.Errorf("%v: %d requests refused after the grantor was replaced", l, n)
		}
		usual := l.PerSecond / 1.6 * (simSilent + Handover).Seconds()
		if n := float64(first[OverLimit] + first[Unknown]); n > max(0, usual-l.reserve(1)) {
			t.Errorf("%v: %.0f requests refused before the grantor was replaced", l, n)
		}
	}
}

// TestProgramsOverLimit guards against programs that all begin and then lack requests: programs of about 12 requests over
// 3 s arrive at five times the limit for 6.5 s. Of those that the limit allows, 0.8 must end without a refused request.
func TestProgramsOverLimit(t *testing.T) {
	for seed, l := range []Limit{{"org", 699, 699}, {"org", 120, 120}, {"org", 120, 120}, {"org", 250, 100}} {
		s := newSim(int64(4+seed), 27, l)
		type program struct {
			next time.Time
			left int
		}
		running := map[*simEntry][]*program{}
		var completed, started, refused, broken int
		counting := false
		run := func(d time.Duration, perSecond float64) {
			for range int(d / simStep) {
				s.advance(func(e *simEntry) {
					for range s.poisson(perSecond / 27 * simStep.Seconds()) {
						p := &program{left: 7 + s.r.Intn(10), next: s.now.Add(time.Duration(150+s.r.Intn(200)) * time.Millisecond)}
						counted := counting
						s.request(e, &simRequest{organisation: "org", newProgram: true, done: func(o Outcome) {
							if o != Granted {
								if counted {
									refused++
								}
								return
							}
							if counted {
								started++
							}
							at := s.entries[s.r.Intn(27)]
							running[at] = append(running[at], p)
						}})
					}
					kept := running[e][:0:0]
					now := running[e]
					running[e] = nil
					for _, p := range now {
						if s.now.Before(p.next) {
							kept = append(kept, p)
							continue
						}
						s.request(e, &simRequest{organisation: "org", done: func(o Outcome) {
							p.left--
							switch {
							case o != Granted:
								broken++
							case p.left == 0:
								completed++
							default:
								p.next = s.now.Add(time.Duration(150+s.r.Intn(200)) * time.Millisecond)
								at := s.entries[s.r.Intn(27)]
								running[at] = append(running[at], p)
							}
						}})
					}
					running[e] = append(running[e], kept...)
				})
			}
		}
		usual := l.PerSecond / 12.5 / 1.6
		run(20*time.Second, usual)
		if broken > 0 {
			t.Errorf("%v: %d programs broken at the usual rate", l, broken)
		}
		before := completed
		counting, broken = true, 0
		run(6500*time.Millisecond, 5*l.PerSecond/12.5)
		counting = false
		run(4*time.Second, 0)
		allowed := (l.PerSecond*6.5 + l.Burst) / 12.5
		most, _ := busiest(s.used["org"])
		t.Logf("%v: %d begun, %d refused, %d broken, %d completed in all, the limit allows %.0f; busiest window %d of %.0f", l, started, refused, broken, completed-before, allowed, most, l.Bound())
		if float64(started-broken) < 0.8*allowed {
			t.Errorf("%v: %d of %.0f programs completed", l, started-broken, allowed)
		}
	}
}
