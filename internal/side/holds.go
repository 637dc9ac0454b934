package side

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/hold"
	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// holdDriver is the driver of the hold machine: it passes messages to the machine and
// carries out its effects. The machine decides on leases on KV cache and on fenced orders.
type holdDriver struct {
	model  ModelEngine
	table  platform.Table
	logger *eventlog.Logger

	mu      sync.Mutex
	machine *hold.Machine
	// orders holds, by order id, the channel for the result of each order that the machine
	// has not ended yet.
	orders map[string]chan *structs.Refusal
	// requests counts the running requests to the engine and the platform.
	requests sync.WaitGroup
}

// ticksPerLease is the number of ticks of the machine in one lease time.
const ticksPerLease = 4

// newHoldDriver returns a driver of a new hold machine.
func newHoldDriver(cfg hold.Config, model ModelEngine, table platform.Table, log *eventlog.Logger) *holdDriver {
	return &holdDriver{
		model:   model,
		table:   table,
		logger:  log,
		machine: hold.New(cfg, time.Now()),
		orders:  map[string]chan *structs.Refusal{},
	}
}

// run sends the machine its ticks until ctx ends, and then waits for running requests.
func (h *holdDriver) run(ctx context.Context, lease time.Duration) error {
	defer h.requests.Wait()
	return every(ctx, lease/ticksPerLease, func(ctx context.Context) { h.step(ctx, hold.Tick{}) })
}

// tokens returns the number of tokens of KV cache held.
func (h *holdDriver) tokens() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.HeldTokens()
}

// step passes a message to the machine and carries out the effects.
func (h *holdDriver) step(ctx context.Context, msg hold.Message) {
	h.mu.Lock()
	effects := h.machine.Step(time.Now(), msg)
	h.mu.Unlock()
	for _, effect := range effects {
		h.carryOut(ctx, effect)
	}
}

// carryOut carries out one effect. Effects that need a request run it in a goroutine.
func (h *holdDriver) carryOut(ctx context.Context, effect hold.Effect) {
	switch e := effect.(type) {
	case hold.AcquireAtEngine:
		h.request(ctx, func(ctx context.Context) hold.Message {
			_, err := h.model.Hold(ctx, e.Program)
			return hold.EngineAnswered{RequestID: e.RequestID, Failed: err != nil}
		})
	case hold.ReleaseAtEngine:
		h.request(ctx, func(ctx context.Context) hold.Message {
			err := h.model.Release(ctx, e.Program)
			return hold.EngineAnswered{RequestID: e.RequestID, Failed: err != nil}
		})
	case hold.ListHolds:
		h.request(ctx, func(ctx context.Context) hold.Message { return h.list(ctx, e) })
	case hold.ReadFence:
		h.request(ctx, func(ctx context.Context) hold.Message { return h.readFence(ctx, e) })
	case hold.SendOrder:
		h.requestWithin(ctx, orderTimeout, func(ctx context.Context) hold.Message { return h.sendOrder(ctx, e.Order) })
	case hold.OrderExecuted:
		h.finishOrder(e.ID, nil)
	case hold.OrderRefused:
		h.finishOrder(e.ID, e.Refusal)
	default:
		h.logEffect(e)
	}
}

// logEffect logs an effect that only reports a change.
func (h *holdDriver) logEffect(effect hold.Effect) {
	switch e := effect.(type) {
	case hold.Granted:
		h.logger.Emit(eventlog.HoldGranted, eventlog.Fields{Step: "hold", Program: e.Program, Took: e.For})
	case hold.Denied:
		h.logger.Emit(eventlog.HoldRefused, eventlog.Fields{Step: "hold", Program: e.Program, Err: e.Refusal})
	case hold.Expired:
		h.logger.Emit(eventlog.HoldExpired, eventlog.Fields{Step: "hold", Program: e.Program, Peer: string(e.HomeLog)})
	case hold.Lost:
		h.logger.Emit(eventlog.HoldExpired, eventlog.Fields{Step: "hold", Program: e.Program, Detail: "the engine lost the cache"})
	case hold.Reclaimed:
		h.logger.Emit(eventlog.HoldReclaimed, eventlog.Fields{Step: "hold", Program: e.Program})
	}
}

// request runs one request to the engine or the platform in a goroutine, and passes
// its result to the machine.
func (h *holdDriver) request(ctx context.Context, f func(context.Context) hold.Message) {
	h.requestWithin(ctx, controlTimeout, f)
}

// requestWithin is like request, with limit instead of controlTimeout.
func (h *holdDriver) requestWithin(ctx context.Context, limit time.Duration, f func(context.Context) hold.Message) {
	h.requests.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		result := f(bounded)
		if ctx.Err() == nil {
			h.step(ctx, result)
		}
	})
}

