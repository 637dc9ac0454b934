package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/reqlog"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/internal/telemetry"
	"github.com/buckthornroute/buckthornroute/structs"
)

// scriptedUpstream is a scripted stand-in of an engine.
type scriptedUpstream struct {
	id     string
	server *httptest.Server

	mu sync.Mutex
	// script answers the nth request; the last one answers all that follow.
	script []answerFunc
	seen   []receivedRequest
}

type receivedRequest struct {
	header http.Header
	body   string
}

type answerFunc func(w http.ResponseWriter, r *http.Request)

func newScriptedUpstream(t *testing.T, id string, script ...answerFunc) *scriptedUpstream {
	u := &scriptedUpstream{id: id, script: script}
	u.server = httptest.NewServer(u)
	t.Cleanup(u.server.Close)
	return u
}

// ServeHTTP implements http.Handler.
func (u *scriptedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	n := len(u.seen)
	u.seen = append(u.seen, receivedRequest{r.Header.Clone(), string(body)})
	f := u.script[min(n, len(u.script)-1)]
	u.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	f(w, r)
}

func (u *scriptedUpstream) requests() []receivedRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]receivedRequest(nil), u.seen...)
}

func answerSealed(status int, body string) answerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Response-Seal", "s")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func answerNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// dropConnection closes the connection without an answer.
func dropConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, _ := w.(http.Hijacker).Hijack()
	_ = c.Close()
}

// neverAnswer answers nothing until the caller leaves.
func neverAnswer(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// answerEvents answers a stream from event first on; with broken it ends without its end.
func answerEvents(first, last int, broken bool) answerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Response-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := first; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			w.(http.Flusher).Flush()
		}
		if broken {
			panic(http.ErrAbortHandler)
		}
	}
}

// testPlatform is a table with a document and upstreams.
type testPlatform struct {
	standin *standin.Platform
	t       *testing.T
}

func newTestPlatform(t *testing.T) *testPlatform {
	return &testPlatform{standin: standin.NewPlatform(standin.PlatformConfig{}), t: t}
}

const testDocument = `{"version":%d,"routes":[
 {"name":"read","host":"h","prefix":"/read/","route-type":"safe","timeout-ms":1200,"service":"app","attempts":2},
 {"name":"act","host":"h","prefix":"/act/","route-type":"unsafe","timeout-ms":600,"service":"app","attempts":1},
 {"name":"ask","host":"h","prefix":"/ask/","route-type":"stream","timeout-ms":1500,"service":"llm","attempts":2,"resumable":true},
 {"name":"draft","host":"h","prefix":"/draft/","route-type":"stream","timeout-ms":1500,"service":"llm","attempts":1,"retained":true,"retention-s":60}],
 "services":[{"name":"app","max-connections":50},{"name":"llm","max-connections":50,"engine":{"slots":8,"kv-capacity-tokens":100000,"tokens-per-event":10}}],
 "limits":{"max-body-bytes":100000,"idle-timeout-ms":5000}}`

func (p *testPlatform) write(key, value string) {
	p.t.Helper()
	if err := p.standin.Table.Apply(context.Background(), platformapi.Txn{Writes: []platformapi.Write{{Key: key, Value: []byte(value)}}}); err != nil {
		p.t.Fatal(err)
	}
}

func (p *testPlatform) writeDocument(version int) {
	p.write("op//config", fmt.Sprintf(testDocument, version))
}

func (p *testPlatform) registerUpstream(u *scriptedUpstream, service, state string, seq int) {
	p.write("servers//"+u.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":8,"state":%q,"cold-remaining-ms":0,"seq":%d,"born":1}`,
		service, strings.TrimPrefix(u.server.URL, "http://"), state, seq))
}

func (p *testPlatform) remove(u *scriptedUpstream) {
	if err := p.standin.Table.Apply(context.Background(), platformapi.Txn{Writes: []platformapi.Write{{Key: "servers//" + u.id, Delete: true}}}); err != nil {
		p.t.Fatal(err)
	}
}

func (p *testPlatform) injectFault(f standin.Fault) {
	p.t.Helper()
	if err := p.standin.Faults.Set(f); err != nil {
		p.t.Fatal(err)
	}
}

// testEntry is a gateway under test.
type testEntry struct {
	*Gateway
	t    *testing.T
	base string
	log  *syncBuffer
	stop func()
	// err is that of the run, once it has ended.
	err error
}

type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func testSettings(t *testing.T, node string) *settings.Gateway {
	return &settings.Gateway{
		Node: structs.NodeID(node), FailureDomain: "z", FirstStart: true,
		ListenCallers: freeAddress(t), ListenReady: freeAddress(t), ListenMesh: freeAddress(t), ListenDigests: freeAddress(t),
		TableWritesPerSecond: 800, TableRowBytes: 65536, MemoryMB: 200,
		ShutdownGrace:   structs.Duration(4 * time.Second),
		OutageListGrace: structs.Duration(300 * time.Millisecond),
		Log:             settings.Log{Format: "json", Level: "info"},
	}
}

// startEntry starts a gateway on the table; direct is how it reaches it. Its addresses
// were free a moment ago, so it is tried again when another test has taken one.
func startEntry(t *testing.T, node string, direct platformapi.Watcher) *testEntry {
	t.Helper()
	for {
		e, err := startEntryOnce(t, node, direct)
		if err == nil {
			return e
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatalf("%v\n%s", err, e.log.String())
		}
	}
}

func startEntryOnce(t *testing.T, node string, direct platformapi.Watcher) (*testEntry, error) {
	t.Helper()
	cfg := testSettings(t, node)
	log := &syncBuffer{}
	lines := reqlog.New(log, node)
	logging, stopLogging := context.WithCancel(context.Background())
	go lines.Run(logging)
	emitted, err := eventlog.New(lines, cfg.Node, cfg.Log)
	if err != nil {
		t.Fatal(err)
	}
	g := newGateway(cfg, Environment{Events: emitted, Requests: lines, Telemetry: telemetry.Disabled(), Table: direct})
	g.drainDelay = time.Millisecond
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	e := &testEntry{Gateway: g, t: t, base: "http://" + cfg.ListenCallers, log: log, stop: stop}
	go func() {
		e.err = g.run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
		stopLogging()
		if t.Failed() {
			t.Log(log.String())
		}
	})
	over := false
	eventually(t, "the entry is ready", func() bool {
		select {
		case <-ended:
			over = true
		default:
		}
		return over || g.notReady() == ""
	})
	if over {
		return e, e.err
	}
	return e, nil
}

func noScope() tally.Scope { return tally.NoopScope }

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
		select {
		case <-t.Context().Done():
			t.Fatalf("test ended: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set when the answer broke off or none came.
	err error
}

var lastID struct {
	sync.Mutex
	n int
}

func newID() string {
	lastID.Lock()
	defer lastID.Unlock()
	lastID.n++
	return fmt.Sprintf("id%d", lastID.n)
}

// call sends one request as a caller.
func (e *testEntry) call(method, path, body string, header map[string]string) reply {
	e.t.Helper()
	req, err := http.NewRequest(method, e.base+path, strings.NewReader(body))
	if err != nil {
		e.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("X-Request-Id", newID())
	req.Header.Set("X-Timeout-Ms", "3000")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := (&http.Transport{DisableCompression: true, DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(bufio.NewReader(resp.Body))
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}
