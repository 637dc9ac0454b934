package homelog

import (
	"testing"
	"time"
)

// TestFaultPairs runs one takeover with each pair of faults, the first befalling the holder
// while it commits and the second the adopter at each moment of its work. Afterwards all
// faults heal, and the adopter has every acknowledged entry.
func TestFaultPairs(t *testing.T) {
	faults := []string{"", "lose-answer", "late", "duplicate", "reorder", "refuse", "pause", "cut", "outage", "kill"}
	const moments, step = 14, 2 * time.Millisecond
	for _, first := range faults {
		for _, second := range faults {
			for moment := range moments {
				w := newWorld(Config{MinInterval: time.Millisecond, CheckpointEvery: 3, InlineBytes: 90})
				for _, name := range []string{"a", "b", "c"} {
					w.start(name)
				}
				w.advance(10 * time.Millisecond)
				for _, text := range []string{"1", "2", "3", "4"} {
					w.submit(w.nodes["a"], "a.1", text, MarkNone)
					w.advance(step)
				}
				w.befall("a", first)
				w.submit(w.nodes["a"], "a.1", "5", MarkNone)
				w.advance(step)
				w.deliver(w.nodes["b"], TakeOver{Log: "a"})
				w.advance(time.Duration(moment) * step)
				w.befall("b", second)
				w.advance(time.Second)
				w.outage = false
				for _, n := range w.nodes {
					n.cut = false
					w.resume(n)
				}
				successor := "b"
				if w.nodes["b"].dead {
					successor = "c"
					w.deliver(w.nodes["c"], TakeOver{Log: "b"})
				}
				w.advance(10 * time.Second)
				w.deliver(w.nodes[successor], TakeOver{Log: "a"})
				w.advance(10 * time.Second)
				if w.broken != "" || w.owner["a.1"] != successor || len(w.kept["a.1"]) < 4 {
					t.Fatalf("%q at the holder, %q at the adopter after %d steps: %s; program a.1 is at %q with %v",
						first, second, moment, w.broken, w.owner["a.1"], w.kept["a.1"])
				}
			}
		}
	}
}

// befall lets a fault befall a node.
func (w *world) befall(name, fault string) {
	n := w.nodes[name]
	switch fault {
	case "":
	case "pause":
		n.paused = true
	case "cut":
		n.cut = true
	case "outage":
		w.outage = true
	case "kill":
		n.dead = true
	default:
		n.faults = append(n.faults, fault, fault)
	}
}
