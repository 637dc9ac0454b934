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

// TestMain fixes the seed of the properties unless the command line gives one, so that a
// run without flags checks the same interleavings each time.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	m.Run()
}

// TestRandomInterleavings runs random verbs and faults over up to seven logs. After each,
// the world checks: no acknowledged entry lost, none accepted by two homes, at most one
// successor, order kept. In the end all faults heal, and one node takes everything over.
func TestRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(Config{
			MinInterval: time.Millisecond, CheckpointEvery: 3, MaxParts: 2, TxnWrites: 8, RedirectRetention: 30 * time.Second,
			InlineBytes: rapid.SampledFrom([]int{90, 1000}).Draw(t, "inline"),
			ObjectBytes: rapid.SampledFrom([]int{50, 1000}).Draw(t, "object"),
			BatchBytes:  rapid.SampledFrom([]int{60, 1000}).Draw(t, "batch"),
		})
		names := []string{"a", "b", "c"}
		for _, name := range names {
			w.start(name)
		}
		texts := 0
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			n := w.nodes[rapid.SampledFrom(names).Draw(t, "node")]
			switch verb := rapid.SampledFrom(verbs).Draw(t, "verb"); verb {
			case "submit":
				p := structs.NewProgramID(structs.LogID(rapid.SampledFrom(names).Draw(t, "origin")), rapid.Uint64Range(1, 2).Draw(t, "program"))
				mark := rapid.SampledFrom([]Mark{MarkNone, MarkNone, MarkNone, MarkNone, MarkEnd}).Draw(t, "mark")
				texts++
				w.submit(n, p, fmt.Sprint(texts), mark)
			case "adopt":
				w.deliver(n, TakeOver{Log: structs.LogID(rapid.SampledFrom(names).Draw(t, "log"))})
			case "start":
				if len(names) < 7 {
					names = append(names, string(rune('a'+len(names))))
					w.start(names[len(names)-1])
				}
			case "kill":
				n.dead = rapid.IntRange(0, 2).Draw(t, "really") == 0
			case "pause":
				n.paused = true
			case "resume":
				w.resume(n)
			case "cut":
				n.cut = !n.cut
			case "outage":
				w.outage = !w.outage
			case "advance":
				w.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond)
			case "wait":
				w.advance(time.Duration(rapid.IntRange(1, 5).Draw(t, "s")) * time.Second)
			default:
				n.faults = append(n.faults, verb)
			}
			if w.broken != "" {
				t.Fatal(w.broken)
			}
		}
		w.settle(t, names)
	})
}

var verbs = []string{
	"submit", "submit", "submit", "submit", "submit", "submit", "advance", "advance", "advance", "advance", "adopt", "adopt",
	"wait", "start", "kill", "pause", "resume", "cut", "outage", "lose-answer", "late", "duplicate", "reorder", "refuse",
}

// settle heals all faults, has one new node take over every log, and checks that it then
// runs every program, and that the platform holds nothing but its log and the redirects.
func (w *world) settle(t *rapid.T, names []string) {
	w.outage = false
	for _, name := range names {
		w.nodes[name].cut = false
		w.resume(w.nodes[name])
	}
	w.advance(time.Minute)
	w.start("z")
	for range 3 {
		for _, name := range names {
			w.deliver(w.nodes["z"], TakeOver{Log: structs.LogID(name)})
		}
		w.advance(time.Minute)
	}
	for _, p := range sortedKeys(w.kept) {
		if len(w.kept[p]) > 0 && !w.ended[p] && w.owner[p] != "z" {
			w.fail("in the end program %s is with %s", p, w.owner[p])
		}
	}
	for _, key := range sortedKeys(w.rows) {
		if !strings.Contains(key, "/z") && !strings.HasPrefix(key, "seal/") {
			w.fail("in the end row %s is left\n%s%s%s", key, w.describe("rows"), w.describe("z"), w.describe("a"))
		}
	}
	if w.broken != "" {
		t.Fatal(w.broken)
	}
}

// FuzzDecodeRecord checks that no bytes crash the decoder, and that what it takes is what
// Encode writes.
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

// TestWritesStayUnderShare checks that busy logs together keep to their share of the
// platform's writes, and that all they append is kept.
func TestWritesStayUnderShare(t *testing.T) {
	const nodes, span, rate = 30, 5 * time.Second, 100.0
	w := newWorld(Config{PlatformWrites: rate, Share: 1, CheckpointEvery: 8, MinInterval: time.Millisecond})
	for i := range nodes {
		name := fmt.Sprintf("n%d", i)
		w.start(name)
		w.deliver(w.nodes[name], Nodes{Count: nodes})
	}
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < span; at += step {
		for name, n := range w.nodes {
			w.submit(n, structs.NewProgramID(structs.LogID(name), 1), fmt.Sprint(at), MarkNone)
		}
		w.advance(step)
	}
	if most := int(rate*span.Seconds()) + nodes*(DefaultBurst+1); w.writes > most {
		t.Fatalf("%d writes in %v, want at most %d", w.writes, span, most)
	}
	w.advance(5 * time.Second)
	for name, n := range w.nodes {
		if s := n.machine.Status(); s.Committed != s.LastAppended || s.LastAppended != uint64(span/step) {
			t.Fatalf("%s committed %d of %d", name, s.Committed, s.LastAppended)
		}
	}
	if w.broken != "" {
		t.Fatal(w.broken)
	}
}
