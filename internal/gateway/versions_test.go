package gateway

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/resume"
	"github.com/buckthornroute/buckthornroute/routing"
)

// versionedEntries are entries on one table, with upstreams of several software versions that serve the
// resumable stream route side by side.
type versionedEntries struct {
	t       *testing.T
	p       *testPlatform
	entries []*testEntry
	// starts counts the starts of upstreams.
	starts int
}

// startVersionedEntries starts entries whose resumable route allows sends upstreams a call.
func startVersionedEntries(t *testing.T, entries, sends int) *versionedEntries {
	t.Helper()
	v := &versionedEntries{t: t, p: newTestPlatform(t)}
	document := strings.Replace(testDocument, `"attempts":2,"resumable":true`, fmt.Sprintf(`"attempts":%d,"resumable":true`, sends), 1)
	v.p.write("op//config", fmt.Sprintf(document, 1))
	// An entry is ready once it knows an upstream.
	v.p.registerUpstream(newScriptedUpstream(t, "app-1", answerSealed(http.StatusOK, "")), "app", "ready", 1)
	for i := range entries {
		v.entries = append(v.entries, startEntry(t, fmt.Sprintf("entry-%d", i+1), v.p.standin.Table))
	}
	for _, e := range v.entries {
		eventually(t, "the entries know each other", func() bool { return e.mesh.Size() == entries })
	}
	return v
}

// register writes an upstream's row with a version of its software, and waits until all entries have it.
// An upstream that is registered again has started again under its id.
func (v *versionedEntries) register(u *scriptedUpstream, version string) {
	v.t.Helper()
	v.starts++
	v.p.write("servers//"+u.id, fmt.Sprintf(
		`{"service":"llm","address":%q,"zone":"z","version":%q,"slots":8,"state":"ready","cold-remaining-ms":0,"seq":1,"born":%d}`,
		strings.TrimPrefix(u.server.URL, "http://"), version, v.starts))
	for _, e := range v.entries {
		eventually(v.t, u.id+" is known", func() bool {
			known := e.fleet.Load().registry.Get(u.id)
			return known != nil && known.Version == version
		})
	}
}

// remove deletes an upstream's row and waits until all entries know that.
func (v *versionedEntries) remove(u *scriptedUpstream) {
	v.t.Helper()
	v.p.removeUpstream(u)
	for _, e := range v.entries {
		eventually(v.t, u.id+" is gone", func() bool { return e.fleet.Load().registry.Get(u.id) == nil })
	}
}

// takeUp resumes the stream that the call first began, after its event 0.
func (e *testEntry) takeUp(first string) reply {
	return e.call("POST", "/ask/1", "x", map[string]string{"Last-Event-Id": "0", "Resumes": first})
}

// TestStreamGoesOnAtItsVersionOnly: an upstream breaks a stream off, and the one left has other software.
// Within one answer the stream must not go on there.
func TestStreamGoesOnAtItsVersionOnly(t *testing.T) {
	v := startVersionedEntries(t, 1, 3)
	calls := make(chan answerFunc, 2)
	calls <- answerEvents(0, 0, true)
	calls <- answerEvents(1, 2, false)
	answer := func(w http.ResponseWriter, r *http.Request) { (<-calls)(w, r) }
	v.register(newScriptedUpstream(t, "llm-1", answer), "v1")
	v.register(newScriptedUpstream(t, "llm-2", answer), "v2")
	r := v.entries[0].call("POST", "/ask/1", "x", nil)
	if len(calls) != 1 || r.err == nil {
		t.Errorf("a stream went on at another version than the one that began it: %+v", r)
	}
}

