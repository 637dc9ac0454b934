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
	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/reqlog"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/internal/telemetry"
	"github.com/buckthornroute/buckthornroute/structs"
)

// scriptedUpstream is an HTTP server that stands in for an engine and answers by a script.
type scriptedUpstream struct {
	id     string
	server *httptest.Server

	mu sync.Mutex
	// script[n] answers request n; the last function answers all further requests.
	script   []answerFunc
	received []receivedRequest
}

// receivedRequest is a request that a scripted upstream has received.
type receivedRequest struct {
	header http.Header
	body   string
}

// answerFunc answers one request of an upstream's script.
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
	n := len(u.received)
	u.received = append(u.received, receivedRequest{r.Header.Clone(), string(body)})
	f := u.script[min(n, len(u.script)-1)]
	u.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	f(w, r)
}

func (u *scriptedUpstream) requests() []receivedRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]receivedRequest(nil), u.received...)
}

// answerSealed answers with a status, a body and the header X-Response-Seal.
func answerSealed(status int, body string) answerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Response-Seal", "s")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// answerNotRun answers that the call was not executed.
func answerNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// dropConnection closes the connection without answering.
func dropConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, _ := w.(http.Hijacker).Hijack()
	_ = c.Close()
}

// neverAnswer blocks until the request is cancelled.
func neverAnswer(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// answerEvents answers with the events first to last of a stream. If broken is true, the
// connection is aborted after the last event.
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

// testPlatform is an in-process stand-in for the platform's table, with helpers that write the
// document and the rows of upstreams.
type testPlatform struct {
	standin *standin.Platform
	t       *testing.T
}

func newTestPlatform(t *testing.T) *testPlatform {
	return &testPlatform{standin: standin.NewPlatform(standin.PlatformConfig{}), t: t}
}

// testDocument is the format of an operator's document, with the version as its argument. It has
// a route of each kind; one of the two stream routes is resumable and the other is retained.
const testDocument = `{"version":%d,"routes":[
 {"name":"read","host":"h","prefix":"/read/","route-type":"safe","timeout-ms":1200,"service":"app","attempts":2},
 {"name":"act","host":"h","prefix":"/act/","route-type":"unsafe","timeout-ms":600,"service":"app","attempts":1},
 {"name":"ask","host":"h","prefix":"/ask/","route-type":"stream","timeout-ms":1500,"service":"llm","attempts":2,"resumable":true},
 {"name":"draft","host":"h","prefix":"/draft/","route-type":"stream","timeout-ms":1500,"service":"llm","attempts":1,"retained":true,"retention-s":60}],
 "services":[{"name":"app","max-connections":50},{"name":"llm","max-connections":50,"engine":{"slots":8,"kv-capacity-tokens":100000,"tokens-per-event":10}}],
 "limits":{"max-body-bytes":100000,"idle-timeout-ms":5000}}`

// write stores a row, whatever its version.
func (p *testPlatform) write(key, value string) {
	p.t.Helper()
	if err := p.standin.Table.Apply(context.Background(), platformapi.Txn{Writes: []platformapi.Write{{Key: key, Value: []byte(value)}}}); err != nil {
		p.t.Fatal(err)
	}
}

func (p *testPlatform) writeDocument(version int) {
	p.write("op//config", fmt.Sprintf(testDocument, version))
}

// registerUpstream writes the upstream's row. The gateway ignores a row whose seq is
// smaller than that of the last one.
func (p *testPlatform) registerUpstream(u *scriptedUpstream, service, state string, seq int) {
	p.write("servers//"+u.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":8,"state":%q,"cold-remaining-ms":0,"seq":%d,"born":1}`,
		service, strings.TrimPrefix(u.server.URL, "http://"), state, seq))
}

func (p *testPlatform) removeUpstream(u *scriptedUpstream) { p.removeRow("servers//" + u.id) }

func (p *testPlatform) removeRow(key string) {
	if err := p.standin.Table.Apply(context.Background(), platformapi.Txn{Writes: []platformapi.Write{{Key: key, Delete: true}}}); err != nil {
		p.t.Fatal(err)
	}
}

