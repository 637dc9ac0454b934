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

// Orders of operators about the gate.
const (
	// OrderDrain closes the gate, OrderUndrain opens it.
	OrderDrain   = "drain"
	OrderUndrain = "undrain"
	// OrderLeave closes the gate for good: the platform lists the VM as leaving.
	OrderLeave = "leave"
)

// Order implements the Upstream service.
func (s *Server) Order(ctx context.Context, req *peerpb.OrderRequest) (*peerpb.OrderReply, error) {
	s.Heard()
	var err error
	switch req.GetOrder() {
	case OrderDrain:
		err = s.operatorDrain(req.GetFencing(), true)
	case OrderUndrain:
		err = s.operatorDrain(req.GetFencing(), false)
	case OrderLeave:
		s.Leaving()
	case orderLoadModel, orderRole:
		err = s.orderEngine(ctx, req)
	default:
		err = structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "order", "order %q is not known", req.GetOrder())
	}
	if err != nil {
		return nil, s.status(err)
	}
	s.announce()
	return &peerpb.OrderReply{Load: peer.LoadToPB(s.load())}, nil
}

// orderEngine passes an order on to the engine once its fencing number is checked.
func (s *Server) orderEngine(ctx context.Context, req *peerpb.OrderRequest) error {
	if s.holds == nil {
		return structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "order",
			"upstream %q is an application engine and takes no order %q", s.cfg.Upstream, req.GetOrder())
	}
	return s.holds.order(ctx, s.life, hold.Order{
		ID:    req.GetId(),
		Fence: req.GetFencing(),
		Kind:  req.GetOrder(),
		Body:  []byte(req.GetArgument()),
	})
}

func (s *Server) operatorDrain(version uint64, drain bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Operator(version, drain)
}

// DrainRow is the value of a drain row. The row's version orders the changes.
type DrainRow struct {
	Drained  bool   `json:"drained"`
	Operator string `json:"operator"`
}

// DrainKey returns the key of the table row that says whether operators drain the VM.
func DrainKey(vm structs.VMID) string { return "drain/" + string(vm) }

// drainRetry is the time between two tries to read the drain row.
const drainRetry = time.Second

// readDrain reads the VM's drain row once after the start, so that a restart does
// not end a drain. Later changes come as orders.
func (s *Server) readDrain(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.tryReadDrain(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(drainRetry):
		}
	}
	return nil
}

func (s *Server) tryReadDrain(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
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
		return true // a row that does not decode drains nothing
	}
	_ = s.operatorDrain(uint64(row.Version), drained.Drained) // a newer order has come meanwhile when this fails
	s.announce()
	return true
}
