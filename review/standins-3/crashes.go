package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crashes"] = crashes }

// crashes sends a request again and again that crashes each engine which begins to run it, and ends all entries at once after its
// second crash.
func crashes(t *trial) (bool, error) {
	type hit struct {
		at time.Time
		id string
	}
	var mu sync.Mutex
	var hits []hit
	var start func(n, life int) error
	start = func(n, life int) error {
		e, err := t.startEngine(fmt.Sprintf("i-%d-%d", n, life), "app", "zone-a", 0, 0)
		if err != nil {
			return err
		}
		e.onPoison = func(id string) {
			mu.Lock()
			hits = append(hits, hit{time.Now(), id})
			mu.Unlock()
			e.crash()
			// Its row is removed after three beats of silence, and it is back under a new id after some seconds.
			time.AfterFunc(3*heartbeat, func() { t.store.remove("servers", e.id) })
			time.AfterFunc(4*time.Second, func() { _ = start(n, life+1) })
		}
		return nil
	}
	for n := range 5 {
		if err := start(n, 1); err != nil {
			return false, err
		}
	}
	t.config(`{"name":"r-act","host":"portal.example","prefix":"/act/","route-type":"unsafe","timeout-ms":3000,"target-latency-ms":500,"priority":2,"attempts":1,"service":"app"}`,
		`{"name":"app","health-path":"/healthz","max-connections":110}`)
	if err := t.startEntries(3); err != nil {
		return false, err
	}
	tries := 0
	again := func() {
		a := t.client.send(t.entries[tries%3], "POST", "/act/2f", 3*time.Second, "poison", nil)
		t.rec.add("try %d of the request that crashes engines, id %s, status %d", tries+1, a.id, a.status)
		tries++
	}
	again()
	time.Sleep(1500 * time.Millisecond)
	again()
	time.Sleep(1500 * time.Millisecond)
	if t.trouble {
		for _, e := range t.entries {
			_ = e.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, e := range t.entries {
			e.end(syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		for _, e := range t.entries {
			if err := e.start(); err != nil {
				return false, err
			}
		}
		if err := t.awaitReady(); err != nil {
			return false, err
		}
	}
	for end := t.rec.start.Add(100 * time.Second); time.Now().Before(end); time.Sleep(3300 * time.Millisecond) {
		again()
		mu.Lock()
		n := 0
		for i, h := range hits {
			if i >= 3 && h.at.After(hits[2].at.Add(contact)) {
				n++
			}
		}
		mu.Unlock()
		if n > 3 {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for i, h := range hits {
		if i >= 3 && h.at.After(hits[2].at.Add(contact)) {
			late++
			t.rec.add("request %s reached an engine %.1f s after the third crash", h.id, h.at.Sub(hits[2].at).Seconds())
		}
	}
	t.rec.add("%d crashes; %d retries reached engines later than %v after the third", len(hits), late, contact)
	return late > 3, nil
}
