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

// bench runs calls through a dispatcher in virtual time and notes their starts.
type bench struct {
	d *dispatcher

	mu      sync.Mutex
	started []string
	most    int
	running int
}

func (b *bench) call(ctx context.Context, name string, w admission.WaitingCall, alone bool, takes time.Duration) error {
	w.Call = structs.CallID(name)
	return b.d.run(ctx, w, alone, func() error {
		b.mu.Lock()
		b.started = append(b.started, name)
		b.running++
		b.most = max(b.most, b.running)
		b.mu.Unlock()
		time.Sleep(takes)
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
		return nil
	})
}

func TestDispatchLimitOrderAndOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{d: newDispatcher(time.Now, 2, 3)}
		var calls sync.WaitGroup
		// The first calls end apart, so that places free up one after the other.
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
			t.Errorf("a call beyond the limit got %v", err)
		}
		calls.Wait()
		if b.most != 2 {
			t.Errorf("%d calls ran at once, the limit is 2", b.most)
		}
		if light, heavy := slices.Index(b.started, "light"), slices.Index(b.started, "heavy"); light > heavy {
			t.Errorf("the program with less service started later: %v", b.started)
		}
	})
}

func TestDispatchAloneRunsBesideNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{d: newDispatcher(time.Now, 4, 10)}
		var calls sync.WaitGroup
		for i := range 3 {
			calls.Go(func() {
				_ = b.call(context.Background(), fmt.Sprint("before", i), admission.WaitingCall{Turn: 2}, false, time.Second)
			})
		}
		synctest.Wait()
		aloneAt := 0
		calls.Go(func() {
			_ = b.d.run(context.Background(), admission.WaitingCall{Call: "suspect"}, true, func() error {
				b.mu.Lock()
				aloneAt = b.running
				b.mu.Unlock()
				time.Sleep(time.Second / 2)
				b.mu.Lock()
				defer b.mu.Unlock()
				aloneAt += b.running
				return nil
			})
		})
		synctest.Wait()
		for i := range 3 {
			calls.Go(func() {
				_ = b.call(context.Background(), fmt.Sprint("after", i), admission.WaitingCall{Turn: 2}, false, time.Second)
			})
		}
		// The lonely call runs from 1s to 1.5s; this one arrives meanwhile.
		time.Sleep(1200 * time.Millisecond)
		_ = b.call(context.Background(), "meanwhile", admission.WaitingCall{Turn: 2}, false, time.Second)
		calls.Wait()
		if aloneAt != 0 {
			t.Errorf("%d calls ran beside the one that has to run alone", aloneAt)
		}
		if len(b.started) != 7 {
			t.Errorf("calls started: %v", b.started)
		}
	})
}

// A call whose deadline passes, or whose caller leaves, while it waits is refused
// as not run, and it is true: it never starts.
func TestDispatchGivesUpWaitingCallsAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{d: newDispatcher(time.Now, 1, 10)}
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
			t.Errorf("a call past its deadline got %v", err)
		}
		if waited := time.Since(started); waited > time.Second {
			t.Errorf("its final answer came %s after its start, its deadline was after 1s", waited)
		}
		for _, alone := range []bool{false, true} {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err = b.call(ctx, "left", admission.WaitingCall{Turn: 2}, alone, time.Second)
			cancel()
			if !errors.As(err, &r) || r.Code != structs.CodeCancelled || r.Outcome != structs.OutcomeNotRun {
				t.Errorf("a call whose caller left got %v (alone %v)", err, alone)
			}
		}
		calls.Wait()
		if len(b.started) != 1 {
			t.Errorf("calls that were refused as not run started: %v", b.started)
		}
	})
}
