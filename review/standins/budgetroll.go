package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["budget-roll"] = playBudgetRoll }

const (
	// rollGap is the time between two nodes that are stopped (gap_s of roll_term), restartDelay the short
	// delay after which a process that has ended is started again.
	rollGap      = time.Second
	restartDelay = 500 * time.Millisecond
	// storeDown is how long the store is down (for_s of platform_down).
	storeDown = 7 * time.Second
)

// playBudgetRoll stops five nodes with SIGTERM and starts them again, one after the other, while the store
// is down.
func playBudgetRoll(w *world, trouble bool) bool {
	streamWorld(w, 5, false)
	b := w.newBalancer()
	if trouble {
		w.rec.add("the store is down: it answers every call with 503")
		w.store.setMode(storeBusy)
	}
	down := time.Now()
	time.Sleep(300 * time.Millisecond)
	programs, wait := startPrograms(w, b, 100, 8000, 100*time.Millisecond)
	time.Sleep(time.Second)
	var stops sync.WaitGroup
	for i, e := range w.entries {
		stops.Add(1)
		time.AfterFunc(time.Duration(i)*rollGap, func() {
			defer stops.Done()
			e.signal(syscall.SIGTERM)
			if !e.wait(graceS * time.Second) {
				e.signal(syscall.SIGKILL)
				e.wait(time.Second)
			}
			time.Sleep(restartDelay)
			e.start()
		})
	}
	time.Sleep(time.Until(down.Add(storeDown)))
	w.rec.add("the store is up")
	w.store.setMode(storeUp)
	stops.Wait()
	wait.Wait()
	return anyOverspent(w, programs)
}