// list reads the holds at the engine.
func (h *holdDriver) list(ctx context.Context, e hold.ListHolds) hold.Message {
	holds, err := h.model.Holds(ctx)
	if err != nil {
		return hold.EngineList{RequestID: e.RequestID, Failed: true}
	}
	list := hold.EngineList{RequestID: e.RequestID}
	for _, held := range holds {
		list.Holds = append(list.Holds, hold.EngineHold{Program: held.Program, Tokens: held.Tokens})
	}
	return list
}

// readFence reads the row of the platform's store whose version is the fencing number. The
// number is 0 if the row does not exist or the side has no platform.
func (h *holdDriver) readFence(ctx context.Context, e hold.ReadFence) hold.Message {
	if h.table == nil {
		return hold.FenceRead{}
	}
	row, err := h.table.Get(ctx, e.Key)
	if errors.Is(err, platform.ErrNotFound) {
		return hold.FenceRead{}
	}
	if err != nil {
		return hold.FenceRead{Failed: true}
	}
	return hold.FenceRead{Fence: uint64(row.Version)}
}

// Kinds of orders to a model engine.
const (
	orderLoadModel = "load_model"
	orderRole      = "role"
)

// sendOrder sends an order to the engine and returns the result.
func (h *holdDriver) sendOrder(ctx context.Context, o hold.Order) hold.Message {
	var err error
	switch o.Kind {
	case orderLoadModel:
		err = h.model.LoadModel(ctx, engine.LoadModelOrder{Model: string(o.Body), Fence: o.OrderFence})
	case orderRole:
		err = h.model.SetRole(ctx, engine.RoleOrder{Role: string(o.Body), Fence: o.OrderFence})
	}
	return hold.OrderDone{ID: o.ID, Refusal: structs.AsRefusal(err)}
}

// finishOrder logs the end of an order and passes its result to the goroutine that
// waits for it. r is the refusal, or nil if the engine executed the order.
func (h *holdDriver) finishOrder(id string, r *structs.Refusal) {
	event := eventlog.OrderForwarded
	if r != nil {
		event = eventlog.OrderRefused
	}
	h.logger.Emit(event, eventlog.Fields{Step: "order", Detail: id})
	h.mu.Lock()
	defer h.mu.Unlock()
	if result := h.orders[id]; result != nil {
		result <- r
		delete(h.orders, id)
	}
}

// order sends a fenced order to the engine and waits for its end. If ctx ends first, order
// returns, but the order continues under serverCtx: the engine may still execute it.
func (h *holdDriver) order(ctx, serverCtx context.Context, o hold.Order) error {
	result := make(chan *structs.Refusal, 1)
	h.mu.Lock()
	h.orders[o.ID] = result
	h.mu.Unlock()
	h.step(serverCtx, o)
	select {
	case r := <-result:
		if r != nil {
			return r
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// renew passes the releases, grants and renewals of a home to the machine, in this order,
// and returns the result of the renewals.
func (h *holdDriver) renew(ctx context.Context, req *peerpb.RenewRequest) *peerpb.RenewReply {
	log := structs.LogID(req.GetLog())
	for _, r := range req.GetReleases() {
		h.step(ctx, hold.Release{Program: structs.ProgramID(r.GetProgram()), Fence: r.GetFence()})
	}
	for _, g := range req.GetGrants() {
		h.step(ctx, hold.Hold{Program: structs.ProgramID(g.GetProgram()), HomeLog: log, Fence: g.GetFence(), Tokens: g.GetTokens()})
	}
	if len(req.GetRenewals()) == 0 {
		return &peerpb.RenewReply{}
	}
	renewal := hold.Renew{HomeLog: log}
	for _, r := range req.GetRenewals() {
		renewal.Programs = append(renewal.Programs, hold.Renewal{
			Program: structs.ProgramID(r.GetProgram()),
			Fence:   r.GetFence(),
			Tokens:  r.GetTokens(),
		})
	}
	result := h.stepRenewal(ctx, renewal)
	return &peerpb.RenewReply{
		Held:    programStrings(result.Held),
		NotHeld: programStrings(result.NotHeld),
		Fenced:  programStrings(result.Fenced),
	}
}

// stepRenewal passes a renewal to the machine and returns the Renewed effect that
// answers it.
func (h *holdDriver) stepRenewal(ctx context.Context, renewal hold.Renew) hold.Renewed {
	h.mu.Lock()
	effects := h.machine.Step(time.Now(), renewal)
	h.mu.Unlock()
	var result hold.Renewed
	for _, effect := range effects {
		if renewed, ok := effect.(hold.Renewed); ok {
			result = renewed
			continue
		}
		h.carryOut(ctx, effect)
	}
	return result
}

// programStrings converts program ids to strings.
func programStrings(ids []structs.ProgramID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return out
}

// Renew implements the Upstream service.
func (s *Server) Renew(_ context.Context, req *peerpb.RenewRequest) (*peerpb.RenewReply, error) {
	if s.holds == nil {
		return nil, s.status(structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "hold",
			"upstream %q is an application engine and holds no cache", s.cfg.Upstream))
	}
	s.RecordContact()
	return s.holds.renew(s.ctx, req), nil
}
