package entry

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
)

// engineOrderTimeout bounds an order to an engine: the side may let a former order
// settle for 10 s, and gives the engine a minute.
const engineOrderTimeout = 90 * time.Second

// orderEngine gives the side an order to its engine and waits until it is obeyed.
func (l *sideLink) orderEngine(ctx context.Context, req *peerpb.OrderRequest) error {
	ctx, cancel := context.WithTimeout(ctx, engineOrderTimeout)
	defer cancel()
	_, err := l.client.Order(ctx, req)
	return peer.FromStatus(err, "order "+req.GetOrder(), string(l.upstream))
}
