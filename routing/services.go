package routing

import (
	"math/rand/v2"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Services chooses application engines: of two drawn at random, the one with fewer
// calls under way. It is not safe for concurrent use.
type Services struct {
	rand   *rand.Rand
	usable []int
}

// NewServices returns a chooser that draws from the seed.
func NewServices(seed uint64) *Services {
	return &Services{rand: rand.New(rand.NewPCG(seed, seed))}
}

// Choose returns the application engine for a call of the named service, among
// candidates that are all application engines. It returns false when none may take it.
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
	if outstanding(b) < outstanding(a) {
		a = b
	}
	return a.Load.Upstream, true
}

// runs reports whether an application engine runs the service. One that lists no
// services runs them all.
func runs(l *structs.Load, name string) bool { return len(l.Models) == 0 || serves(l, name) }

func (s *Services) draw() int { return s.usable[s.rand.IntN(len(s.usable))] }

// outstanding weighs the calls under way by how slow the engine was found to be.
func outstanding(c *Candidate) float64 {
	return float64(calls(c)+1) * max(1, c.Slowness)
}
