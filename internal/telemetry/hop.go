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

// Hop describes one step of a call, which gets one span: work inside this process, or a
// request to another process or service. Zero fields are omitted from the span. It is unrelated
// to the hops of internal/home, which mark a forwarded call.
type Hop struct {
	// Step is the name of the span, such as "route", "home", "side queue", "engine" or "tool publish".
	Step string
	// Peer is the process or service that receives the request; it is empty for work inside
	// this process.
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

// StartSpan starts the span of a hop as a child of the span in ctx. The caller must End it.
func (t *Telemetry) StartSpan(ctx context.Context, h Hop) (context.Context, Span) {
	ctx, span := t.Tracer.Start(ctx, h.Step, trace.WithAttributes(h.attributes()...))
	return ctx, Span{span: span}
}

// attributes returns the span attributes of the fields that are set.
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

// SetUsage sets the hop's token counts as attributes of its span.
func (s Span) SetUsage(u structs.Usage) {
	s.span.SetAttributes(
		attribute.Int64("tokens.prompt", u.PromptTokens),
		attribute.Int64("tokens.cached", u.CachedTokens),
		attribute.Int64("tokens.generated", u.GeneratedTokens),
	)
}

// End ends the span. If err is not nil, it sets the span's status and, as attributes, the code,
// outcome, step and peer of the refusal in the chain of err. An err without a refusal has the
// values that structs.AsRefusal gives it.
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

// TraceID returns the id of the trace in ctx in hexadecimal, or "" if there is none.
func TraceID(ctx context.Context) string {
	c := trace.SpanContextFromContext(ctx)
	if !c.HasTraceID() {
		return ""
	}
	return c.TraceID().String()
}

// Middleware starts a span with the given name for each request, as a child of the
// span in the request's traceparent header.
func (t *Telemetry) Middleware(name string) func(http.Handler) http.Handler {
	return otelhttp.NewMiddleware(name,
		otelhttp.WithTracerProvider(t.Provider),
		otelhttp.WithPropagators(t.Propagator),
		otelhttp.WithSpanNameFormatter(func(string, *http.Request) string { return name }),
	)
}

// Transport wraps base: it starts a client span for each request and sends the trace
// context in the request's headers.
func (t *Telemetry) Transport(base http.RoundTripper) http.RoundTripper {
	return otelhttp.NewTransport(base, otelhttp.WithTracerProvider(t.Provider), otelhttp.WithPropagators(t.Propagator))
}

// ServerStats returns a stats handler for a gRPC server. It starts a span for each call.
func (t *Telemetry) ServerStats() stats.Handler {
	return otelgrpc.NewServerHandler(otelgrpc.WithTracerProvider(t.Provider), otelgrpc.WithPropagators(t.Propagator))
}

// ClientStats returns a stats handler for a gRPC client. It starts a client span for
// each call and sends the trace context in the call's metadata.
func (t *Telemetry) ClientStats() stats.Handler {
	return otelgrpc.NewClientHandler(otelgrpc.WithTracerProvider(t.Provider), otelgrpc.WithPropagators(t.Propagator))
}
