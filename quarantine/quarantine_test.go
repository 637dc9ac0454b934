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

// request is one call of a caller that resends it until it completes or is refused.
type request struct {
	call    structs.CallID
	entry   structs.NodeID
	content string
	attempt uint32
	// askAt is when the entry is asked next to admit the request.
	askAt time.Time
	// permit is the entry's answer once the request is admitted.
	permit   Run
	admitted bool
	result   string
}

// job is a request that runs on an upstream.
type job struct {
	*request
	ends time.Time
	// shared reports whether another request ran on the upstream at the same time.
	shared bool
}

// testCluster simulates entries in front of upstreams. A request whose content begins with
// "poison" crashes its upstream at the end of its run.
type testCluster struct {
	now          time.Time
	entries      map[structs.NodeID]*Machine
	requests     []*request
	calls        int
	upstreams    map[structs.UpstreamID][]*job
	inboxes      map[structs.NodeID][]Message
	partitioned  map[structs.NodeID]bool
	dropMessages bool
	crashes      int
	log          []string
}

func newTestCluster() *testCluster {
	b := &testCluster{now: epoch, entries: map[structs.NodeID]*Machine{}, upstreams: map[structs.UpstreamID][]*job{},
		inboxes: map[structs.NodeID][]Message{}, partitioned: map[structs.NodeID]bool{}}
	for _, n := range []structs.NodeID{"e1", "e2", "e3"} {
		b.start(n)
	}
	for _, u := range []structs.UpstreamID{"m1", "m2", "m3"} {
		b.upstreams[u] = nil
	}
	return b
}

// start starts or restarts an entry. Its unfinished requests and unread messages are lost.
func (b *testCluster) start(n structs.NodeID) {
	b.entries[n] = New(DefaultConfig(n))
	b.inboxes[n] = nil
	b.requests = slices.DeleteFunc(b.requests, func(r *request) bool { return r.entry == n && r.result == "" })
}

func (b *testCluster) entryNames() []structs.NodeID { return keys(b.entries) }

// keys returns the keys of a map in ascending order.
func keys[K ~string, V any](of map[K]V) []K {
	var out []K
	for k := range of {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (b *testCluster) submit(n structs.NodeID, content string) *request {
	b.calls++
	r := &request{call: structs.CallID(fmt.Sprint("c", b.calls)), entry: n, content: content, attempt: 1}
	b.requests = append(b.requests, r)
	return r
}

// step sends a message to an entry and carries out the effects.
func (b *testCluster) step(n structs.NodeID, msg Message) {
	for _, e := range b.entries[n].Step(b.now, msg) {
		switch e := e.(type) {
		case BroadcastRecords:
			b.broadcast(n, RecordsReceived(e))
		case BroadcastDigest:
			b.broadcast(n, DigestReceived{From: n, Digest: e.Digest})
		case SendRecords:
			b.send(n, e.To, RecordsReceived{e.Records})
		case StateChanged:
			b.logf("%s: %s is %s", n, b.contentOf(e.Fingerprint), e.State)
		case Run:
			r := b.request(n, e.Call)
			r.permit, r.admitted = e, true
		case Wait:
			b.request(n, e.Call).askAt = e.Until
		case Refuse:
			r := b.request(n, e.Call)
			r.result = "refused"
			b.logf("%s: %s %s refused %s", n, r.call, r.content, e.Refusal.Outcome)
		}
	}
}

func (b *testCluster) broadcast(from structs.NodeID, msg Message) {
	for _, to := range b.entryNames() {
		b.send(from, to, msg)
	}
}

func (b *testCluster) send(from, to structs.NodeID, msg Message) {
	if to != from && !b.partitioned[from] && !b.partitioned[to] && !b.dropMessages {
		b.inboxes[to] = append(b.inboxes[to], msg)
	}
}

func (b *testCluster) request(n structs.NodeID, c structs.CallID) *request {
	for _, r := range b.requests {
		if r.call == c && r.entry == n {
			return r
		}
	}
	return &request{}
}

func contentFingerprint(content string) Fingerprint {
	return FingerprintOf("m", []structs.Message{{Role: structs.RoleUser, Content: content}})
}

func (b *testCluster) contentOf(f Fingerprint) string {
	for _, r := range b.requests {
		if contentFingerprint(r.content) == f {
			return r.content
		}
	}
	return f.String()
}

func (b *testCluster) logf(format string, args ...any) {
	b.log = append(b.log, fmt.Sprint(b.now.Sub(epoch), " ")+fmt.Sprintf(format, args...))
}

func (b *testCluster) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(step)
		for _, n := range b.entryNames() {
			inbox := b.inboxes[n]
			b.inboxes[n] = nil
			for _, msg := range inbox {
				b.step(n, msg)
			}
			if b.now.Sub(epoch)%time.Second == 0 {
				b.step(n, Tick{})
			}
		}
		b.runJobs()
		for _, r := range b.requests {
			if r.result == "" && !r.admitted && !b.now.Before(r.askAt) {
				b.step(r.entry, Admit{Call: r.call, Attempt: r.attempt, Fingerprint: contentFingerprint(r.content)})
			}
			if r.result == "" && r.admitted {
				b.place(r)
			}
		}
	}
}

