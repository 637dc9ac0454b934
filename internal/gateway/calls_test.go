package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/standin"
)

// startEntryWithUpstreams starts an entry with one upstream of each service.
func startEntryWithUpstreams(t *testing.T, app, llm answerFunc) (*testPlatform, *testEntry, *scriptedUpstream, *scriptedUpstream) {
	t.Helper()
	p := newTestPlatform(t)
	a, l := newScriptedUpstream(t, "app-1", app), newScriptedUpstream(t, "llm-1", llm)
	p.writeDocument(1)
	p.registerUpstream(a, "app", "ready", 1)
	p.registerUpstream(l, "llm", "ready", 1)
	return p, startEntry(t, "entry-1", p.standin.Table), a, l
}

func TestAnswerIsPassedUnchanged(t *testing.T) {
	_, e, a, _ := startEntryWithUpstreams(t, answerSealed(http.StatusOK, "hello"), answerEvents(0, 2, false))
	r := e.call("POST", "/act/2f?x=1", "body", map[string]string{"X-Hold": "mine", "X-Timeout-Ms": "900"})
	if r.status != http.StatusOK || r.body != "hello" || r.header.Get("X-Response-Seal") != "s" {
		t.Fatalf("%+v", r)
	}
	got := a.requests()[0]
	if got.body != "body" || got.header.Get("X-Hold") != "" || got.header.Get("X-Expect-Instance") != "app-1" {
		t.Fatalf("%+v", got)
	}
	if left := got.header.Get("X-Timeout-Ms"); left == "900" || len(left) != 3 {
		t.Errorf("time left %q, want a little below 600", left)
	}
	r = e.call("POST", "/ask/2f", "prompt", nil)
	if r.status != http.StatusOK || r.err != nil || r.body != "id: 0\ndata: e0\n\nid: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" {
		t.Fatalf("%+v", r)
	}
}

func TestRefusalsSayNotRunOnlyWhenTrue(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		answer answerFunc
		status int
		sends  int
	}{
		{"at most once, refused", "/act/1", answerNotRun, http.StatusServiceUnavailable, 1},
		{"at most once, cut", "/act/1", dropConnection, http.StatusBadGateway, 1},
		// The upstream may still run it when the deadline passes.
		{"at most once, silent", "/act/1", neverAnswer, http.StatusGatewayTimeout, 1},
		{"at most once, without seal", "/act/1", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }, http.StatusBadGateway, 1},
		{"at most once, 503 of no promise", "/act/1", answerSealed(http.StatusServiceUnavailable, ""), http.StatusBadGateway, 1},
		{"failure of its own", "/act/1", answerSealed(http.StatusInternalServerError, "sorry"), http.StatusInternalServerError, 1},
		{"no route", "/none/1", answerNotRun, http.StatusNotFound, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, e, a, _ := startEntryWithUpstreams(t, c.answer, answerNotRun)
			r := e.call("POST", c.path, "b", nil)
			if r.status != c.status || len(a.requests()) != c.sends {
				t.Fatalf("status %d after %d sends", r.status, len(a.requests()))
			}
			if after := r.header.Get("Retry-After"); (after != "") != (c.status == http.StatusServiceUnavailable) {
				t.Errorf("Retry-After %q", after)
			}
		})
	}
}

func TestRepeatableCallGoesOnElsewhere(t *testing.T) {
	p := newTestPlatform(t)
	bad, good := newScriptedUpstream(t, "app-1", dropConnection), newScriptedUpstream(t, "app-2", answerSealed(http.StatusOK, "ok"))
	p.writeDocument(1)
	p.registerUpstream(bad, "app", "ready", 1)
	p.registerUpstream(good, "app", "ready", 1)
	e := startEntry(t, "entry-1", p.standin.Table)
	for range 6 {
		if r := e.call("GET", "/read/1", "", nil); r.status != http.StatusOK {
			t.Fatalf("%+v", r)
		}
	}
}

