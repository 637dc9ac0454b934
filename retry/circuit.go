package retry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// probe names one attempt.
type probe struct {
	call    structs.CallID
	attempt uint32
}

// circuit is what an entry knows of one upstream's failures. While open it lets
// nothing through until its time, then one probe at a time.
type circuit struct {
	failures int
	open     bool
	// until is when the next probe may go.
	until time.Time
	wait  time.Duration
	// probing is the probe under way since probeSent; zero when none is.
	probing   probe
	probeSent time.Time
}

func (m *Machine) circuitOf(u structs.UpstreamID) *circuit {
	c := m.circuits[u]
	if c == nil {
		c = &circuit{}
		m.circuits[u] = c
	}
	return c
}

// Allows reports whether a call may go to the upstream at time now.
func (m *Machine) Allows(now time.Time, u structs.UpstreamID) bool {
	c := m.circuits[u]
	if c == nil || !c.open {
		return true
	}
	if c.probing != (probe{}) && now.Sub(c.probeSent) < m.cfg.ProbeTimeout {
		return false
	}
	return !now.Before(c.until)
}

// OpenCircuits returns the upstreams whose circuits are open, in order.
func (m *Machine) OpenCircuits() []structs.UpstreamID {
	var out []structs.UpstreamID
	for u, c := range m.circuits {
		if c.open {
			out = append(out, u)
		}
	}
	slices.Sort(out)
	return out
}

// Forget drops the circuits of upstreams that are not in the list.
func (m *Machine) Forget(known []structs.UpstreamID) {
	for u := range m.circuits {
		if !slices.Contains(known, u) {
			delete(m.circuits, u)
		}
	}
}

func (c *circuit) sent(now time.Time, p probe) {
	if c.open {
		c.probing = p
		c.probeSent = now
	}
}

// succeeded closes an open circuit by its probe alone: an answer to a call that was
// sent before it opened is no news.
func (c *circuit) succeeded(p probe) {
	if c.open && p != c.probing {
		return
	}
	*c = circuit{}
}

// endProbe ends a probe that told nothing of the upstream, so that another may go.
func (c *circuit) endProbe(p probe) {
	if p == c.probing {
		c.probing = probe{}
	}
}

func (c *circuit) failed(cfg Config, now time.Time, rng *rand.Rand, p probe) {
	if c.open {
		if p == c.probing {
			c.trip(cfg, now, rng)
		}
		return
	}
	c.failures++
	if c.failures >= cfg.FailuresToOpen {
		c.trip(cfg, now, rng)
	}
}

// trip opens the circuit, or keeps it open for twice as long.
func (c *circuit) trip(cfg Config, now time.Time, rng *rand.Rand) {
	c.open = true
	c.probing = probe{}
	c.wait = min(max(2*c.wait, cfg.OpenTime), cfg.OpenMax)
	c.until = now.Add(jitter(rng, c.wait))
}
