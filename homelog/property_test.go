package homelog

import (
	"bytes"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/buckthornroute/buckthornroute/structs"
)

// TestMain sets a fixed seed for rapid unless the command line gives one, so that a run
// without flags checks the same interleavings each time.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	m.Run()
}

// TestRandomInterleavings runs random operations and faults on up to 7 logs. After each operation
// the simulation checks that no acknowledged entry is lost, that no two homes acknowledge entries
// of one program, that no log has a second successor, and that the order of entries does not
// change. In the end all faults are removed, and one node takes all logs over.
func TestRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(Config{
			MinInterval: time.Millisecond, CheckpointEvery: 3, MaxParts: 2, TxnWrites: 8, RedirectRetention: 30 * time.Second,
			InlineBytes: rapid.SampledFrom([]int{90, 1000}).Draw(t, "inline"),
			ObjectBytes: rapid.SampledFrom([]int{50, 1000}).Draw(t, "object"),
			BatchBytes:  rapid.SampledFrom([]int{60, 1000}).Draw(t, "batch"),
		})
		names := []string{"a", "b", "c"}
		for _, name := range names {
			sim.start(name)
		}
		texts := 0
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			n := sim.nodes[rapid.SampledFrom(names).Draw(t, "node")]
			switch verb := rapid.SampledFrom(verbs).Draw(t, "verb"); verb {
			case "submit":
				p := structs.NewProgramID(structs.LogID(rapid.SampledFrom(names).Draw(t, "origin")), rapid.Uint64Range(1, 2).Draw(t, "program"))
				mark := rapid.SampledFrom([]Mark{MarkNone, MarkNone, MarkNone, MarkNone, MarkEnd}).Draw(t, "mark")
				texts++
				sim.submit(n, p, fmt.Sprint(texts), mark)
			case "takeover":
				sim.deliver(n, TakeOver{Log: structs.LogID(rapid.SampledFrom(names).Draw(t, "log"))})
			case "start":
				if len(names) < 7 {
					names = append(names, string(rune('a'+len(names))))
					sim.start(names[len(names)-1])
				}
			case "kill":
				n.dead = rapid.IntRange(0, 2).Draw(t, "crash") == 0
			case "pause":
				n.paused = true
			case "resume":
				sim.resume(n)
			case "disconnect":
				n.disconnected = !n.disconnected
			case "outage":
				sim.outage = !sim.outage
			case "advance":
				sim.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond)
			case "wait":
				sim.advance(time.Duration(rapid.IntRange(1, 5).Draw(t, "s")) * time.Second)
			default:
				n.faults = append(n.faults, verb)
			}
			if sim.violation != "" {
				t.Fatal(sim.violation)
			}
		}
		sim.healAndTakeOver(t, names)
	})
}

// verbs are the operations and faults to draw from; a repeated one is drawn more often.
var verbs = []string{
	"submit", "submit", "submit", "submit", "submit", "submit", "advance", "advance", "advance", "advance", "takeover", "takeover",
	"wait", "start", "kill", "pause", "resume", "disconnect", "outage", "lose-answer", "late", "duplicate", "reorder", "refuse",
}

// healAndTakeOver removes all faults, lets a new node take over every log, and checks that
// the node then runs every program, and that the platform holds only its log and redirects.
func (sim *simulation) healAndTakeOver(t *rapid.T, names []string) {
	sim.outage = false
	for _, name := range names {
		sim.nodes[name].disconnected = false
		sim.resume(sim.nodes[name])
	}
	sim.advance(time.Minute)
	sim.start("z")
	for range 3 {
		for _, name := range names {
			sim.deliver(sim.nodes["z"], TakeOver{Log: structs.LogID(name)})
		}
		sim.advance(time.Minute)
	}
	for _, p := range sortedKeys(sim.acknowledged) {
		if len(sim.acknowledged[p]) > 0 && !sim.ended[p] && sim.owner[p] != "z" {
			sim.fail("in the end program %s is owned by %s, want z", p, sim.owner[p])
		}
	}
	for _, key := range sortedKeys(sim.rows) {
		if !strings.Contains(key, "/z") && !strings.HasPrefix(key, "seal/") {
			sim.fail("in the end row %s still exists\n%s%s%s", key, sim.describe("rows"), sim.describe("z"), sim.describe("a"))
		}
	}
	if sim.violation != "" {
		t.Fatal(sim.violation)
	}
}

// FuzzDecodeRecord checks that no input crashes the decoder, and that it accepts only
// canonical encodings.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(Record{Kind: RecordBatch, Log: "a", Number: 7, Entries: []Entry{{"a.1", "step", []byte("x"), MarkEnd}}}.Encode())
	f.Add(Record{Kind: RecordPointer, Log: "a", Objects: []Object{{"batch/a/1", make([]byte, 32)}}}.Encode())
	f.Add(Record{Kind: RecordSeal, Log: "a", Number: 1, Successor: "b"}.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeRecord(b)
		if err == nil && !bytes.Equal(r.Encode(), b) {
			t.Fatalf("record %+v encodes to %x, not to %x", r, r.Encode(), b)
		}
	})
}

// TestWritesStayUnderShare guards against busy logs that together exceed their share of the
// platform's write rate. All their appended entries must still be committed.
func TestWritesStayUnderShare(t *testing.T) {
	const nodes, span, rate = 30, 5 * time.Second, 100.0
	sim := newSimulation(Config{PlatformWrites: rate, Share: 1, CheckpointEvery: 8, MinInterval: time.Millisecond})
	for i := range nodes {
		name := fmt.Sprintf("n%d", i)
		sim.start(name)
		sim.deliver(sim.nodes[name], Nodes{Count: nodes})
	}
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < span; at += step {
		for name, n := range sim.nodes {
			sim.submit(n, structs.NewProgramID(structs.LogID(name), 1), fmt.Sprint(at), MarkNone)
		}
		sim.advance(step)
	}
	if most := int(rate*span.Seconds()) + nodes*(DefaultBurst+1); sim.writes > most {
		t.Fatalf("got %d writes in %v, want at most %d", sim.writes, span, most)
	}
	sim.advance(5 * time.Second)
	for name, n := range sim.nodes {
		if s := n.machine.Status(); s.Committed != s.LastAppended || s.LastAppended != uint64(span/step) {
			t.Fatalf("%s committed %d of %d", name, s.Committed, s.LastAppended)
		}
	}
	if sim.violation != "" {
		t.Fatal(sim.violation)
	}
}
