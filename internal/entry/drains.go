package entry

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/buckthornroute/buckthornroute/hold"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/side"
	"github.com/buckthornroute/buckthornroute/membership"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Drain implements command.Drainer: it records the drain in the table, whose row
// version orders it among others, and orders the VM's sides to close or open their
// gates. A side that is not reached reads the row when it starts.
func (o operators) Drain(ctx context.Context, vm structs.VMID, drain bool, operator string) error {
	links := o.linksOf(vm)
	if len(links) == 0 {
		return structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, "drain VM", "no upstream runs on VM %q", vm)
	}
	version, err := o.recordDrain(ctx, vm, side.DrainRow{Drained: drain, Operator: operator})
	if err != nil {
		return err
	}
	order, event := side.OrderUndrain, eventlog.DrainRevoked
	if drain {
		order, event = side.OrderDrain, eventlog.DrainOrdered
	}
	o.peers.tell(ctx, membership.DrainOrdered{Gate: membership.Gate{VM: vm, Version: version, Drained: drain}})
	o.env.Log.Emit(event, eventlog.Fields{Step: "drain VM", Peer: string(vm), Count: int64(version), Detail: operator})
	var orders errgroup.Group
	for _, l := range links {
		orders.Go(func() error {
			return l.order(ctx, &peerpb.OrderRequest{Order: order, Fencing: version, Id: uuid.NewString()})
		})
	}
	return orders.Wait()
}

func (e *entry) linksOf(vm structs.VMID) []*sideLink {
	var out []*sideLink
	for _, s := range e.cfg.Sides {
		if s.VM == vm {
			out = append(out, e.links[s.Upstream])
		}
	}
	return out
}

// recordDrain writes the VM's drain row and returns its version.
func (e *entry) recordDrain(ctx context.Context, vm structs.VMID, drained side.DrainRow) (uint64, error) {
	value, err := json.Marshal(drained)
	if err != nil {
		return 0, err
	}
	return e.raiseRow(ctx, "drain VM", side.DrainKey(vm), value)
}

// maxRaises bounds the tries against other writers of the same row.
const maxRaises = 8

// raiseRow writes a row by compare-and-swap and returns its new version, which no
// other writer has got.
func (e *entry) raiseRow(ctx context.Context, step, key string, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	for range maxRaises {
		row, err := e.platform.Get(ctx, key)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return 0, platformRefusal(err, step)
		}
		err = e.platform.Apply(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: key, Version: row.Version}},
			Writes:     []platform.Write{{Key: key, Value: value}},
		})
		if err == nil {
			return uint64(row.Version + 1), nil
		}
		if !errors.Is(err, platform.ErrConditionFailed) {
			return 0, platformRefusal(err, step)
		}
	}
	return 0, structs.Refusalf(structs.CodeConflict, structs.OutcomeNotRun, step, "row %q was changed by others %d times meanwhile", key, maxRaises)
}

// OrderUpstream implements command.Orderer: it draws the next fencing number of the
// upstream and passes the order to its side.
func (o operators) OrderUpstream(ctx context.Context, upstream structs.UpstreamID, order, argument, operator string) error {
	l, ok := o.links[upstream]
	if !ok {
		return structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, "order", "upstream %q does not exist", upstream)
	}
	fence, err := o.raiseRow(ctx, "order", hold.FenceKey(upstream), []byte(operator))
	if err != nil {
		return err
	}
	return l.orderEngine(ctx, &peerpb.OrderRequest{Order: order, Argument: argument, Fencing: fence, Id: uuid.NewString()})
}

// order gives the side an order and waits until it is obeyed.
func (l *sideLink) order(ctx context.Context, req *peerpb.OrderRequest) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := l.client.Order(ctx, req)
	return peer.FromStatus(err, "order "+req.GetOrder(), string(l.upstream))
}

// setGate stops or resumes sending new work to a VM's upstreams.
func (e *entry) setGate(_ context.Context, change gateChange) error {
	e.router.setGate(change.VM, change.Closed)
	return nil
}

// orderGate tells the sides of a VM that takes no new work to close their gates, so
// that a side hears of it from every entry that reaches it.
func (e *entry) orderGate(ctx context.Context, change gateChange) error {
	if !change.Closed {
		return nil
	}
	gate := e.peers.gate(change.VM)
	order := side.OrderDrain
	if gate.State >= membership.RankLeaving {
		order = side.OrderLeave
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	var orders errgroup.Group
	for _, l := range e.linksOf(change.VM) {
		orders.Go(func() error {
			return l.order(ctx, &peerpb.OrderRequest{Order: order, Fencing: gate.Version, Id: uuid.NewString()})
		})
	}
	return orders.Wait()
}

// orderTimeout bounds an order to a side: longer than an engine takes to load a model.
const orderTimeout = 4 * platformTimeout
