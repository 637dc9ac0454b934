package hold

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// orderStep is the name of the step in the refusals of orders.
const orderStep = "order"

// FenceKey returns the key of the row in the platform's table that stores the last fencing
// number issued for orders to the upstream. The sender of an order increases the number by
// compare-and-swap before it sends the order.
func FenceKey(u structs.UpstreamID) string { return "fence/" + string(u) }

// Order is an operator's order to the upstream, such as to load a model or to change its
// role. The answer is OrderExecuted or OrderRefused.
type Order struct {
	// ID identifies the order. The sender may send an order again: while the order runs the
	// repetition is ignored, and after its end the order is sent to the upstream again.
	ID string
	// OrderFence is the fencing number that was issued for the order. The orders to one
	// upstream have a sequence of their own, apart from the fencing numbers of programs.
	OrderFence uint64
	// Kind and Body are passed to the upstream unchanged.
	Kind string
	Body []byte
}

// OrderDone is the upstream's answer to the last SendOrder.
type OrderDone struct {
	ID string
	// Refusal is nil if the upstream executed the order.
	Refusal *structs.Refusal
}

// FenceRead is the answer to ReadFence. Fence is the value of the row with the key FenceKey,
// 0 if there is no row.
type FenceRead struct {
	// Failed reports whether the row could not be read.
	Failed bool
	Fence  uint64
}

// ReadFence requests the row with the key FenceKey of the upstream.
type ReadFence struct{ Key string }

// SendOrder asks the upstream to execute an order.
type SendOrder struct{ Order Order }

// OrderExecuted answers an Order that the upstream executed.
type OrderExecuted struct{ ID string }

// OrderRefused answers an Order that was refused, or whose outcome is unknown.
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

// orders is the state of the orders to one upstream.
type orders struct {
	// fenceKnown reports whether the number in the row has been read, so that fence is at least
	// the highest number that was accepted before the start of the side.
	fenceKnown bool
	// fence is the highest fencing number in the row or of an accepted order. lastID is the ID of
	// the last accepted order, or empty if the side has accepted none since its start.
	fence  uint64
	lastID string
	// readFenceAt is when the row is requested next, while fenceKnown is false.
	readFenceAt time.Time
	// running is the order that was sent, at sentAt, and is not answered; next is the newest
	// order that waits to be sent.
	running *Order
	sentAt  time.Time
	next    *Order
	// quietUntil is the end of the quiet period. After it, the upstream can no longer
	// execute an earlier order with an unknown outcome.
	quietUntil time.Time
}

// tickOrders requests the fencing number after the start until it is read, ends an order
// that the upstream has not answered in time, and sends the next one.
func (m *Machine) tickOrders() {
	o := &m.orders
	if !o.fenceKnown && !m.now.Before(o.readFenceAt) {
		o.readFenceAt = m.now.Add(m.cfg.ReconcileInterval)
		m.emit(ReadFence{Key: FenceKey(m.cfg.Upstream)})
	}
	if o.running != nil && m.now.Sub(o.sentAt) >= m.cfg.OrderTimeout {
		m.orderDone(OrderDone{ID: o.running.ID, Refusal: structs.Refusalf(structs.CodeUpstreamFailed, structs.OutcomeUnknown,
			orderStep, "upstream %q did not answer order %q in %v", m.cfg.Upstream, o.running.ID, m.cfg.OrderTimeout)})
	}
	m.sendNext()
}

func (m *Machine) fenceRead(r FenceRead) {
	if r.Failed {
		return
	}
	m.orders.fenceKnown = true
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

// order checks the fencing number and queues the order. Orders are sent one at a time,
// because an upstream that ignores the numbers could execute two in the wrong sequence.
func (m *Machine) order(in Order) {
	o := &m.orders
	if !o.fenceKnown {
		m.refuseOrder(in.ID, structs.CodeNotReady, "the fencing number of upstream %q has not been read yet", m.cfg.Upstream)
		return
	}
	// After a restart of the side, lastID is empty and fence is the number in the row. An
	// order with this number is the one for which the row was written.
	resent := in.OrderFence == o.fence && (in.ID == o.lastID || o.lastID == "")
	if in.OrderFence == 0 || (in.OrderFence <= o.fence && !resent) {
		m.refuseOrder(in.ID, structs.CodeFenced, "fencing number %d of order %q is not above %d", in.OrderFence, in.ID, o.fence)
		return
	}
	o.fence = in.OrderFence
	o.lastID = in.ID
	if o.running != nil && o.running.ID == in.ID {
		return
	}
	m.enqueue(in)
	m.sendNext()
}

// enqueue makes an order the next one to send. An older order that waits is refused.
func (m *Machine) enqueue(in Order) {
	o := &m.orders
	if o.next != nil && o.next.ID != in.ID {
		m.refuseOrder(o.next.ID, structs.CodeFenced, "order %q with fencing number %d came before it ran", in.ID, in.OrderFence)
	}
	o.next = &in
}

// sendNext sends the waiting order, if no order runs and the quiet period is over.
func (m *Machine) sendNext() {
	o := &m.orders
	if o.next == nil || o.running != nil || m.now.Before(o.quietUntil) {
		return
	}
	o.running = o.next
	o.next = nil
	o.sentAt = m.now
	m.emit(SendOrder{Order: *o.running})
}

// orderDone answers the order that ran and sends the next one, after a quiet period if the
// outcome of this one is unknown.
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
		m.startQuietPeriod()
	}
	m.sendNext()
}

// startQuietPeriod delays the next order until an earlier one with an unknown outcome can no
// longer be executed. An upstream that checks fencing numbers needs no delay: it refuses the
// earlier order after a newer one.
func (m *Machine) startQuietPeriod() {
	if !m.cfg.ChecksFence {
		m.orders.quietUntil = m.now.Add(m.cfg.OrderQuietPeriod)
	}
}
