package preset

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestScripts runs testdata/*.txt: each script drives a cluster with faults and compares what the
// nodes do. It guards against the failures named at the head of each scenario and, after each
// command, against a violation of the invariants that cluster.verify checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if !strings.HasSuffix(path, ".txt") {
			return
		}
		var c *cluster
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "cluster" {
				c = newCluster(1, idsOf(d)...)
				if d.HasArg("pollers") {
					d.ScanArgs(t, "pollers", &c.pollers)
				}
			} else {
				run(t, c, d)
			}
			if broken := c.verify(); len(broken) > 0 {
				return "VIOLATED: " + strings.Join(broken, "\n")
			}
			out := strings.Join(c.log, "\n")
			c.log = nil
			if d.Cmd == "expect" {
				out = c.state()
			}
			return out
		})
	})
}

func idsOf(d *datadriven.TestData) []structs.NodeID {
	var out []structs.NodeID
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			out = append(out, structs.NodeID(a.Key))
		}
	}
	return out
}

func run(t *testing.T, c *cluster, d *datadriven.TestData) {
	ids := idsOf(d)
	each := func(f func(structs.NodeID)) {
		for _, n := range ids {
			f(n)
		}
	}
	switch d.Cmd {
	case "start":
		each(c.start)
	case "kill":
		each(c.kill)
	case "pause":
		each(func(n structs.NodeID) { c.nodes[n].paused = true })
	case "resume":
		each(c.resume)
	case "cut":
		c.cuts[pair(ids[0], ids[1])] = true
	case "heal":
		clear(c.cuts)
		c.outage, c.reorder, c.rateLimited = false, false, 0
	case "outage":
		c.outage = true
	case "lose-answer":
		c.loseAnswer++
	case "late":
		c.lateWrite = parseDuration(t, d, string(ids[0]))
	case "rate-limit":
		c.rateLimited = 30 // more than the writes of one switch before its timeout
	case "duplicate":
		c.duplicate = 100
	case "reorder":
		c.reorder = true
	case "advance":
		c.advance(parseDuration(t, d, string(ids[0])))
	case "switch":
		var node, operator, preset, nonce string
		var expected uint64
		d.ScanArgs(t, "node", &node)
		d.ScanArgs(t, "by", &operator)
		d.ScanArgs(t, "to", &preset)
		if d.HasArg("expected") {
			d.ScanArgs(t, "expected", &expected)
		}
		if d.HasArg("nonce") {
			d.ScanArgs(t, "nonce", &nonce)
		}
		times := 1
		if d.HasArg("times") {
			d.ScanArgs(t, "times", &times)
		}
		for range times {
			c.order(structs.NodeID(node), operator, preset, expected, nonce)
		}
	case "visible":
		c.visible = ids
	case "members":
		c.step(ids[0], Members{Nodes: ids[1:]})
	case "corrupt-row":
		c.value = []byte(`{"version":`)
	case "expect":
	default:
		d.Fatalf(t, "unknown verb %q", d.Cmd)
	}
}

func parseDuration(t *testing.T, d *datadriven.TestData, text string) time.Duration {
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return v
}

// TestAnyInterleaving draws faults and switches in a random order. It guards against a violated
// invariant at any step, a history of switches that no register with compare-and-swap allows, and
// nodes that don't converge after all faults are healed.
func TestAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []structs.NodeID{"a", "b", "c", "d", "e", "f"}[:rapid.IntRange(3, 6).Draw(rt, "nodes")]
		c := newCluster(rapid.Uint64().Draw(rt, "seed"), names...)
		c.pollers = rapid.SampledFrom([]int{3, 1, 2, 5}).Draw(rt, "pollers")
		for _, n := range names {
			c.start(n)
		}
		c.advance(time.Second)
		for range rapid.IntRange(3, 30).Draw(rt, "faults") {
			injectRandomFault(rt, c)
			c.advance(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
			if broken := c.verify(); len(broken) > 0 {
				rt.Fatalf("%s\n%s", broken, strings.Join(c.log, "\n"))
			}
		}
		checkConvergence(rt, c)
		if !porcupine.CheckOperations(register.ToModel(), history(c)) {
			rt.Fatalf("the history of switches is not linearizable:\n%s", strings.Join(c.log, "\n"))
		}
	})
}

func injectRandomFault(rt *rapid.T, c *cluster) {
	n := rapid.SampledFrom(c.names).Draw(rt, "node")
	other := rapid.SampledFrom(append([]structs.NodeID{platform, platform}, c.names...)).Draw(rt, "other")
	p := c.nodes[n]
	switch rapid.IntRange(0, 11).Draw(rt, "verb") {
	case 0:
		c.kill(n)
	case 1:
		c.start(n)
	case 2:
		p.paused = true
	case 3:
		if p.machine != nil {
			c.resume(n)
		}
	case 4:
		c.cuts[pair(n, other)] = true
	case 5:
		clear(c.cuts)
	case 6:
		c.outage = !c.outage
	case 7:
		c.loseAnswer = 1
	case 8:
		c.lateWrite = time.Duration(rapid.IntRange(1, 7000).Draw(rt, "late")) * time.Millisecond
	case 9:
		c.duplicate, c.reorder = 20, !c.reorder
		c.rateLimited = rapid.IntRange(0, 25).Draw(rt, "limited")
	default:
		expected := uint64(0)
		if p.machine != nil && rapid.Bool().Draw(rt, "exact") {
			expected = p.machine.Version()
		}
		c.order(n, "op", fmt.Sprintf("p%d", c.lastID+1), expected, "")
	}
}

// checkConvergence heals all faults and verifies that 13 seconds later all nodes are fresh and at the
// same version.
func checkConvergence(rt *rapid.T, c *cluster) {
	clear(c.cuts)
	c.outage, c.reorder, c.lateWrite, c.loseAnswer, c.rateLimited = false, false, 0, 0, 0
	for _, n := range c.names {
		if c.nodes[n].machine == nil {
			c.start(n)
		} else if c.nodes[n].paused {
			c.resume(n)
		}
	}
	// This is longer than the longest late write and the timeout of a switch together.
	c.advance(13 * time.Second)
	if broken := c.verify(); len(broken) > 0 {
		rt.Fatalf("%s\n%s", broken, strings.Join(c.log, "\n"))
	}
	want := c.nodes[c.names[0]].machine.InForce().Version
	for _, n := range c.names {
		if m := c.nodes[n].machine; m.Version() != want || !m.Fresh(c.now) {
			rt.Fatalf("the nodes did not converge:\n%s%s", c.state(), strings.Join(c.log, "\n"))
		}
	}
}

// register models the version in force as a register: each switch that ran made the next version.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(1)} },
	Step: func(state, _, output any) []any {
		version, d := state.(uint64), output.(completion)
		matches := d.order.ExpectedVersion == 0 || d.order.ExpectedVersion == version
		switch {
		case d.version != 0 && matches && d.version == version+1:
			return []any{version + 1}
		case d.version != 0:
			return nil
		case d.code == structs.CodeConflict && d.outcome == structs.OutcomeNotRun && matches && d.order.ExpectedVersion != 0:
			return nil
		case d.outcome == structs.OutcomeUnknown && matches:
			return []any{version, version + 1}
		}
		return []any{version}
	},
	DescribeOperation: func(_, output any) string { return fmt.Sprintf("%+v", output) },
}

// history returns the switches as operations. A switch without an answer, or with an unknown outcome,
// may take effect at any later time.
func history(c *cluster) []porcupine.Operation {
	answered := map[string]bool{}
	done := append([]completion(nil), c.completed...)
	for _, d := range done {
		answered[d.order.Nonce] = true
	}
	for id := uint64(1); id <= c.lastID; id++ {
		if s := c.orders[id]; !answered[s.Nonce] {
			done = append(done, completion{order: s, began: c.began[id], outcome: structs.OutcomeUnknown})
		}
	}
	var ops []porcupine.Operation
	for i, d := range done {
		end := d.ended
		if d.outcome == structs.OutcomeUnknown {
			end = c.now.Add(time.Hour)
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Call: d.began.UnixNano(), Return: end.UnixNano(), Output: d})
	}
	return ops
}

// TestQuorumCountsOneIncarnation guards against a quorum of voters that did not have the version in
// force at the same time: b restarts and loses the version between its two answers, c answers after
// the first round only, and d has a lower version.
func TestQuorumCountsOneIncarnation(t *testing.T) {
	q := newQuorum(3)
	answers := []struct {
		from      structs.NodeID
		ack       PushAck
		ended     bool
		confirmed int
	}{
		{"d", PushAck{1, 2, 1}, false, 0},
		{"a", PushAck{1, 3, 1}, false, 0},
		{"b", PushAck{2, 3, 1}, true, 0},
		{"b", PushAck{2, 3, 1}, false, 0},
		{"a", PushAck{4, 3, 1}, false, 1},
		{"c", PushAck{6, 3, 1}, false, 1},
		{"b", PushAck{5, 3, 2}, false, 0},
		{"a", PushAck{7, 3, 1}, true, 0},
		{"a", PushAck{11, 3, 1}, false, 1},
		{"b", PushAck{12, 3, 2}, false, 2},
	}
	for i, s := range answers {
		if ended := q.count(s.from, s.ack, 2, uint64(i+1)); ended != s.ended || len(q.confirmed) != s.confirmed {
			t.Errorf("answer %d: first round ended = %v with %d confirmed, want %v with %d", i, ended, len(q.confirmed), s.ended, s.confirmed)
		}
	}
}

// FuzzDecodeRow guards against rows that decode although they are invalid, and against a switch that
// is not listed in the row that it makes.
func FuzzDecodeRow(f *testing.F) {
	good, _ := EncodeRow(Row{}.next(Switch{Operator: "o", Nonce: "n", Preset: structs.Preset{Name: "p"}}))
	f.Add(good)
	f.Add([]byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		row, err := DecodeRow(data)
		if err != nil {
			return
		}
		if row.Version == 0 || row.Preset.Name == "" || len(row.Recent) > recentSwitches {
			t.Errorf("the invalid row %+v was decoded", row)
		}
		if next := row.next(Switch{Nonce: "x"}); next.Version != row.Version+1 || next.versionOfNonce("x") == 0 {
			t.Errorf("the row after %+v is %+v, want the next version and the nonce", row, next)
		}
	})
}

// BenchmarkSpread measures what one switch costs: the network delays until the last node has the
// version, the messages and bytes of all nodes, and the bytes of the busiest node within one delay.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{10, 100, 750} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				spreadOnce(b, n)
			}
		})
	}
}
