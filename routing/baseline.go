package routing

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

// roundRobin takes the usable candidates in turn.
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

// leastLoad takes the candidate with the fewest calls running and queued.
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

func calls(c *Candidate) int { return c.Load.Running + c.Load.Queued }

// stickyHash sends all calls of a program to the candidate of highest rendezvous weight.
type stickyHash struct {
	maxQueue int
}

// Choose implements Policy.
func (p *stickyHash) Choose(now time.Time, call *structs.ModelCall, blocks []uint64, candidates []Candidate) (Decision, bool) {
	var best *Candidate
	var most uint64
	for i := range candidates {
		c := &candidates[i]
		if !usable(c, call.Model, p.maxQueue) {
			continue
		}
		weight := Rendezvous(string(call.Program), string(c.Load.Upstream))
		if best == nil || weight > most {
			best, most = c, weight
		}
	}
	if best == nil {
		return Decision{}, false
	}
	return predict(now, call, blocks, best), true
}

// Rendezvous returns the weight of a node for a key; the node of highest weight is
// the key's own, and a node's loss moves only its own keys.
func Rendezvous(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(node)
	return d.Sum64()
}
