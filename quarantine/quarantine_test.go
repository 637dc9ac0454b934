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
	// timeStep is the simulated time between two steps of a testCluster.
	timeStep = 100 * time.Millisecond
	// runTime is how long a request runs on an upstream.
	runTime = 3 * timeStep
)

// epoch is the simulated time at which a testCluster starts.
var epoch = time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)

// request is one call of a caller that resends it until it completes or is refused.
type request struct {
	call    structs.CallID
	entry   structs.NodeID
	content string
	attempt uint32
	// askAt is the time from which the entry is asked again to admit the request.
	askAt time.Time
	// permit is the entry's answer once the request is admitted.
	permit   Run
	admitted bool
	// result is empty until the request has ended.
	result string
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
	// crashes is the number of crashes of upstreams so far.
	crashes int
	// log holds the lines to be compared with the expected output of a script.
	log []string
}

func newTestCluster() *testCluster {
	tc := &testCluster{now: epoch, entries: map[structs.NodeID]*Machine{}, upstreams: map[structs.UpstreamID][]*job{},
		inboxes: map[structs.NodeID][]Message{}, partitioned: map[structs.NodeID]bool{}}
	for _, n := range []structs.NodeID{"e1", "e2", "e3"} {
		tc.start(n)
	}
	for _, u := range []structs.UpstreamID{"m1", "m2", "m3"} {
		tc.upstreams[u] = nil
	}
	return tc
}

// start starts or restarts an entry. Its unfinished requests and unread messages are lost.
func (tc *testCluster) start(n structs.NodeID) {
	tc.entries[n] = New(DefaultConfig(n))
	tc.inboxes[n] = nil
	tc.requests = slices.DeleteFunc(tc.requests, func(r *request) bool { return r.entry == n && r.result == "" })
}

func (tc *testCluster) entryNames() []structs.NodeID { return keys(tc.entries) }

