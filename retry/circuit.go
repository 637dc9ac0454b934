package retry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// attemptID identifies one attempt of a call.
type attemptID struct {
	call    structs.CallID
	attempt uint32
}

// circuit is the circuit breaker of one upstream. While open it admits no call before
// the time until, and after it one probe at a time.
type circuit struct {
	// failures counts the failures in a row while the circuit is closed.
	failures int
	open     bool
	// until is the time from which a probe may be sent.
	until time.Time
	// wait is the unjittered time for which the circuit was last opened.
	wait time.Duration
	// probing is the probe in flight, sent at probeSent; zero when there is none.
	probing   attemptID
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

// Allows reports whether a call may be sent to the upstream at time now.
func (m *Machine) Allows(now time.Time, u structs.UpstreamID) bool {
	c := m.circuits[u]
	if c == nil || !c.open {
		return true
	}
	if c.probing != (attemptID{}) && now.Sub(c.probeSent) < m.cfg.ProbeTimeout {
		return false
	}
	return !now.Before(c.until)
}

// OpenCircuits returns the upstreams whose circuits are open, sorted by id.
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

// Forget drops the circuits of all upstreams that are not in known.
func (m *Machine) Forget(known []structs.UpstreamID) {
	for u := range m.circuits {
		if !slices.Contains(known, u) {
			delete(m.circuits, u)
		}
	}
}

// sent records an attempt; while the circuit is open that attempt is its probe.
func (c *circuit) sent(now time.Time, p attemptID) {
	if c.open {
		c.probing = p
		c.probeSent = now
	}
}

// succeeded resets the circuit. Only its probe closes an open circuit: an answer to a
// call that was sent before the circuit opened says nothing about the upstream now.
func (c *circuit) succeeded(p attemptID) {
	if c.open && p != c.probing {
		return
	}
	*c = circuit{}
}

// endProbe ends a probe whose result says nothing about the upstream's health, so that
// another probe may be sent.
func (c *circuit) endProbe(p attemptID) {
	if p == c.probing {
		c.probing = attemptID{}
	}
}

// failed counts a failure, which may open the circuit. Only the failure of its probe
// counts against an open circuit.
func (c *circuit) failed(cfg Config, now time.Time, rng *rand.Rand, p attemptID) {
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

// trip opens the circuit, or keeps an open one open for twice as long as before.
func (c *circuit) trip(cfg Config, now time.Time, rng *rand.Rand) {
	c.open = true
	c.probing = attemptID{}
	c.wait = min(max(2*c.wait, cfg.OpenTime), cfg.OpenMax)
	c.until = now.Add(jitter(rng, c.wait))
}
