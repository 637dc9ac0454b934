package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of case 10: platform_slow with x = 60 for 4.5 s, once for each program, and a program that loops with as many
// sub-agents at once as programs of the site start at most.
const (
	loopAnswer   = 60 * txTime
	loopPrograms = 5
	subAgents    = 4
	loopTurn     = 4 * tokensPerEvent
	loopBudget   = 20 * loopTurn
)

// newestVersions has programs loop, one after the other, while the store is slow and tells the newest version with its answers.
func newestVersions(w *world) (bool, error) {
	err := w.startAll(4, func() error {
		w.store.performsFirst = true
		w.store.writeDocument(route{
			Name: "draft", Prefix: "/draft/", Kind: "stream", TimeoutMs: 3000, TargetMs: 200, GapMs: 250, Priority: 0, Service: llmService,
			Attempts: 2, Affinity: true, Retained: true, RetentionS: 60,
		})
		for i := range 6 {
			e, err := startEngine(&engine{
				id: fmt.Sprintf("i-llm-%d", i), service: llmService, version: "v1", address: "127.0.0.1:0", tokensPerEvent: tokensPerEvent,
				eventGap: 15 * time.Millisecond, store: w.store, arrivals: w.arrivals,
			}, 0)
			if err != nil {
				return err
			}
			w.engines = append(w.engines, e)
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	broken := false
	for n := range loopPrograms {
		if w.trouble {
			w.rec.note("the store is slow, %v an answer", loopAnswer)
			w.store.setDelay(loopAnswer)
		}
		quick := time.AfterFunc(slowFor, func() {
			w.rec.note("the store is as quick as before")
			w.store.setDelay(txTime)
		})
		program := fmt.Sprintf("7ac05e%02x", n)
		tokens := loop(w, program)
		quick.Stop()
		w.store.setDelay(txTime)
		over := tokens > loopBudget+loopTurn
		broken = broken || over
		w.rec.note("program %s: %d tokens handed out, budget %d + one turn of %d, over: %v", program, tokens, loopBudget, loopTurn, over)
		time.Sleep(3500 * time.Millisecond)
	}
	return broken, nil
}

// loop has the sub-agents of a program send turns through all machines until three were told 402, for 9 s at most, and returns the
// tokens that were handed out.
func loop(w *world, program string) int64 {
	var tokens, spent atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(9 * time.Second)
	for i := range subAgents {
		wait.Go(func() {
			for k := 0; time.Now().Before(end) && spent.Load() < 3; k++ {
				at := w.entries[(i+k)%len(w.entries)]
				a := send(at.callers, "POST", "/draft/"+program+"/", "input of a turn", map[string]string{
					"X-Program-Id": program, "X-Session-Id": fmt.Sprintf("%s-%d-%d", program, i, k), "X-Finish-Ms": "9000",
					"X-Token-Budget": fmt.Sprint(loopBudget), "X-Token-Count": fmt.Sprintf("840,%d", loopTurn), "X-Model": "m",
				}, 3*time.Second, nil)
				w.rec.note("turn of %s at %s: request %s, status %d, %d events, whole %v, %v", program, at.name, a.id, a.status, a.events, a.whole, a.err)
				tokens.Add(int64(a.events * tokensPerEvent))
				if a.status == 402 {
					spent.Add(1)
				}
				if a.status != 200 {
					time.Sleep(min(max(a.after, 100*time.Millisecond), time.Second))
				}
			}
		})
	}
	wait.Wait()
	return tokens.Load()
}
