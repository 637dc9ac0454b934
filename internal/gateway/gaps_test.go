package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startEntryWithGapTarget starts an entry whose resumable stream route has a gap target of 50 ms, with two
// upstreams. The first that is called answers with first, the other with second.
func startEntryWithGapTarget(t *testing.T, first, second answerFunc) (*testEntry, []*scriptedUpstream) {
	t.Helper()
	p := newTestPlatform(t)
	document := strings.Replace(testDocument, `"resumable":true`, `"resumable":true,"gap-target-ms":50`, 1)
	p.write("op//config", fmt.Sprintf(document, 1))
	calls := make(chan answerFunc, 2)
	calls <- first
	calls <- second
	answer := func(w http.ResponseWriter, r *http.Request) { (<-calls)(w, r) }
	upstreams := []*scriptedUpstream{newScriptedUpstream(t, "llm-1", answer), newScriptedUpstream(t, "llm-2", answer)}
	for _, u := range upstreams {
		p.registerUpstream(u, "llm", "ready", 1)
	}
	e := startEntry(t, "entry-1", p.standin.Table)
	eventually(t, "both upstreams are known", func() bool { return len(e.fleet.Load().byService["llm"]) == 2 })
	return e, upstreams
}

// TestTrickledStreamIsContinuedElsewhere: an upstream sends one event and then a byte of the next now and
// then, without an end. Bytes are no progress: the stream must go on at another upstream.
func TestTrickledStreamIsContinuedElsewhere(t *testing.T) {
	trickle := func(w http.ResponseWriter, r *http.Request) {
		answerEvents(0, 0, false)(w, r)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, ":")
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}
	e, _ := startEntryWithGapTarget(t, trickle, answerEvents(1, 2, false))
	r := e.call("POST", "/ask/1", "x", nil)
	if r.status != http.StatusOK || r.body != "id: 0\ndata: e0\n\nid: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" {
		t.Errorf("a stalled stream was not continued: %+v", r)
	}
}

// TestSlowSoundStreamIsNotCut: an upstream sends events at four times the gap target. It is slow, but
// sound: no other upstream may get the call.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Response-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 5 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			w.(http.Flusher).Flush()
			time.Sleep(200 * time.Millisecond)
		}
	}
	e, upstreams := startEntryWithGapTarget(t, slow, answerEvents(0, 4, false))
	r := e.call("POST", "/ask/1", "x", nil)
	if n := len(upstreams[0].requests()) + len(upstreams[1].requests()); r.status != http.StatusOK || strings.Count(r.body, "data:") != 5 || n != 1 {
		t.Errorf("%d upstreams got a slow call, want 1: %+v", n, r)
	}
}
