package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/platform"
)

// waysToCutOff are what a table that does not serve one entry does to its requests.
var waysToCutOff = map[string]func(ctx context.Context) error{
	"silent": func(ctx context.Context) error {
		<-ctx.Done()
		return errors.Mark(ctx.Err(), platformapi.ErrUnavailable)
	},
	"reset": func(context.Context) error {
		return errors.Wrap(platformapi.ErrUnavailable, "connection reset by peer")
	},
	"503": func(context.Context) error { return errors.Wrap(platformapi.ErrNotApplied, "status 503") },
	"429": func(context.Context) error { return errors.Wrap(platformapi.ErrNotApplied, "status 429") },
}

// cuttableTable is a table that can stop serving the entry which it belongs to. A poll that is held when
// that begins is not answered either.
type cuttableTable struct {
	platformapi.Watcher
	way atomic.Pointer[func(context.Context) error]
}

func (c *cuttableTable) cut(way string) {
	f := waysToCutOff[way]
	c.way.Store(&f)
}

func (c *cuttableTable) refusal(ctx context.Context) error {
	if way := c.way.Load(); way != nil {
		return (*way)(ctx)
	}
	return nil
}

func (c *cuttableTable) Apply(ctx context.Context, txn platformapi.Txn) error {
	if err := c.refusal(ctx); err != nil {
		return err
	}
	return c.Watcher.Apply(ctx, txn)
}

func (c *cuttableTable) Get(ctx context.Context, key string) (platformapi.Row, error) {
	if err := c.refusal(ctx); err != nil {
		return platformapi.Row{}, err
	}
	return c.Watcher.Get(ctx, key)
}

func (c *cuttableTable) Snapshot(ctx context.Context, prefix string) ([]platformapi.Row, int64, error) {
	if err := c.refusal(ctx); err != nil {
		return nil, 0, err
	}
	return c.Watcher.Snapshot(ctx, prefix)
}

func (c *cuttableTable) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platformapi.Change, int64, error) {
	if err := c.refusal(ctx); err != nil {
		return nil, 0, err
	}
	changes, version, err := c.Watcher.Changes(ctx, prefix, after, wait)
	if refused := c.refusal(ctx); refused != nil {
		return nil, 0, refused
	}
	return changes, version, err
}

// startCuttableEntries starts entries that list each other, each with a table that can cut it off.
func startCuttableEntries(t *testing.T, count int) (*testPlatform, []*testEntry, []*cuttableTable) {
	t.Helper()
	p := newTestPlatform(t)
	p.write("op//config", sharedDocument(1))
	p.registerUpstream(newScriptedUpstream(t, "app-1", answerSealed(http.StatusOK, "ok")), "app", "ready", 1)
	var entries []*testEntry
	var tables []*cuttableTable
	for i := range count {
		tables = append(tables, &cuttableTable{Watcher: p.standin.Table})
		entries = append(entries, startEntry(t, fmt.Sprintf("entry-%d", i), tables[i]))
	}
	for _, e := range entries {
		eventually(t, "the entries list each other", func() bool { return e.mesh.Size() == count })
	}
	return p, entries, tables
}

// changedKeys returns the next version of sharedDocument, without the key kb and with the key kd.
func changedKeys(version int) string {
	return withTenants(fmt.Sprintf(testDocument, version), `{"name":"a","api-keys":["ka"]},{"name":"b","api-keys":["kc","kd"]}`)
}

// keyStatus returns the status of a request with a key.
func (e *testEntry) keyStatus(key string) int {
	return e.call("GET", "/read/1", "", map[string]string{"Api-Key": key}).status
}

// checkKeysChange checks that the entry applies the next version within 3 s of its acknowledgement.
func checkKeysChange(t *testing.T, p *testPlatform, e *testEntry) {
	t.Helper()
	p.write("op//config", changedKeys(2))
	written := time.Now()
	for e.keyStatus("kb") == 200 || e.keyStatus("kd") != 200 {
		if time.Since(written) > 3*time.Second {
			t.Fatalf("the new version is not in force 3 s after it was written; document %d in force", e.documents.version())
		}
		<-time.After(10 * time.Millisecond)
	}
	t.Logf("%s: in force after %v", t.Name(), time.Since(written).Round(time.Millisecond))
	if old, added := e.keyStatus("kb"), e.keyStatus("kd"); old != 401 && old != 503 || added != 200 {
		t.Errorf("status %d for the revoked key and %d for the added one, want 401 or 503, and 200", old, added)
	}
}

