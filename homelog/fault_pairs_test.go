package homelog

import (
	"testing"
	"time"
)

// TestFaultPairs runs one takeover with each pair of faults: the first affects the owner while
// it commits, the second the successor at each stage of the takeover. It guards against a
// takeover that loses acknowledged entries or never ends once all faults are removed.
func TestFaultPairs(t *testing.T) {
	faults := []string{"", "lose-answer", "late", "duplicate", "reorder", "refuse", "pause", "disconnect", "outage", "kill"}
	const moments, step = 14, 2 * time.Millisecond
	for _, first := range faults {
		for _, second := range faults {
			for moment := range moments {
				sim := newSimulation(Config{MinInterval: time.Millisecond, CheckpointEvery: 3, InlineBytes: 90})
				for _, name := range []string{"a", "b", "c"} {
					sim.start(name)
				}
				sim.advance(10 * time.Millisecond)
				for _, text := range []string{"1", "2", "3", "4"} {
					sim.submit(sim.nodes["a"], "a.1", text, MarkNone)
					sim.advance(step)
				}
				sim.injectFault("a", first)
				sim.submit(sim.nodes["a"], "a.1", "5", MarkNone)
				sim.advance(step)
				sim.deliver(sim.nodes["b"], TakeOver{Log: "a"})
				sim.advance(time.Duration(moment) * step)
				sim.injectFault("b", second)
				sim.advance(time.Second)
				sim.outage = false
				for _, n := range sim.nodes {
					n.disconnected = false
					sim.resume(n)
				}
				successor := "b"
				if sim.nodes["b"].dead {
					successor = "c"
					sim.deliver(sim.nodes["c"], TakeOver{Log: "b"})
				}
				sim.advance(10 * time.Second)
				sim.deliver(sim.nodes[successor], TakeOver{Log: "a"})
				sim.advance(10 * time.Second)
				if sim.violation != "" || sim.owner["a.1"] != successor || len(sim.acknowledged["a.1"]) < 4 {
					t.Fatalf("fault %q at the owner, %q at the successor after %d steps: %s; program a.1 is owned by %q with entries %v",
						first, second, moment, sim.violation, sim.owner["a.1"], sim.acknowledged["a.1"])
				}
			}
		}
	}
}

// injectFault applies a fault to a node, or to its next 2 requests.
func (sim *simulation) injectFault(name, fault string) {
	n := sim.nodes[name]
	switch fault {
	case "":
	case "pause":
		n.paused = true
	case "disconnect":
		n.disconnected = true
	case "outage":
		sim.outage = true
	case "kill":
		n.dead = true
	default:
		n.faults = append(n.faults, fault, fault)
	}
}