// TestStreamIsTakenUpAtItsVersion: a caller takes a broken stream up at any entry, while upstreams of two
// versions serve. It must go on at the version that began it, also once the entry that began it is gone.
func TestStreamIsTakenUpAtItsVersion(t *testing.T) {
	v := startVersionedEntries(t, 3, 1)
	began := newScriptedUpstream(t, "llm-1", answerEvents(0, 0, true))
	v.register(began, "v1")
	firsts := make([]string, 4)
	for i := range firsts {
		firsts[i] = newID()
		if r := v.entries[i%2].call("POST", "/ask/1", "x", map[string]string{"X-Request-Id": firsts[i]}); r.err == nil {
			t.Fatalf("the stream was not broken off: %+v", r)
		}
	}
	other := newScriptedUpstream(t, "llm-2", answerEvents(1, 2, false))
	same := newScriptedUpstream(t, "llm-3", answerEvents(1, 2, false))
	v.register(other, "v2")
	v.register(same, "v1")
	v.remove(began)
	for i, first := range firsts {
		if i == 2 {
			v.entries[0].stop()
		}
		at := v.entries[2]
		if i < 2 {
			at = v.entries[i]
		}
		if r := at.takeUp(first); r.err != nil || r.status != http.StatusOK || r.body != "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" {
			t.Errorf("stream %d was not taken up: %+v", i, r)
		}
		line := fmt.Sprintf(`"resumes":%q,"after_event":0,`, first)
		eventually(t, "the log tells who knew the version", func() bool {
			_, rest, found := strings.Cut(at.log.String(), line)
			rest, _, _ = strings.Cut(rest, "\n")
			return found && strings.Contains(rest, `"software":"v1"`) && strings.Contains(rest, `"began_at":"v1","version_from":"entry-`)
		})
	}
	if n, want := len(same.requests()), len(firsts); n != want || len(other.requests()) != 0 {
		t.Errorf("%d streams went on at their version and %d at another, want %d and 0", n, len(other.requests()), want)
	}
}

// TestStreamOfUnknownVersionIsRefused: a caller takes up a stream whose beginning no entry knows, or whose
// version no upstream has any more. It must be refused as not run while several versions serve.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	v := startVersionedEntries(t, 2, 1)
	began := newScriptedUpstream(t, "llm-1", answerEvents(0, 0, true))
	v.register(began, "v1")
	first := newID()
	v.entries[0].call("POST", "/ask/1", "x", map[string]string{"X-Request-Id": first})
	others := []*scriptedUpstream{newScriptedUpstream(t, "llm-2", answerEvents(1, 2, false)), newScriptedUpstream(t, "llm-3", answerEvents(1, 2, false))}
	v.register(others[0], "v2")
	v.register(others[1], "v3")
	for _, unknown := range []string{"", "nobody", strings.Repeat("x", 4000)} {
		if r := v.entries[1].takeUp(unknown); r.status != http.StatusServiceUnavailable {
			t.Errorf("a stream that nobody knows, %.10q, was taken up: %+v", unknown, r)
		}
	}
	v.remove(began)
	if r := v.entries[1].takeUp(first); r.status != http.StatusServiceUnavailable {
		t.Errorf("a stream went on after its version had left: %+v", r)
	}
	if n := len(others[0].requests()) + len(others[1].requests()); n != 0 {
		t.Errorf("%d streams went on at another version", n)
	}
}

