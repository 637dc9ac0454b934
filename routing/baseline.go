package routing

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

// roundRobin chooses the usable candidates in turn.
type roundRobin struct {
	maxQueue int
	next     int
}

// Choose implements Policy.
func (p *roundRobin) Choose(now time.Time, call *structs.ModelCall, blocks []uint64, candidates []Candidate) (Decision, bool) {
	for i := range candidates {
		c := &candidates[(p.next+i)%len(candidates)]
		if usable(c, call.Model, p.maxQueue) {
			p.next = (p.next + i + 1) % len(candidates)
			return predict(now, call, blocks, c), true
		}
	}
	return Decision{}, false
}

// leastLoad chooses the candidate with the fewest running and queued calls.
type leastLoad struct {
	maxQueue int
}

// Choose implements Policy.
func (p *leastLoad) Choose(now time.Time, call *structs.ModelCall, blocks []uint64, candidates []Candidate) (Decision, bool) {
	var best *Candidate
	for i := range candidates {
		c := &candidates[i]
		if !usable(c, call.Model, p.maxQueue) {
			continue
		}
		if best == nil || calls(c) < calls(best) {
			best = c
		}
	}
	if best == nil {
		return Decision{}, false
	}
	return predict(now, call, blocks, best), true
}

// calls returns the number of running and queued calls.
func calls(c *Candidate) int { return c.Load.Running + c.Load.Queued }

// stickyHash chooses the candidate with the highest rendezvous weight for the program, so
// that all calls of a program go to the same upstream.
type stickyHash struct {
	maxQueue int
}

// Choose implements Policy.
func (p *stickyHash) Choose(now time.Time, call *structs.ModelCall, blocks []uint64, candidates []Candidate) (Decision, bool) {
	var best *Candidate
	var highest uint64
	for i := range candidates {
		c := &candidates[i]
		if !usable(c, call.Model, p.maxQueue) {
			continue
		}
		weight := Rendezvous(string(call.Program), string(c.Load.Upstream))
		if best == nil || weight > highest {
			best, highest = c, weight
		}
	}
	if best == nil {
		return Decision{}, false
	}
	return predict(now, call, blocks, best), true
}

// Rendezvous returns the weight of a node for a key in rendezvous hashing. The node with
// the highest weight owns the key, so that the loss of a node moves only its own keys.
func Rendezvous(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(node)
	return d.Sum64()
}