// keys returns the keys of a map in ascending order.
func keys[K ~string, V any](of map[K]V) []K {
	var out []K
	for k := range of {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (tc *testCluster) submit(n structs.NodeID, content string) *request {
	tc.calls++
	r := &request{call: structs.CallID(fmt.Sprint("c", tc.calls)), entry: n, content: content, attempt: 1}
	tc.requests = append(tc.requests, r)
	return r
}

// step sends a message to an entry and carries out the effects.
func (tc *testCluster) step(n structs.NodeID, msg Message) {
	for _, e := range tc.entries[n].Step(tc.now, msg) {
		switch e := e.(type) {
		case BroadcastRecords:
			tc.broadcast(n, RecordsReceived(e))
		case BroadcastDigest:
			tc.broadcast(n, DigestReceived{From: n, Digest: e.Digest})
		case SendRecords:
			tc.deliver(n, e.To, RecordsReceived{e.Records})
		case StateChanged:
			tc.logf("%s: %s is %s", n, tc.contentOf(e.Fingerprint), e.State)
		case Run:
			r := tc.request(n, e.Call)
			r.permit, r.admitted = e, true
		case Wait:
			tc.request(n, e.Call).askAt = e.Until
		case Refuse:
			r := tc.request(n, e.Call)
			r.result = "refused"
			tc.logf("%s: %s %s refused %s", n, r.call, r.content, e.Refusal.Outcome)
		}
	}
}

func (tc *testCluster) broadcast(from structs.NodeID, msg Message) {
	for _, to := range tc.entryNames() {
		tc.deliver(from, to, msg)
	}
}

func (tc *testCluster) deliver(from, to structs.NodeID, msg Message) {
	if to != from && !tc.partitioned[from] && !tc.partitioned[to] && !tc.dropMessages {
		tc.inboxes[to] = append(tc.inboxes[to], msg)
	}
}

// request returns an entry's request by its call. It returns an empty one for a request that was
// lost in a restart.
func (tc *testCluster) request(n structs.NodeID, c structs.CallID) *request {
	for _, r := range tc.requests {
		if r.call == c && r.entry == n {
			return r
		}
	}
	return &request{}
}

func contentFingerprint(content string) Fingerprint {
	return FingerprintOf("m", []structs.Message{{Role: structs.RoleUser, Content: content}})
}

// contentOf returns the content of the request with the fingerprint, or the fingerprint if there
// is no such request.
func (tc *testCluster) contentOf(f Fingerprint) string {
	for _, r := range tc.requests {
		if contentFingerprint(r.content) == f {
			return r.content
		}
	}
	return f.String()
}

func (tc *testCluster) logf(format string, args ...any) {
	tc.log = append(tc.log, fmt.Sprint(tc.now.Sub(epoch), " ")+fmt.Sprintf(format, args...))
}

// advance lets time pass. In each step the entries read their inboxes and tick once a second,
// jobs end, and waiting requests are admitted and started.
func (tc *testCluster) advance(d time.Duration) {
	for end := tc.now.Add(d); tc.now.Before(end); {
		tc.now = tc.now.Add(timeStep)
		for _, n := range tc.entryNames() {
			inbox := tc.inboxes[n]
			tc.inboxes[n] = nil
			for _, msg := range inbox {
				tc.step(n, msg)
			}
			if tc.now.Sub(epoch)%time.Second == 0 {
				tc.step(n, Tick{})
			}
		}
		tc.runJobs()
		for _, r := range tc.requests {
			if r.result == "" && !r.admitted && !tc.now.Before(r.askAt) {
				tc.step(r.entry, Admit{Call: r.call, Attempt: r.attempt, Fingerprint: contentFingerprint(r.content)})
			}
			if r.result == "" && r.admitted {
				tc.startJob(r)
			}
		}
	}
}

// startJob starts an admitted request on the upstream with the fewest jobs. A request that
// must run alone waits until an upstream is idle.
func (tc *testCluster) startJob(r *request) {
	var best structs.UpstreamID
	for _, u := range keys(tc.upstreams) {
		jobs := tc.upstreams[u]
		taken := len(jobs) > 0 && (r.permit.Alone || jobs[0].permit.Alone)
		placed := slices.ContainsFunc(jobs, func(j *job) bool { return j.request == r })
		if placed {
			return
		}
		if taken || (r.permit.Alone && u == r.permit.Avoid) {
			continue
		}
		if best == "" || len(jobs) < len(tc.upstreams[best]) {
			best = u
		}
	}
	if best == "" {
		return
	}
	j := &job{request: r, ends: tc.now.Add(runTime), shared: len(tc.upstreams[best]) > 0}
	for _, other := range tc.upstreams[best] {
		other.shared = true
	}
	tc.upstreams[best] = append(tc.upstreams[best], j)
}

// runJobs ends the jobs that are due.
func (tc *testCluster) runJobs() {
	for _, u := range keys(tc.upstreams) {
		var left []*job
		for _, j := range tc.upstreams[u] {
			if tc.now.Before(j.ends) {
				left = append(left, j)
				continue
			}
			if strings.HasPrefix(j.content, "poison") {
				tc.crash(u)
				left = nil
				break
			}
			j.result = "done"
			tc.step(j.entry, Ended{Call: j.call, Ran: true})
		}
		tc.upstreams[u] = left
	}
}

// crash crashes an upstream. The callers of its jobs send them again.
func (tc *testCluster) crash(u structs.UpstreamID) {
	jobs := tc.upstreams[u]
	tc.upstreams[u] = nil
	tc.crashes++
	tc.logf("%s crashes", u)
	for _, j := range jobs {
		if j.result == "" {
			j.admitted, j.attempt, j.askAt = false, j.attempt+1, tc.now.Add(timeStep)
			tc.step(j.entry, Crashed{Call: j.call, Upstream: u, Alone: !j.shared})
		}
	}
}

// TestScripts compares the state changes, crashes and refusals of the scenarios in testdata with
// those recorded there.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if !strings.HasSuffix(path, ".txt") {
			return
		}
		tc := newTestCluster()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			tc.run(t, d)
			out := strings.Join(tc.log, "\n")
			tc.log = nil
			return out
		})
	})
}