// beginAndLeave begins a stream, reads its first line and disconnects.
func (e *testEntry) beginAndLeave(id string) {
	e.t.Helper()
	ctx, cancel := context.WithCancel(e.t.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/ask/1", strings.NewReader("x"))
	if err != nil {
		e.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		e.t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		e.t.Fatal(err)
	}
}

// TestStreamBegunAsSoftwareChangedIsRefused: an upstream starts again under its id with other software just
// after a stream began there. Which of the two began it is not known, so it must not go on at either. A
// stream that the upstream's end broke off began before that, and goes on.
func TestStreamBegunAsSoftwareChangedIsRefused(t *testing.T) {
	v := startVersionedEntries(t, 2, 1)
	u := newScriptedUpstream(t, "llm-1", answerEvents(0, 0, true), func(w http.ResponseWriter, r *http.Request) {
		answerEvents(0, 0, false)(w, r)
		neverAnswer(w, r)
	}, answerEvents(1, 2, false))
	v.register(u, "v1")
	before, after := newID(), newID()
	v.entries[0].call("POST", "/ask/1", "x", map[string]string{"X-Request-Id": before})
	eventually(t, "the other entry knows of the failure", func() bool {
		v.entries[1].mu.Lock()
		defer v.entries[1].mu.Unlock()
		return !v.entries[1].balancer.LastFailure("llm-1").IsZero()
	})
	v.entries[0].beginAndLeave(after)
	v.register(u, "v2")
	other := newScriptedUpstream(t, "llm-2", answerEvents(1, 2, false))
	v.register(other, "v1")
	for _, e := range v.entries {
		if r := e.takeUp(after); r.status != http.StatusServiceUnavailable {
			t.Errorf("a stream that may have begun at either version went on: %+v", r)
		}
		if r := e.takeUp(before); r.status != http.StatusOK {
			t.Errorf("a stream that was broken off before the change did not go on: %+v", r)
		}
	}
	if n := len(u.requests()); n != 2 {
		t.Errorf("the upstream with other software got %d calls, want the first two only", n)
	}
}

// lateFeed delays the changes of rows that an entry waits for by a second.
type lateFeed struct{ platformapi.Watcher }

func (f lateFeed) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platformapi.Change, int64, error) {
	changes, version, err := f.Watcher.Changes(ctx, prefix, after, wait)
	sleep(ctx, time.Second)
	return changes, version, err
}

// TestStreamAvoidsUpstreamWithOtherSoftware: an upstream starts again with other software under its id, and the
// entry does not have its new row yet. A stream that its end broke off must not go on there, nor while the
// row can't be read.
func TestStreamAvoidsUpstreamWithOtherSoftware(t *testing.T) {
	v := startVersionedEntries(t, 1, 1)
	u := newScriptedUpstream(t, "llm-1", answerEvents(0, 0, true), answerEvents(1, 2, false))
	v.register(u, "v1")
	v.entries[0].stop()
	e := startEntry(t, "entry-2", lateFeed{v.p.standin.Table})
	first := newID()
	e.call("POST", "/ask/1", "x", map[string]string{"X-Request-Id": first})
	v.entries = nil
	v.register(u, "v2")
	if r := e.takeUp(first); r.status != http.StatusServiceUnavailable || len(u.requests()) != 1 {
		t.Errorf("the stream went on at an upstream that has other software now, %d calls: %+v", len(u.requests()), r)
	}
	v.p.injectFault(standin.Fault{Kind: standin.FaultDown})
	if r := e.takeUp(first); r.status != http.StatusServiceUnavailable || len(u.requests()) != 1 {
		t.Errorf("the stream went on at an upstream whose row can't be read, %d calls: %+v", len(u.requests()), r)
	}
}

// TestStreamGoesOnAtUpstreamThatFailed: an upstream that breaks a stream off and serves on with the same
// software may get it again.
func TestStreamGoesOnAtUpstreamThatFailed(t *testing.T) {
	v := startVersionedEntries(t, 1, 1)
	u := newScriptedUpstream(t, "llm-1", answerEvents(0, 0, true), answerEvents(1, 2, false))
	v.register(u, "v1")
	first := newID()
	v.entries[0].call("POST", "/ask/1", "x", map[string]string{"X-Request-Id": first})
	if r := v.entries[0].takeUp(first); r.status != http.StatusOK {
		t.Errorf("the stream did not go on: %+v", r)
	}
}

// TestTakenUpStreamWithMissingEventBreaksOff: the first event of a stream that goes on at another upstream
// is not the next one. It must not reach the caller.
func TestTakenUpStreamWithMissingEventBreaksOff(t *testing.T) {
	v := startVersionedEntries(t, 1, 1)
	u := newScriptedUpstream(t, "llm-1", answerEvents(0, 0, true), answerEvents(2, 3, false))
	v.register(u, "v1")
	first := newID()
	v.entries[0].call("POST", "/ask/1", "x", map[string]string{"X-Request-Id": first})
	if r := v.entries[0].takeUp(first); r.status == http.StatusOK || len(u.requests()) != 2 {
		t.Errorf("a stream went on with event 2 after event 0: %+v", r)
	}
}

