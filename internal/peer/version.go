package peer

import (
	"context"
	"strconv"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/buckthornroute/buckthornroute/structs"
)

// presetVersionKey is the metadata key under which each message carries the
// version of the preset in force at its sender.
const presetVersionKey = "buckthorn-preset-version"

// nodeKey is the metadata key under which each message carries its sender's name.
const nodeKey = "buckthorn-node"

// PresetVersions carries the version of the preset in force on every message
// between processes. A process that sees a higher version asks for that preset.
// The zero value carries version zero and no name, nil carries nothing.
type PresetVersions struct {
	// Node is the name of this process; it is set before the first message.
	Node structs.NodeID

	own    atomic.Uint64
	higher atomic.Pointer[func(from structs.NodeID, version uint64)]
}

// Set records the version in force at this process.
func (v *PresetVersions) Set(version uint64) { v.own.Store(version) }

// OnHigher sets the function that is called, from any goroutine, with a version
// above the own one and who carried it. It must not block.
func (v *PresetVersions) OnHigher(f func(from structs.NodeID, version uint64)) { v.higher.Store(&f) }

func (v *PresetVersions) pairs() []string {
	return []string{
		presetVersionKey, strconv.FormatUint(v.own.Load(), 10),
		nodeKey, string(v.Node),
	}
}

func (v *PresetVersions) attach(ctx context.Context) context.Context {
	if v == nil {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, v.pairs()...)
}

func (v *PresetVersions) observe(md metadata.MD) {
	if v == nil {
		return
	}
	from := structs.NodeID("")
	if names := md.Get(nodeKey); len(names) > 0 {
		from = structs.NodeID(names[0])
	}
	for _, text := range md.Get(presetVersionKey) {
		seen, err := strconv.ParseUint(text, 10, 64)
		if err != nil || seen <= v.own.Load() {
			continue
		}
		if f := v.higher.Load(); f != nil {
			(*f)(from, seen)
		}
	}
}

func (v *PresetVersions) unaryClient(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	var header metadata.MD
	err := invoke(v.attach(ctx), method, req, reply, cc, append(opts, grpc.Header(&header))...)
	v.observe(header)
	return err
}

func (v *PresetVersions) streamClient(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, open grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	return open(v.attach(ctx), desc, cc, method, opts...)
}

func (v *PresetVersions) unaryServer(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	v.receive(ctx)
	if v != nil {
		// A reply without the header only spreads the version later.
		_ = grpc.SetHeader(ctx, metadata.Pairs(v.pairs()...))
	}
	return handle(ctx, req)
}

func (v *PresetVersions) streamServer(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	v.receive(stream.Context())
	return handle(srv, stream)
}

func (v *PresetVersions) receive(ctx context.Context) {
	if md, ok := metadata.FromIncomingContext(ctx); ok {
		v.observe(md)
	}
}
