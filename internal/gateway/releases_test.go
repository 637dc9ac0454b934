package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/resume"
)

// rowLink is an entry's link to the table. It counts the calls for the rows of services, and can reject or
// hang them.
type rowLink struct {
	platform.Watcher
	reads, writes atomic.Int64
	rejects       atomic.Bool
	hangs         atomic.Bool
}

func (l *rowLink) fault(ctx context.Context, key string) error {
	if !strings.HasPrefix(key, settledPrefix) {
		return nil
	}
	if l.hangs.Load() {
		<-ctx.Done()
		return fmt.Errorf("hangs: %w", platform.ErrUnavailable)
	}
	if l.rejects.Load() {
		return fmt.Errorf("rejected: %w", platform.ErrNotApplied)
	}
	return nil
}

func (l *rowLink) Get(ctx context.Context, key string) (platform.Row, error) {
	if strings.HasPrefix(key, settledPrefix) {
		l.reads.Add(1)
	}
	if err := l.fault(ctx, key); err != nil {
		return platform.Row{}, err
	}
	return l.Watcher.Get(ctx, key)
}

func (l *rowLink) Apply(ctx context.Context, txn platform.Txn) error {
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Key, settledPrefix) {
			l.writes.Add(1)
		}
		if err := l.fault(ctx, w.Key); err != nil {
			return err
		}
	}
	return l.Watcher.Apply(ctx, txn)
}

// release is a system whose row names v1, served by the upstream old.
type release struct {
	*versionedEntries
	links []*rowLink
	old   *scriptedUpstream
}

func startRelease(t *testing.T, entries int) *release {
	t.Helper()
	r := &release{versionedEntries: startVersionedEntries(t, 0, 1)}
	for i := range entries {
		l := &rowLink{Watcher: r.p.standin.Table}
		r.links = append(r.links, l)
		r.entries = append(r.entries, startEntry(t, fmt.Sprintf("entry-%d", i+1), l))
	}
	for _, e := range r.entries {
		eventually(t, "the entries know each other", func() bool { return e.mesh.Size() == entries })
	}
	r.old = newScriptedUpstream(t, "llm-1", answerEvents(0, 2, false))
	r.register(r.old, "v1")
	eventually(t, "the version is named", func() bool { return r.settled().Named == "v1" })
	for _, l := range r.links {
		l.reads.Store(0)
		l.writes.Store(0)
	}
	return r
}

// owner returns the index of the entry that owns the row.
func (r *release) owner() int {
	for i, e := range r.entries {
		if e.mesh.Owner("llm") == nil {
			return i
		}
	}
	r.t.Fatal("no entry owns the row")
	return 0
}

// drain makes entries send new calls to the other upstreams only.
func (r *release) drain(u *scriptedUpstream) {
	r.p.write("servers//"+u.id, fmt.Sprintf(
		`{"service":"llm","address":%q,"zone":"z","version":"v1","slots":8,"state":"draining","cold-remaining-ms":0,"seq":2,"born":%d}`,
		strings.TrimPrefix(u.server.URL, "http://"), r.starts))
	for _, e := range r.entries {
		eventually(r.t, u.id+" drains", func() bool { return e.fleet.Load().registry.Get(u.id).Draining })
	}
}

func (r *release) stopAll() {
	for _, e := range r.entries {
		e.stop()
	}
}

func (r *release) cost() (reads, writes int64) {
	for _, l := range r.links {
		reads += l.reads.Load()
		writes += l.writes.Load()
	}
	return reads, writes
}