// settled returns the row of the service.
func (v *versionedEntries) settled() resume.Row {
	row, err := v.p.standin.Table.Get(v.t.Context(), settledPrefix+"llm")
	if err != nil {
		return resume.Row{}
	}
	return resume.DecodeRow(row.Value, row.Version)
}

// startAgain starts an entry that is not the first of the system.
func (v *versionedEntries) startAgain(node string) *testEntry {
	v.t.Helper()
	e := startEntryChanged(v.t, node, v.p.standin.Table, func(cfg *settings.Gateway) { cfg.FirstStart = false })
	v.entries = []*testEntry{e}
	return e
}

// TestStreamsOutliveAllEntries: all entries end at once. While only one version serves, streams that they
// had begun go on at the entries that start; they don't once a second version has served.
func TestStreamsOutliveAllEntries(t *testing.T) {
	v := startVersionedEntries(t, 2, 1)
	u := newScriptedUpstream(t, "llm-1", answerEvents(0, 0, true), answerEvents(1, 2, false))
	v.register(u, "v1")
	eventually(t, "the version is recorded", func() bool { return v.settled().Named == "v1" })
	first := newID()
	v.entries[0].call("POST", "/ask/1", "x", map[string]string{"X-Request-Id": first})
	for _, e := range v.entries {
		e.stop()
	}
	e := v.startAgain("entry-1")
	if r := e.takeUp(first); r.status != http.StatusOK {
		t.Errorf("the stream did not go on: %+v", r)
	}
	eventually(t, "the log tells that the rows have only one version", func() bool {
		return strings.Contains(e.log.String(), `"began_at":"v1","version_from":"only_version"`)
	})
	other := newScriptedUpstream(t, "llm-2", answerEvents(1, 2, false))
	v.register(other, "v2")
	eventually(t, "the version is not recorded any more", func() bool {
		row := v.settled()
		return row.Version > 0 && row.Named == "" && row.Prepared == ""
	})
	v.remove(other)
	e.stop()
	if r := v.startAgain("entry-2").takeUp(first); r.status != http.StatusServiceUnavailable {
		t.Errorf("the stream went on though two versions had served: %+v", r)
	}
}

// TestRetainedStreamIsNotTakenUp: of a stream that is taken up the entry has only the rest. On a retained
// route that must not be stored as the turn's output.
func TestRetainedStreamIsNotTakenUp(t *testing.T) {
	p := newTestPlatform(t)
	p.write("op//config", fmt.Sprintf(strings.Replace(testDocument, `"retained":true`, `"resumable":true,"retained":true`, 1), 1))
	u := newScriptedUpstream(t, "llm-1", answerEvents(0, 0, true), answerEvents(1, 2, false))
	p.registerUpstream(u, "llm", "ready", 1)
	e := startEntry(t, "entry-1", p.standin.Table)
	first := newID()
	e.call("POST", "/draft/1", "x", map[string]string{"X-Request-Id": first})
	second := newID()
	r := e.call("POST", "/draft/1", "x", map[string]string{"X-Request-Id": second, "Last-Event-Id": "0", "Resumes": first})
	if r.status != http.StatusServiceUnavailable || e.turns.cached(second) != nil {
		t.Errorf("a turn was stored without its beginning: %+v", r)
	}
}