func TestResumableStreamGoesOnAfterABreak(t *testing.T) {
	p := newTestPlatform(t)
	// Whichever is asked first breaks off after two events; the other goes on.
	answer := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "1" {
			answerEvents(2, 4, false)(w, r)
			return
		}
		answerEvents(0, 1, true)(w, r)
	}
	a, b := newScriptedUpstream(t, "llm-1", answer), newScriptedUpstream(t, "llm-2", answer)
	p.writeDocument(1)
	p.registerUpstream(a, "llm", "ready", 1)
	p.registerUpstream(b, "llm", "ready", 1)
	e := startEntry(t, "entry-1", p.standin.Table)
	r := e.call("POST", "/ask/1", "x", nil)
	if r.err != nil || strings.Count(r.body, "data:") != 5 || !strings.HasSuffix(r.body, "data: e4\n\n") {
		t.Fatalf("%+v", r)
	}
	// One that must not be resumed breaks off and does not look complete.
	if r = e.call("POST", "/draft/1", "x", nil); r.err == nil {
		t.Fatalf("a broken stream looks complete: %+v", r)
	}
}

func TestMissingEventIsNotJoinedOver(t *testing.T) {
	skip := func(w http.ResponseWriter, r *http.Request) {
		answerEvents(0, 1, false)(w, r)
		answerEvents(3, 3, false)(w, r)
	}
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, skip)
	if r := e.call("POST", "/draft/1", "x", nil); r.err == nil || strings.Contains(r.body, "e3") {
		t.Fatalf("%+v", r)
	}
}

func TestKeptTurnIsFoundByItsIDAlone(t *testing.T) {
	p, e, _, l := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 1, false))
	ids := []string{newID(), newID(), newID()}
	for i, id := range ids {
		h := map[string]string{"X-Request-Id": id}
		if i > 0 {
			h["X-Previous-Turn"] = ids[i-1]
		}
		if r := e.call("POST", "/draft/1", "in"+id+" ", h); r.status != http.StatusOK || r.err != nil {
			t.Fatalf("turn %d: %+v", i, r)
		}
	}
	want := "in" + ids[0] + " e0\ne1\nin" + ids[1] + " e0\ne1\nin" + ids[2] + " "
	if got := l.requests()[2].body; got != want {
		t.Fatalf("the upstream got %q, want %q", got, want)
	}
	// Another entry, which has seen none of it, goes on as well.
	other := startEntry(t, "entry-2", p.standin.Table)
	if r := other.call("POST", "/draft/1", "more", map[string]string{"X-Previous-Turn": ids[2]}); r.status != http.StatusOK {
		t.Fatalf("%+v", r)
	}
	if got := l.requests()[3].body; got != want+"e0\ne1\nmore" {
		t.Fatalf("the upstream got %q", got)
	}
	if r := other.call("POST", "/draft/1", "x", map[string]string{"X-Previous-Turn": "nothing"}); r.status != http.StatusNotFound {
		t.Fatalf("unknown turn: %+v", r)
	}
	p.injectFault(standin.Fault{Kind: standin.FaultDown})
	if r := other.call("POST", "/draft/1", "x", map[string]string{"X-Previous-Turn": "nothing"}); r.status != http.StatusServiceUnavailable {
		t.Fatalf("unknown turn while the table is down: %+v", r)
	}
}

func TestTurnThatIsNotKeptDoesNotEnd(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 1, false))
	p.injectFault(standin.Fault{Kind: standin.FaultDown})
	start := time.Now()
	r := e.call("POST", "/draft/1", "x", nil)
	if r.err == nil {
		t.Fatalf("a turn that the table has not was promised: %+v", r)
	}
	if !strings.Contains(r.body, "e1") {
		t.Errorf("events waited for the table: %q", r.body)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("broke off after %v", took)
	}
	// A lost answer is settled by writing the same turn again.
	p.injectFault(standin.Fault{Kind: "all", Clear: true})
	p.injectFault(standin.Fault{Kind: standin.FaultLoseAnswer, Match: "/table/apply", Count: 2})
	if r := e.call("POST", "/draft/1", "x", nil); r.err != nil || r.status != http.StatusOK {
		t.Fatalf("%+v", r)
	}
}

func TestCallerThatLeavesStopsTheUpstream(t *testing.T) {
	left := make(chan struct{})
	_, e, _, _ := startEntryWithUpstreams(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	}, answerNotRun)
	client := &http.Client{Timeout: 100 * time.Millisecond}
	req, _ := http.NewRequest(http.MethodPost, e.base+"/act/1", strings.NewReader("x"))
	req.Host = "h"
	req.Header.Set("X-Request-Id", newID())
	if _, err := client.Do(req); err == nil {
		t.Fatal("an answer came")
	}
	select {
	case <-left:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the upstream still works on it")
	}
}