// TestNoMixedStreamAfterTwoFailures: a stream began at another version than v1, all entries ended together with
// a further failure, and only v1 is left. The stream must not be resumed at v1.
func TestNoMixedStreamAfterTwoFailures(t *testing.T) {
	cases := map[string]func(r *release) (first string, gone []*scriptedUpstream){
		"the owner of the row hangs": func(r *release) (string, []*scriptedUpstream) {
			r.links[r.owner()].hangs.Store(true)
			u := newScriptedUpstream(r.t, "llm-2", answerEvents(0, 0, true))
			r.register(u, "v2")
			return beginAt(r.versionedEntries, u), []*scriptedUpstream{u}
		},
		"the owner of the row is rejected": func(r *release) (string, []*scriptedUpstream) {
			r.links[r.owner()].rejects.Store(true)
			u := newScriptedUpstream(r.t, "llm-2", answerEvents(0, 0, true))
			r.register(u, "v2")
			return beginAt(r.versionedEntries, u), []*scriptedUpstream{u}
		},
		"the history is dropped": func(r *release) (string, []*scriptedUpstream) {
			r.p.standin.Table.DropChanges()
			u := newScriptedUpstream(r.t, "llm-2", answerEvents(0, 0, true))
			r.register(u, "v2")
			return beginAt(r.versionedEntries, u), []*scriptedUpstream{u}
		},
		"two releases follow each other": func(r *release) (string, []*scriptedUpstream) {
			u, w := newScriptedUpstream(r.t, "llm-2", answerEvents(0, 2, false)), newScriptedUpstream(r.t, "llm-3", answerEvents(0, 0, true))
			r.register(u, "v2")
			r.register(w, "v3")
			return beginAt(r.versionedEntries, w), []*scriptedUpstream{u, w}
		},
		"an engine starts again under its id": func(r *release) (string, []*scriptedUpstream) {
			u := newScriptedUpstream(r.t, "llm-2", answerEvents(0, 0, true))
			r.register(u, "v1")
			r.register(u, "v2")
			first := beginAt(r.versionedEntries, u)
			r.register(u, "v1")
			return first, []*scriptedUpstream{u}
		},
	}
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			r := startRelease(t, 2)
			r.drain(r.old)
			first, gone := begin(r)
			r.stopAll()
			r.entries = nil
			r.register(r.old, "v1")
			for _, u := range gone {
				r.p.removeUpstream(u)
			}
			before := len(r.old.requests())
			e := r.startAgain("entry-1")
			if got := e.takeUp(first); got.status != http.StatusServiceUnavailable || len(r.old.requests()) != before {
				t.Errorf("a stream that began at another version went on at v1: %+v", got)
			}
			eventually(t, "the log tells why", func() bool {
				return strings.Contains(e.log.String(), `"msg":"stream_not_resumed"`) && strings.Contains(e.log.String(), `"why":"`+resume.RefusedNotNamed)
			})
			if n := e.scope.Snapshot().Counters()["gateway.streams_version_unknown+"].Value(); n != 1 {
				t.Errorf("%d refused streams are counted, want 1", n)
			}
		})
	}
}

// TestVersionIsExcludedWhileRowCantBeWithdrawn: no entry reaches the row as a second version appears. Streams
// must go on beginning at the first one, at once, and none at the second; once the row can be reached, that
// gets streams within a second.
func TestVersionIsExcludedWhileRowCantBeWithdrawn(t *testing.T) {
	r := startRelease(t, 2)
	for _, l := range r.links {
		l.rejects.Store(true)
	}
	u := newScriptedUpstream(t, "llm-2", answerEvents(0, 2, false))
	r.register(u, "v2")
	var callers sync.WaitGroup
	var slowest, calls atomic.Int64
	begun := time.Now()
	for i := range 8 {
		callers.Go(func() {
			for time.Since(begun) < 2*time.Second {
				at := time.Now()
				if got := r.entries[i%2].call("POST", "/ask/1", "x", nil); got.status != http.StatusOK {
					t.Errorf("a stream at the named version was refused: %+v", got)
					return
				}
				if d := int64(time.Since(at)); d > slowest.Load() {
					slowest.Store(d)
				}
				calls.Add(1)
			}
		})
	}
	callers.Wait()
	if n := len(u.requests()); n != 0 {
		t.Errorf("%d streams began at a version that the row does not name", n)
	}
	reads, writes := r.cost()
	t.Logf("outage of 2 s: %d streams at the named version, the slowest in %v; %d reads, %d writes tried", calls.Load(), time.Duration(slowest.Load()), reads, writes)
	for _, l := range r.links {
		l.rejects.Store(false)
	}
	healed := time.Now()
	r.drain(r.old)
	beginAt(r.versionedEntries, u)
	if d := time.Since(healed); d > 1500*time.Millisecond {
		t.Errorf("the second version got no stream for %v", d)
	} else {
		t.Logf("the second version got a stream %v after the outage", d)
	}
	for _, line := range []string{`"msg":"software_row_withdrawn"`, `"msg":"software_cleared"`, `"msg":"software_excluded"`, `"msg":"software_not_read"`} {
		eventually(t, "the logs have "+line, func() bool {
			return strings.Contains(r.entries[0].log.String()+r.entries[1].log.String(), line)
		})
	}
}

