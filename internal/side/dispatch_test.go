package side

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/structs"
)

// dispatchHarness runs calls through a dispatcher in virtual time and records the
// order of their starts.
type dispatchHarness struct {
	d *dispatcher

	mu         sync.Mutex
	started    []string
	maxRunning int
	running    int
}

// call runs a call that takes the given time.
func (h *dispatchHarness) call(ctx context.Context, name string, w admission.WaitingCall, exclusive bool, takes time.Duration) error {
	w.Call = structs.CallID(name)
	return h.d.run(ctx, w, exclusive, func() error {
		h.mu.Lock()
		h.started = append(h.started, name)
		h.running++
		h.maxRunning = max(h.maxRunning, h.running)
		h.mu.Unlock()
		time.Sleep(takes)
		h.mu.Lock()
		h.running--
		h.mu.Unlock()
		return nil
	})
}

// A dispatcher must not run more calls at once than its limit, has to start the
// program with less service first, and has to refuse calls that the queue cannot hold.
func TestDispatcherLimitAndOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &dispatchHarness{d: newDispatcher(time.Now, 2, 3)}
		var calls sync.WaitGroup
		// The calls take different times, so that they end one after the other.
		takes := time.Second
		run := func(name string, w admission.WaitingCall) {
			took := takes
			takes += time.Second / 4
			calls.Go(func() {
				if err := b.call(context.Background(), name, w, false, took); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			})
			synctest.Wait()
		}
		deadline := time.Now().Add(time.Minute)
		run("first", admission.WaitingCall{Turn: 2})
		run("second", admission.WaitingCall{Turn: 2})
		run("heavy", admission.WaitingCall{Program: "h", Turn: 2, Attained: 100_000, Deadline: deadline})
		run("light", admission.WaitingCall{Program: "l", Turn: 2, Deadline: deadline})
		run("new", admission.WaitingCall{Program: "n", Turn: 1, Deadline: deadline})
		err := b.call(context.Background(), "one too many", admission.WaitingCall{Turn: 2}, false, time.Second)
		var r *structs.Refusal
		if !errors.As(err, &r) || r.Code != structs.CodeOverloaded || r.Outcome != structs.OutcomeNotRun || r.RetryAfter <= 0 {
			t.Errorf("call beyond the queue limit: %v, want it refused as overloaded with a retry time", err)
		}
		calls.Wait()
		if b.maxRunning != 2 {
			t.Errorf("%d calls ran at once, limit 2", b.maxRunning)
		}
		if light, heavy := slices.Index(b.started, "light"), slices.Index(b.started, "heavy"); light > heavy {
			t.Errorf("starts = %v, want the program with less service before the one with more", b.started)
		}
	})
}

// An exclusive call must not run beside any other call, whether that call started
// before it, waited with it, or arrived while it ran.
func TestExclusiveCallRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &dispatchHarness{d: newDispatcher(time.Now, 4, 10)}
		var calls sync.WaitGroup
		for i := range 3 {
			calls.Go(func() {
				_ = b.call(context.Background(), fmt.Sprint("before", i), admission.WaitingCall{Turn: 2}, false, time.Second)
			})
		}
		synctest.Wait()
		concurrent := 0
		calls.Go(func() {
			_ = b.d.run(context.Background(), admission.WaitingCall{Call: "suspect"}, true, func() error {
				b.mu.Lock()
				concurrent = b.running
				b.mu.Unlock()
				time.Sleep(time.Second / 2)
				b.mu.Lock()
				defer b.mu.Unlock()
				concurrent += b.running
				return nil
			})
		})
		synctest.Wait()
		for i := range 3 {
			calls.Go(func() {
				_ = b.call(context.Background(), fmt.Sprint("after", i), admission.WaitingCall{Turn: 2}, false, time.Second)
			})
		}
		// The exclusive call runs from 1s to 1.5s; this one arrives meanwhile.
		time.Sleep(1200 * time.Millisecond)
		_ = b.call(context.Background(), "meanwhile", admission.WaitingCall{Turn: 2}, false, time.Second)
		calls.Wait()
		if concurrent != 0 {
			t.Errorf("%d calls ran beside the exclusive call, want 0", concurrent)
		}
		if len(b.started) != 7 {
			t.Errorf("started calls = %v, want 7", b.started)
		}
	})
}

// A call whose deadline passes, or whose context ends, while it waits is refused as
// not run. It must then really never start, since callers repeat such a call elsewhere.
func TestDispatchRefusesExpiredAndCancelledCallsAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &dispatchHarness{d: newDispatcher(time.Now, 1, 10)}
		var calls sync.WaitGroup
		calls.Go(func() {
			_ = b.call(context.Background(), "long", admission.WaitingCall{Turn: 2}, false, time.Minute)
		})
		synctest.Wait()
		started := time.Now()
		late := admission.WaitingCall{Turn: 2, Deadline: started.Add(time.Second)}
		err := b.call(context.Background(), "late", late, false, time.Second)
		var r *structs.Refusal
		if !errors.As(err, &r) || r.Code != structs.CodeDeadlineExceeded || r.Outcome != structs.OutcomeNotRun {
			t.Errorf("call past its deadline: %v, want deadline_exceeded as not run", err)
		}
		if waited := time.Since(started); waited > time.Second {
			t.Errorf("call with a deadline of 1s was refused only after %s", waited)
		}
		for _, exclusive := range []bool{false, true} {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err = b.call(ctx, "cancelled", admission.WaitingCall{Turn: 2}, exclusive, time.Second)
			cancel()
			if !errors.As(err, &r) || r.Code != structs.CodeCancelled || r.Outcome != structs.OutcomeNotRun {
				t.Errorf("cancelled call: %v, want cancelled as not run (exclusive: %v)", err, exclusive)
			}
		}
		calls.Wait()
		if len(b.started) != 1 {
			t.Errorf("started calls = %v, want only the first: the others were refused as not run", b.started)
		}
	})
}