// place starts an admitted request on the upstream with the fewest jobs. A request that
// must run alone waits until an upstream is idle.
func (b *testCluster) place(r *request) {
	var best structs.UpstreamID
	for _, u := range keys(b.upstreams) {
		jobs := b.upstreams[u]
		taken := len(jobs) > 0 && (r.permit.Alone || jobs[0].permit.Alone)
		placed := slices.ContainsFunc(jobs, func(j *job) bool { return j.request == r })
		if placed {
			return
		}
		if taken || (r.permit.Alone && u == r.permit.Avoid) {
			continue
		}
		if best == "" || len(jobs) < len(b.upstreams[best]) {
			best = u
		}
	}
	if best == "" {
		return
	}
	j := &job{request: r, ends: b.now.Add(runTime), shared: len(b.upstreams[best]) > 0}
	for _, other := range b.upstreams[best] {
		other.shared = true
	}
	b.upstreams[best] = append(b.upstreams[best], j)
}

// runJobs ends the jobs that are due.
func (b *testCluster) runJobs() {
	for _, u := range keys(b.upstreams) {
		var left []*job
		for _, j := range b.upstreams[u] {
			if b.now.Before(j.ends) {
				left = append(left, j)
				continue
			}
			if strings.HasPrefix(j.content, "poison") {
				b.crash(u)
				left = nil
				break
			}
			j.result = "done"
			b.step(j.entry, Ended{Call: j.call, Ran: true})
		}
		b.upstreams[u] = left
	}
}

// crash crashes an upstream. The callers of its jobs send them again.
func (b *testCluster) crash(u structs.UpstreamID) {
	jobs := b.upstreams[u]
	b.upstreams[u] = nil
	b.crashes++
	b.logf("%s crashes", u)
	for _, j := range jobs {
		if j.result == "" {
			j.admitted, j.attempt, j.askAt = false, j.attempt+1, b.now.Add(step)
			b.step(j.entry, Crashed{Call: j.call, Upstream: u, Alone: !j.shared})
		}
	}
}

// TestScripts runs the scenarios in testdata; run lists their commands.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if !strings.HasSuffix(path, ".txt") {
			return
		}
		b := newTestCluster()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			b.run(t, d)
			out := strings.Join(b.log, "\n")
			b.log = nil
			return out
		})
	})
}

// run executes one command of a script.
func (b *testCluster) run(t *testing.T, d *datadriven.TestData) {
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
		b.partitioned[structs.NodeID(arg(0))] = true
	case "heal":
		clear(b.partitioned)
		b.dropMessages = false
	case "lose":
		b.dropMessages = true
	case "lose-end":
		for _, r := range b.requests {
			if r.entry == structs.NodeID(arg(0)) && r.result == "" {
				r.result = "lost"
				for _, u := range keys(b.upstreams) {
					b.upstreams[u] = slices.DeleteFunc(b.upstreams[u], func(j *job) bool { return j.request == r })
				}
			}
		}
	case "cancel":
		for _, r := range b.requests {
			if string(r.call) == arg(0) {
				r.result = "cancelled"
				for _, u := range keys(b.upstreams) {
					b.upstreams[u] = slices.DeleteFunc(b.upstreams[u], func(j *job) bool { return j.request == r })
				}
				b.step(r.entry, Ended{Call: r.call})
			}
		}
	case "expect":
		ends := map[string]int{}
		for _, r := range b.requests {
			ends[r.content+" "+r.result]++
		}
		b.log = append(b.log, fmt.Sprintf("crashes %d %v", b.crashes, ends))
	default:
		d.Fatalf(t, "unknown verb %q", d.Cmd)
	}
}

