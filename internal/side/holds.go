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

// holds is the duty of the leases on KV cache and of the fenced orders.
type holds struct {
	model ModelEngine
	table platform.Table
	log   *eventlog.Logger

	mu      sync.Mutex
	machine *hold.Machine
	orders  map[string]chan *structs.Refusal
	work    sync.WaitGroup
}

// holdTicks is the number of ticks in one lease time.
const holdTicks = 4

func newHolds(cfg hold.Config, model ModelEngine, table platform.Table, log *eventlog.Logger) *holds {
	return &holds{
		model:   model,
		table:   table,
		log:     log,
		machine: hold.New(cfg, time.Now()),
		orders:  map[string]chan *structs.Refusal{},
	}
}

// run lets time pass for the leases until ctx ends.
func (h *holds) run(ctx context.Context, lease time.Duration) error {
	defer h.work.Wait()
	return every(ctx, lease/holdTicks, func(ctx context.Context) { h.step(ctx, hold.Tick{}) })
}

// tokens returns the tokens held.
func (h *holds) tokens() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.HeldTokens()
}

// step gives the machine a message and carries out the effects.
func (h *holds) step(ctx context.Context, msg hold.Message) {
	h.mu.Lock()
	effects := h.machine.Step(time.Now(), msg)
	h.mu.Unlock()
	for _, effect := range effects {
		h.carryOut(ctx, effect)
	}
}

func (h *holds) carryOut(ctx context.Context, effect hold.Effect) {
	switch e := effect.(type) {
	case hold.AcquireAtEngine:
		h.ask(ctx, func(ctx context.Context) hold.Message {
			_, err := h.model.Hold(ctx, e.Program)
			return hold.EngineAnswered{RequestID: e.RequestID, Failed: err != nil}
		})
	case hold.ReleaseAtEngine:
		h.ask(ctx, func(ctx context.Context) hold.Message {
			err := h.model.Release(ctx, e.Program)
			return hold.EngineAnswered{RequestID: e.RequestID, Failed: err != nil}
		})
	case hold.ListHolds:
		h.ask(ctx, func(ctx context.Context) hold.Message { return h.list(ctx, e) })
	case hold.ReadFence:
		h.ask(ctx, func(ctx context.Context) hold.Message { return h.readFence(ctx, e) })
	case hold.SendOrder:
		h.askWithin(ctx, orderTimeout, func(ctx context.Context) hold.Message { return h.sendOrder(ctx, e.Order) })
	case hold.OrderExecuted:
		h.orderEnded(e.ID, nil)
	case hold.OrderRefused:
		h.orderEnded(e.ID, e.Refusal)
	default:
		h.tell(e)
	}
}

// tell logs the effects that only inform.
func (h *holds) tell(effect hold.Effect) {
	switch e := effect.(type) {
	case hold.Granted:
		h.log.Emit(eventlog.HoldGranted, eventlog.Fields{Step: "hold", Program: e.Program, Took: e.For})
	case hold.Denied:
		h.log.Emit(eventlog.HoldRefused, eventlog.Fields{Step: "hold", Program: e.Program, Err: e.Refusal})
	case hold.Expired:
		h.log.Emit(eventlog.HoldExpired, eventlog.Fields{Step: "hold", Program: e.Program, Peer: string(e.Home)})
	case hold.Lost:
		h.log.Emit(eventlog.HoldExpired, eventlog.Fields{Step: "hold", Program: e.Program, Detail: "the engine lost the cache"})
	case hold.Reclaimed:
		h.log.Emit(eventlog.HoldReclaimed, eventlog.Fields{Step: "hold", Program: e.Program})
	}
}

// ask carries out one request to the engine or the platform and steps its answer.
func (h *holds) ask(ctx context.Context, request func(context.Context) hold.Message) {
	h.askWithin(ctx, engineTimeout, request)
}

// askWithin is ask with a bound of its own.
func (h *holds) askWithin(ctx context.Context, limit time.Duration, request func(context.Context) hold.Message) {
	h.work.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		answer := request(bounded)
		if ctx.Err() == nil {
			h.step(ctx, answer)
		}
	})
}