// TestKeysChangeWhileCutOff guards against a revoked key that still works, or an added one that does not
// yet, at an entry that the table alone does not serve, or that shares this with most of its peers: at
// once, and after a second. Digests that are lost must not delay it beyond the bound either.
func TestKeysChangeWhileCutOff(t *testing.T) {
	for way := range waysToCutOff {
		for _, c := range []struct {
			name         string
			entries, cut int
			after        time.Duration
			noDigests    bool
		}{
			{"alone", 3, 1, time.Second, false}, {"alone at once", 2, 1, 0, false}, {"with most peers", 4, 3, time.Second, false},
			{"without announcements", 2, 1, 0, true}, {"without announcements later", 2, 1, 1500 * time.Millisecond, true},
		} {
			t.Run(way+" "+c.name, func(t *testing.T) {
				t.Parallel()
				p, entries, tables := startCuttableEntries(t, c.entries)
				if c.noDigests {
					entries[0].documents.mu.Lock()
					entries[0].documents.malformed = 2 // ignores what digests announce, so that the table's relay alone brings it
					entries[0].documents.mu.Unlock()
				}
				for _, table := range tables[:c.cut] {
					table.cut(way)
				}
				<-time.After(c.after)
				checkKeysChange(t, p, entries[0])
			})
		}
	}
}

// TestStartCutOff guards against an entry that starts without the table and stays without a document
// though a peer has it, or learns of no newer one.
func TestStartCutOff(t *testing.T) {
	for way := range waysToCutOff {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			p, entries, tables := startCuttableEntries(t, 2)
			cfg := *entries[0].cfg
			cfg.FirstStart = false
			entries[0].stop()
			eventually(t, "the first incarnation has ended", func() bool { return strings.Contains(entries[0].log.String(), "gateway_stopped") })
			tables[0].cut(way)
			begun := time.Now()
			e, err := startEntryWith(t, &cfg, tables[0])
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%s: ready after %v", t.Name(), time.Since(begun).Round(time.Millisecond))
			if took := time.Since(begun); took > 3*time.Second {
				t.Errorf("ready after %v, want at most 3 s", took)
			}
			checkKeysChange(t, p, e)
		})
	}
}

// TestDocumentNeverReverts guards against an older version that a peer or the table delivers late, and
// against the fetch of a document which this build can't decode at each digest.
func TestDocumentNeverReverts(t *testing.T) {
	_, entries, _ := startCuttableEntries(t, 2)
	e := entries[0]
	for i, version := range []int{3, 2, 1} {
		row := platformapi.Row{Key: platform.DocumentKey, Value: []byte(sharedDocument(version)), Version: int64(10 + i)}
		if !e.applyDocument(row, "entry-1") || e.documents.version() != 3 || e.routes.Load().Document().Version != 3 {
			t.Errorf("document %d in force after version %d, want 3", e.documents.version(), version)
		}
	}
	eventually(t, "the peer has the version that this entry announces", func() bool { return entries[1].documents.version() == 3 })
	// A peer that is behind sends no row, and its confirmation holds for newer versions too.
	e.documents.fetch(t.Context(), documentPeer{name: "entry-1", address: entries[1].cfg.ListenMesh})
	if e.documents.version() != 3 {
		t.Errorf("document %d in force, want 3", e.documents.version())
	}
	if e.applyDocument(platformapi.Row{Key: platform.DocumentKey, Value: []byte(`{"version":4,"routes":7,"tenants":[{"name":"a","api-keys":"secret-1"}]}`)}, "entry-1") {
		t.Error("a malformed document counts as applied")
	}
	if strings.Contains(e.log.String(), "secret-1") {
		t.Error("the log contains a key of a malformed document")
	}
}

// TestChoiceOfDocumentPeer guards against a question to a peer that has nothing newer, or whose document
// can't be decoded, and against a confirmation by a peer without the table where another has it.
func TestChoiceOfDocumentPeer(t *testing.T) {
	now := time.Now()
	peers := []documentPeer{
		{name: "a", version: 4, lastDigest: now}, {name: "b", version: 5, tableReachable: true, lastDigest: now.Add(-time.Second)},
		{name: "c", version: 5, lastDigest: now.Add(-time.Millisecond)}, {name: "d", version: 3, tableReachable: true, lastDigest: now.Add(-2 * time.Second)},
	}
	for _, c := range []struct {
		own, malformed uint64
		want           string
	}{{3, 0, "c"}, {0, 5, "a"}, {4, 5, ""}, {5, 0, ""}} {
		for range peers {
			peers = append(peers[1:], peers[0])
			if p, _ := newerThan(c.own, c.malformed, peers); p.name != c.want {
				t.Errorf("own version %d, malformed %d: peer %q, want %q", c.own, c.malformed, p.name, c.want)
			}
			if p, _ := bestConfirmer(peers); p.name != "b" {
				t.Errorf("confirmation of peer %q, want b", p.name)
			}
		}
	}
	if _, found := bestConfirmer(slices.Clone(peers[:0])); found {
		t.Error("a peer was chosen of none")
	}
}