func TestBadRequests(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerSealed(http.StatusOK, ""), answerNotRun)
	if r := e.call("POST", "/act/1", "x", map[string]string{"X-Request-Id": ""}); r.status != http.StatusBadRequest {
		t.Errorf("without an id: %+v", r)
	}
	if r := e.call("POST", "/act/1", strings.Repeat("x", 100_001), nil); r.status != http.StatusRequestEntityTooLarge {
		t.Errorf("too long a body: %+v", r)
	}
}

func TestDrainingUpstreamGetsNothing(t *testing.T) {
	p := newTestPlatform(t)
	a, b := newScriptedUpstream(t, "app-1", answerSealed(http.StatusOK, "")), newScriptedUpstream(t, "app-2", answerSealed(http.StatusOK, ""))
	p.writeDocument(1)
	p.registerUpstream(a, "app", "ready", 1)
	p.registerUpstream(b, "app", "ready", 1)
	e := startEntry(t, "entry-1", p.standin.Table)
	p.registerUpstream(a, "app", "draining", 2)
	eventually(t, "the entry knows", func() bool { return e.fleet.Load().registry.Get("app-1").Draining })
	before := len(a.requests())
	for range 10 {
		e.call("GET", "/read/1", "", nil)
	}
	if n := len(a.requests()); n != before {
		t.Errorf("%d calls reached a draining upstream", n-before)
	}
}

// TestVanishedUpstreamAfterAnOutage: rows that lapsed while the table was away come back
// within the grace; what is still missing after it is gone.
func TestVanishedUpstreamAfterAnOutage(t *testing.T) {
	p, e, a, l := startEntryWithUpstreams(t, answerSealed(http.StatusOK, ""), answerNotRun)
	p.injectFault(standin.Fault{Kind: standin.FaultDown, Match: "/table/changes"})
	p.injectFault(standin.Fault{Kind: standin.FaultRefuse, Match: "/table/snapshot"})
	eventually(t, "the table is lost", e.table.unreachable)
	p.remove(a)
	p.standin.Table.ForgetHistory()
	p.injectFault(standin.Fault{Kind: "all", Clear: true})
	eventually(t, "the table is back", func() bool { return !e.table.unreachable() })
	if r := e.call("GET", "/read/1", "", nil); r.status != http.StatusOK {
		t.Errorf("right after the return: %+v", r)
	}
	eventually(t, "the upstream is gone", func() bool { return e.fleet.Load().registry.Get(a.id) == nil })
	if e.fleet.Load().registry.Get(l.id) == nil {
		t.Error("a live upstream is gone too")
	}
}

func TestDocumentNeverGoesBack(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerSealed(http.StatusOK, ""), answerNotRun)
	p.writeDocument(5)
	eventually(t, "version 5", func() bool { return e.routes.Load().Document().Version == 5 })
	p.writeDocument(3)
	p.write("op//config", "{")
	p.writeDocument(6)
	eventually(t, "version 6", func() bool { return e.routes.Load().Document().Version == 6 })
	if !strings.Contains(e.log.String(), "gateway_row_malformed") {
		eventually(t, "the malformed row is logged", func() bool { return strings.Contains(e.log.String(), "gateway_row_malformed") })
	}
	if n := strings.Count(e.log.String(), `"document_in_force"`); n > 3 {
		t.Errorf("%d documents came in force", n)
	}
}

