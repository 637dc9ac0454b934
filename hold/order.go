package hold

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

const orderStep = "order"

// FenceKey returns the key of the table row that holds the last fencing number given
// out for orders to the upstream. Who gives an order first raises it by compare-and-swap.
func FenceKey(u structs.UpstreamID) string { return "fence/" + string(u) }

// Order is an order to the upstream, such as to load a model or to change its role.
// It is answered by Obeyed or OrderRefused.
type Order struct {
	// ID is unique to the order; the same order may be sent again.
	ID    string
	Fence uint64
	// Kind and Body are passed to the upstream as they are.
	Kind string
	Body []byte
}

// OrderDone is the upstream's answer to the last SendOrder.
type OrderDone struct {
	ID string
	// Refusal is nil when the upstream obeyed.
	Refusal *structs.Refusal
}

// FenceRead is the answer to ReadFence: the value of the row FenceKey, 0 without a row.
type FenceRead struct {
	Failed bool
	Fence  uint64
}

// ReadFence asks for the row FenceKey of the upstream.
type ReadFence struct{ Key string }

// SendOrder passes an order to the upstream.
type SendOrder struct{ Order Order }

// OrderExecuted answers an Order.
type OrderExecuted struct{ ID string }

// OrderRefused answers an Order.
type OrderRefused struct {
	ID      string
	Refusal *structs.Refusal
}

func (Order) isMessage()        {}
func (OrderDone) isMessage()    {}
func (FenceRead) isMessage()    {}
func (ReadFence) isEffect()     {}
func (SendOrder) isEffect()     {}
func (OrderExecuted) isEffect() {}
func (OrderRefused) isEffect()  {}

// orders is the fencing of one upstream's orders.
type orders struct {
	// known says that fence is at least the highest number obeyed before the start.
	known  bool
	fence  uint64
	lastID string
	readAt time.Time
	// running is the order at the upstream; next waits for it.
	running *Order
	sent    time.Time
	next    *Order
	// settled is when an order whose outcome is unknown can no longer be obeyed.
	settled time.Time
}

// tickOrders reads the fencing number after the start, and gives up on an upstream
// that does not answer.
func (m *Machine) tickOrders() {
	o := &m.orders
	if !o.known && !m.now.Before(o.readAt) {
		o.readAt = m.now.Add(m.cfg.ReconcileInterval)
		m.emit(ReadFence{Key: FenceKey(m.cfg.Upstream)})
	}
	if o.running != nil && m.now.Sub(o.sent) >= m.cfg.OrderTimeout {
		m.orderDone(OrderDone{ID: o.running.ID, Refusal: structs.Refusalf(structs.CodeUpstreamFailed, structs.OutcomeUnknown,
			orderStep, "upstream %q did not answer order %q in %v", m.cfg.Upstream, o.running.ID, m.cfg.OrderTimeout)})
	}
	m.sendNext()
}

func (m *Machine) fenceRead(r FenceRead) {
	if r.Failed {
		return
	}
	m.orders.known = true
	m.orders.fence = max(m.orders.fence, r.Fence)
}

func (m *Machine) refuseOrder(id string, code structs.Code, format string, args ...any) {
	r := structs.Refusalf(code, structs.OutcomeNotRun, orderStep, format, args...)
	r.Peer = string(m.cfg.Upstream)
	if code == structs.CodeNotReady {
		r.RetryAfter = m.cfg.ReconcileInterval
	}
	m.emit(OrderRefused{ID: id, Refusal: r})
}

// order checks the fencing number and passes the order on, one at a time: an
// upstream that ignores the numbers could obey two in either order.
func (m *Machine) order(in Order) {
	o := &m.orders
	if !o.known {
		m.refuseOrder(in.ID, structs.CodeNotReady, "the fencing number of upstream %q has not been read yet", m.cfg.Upstream)
		return
	}
	// After a start the row's number may be this very order's.
	again := in.Fence == o.fence && (in.ID == o.lastID || o.lastID == "")
	if in.Fence == 0 || (in.Fence <= o.fence && !again) {
		m.refuseOrder(in.ID, structs.CodeFenced, "fencing number %d of order %q is not above %d", in.Fence, in.ID, o.fence)
		return
	}
	o.fence = in.Fence
	o.lastID = in.ID
	if o.running != nil && o.running.ID == in.ID {
		return
	}
	m.wait(in)
	m.sendNext()
}

// wait keeps an order until the one before it is done; it takes the place of an older one.
func (m *Machine) wait(in Order) {
	o := &m.orders
	if o.next != nil && o.next.ID != in.ID {
		m.refuseOrder(o.next.ID, structs.CodeFenced, "order %q with fencing number %d came before it ran", in.ID, in.Fence)
	}
	o.next = &in
}

// sendNext sends the order that waits, once none runs and the last one is settled.
func (m *Machine) sendNext() {
	o := &m.orders
	if o.next == nil || o.running != nil || m.now.Before(o.settled) {
		return
	}
	o.running = o.next
	o.next = nil
	o.sent = m.now
	m.emit(SendOrder{Order: *o.running})
}

func (m *Machine) orderDone(d OrderDone) {
	o := &m.orders
	if o.running == nil || o.running.ID != d.ID {
		return
	}
	o.running = nil
	if d.Refusal == nil {
		m.emit(OrderExecuted{ID: d.ID})
	} else {
		m.emit(OrderRefused(d))
	}
	if d.Refusal != nil && d.Refusal.Outcome == structs.OutcomeUnknown {
		m.settle()
	}
	m.sendNext()
}

// settle lets an order whose outcome is unknown run out, unless the upstream itself
// refuses it after a newer one.
func (m *Machine) settle() {
	if !m.cfg.ChecksFence {
		m.orders.settled = m.now.Add(m.cfg.OrderQuietPeriod)
	}
}