func (p *testPlatform) injectFault(f standin.Fault) {
	p.t.Helper()
	if err := p.standin.Faults.Set(f); err != nil {
		p.t.Fatal(err)
	}
}

// testEntry is a running gateway under test.
type testEntry struct {
	*Gateway
	t    *testing.T
	base string
	log  *syncBuffer
	// scope has the metrics.
	scope tally.TestScope
	stop  func()
	// reloaded delivers changed settings to the gateway.
	reloaded chan *settings.Gateway
	// err is the error that the gateway's run returned, once it has ended.
	err error
}

// syncBuffer is a string builder for concurrent use.
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

// freeAddress returns a local address whose port was free when probed.
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
		ShutdownGrace:     structs.Duration(4 * time.Second),
		OutageListGrace:   structs.Duration(300 * time.Millisecond),
		UpstreamHeartbeat: structs.Duration(1200 * time.Millisecond),
		Log:               settings.Log{Format: "json", Level: "info"},
	}
}

// startEntry starts a gateway whose client of the table is direct. It retries with other
// addresses when one that freeAddress found has been taken in the meantime.
func startEntry(t *testing.T, node string, direct platformapi.Watcher) *testEntry {
	t.Helper()
	return startEntryChanged(t, node, direct, func(*settings.Gateway) {})
}

// startEntryChanged is startEntry with some settings changed.
func startEntryChanged(t *testing.T, node string, direct platformapi.Watcher, change func(*settings.Gateway)) *testEntry {
	t.Helper()
	for {
		cfg := testSettings(t, node)
		change(cfg)
		e, err := startEntryWith(t, cfg, direct)
		if err == nil {
			return e
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatalf("%v\n%s", err, e.log.String())
		}
	}
}

// startEntryWith starts a gateway with the settings and waits until it is ready or its run has ended
// with an error.
func startEntryWith(t *testing.T, cfg *settings.Gateway, direct platformapi.Watcher) (*testEntry, error) {
	t.Helper()
	node := string(cfg.Node)
	log := &syncBuffer{}
	requestLog := reqlog.New(log, node)
	logCtx, stopLogging := context.WithCancel(context.Background())
	go requestLog.Run(logCtx)
	events, err := eventlog.New(requestLog, cfg.Node, cfg.Log)
	if err != nil {
		t.Fatal(err)
	}
	scope, measured := tally.NewTestScope("", nil), telemetry.Disabled()
	measured.Scope = scope
	reloaded := make(chan *settings.Gateway)
	g := newGateway(cfg, Environment{Events: events, Requests: requestLog, Telemetry: measured, Table: direct, Reload: reloaded})
	g.drainDelay = time.Millisecond
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	e := &testEntry{Gateway: g, t: t, base: "http://" + cfg.ListenCallers, log: log, scope: scope, stop: stop, reloaded: reloaded}
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
	runEnded := false
	eventually(t, "the entry is ready", func() bool {
		select {
		case <-ended:
			runEnded = true
		default:
		}
		return runEnded || g.notReady() == ""
	})
	if runEnded {
		return e, e.err
	}
	return e, nil
}

// setPeer lists another entry at g as given.
func setPeer(t *testing.T, g *Gateway, p mesh.Peer) {
	t.Helper()
	if err := g.mesh.SetPeer(p); err != nil {
		t.Fatal(err)
	}
}

// noScope returns a scope that drops all metrics.
func noScope() tally.Scope { return tally.NoopScope }

// eventually polls f and fails the test when it stays false for 5 seconds.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not true within 5 s", what)
		}
		select {
		case <-t.Context().Done():
			t.Fatalf("%s: not true before the test ended", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// reply is the answer that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set when the answer was incomplete or the request failed.
	err error
}

var lastID struct {
	sync.Mutex
	n int
}

// newID returns a request id that no other call of it has returned.
func newID() string {
	lastID.Lock()
	defer lastID.Unlock()
	lastID.n++
	return fmt.Sprintf("id%d", lastID.n)
}

// call sends one request as a caller. Values in header replace the defaults.
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
