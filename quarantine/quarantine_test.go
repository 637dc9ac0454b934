package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

const (
	step    = 100 * time.Millisecond
	runTime = 3 * step
)

var epoch = time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)

// request is one call of a caller that tries until it is done or refused.
type request struct {
	call    structs.CallID
	entry   structs.NodeID
	content string
	attempt uint32
	due     time.Time
	ran     Run
	granted bool
	end     string
}

// job is a request at an engine.
type job struct {
	*request
	ends   time.Time
	beside bool
}

// bench is entries before engines; a request whose content begins with "poison"
// crashes the engine at its end.
type bench struct {
	now      time.Time
	entries  map[structs.NodeID]*Machine
	requests []*request
	calls    int
	engines  map[structs.UpstreamID][]*job
	mail     map[structs.NodeID][]Message
	cut      map[structs.NodeID]bool
	lose     bool
	crashes  int
	log      []string
}

func newBench() *bench {
	b := &bench{now: epoch, entries: map[structs.NodeID]*Machine{}, engines: map[structs.UpstreamID][]*job{},
		mail: map[structs.NodeID][]Message{}, cut: map[structs.NodeID]bool{}}
	for _, n := range []structs.NodeID{"e1", "e2", "e3"} {
		b.start(n)
	}
	for _, u := range []structs.UpstreamID{"m1", "m2", "m3"} {
		b.engines[u] = nil
	}
	return b
}

func (b *bench) start(n structs.NodeID) {
	b.entries[n] = New(DefaultConfig(n))
	b.mail[n] = nil
	b.requests = slices.DeleteFunc(b.requests, func(r *request) bool { return r.entry == n && r.end == "" })
}

func (b *bench) names() []structs.NodeID { return keys(b.entries) }

func keys[K ~string, V any](of map[K]V) []K {
	var out []K
	for k := range of {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (b *bench) submit(n structs.NodeID, content string) *request {
	b.calls++
	r := &request{call: structs.CallID(fmt.Sprint("c", b.calls)), entry: n, content: content, attempt: 1}
	b.requests = append(b.requests, r)
	return r
}

func (b *bench) step(n structs.NodeID, msg Message) {
	for _, e := range b.entries[n].Step(b.now, msg) {
		switch e := e.(type) {
		case BroadcastRecords:
			b.toAll(n, RecordsReceived(e))
		case BroadcastDigest:
			b.toAll(n, DigestReceived{From: n, Digest: e.Digest})
		case SendRecords:
			b.send(n, e.To, RecordsReceived{e.Records})
		case StateChanged:
			b.note("%s: %s is %s", n, b.contentOf(e.Fingerprint), e.State)
		case Run:
			r := b.request(n, e.Call)
			r.ran, r.granted = e, true
		case Wait:
			b.request(n, e.Call).due = e.Until
		case Refuse:
			r := b.request(n, e.Call)
			r.end = "refused"
			b.note("%s: %s %s refused %s", n, r.call, r.content, e.Refusal.Outcome)
		}
	}
}

func (b *bench) toAll(from structs.NodeID, msg Message) {
	for _, to := range b.names() {
		b.send(from, to, msg)
	}
}

func (b *bench) send(from, to structs.NodeID, msg Message) {
	if to != from && !b.cut[from] && !b.cut[to] && !b.lose {
		b.mail[to] = append(b.mail[to], msg)
	}
}

func (b *bench) request(n structs.NodeID, c structs.CallID) *request {
	for _, r := range b.requests {
		if r.call == c && r.entry == n {
			return r
		}
	}
	return &request{}
}

func printOf(content string) Fingerprint {
	return FingerprintOf("m", []structs.Message{{Role: structs.RoleUser, Content: content}})
}

func (b *bench) contentOf(f Fingerprint) string {
	for _, r := range b.requests {
		if printOf(r.content) == f {
			return r.content
		}
	}
	return f.String()
}

func (b *bench) note(format string, args ...any) {
	b.log = append(b.log, fmt.Sprint(b.now.Sub(epoch), " ")+fmt.Sprintf(format, args...))
}

func (b *bench) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(step)
		for _, n := range b.names() {
			mail := b.mail[n]
			b.mail[n] = nil
			for _, h := range mail {
				b.step(n, h)
			}
			if b.now.Sub(epoch)%time.Second == 0 {
				b.step(n, Tick{})
			}
		}
		b.runEngines()
		for _, r := range b.requests {
			if r.end == "" && !r.granted && !b.now.Before(r.due) {
				b.step(r.entry, Admit{Call: r.call, Attempt: r.attempt, Fingerprint: printOf(r.content)})
			}
			if r.end == "" && r.granted {
				b.place(r)
			}
		}
	}
}

