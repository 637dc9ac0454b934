package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestUsedRequestsKeepToTheBound guards against more requests than the limit allows: it drives an
// organisation through all entries at a multiple of its limit while entries are partitioned, killed,
// restarted and suspended, while datagrams are lost, doubled and late, and while the limit changes.
func TestUsedRequestsKeepToTheBound(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.SampledFrom([]float64{1, 5, 40, 150}).Draw(rt, "rate")
		l := Limit{"org", rate, rate * rapid.SampledFrom([]float64{0.1, 1, 3}).Draw(rt, "burst")}
		s := newSim(rapid.Int64().Draw(rt, "seed"), rapid.IntRange(2, 7).Draw(rt, "entries"), l)
		s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(rt, "loss")
		s.dup, s.late = rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "doubled"), rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "late")
		multiple := rapid.SampledFrom([]float64{0.6, 1.5, 8}).Draw(rt, "load")
		idle := rapid.Bool().Draw(rt, "idle")
		groups := make(map[string]int)
		s.cut = func(a, b *simEntry) bool { return groups[a.name] != groups[b.name] }
		limitOf := map[*simEntry]Limit{}
		for _, e := range s.entries {
			limitOf[e] = l
		}
		changes := []struct {
			at    time.Time
			limit Limit
		}{{s.now, l}}
		const steps = int(16 * time.Second / simStep)
		next := 0
		pendingVersion := map[string]time.Time{}
		quiet := false
		for step := range steps {
			if step == next {
				next += rapid.IntRange(10, 500).Draw(rt, "pause")
				e := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(rt, "entry")]
				switch rapid.SampledFrom([]string{"halves", "cut", "heal", "kill", "restart", "freeze", "limit", "quiet"}).Draw(rt, "event") {
				case "halves":
					for i, e := range s.entries {
						groups[e.name] = i % 2
					}
				case "cut":
					groups[e.name] = 2
				case "heal":
					clear(groups)
				case "kill":
					s.kill(e)
				case "restart":
					s.kill(e)
					s.start(e)
				case "freeze":
					if e.up {
						e.frozenUntil = s.now.Add(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "frozen")) * time.Millisecond)
					}
				case "limit":
					l.PerSecond = rate * rapid.SampledFrom([]float64{0.2, 1, 2}).Draw(rt, "factor")
					s.limits, s.version = []Limit{l}, s.version+1
					changes = append(changes, struct {
						at    time.Time
						limit Limit
					}{s.now, l})
					for _, e := range s.entries {
						pendingVersion[e.name] = s.now.Add(time.Duration(s.r.Intn(3000)) * time.Millisecond)
					}
				case "quiet":
					quiet = idle && !quiet
				}
			}
			s.advance(func(e *simEntry) {
				if at, pending := pendingVersion[e.name]; pending && s.now.After(at) {
					s.setLimits(e)
					delete(pendingVersion, e.name)
				}
				if quiet {
					return
				}
				for range s.poisson(multiple * rate / float64(len(s.entries)) * simStep.Seconds()) {
					s.request(e, &simRequest{organisation: "org", newProgram: s.r.Intn(10) == 0, done: func(o Outcome) { s.outcomes[o]++ }})
				}
			})
		}
		// The bound of a window is that of the highest limit in force within it, where a former
		// limit is in force for one window and 3 s after a change.
		times := s.used["org"]
		first := 0
		for i := range times {
			for times[i].Sub(times[first]) > Window {
				first++
			}
			bound := 0.0
			for c, change := range changes {
				ended := c+1 < len(changes) && changes[c+1].at.Add(3*time.Second+Window).Before(times[first])
				if !ended && !change.at.After(times[i]) {
					bound = max(bound, change.limit.Bound())
				}
			}
			worst = max(worst, float64(i-first+1)/bound)
			if n := i - first + 1; float64(n) > bound {
				rt.Fatalf("%d requests within %v from %v on, the bound is %.1f", n, Window, times[first].Sub(time.Unix(1000, 0)), bound)
			}
		}
	})
	t.Logf("at most %.2f of the bound", worst)
}

// TestOneWayLossKeepsToTheBound guards against two grantors of one organisation when datagrams of one direction only
// are lost between two halves: the half that hears nothing replaces the grantor, which goes on.
func TestOneWayLossKeepsToTheBound(t *testing.T) {
	l := Limit{"org", 150, 150}
	s := newSim(1, 6, l)
	parts := spread(6)
	s.serve(7*time.Second, "org", 90, parts)
	grantor := s.ranked(s.entries[0], "org")[0]
	half := map[string]bool{grantor: true, s.ranked(s.entries[0], "org")[2]: true, s.ranked(s.entries[0], "org")[4]: true}
	s.cut = func(a, b *simEntry) bool { return half[a.name] && !half[b.name] }
	s.serve(12*time.Second, "org", 8*l.PerSecond, parts)
	if n, _ := busiest(s.used["org"]); float64(n) > l.Bound() {
		t.Errorf("%d requests within %v, the bound is %.0f", n, Window, l.Bound())
	}
}
