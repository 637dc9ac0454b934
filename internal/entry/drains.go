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

// Drain implements command.Drainer. It records the drain in the platform's table, where
// the row version orders it among other drains of the VM, and sends the VM's sides an
// order to close or open their gates. A side that is not running reads the row when it
// starts. A drain is also sent to the sides by the other entries, see closeSideGates.
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
	o.peers.notify(ctx, membership.DrainOrdered{Gate: membership.Gate{VM: vm, Version: version, Drained: drain}})
	o.env.Log.Emit(event, eventlog.Fields{Step: "drain VM", Peer: string(vm), Count: int64(version), Detail: operator})
	var orders errgroup.Group
	for _, l := range links {
		orders.Go(func() error {
			return l.orderGate(ctx, &peerpb.OrderRequest{Order: order, Fencing: version, Id: uuid.NewString()})
		})
	}
	return orders.Wait()
}

// linksOf returns the links to the sides on the VM.
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
	return e.writeNextVersion(ctx, "drain VM", side.DrainKey(vm), value)
}

// maxWriteAttempts bounds the attempts while other writers change the same row.
const maxWriteAttempts = 8

// writeNextVersion writes a row by compare-and-swap and returns its new version, which
// no other writer has obtained.
func (e *entry) writeNextVersion(ctx context.Context, step, key string, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	for range maxWriteAttempts {
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
	return 0, structs.Refusalf(structs.CodeConflict, structs.OutcomeNotRun, step, "row %q was changed by others %d times meanwhile", key, maxWriteAttempts)
}

// OrderUpstream implements command.Orderer. It obtains the next fencing number of the
// upstream and sends the order to the upstream's side.
func (o operators) OrderUpstream(ctx context.Context, upstream structs.UpstreamID, order, argument, operator string) error {
	l, ok := o.links[upstream]
	if !ok {
		return structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, "order", "upstream %q does not exist", upstream)
	}
	fence, err := o.writeNextVersion(ctx, "order", hold.FenceKey(upstream), []byte(operator))
	if err != nil {
		return err
	}
	return l.orderEngine(ctx, &peerpb.OrderRequest{Order: order, Argument: argument, Fencing: fence, Id: uuid.NewString()})
}

// orderGate sends the side a drain, undrain or leave order and waits until it has been
// carried out. Orders for the engine go through orderEngine.
func (l *sideLink) orderGate(ctx context.Context, req *peerpb.OrderRequest) error {
	ctx, cancel := context.WithTimeout(ctx, gateOrderTimeout)
	defer cancel()
	_, err := l.client.Order(ctx, req)
	return peer.FromStatus(err, "order "+req.GetOrder(), string(l.upstream))
}

// setGate makes the router stop or resume sending new work to a VM's upstreams.
func (e *entry) setGate(_ context.Context, change gateChange) error {
	e.router.setGate(change.VM, change.Closed)
	return nil
}

// closeSideGates orders the sides of a VM that takes no new work to close their gates.
// Every entry sends the order, so that a side receives it as long as one of them reaches
// it. It sends nothing when the gate opens.
func (e *entry) closeSideGates(ctx context.Context, change gateChange) error {
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
			return l.orderGate(ctx, &peerpb.OrderRequest{Order: order, Fencing: gate.Version, Id: uuid.NewString()})
		})
	}
	return orders.Wait()
}

// gateOrderTimeout bounds an order to a side to close or open its gate. Orders that load a
// model have the longer engineOrderTimeout.
const gateOrderTimeout = 4 * platformTimeout