// TestFrozenEntry guards against an answer that was read before the process was frozen and counts as
// fresh after it: an unknown key would get 401 though a newer document may have it.
func TestFrozenEntry(t *testing.T) {
	begun := time.Now()
	for _, c := range []struct {
		took, wait time.Duration
		unchanged  bool
		want       time.Duration
	}{
		{feedWait, feedWait, true, feedWait}, {300 * time.Millisecond, feedWait, true, 300 * time.Millisecond},
		{time.Minute, feedWait, true, feedWait}, {time.Minute, 0, true, 0}, {time.Minute, feedWait, false, 0}, {time.Millisecond, feedWait, false, 0},
	} {
		if got := currentAt(begun, begun.Add(c.took), c.wait, c.unchanged).Sub(begun); got != c.want {
			t.Errorf("read of %v held for %v, unchanged %v: current %v after its start, want %v", c.took, c.wait, c.unchanged, got, c.want)
		}
	}
	g := &Gateway{}
	g.confirmDocument(begun)
	if g.confirmDocument(begun.Add(-time.Hour)); !g.documentConfirmedAt.Load().Equal(begun) {
		t.Error("a late answer has made the confirmation older")
	}
}

// frozenTable withholds the answers to polls for the document, which were read before, until it is
// told to return one: so an answer appears to a process that was frozen after it had been received.
type frozenTable struct {
	platformapi.Watcher
	frozen  atomic.Bool
	returns chan struct{}
}

func (f *frozenTable) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]platformapi.Change, int64, error) {
	changes, version, err := f.Watcher.Changes(ctx, prefix, after, wait)
	if prefix == platform.DocumentPrefix && f.frozen.Load() {
		<-f.returns
	}
	return changes, version, err
}

// TestKeyAddedWhileFrozen guards against 401 for a key that was added while the entry was frozen.
func TestKeyAddedWhileFrozen(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t)
	p.write("op//config", sharedDocument(1))
	p.registerUpstream(newScriptedUpstream(t, "app-1", answerSealed(http.StatusOK, "ok")), "app", "ready", 1)
	table := &frozenTable{Watcher: p.standin.Table, returns: make(chan struct{})}
	e := startEntry(t, "entry-1", table)
	t.Cleanup(func() { close(table.returns) })
	table.frozen.Store(true)
	<-time.After(feedWait + 100*time.Millisecond) // the poll has found nothing new, and its answer is withheld
	p.write("op//config", changedKeys(2))
	<-time.After(maxDocumentAge)
	table.returns <- struct{}{}
	<-time.After(50 * time.Millisecond)
	if got := e.keyStatus("kd"); got != 503 {
		t.Errorf("status %d for the added key after an answer from before the freeze, want 503", got)
	}
	table.frozen.Store(false)
	table.returns <- struct{}{}
	eventually(t, "the added key is known", func() bool { return e.keyStatus("kd") == 200 })
}

// TestPeerConfirms guards against 503 for unknown keys and routes at an entry whose reads of the table
// fail although a peer knows that the document is the newest, against a question for each request, and
// against a peer's answer that counts as fresh although the peer's own confirmation is old.
func TestPeerConfirms(t *testing.T) {
	_, entries, _ := startCuttableEntries(t, 2)
	e := entries[0]
	eventually(t, "the peer has announced its document", func() bool { return len(e.documents.candidates()) == 1 })
	// A document of which no read has been confirmed, as during an outage of all relays.
	stale := func() {
		old := time.Now().Add(-time.Hour)
		e.documentConfirmedAt.Store(&old)
	}
	fetches := func() int64 {
		for _, c := range e.scope.Snapshot().Counters() {
			if c.Name() == "gateway.document_fetches" {
				return c.Value()
			}
		}
		return 0
	}
	before := fetches()
	for range 5 {
		if got := e.keyStatus("ka"); got != 200 {
			t.Errorf("status %d for a valid key, want 200", got)
		}
	}
	if n := fetches() - before; n != 0 {
		t.Errorf("%d questions for requests with a valid key", n)
	}
	for _, c := range []struct{ path, key string }{{"/read/1", "unknown"}, {"/no/route", "ka"}} {
		stale()
		if age, _ := e.confirmedAge(t.Context(), e.routes.Load()); age > maxDocumentAge {
			t.Errorf("age %v after the question, want at most %v", age, maxDocumentAge)
		}
		stale()
		if got := e.call("GET", c.path, "", map[string]string{"Api-Key": c.key}).status; got != 401 && got != 404 {
			t.Errorf("%s with the key %q: status %d, want 401 or 404 by the peer's confirmation", c.path, c.key, got)
		}
	}
}