// TestShutdownTakesNoCallThatItCannotFinish: a kept connection gets its answer with the
// notice to close, and is closed soon after, while the call under way ends whole.
func TestShutdownTakesNoCallThatItCannotFinish(t *testing.T) {
	release := make(chan struct{})
	_, e, _, _ := startEntryWithUpstreams(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/act/slow" {
			<-release
		}
		answerSealed(http.StatusOK, "whole")(w, r)
	}, answerNotRun)
	client := &http.Client{Transport: &http.Transport{}}
	get := func(path string) (*http.Response, error) {
		req, _ := http.NewRequest(http.MethodPost, e.base+path, strings.NewReader("x"))
		req.Host = "h"
		req.Header.Set("X-Request-Id", newID())
		return client.Do(req)
	}
	resp, err := get("/act/1")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(resp.Body)
	resp.Body.Close()
	slow := make(chan string, 1)
	go func() {
		resp, err := get("/act/slow")
		if err != nil {
			slow <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		slow <- string(b)
	}()
	eventually(t, "the slow call is under way", func() bool { return e.inFlight.Load() == 1 })
	e.stop()
	eventually(t, "the entry takes no new connections", func() bool {
		c, err := net.Dial("tcp", e.cfg.ListenCallers)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	if resp, err := get("/act/2"); err == nil {
		t.Errorf("a call on a kept connection was taken: %d", resp.StatusCode)
	}
	close(release)
	if got := <-slow; got != "whole" {
		t.Errorf("the call under way got %q", got)
	}
}

// TestSilentUpstreamOfARepeatableCall: an upstream that hangs while its health is good.
func TestSilentUpstreamOfARepeatableCall(t *testing.T) {
	p := newTestPlatform(t)
	mute, good := newScriptedUpstream(t, "app-1", neverAnswer), newScriptedUpstream(t, "app-2", answerSealed(http.StatusOK, "ok"))
	p.writeDocument(1)
	p.registerUpstream(mute, "app", "ready", 1)
	p.registerUpstream(good, "app", "ready", 1)
	e := startEntry(t, "entry-1", p.standin.Table)
	for range 12 {
		start := time.Now()
		if r := e.call("GET", "/read/1", "", nil); r.status != http.StatusOK {
			t.Fatalf("%+v after %v", r, time.Since(start))
		}
	}
	if n := len(mute.requests()); n > 4 {
		t.Errorf("%d of 12 calls went to an upstream that never answers", n)
	}
}

// TestRequestThatCrashesUpstreamsIsStopped: three upstreams broke off the same content;
// it is sent to no further one, by any entry.
func TestRequestThatCrashesUpstreamsIsStopped(t *testing.T) {
	p, e, a, _ := startEntryWithUpstreams(t, dropConnection, answerNotRun)
	for i := range 4 {
		p.registerUpstream(newScriptedUpstream(t, fmt.Sprintf("app-%d", i+2), dropConnection), "app", "ready", 1)
	}
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries know each other", func() bool { return e.mesh.size() == 2 && other.mesh.size() == 2 })
	eventually(t, "the upstreams are known", func() bool { return len(e.fleet.Load().byService["app"]) == 5 })
	sends := 0
	for range 12 {
		if r := e.call("POST", "/act/1", "poison", nil); r.status == http.StatusBadGateway {
			sends++
		}
	}
	if sends < 3 || sends > 6 {
		t.Errorf("%d sends before it was stopped", sends)
	}
	eventually(t, "the other entry knows", func() bool {
		return other.call("POST", "/act/1", "poison", nil).status == http.StatusServiceUnavailable
	})
	if r := e.call("POST", "/act/1", "harmless", nil); r.status != http.StatusBadGateway {
		t.Errorf("another request: %+v", r)
	}
	_ = a
}

// TestEmptyStreamIsNoRefusal: the upstream ran the turn and made no event.
func TestEmptyStreamIsNoRefusal(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, -1, false))
	if r := e.call("POST", "/draft/1", "x", nil); r.status != http.StatusBadGateway {
		t.Fatalf("%+v", r)
	}
}

func TestStreamPausesAreNotCut(t *testing.T) {
	// The last upstream that may be tried is given all the time that is left.
	slow := func(w http.ResponseWriter, r *http.Request) {
		answerEvents(0, 0, false)(w, r)
		<-time.After(900 * time.Millisecond)
		answerEvents(1, 1, false)(w, r)
	}
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, slow)
	if r := e.call("POST", "/draft/1", "x", nil); r.err != nil || !strings.Contains(r.body, "e1") {
		t.Fatalf("%+v", r)
	}
}

// TestCallerThatDoesNotRead: an answer that its caller does not take ends soon after the
// call's deadline, and the upstream's place is free again.
func TestCallerThatDoesNotRead(t *testing.T) {
	left := make(chan struct{})
	flood := func(w http.ResponseWriter, r *http.Request) {
		defer close(left)
		w.Header().Set("X-Response-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		piece := strings.Repeat("x", 64<<10)
		for i := 0; r.Context().Err() == nil; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, piece); err != nil {
				return
			}
		}
	}
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, flood)
	c, err := net.Dial("tcp", e.cfg.ListenCallers)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "POST /ask/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 500\r\nContent-Length: 0\r\n\r\n", newID()); err != nil {
		t.Fatal(err)
	}
	select {
	case <-left:
	case <-time.After(4 * time.Second):
		t.Fatal("the upstream still sends")
	}
	eventually(t, "the call is over", func() bool { return e.inFlight.Load() == 0 })
}
