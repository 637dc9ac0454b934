package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of case 9: the bound of the site file, the step of the clock, and how long the engine runs before it crashes
// and is away.
const (
	drainBound  = 2 * time.Second
	clockStep   = 2 * time.Second
	upBefore    = 1200 * time.Millisecond
	awayFor     = 500 * time.Millisecond
	servesAfter = drainBound + 3*time.Second
)

// earlierBorn has an engine crash and start again under its id after the clock of its machine was stepped back, and later
// report that it drains.
func earlierBorn(w *world) (bool, error) {
	var first *engine
	start := func(id, address string, clock time.Duration) (*engine, error) {
		return startEngine(&engine{id: id, service: appService, version: "v1", address: address, store: w.store, arrivals: w.arrivals}, clock)
	}
	err := w.startAll(2, func() error {
		w.store.writeDocument(
			route{Name: "read", Prefix: "/read/", Kind: "safe", TimeoutMs: 1200, TargetMs: 150, Priority: 2, Service: appService, Attempts: 2},
			route{Name: "publish", Prefix: "/publish/", Kind: "unsafe", TimeoutMs: 3000, TargetMs: 500, Priority: 2, Service: appService, Attempts: 1},
		)
		for i := range 3 {
			if _, err := start(fmt.Sprintf("i-app-%d", i), "127.0.0.1:0", 0); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var requests sync.WaitGroup
	var lost lostActions
	for i := range 48 {
		requests.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				at := w.entries[n%len(w.entries)]
				if i%4 > 0 {
					a := send(at.callers, "GET", fmt.Sprintf("/read/%d", n), "", nil, 1200*time.Millisecond, nil)
					w.rec.note("safe request %s at %s: status %d, whole %v, %v", a.id, at.name, a.status, a.whole, a.err)
					continue
				}
				a := send(at.callers, "POST", fmt.Sprintf("/publish/%d", n), "an unsafe action", nil, 3*time.Second, nil)
				w.rec.note("unsafe request %s at %s: status %d, whole %v, %v", a.id, at.name, a.status, a.whole, a.err)
				lost.add(a)
			}
		})
	}
	defer func() {
		close(stop)
		requests.Wait()
	}()
	time.Sleep(time.Second)
	const id = "i-app-again"
	if first, err = start(id, "127.0.0.1:0", 0); err != nil {
		return false, err
	}
	w.rec.note("%s has started, born %d", id, first.born)
	time.Sleep(upBefore)
	first.crash()
	w.rec.note("%s has crashed", id)
	time.Sleep(awayFor)
	clock := time.Duration(0)
	if w.trouble {
		clock = -clockStep
		w.rec.note("the time of day on the machine of %s has stepped back by %v", id, clockStep)
	}
	again, err := start(id, first.address, clock)
	if err != nil {
		return false, err
	}
	w.rec.note("%s has started again, born %d", id, again.born)
	// No other disturbance from here on: for contact-ms (3 s) and longer the machines are in touch.
	time.Sleep(20 * time.Second)
	acked := again.register("draining")
	w.rec.note("%s reports that it drains, and the store has acknowledged it", id)
	time.Sleep(servesAfter)
	late := 0
	for _, x := range w.arrivals.all() {
		if x.engine == id && x.born == again.born && x.at.After(acked.Add(drainBound)) {
			late++
		}
	}
	before, since := 0, 0
	for _, x := range w.arrivals.all() {
		switch {
		case x.engine != id || x.born != again.born:
		case x.at.After(acked):
			since++
		default:
			before++
		}
	}
	again.crash() // it exits, after drain-ms and some seconds
	w.rec.note("%s has exited", id)
	time.Sleep(500 * time.Millisecond)
	w.rec.note("unsafe requests since the ack that ended without an answer of an engine: %d", lost.since(acked))
	w.rec.note("requests that have reached %s: %d before the ack, %d since, %d of them later than %v", id, before, since, late, drainBound)
	return late > 0, nil
}

// lostActions are the unsafe requests that ended without the answer of an engine and without a promise that they don't run.
type lostActions struct {
	mu sync.Mutex
	at []time.Time
}

func (l *lostActions) add(a answer) {
	if a.whole && (a.status == 200 || a.status == 503 || a.status == 429) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
}

func (l *lostActions) since(t time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.at {
		if at.After(t) {
			n++
		}
	}
	return n
}