// TestStreamStartsAnewIfSoftwareChanged: before the first event of a call its upstream starts again with other
// software, under its id. Which of the two answers is not known: nothing of it may reach the caller.
func TestStreamStartsAnewIfSoftwareChanged(t *testing.T) {
	v := startVersionedEntries(t, 1, 2)
	received, changed := make(chan struct{}), make(chan struct{})
	u := newScriptedUpstream(t, "llm-1", func(w http.ResponseWriter, r *http.Request) {
		close(received)
		<-changed
		answerEvents(7, 9, false)(w, r)
	})
	v.register(u, "v1")
	done := make(chan reply, 1)
	go func() { done <- v.entries[0].call("POST", "/ask/1", "x", nil) }()
	<-received
	v.register(newScriptedUpstream(t, "llm-2", answerEvents(0, 1, false)), "v2")
	v.register(u, "v2")
	close(changed)
	if r := <-done; r.status != http.StatusOK || r.body != "id: 0\ndata: e0\n\nid: 1\ndata: e1\n\n" {
		t.Errorf("answered by an upstream whose software had changed: %+v", r)
	}
}

// TestOriginFromOlderRowsIsUnknown: an entry that does not know yet that an upstream has other software tells
// where a stream began. An entry that knows it must not believe that.
func TestOriginFromOlderRowsIsUnknown(t *testing.T) {
	v := startVersionedEntries(t, 1, 1)
	v.register(newScriptedUpstream(t, "llm-1", answerEvents(0, 1, false)), "v2")
	e := v.entries[0]
	for version, want := range map[string]bool{"v1": false, "v2": true} {
		key := resume.KeyOf(version)
		b := mesh.AppendText(mesh.AppendText(binary.BigEndian.AppendUint64(nil, uint64(key)), "llm"), version)
		r := mesh.NewReader(binary.BigEndian.AppendUint64(b, routing.HashID("llm-1")))
		if e.origins.receive(r); r.Malformed() {
			t.Fatal("the packet is malformed")
		}
		if origin, _, known := e.origins.local(key); known != want {
			t.Errorf("a stream that began at %s while the upstream is at v2: known %v as %+v, want %v", version, known, origin, want)
		}
	}
}

// TestAgesKeepTheSteadyClock: the times from which the ages of the rows and of the document are taken must have
// a reading of the steady clock, since the time of day may jump. Before the first one all is old.
func TestAgesKeepTheSteadyClock(t *testing.T) {
	v := startVersionedEntries(t, 1, 1)
	e := v.entries[0]
	eventually(t, "the rows and the document are confirmed", func() bool {
		return e.origins.confirmedAt.Load() != nil && e.documentConfirmedAt.Load() != nil
	})
	for name, at := range map[string]*time.Time{"rows": e.origins.confirmedAt.Load(), "document": e.documentConfirmedAt.Load()} {
		if !strings.Contains(at.String(), " m=") {
			t.Errorf("%s confirmed at %v, without a reading of the steady clock", name, at)
		}
	}
	if age := e.documentAge(); age < 0 || age > 5*time.Second {
		t.Errorf("age %v of a document that was just confirmed", age)
	}
	if age := (&Gateway{}).documentAge(); age <= maxDocumentAge {
		t.Errorf("age %v of a document that was never confirmed, want more than %v", age, maxDocumentAge)
	}
}

