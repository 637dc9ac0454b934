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

// startEntryWithUpstreams starts an entry, entry-1, with one upstream of each service: app-1 and
// llm-1.
func startEntryWithUpstreams(t *testing.T, app, llm answerFunc) (*testPlatform, *testEntry, *scriptedUpstream, *scriptedUpstream) {
	t.Helper()
	p := newTestPlatform(t)
	a, l := newScriptedUpstream(t, "app-1", app), newScriptedUpstream(t, "llm-1", llm)
	p.writeDocument(1)
	p.registerUpstream(a, "app", "ready", 1)
	p.registerUpstream(l, "llm", "ready", 1)
	return p, startEntry(t, "entry-1", p.standin.Table), a, l
}

// TestAnswerIsPassedUnchanged checks that body and seal of an answer reach the caller as the
// upstream sent them, that the caller's X-Hold is not passed on, and that the upstream is
// given the time that is left: the route's timeout of 600 ms, not the caller's 900 ms.
func TestAnswerIsPassedUnchanged(t *testing.T) {
	_, e, a, _ := startEntryWithUpstreams(t, answerSealed(http.StatusOK, "hello"), answerEvents(0, 2, false))
	r := e.call("POST", "/act/2f?x=1", "body", map[string]string{"X-Hold": "mine", "X-Timeout-Ms": "900"})
	if r.status != http.StatusOK || r.body != "hello" || r.header.Get("X-Response-Seal") != "s" {
		t.Fatalf("%+v, want status 200, the body and the seal", r)
	}
	got := a.requests()[0]
	if got.body != "body" || got.header.Get("X-Hold") != "" || got.header.Get("X-Expect-Instance") != "app-1" {
		t.Fatalf("the upstream received %+v, want the body, no X-Hold and X-Expect-Instance app-1", got)
	}
	if left := got.header.Get("X-Timeout-Ms"); left == "900" || len(left) != 3 {
		t.Errorf("the upstream received X-Timeout-Ms %q, want 3 digits and not the caller's 900", left)
	}
	r = e.call("POST", "/ask/2f", "prompt", nil)
	if r.status != http.StatusOK || r.err != nil || r.body != "id: 0\ndata: e0\n\nid: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" {
		t.Fatalf("%+v, want status 200 and events 0 to 2", r)
	}
}

// TestUnavailableOnlyIfNotRun guards the promise of status 503 with Retry-After: the call has
// not run and may be sent again. A call that may have run must get another status.
func TestUnavailableOnlyIfNotRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		answer answerFunc
		status int
		sends  int
	}{
		{"at most once, refused", "/act/1", answerNotRun, http.StatusServiceUnavailable, 1},
		{"at most once, cut", "/act/1", dropConnection, http.StatusBadGateway, 1},
		// The upstream may still run the call after the deadline.
		{"at most once, silent", "/act/1", neverAnswer, http.StatusGatewayTimeout, 1},
		{"at most once, without seal", "/act/1", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }, http.StatusBadGateway, 1},
		{"at most once, 503 without a promise that it was not run", "/act/1", answerSealed(http.StatusServiceUnavailable, ""), http.StatusBadGateway, 1},
		{"upstream's own failure", "/act/1", answerSealed(http.StatusInternalServerError, "sorry"), http.StatusInternalServerError, 1},
		{"no route", "/none/1", answerNotRun, http.StatusNotFound, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, e, a, _ := startEntryWithUpstreams(t, c.answer, answerNotRun)
			r := e.call("POST", c.path, "b", nil)
			if r.status != c.status || len(a.requests()) != c.sends {
				t.Fatalf("status %d after %d sends, want %d after %d", r.status, len(a.requests()), c.status, c.sends)
			}
			if after := r.header.Get("Retry-After"); (after != "") != (c.status == http.StatusServiceUnavailable) {
				t.Errorf("status %d with Retry-After %q", r.status, after)
			}
		})
	}
}

// TestRepeatableCallIsResentElsewhere checks that a repeatable call succeeds although one of the
// two upstreams breaks off every answer.
func TestRepeatableCallIsResentElsewhere(t *testing.T) {
	p := newTestPlatform(t)
	bad, good := newScriptedUpstream(t, "app-1", dropConnection), newScriptedUpstream(t, "app-2", answerSealed(http.StatusOK, "ok"))
	p.writeDocument(1)
	p.registerUpstream(bad, "app", "ready", 1)
	p.registerUpstream(good, "app", "ready", 1)
	e := startEntry(t, "entry-1", p.standin.Table)
	for range 6 {
		if r := e.call("GET", "/read/1", "", nil); r.status != http.StatusOK {
			t.Fatalf("%+v, want status 200 from the other upstream", r)
		}
	}
}