// TestCostOfRelease: a second version must get streams soon at every entry, for one read per entry and a few
// calls of the owner, and streams that have no other upstream must wait for that and not fail.
func TestCostOfRelease(t *testing.T) {
	const entries = 6
	r := startRelease(t, entries)
	r.remove(r.old)
	u := newScriptedUpstream(t, "llm-2", answerEvents(0, 2, false))
	r.register(u, "v2")
	registered := time.Now()
	waits := make(chan time.Duration, entries)
	for _, e := range r.entries {
		go func() {
			if got := e.call("POST", "/ask/1", "x", nil); got.status != http.StatusOK {
				t.Errorf("a stream without another upstream failed: %+v", got)
			}
			waits <- time.Since(registered)
		}()
	}
	var longest time.Duration
	for range r.entries {
		longest = max(longest, <-waits)
	}
	time.Sleep(2 * settledInterval) // calls that nothing makes necessary would show
	reads, writes := r.cost()
	t.Logf("%d entries: the last began a stream at the second version after %v; %d reads, %d writes", entries, longest, reads, writes)
	if longest > withdrawalWait {
		t.Errorf("the last entry began a stream after %v, want at most %v", longest, withdrawalWait)
	}
	if reads > 2*entries+2 || writes > 3 {
		t.Errorf("%d reads and %d writes, want at most %d and 3", reads, writes, 2*entries+2)
	}
}

// TestUnknownStreamStaysAtItsService: a route has come to lead to another service, or to several, while all
// entries were down. A stream that nobody knows may have begun at the former one and must not be resumed.
func TestUnknownStreamStaysAtItsService(t *testing.T) {
	document := strings.Replace(testDocument, `"service":"llm","attempts":2,"resumable":true},`,
		`"service":"llm","attempts":1,"resumable":true},
 {"name":"chat","host":"h","prefix":"/chat/","route-type":"stream","timeout-ms":1500,"service":"app","attempts":1,"resumable":true},`, 1)
	moved := strings.Replace(document, `"prefix":"/ask/","route-type":"stream","timeout-ms":1500,"service":"llm"`,
		`"prefix":"/ask/","route-type":"stream","timeout-ms":1500,"service":"app"`, 1)
	if moved == document {
		t.Fatal("the document has no such route")
	}
	p := newTestPlatform(t)
	p.write("op//config", fmt.Sprintf(document, 1))
	llm := newScriptedUpstream(t, "llm-1", answerEvents(0, 0, true))
	app := newScriptedUpstream(t, "app-1", answerEvents(1, 2, false))
	p.registerUpstream(llm, "llm", "ready", 1)
	p.registerUpstream(app, "app", "ready", 1)
	e := startEntry(t, "entry-1", p.standin.Table)
	v := &versionedEntries{t: t, p: p}
	eventually(t, "both services have a named version", func() bool {
		row, err := p.standin.Table.Get(t.Context(), settledPrefix+"app")
		return err == nil && resume.DecodeRow(row.Value, 1).Named == "v1" && v.settled().Named == "v1"
	})
	first := newID()
	e.call("POST", "/ask/1", "x", map[string]string{"X-Request-Id": first})
	e.stop()
	p.write("op//config", fmt.Sprintf(moved, 2))
	e = v.startAgain("entry-1")
	if got := e.takeUp(first); got.status != http.StatusServiceUnavailable || len(app.requests()) != 0 {
		t.Errorf("a stream went on at another service: %+v", got)
	}
	eventually(t, "the log tells why", func() bool { return strings.Contains(e.log.String(), `"why":"`+resume.RefusedRoutes) })
}
