package telemetry

import (
	"context"
	"net/http"

	"github.com/buckthornroute/buckthornroute/structs"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc/stats"
)

// Hop says what one hop of a call does. Empty fields are left out of its span.
type Hop struct {
	// Step names the span, such as "route", "home", "side queue", "engine" or "tool publish".
	Step string
	// Peer is the process or service that the hop goes to.
	Peer     string
	Program  structs.ProgramID
	Call     structs.CallID
	Attempt  uint32
	Upstream structs.UpstreamID
}

// Span is the span of one hop.
type Span struct {
	span trace.Span
}

// StartSpan begins the span of a hop as a child of the span in ctx. The caller must End it.
func (t *Telemetry) StartSpan(ctx context.Context, h Hop) (context.Context, Span) {
	ctx, span := t.Tracer.Start(ctx, h.Step, trace.WithAttributes(h.attributes()...))
	return ctx, Span{span: span}
}

func (h Hop) attributes() []attribute.KeyValue {
	var out []attribute.KeyValue
	set := func(key, value string) {
		if value != "" {
			out = append(out, attribute.String(key, value))
		}
	}
	set("peer", h.Peer)
	set("program", string(h.Program))
	set("call", string(h.Call))
	set("upstream", string(h.Upstream))
	if h.Attempt != 0 {
		out = append(out, attribute.Int64("attempt", int64(h.Attempt)))
	}
	return out
}

// SetUsage adds the tokens that the hop used to its span.
func (s Span) SetUsage(u structs.Usage) {
	s.span.SetAttributes(
		attribute.Int64("tokens.prompt", u.PromptTokens),
		attribute.Int64("tokens.cached", u.CachedTokens),
		attribute.Int64("tokens.generated", u.GeneratedTokens),
	)
}

// End ends the span; a refusal in the chain of err gives its code, outcome, step and peer.
func (s Span) End(err error) {
	if err != nil {
		r := structs.AsRefusal(err)
		s.span.SetAttributes(
			attribute.String("error.code", string(r.Code)),
			attribute.String("error.outcome", string(r.Outcome)),
			attribute.String("error.step", r.Step),
			attribute.String("error.peer", r.Peer),
		)
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}

// TraceID returns the id of the trace in ctx in hexadecimal; empty when there is none.
func TraceID(ctx context.Context) string {
	c := trace.SpanContextFromContext(ctx)
	if !c.HasTraceID() {
		return ""
	}
	return c.TraceID().String()
}

// Middleware begins a span for each request under name, as a child of the caller's traceparent.
func (t *Telemetry) Middleware(name string) func(http.Handler) http.Handler {
	return otelhttp.NewMiddleware(name,
		otelhttp.WithTracerProvider(t.Provider),
		otelhttp.WithPropagators(t.Propagator),
		otelhttp.WithSpanNameFormatter(func(string, *http.Request) string { return name }),
	)
}

// Transport carries the trace context on the requests of an HTTP client.
func (t *Telemetry) Transport(base http.RoundTripper) http.RoundTripper {
	return otelhttp.NewTransport(base, otelhttp.WithTracerProvider(t.Provider), otelhttp.WithPropagators(t.Propagator))
}

// ServerStats is the gRPC server's handler that begins a span for each call.
func (t *Telemetry) ServerStats() stats.Handler {
	return otelgrpc.NewServerHandler(otelgrpc.WithTracerProvider(t.Provider), otelgrpc.WithPropagators(t.Propagator))
}

// ClientStats is the gRPC client's handler that carries the trace context.
func (t *Telemetry) ClientStats() stats.Handler {
	return otelgrpc.NewClientHandler(otelgrpc.WithTracerProvider(t.Provider), otelgrpc.WithPropagators(t.Propagator))
}
