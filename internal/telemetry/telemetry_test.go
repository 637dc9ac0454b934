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

// TestSpansJoinTrace checks that the spans of a request and of its hop belong to the trace in
// the caller's traceparent header, and carry the attributes of the hop and of its error.
func TestSpansJoinTrace(t *testing.T) {
	var out bytes.Buffer
	tel, err := New(context.Background(), settings.Telemetry{Traces: settings.TracesStdout, SampleRatio: 1},
		Options{Service: "buckthorn-entry", Node: "e1", Domain: "a", Stdout: &out})
	if err != nil {
		t.Fatal(err)
	}
	const parent = "4bf92f3577b34da6a3ce929d0e0e4736"
	var traceID string
	inner := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := tel.StartSpan(r.Context(), Hop{Step: "route", Peer: "s1", Call: "e1-1.1/1/1", Attempt: 2})
		span.SetUsage(structs.Usage{PromptTokens: 7})
		traceID = TraceID(ctx)
		span.End(structs.Refusalf(structs.CodeOverloaded, structs.OutcomeNotRun, "queue", "full"))
	})
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	req.Header.Set("traceparent", "00-"+parent+"-00f067aa0ba902b7-01")
	tel.Middleware("api")(inner).ServeHTTP(httptest.NewRecorder(), req)
	if err := tel.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if traceID != parent {
		t.Errorf("trace id %q in the handler, want %q", traceID, parent)
	}
	for _, want := range []string{`"Name":"route"`, `"Name":"api"`, parent, "overloaded", "not_run", "tokens.prompt", "failure_domain"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("exported spans lack %s: %s", want, out.String())
		}
	}
}

// TestMetricsAreScraped checks that recorded metrics appear in a scrape, and that a metric
// that can't be registered is reported and does not make the setup fail.
func TestMetricsAreScraped(t *testing.T) {
	var registerErrors []error
	tel, err := New(context.Background(), settings.Telemetry{Traces: settings.TracesNone},
		Options{Node: "e1", OnMetricError: func(err error) { registerErrors = append(registerErrors, err) }})
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
			t.Errorf("scraped metrics lack %s:\n%s", want, w.Body.String())
		}
	}
	if len(registerErrors) != 1 {
		t.Errorf("a gauge with the name of a counter: errors %v, want 1", registerErrors)
	}
}

// TestMetricsAddressInUse checks that New fails with the address if it can't listen there,
// so that a process does not run without the metrics that its settings require.
func TestMetricsAddressInUse(t *testing.T) {
	first := httptest.NewServer(http.NotFoundHandler())
	defer first.Close()
	address := first.Listener.Addr().String()
	_, err := New(context.Background(), settings.Telemetry{Metrics: address}, Options{Node: "e1"})
	if err == nil || !strings.Contains(err.Error(), address) {
		t.Errorf("metrics address in use: error %v, want one with the address", err)
	}
}

// TestMetricsRoute checks that the separate metrics server serves /metrics. It calls the
// server's handler directly.
func TestMetricsRoute(t *testing.T) {
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

// TestUnreachableEndpoint checks that a collector that can't be reached makes neither New
// nor Shutdown fail when no span is pending, and that disabled telemetry can be shut down.
func TestUnreachableEndpoint(t *testing.T) {
	tel, err := New(context.Background(), settings.Telemetry{Traces: settings.TracesOTLP, Endpoint: "http://127.0.0.1:1"}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if err := tel.Shutdown(context.Background()); err != nil {
		t.Errorf("shutdown without spans: %v", err)
	}
	if d := Disabled(); TraceID(context.Background()) != "" || d.Shutdown(context.Background()) != nil {
		t.Error("a context without a span has a trace id, or Shutdown of disabled telemetry failed")
	}
}
