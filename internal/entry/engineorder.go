package entry

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
)

// engineOrderTimeout bounds an order to an engine: the side may wait 10 s for an earlier
// order to finish, and allows the engine 1 minute.
const engineOrderTimeout = 90 * time.Second

// orderEngine sends the side an order for its engine and waits until it has been carried out.
func (l *sideLink) orderEngine(ctx context.Context, req *peerpb.OrderRequest) error {
	ctx, cancel := context.WithTimeout(ctx, engineOrderTimeout)
	defer cancel()
	_, err := l.client.Order(ctx, req)
	return peer.FromStatus(err, "order "+req.GetOrder(), string(l.upstream))
}
