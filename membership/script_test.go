package membership

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// TestScripts runs the scripts of testdata. Each line of a block is one verb:
//
//	start NODE DOMAIN INCARNATION [SEED...] | kill NODE | pause NODE | resume NODE | leave NODE
//	cut NODE-OR-DOMAIN [NODE-OR-DOMAIN] | heal | outage [NODE] | recover
//	lose|late|reorder|duplicate NODE [TIMES]    the node's next packets
//	vm NODE live|leaving|gone | drain NODE VM VERSION on|off | learn NODE LOG OTHER DOMAIN
//	preset NODE VERSION | advance DURATION
//	expect NODE (what it noticed) | members NODE | gate NODE VM | expect taken | expect relays NODE LOG
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var w *cluster
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "world" {
				w = newCluster(Config{})
			}
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				if words := strings.Fields(line); len(words) > 0 {
					out.WriteString(w.run(t, d, words))
				}
			}
			return out.String()
		})
	})
}

func (w *cluster) run(t *testing.T, d *datadriven.TestData, words []string) string {
	verb, args := words[0], words[1:]
	var n *node
	if len(args) > 0 {
		n = w.nodes[args[0]]
	}
	switch verb {
	case "start":
		incarnation, _ := strconv.ParseUint(args[2], 10, 64)
		w.start(args[0], args[1], incarnation, args[3:])
	case "kill":
		n.dead = true
	case "pause":
		n.paused = true
	case "resume":
		w.resume(n)
	case "leave":
		w.deliver(n, Leave{})
	case "cut":
		w.partitions[strings.Join(args, " ")] = true
	case "heal":
		clear(w.partitions)
	case "outage":
		w.outage = n == nil
		if n != nil {
			n.offline = true
		}
	case "recover":
		w.outage = false
		for _, n := range w.nodes {
			n.offline = false
		}
	case "lose", "late", "reorder", "duplicate":
		times := 1
		if len(args) > 1 {
			fmt.Sscan(args[1], &times)
		}
		for range times {
			n.faults = append(n.faults, verb)
		}
	case "vm":
		w.vms["vm-"+args[0]] = platform.VMState(args[1])
	case "drain":
		version, _ := strconv.ParseUint(args[2], 10, 64)
		w.deliver(n, DrainOrdered{Gate{VM: structs.VMID(args[1]), Version: version, Drained: args[3] == "on"}})
	case "learn":
		w.deliver(n, LogsListed{[]Member{{
			Log: structs.LogID(args[1]), Node: structs.NodeID(args[2]), Domain: structs.FailureDomain(args[3]), Address: args[2],
		}}})
	case "preset":
		version, _ := strconv.ParseUint(args[1], 10, 64)
		w.deliver(n, SelfChanged{Ready: true, Preset: version})
	case "advance":
		step, err := time.ParseDuration(args[0])
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		w.advance(step)
	case "expect":
		return w.describe(args)
	case "members":
		return describeMembers(n)
	case "gate":
		return fmt.Sprintf("%s at %s: %+v\n", args[1], args[0], n.machine.Gate(structs.VMID(args[1])))
	default:
		d.Fatalf(t, "unknown verb %q", verb)
	}
	return ""
}

func (w *cluster) describe(args []string) string {
	var out strings.Builder
	switch args[0] {
	case "taken":
		for _, log := range sortedKeys(w.takenOver) {
			fmt.Fprintf(&out, "%s taken by %s, %d attempts\n", log, w.takenOver[log], w.attempts[log])
		}
		fmt.Fprintf(&out, "%d of a holder that lived\n", w.liveTakeovers)
	case "relays":
		fmt.Fprintf(&out, "relays %v\n", w.nodes[args[1]].machine.Relays(structs.LogID(args[2])))
	default:
		n := w.nodes[args[0]]
		for _, line := range n.output {
			fmt.Fprintf(&out, "%s %s\n", args[0], line)
		}
		n.output = nil
	}
	return out.String()
}

func describeMembers(n *node) string {
	var out strings.Builder
	for _, v := range n.machine.Members() {
		fmt.Fprintf(&out, "%s sees %s state %d suspected %v preset %d\n", n.name, v.Log, v.State, v.Suspected, v.Preset)
	}
	return out.String()
}
