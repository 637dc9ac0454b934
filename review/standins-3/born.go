package main

import (
	"sync"
	"time"
)

func init() { cases["born"] = born }

// read is a route whose requests may run more than once, with its service.
const (
	read       = `{"name":"r-read","host":"portal.example","prefix":"/read/","route-type":"safe","timeout-ms":1200,"target-latency-ms":150,"priority":2,"attempts":2,"service":"app"}`
	appService = `{"name":"app","health-path":"/healthz","max-connections":110}`
)

// load sends requests to all entries until the function that it returns is called.
func (t *trial) load(workers int) (end func()) {
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range workers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				t.client.send(t.entries[i%len(t.entries)], "GET", "/read/2f", 1200*time.Millisecond, "", nil)
			}
		}()
	}
	return func() {
		close(stop)
		wait.Wait()
	}
}

// lateRuns returns how many requests an engine began to run later than drainTime after a time, and the last of them.
func lateRuns(e *engine, acked time.Time) (n int, last time.Duration) {
	for _, r := range e.runs() {
		d := r.at.Sub(acked)
		if d > drainTime {
			n++
		}
		last = max(last, d)
	}
	return n, last
}

// born has an engine go down and up by turns, under its id, as the time of day of its machine steps back. Later it is emptied and
// taken away.
func born(t *trial) (bool, error) {
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		if _, err := t.startEngine(id, "app", "zone-a", 0, 0); err != nil {
			return false, err
		}
	}
	e := t.engines[0]
	t.config(read, appService)
	if err := t.startEntries(3); err != nil {
		return false, err
	}
	end := t.load(24)
	const gap, step = time.Second, 2400 * time.Millisecond
	e.crash()
	time.Sleep(gap)
	if err := e.start(time.Now()); err != nil {
		return false, err
	}
	time.Sleep(gap)
	e.crash()
	time.Sleep(gap)
	clock := time.Now()
	if t.trouble {
		clock = clock.Add(-step)
	}
	if err := e.start(clock); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	e.drain()
	acked := time.Now()
	time.Sleep(drainTime + 4*time.Second)
	e.leave()
	end()
	late, last := lateRuns(e, acked)
	t.rec.add("%d requests reached the engine later than %v after the store had acknowledged that it is draining; the last %v after it", late, drainTime, last)
	return late > 0, nil
}
