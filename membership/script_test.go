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

// TestScripts runs the scripts in testdata. Each line of a block is one command:
//
//	start NODE DOMAIN INCARNATION [SEED...] | kill NODE | pause NODE | resume NODE | leave NODE
//	partition NODE-OR-DOMAIN [NODE-OR-DOMAIN] | heal | outage [NODE] | recover
//	lose|late|reorder|duplicate NODE [TIMES]    applies to the node's next packets
//	vm NODE live|leaving|gone | drain NODE VM VERSION on|off | openlog NODE LOG OWNER DOMAIN
//	preset NODE VERSION | advance DURATION
//	expect NODE (its events since the last expect) | members NODE | gate NODE VM
//	expect takeovers | expect relays NODE LOG
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var c *cluster
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "cluster" {
				c = newCluster(Config{})
			}
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				if words := strings.Fields(line); len(words) > 0 {
					out.WriteString(c.run(t, d, words))
				}
			}
			return out.String()
		})
	})
}

// run carries out one command and returns its output.
func (c *cluster) run(t *testing.T, d *datadriven.TestData, words []string) string {
	command, args := words[0], words[1:]
	var n *node
	if len(args) > 0 {
		n = c.nodes[args[0]]
	}
	switch command {
	case "start":
		incarnation, _ := strconv.ParseUint(args[2], 10, 64)
		c.start(args[0], args[1], incarnation, args[3:])
	case "kill":
		n.dead = true
	case "pause":
		n.paused = true
	case "resume":
		c.resume(n)
	case "leave":
		c.deliver(n, Leave{})
	case "partition":
		c.partitions[strings.Join(args, " ")] = true
	case "heal":
		clear(c.partitions)
	case "outage":
		c.outage = n == nil
		if n != nil {
			n.offline = true
		}
	case "recover":
		c.outage = false
		for _, n := range c.nodes {
			n.offline = false
		}
	case "lose", "late", "reorder", "duplicate":
		times := 1
		if len(args) > 1 {
			fmt.Sscan(args[1], &times)
		}
		for range times {
			n.faults = append(n.faults, command)
		}
	case "vm":
		c.vms["vm-"+args[0]] = platform.VMState(args[1])
	case "drain":
		version, _ := strconv.ParseUint(args[2], 10, 64)
		c.deliver(n, DrainOrdered{Gate{VM: structs.VMID(args[1]), Version: version, Drained: args[3] == "on"}})
	case "openlog":
		c.deliver(n, LogsListed{[]Member{{
			Log: structs.LogID(args[1]), Node: structs.NodeID(args[2]), Domain: structs.FailureDomain(args[3]), Address: args[2],
		}}})
	case "preset":
		version, _ := strconv.ParseUint(args[1], 10, 64)
		c.deliver(n, SelfChanged{Ready: true, Preset: version})
	case "advance":
		step, err := time.ParseDuration(args[0])
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		c.advance(step)
	case "expect":
		return c.describe(args)
	case "members":
		return describeMembers(n)
	case "gate":
		return fmt.Sprintf("%s at %s: %+v\n", args[1], args[0], n.machine.Gate(structs.VMID(args[1])))
	default:
		d.Fatalf(t, "unknown command %q", command)
	}
	return ""
}

// describe returns the output of an "expect" line.
func (c *cluster) describe(args []string) string {
	var out strings.Builder
	switch args[0] {
	case "takeovers":
		for _, log := range sortedKeys(c.takenOver) {
			fmt.Fprintf(&out, "%s taken over by %s, %d attempts\n", log, c.takenOver[log], c.attempts[log])
		}
		fmt.Fprintf(&out, "%d from a live, reachable owner\n", c.liveTakeovers)
	case "relays":
		fmt.Fprintf(&out, "relays %v\n", c.nodes[args[1]].machine.Relays(structs.LogID(args[2])))
	default:
		n := c.nodes[args[0]]
		for _, line := range n.output {
			fmt.Fprintf(&out, "%s %s\n", args[0], line)
		}
		n.output = nil
	}
	return out.String()
}

// describeMembers returns one line for each member in the node's view.
func describeMembers(n *node) string {
	var out strings.Builder
	for _, v := range n.machine.Members() {
		fmt.Fprintf(&out, "%s sees %s state %d suspected %v preset %d\n", n.name, v.Log, v.State, v.Suspected, v.Preset)
	}
	return out.String()
}