// place puts a granted request at the engine with the fewest jobs, or leaves it waiting
// until one is empty when it must run alone.
func (b *bench) place(r *request) {
	var best structs.UpstreamID
	for _, u := range keys(b.engines) {
		jobs := b.engines[u]
		taken := len(jobs) > 0 && (r.ran.Alone || jobs[0].ran.Alone)
		placed := slices.ContainsFunc(jobs, func(j *job) bool { return j.request == r })
		if placed {
			return
		}
		if taken || (r.ran.Alone && u == r.ran.Avoid) {
			continue
		}
		if best == "" || len(jobs) < len(b.engines[best]) {
			best = u
		}
	}
	if best == "" {
		return
	}
	j := &job{request: r, ends: b.now.Add(runTime), beside: len(b.engines[best]) > 0}
	for _, other := range b.engines[best] {
		other.beside = true
	}
	b.engines[best] = append(b.engines[best], j)
}

func (b *bench) runEngines() {
	for _, u := range keys(b.engines) {
		var left []*job
		for _, j := range b.engines[u] {
			if b.now.Before(j.ends) {
				left = append(left, j)
				continue
			}
			if strings.HasPrefix(j.content, "poison") {
				b.crash(u)
				left = nil
				break
			}
			j.end = "done"
			b.step(j.entry, Ended{Call: j.call, Ran: true})
		}
		b.engines[u] = left
	}
}

func (b *bench) crash(u structs.UpstreamID) {
	jobs := b.engines[u]
	b.engines[u] = nil
	b.crashes++
	b.note("%s crashes", u)
	for _, j := range jobs {
		if j.end == "" {
			j.granted, j.attempt, j.due = false, j.attempt+1, b.now.Add(step)
			b.step(j.entry, Crashed{Call: j.call, Upstream: u, Alone: !j.beside})
		}
	}
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if !strings.HasSuffix(path, ".txt") {
			return
		}
		b := newBench()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			b.run(t, d)
			out := strings.Join(b.log, "\n")
			b.log = nil
			return out
		})
	})
}

func (b *bench) run(t *testing.T, d *datadriven.TestData) {
	arg := func(i int) string { return d.CmdArgs[i].Key }
	times := 1
	if d.HasArg("times") {
		d.ScanArgs(t, "times", &times)
	}
	switch d.Cmd {
	case "submit":
		for range times {
			b.submit(structs.NodeID(arg(0)), arg(1))
		}
	case "advance":
		v, err := time.ParseDuration(arg(0))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		b.advance(v)
	case "kill":
		b.start(structs.NodeID(arg(0)))
	case "crash":
		b.crash(structs.UpstreamID(arg(0)))
	case "cut":
		b.cut[structs.NodeID(arg(0))] = true
	case "heal":
		clear(b.cut)
		b.lose = false
	case "lose":
		b.lose = true
	case "lose-end":
		for _, r := range b.requests {
			if r.entry == structs.NodeID(arg(0)) && r.end == "" {
				r.end = "lost"
				for _, u := range keys(b.engines) {
					b.engines[u] = slices.DeleteFunc(b.engines[u], func(j *job) bool { return j.request == r })
				}
			}
		}
	case "cancel":
		for _, r := range b.requests {
			if string(r.call) == arg(0) {
				r.end = "cancelled"
				for _, u := range keys(b.engines) {
					b.engines[u] = slices.DeleteFunc(b.engines[u], func(j *job) bool { return j.request == r })
				}
				b.step(r.entry, Ended{Call: r.call})
			}
		}
	case "expect":
		ends := map[string]int{}
		for _, r := range b.requests {
			ends[r.content+" "+r.end]++
		}
		b.log = append(b.log, fmt.Sprintf("crashes %d %v", b.crashes, ends))
	default:
		d.Fatalf(t, "unknown verb %q", d.Cmd)
	}
}

