package side

import (
	"context"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/structs"
)

// attempt names one attempt of a call.
type attempt struct {
	call   structs.CallID
	number uint32
}

// ticket is one call that waits for its turn at the upstream.
type ticket struct {
	// started is closed when the call may run.
	started chan struct{}
	// expired is closed when the call's deadline passed while it waited.
	expired chan struct{}
}

// dispatcher starts waiting calls in the order of admission.Queue, at most limit
// at once. A call that has to run alone waits until the upstream is empty, and
// nothing starts beside it.
type dispatcher struct {
	mu      sync.Mutex
	now     func() time.Time
	limit   int
	waitMax int

	queue   admission.Queue
	tickets map[attempt]*ticket
	lonely  []*ticket
	running int
	alone   bool

	// serviceTime is the smoothed time that a call runs.
	serviceTime time.Duration
}

// smoothing is the weight of the newest service time.
const smoothing = 0.1

// firstServiceTime stands in until a call has been measured.
const firstServiceTime = 500 * time.Millisecond

func newDispatcher(now func() time.Time, limit, waitMax int) *dispatcher {
	return &dispatcher{
		now:         now,
		limit:       limit,
		waitMax:     waitMax,
		tickets:     map[attempt]*ticket{},
		serviceTime: firstServiceTime,
	}
}

// run waits until the call may start, calls f, and lets the next one start.
// A refusal says not run: f was not called.
func (d *dispatcher) run(ctx context.Context, w admission.WaitingCall, alone bool, f func() error) error {
	t, err := d.enqueue(w, alone)
	if err != nil {
		return err
	}
	if err := d.wait(ctx, t, w, alone); err != nil {
		return err
	}
	started := d.now()
	defer func() { d.finish(alone, d.now().Sub(started)) }()
	return f()
}

func (d *dispatcher) enqueue(w admission.WaitingCall, alone bool) (*ticket, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	if d.queue.Len()+len(d.lonely) >= d.waitMax {
		return nil, d.overloaded()
	}
	t := &ticket{started: make(chan struct{}), expired: make(chan struct{})}
	if alone {
		d.lonely = append(d.lonely, t)
		d.startNext()
		return t, nil
	}
	key := attempt{w.Call, w.Attempt}
	if !d.queue.Push(d.now(), w) {
		return nil, structs.Refusalf(structs.CodeConflict, structs.OutcomeNotRun, "queue",
			"attempt %d of call %s waits here already", w.Attempt, w.Call)
	}
	d.tickets[key] = t
	d.startNext()
	return t, nil
}

func (d *dispatcher) overloaded() error {
	r := structs.Refusalf(structs.CodeOverloaded, structs.OutcomeNotRun, "queue",
		"%d calls wait, the limit is %d", d.queue.Len()+len(d.lonely), d.waitMax)
	r.RetryAfter = d.drainTime()
	return r
}

// drainTime is the predicted time until the waiting calls have started.
func (d *dispatcher) drainTime() time.Duration {
	waiting := d.queue.Len() + len(d.lonely)
	return d.serviceTime * time.Duration(waiting+1) / time.Duration(d.limit)
}

func (d *dispatcher) wait(ctx context.Context, t *ticket, w admission.WaitingCall, alone bool) error {
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
		if d.withdraw(t, w, alone) {
			return structs.Refusalf(structs.CodeCancelled, structs.OutcomeNotRun, "queue",
				"call %s was withdrawn while it waited: %s", w.Call, ctx.Err())
		}
		return nil
	}
	if !d.withdraw(t, w, alone) {
		return nil
	}
	return structs.Refusalf(structs.CodeDeadlineExceeded, structs.OutcomeNotRun, "queue",
		"call %s was still waiting at its deadline", w.Call)
}

// withdraw takes a waiting call out; false when it has started.
func (d *dispatcher) withdraw(t *ticket, w admission.WaitingCall, alone bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-t.started:
		return false
	default:
	}
	if alone {
		d.withdrawLonely(t)
		d.startNext()
		return true
	}
	d.queue.Remove(w.Call, w.Attempt)
	delete(d.tickets, attempt{w.Call, w.Attempt})
	return true
}

func (d *dispatcher) withdrawLonely(gone *ticket) {
	var kept []*ticket
	for _, t := range d.lonely {
		if t != gone {
			kept = append(kept, t)
		}
	}
	d.lonely = kept
}

func (d *dispatcher) finish(alone bool, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if alone {
		d.alone = false
	}
	d.serviceTime += time.Duration(smoothing * float64(took-d.serviceTime))
	d.expire()
	d.startNext()
}

// expire tells calls whose deadline has passed.
func (d *dispatcher) expire() {
	for _, w := range d.queue.Expire(d.now()) {
		key := attempt{w.Call, w.Attempt}
		close(d.tickets[key].expired)
		delete(d.tickets, key)
	}
}

func (d *dispatcher) startNext() {
	for !d.alone {
		if len(d.lonely) > 0 {
			d.startAlone()
			return
		}
		if d.running >= d.limit {
			return
		}
		w, ok := d.queue.Pop()
		if !ok {
			return
		}
		key := attempt{w.Call, w.Attempt}
		d.running++
		close(d.tickets[key].started)
		delete(d.tickets, key)
	}
}

// startAlone starts the first lonely call once nothing runs.
func (d *dispatcher) startAlone() {
	if d.running > 0 {
		return
	}
	d.alone = true
	d.running++
	close(d.lonely[0].started)
	d.lonely = d.lonely[1:]
}

// depth returns the calls that run, those that wait and the prompt tokens to compute of these.
func (d *dispatcher) depth() (running, waiting int, prefill int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running, d.queue.Len() + len(d.lonely), d.queue.PrefillTokens()
}
