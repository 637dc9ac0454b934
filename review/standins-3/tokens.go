package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["tokens"] = tokens }

// tokens moves the route of a program to another service while four of its turns run; the new desired state does not list the
// service that no route uses any more.
func tokens(t *trial) (bool, error) {
	const events, turns = 12, 5
	const most = events * tokensPerEvent
	const budget = turns * most
	for _, service := range []string{"llm-old", "llm-new"} {
		for i := range 2 {
			if _, err := t.startEngine(fmt.Sprintf("i-%s-%d", service, i), service, "zone-a", events, 200*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"health-path":"/healthz","max-connections":180,"engine":{"slots":16,"kv-capacity-tokens":487834,"tokens-per-event":%d}}`, name, tokensPerEvent)
	}
	route := func(service string) string {
		return fmt.Sprintf(`{"name":"r-draft","host":"portal.example","prefix":"/draft/","route-type":"stream","timeout-ms":6000,"target-latency-ms":400,"priority":0,"attempts":2,"retained":true,"retention-s":60,"resumable":false,"gap-target-ms":250,"service":%q}`, service)
	}
	t.config(route("llm-old"), service("llm-old")+","+service("llm-new"))
	if err := t.startEntries(2); err != nil {
		return false, err
	}
	program, received := newID(), 0
	turn := func(line, n int) answer {
		return t.client.send(t.entries[n%2], "POST", "/draft/4b", 6*time.Second, fmt.Sprintf("input %d of line %d\n", n, line), map[string]string{
			"X-Program-Id": program, "X-Session-Id": fmt.Sprintf("%s-%d", program, line), "X-Finish-Ms": "30000",
			"X-Token-Budget": fmt.Sprint(budget), "X-Token-Count": fmt.Sprintf("100,%d", most),
		})
	}
	// Four lines of turns at once, as of sub-agents.
	var wait sync.WaitGroup
	var mu sync.Mutex
	for line := range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := turn(line, line)
			mu.Lock()
			received += a.events * tokensPerEvent
			mu.Unlock()
		}()
	}
	time.Sleep(700 * time.Millisecond)
	if t.trouble {
		t.config(route("llm-new"), service("llm-new"))
	}
	wait.Wait()
	time.Sleep(500 * time.Millisecond)
	// The program goes on, turn by turn, until it is told that its budget is spent.
	for n := range 12 {
		a := turn(4, n)
		received += a.events * tokensPerEvent
		if a.status == 402 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	t.rec.add("the requester received %d tokens; the budget is %d, the most of one turn %d", received, budget, most)
	return received > budget+most, nil
}
