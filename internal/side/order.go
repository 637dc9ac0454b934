package side

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/hold"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Orders that open or close the gate of a side.
const (
	// OrderDrain closes the gate and OrderUndrain opens it, both on behalf of an operator.
	OrderDrain   = "drain"
	OrderUndrain = "undrain"
	// OrderLeave closes the gate permanently because the platform lists the VM as leaving.
	OrderLeave = "leave"
)

// Order implements the Upstream service.
func (s *Server) Order(ctx context.Context, req *peerpb.OrderRequest) (*peerpb.OrderReply, error) {
	s.RecordContact()
	var err error
	switch req.GetOrder() {
	case OrderDrain:
		err = s.operatorDrain(req.GetFencing(), true)
	case OrderUndrain:
		err = s.operatorDrain(req.GetFencing(), false)
	case OrderLeave:
		s.MarkLeaving()
	case orderLoadModel, orderRole:
		err = s.orderEngine(ctx, req)
	default:
		err = structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "order", "order %q is not known", req.GetOrder())
	}
	if err != nil {
		return nil, s.status(err)
	}
	s.broadcastLoad()
	return &peerpb.OrderReply{Load: peer.LoadToPB(s.load())}, nil
}

// orderEngine passes an order to the engine after its fencing number has been checked.
func (s *Server) orderEngine(ctx context.Context, req *peerpb.OrderRequest) error {
	if s.holds == nil {
		return structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "order",
			"upstream %q is an application engine and takes no order %q", s.cfg.Upstream, req.GetOrder())
	}
	return s.holds.order(ctx, s.ctx, hold.Order{
		ID:         req.GetId(),
		OrderFence: req.GetFencing(),
		Kind:       req.GetOrder(),
		Body:       []byte(req.GetArgument()),
	})
}

// operatorDrain applies a drain order of an operator to the gate.
func (s *Server) operatorDrain(version uint64, drain bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.ApplyOrder(version, drain)
}

// DrainRow is the value of a VM's drain row. The version of the row orders its changes.
type DrainRow struct {
	Drained  bool   `json:"drained"`
	Operator string `json:"operator"`
}

// DrainKey returns the key of the row that records whether operators drain the VM.
func DrainKey(vm structs.VMID) string { return "drain/" + string(vm) }

// drainRetryInterval is the time between two attempts to read the drain row.
const drainRetryInterval = time.Second

// readDrain reads the VM's drain row once after the start, so that a restart of the
// side does not end a drain. Later changes arrive as orders.
func (s *Server) readDrain(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.readDrainOnce(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(drainRetryInterval):
		}
	}
	return nil
}

// readDrainOnce makes one attempt to read and apply the drain row. It reports whether
// readDrain is done.
func (s *Server) readDrainOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	row, err := s.cfg.Table.Get(ctx, DrainKey(s.cfg.VM))
	if errors.Is(err, platform.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	var drained DrainRow
	if err := json.Unmarshal(row.Value, &drained); err != nil {
		return true // a row that cannot be decoded does not drain the VM
	}
	_ = s.operatorDrain(uint64(row.Version), drained.Drained) // fails only if a newer order has arrived meanwhile
	s.broadcastLoad()
	return true
}
