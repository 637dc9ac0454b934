package peer

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/buckthornroute/buckthornroute/structs"
)

// sentKey is the context key of a call's sent mark, an *atomic.Bool.
type sentKey struct{}

// sentMarker sets the sent mark of a call when its headers are sent. A call whose mark
// is not set never reached a connection, so its peer cannot have run it.
type sentMarker struct{}

var _ stats.Handler = sentMarker{}

func (sentMarker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentMarker) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutHeader); !ok {
		return
	}
	if mark, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		mark.Store(true)
	}
}

func (sentMarker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentMarker) HandleConn(context.Context, stats.ConnStats) {}

// refusalIfNotSent returns err as a refusal with outcome not run if the call was never
// sent, and otherwise err itself.
func refusalIfNotSent(err error, mark *atomic.Bool, target string) error {
	if err == nil || mark.Load() {
		return err
	}
	st, ok := status.FromError(err)
	if !ok || len(st.Details()) > 0 {
		return err
	}
	return &notSentError{refusal: structs.Refusal{
		Code:    structs.CodeUpstreamFailed,
		Outcome: structs.OutcomeNotRun,
		Step:    "connect",
		Peer:    target,
		Detail:  st.Message(),
	}}
}

// notSentError is the error of a call that never reached a connection.
type notSentError struct {
	refusal structs.Refusal
}

// Error implements error.
func (e *notSentError) Error() string { return e.refusal.Error() }

// IsTransportError reports whether a call failed in transport: its peer was not reached, or
// the connection ended before the reply.
func IsTransportError(err error) bool {
	var unsent *notSentError
	if errors.As(err, &unsent) {
		return true
	}
	st, ok := status.FromError(err)
	if err == nil || !ok || len(st.Details()) > 0 {
		return false
	}
	return st.Code() == codes.Unavailable || st.Code() == codes.Unknown || st.Code() == codes.Internal
}

// markSentUnary is the client interceptor that gives each unary call a sent mark.
func markSentUnary(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	mark := &atomic.Bool{}
	err := invoke(context.WithValue(ctx, sentKey{}, mark), method, req, reply, cc, opts...)
	return refusalIfNotSent(err, mark, cc.Target())
}

// markSentStream is the client interceptor that gives each streaming call a sent mark.
func markSentStream(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, open grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	mark := &atomic.Bool{}
	stream, err := open(context.WithValue(ctx, sentKey{}, mark), desc, cc, method, opts...)
	return stream, refusalIfNotSent(err, mark, cc.Target())
}
