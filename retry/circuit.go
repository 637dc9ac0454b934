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

// circuit is the circuit breaker of one upstream. An open circuit admits no call until
// probeFrom, and from then on one probe at a time.
type circuit struct {
	// failures counts the consecutive failures while the circuit is closed.
	failures int
	open     bool
	// probeFrom is the time from which a probe may be sent.
	probeFrom time.Time
	// openTime is the mean of the latest open time, before jitter.
	openTime time.Duration
	// probe is the probe in flight, or the zero attemptID if there is none. probeSent is
	// when it was sent.
	probe     attemptID
	probeSent time.Time
}

// circuitOf returns the circuit of an upstream and creates a closed one if there is none.
func (m *Machine) circuitOf(u structs.UpstreamID) *circuit {
	c := m.circuits[u]
	if c == nil {
		c = &circuit{}
		m.circuits[u] = c
	}
	return c
}

// Allows reports whether a call may be sent to the upstream at time now. It does not
// reserve the probe of an open circuit; a Sent message does.
func (m *Machine) Allows(now time.Time, u structs.UpstreamID) bool {
	c := m.circuits[u]
	if c == nil || !c.open {
		return true
	}
	if c.probe != (attemptID{}) && now.Sub(c.probeSent) < m.cfg.ProbeTimeout {
		return false
	}
	return !now.Before(c.probeFrom)
}

// OpenCircuits returns the upstreams whose circuits are open, sorted by ID.
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

// Retain drops the circuits of all upstreams that are not in known.
func (m *Machine) Retain(known []structs.UpstreamID) {
	for u := range m.circuits {
		if !slices.Contains(known, u) {
			delete(m.circuits, u)
		}
	}
}

// sent makes the attempt the probe of an open circuit. It has no effect on a closed one.
func (c *circuit) sent(now time.Time, id attemptID) {
	if c.open {
		c.probe = id
		c.probeSent = now
	}
}

// succeeded closes the circuit and resets its failure count. An open circuit is closed only
// by the current probe: the success of a call that was sent before the circuit opened does
// not show that the upstream is healthy now.
func (c *circuit) succeeded(id attemptID) {
	if c.open && id != c.probe {
		return
	}
	*c = circuit{}
}

// endProbe ends a probe whose failure does not show whether the upstream is healthy, so
// that another probe may be sent.
func (c *circuit) endProbe(id attemptID) {
	if id == c.probe {
		c.probe = attemptID{}
	}
}

// failed counts a failure and opens the circuit after FailuresToOpen consecutive ones.
// While the circuit is open, only a failure of the current probe has an effect: it extends
// the open time.
func (c *circuit) failed(cfg Config, now time.Time, rng *rand.Rand, id attemptID) {
	if c.open {
		if id == c.probe {
			c.trip(cfg, now, rng)
		}
		return
	}
	c.failures++
	if c.failures >= cfg.FailuresToOpen {
		c.trip(cfg, now, rng)
	}
}

// trip opens the circuit or extends its open time. The mean open time doubles with each
// trip up to OpenMax.
func (c *circuit) trip(cfg Config, now time.Time, rng *rand.Rand) {
	c.open = true
	c.probe = attemptID{}
	c.openTime = min(max(2*c.openTime, cfg.OpenTime), cfg.OpenMax)
	c.probeFrom = now.Add(jitter(rng, c.openTime))
}