// TestStreamsAreCountedAndLogged: the counters and lines by which operators tell what became of streams that go
// on.
func TestStreamsAreCountedAndLogged(t *testing.T) {
	v := startVersionedEntries(t, 1, 2)
	e := v.entries[0]
	calls := make(chan answerFunc, 3)
	calls <- answerEvents(0, 0, true)
	calls <- answerEvents(1, 1, true)
	calls <- answerEvents(2, 3, false)
	answer := func(w http.ResponseWriter, r *http.Request) { (<-calls)(w, r) }
	us := []*scriptedUpstream{newScriptedUpstream(t, "llm-1", answer), newScriptedUpstream(t, "llm-2", answer)}
	for _, u := range us {
		v.register(u, "v1")
	}
	first := newID()
	e.call("POST", "/ask/1", "x", map[string]string{"X-Request-Id": first}) // goes on once, breaks off
	e.call("POST", "/ask/1", "x", map[string]string{"Last-Event-Id": "1", "Resumes": first})
	v.register(newScriptedUpstream(t, "llm-3", answer), "v2")
	e.takeUp("nobody")
	v.remove(us[0])
	v.remove(us[1])
	e.takeUp(first)
	want := map[string]int64{"streams_continued": 1, "streams_taken_up": 3, "streams_version_unknown": 1, "streams_stranded": 1}
	for name, n := range want {
		got := int64(-1)
		if c := e.scope.Snapshot().Counters()["gateway."+name+"+"]; c != nil {
			got = c.Value()
		}
		if got != n {
			t.Errorf("%s is %d, want %d", name, got, n)
		}
	}
	for _, line := range []string{
		`"msg":"upstream_joined","node":"entry-1","upstream":"llm-3","service":"llm",`, `"software":"v2"`,
		`"msg":"send_failed"`, `"software":"v1","reason":"answer_lost"`, `"reason":"stream_version_unknown"`, `"resumes":"nobody","after_event":0`,
		`"reason":"no_upstream_of_version"`,
	} {
		eventually(t, "the log has "+line, func() bool { return strings.Contains(e.log.String(), line) })
	}
}

// standingFeed is a table whose changes do not arrive while an entry stands still.
type standingFeed struct {
	platformapi.Watcher
	still atomic.Bool
}

func (f *standingFeed) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platformapi.Change, int64, error) {
	changes, version, err := f.Watcher.Changes(ctx, prefix, after, wait)
	for f.still.Load() {
		time.Sleep(5 * time.Millisecond) // not even the end of ctx is noticed
	}
	return changes, version, err
}

// TestEntryOutOfStepKeepsStreamsAtTheirVersion: while an entry stands still, upstreams start again under their ids
// with other software. When it wakes, and has not caught up, a stream must not go on there at another version than
// the one that began it, whether it began at another entry or at this one.
func TestEntryOutOfStepKeepsStreamsAtTheirVersion(t *testing.T) {
	v := startVersionedEntries(t, 1, 1)
	feed := &standingFeed{Watcher: v.p.standin.Table}
	e := startEntry(t, "entry-2", feed)
	v.entries = append(v.entries, e)
	first := newScriptedUpstream(t, "llm-1", answerEvents(0, 0, true))
	second := newScriptedUpstream(t, "llm-2", answerEvents(0, 0, true), answerEvents(1, 2, false))
	v.register(first, "v1")
	began := newID()
	if r := v.entries[0].call("POST", "/ask/1", "x", map[string]string{"X-Request-Id": began}); r.err == nil {
		t.Fatalf("the stream was not broken off: %+v", r)
	}
	v.register(second, "v1")
	eventually(t, "streams may begin", func() bool { return e.origins.excluded(time.Now(), "llm") == nil })
	feed.still.Store(true)
	defer feed.still.Store(false)
	time.Sleep(maxFeedAge + 200*time.Millisecond)
	all := v.entries
	v.entries = all[:1]
	v.remove(first)
	v.register(second, "v2")
	v.entries = all
	if r := e.takeUp(began); r.status != http.StatusServiceUnavailable || len(second.requests()) != 0 {
		t.Errorf("a stream of v1 went on at an upstream that has v2 now, %d calls: %+v", len(second.requests()), r)
	}
	here := newID()
	for len(second.requests()) == 0 { // the choice may fall on the upstream that is gone
		if r := e.call("POST", "/ask/1", "x", map[string]string{"X-Request-Id": here}); r.err == nil && r.status == http.StatusOK {
			t.Fatalf("the stream was not broken off: %+v", r)
		}
	}
	third := newScriptedUpstream(t, "llm-3", answerEvents(1, 2, false))
	v.entries = all[:1]
	v.register(third, "v1")
	v.entries = all
	if r := v.entries[0].takeUp(here); r.status != http.StatusServiceUnavailable || len(third.requests()) != 0 {
		t.Errorf("a stream that began at v2 went on at v1, %d calls: %+v", len(third.requests()), r)
	}
}
