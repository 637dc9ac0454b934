package main

import (
	"sync"
	"time"
)

// balancer stands in for the platform's balancer: it asks each node once a second whether it is ready
// and sends no new connection to one that missed two questions in a row, until it answers with 200 again.
type balancer struct {
	mu     sync.Mutex
	misses map[*entry]int
	next   int
	w      *world
}

func (w *world) newBalancer() *balancer {
	b := &balancer{misses: map[*entry]int{}, w: w}
	go func() {
		for {
			for _, e := range w.entries {
				ready := e.isReady()
				b.mu.Lock()
				if ready {
					b.misses[e] = 0
				} else {
					b.misses[e]++
				}
				b.mu.Unlock()
			}
			time.Sleep(time.Second)
		}
	}()
	return b
}

// pick returns the node of the next new connection.
func (b *balancer) pick() *entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.w.entries {
		b.next++
		if e := b.w.entries[b.next%len(b.w.entries)]; b.misses[e] < 2 {
			return e
		}
	}
	b.next++
	return b.w.entries[b.next%len(b.w.entries)]
}