// TestAnyInterleaving submits innocent and poisonous requests through all entries
// while messages are lost and entries restart: no innocent one is ever quarantined,
// all end, and once spreading works again the poison crashes nothing more.
func TestAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench()
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			n := rapid.SampledFrom(b.names()).Draw(rt, "entry")
			switch rapid.IntRange(0, 8).Draw(rt, "verb") {
			case 0, 1, 2, 3:
				b.submit(n, fmt.Sprint("innocent", rapid.IntRange(1, 5).Draw(rt, "content")))
			case 4, 5:
				b.submit(n, fmt.Sprint("poison", rapid.IntRange(1, 2).Draw(rt, "content")))
			case 6:
				b.start(n)
			case 7:
				b.cut[n] = !b.cut[n]
			case 8:
				b.lose = !b.lose
			}
			b.advance(step * time.Duration(rapid.IntRange(1, 10).Draw(rt, "steps")))
		}
		clear(b.cut)
		b.lose = false
		b.advance(90 * time.Second)
		b.submit("e1", "poison1")
		b.advance(15 * time.Second)
		for _, r := range b.requests {
			innocent := strings.HasPrefix(r.content, "innocent")
			if innocent && r.end != "done" || !innocent && r.end != "refused" {
				rt.Fatalf("%s %s ended %q\n%s", r.call, r.content, r.end, strings.Join(b.log, "\n"))
			}
		}
		before := b.crashes
		for _, n := range b.names() {
			b.submit(n, "poison1")
		}
		b.advance(10 * time.Second)
		if b.crashes != before {
			rt.Fatalf("%d crashes after the quarantine\n%s", b.crashes-before, strings.Join(b.log, "\n"))
		}
	})
}

func TestFingerprint(t *testing.T) {
	user := func(text string) structs.Message { return structs.Message{Role: structs.RoleUser, Content: text} }
	long := strings.Repeat("minutes of the branch meeting ", 10)
	call := func(id string) structs.Message {
		return structs.Message{Role: structs.RoleAssistant, ToolCalls: []structs.ToolCall{{ID: id, Name: "find", Arguments: "{}"}}}
	}
	same := FingerprintOf("m", []structs.Message{user("before"), user(long), call("1"), {Role: structs.RoleTool, Content: "x", ToolCallID: "1"}})
	if same != FingerprintOf("m", []structs.Message{user("other"), user(long), call("2"), {Role: structs.RoleTool, Content: "x", ToolCallID: "2"}}) {
		t.Error("the same turn has two fingerprints")
	}
	for _, other := range [][]structs.Message{{user(long)}, {user(long), call("1")}, {user("before"), user(long + "!"), call("1"), {Role: structs.RoleTool, Content: "x"}}} {
		if FingerprintOf("m", other) == same {
			t.Errorf("%v has the same fingerprint", other)
		}
	}
	if FingerprintOf("m", []structs.Message{user(long), user("yes")}) == FingerprintOf("m", []structs.Message{user(long + "2"), user("yes")}) {
		t.Error("a short message is not told apart by what precedes it")
	}
	if FingerprintOf("m2", []structs.Message{user(long)}) == FingerprintOf("m", []structs.Message{user(long)}) {
		t.Error("the model makes no difference")
	}
}

func TestTableIsBounded(t *testing.T) {
	cfg := DefaultConfig("e1")
	cfg.MaxRecords = 3
	m := New(cfg)
	heard := func(content string, s State) {
		m.Step(epoch, RecordsReceived{[]Record{{Fingerprint: printOf(content), Episode: 1, State: s, Owner: "e2", Lasts: time.Minute}}})
	}
	heard("a", Quarantined)
	heard("b", Cleared)
	heard("c", Suspect)
	heard("d", Suspect)
	heard("e", Quarantined)
	if got := m.table.rows; len(got) != 3 || m.table.rows[printOf("a")] == nil || m.table.rows[printOf("e")] == nil {
		t.Errorf("records %v", got)
	}
}

// BenchmarkAsk asks for an unknown request while the table is full.
func BenchmarkAsk(b *testing.B) {
	m := New(DefaultConfig("e1"))
	for i := range m.cfg.MaxRecords {
		m.Step(epoch, RecordsReceived{[]Record{{Fingerprint: printOf(fmt.Sprint(i)), Episode: 1, State: Quarantined, Lasts: time.Hour}}})
	}
	f := printOf("unknown")
	b.ReportAllocs()
	for b.Loop() {
		m.Step(epoch, Admit{Call: "c", Attempt: 1, Fingerprint: f})
		m.Step(epoch, Ended{Call: "c", Ran: true})
		m.Step(epoch, DigestReceived{From: "e2", Digest: m.table.digest})
	}
}
