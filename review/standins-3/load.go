package main

import (
	"sync"
	"time"
)

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
