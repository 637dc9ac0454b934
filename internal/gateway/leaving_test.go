package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// drainBound is the time after which no request may reach an upstream that has said that it leaves.
const drainBound = 2 * time.Second

// answerLeaving answers a stream and says that the upstream leaves.
func answerLeaving(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Leaving", "1")
	answerEvents(0, 1, false)(w, r)
}

// TestUpstreamThatSaysItLeavesGetsNoCalls checks that an upstream gets no calls later than drainBound
// after an entry has passed on an answer that says that it leaves, from that entry or others: while the
// table is down, and when its row shows it as ready again.
func TestUpstreamThatSaysItLeavesGetsNoCalls(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	leaving := newScriptedUpstream(t, "llm-1", answerLeaving)
	p.registerUpstream(leaving, "llm", "ready", 1)
	table := &switchTable{}
	table.set(p.standin.Table)
	entries := startEntries(t, table, 2)
	entries[0].call("POST", "/ask/1", "first", nil)
	p.registerUpstream(newScriptedUpstream(t, "llm-2", answerEvents(0, 1, false)), "llm", "ready", 1)
	for _, e := range entries {
		eventually(t, "the other upstream is listed", func() bool { return e.fleet.Load().registry.Get("llm-2") != nil })
	}
	table.set(refusingTable{})
	<-time.After(drainBound)
	before := len(leaving.requests())
	check := func(when string) {
		t.Helper()
		for i := range 30 {
			if r := entries[i%2].call("POST", "/ask/1", fmt.Sprint("body-", i), nil); r.status != http.StatusOK {
				t.Fatalf("%s: %+v, want the call to be answered by the other upstream", when, r)
			}
		}
		if n := len(leaving.requests()) - before; n > 0 {
			t.Errorf("%s: the leaving upstream got %d of 30 calls, want none", when, n)
		}
	}
	check("the table is down")
	table.set(p.standin.Table)
	p.registerUpstream(leaving, "llm", "ready", 9)
	for _, e := range entries {
		eventually(t, "the row is read", func() bool { return e.fleet.Load().registry.Get("llm-1").Seq == 9 })
	}
	check("its row shows it as ready")
}

// TestUpstreamThatStartsAgainGetsCalls checks that an upstream that had said that it leaves gets calls
// after it has started again under its id.
func TestUpstreamThatStartsAgainGetsCalls(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	u := newScriptedUpstream(t, "llm-1", answerLeaving, answerEvents(0, 1, false))
	p.registerUpstream(u, "llm", "ready", 1)
	e := startEntry(t, "entry-1", p.standin.Table)
	e.call("POST", "/draft/1", "first", nil)
	if r := e.call("POST", "/draft/1", "second", nil); r.status != http.StatusServiceUnavailable {
		t.Fatalf("%+v, want status 503 while the only upstream leaves", r)
	}
	p.write("servers//llm-1", fmt.Sprintf(`{"service":"llm","address":%q,"zone":"z","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"seq":1,"born":2}`,
		strings.TrimPrefix(u.server.URL, "http://")))
	eventually(t, "the upstream is listed again", func() bool { return e.fleet.Load().registry.Get("llm-1").StartedAtMs == 2 })
	if r := e.call("POST", "/draft/1", "third", nil); r.status != http.StatusOK {
		t.Errorf("%+v, want the call to be answered", r)
	}
}

// TestAnswerOfAnotherUpstreamDoesNotLeave checks that an answer with status 421, which comes from
// another upstream than the one that was chosen, marks none as leaving.
func TestAnswerOfAnotherUpstreamDoesNotLeave(t *testing.T) {
	_, e, _, u := startEntryWithUpstreams(t, answerNotRun, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	e.call("POST", "/draft/1", "first", nil)
	e.call("POST", "/draft/1", "second", nil)
	if n := len(u.requests()); n != 2 {
		t.Errorf("the upstream got %d calls, want 2", n)
	}
}
