package homelog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/buckthornroute/buckthornroute/structs"
)

// TestScripts runs the scripts of testdata. They guard against lost, duplicated or reordered
// entries, against two owners of a program, and against rows that remain or disappear wrongly,
// under faults of the platform and of the processes. The simulation checks its invariants after
// each line. A "simulation" block starts anew, a "run" block continues. Each line of a block is
// one verb:
//
//	start NODE [FAULT...] | kill NODE | pause NODE | resume NODE | disconnect NODE | heal [NODE] | outage
//	lose-answer|late|duplicate|reorder|refuse NODE [TIMES]   for the node's next requests
//	submit NODE PROGRAM TEXT [end|reset|bytes=N]
//	corrupt ROW-OR-OBJECT | delete ROW | copy ROW ROW
//	takeover NODE LOG | retire NODE | nodes NODE COUNT | advance DURATION
//	expect NODE | expect PROGRAM | expect rows | expect writes
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var sim *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "simulation" {
				sim = newSimulation(scriptConfig(t, d))
			}
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				if words := strings.Fields(line); len(words) > 0 {
					out.WriteString(sim.run(t, d, words))
				}
				if sim.violation != "" {
					d.Fatalf(t, "after %q: %s", strings.TrimSpace(line), sim.violation)
				}
			}
			return out.String()
		})
	})
}

// scriptConfig returns the settings of a simulation block, with small limits unless the block's
// arguments set them.
func scriptConfig(t *testing.T, d *datadriven.TestData) Config {
	cfg := Config{MinInterval: time.Millisecond, CheckpointEvery: 4, MaxParts: 2, RedirectRetention: time.Second}
	for name, field := range map[string]*int{
		"inline": &cfg.InlineBytes, "pending": &cfg.PendingBytes,
		"checkpoint": &cfg.CheckpointEvery, "batch": &cfg.BatchBytes,
	} {
		if d.HasArg(name) {
			d.ScanArgs(t, name, field)
		}
	}
	return cfg
}

// run carries out one verb and returns its output.
func (sim *simulation) run(t *testing.T, d *datadriven.TestData, words []string) string {
	verb, args := words[0], words[1:]
	var n *node
	if len(args) > 0 {
		n = sim.nodes[args[0]]
	}
	switch verb {
	case "start":
		sim.start(args[0], args[1:]...)
	case "kill":
		n.dead = true
	case "pause":
		n.paused = true
	case "resume":
		sim.resume(n)
	case "disconnect":
		n.disconnected = true
	case "outage":
		sim.outage = true
	case "heal":
		sim.outage = false
		for _, n := range sim.nodes {
			n.disconnected = n.disconnected && len(args) > 0 && n.name != args[0]
		}
	case "lose-answer", "late", "duplicate", "reorder", "refuse":
		times := 1
		if len(args) > 1 {
			fmt.Sscan(args[1], &times)
		}
		for range times {
			n.faults = append(n.faults, verb)
		}
	case "submit":
		if !sim.runSubmit(n, args) {
			return fmt.Sprintf("%s refuses %s\n", n.name, strings.Join(args[1:], " "))
		}
	case "takeover":
		sim.deliver(n, TakeOver{Log: structs.LogID(args[1])})
	case "retire":
		sim.deliver(n, Retire{})
	case "nodes":
		count := 0
		fmt.Sscan(args[1], &count)
		sim.deliver(n, Nodes{Count: count})
	case "advance":
		step, err := time.ParseDuration(args[0])
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		sim.advance(step)
	case "corrupt":
		value := sim.objects[args[0]]
		if value == nil {
			value = sim.rows[args[0]].Value
		}
		value[len(value)/2] ^= 1
	case "delete":
		delete(sim.rows, args[0])
	case "copy":
		sim.rows[args[1]] = Row{Key: args[1], Value: sim.rows[args[0]].Value, Version: 1}
	case "expect":
		return sim.describe(args[0])
	default:
		d.Fatalf(t, "unknown verb %q", verb)
	}
	return ""
}

// runSubmit submits an entry and reports whether the node accepts it.
func (sim *simulation) runSubmit(n *node, args []string) bool {
	text, mark := args[2], MarkNone
	for _, option := range args[3:] {
		size := 0
		if k, _ := fmt.Sscanf(option, "bytes=%d", &size); k == 1 {
			text += strings.Repeat(".", size)
		}
		if option == "end" {
			mark = MarkEnd
		}
		if option == "reset" {
			mark = MarkReset
			sim.acknowledged[structs.ProgramID(args[1])] = nil
		}
	}
	return sim.submit(n, structs.ProgramID(args[1]), text, mark)
}

// describe returns the output of an "expect" line: a node's state, a program's acknowledged
// entries and its owner, the platform's rows and objects, or the number of writes since the last
// "expect writes".
func (sim *simulation) describe(what string) string {
	if n := sim.nodes[what]; n != nil {
		s := n.machine.Status()
		text := fmt.Sprintf("%s: committed %d of %d, %d programs", what, s.Committed, s.LastAppended, s.Programs)
		if !s.OutageSince.IsZero() {
			text += ", outage"
		}
		for _, o := range n.outcomes {
			text += "\n  " + o
		}
		n.outcomes = nil
		return text + "\n"
	}
	switch what {
	case "rows":
		var out strings.Builder
		for _, key := range sortedKeys(sim.rows) {
			fmt.Fprintf(&out, "%s\n", key)
		}
		for _, key := range sortedKeys(sim.objects) {
			fmt.Fprintf(&out, "object %s\n", key)
		}
		return out.String()
	case "writes":
		writes := sim.writes
		sim.writes = 0
		return fmt.Sprintf("%d writes\n", writes)
	}
	p := structs.ProgramID(what)
	return fmt.Sprintf("%s: %s at %s\n", what, shorten(sim.acknowledged[p]), sim.owner[p])
}

// shorten joins the texts without the dots that "bytes=N" added.
func shorten(texts []string) string {
	short := make([]string, len(texts))
	for i, s := range texts {
		short[i] = strings.TrimRight(s, ".")
	}
	return strings.Join(short, " ")
}
