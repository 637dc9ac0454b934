package home

import (
	"context"
	"strconv"

	"google.golang.org/grpc/metadata"
)

// hopKey is the metadata key that marks a call which an entry has sent to a relay, or to
// the other entries to collect its own list. The receiver does not relay such a call again
// nor pass the list on, which rules out loops. It may still call the home itself, without a
// mark.
const hopKey = "buckthorn-hops"

// withHop returns a context whose outgoing calls carry the mark.
func withHop(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, hopKey, "1")
}

// hops returns the number in the mark of the incoming call of ctx, which is 1, or 0 if the
// call has no mark.
func hops(ctx context.Context) int {
	md, _ := metadata.FromIncomingContext(ctx)
	for _, text := range md.Get(hopKey) {
		if n, err := strconv.Atoi(text); err == nil {
			return n
		}
	}
	return 0
}
