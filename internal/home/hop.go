package home

import (
	"context"
	"strconv"

	"google.golang.org/grpc/metadata"
)

// hopKey is the metadata key that counts how often a call was relayed. An entry
// does not relay a call that was relayed before, which rules out loops.
const hopKey = "buckthorn-hops"

// withHop returns a context whose outgoing calls are marked as relayed.
func withHop(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, hopKey, "1")
}

// hops returns how often the incoming call of the context was relayed.
func hops(ctx context.Context) int {
	md, _ := metadata.FromIncomingContext(ctx)
	for _, text := range md.Get(hopKey) {
		if n, err := strconv.Atoi(text); err == nil {
			return n
		}
	}
	return 0
}
