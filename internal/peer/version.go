package peer

import (
	"context"
	"strconv"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/buckthornroute/buckthornroute/structs"
)

// presetVersionKey is the metadata key of the version of the preset in force at the
// sender of a message.
const presetVersionKey = "buckthorn-preset-version"

// nodeKey is the metadata key of the name of a message's sender.
const nodeKey = "buckthorn-node"

// PresetVersions attaches the version of the preset in force to all requests and to the
// replies of unary calls, and reports higher versions that it receives, so that the process
// can fetch that preset. The zero value attaches version 0 and an empty name; a
// nil PresetVersions attaches nothing.
type PresetVersions struct {
	// Node is the name of this process. It must be set before the first message.
	Node structs.NodeID

	// own is the version set by Set, higher the function set by OnHigher.
	own    atomic.Uint64
	higher atomic.Pointer[func(from structs.NodeID, version uint64)]
}

// Set sets the version of the preset in force at this process.
func (v *PresetVersions) Set(version uint64) { v.own.Store(version) }

// OnHigher sets the function that is called when a received message carries a higher
// version than this process has, with the message's sender and version. It is called
// from any goroutine and must not block.
func (v *PresetVersions) OnHigher(f func(from structs.NodeID, version uint64)) { v.higher.Store(&f) }

// metadataPairs returns the keys and values to attach to a message.
func (v *PresetVersions) metadataPairs() []string {
	return []string{
		presetVersionKey, strconv.FormatUint(v.own.Load(), 10),
		nodeKey, string(v.Node),
	}
}

// attach returns a context whose outgoing calls carry the version.
func (v *PresetVersions) attach(ctx context.Context) context.Context {
	if v == nil {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, v.metadataPairs()...)
}

// observe calls the function set by OnHigher if md carries a higher version.
func (v *PresetVersions) observe(md metadata.MD) {
	if v == nil {
		return
	}
	from := structs.NodeID("")
	if names := md.Get(nodeKey); len(names) > 0 {
		from = structs.NodeID(names[0])
	}
	for _, text := range md.Get(presetVersionKey) {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil || version <= v.own.Load() {
			continue
		}
		if f := v.higher.Load(); f != nil {
			(*f)(from, version)
		}
	}
}

// unaryClient is the client interceptor that attaches the version to the request and
// observes the version in the reply.
func (v *PresetVersions) unaryClient(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	var header metadata.MD
	err := invoke(v.attach(ctx), method, req, reply, cc, append(opts, grpc.Header(&header))...)
	v.observe(header)
	return err
}

// streamClient is the client interceptor that attaches the version to the request.
func (v *PresetVersions) streamClient(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, open grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	return open(v.attach(ctx), desc, cc, method, opts...)
}

// unaryServer is the server interceptor that observes the version in the request and
// attaches this process's version to the reply.
func (v *PresetVersions) unaryServer(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	v.observeIncoming(ctx)
	if v != nil {
		// An error is harmless: the client receives the version with a later message.
		_ = grpc.SetHeader(ctx, metadata.Pairs(v.metadataPairs()...))
	}
	return handle(ctx, req)
}

// streamServer is the server interceptor that observes the version in the request.
func (v *PresetVersions) streamServer(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	v.observeIncoming(stream.Context())
	return handle(srv, stream)
}

// observeIncoming observes the metadata of the incoming call of ctx.
func (v *PresetVersions) observeIncoming(ctx context.Context) {
	if md, ok := metadata.FromIncomingContext(ctx); ok {
		v.observe(md)
	}
}