// run executes one command of a script:
//
//	submit ENTRY CONTENT [times=N]  submits a request
//	advance DURATION                lets time pass
//	restart ENTRY                   restarts an entry, which loses its state
//	crash UPSTREAM                  crashes an upstream
//	partition ENTRY                 cuts an entry off from the others
//	drop-messages                   drops all messages between entries
//	heal                            ends partitions and the dropping of messages
//	drop-end ENTRY                  drops the unfinished calls of an entry without an Ended
//	cancel CALL                     cancels a call
//	expect                          prints the number of crashes and the results so far
func (tc *testCluster) run(t *testing.T, d *datadriven.TestData) {
	arg := func(i int) string { return d.CmdArgs[i].Key }
	times := 1
	if d.HasArg("times") {
		d.ScanArgs(t, "times", &times)
	}
	switch d.Cmd {
	case "submit":
		for range times {
			tc.submit(structs.NodeID(arg(0)), arg(1))
		}
	case "advance":
		v, err := time.ParseDuration(arg(0))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		tc.advance(v)
	case "restart":
		tc.start(structs.NodeID(arg(0)))
	case "crash":
		tc.crash(structs.UpstreamID(arg(0)))
	case "partition":
		tc.partitioned[structs.NodeID(arg(0))] = true
	case "heal":
		clear(tc.partitioned)
		tc.dropMessages = false
	case "drop-messages":
		tc.dropMessages = true
	case "drop-end":
		for _, r := range tc.requests {
			if r.entry == structs.NodeID(arg(0)) && r.result == "" {
				r.result = "lost"
				for _, u := range keys(tc.upstreams) {
					tc.upstreams[u] = slices.DeleteFunc(tc.upstreams[u], func(j *job) bool { return j.request == r })
				}
			}
		}
	case "cancel":
		for _, r := range tc.requests {
			if string(r.call) == arg(0) {
				r.result = "cancelled"
				for _, u := range keys(tc.upstreams) {
					tc.upstreams[u] = slices.DeleteFunc(tc.upstreams[u], func(j *job) bool { return j.request == r })
				}
				tc.step(r.entry, Ended{Call: r.call})
			}
		}
	case "expect":
		ends := map[string]int{}
		for _, r := range tc.requests {
			ends[r.content+" "+r.result]++
		}
		tc.log = append(tc.log, fmt.Sprintf("crashes %d %v", tc.crashes, ends))
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
}

// TestAnyInterleaving submits harmless and crashing requests through all entries while
// messages are lost and entries restart. No harmless request may be quarantined, every
// request must end, and once broadcasts arrive again the crashing requests must crash no
// further upstream.
func TestAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tc := newTestCluster()
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			n := rapid.SampledFrom(tc.entryNames()).Draw(rt, "entry")
			switch rapid.IntRange(0, 8).Draw(rt, "verb") {
			case 0, 1, 2, 3:
				tc.submit(n, fmt.Sprint("innocent", rapid.IntRange(1, 5).Draw(rt, "content")))
			case 4, 5:
				tc.submit(n, fmt.Sprint("poison", rapid.IntRange(1, 2).Draw(rt, "content")))
			case 6:
				tc.start(n)
			case 7:
				tc.partitioned[n] = !tc.partitioned[n]
			case 8:
				tc.dropMessages = !tc.dropMessages
			}
			tc.advance(timeStep * time.Duration(rapid.IntRange(1, 10).Draw(rt, "steps")))
		}
		clear(tc.partitioned)
		tc.dropMessages = false
		tc.advance(90 * time.Second)
		tc.submit("e1", "poison1")
		tc.advance(15 * time.Second)
		for _, r := range tc.requests {
			innocent := strings.HasPrefix(r.content, "innocent")
			if innocent && r.result != "done" || !innocent && r.result != "refused" {
				rt.Fatalf("%s %s ended with result %q\n%s", r.call, r.content, r.result, strings.Join(tc.log, "\n"))
			}
		}
		before := tc.crashes
		for _, n := range tc.entryNames() {
			tc.submit(n, "poison1")
		}
		tc.advance(10 * time.Second)
		if tc.crashes != before {
			rt.Fatalf("%d crashes by a request that was quarantined already\n%s", tc.crashes-before, strings.Join(tc.log, "\n"))
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
	if got := m.table.records; len(got) != 3 || m.table.records[contentFingerprint("a")] == nil || m.table.records[contentFingerprint("e")] == nil {
		t.Errorf("records %v, want 3 with the quarantined ones among them", got)
	}
}

// BenchmarkAdmit measures how long it takes to admit and end a call without a record, and to receive
// an equal digest, while the table is full.
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
