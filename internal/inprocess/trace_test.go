package inprocess

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/telemetry"
	"github.com/buckthornroute/buckthornroute/structs"
)

// spanLog collects the spans of all processes. nodes has a buffer with the spans of each node,
// and all has the telemetry that flush shuts down.
type spanLog struct {
	mu    sync.Mutex
	nodes map[structs.NodeID]*bytes.Buffer
	all   []*telemetry.Telemetry
}

// telemetryFunc returns a function that makes the telemetry of a node; the spans of each
// node go to a buffer of its own.
func (l *spanLog) telemetryFunc(t *testing.T) func(structs.NodeID) *telemetry.Telemetry {
	return func(node structs.NodeID) *telemetry.Telemetry {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.nodes[node] = &bytes.Buffer{}
		tel, err := telemetry.New(context.Background(),
			settings.Telemetry{Traces: settings.TracesStdout, SampleRatio: 1},
			telemetry.Options{Service: "test", Node: node, Stdout: l.nodes[node]})
		if err != nil {
			t.Error(err)
			return telemetry.Disabled()
		}
		l.all = append(l.all, tel)
		return tel
	}
}

// flush shuts the telemetry down, after which the buffers have all spans.
func (l *spanLog) flush(t *testing.T) {
	t.Helper()
	for _, tel := range l.all {
		if err := tel.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	}
}

// TestTraceJoinsAllProcesses guards against a process that drops the trace context of the
// caller: the entry that was called, the home and a side must each have a span in the
// caller's trace.
func TestTraceJoinsAllProcesses(t *testing.T) {
	const traceID = "0af7651916cd43dd8448eb211c80319c"
	log := &spanLog{nodes: map[structs.NodeID]*bytes.Buffer{}}
	cfg := Taichung(fast)
	cfg.Telemetry = log.telemetryFunc(t)
	s, err := Start(context.Background(), cfg, []structs.OrganisationID{organisation})
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	client := Client{URL: s.Entries[0].URL, Token: CallerToken(organisation), HTTP: &http.Client{Transport: transport}}
	id, err := client.Open(context.Background(), httpapi.OpenRequest{Kind: "question", Model: "portal-chat"}, "")
	if err != nil {
		t.Fatal(err)
	}
	client.URL = s.Entries[1].URL
	client.HTTP = &http.Client{Transport: withHeader{transport, "Traceparent", "00-" + traceID + "-b7ad6b7169203331-01"}}
	if _, err := client.Turn(context.Background(), id, 1, "k", "hello\nplan: tool search_records {}; answer 3"); err != nil {
		t.Fatal(err)
	}
	transport.CloseIdleConnections()
	s.Close()
	log.flush(t)

	for _, node := range []structs.NodeID{s.Entries[0].Node, s.Entries[1].Node} {
		if !strings.Contains(log.nodes[node].String(), traceID) {
			t.Errorf("%s has no span in the caller's trace", node)
		}
	}
	sides := 0
	for node, spans := range log.nodes {
		if strings.HasPrefix(string(node), "side-") && strings.Contains(spans.String(), traceID) {
			sides++
		}
	}
	if sides == 0 {
		t.Error("no side has a span in the caller's trace")
	}
}

// withHeader adds a header to each request.
type withHeader struct {
	http.RoundTripper
	name, value string
}

// RoundTrip implements http.RoundTripper.
func (w withHeader) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(w.name, w.value)
	return w.RoundTripper.RoundTrip(r)
}