// TestAnyInterleaving submits harmless and crashing requests through all entries while
// messages are lost and entries restart. No harmless request may be quarantined, every
// request must end, and once broadcasts arrive again the crashing requests must crash no
// further upstream.
func TestAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestCluster()
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			n := rapid.SampledFrom(b.entryNames()).Draw(rt, "entry")
			switch rapid.IntRange(0, 8).Draw(rt, "verb") {
			case 0, 1, 2, 3:
				b.submit(n, fmt.Sprint("innocent", rapid.IntRange(1, 5).Draw(rt, "content")))
			case 4, 5:
				b.submit(n, fmt.Sprint("poison", rapid.IntRange(1, 2).Draw(rt, "content")))
			case 6:
				b.start(n)
			case 7:
				b.partitioned[n] = !b.partitioned[n]
			case 8:
				b.dropMessages = !b.dropMessages
			}
			b.advance(step * time.Duration(rapid.IntRange(1, 10).Draw(rt, "steps")))
		}
		clear(b.partitioned)
		b.dropMessages = false
		b.advance(90 * time.Second)
		b.submit("e1", "poison1")
		b.advance(15 * time.Second)
		for _, r := range b.requests {
			innocent := strings.HasPrefix(r.content, "innocent")
			if innocent && r.result != "done" || !innocent && r.result != "refused" {
				rt.Fatalf("%s %s ended with result %q\n%s", r.call, r.content, r.result, strings.Join(b.log, "\n"))
			}
		}
		before := b.crashes
		for _, n := range b.entryNames() {
			b.submit(n, "poison1")
		}
		b.advance(10 * time.Second)
		if b.crashes != before {
			rt.Fatalf("%d crashes by a request that was quarantined already\n%s", b.crashes-before, strings.Join(b.log, "\n"))
		}
	})
}

// TestFingerprint checks that a resent turn keeps its fingerprint although the IDs of its
// tool calls and the messages before the covered part differ, and that different content
// has a different fingerprint.
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
			t.Errorf("the different conversation %v has the same fingerprint", other)
		}
	}
	if FingerprintOf("m", []structs.Message{user(long), user("yes")}) == FingerprintOf("m", []structs.Message{user(long + "2"), user("yes")}) {
		t.Error("conversations with the same short last message and different messages before it have the same fingerprint")
	}
	if FingerprintOf("m2", []structs.Message{user(long)}) == FingerprintOf("m", []structs.Message{user(long)}) {
		t.Error("calls to different models have the same fingerprint")
	}
}

// TestTableIsBounded checks that a full table evicts records, quarantined ones last.
func TestTableIsBounded(t *testing.T) {
	cfg := DefaultConfig("e1")
	cfg.MaxRecords = 3
	m := New(cfg)
	receive := func(content string, s State) {
		m.Step(epoch, RecordsReceived{[]Record{{Fingerprint: contentFingerprint(content), Episode: 1, State: s, Owner: "e2", TTL: time.Minute}}})
	}
	receive("a", Quarantined)
	receive("b", Cleared)
	receive("c", Suspect)
	receive("d", Suspect)
	receive("e", Quarantined)
	if got := m.table.rows; len(got) != 3 || m.table.rows[contentFingerprint("a")] == nil || m.table.rows[contentFingerprint("e")] == nil {
		t.Errorf("records %v, want 3 with the quarantined ones among them", got)
	}
}

// BenchmarkAdmit admits a request without a record while the table is full.
func BenchmarkAdmit(b *testing.B) {
	m := New(DefaultConfig("e1"))
	for i := range m.cfg.MaxRecords {
		m.Step(epoch, RecordsReceived{[]Record{{Fingerprint: contentFingerprint(fmt.Sprint(i)), Episode: 1, State: Quarantined, TTL: time.Hour}}})
	}
	f := contentFingerprint("unknown")
	b.ReportAllocs()
	for b.Loop() {
		m.Step(epoch, Admit{Call: "c", Attempt: 1, Fingerprint: f})
		m.Step(epoch, Ended{Call: "c", Ran: true})
		m.Step(epoch, DigestReceived{From: "e2", Digest: m.table.digest})
	}
}
