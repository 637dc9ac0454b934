package home

import (
	"context"
	"strconv"

	"google.golang.org/grpc/metadata"
)

// hopKey is the metadata key that counts how often a call was relayed. An entry
// relays a call once at most, so that no call goes in circles.
const hopKey = "buckthorn-hops"

// withHop marks the calls made with the context as relayed.
func withHop(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, hopKey, "1")
}

// hops returns how often the call served with the context was relayed.
func hops(ctx context.Context) int {
	md, _ := metadata.FromIncomingContext(ctx)
	for _, text := range md.Get(hopKey) {
		if n, err := strconv.Atoi(text); err == nil {
			return n
		}
	}
	return 0
}
