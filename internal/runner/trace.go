package runner

import (
	"context"

	"go.opentelemetry.io/otel/trace"
)

// spanOf returns the span of the caller's hop, so that the hops of a turn, which
// outlive the caller's request, join its trace.
func spanOf(ctx context.Context) trace.SpanContext { return trace.SpanContextFromContext(ctx) }

// inTrace returns ctx with the span as the parent of the hops that begin in it.
func inTrace(ctx context.Context, span trace.SpanContext) context.Context {
	return trace.ContextWithSpanContext(ctx, span)
}