// TestResumableStreamContinuesAfterBreak checks that a resumable stream that breaks off is
// continued by another upstream after the last whole event, and that a stream that must not be
// resumed ends with an error.
func TestResumableStreamContinuesAfterBreak(t *testing.T) {
	p := newTestPlatform(t)
	// The upstream that is called first breaks off after 2 events; the other one continues.
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
		t.Fatalf("%+v, want events 0 to 4 without an error", r)
	}
	// A stream that must not be resumed must not look complete when it breaks off.
	if r = e.call("POST", "/draft/1", "x", nil); r.err == nil {
		t.Fatalf("a broken stream looks complete: %+v", r)
	}
}

// TestStreamWithMissingEventBreaksOff checks that a stream breaks off at a gap in its event IDs,
// so that the caller does not take the events after the gap as the continuation.
func TestStreamWithMissingEventBreaksOff(t *testing.T) {
	skip := func(w http.ResponseWriter, r *http.Request) {
		answerEvents(0, 1, false)(w, r)
		answerEvents(3, 3, false)(w, r)
	}
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, skip)
	if r := e.call("POST", "/draft/1", "x", nil); r.err == nil || strings.Contains(r.body, "e3") {
		t.Fatalf("stream with a gap in its event IDs: %+v, want an error and no event 3", r)
	}
}

// TestStoredTurnIsFoundByID checks that a turn continues from an earlier one of which the caller
// sends only the ID, at the entry that stored it and at another one, and that an unknown ID
// gets 404, or 503 while the table can't be read.
func TestStoredTurnIsFoundByID(t *testing.T) {
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
		t.Fatalf("the upstream received %q, want %q", got, want)
	}
	// Another entry, which has served none of these turns, continues from them as well.
	other := startEntry(t, "entry-2", p.standin.Table)
	if r := other.call("POST", "/draft/1", "more", map[string]string{"X-Previous-Turn": ids[2]}); r.status != http.StatusOK {
		t.Fatalf("continued at another entry: %+v, want status 200", r)
	}
	if got := l.requests()[3].body; got != want+"e0\ne1\nmore" {
		t.Fatalf("the upstream received %q from the other entry, want %q", got, want+"e0\ne1\nmore")
	}
	if r := other.call("POST", "/draft/1", "x", map[string]string{"X-Previous-Turn": "nothing"}); r.status != http.StatusNotFound {
		t.Fatalf("unknown turn: %+v", r)
	}
	p.injectFault(standin.Fault{Kind: standin.FaultDown})
	if r := other.call("POST", "/draft/1", "x", map[string]string{"X-Previous-Turn": "nothing"}); r.status != http.StatusServiceUnavailable {
		t.Fatalf("unknown turn while the table is down: %+v", r)
	}
}

// TestStreamBreaksOffIfTurnIsNotStored checks that a stream whose turn can't be stored does not
// end as if complete, while its events are passed on without waiting for the table. If only
// the table's answer is lost, the turn is stored by writing it again.
func TestStreamBreaksOffIfTurnIsNotStored(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 1, false))
	p.injectFault(standin.Fault{Kind: standin.FaultDown})
	start := time.Now()
	r := e.call("POST", "/draft/1", "x", nil)
	if r.err == nil {
		t.Fatalf("the stream ended as complete although its turn is not stored: %+v", r)
	}
	if !strings.Contains(r.body, "e1") {
		t.Errorf("the events were not passed on before the turn was stored: body %q", r.body)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the stream broke off after %v, want at most 2s", took)
	}
	// If an answer of the table is lost, the same turn is written again.
	p.injectFault(standin.Fault{Kind: "all", Clear: true})
	p.injectFault(standin.Fault{Kind: standin.FaultLoseAnswer, Match: "/table/apply", Count: 2})
	if r := e.call("POST", "/draft/1", "x", nil); r.err != nil || r.status != http.StatusOK {
		t.Fatalf("after a lost answer of the table: %+v, want a complete stream", r)
	}
}

