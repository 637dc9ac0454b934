package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/quarantine"
)

// crashingPool stands in for the upstreams of one service. A request with the body "poison" ends the
// process of the upstream that runs it: its listener and all its connections are closed, and its
// successor starts.
type crashingPool struct {
	t       *testing.T
	p       *testPlatform
	service string
	// sameID makes a successor start under the id and address of its predecessor.
	sameID bool
	// crash ends an answer to poison just before the process ends; nil closes the connection without
	// an answer.
	crash answerFunc
	// answer answers all other requests.
	answer answerFunc
	// fails reports whether an upstream ends whatever it runs; nil when none does.
	fails func() bool

	mu      sync.Mutex
	started int64
	// crashes counts the processes that poison has ended, runs the requests that each body ran.
	crashes int
	runs    map[string]int
}

// newCrashingPool starts size upstreams of a service and registers them.
func newCrashingPool(t *testing.T, p *testPlatform, service string, size int, answer answerFunc) *crashingPool {
	c := &crashingPool{t: t, p: p, service: service, answer: answer, runs: map[string]int{}}
	for i := range size {
		c.start(fmt.Sprintf("%s-%d", service, i), "127.0.0.1:0")
	}
	return c
}

// start starts an upstream and writes its row, with a later start than any before.
func (c *crashingPool) start(id, address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		c.t.Error(err)
		return
	}
	c.mu.Lock()
	c.started++
	born := c.started
	c.mu.Unlock()
	s := httptest.NewUnstartedServer(nil)
	_ = s.Listener.Close()
	s.Listener = l
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(w, r, s, id) })
	s.Start()
	c.t.Cleanup(s.Close)
	c.p.write("servers//"+id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"seq":1,"born":%d}`,
		c.service, l.Addr(), born))
}

func (c *crashingPool) serve(w http.ResponseWriter, r *http.Request, s *httptest.Server, id string) {
	body, _ := io.ReadAll(r.Body)
	if r.Header.Get("X-Expect-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	c.mu.Lock()
	c.runs[string(body)]++
	c.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if !strings.HasPrefix(string(body), "poison") && (c.fails == nil || !c.fails()) {
		c.answer(w, r)
		return
	}
	if c.crash != nil {
		c.crash(w, r)
	}
	c.end(s, id)
	panic(http.ErrAbortHandler)
}

// end ends the process of an upstream and starts its successor.
func (c *crashingPool) end(s *httptest.Server, id string) {
	address := s.Listener.Addr().String()
	_ = s.Listener.Close()
	s.CloseClientConnections()
	c.mu.Lock()
	c.crashes++
	n := c.crashes
	c.mu.Unlock()
	if c.sameID {
		c.start(id, address)
		return
	}
	c.p.removeRow("servers//" + id)
	c.start(fmt.Sprintf("%s-new-%d", c.service, n), "127.0.0.1:0")
}

func (c *crashingPool) crashed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// repeat sends a request until it has been refused in 6 attempts in a row, at most 40 times, to the
// entries in turn.
func (c *crashingPool) repeat(path, body string, header map[string]string, entries ...*testEntry) {
	refused := 0
	for i := 0; i < 40 && refused < 6; i++ {
		refused++
		if r := entries[i%len(entries)].call("POST", path, body, header); r.status != http.StatusServiceUnavailable {
			refused = 0
		}
		<-time.After(20 * time.Millisecond)
	}
}

// maxCrashes is the number of upstreams that one request may crash: three before it must be refused,
// and three retries while the entries learn of that.
const maxCrashes = 6

func (c *crashingPool) checkCrashes() {
	c.t.Helper()
	if n := c.crashed(); n < defaultCrashes || n > maxCrashes {
		c.t.Errorf("%d upstreams crashed, want %d to %d", n, defaultCrashes, maxCrashes)
	}
}

// defaultCrashes is the number of crashes after which a request is refused.
const defaultCrashes = 3

// startCrashingPool starts an entry with a pool of 8 model engines that poison crashes.
func startCrashingPool(t *testing.T) (*crashingPool, *testEntry) {
	t.Helper()
	p := newTestPlatform(t)
	p.writeDocument(1)
	c := newCrashingPool(t, p, "llm", 8, answerEvents(0, 1, false))
	e := startEntry(t, "entry-1", p.standin.Table)
	eventually(t, "the entry lists all upstreams", func() bool { return len(e.fleet.Load().byService["llm"]) == 8 })
	return c, e
}

// TestRequestThatCrashesUpstreamsMidAnswer checks that a request is refused once it has crashed 3
// upstreams, wherever its answer breaks off.
func TestRequestThatCrashesUpstreamsMidAnswer(t *testing.T) {
	head := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Response-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
	}
	for _, c := range []struct {
		name, path string
		crash      answerFunc
	}{
		{"before the head", "/draft/1", nil},
		{"after the head", "/draft/1", head},
		{"after an event", "/draft/1", answerEvents(0, 0, false)},
		{"in an event", "/draft/1", func(w http.ResponseWriter, r *http.Request) {
			head(w, r)
			_, _ = io.WriteString(w, "id: 0\nda")
			w.(http.Flusher).Flush()
		}},
		{"in a resumable stream", "/ask/1", answerEvents(0, 0, false)},
		{"in an answer that is no stream", "/draft/1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Response-Seal", "s")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			w.(http.Flusher).Flush()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool, e := startCrashingPool(t)
			pool.crash = c.crash
			pool.repeat(c.path, "poison", nil, e)
			pool.checkCrashes()
		})
	}
}

// TestCrashesUnderOneIDCountEachTime checks that a request is refused after 3 crashes of upstreams
// that each start again under the same id.
func TestCrashesUnderOneIDCountEachTime(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	c := newCrashingPool(t, p, "llm", 1, answerEvents(0, 1, false))
	c.sameID = true
	e := startEntry(t, "entry-1", p.standin.Table)
	c.repeat("/draft/1", "poison", nil, e)
	c.checkCrashes()
}

// TestCrashNeighbourIsServed checks that a request which runs beside a crashing one, at each
// upstream that this one crashes, is served afterwards, also if both have the same crashes.
func TestCrashNeighbourIsServed(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	running := make(chan struct{}, 1)
	ended := false
	var mu sync.Mutex
	c := newCrashingPool(t, p, "llm", 1, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		crashing := !ended
		mu.Unlock()
		if !crashing {
			answerEvents(0, 1, false)(w, r)
			return
		}
		running <- struct{}{}
		neverAnswer(w, r)
	})
	e := startEntry(t, "entry-1", p.standin.Table)
	e.mu.Lock()
	e.crashes.TrialDelay = 300 * time.Millisecond
	e.mu.Unlock()
	for i := range defaultCrashes {
		eventually(t, "an upstream is listed", func() bool {
			f := e.fleet.Load()
			return len(f.byService["llm"]) == 1 && f.registry.Get(fmt.Sprintf("llm-new-%d", i)) != nil || i == 0
		})
		var neighbour sync.WaitGroup
		neighbour.Add(1)
		go func() {
			defer neighbour.Done()
			e.call("POST", "/draft/1", "harmless", nil)
		}()
		<-running
		e.call("POST", "/draft/1", "poison", nil)
		neighbour.Wait()
	}
	mu.Lock()
	ended = true
	mu.Unlock()
	for _, body := range []string{"poison", "harmless"} {
		if r := e.call("POST", "/draft/1", body, nil); r.status != http.StatusServiceUnavailable {
			t.Fatalf("%s after %d crashes: %+v, want status 503", body, defaultCrashes, r)
		}
	}
	eventually(t, "the neighbour is served", func() bool {
		return e.call("POST", "/draft/1", "harmless", nil).status == http.StatusOK
	})
	c.repeat("/draft/1", "poison", nil, e)
	c.checkCrashes()
}

// TestHarmlessRequestOutlivesFailingUpstreams checks that a request during whose runs three upstreams
// ended for other reasons is answered soon after the upstreams stay up.
func TestHarmlessRequestOutlivesFailingUpstreams(t *testing.T) {
	c, e := startCrashingPool(t)
	e.mu.Lock()
	e.crashes.TrialDelay = 300 * time.Millisecond
	e.mu.Unlock()
	failing := func() bool { return c.crashed() < defaultCrashes }
	c.fails = failing
	eventually(t, "the request is refused", func() bool {
		return e.call("POST", "/draft/1", "harmless", nil).status == http.StatusServiceUnavailable && !failing()
	})
	eventually(t, "the request is answered", func() bool {
		return e.call("POST", "/draft/1", "harmless", nil).status == http.StatusOK
	})
}

// TestBrokenAnswersQuarantineNothing checks that a request whose answers break off at upstreams
// that do not end is refused no longer than it takes to see that they are still listed.
func TestBrokenAnswersQuarantineNothing(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, dropConnection)
	for i := range 4 {
		p.registerUpstream(newScriptedUpstream(t, fmt.Sprintf("llm-%d", i+2), dropConnection), "llm", "ready", 1)
	}
	e.mu.Lock()
	e.sends.SurvivedAfter = 500 * time.Millisecond
	e.mu.Unlock()
	eventually(t, "the entry lists all upstreams", func() bool { return len(e.fleet.Load().byService["llm"]) == 5 })
	eventually(t, "the request is refused", func() bool {
		return e.call("POST", "/draft/1", "harmless", nil).status == http.StatusServiceUnavailable
	})
	eventually(t, "the request is sent again", func() bool {
		return e.call("POST", "/draft/1", "harmless", nil).status == http.StatusBadGateway
	})
}

// TestCompletedRequestIsCleared checks that broken answers do not add up over a request's runs: one
// that completes is not refused for those before.
func TestCompletedRequestIsCleared(t *testing.T) {
	var n atomic.Int64
	everySecond := func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1)%2 == 1 {
			dropConnection(w, r)
			return
		}
		answerEvents(0, 1, false)(w, r)
	}
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, everySecond)
	for i := range 4 {
		p.registerUpstream(newScriptedUpstream(t, fmt.Sprintf("llm-%d", i+2), everySecond), "llm", "ready", 1)
	}
	eventually(t, "the entry lists all upstreams", func() bool { return len(e.fleet.Load().byService["llm"]) == 5 })
	for range 20 {
		if r := e.call("POST", "/draft/1", "harmless", nil); r.status == http.StatusServiceUnavailable {
			t.Fatalf("%+v, want the request to be sent", r)
		}
	}
}

// TestCrashUnderAbandonedRequest checks that a crash counts also if the caller had left, or had not
// waited long enough, when the upstream ended.
func TestCrashUnderAbandonedRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		// left closes the caller's connection before the upstream ends; otherwise the call's
		// timeout passes first.
		left bool
	}{{"caller gone", true}, {"timeout", false}} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPlatform(t)
			p.writeDocument(1)
			// An upstream runs poison for a while before its process ends.
			pool := newCrashingPool(t, p, "llm", 8, answerEvents(0, 1, false))
			pool.crash = func(http.ResponseWriter, *http.Request) { <-time.After(450 * time.Millisecond) }
			e := startEntry(t, "entry-1", p.standin.Table)
			eventually(t, "the entry lists all upstreams", func() bool { return len(e.fleet.Load().byService["llm"]) == 8 })
			for i := range 10 {
				before := pool.crashed()
				if c.left {
					e.abandon("/draft/1", "poison", 150*time.Millisecond)
				} else {
					e.call("POST", "/draft/1", "poison", map[string]string{"X-Timeout-Ms": "200"})
				}
				if i < defaultCrashes {
					eventually(t, "the upstream has ended", func() bool { return pool.crashed() > before })
				}
			}
			<-time.After(600 * time.Millisecond) // the last ones end
			pool.checkCrashes()
		})
	}
}

// abandon sends a request and closes its connection after a time.
func (e *testEntry) abandon(path, body string, after time.Duration) {
	e.t.Helper()
	conn, err := net.Dial("tcp", e.cfg.ListenCallers)
	if err != nil {
		e.t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 1000\r\nContent-Length: %d\r\n\r\n%s", path, newID(), len(body), body); err != nil {
		e.t.Fatal(err)
	}
	<-time.After(after)
}

// TestResentCrashingRequestIsRecognised checks that a request with the same path and body is
// refused after 3 crashes, although it comes under another program, conversation and object.
func TestResentCrashingRequestIsRecognised(t *testing.T) {
	c, e := startCrashingPool(t)
	for i := range 20 {
		e.call("POST", "/draft/1", "poison", map[string]string{
			"X-Program-Id": fmt.Sprint("p", i), "X-Session-Id": fmt.Sprint("s", i), "X-Affinity-Key": fmt.Sprint("o", i),
		})
	}
	c.checkCrashes()
	if r := e.call("POST", "/draft/1", "harmless", nil); r.status != http.StatusOK {
		t.Errorf("a request with another body: %+v", r)
	}
	if r := e.call("POST", "/draft/2", "harmless", nil); r.status != http.StatusOK {
		t.Errorf("a request with another path: %+v", r)
	}
}

// TestEntryStartedLaterKnowsCrashingRequest checks that an entry that starts after a request was
// refused learns of it.
func TestEntryStartedLaterKnowsCrashingRequest(t *testing.T) {
	c, e := startCrashingPool(t)
	c.repeat("/draft/1", "poison", nil, e)
	c.checkCrashes()
	before := c.crashed()
	other := startEntry(t, "entry-2", c.p.standin.Table)
	eventually(t, "the other entry refuses the request", func() bool {
		return other.crashCount(e.fingerprintOf("POST", "/draft/1", "poison")) >= defaultCrashes
	})
	if r := other.call("POST", "/draft/1", "poison", nil); r.status != http.StatusServiceUnavailable || c.crashed() != before {
		t.Errorf("%+v and %d further crashes, want status 503 and none", r, c.crashed()-before)
	}
}

// TestLostCrashReportsAreRepaired checks that entries agree on a refused request although all
// datagrams with the reports were lost.
func TestLostCrashReportsAreRepaired(t *testing.T) {
	c, e := startCrashingPool(t)
	other := startEntry(t, "entry-2", c.p.standin.Table)
	eventually(t, "the entries list each other", func() bool { return e.mesh.Size() == 2 && other.mesh.Size() == 2 })
	now := time.Now()
	fingerprint := e.fingerprintOf("POST", "/draft/1", "poison")
	e.mu.Lock()
	for upstream := range uint64(defaultCrashes) {
		e.crashes.Add(now, quarantine.CrashReport{Kind: quarantine.Crash, Request: fingerprint, Upstream: upstream})
	}
	e.mu.Unlock()
	e.updateQuarantineDigest()
	eventually(t, "the other entry knows the crashes", func() bool { return other.crashCount(fingerprint) == defaultCrashes })
	if r := other.call("POST", "/draft/1", "poison", nil); r.status != http.StatusServiceUnavailable || c.crashed() > 0 {
		t.Errorf("%+v and %d crashes, want status 503 and none", r, c.crashed())
	}
}

// TestCrashReportsWaitForRoom checks that reports which do not fit in a digest are sent in later
// ones, and that each is sent several times, since a datagram may be lost.
func TestCrashReportsWaitForRoom(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	receiver := newGateway(testSettings(t, "receiver"), e.env)
	setPeer(t, receiver, e.mesh.Self())
	const reports = 200
	for i := range uint64(reports) {
		e.reports.queue(quarantine.CrashReport{Kind: quarantine.Crash, Request: 1<<60 + i, Upstream: 1<<60 + i})
	}
	sends := 0
	for range 60 {
		b := e.mesh.Digest()
		if len(b) > mesh.MaxPacketSize {
			t.Fatalf("a digest has %d bytes, want at most %d", len(b), mesh.MaxPacketSize)
		}
		if sends++; sends%3 != 0 { // every third datagram is lost
			receiver.mesh.HandlePacket(b, nil)
		}
	}
	for i := range uint64(reports) {
		if receiver.crashCount(1<<60+i) != 1 {
			t.Fatalf("report %d did not arrive", i)
		}
	}
}

// TestQuarantineOutlivesAllEntries checks that a refused request stays refused after all entries
// have ended at once.
func TestQuarantineOutlivesAllEntries(t *testing.T) {
	c, e := startCrashingPool(t)
	c.repeat("/draft/1", "poison", nil, e)
	before := c.crashed()
	eventually(t, "the refused request is stored", func() bool {
		rows, _, err := c.p.standin.Table.Snapshot(t.Context(), quarantinePrefix)
		return err == nil && len(rows) == 1
	})
	e.stop()
	next := startEntry(t, "entry-1", c.p.standin.Table)
	eventually(t, "the entry has read the refused requests", func() bool {
		return next.crashCount(e.fingerprintOf("POST", "/draft/1", "poison")) >= defaultCrashes
	})
	if r := next.call("POST", "/draft/1", "poison", nil); r.status != http.StatusServiceUnavailable || c.crashed() != before {
		t.Errorf("%+v and %d further crashes, want status 503 and none", r, c.crashed()-before)
	}
}

// TestQuarantineIsStoredWhoeverCountsLast checks that a refused request is stored although no entry
// has observed three crashes itself.
func TestQuarantineIsStoredWhoeverCountsLast(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	now := time.Now()
	e.publish(now, []quarantine.CrashReport{{Kind: quarantine.Crash, Request: 1, Upstream: 1}})
	for upstream := range uint64(defaultCrashes) {
		for _, request := range []uint64{1, 2} { // the entry has observed no crash of request 2
			e.receiveCrashReport(now, "entry-2", quarantine.CrashReport{Kind: quarantine.Crash, Request: request, Upstream: upstream})
		}
	}
	eventually(t, "the request is stored", func() bool {
		rows, _, err := p.standin.Table.Snapshot(t.Context(), quarantinePrefix)
		return err == nil && len(rows) == 1 && rows[0].Key == quarantinePrefix+"1"
	})
}

// slowRowsTable is a table that fails the first reads of the refused requests.
type slowRowsTable struct {
	platformapi.Watcher
	failures atomic.Int64
}

func (s *slowRowsTable) Snapshot(ctx context.Context, prefix string) ([]platformapi.Row, int64, error) {
	if prefix == quarantinePrefix && s.failures.Add(-1) >= 0 {
		return nil, 0, platformapi.ErrUnavailable
	}
	return s.Watcher.Snapshot(ctx, prefix)
}

// TestRestartedEntryReadsQuarantineFirst checks that an entry which starts again serves no caller
// before it knows the refused requests.
func TestRestartedEntryReadsQuarantineFirst(t *testing.T) {
	c, e := startCrashingPool(t)
	c.repeat("/draft/1", "poison", nil, e)
	before := c.crashed()
	eventually(t, "the refused request is stored", func() bool {
		rows, _, err := c.p.standin.Table.Snapshot(t.Context(), quarantinePrefix)
		return err == nil && len(rows) == 1
	})
	e.stop()
	cfg := testSettings(t, "entry-1")
	cfg.FirstStart = false
	table := &slowRowsTable{Watcher: c.p.standin.Table}
	table.failures.Store(2)
	next, err := startEntryWith(t, cfg, table)
	if err != nil {
		t.Fatal(err)
	}
	if r := next.call("POST", "/draft/1", "poison", nil); r.status != http.StatusServiceUnavailable || c.crashed() != before {
		t.Errorf("%+v and %d further crashes, want status 503 and none", r, c.crashed()-before)
	}
}

// fingerprintOf returns the fingerprint of a call without a previous turn.
func (e *testEntry) fingerprintOf(method, path, body string) uint64 {
	return quarantine.HashCall(method, path, "", []byte(body))
}

// TestListReadBeforePauseWithdrawsNothing checks that a crash is not withdrawn by a read of the list
// of upstreams that began before the crashed upstream could have been removed.
func TestListReadBeforePauseWithdrawsNothing(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	g := newGateway(testSettings(t, "entry-2"), e.env)
	begun := time.Now()
	g.mu.Lock()
	report, _ := g.sends.Add(begun, quarantine.EndedSend{Request: 1, Upstream: 2, Broken: true})
	g.mu.Unlock()
	g.publish(begun, []quarantine.CrashReport{report})
	g.checkEndedSends(begun.Add(time.Second))
	if n := g.crashCount(1); n != 1 {
		t.Errorf("%d crashes count after a read of the list that began 1 s after the crash, want 1", n)
	}
	g.checkEndedSends(begun.Add(time.Minute))
	if n := g.crashCount(1); n != 0 {
		t.Errorf("%d crashes count after a read of the list that began 1 min after the crash, want 0", n)
	}
}

// TestQuarantinedRequestIsNotAskedBackAtOnce checks that the Retry-After of a refused request
// covers the time in which the refusal can't end.
func TestQuarantinedRequestIsNotAskedBackAtOnce(t *testing.T) {
	c, e := startCrashingPool(t)
	c.repeat("/draft/1", "poison", nil, e)
	r := e.call("POST", "/draft/1", "poison", nil)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if r.status != http.StatusServiceUnavailable || err != nil || after < 2 {
		t.Errorf("%+v, want status 503 and a Retry-After of 2 s or more", r)
	}
}
