package runner

import (
	"context"

	"go.opentelemetry.io/otel/trace"
)

// spanOf returns the trace span of the caller's request. The spans of a turn's calls join its
// trace, although the turn may outlast the request.
func spanOf(ctx context.Context) trace.SpanContext { return trace.SpanContextFromContext(ctx) }

// inTrace returns ctx with span as the parent of the spans that are started with it.
func inTrace(ctx context.Context, span trace.SpanContext) context.Context {
	return trace.ContextWithSpanContext(ctx, span)
}
