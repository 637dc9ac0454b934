package routing

import (
	"math/rand/v2"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Services chooses application engines: the less loaded of two random ones (power of two
// choices), which may be the same. It is not safe for concurrent use.
type Services struct {
	rand   *rand.Rand
	usable []int
}

// NewServices returns a Services whose random numbers are seeded with seed.
func NewServices(seed uint64) *Services {
	return &Services{rand: rand.New(rand.NewPCG(seed, seed))}
}

// Choose returns the application engine for a call of the named service. All candidates
// must be application engines. It returns false when none of them may take the call.
func (s *Services) Choose(name string, candidates []Candidate) (structs.UpstreamID, bool) {
	s.usable = s.usable[:0]
	for i := range candidates {
		c := &candidates[i]
		if !c.Load.Draining && !c.Excluded && runs(&c.Load, name) {
			s.usable = append(s.usable, i)
		}
	}
	if len(s.usable) == 0 {
		return "", false
	}
	a := &candidates[s.draw()]
	b := &candidates[s.draw()]
	if weightedLoad(b) < weightedLoad(a) {
		a = b
	}
	return a.Load.Upstream, true
}

// runs reports whether an application engine runs the service. An engine that lists no
// services runs all of them.
func runs(l *structs.Load, name string) bool { return len(l.Models) == 0 || serves(l, name) }

// draw returns the index of a random usable candidate.
func (s *Services) draw() int { return s.usable[s.rand.IntN(len(s.usable))] }

// weightedLoad returns the number of the candidate's running and queued calls, including
// the new one, multiplied by its slowness.
func weightedLoad(c *Candidate) float64 {
	return float64(calls(c)+1) * max(1, c.Slowness)
}
