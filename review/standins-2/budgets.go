package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the cases about budgets. tokensPerEvent is the step of the engines of the site, and a turn generates the most
// that it may.
const (
	budgetPrograms = 80
	leastPrograms  = 60
	budgetEntries  = 6
	hit            = 3 // machines that a case removes or kills
	tokensPerEvent = 22
	turnTokens     = 12 * tokensPerEvent
	turnsInBudget  = 4
	programBudget  = turnsInBudget * turnTokens
)

// program is an agent program with what was handed out to it.
type program struct {
	id string
	mu sync.Mutex
	// tokens counts those of all turns, requester attempts that broke off included.
	tokens int
}

// turn sends one turn of the program: an attempt, a retry after a refusal, and the same once more from its start.
func (p *program) turn(w *world, number int, at *entry) answer {
	var a answer
	for try := range 2 {
		for attempt := range 2 {
			a = send(at.callers, "POST", "/ask/"+p.id+"/", "input of a turn", map[string]string{
				"X-Program-Id": p.id, "X-Session-Id": "s-" + p.id, "X-Finish-Ms": "90000", "X-Token-Budget": fmt.Sprint(programBudget),
				"X-Token-Count": fmt.Sprintf("1680,%d", turnTokens), "X-Model": "m",
			}, 3*time.Second, func() {
				p.mu.Lock()
				p.tokens += tokensPerEvent
				p.mu.Unlock()
			})
			w.rec.note("turn %d of %s at %s, try %d.%d: request %s, status %d, %d events, whole %v, %v", number, p.id, at.name, try+1, attempt+1, a.id, a.status, a.events, a.whole, a.err)
			if a.status != 503 && a.status != 429 {
				break
			}
			time.Sleep(min(a.after, time.Second))
		}
		if a.whole && a.status == 200 || a.status == 402 {
			return a
		}
		time.Sleep(200 * time.Millisecond)
	}
	return a
}

// budgets are programs whose requesters use the machines that a case leaves alone.
type budgets struct {
	w        *world
	programs []*program
	stay     []*entry
}

// startBudgets starts the machines and the engines, and has programs use up their budgets.
func startBudgets(w *world, eventGap time.Duration) (*budgets, error) {
	err := w.startAll(budgetEntries, func() error {
		w.store.writeDocument(route{
			Name: "ask", Prefix: "/ask/", Kind: "stream", TimeoutMs: 3000, TargetMs: 200, GapMs: 250, Priority: 1, Service: llmService,
			Attempts: 2, Resumable: true, Affinity: true, RetentionS: 60,
		})
		for i := range 6 {
			e, err := startEngine(&engine{
				id: fmt.Sprintf("i-llm-%d", i), service: llmService, version: "v1", address: "127.0.0.1:0", tokensPerEvent: tokensPerEvent,
				eventGap: eventGap, store: w.store, arrivals: w.arrivals,
			}, 0)
			if err != nil {
				return err
			}
			w.engines = append(w.engines, e)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	b := &budgets{w: w, stay: w.entries[hit:]}
	for i := range budgetPrograms {
		b.programs = append(b.programs, &program{id: fmt.Sprintf("3fa81c%02x", i)})
	}
	for number := 1; number <= turnsInBudget; number++ {
		b.turn(number)
	}
	// Programs that did not get all of their turns, on a busy machine, are left out.
	b.programs = slices.DeleteFunc(b.programs, func(p *program) bool { return p.tokens != programBudget })
	w.rec.note("%d programs have used their budgets", len(b.programs))
	if len(b.programs) < leastPrograms {
		return nil, fmt.Errorf("%d programs have used their budgets, %d are needed", len(b.programs), leastPrograms)
	}
	time.Sleep(500 * time.Millisecond)
	return b, nil
}

// turn has all programs send a turn.
func (b *budgets) turn(number int) {
	var wait sync.WaitGroup
	var granted, spent atomic.Int64
	for i, p := range b.programs {
		wait.Go(func() {
			a := p.turn(b.w, number, b.stay[i%len(b.stay)])
			if a.events > 0 {
				granted.Add(1)
			}
			if a.status == 402 {
				spent.Add(1)
			}
		})
	}
	wait.Wait()
	b.w.rec.note("turn %d of all: %d programs got tokens, %d were told 402", number, granted.Load(), spent.Load())
}

// exceeded reports whether a program got more than its budget and the most of one turn.
func (b *budgets) exceeded() bool {
	n := 0
	for _, p := range b.programs {
		over := p.tokens > programBudget+turnTokens
		if over {
			n++
		}
		b.w.rec.note("program %s: %d tokens handed out, budget %d + one turn of %d, over: %v", p.id, p.tokens, programBudget, turnTokens, over)
	}
	b.w.rec.note("%d of %d programs got more than their budget and one turn", n, len(b.programs))
	return n > 0
}
