package home

import (
	"context"
	"strconv"

	"google.golang.org/grpc/metadata"
)

// hopKey is the metadata key that marks a call which another entry has relayed, or has
// sent to collect its own list. An entry does not forward such a call again, which
// rules out loops.
const hopKey = "buckthorn-hops"

// withHop returns a context whose outgoing calls are marked as forwarded.
func withHop(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, hopKey, "1")
}

// hops returns how many entries forwarded the incoming call of ctx: 1 if the call is
// marked with hopKey, and 0 if not. It is never more, since a marked call is not
// forwarded again.
func hops(ctx context.Context) int {
	md, _ := metadata.FromIncomingContext(ctx)
	for _, text := range md.Get(hopKey) {
		if n, err := strconv.Atoi(text); err == nil {
			return n
		}
	}
	return 0
}
