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

// sentFlagKey is the context key of a call's sent flag, an *atomic.Bool.
type sentFlagKey struct{}

// sentFlagSetter sets the sent flag of a call when its headers are sent. A call whose
// flag is not set never reached a connection, so its peer cannot have run it.
type sentFlagSetter struct{}

var _ stats.Handler = sentFlagSetter{}

func (sentFlagSetter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentFlagSetter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentFlagKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

func (sentFlagSetter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentFlagSetter) HandleConn(context.Context, stats.ConnStats) {}

// refusalIfNotSent returns a notSentError, whose refusal has outcome not run, if the call was
// never sent. It returns err itself if the call was sent, or if err is not a gRPC status or
// already has details.
func refusalIfNotSent(err error, sent *atomic.Bool, target string) error {
	if err == nil || sent.Load() {
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

// notSentError is the error of a call that never reached a connection. FromStatus turns it
// into its refusal. It is not a refusal itself, so that IsTransportError can tell it from
// a refusal by the peer.
type notSentError struct {
	refusal structs.Refusal
}

// Error implements error.
func (e *notSentError) Error() string { return e.refusal.Error() }

// IsTransportError reports whether err, as gRPC returned it, is not a reply of the peer's
// service: the call was never sent, or its status carries no refusal and is
// Unavailable, Unknown or Internal, as when the connection ends before the reply.
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

// withSentFlagUnary is the client interceptor that gives each unary call a sent flag.
func withSentFlagUnary(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	sent := &atomic.Bool{}
	err := invoke(context.WithValue(ctx, sentFlagKey{}, sent), method, req, reply, cc, opts...)
	return refusalIfNotSent(err, sent, cc.Target())
}

// withSentFlagStream is the client interceptor that gives each streaming call a sent flag.
func withSentFlagStream(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, open grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	sent := &atomic.Bool{}
	stream, err := open(context.WithValue(ctx, sentFlagKey{}, sent), desc, cc, method, opts...)
	return stream, refusalIfNotSent(err, sent, cc.Target())
}