// TestDisconnectedCallerCancelsUpstreamCall checks that the call to the upstream is cancelled when
// the caller disconnects.
func TestDisconnectedCallerCancelsUpstreamCall(t *testing.T) {
	cancelled := make(chan struct{})
	_, e, _, _ := startEntryWithUpstreams(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}, answerNotRun)
	client := &http.Client{Timeout: 100 * time.Millisecond}
	req, _ := http.NewRequest(http.MethodPost, e.base+"/act/1", strings.NewReader("x"))
	req.Host = "h"
	req.Header.Set("X-Request-Id", newID())
	if _, err := client.Do(req); err == nil {
		t.Fatal("the call succeeded, want a timeout of the client")
	}
	select {
	case <-cancelled:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the call to the upstream was not cancelled within 400 ms")
	}
}

// TestRequestWithoutIDOrTooLongIsRejected checks that a request without an ID gets status 400,
// and one with too long a body 413.
func TestRequestWithoutIDOrTooLongIsRejected(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerSealed(http.StatusOK, ""), answerNotRun)
	if r := e.call("POST", "/act/1", "x", map[string]string{"X-Request-Id": ""}); r.status != http.StatusBadRequest {
		t.Errorf("request without an ID: %+v", r)
	}
	if r := e.call("POST", "/act/1", strings.Repeat("x", 100_001), nil); r.status != http.StatusRequestEntityTooLarge {
		t.Errorf("request with too long a body: %+v", r)
	}
}

// TestDrainingUpstreamGetsNoCalls checks that an upstream gets no calls once its row has state
// draining.
func TestDrainingUpstreamGetsNoCalls(t *testing.T) {
	p := newTestPlatform(t)
	a, b := newScriptedUpstream(t, "app-1", answerSealed(http.StatusOK, "")), newScriptedUpstream(t, "app-2", answerSealed(http.StatusOK, ""))
	p.writeDocument(1)
	p.registerUpstream(a, "app", "ready", 1)
	p.registerUpstream(b, "app", "ready", 1)
	e := startEntry(t, "entry-1", p.standin.Table)
	p.registerUpstream(a, "app", "draining", 2)
	eventually(t, "the entry sees that the upstream drains", func() bool { return e.fleet.Load().registry.Get("app-1").Draining })
	before := len(a.requests())
	for range 10 {
		e.call("GET", "/read/1", "", nil)
	}
	if n := len(a.requests()); n != before {
		t.Errorf("%d calls reached a draining upstream", n-before)
	}
}

// TestUpstreamRowsAfterTableOutage checks that an upstream whose row expired while the table was
// unreachable stays in use for a grace period, in which it may register again, and is dropped
// when its row is still missing after that.
func TestUpstreamRowsAfterTableOutage(t *testing.T) {
	p, e, a, l := startEntryWithUpstreams(t, answerSealed(http.StatusOK, ""), answerNotRun)
	p.injectFault(standin.Fault{Kind: standin.FaultDown, Match: "/table/changes"})
	p.injectFault(standin.Fault{Kind: standin.FaultRefuse, Match: "/table/snapshot"})
	eventually(t, "the table is unreachable", e.table.Unreachable)
	p.removeUpstream(a)
	p.standin.Table.DropChanges()
	p.injectFault(standin.Fault{Kind: "all", Clear: true})
	eventually(t, "the table is reachable again", func() bool { return !e.table.Unreachable() })
	if r := e.call("GET", "/read/1", "", nil); r.status != http.StatusOK {
		t.Errorf("right after the outage: %+v", r)
	}
	eventually(t, "the upstream is dropped", func() bool { return e.fleet.Load().registry.Get(a.id) == nil })
	if e.fleet.Load().registry.Get(l.id) == nil {
		t.Error("the upstream whose row remained was dropped too")
	}
}

// TestOlderDocumentIsIgnored checks that an older or malformed document does not replace the one
// in force, and that a malformed one is logged.
func TestOlderDocumentIsIgnored(t *testing.T) {
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
		t.Errorf("%d documents came into force, want at most 3", n)
	}
}

