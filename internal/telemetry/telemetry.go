// Package telemetry sets up the metrics and traces of one process: a tally root scope
// whose metrics are exported to Prometheus, and an OpenTelemetry tracer whose context is
// propagated in HTTP headers and gRPC metadata. It sets no global variables, so that several
// entries and sides can run in one process, as in the playground.
package telemetry

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// reportInterval is the time between two copies of tally's values to the Prometheus registry.
const reportInterval = time.Second

// metricPrefix is the prefix of each metric name.
const metricPrefix = "buckthorn"

// Options identifies the process and sets optional outputs.
type Options struct {
	// Service is the name of the daemon, such as "buckthorn-entry".
	Service string
	Node    structs.NodeID
	Domain  structs.FailureDomain
	// Stdout receives the spans of the stdout exporter. Nil means os.Stdout.
	Stdout io.Writer
	// OnMetricError is called with the error when a metric can't be registered; that
	// metric is not scraped. Nil ignores such errors.
	OnMetricError func(error)
}

// Telemetry holds the metrics and traces of one process.
type Telemetry struct {
	// Scope is the root scope; each metric carries the tag "node".
	Scope tally.Scope
	// Provider creates tracers; Tracer is the tracer of the process.
	Provider trace.TracerProvider
	Tracer   trace.Tracer
	// Propagator carries W3C trace context and baggage.
	Propagator propagation.TextMapPropagator

	// metrics serves the metrics in the Prometheus text format.
	metrics http.Handler
	// server serves metrics on a separate listener; nil if the settings name no address.
	server *http.Server
	// closer reports the last metric values and ends the reporting; nil if metrics are disabled.
	closer io.Closer
	// provider is Provider if spans are exported, else nil; Shutdown exports its pending spans.
	provider *sdktrace.TracerProvider
}

// New sets up telemetry as s requires. The caller must call Shutdown.
func New(ctx context.Context, s settings.Telemetry, o Options) (*Telemetry, error) {
	exporter, err := newExporter(ctx, s, o.Stdout)
	if err != nil {
		return nil, errors.Wrapf(err, "trace exporter %q", s.Traces)
	}
	t := &Telemetry{
		Provider:   noop.NewTracerProvider(),
		Propagator: propagation.NewCompositeTextMapPropagator(propagation.TraceContext{}, propagation.Baggage{}),
	}
	t.startMetrics(o)
	if err := t.serveMetrics(ctx, s.Metrics); err != nil {
		return nil, errors.CombineErrors(err, t.Shutdown(ctx))
	}
	if exporter != nil {
		t.startTraces(exporter, s.SampleRatio, o)
	}
	t.Tracer = t.Provider.Tracer("github.com/buckthornroute/buckthornroute")
	return t, nil
}

// Disabled returns telemetry that records and exports nothing, for tests and embedders.
func Disabled() *Telemetry {
	provider := noop.NewTracerProvider()
	return &Telemetry{
		Scope:      tally.NoopScope,
		Provider:   provider,
		Tracer:     provider.Tracer(""),
		Propagator: propagation.TraceContext{},
		metrics:    http.NotFoundHandler(),
	}
}

// newExporter returns the exporter of spans that the settings name, or nil if they name none.
func newExporter(ctx context.Context, s settings.Telemetry, stdout io.Writer) (sdktrace.SpanExporter, error) {
	switch s.Traces {
	case settings.TracesStdout:
		if stdout == nil {
			stdout = os.Stdout
		}
		return stdouttrace.New(stdouttrace.WithWriter(stdout))
	case settings.TracesOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Endpoint))
	default:
		return nil, nil
	}
}

// startMetrics sets up the root scope and its export to a Prometheus registry.
func (t *Telemetry) startMetrics(o Options) {
	registry := prometheus.NewRegistry()
	onError := o.OnMetricError
	if onError == nil {
		onError = func(error) {}
	}
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
		OnRegisterError:  onError,
	})
	t.metrics = reporter.HTTPHandler()
	t.Scope, t.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:          metricPrefix,
		Tags:            map[string]string{"node": string(o.Node)},
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, reportInterval)
}

// readHeaderTimeout bounds the time that a scraper may take to send the headers of a request.
const readHeaderTimeout = 5 * time.Second

// maxHeaderBytes bounds the headers of a scraper's request.
const maxHeaderBytes = 64 << 10

// serveMetrics serves /metrics on a separate listener, unless address is empty.
func (t *Telemetry) serveMetrics(ctx context.Context, address string) error {
	if address == "" {
		return nil
	}
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "metrics address %q", address)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", t.metrics)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() { _ = t.server.Serve(listener) }() // returns after Shutdown
	return nil
}

// startTraces sets up the provider that samples traces at the given ratio and exports them.
func (t *Telemetry) startTraces(exporter sdktrace.SpanExporter, ratio float64, o Options) {
	t.provider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		// The sampling decision of a parent span applies; the ratio is for traces started here.
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", o.Service),
			attribute.String("service.instance.id", string(o.Node)),
			attribute.String("failure_domain", string(o.Domain)),
		)),
	)
	t.Provider = t.provider
}

// MetricsHandler returns the handler that serves the metrics in the Prometheus text format.
func (t *Telemetry) MetricsHandler() http.Handler { return t.metrics }

// Shutdown stops the listener for metrics, reports the last metric values, exports the
// pending spans and stops the goroutines. ctx bounds the stop of the listener and the export.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	var err error
	if t.server != nil {
		err = t.server.Shutdown(ctx)
	}
	if t.closer != nil {
		err = errors.CombineErrors(err, t.closer.Close())
	}
	if t.provider != nil {
		err = errors.CombineErrors(err, t.provider.Shutdown(ctx))
	}
	return err
}