func (h *holds) list(ctx context.Context, e hold.ListHolds) hold.Message {
	held, err := h.model.Holds(ctx)
	if err != nil {
		return hold.EngineList{RequestID: e.RequestID, Failed: true}
	}
	list := hold.EngineList{RequestID: e.RequestID}
	for _, line := range held {
		list.Holds = append(list.Holds, hold.EngineHold{Program: line.Program, Tokens: line.Tokens})
	}
	return list
}

func (h *holds) readFence(ctx context.Context, e hold.ReadFence) hold.Message {
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

func (h *holds) sendOrder(ctx context.Context, o hold.Order) hold.Message {
	var err error
	switch o.Kind {
	case orderLoadModel:
		err = h.model.LoadModel(ctx, engine.LoadModelOrder{Model: string(o.Body), Fence: o.Fence})
	case orderRole:
		err = h.model.SetRole(ctx, engine.RoleOrder{Role: string(o.Body), Fence: o.Fence})
	}
	return hold.OrderDone{ID: o.ID, Refusal: structs.AsRefusal(err)}
}

func (h *holds) orderEnded(id string, r *structs.Refusal) {
	event := eventlog.OrderForwarded
	if r != nil {
		event = eventlog.OrderFenced
	}
	h.log.Emit(event, eventlog.Fields{Step: "order", Detail: id})
	h.mu.Lock()
	defer h.mu.Unlock()
	if waiting := h.orders[id]; waiting != nil {
		waiting <- r
		delete(h.orders, id)
	}
}

// order passes a fenced order to the engine and waits for its end. The order goes on
// within life when the wait ends with ctx: the engine may obey it all the same.
func (h *holds) order(ctx, life context.Context, o hold.Order) error {
	ended := make(chan *structs.Refusal, 1)
	h.mu.Lock()
	h.orders[o.ID] = ended
	h.mu.Unlock()
	h.step(life, o)
	select {
	case r := <-ended:
		if r != nil {
			return r
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// renew steps what a home says of its holds and returns the answer.
func (h *holds) renew(ctx context.Context, req *peerpb.RenewRequest) *peerpb.RenewReply {
	log := structs.LogID(req.GetLog())
	for _, r := range req.GetReleases() {
		h.step(ctx, hold.Release{Program: structs.ProgramID(r.GetProgram()), Fence: r.GetFence()})
	}
	for _, g := range req.GetGrants() {
		h.step(ctx, hold.Hold{Program: structs.ProgramID(g.GetProgram()), Home: log, Fence: g.GetFence(), Tokens: g.GetTokens()})
	}
	if len(req.GetRenewals()) == 0 {
		return &peerpb.RenewReply{}
	}
	renewal := hold.Renew{Home: log}
	for _, r := range req.GetRenewals() {
		renewal.Programs = append(renewal.Programs, hold.Renewal{
			Program: structs.ProgramID(r.GetProgram()),
			Fence:   r.GetFence(),
			Tokens:  r.GetTokens(),
		})
	}
	answer := h.stepRenewal(ctx, renewal)
	return &peerpb.RenewReply{
		Held:    texts(answer.Held),
		NotHeld: texts(answer.NotHeld),
		Fenced:  texts(answer.Fenced),
	}
}

// stepRenewal returns the Renewed that answers the renewal.
func (h *holds) stepRenewal(ctx context.Context, renewal hold.Renew) hold.Renewed {
	h.mu.Lock()
	effects := h.machine.Step(time.Now(), renewal)
	h.mu.Unlock()
	var answer hold.Renewed
	for _, effect := range effects {
		if renewed, ok := effect.(hold.Renewed); ok {
			answer = renewed
			continue
		}
		h.carryOut(ctx, effect)
	}
	return answer
}

func texts(ids []structs.ProgramID) []string {
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
	s.Heard()
	return s.holds.renew(s.life, req), nil
}