// TestShutdownRefusesNewCalls checks that during a shutdown new connections and new calls on a
// keep-alive connection fail, while the call in flight completes.
func TestShutdownRefusesNewCalls(t *testing.T) {
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
	eventually(t, "the slow call is in flight", func() bool { return e.inFlight.Load() == 1 })
	e.stop()
	eventually(t, "the entry accepts no new connections", func() bool {
		c, err := net.Dial("tcp", e.cfg.ListenCallers)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	if resp, err := get("/act/2"); err == nil {
		t.Errorf("a call on a keep-alive connection was accepted with status %d", resp.StatusCode)
	}
	close(release)
	if got := <-slow; got != "whole" {
		t.Errorf("the call in flight got %q, want %q", got, "whole")
	}
}

// TestRepeatableCallAvoidsHangingUpstream checks that repeatable calls succeed although one
// upstream, whose row is ready, never answers, and that few calls are sent to it.
func TestRepeatableCallAvoidsHangingUpstream(t *testing.T) {
	p := newTestPlatform(t)
	hanging, good := newScriptedUpstream(t, "app-1", neverAnswer), newScriptedUpstream(t, "app-2", answerSealed(http.StatusOK, "ok"))
	p.writeDocument(1)
	p.registerUpstream(hanging, "app", "ready", 1)
	p.registerUpstream(good, "app", "ready", 1)
	e := startEntry(t, "entry-1", p.standin.Table)
	for range 12 {
		start := time.Now()
		if r := e.call("GET", "/read/1", "", nil); r.status != http.StatusOK {
			t.Fatalf("%+v after %v", r, time.Since(start))
		}
	}
	if n := len(hanging.requests()); n > 4 {
		t.Errorf("%d of 12 calls were sent to an upstream that never answers, want at most 4", n)
	}
}

// TestRequestThatCrashesUpstreamsIsRefused checks that both entries refuse a request with status
// 503 after 3 upstreams broke off calls with the same content. A call may go to an upstream
// that has already broken one off, so 3 to 6 calls fail with 502 before that.
func TestRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	p, e, a, _ := startEntryWithUpstreams(t, dropConnection, answerNotRun)
	for i := range 4 {
		p.registerUpstream(newScriptedUpstream(t, fmt.Sprintf("app-%d", i+2), dropConnection), "app", "ready", 1)
	}
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries list each other", func() bool { return e.mesh.Size() == 2 && other.mesh.Size() == 2 })
	eventually(t, "the entry lists all 5 upstreams", func() bool { return len(e.fleet.Load().byService["app"]) == 5 })
	failures := 0
	for range 12 {
		if r := e.call("POST", "/act/1", "poison", nil); r.status == http.StatusBadGateway {
			failures++
		}
	}
	if failures < 3 || failures > 6 {
		t.Errorf("%d calls ended with status 502 before the request was refused, want 3 to 6", failures)
	}
	eventually(t, "the other entry refuses the request", func() bool {
		return other.call("POST", "/act/1", "poison", nil).status == http.StatusServiceUnavailable
	})
	if r := e.call("POST", "/act/1", "harmless", nil); r.status != http.StatusBadGateway {
		t.Errorf("a request with other content: %+v", r)
	}
	_ = a
}

// TestEmptyStreamIsBadGateway checks that a turn that ran without an event gets status 502. Status
// 503 would promise that it has not run.
func TestEmptyStreamIsBadGateway(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, -1, false))
	if r := e.call("POST", "/draft/1", "x", nil); r.status != http.StatusBadGateway {
		t.Fatalf("stream without an event: %+v, want status 502", r)
	}
}

// TestPausesInStreamAreAllowed checks that a stream that must not be resumed is not cut off
// during a pause of 900 ms. Only a resumable stream has a limit for pauses, after which it
// continues at another upstream.
func TestPausesInStreamAreAllowed(t *testing.T) {
	// The stream must not be resumed at another upstream, so this one is given all the remaining
	// time.
	slow := func(w http.ResponseWriter, r *http.Request) {
		answerEvents(0, 0, false)(w, r)
		<-time.After(900 * time.Millisecond)
		answerEvents(1, 1, false)(w, r)
	}
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, slow)
	if r := e.call("POST", "/draft/1", "x", nil); r.err != nil || !strings.Contains(r.body, "e1") {
		t.Fatalf("stream with a pause: %+v, want event 1 and no error", r)
	}
}

// TestUnreadAnswerEndsAtDeadline checks that a call whose caller does not read the answer ends
// soon after its deadline, so that it does not occupy the upstream.
func TestUnreadAnswerEndsAtDeadline(t *testing.T) {
	handlerDone := make(chan struct{})
	flood := func(w http.ResponseWriter, r *http.Request) {
		defer close(handlerDone)
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
	case <-handlerDone:
	case <-time.After(4 * time.Second):
		t.Fatal("the upstream still sends 4 s after the start of a call of 500 ms")
	}
	eventually(t, "the call has ended", func() bool { return e.inFlight.Load() == 0 })
}
