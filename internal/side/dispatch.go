package side

import (
	"context"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/structs"
)

// attemptKey identifies one attempt of a call.
type attemptKey struct {
	call   structs.CallID
	number uint32
}

// ticket is the state of one call that waits to start.
type ticket struct {
	// started is closed when the call may run.
	started chan struct{}
	// expired is closed when the call's deadline passes before it starts.
	expired chan struct{}
}

// dispatcher starts waiting calls in the order of admission.Queue and runs up to limit
// of them concurrently. An exclusive call runs alone: it starts once no call runs, and no
// other call starts until it has ended. An entry requests this with Alone in its request,
// for example for a call suspected of crashing the engine.
type dispatcher struct {
	mu         sync.Mutex
	now        func() time.Time
	limit      int
	queueLimit int

	queue admission.Queue
	// tickets holds the tickets of the calls in queue.
	tickets map[attemptKey]*ticket
	// exclusive holds the tickets of the waiting exclusive calls, oldest first. Their
	// expired channels are not used.
	exclusive []*ticket
	running   int
	// runningExclusive reports whether the call that runs is an exclusive one. Then running is 1.
	runningExclusive bool

	// serviceTime is the moving average of the time that a call runs.
	serviceTime time.Duration
}

// serviceTimeWeight is the weight of the newest value in the average service time.
const serviceTimeWeight = 0.1

// initialServiceTime is the initial value of the average service time.
const initialServiceTime = 500 * time.Millisecond

// newDispatcher returns a dispatcher that runs up to limit calls concurrently and
// queues up to queueLimit more.
func newDispatcher(now func() time.Time, limit, queueLimit int) *dispatcher {
	return &dispatcher{
		now:         now,
		limit:       limit,
		queueLimit:  queueLimit,
		tickets:     map[attemptKey]*ticket{},
		serviceTime: initialServiceTime,
	}
}

// run waits until the call may start, calls f, and then lets the next call start. A
// refusal by the dispatcher itself has outcome not run: f was not called.
func (d *dispatcher) run(ctx context.Context, w admission.WaitingCall, exclusive bool, f func() error) error {
	t, err := d.enqueue(w, exclusive)
	if err != nil {
		return err
	}
	if err := d.wait(ctx, t, w, exclusive); err != nil {
		return err
	}
	started := d.now()
	defer func() { d.finish(exclusive, d.now().Sub(started)) }()
	return f()
}

// enqueue adds a call to the waiting calls, or refuses it when the queue is full.
func (d *dispatcher) enqueue(w admission.WaitingCall, exclusive bool) (*ticket, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	if d.queue.Len()+len(d.exclusive) >= d.queueLimit {
		return nil, d.queueFullError()
	}
	t := &ticket{started: make(chan struct{}), expired: make(chan struct{})}
	if exclusive {
		d.exclusive = append(d.exclusive, t)
		d.startNext()
		return t, nil
	}
	key := attemptKey{w.Call, w.Attempt}
	if !d.queue.Push(d.now(), w) {
		return nil, structs.Refusalf(structs.CodeConflict, structs.OutcomeNotRun, "queue",
			"attempt %d of call %s waits here already", w.Attempt, w.Call)
	}
	d.tickets[key] = t
	d.startNext()
	return t, nil
}

// queueFullError returns the refusal of a call for which the queue has no room.
func (d *dispatcher) queueFullError() error {
	r := structs.Refusalf(structs.CodeOverloaded, structs.OutcomeNotRun, "queue",
		"%d calls wait, the limit is %d", d.queue.Len()+len(d.exclusive), d.queueLimit)
	r.RetryAfter = d.estimatedWait()
	return r
}

// estimatedWait returns the estimated time until a call that arrives now would start.
func (d *dispatcher) estimatedWait() time.Duration {
	waiting := d.queue.Len() + len(d.exclusive)
	return d.serviceTime * time.Duration(waiting+1) / time.Duration(d.limit)
}

// wait returns nil once the call may start. It returns a refusal if the deadline
// passes or ctx ends before that.
func (d *dispatcher) wait(ctx context.Context, t *ticket, w admission.WaitingCall, exclusive bool) error {
	var deadline <-chan time.Time
	if !w.Deadline.IsZero() {
		timer := time.NewTimer(w.Deadline.Sub(d.now()))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case <-t.started:
		return nil
	case <-t.expired:
	case <-deadline:
	case <-ctx.Done():
		if d.withdraw(t, w, exclusive) {
			return structs.Refusalf(structs.CodeCancelled, structs.OutcomeNotRun, "queue",
				"call %s was withdrawn while it waited: %s", w.Call, ctx.Err())
		}
		return nil
	}
	if !d.withdraw(t, w, exclusive) {
		return nil
	}
	return structs.Refusalf(structs.CodeDeadlineExceeded, structs.OutcomeNotRun, "queue",
		"call %s was still waiting at its deadline", w.Call)
}

// withdraw removes a waiting call. It returns false if the call has already started.
func (d *dispatcher) withdraw(t *ticket, w admission.WaitingCall, exclusive bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-t.started:
		return false
	default:
	}
	if exclusive {
		d.withdrawExclusive(t)
		d.startNext()
		return true
	}
	d.queue.Remove(w.Call, w.Attempt)
	delete(d.tickets, attemptKey{w.Call, w.Attempt})
	return true
}

// withdrawExclusive removes a waiting exclusive call.
func (d *dispatcher) withdrawExclusive(removed *ticket) {
	var rest []*ticket
	for _, t := range d.exclusive {
		if t != removed {
			rest = append(rest, t)
		}
	}
	d.exclusive = rest
}

// finish records the end of a call that ran for took, and starts the next ones.
func (d *dispatcher) finish(exclusive bool, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if exclusive {
		d.runningExclusive = false
	}
	d.serviceTime += time.Duration(serviceTimeWeight * float64(took-d.serviceTime))
	d.expire()
	d.startNext()
}

// expire removes the calls in queue whose deadline has passed and wakes their goroutines.
// It leaves out exclusive calls: only their timers in wait end them. The caller holds d.mu.
func (d *dispatcher) expire() {
	for _, w := range d.queue.Expire(d.now()) {
		key := attemptKey{w.Call, w.Attempt}
		close(d.tickets[key].expired)
		delete(d.tickets, key)
	}
}

// startNext starts waiting calls while the limit allows it. Exclusive calls go first: while
// one waits, no other call starts. The caller holds d.mu.
func (d *dispatcher) startNext() {
	for !d.runningExclusive {
		if len(d.exclusive) > 0 {
			d.startExclusive()
			return
		}
		if d.running >= d.limit {
			return
		}
		w, ok := d.queue.Pop()
		if !ok {
			return
		}
		key := attemptKey{w.Call, w.Attempt}
		d.running++
		close(d.tickets[key].started)
		delete(d.tickets, key)
	}
}

// startExclusive starts the oldest exclusive call if no other call runs. The caller holds
// d.mu.
func (d *dispatcher) startExclusive() {
	if d.running > 0 {
		return
	}
	d.runningExclusive = true
	d.running++
	close(d.exclusive[0].started)
	d.exclusive = d.exclusive[1:]
}

// depth returns the number of running calls, the number of waiting calls, and the
// prompt tokens that the waiting calls still have to compute.
func (d *dispatcher) depth() (running, waiting int, prefill int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running, d.queue.Len() + len(d.exclusive), d.queue.PrefillTokens()
}
