package telemetry

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/structs"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestSpansJoin follows one trace from a caller's traceparent over HTTP into a hop.
func TestSpansJoin(t *testing.T) {
	var out bytes.Buffer
	tel, err := New(context.Background(), settings.Telemetry{Traces: settings.TracesStdout, SampleRatio: 1},
		Options{Service: "buckthorn-entry", Node: "e1", Domain: "a", Stdout: &out})
	if err != nil {
		t.Fatal(err)
	}
	const parent = "4bf92f3577b34da6a3ce929d0e0e4736"
	var seen string
	inner := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := tel.StartSpan(r.Context(), Hop{Step: "route", Peer: "s1", Call: "e1-1.1/1/1", Attempt: 2})
		span.SetUsage(structs.Usage{PromptTokens: 7})
		seen = TraceID(ctx)
		span.End(structs.Refusalf(structs.CodeOverloaded, structs.OutcomeNotRun, "queue", "full"))
	})
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	req.Header.Set("traceparent", "00-"+parent+"-00f067aa0ba902b7-01")
	tel.Middleware("api")(inner).ServeHTTP(httptest.NewRecorder(), req)
	if err := tel.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if seen != parent {
		t.Errorf("trace %q, want %q", seen, parent)
	}
	for _, want := range []string{`"Name":"route"`, `"Name":"api"`, parent, "overloaded", "not_run", "tokens.prompt", "failure_domain"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("spans miss %s: %s", want, out.String())
		}
	}
}

func TestMetricsAreScraped(t *testing.T) {
	var failed []error
	tel, err := New(context.Background(), settings.Telemetry{Traces: settings.TracesNone},
		Options{Node: "e1", OnMetricError: func(err error) { failed = append(failed, err) }})
	if err != nil {
		t.Fatal(err)
	}
	tel.Scope.Counter("calls").Inc(3)
	tel.Scope.Tagged(map[string]string{"kind": "draft"}).Timer("turn").Record(20 * time.Millisecond)
	tel.Scope.Gauge("calls").Update(1)
	if err := tel.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	tel.MetricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{`buckthorn_calls{node="e1"} 3`, `buckthorn_turn_count{kind="draft",node="e1"} 1`} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("scrape misses %s:\n%s", want, w.Body.String())
		}
	}
	if len(failed) != 1 {
		t.Errorf("a gauge under a counter's name gave errors %v", failed)
	}
}

func TestMetricsAddressInUse(t *testing.T) {
	first := httptest.NewServer(http.NotFoundHandler())
	defer first.Close()
	address := first.Listener.Addr().String()
	_, err := New(context.Background(), settings.Telemetry{Metrics: address}, Options{Node: "e1"})
	if err == nil || !strings.Contains(err.Error(), address) {
		t.Errorf("address in use gave %v", err)
	}
}

func TestMetricsListener(t *testing.T) {
	tel, err := New(context.Background(), settings.Telemetry{Metrics: "127.0.0.1:0"}, Options{Node: "e1"})
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	tel.server.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if err := tel.Shutdown(context.Background()); err != nil || w.Code != http.StatusOK {
		t.Errorf("status %d, shutdown %v", w.Code, err)
	}
}

func TestBadEndpoint(t *testing.T) {
	tel, err := New(context.Background(), settings.Telemetry{Traces: settings.TracesOTLP, Endpoint: "http://127.0.0.1:1"}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if err := tel.Shutdown(context.Background()); err != nil {
		t.Errorf("shutdown without spans: %v", err)
	}
	if d := Disabled(); TraceID(context.Background()) != "" || d.Shutdown(context.Background()) != nil {
		t.Error("disabled telemetry is not inert")
	}
}
