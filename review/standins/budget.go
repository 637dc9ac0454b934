package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["budget-return"] = playBudgetReturn
}

const (
	// tokensPerEvent is tokens-per-event of the engines, eventsPerTurn the events of each turn.
	tokensPerEvent = 22
	eventsPerTurn  = 12
	// maxTokens is the most that one turn generates.
	maxTokens = 575
)

// program is a program that loops without end: it starts a sub-agent again and again, which runs a turn.
type program struct {
	id     string
	budget int

	mu sync.Mutex
	// handed counts the tokens handed to the requester; turns the turns that ended whole.
	handed, turns int
	// spent is set once a turn was answered with 402.
	spent bool
}

// turn sends one turn, whose attempts go to any node. It reports whether the program goes on.
func (p *program) turn(w *world, b *balancer, n int, attempts int) bool {
	for try := range attempts {
		a := w.send(b.pick(), request{
			method: http.MethodPost, host: "desk.example", path: "/query/1", id: fmt.Sprintf("%s-t%d-%d", p.id, n, try), body: "next step", patience: 3 * time.Second,
			headers: map[string]string{
				"X-Program-Id": p.id, "X-Session-Id": fmt.Sprintf("%s-s%d", p.id, n), "X-Finish-Ms": "5200", "X-Token-Budget": strconv.Itoa(p.budget),
				"X-Token-Count": fmt.Sprintf("1840,%d", maxTokens), "X-Model": "m", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%x:1040", n),
			},
		})
		p.mu.Lock()
		p.handed += len(a.events) * tokensPerEvent
		whole := a.err == nil && a.status == 200
		if whole {
			p.turns++
		}
		p.spent = p.spent || a.status == http.StatusPaymentRequired
		spent := p.spent
		p.mu.Unlock()
		if whole || spent {
			return !spent
		}
		wait := 200 * time.Millisecond
		if s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
			wait = min(time.Duration(s*float64(time.Second)), time.Second)
		}
		time.Sleep(wait)
	}
	return true
}

// overspent reports whether the program was handed more than its budget and the most of one turn.
func (p *program) overspent(w *world) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	over := p.handed > p.budget+maxTokens
	w.rec.add("row of the budget of %s: %s", p.id, w.store.rowValue("budgets", p.id))
	w.rec.add("program %s: %d tokens handed in %d turns of a budget of %d + %d, answered 402: %v, broken: %v", p.id, p.handed, p.turns, p.budget, maxTokens, p.spent, over)
	return over
}

// startPrograms starts programs that loop without end, with a pause after each turn.
func startPrograms(w *world, b *balancer, n, budget int, pause time.Duration) ([]*program, *sync.WaitGroup) {
	programs, wait := make([]*program, n), &sync.WaitGroup{}
	for i := range programs {
		p := &program{id: fmt.Sprintf("p%d", i), budget: budget}
		programs[i] = p
		wait.Add(1)
		go func() {
			defer wait.Done()
			for t := range 200 {
				if !p.turn(w, b, t, 6) {
					return
				}
				time.Sleep(pause)
			}
		}()
	}
	return programs, wait
}

// anyOverspent reports whether one of the programs was handed more than it may.
func anyOverspent(w *world, programs []*program) bool {
	broken := false
	for _, p := range programs {
		broken = p.overspent(w) || broken
	}
	return broken
}

// streamWorld starts engines and entries of a small deployment.
func streamWorld(w *world, entries int, retained bool) {
	zones := []string{"z-a", "z-b", "z-c"}
	for i := range 4 {
		w.addEngine(fmt.Sprintf("llm-%d", i), "llm", zones[i%3], 16, func(e *engine, rw http.ResponseWriter, r *http.Request, body string) {
			e.answerStream(rw, r, eventsPerTurn, 10*time.Millisecond, 4*time.Millisecond)
		})
	}
	route := map[string]any{"name": "query", "host": "desk.example", "prefix": "/query/", "route-type": "stream", "service": "llm", "timeout-ms": 3000, "target-latency-ms": 200, "gap-target-ms": 250, "priority": 1, "attempts": 2, "resumable": !retained, "session-affinity": true}
	if retained {
		route["retained"], route["retention-s"] = true, 60
	}
	w.config(3, []map[string]any{route}, []map[string]any{{"name": "llm", "health-path": "/healthz", "max-connections": 180,
		"engine": map[string]any{"slots": 16, "kv-capacity-tokens": 487834, "tokens-per-event": tokensPerEvent}}})
	for i := range entries {
		w.addEntry(fmt.Sprintf("front-%d", i), zones[i%3]).start()
	}
	w.awaitReady()
	time.Sleep(2 * time.Second)
}

// recordReturns records each write that lowers what a holder has drawn from a budget.
func recordReturns(w *world) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.onWrite = func(before, after row) {
		if before.Table != "budgets" {
			return
		}
		var b, a struct{ Drawn map[string]int }
		if json.Unmarshal(before.Value, &b) != nil || json.Unmarshal(after.Value, &a) != nil {
			return
		}
		for holder, n := range b.Drawn {
			if a.Drawn[holder] < n {
				w.rec.add("the row of the budget of %s: %s returns tokens, drawn before %d, now %d", after.Key, holder, n, a.Drawn[holder])
			}
		}
	}
}

// playBudgetReturn stops two of four nodes in turn with SIGTERM, and starts them again, while the answers
// to three in ten writes of the store are lost.
func playBudgetReturn(w *world, trouble bool) bool {
	streamWorld(w, 4, false)
	recordReturns(w)
	b := w.newBalancer()
	programs, wait := startPrograms(w, b, 120, 16000, 250*time.Millisecond)
	time.Sleep(4500 * time.Millisecond)
	stopped := w.entries[:2]
	var stops sync.WaitGroup
	for i, e := range stopped {
		stops.Add(1)
		time.AfterFunc(time.Duration(i)*1300*time.Millisecond, func() {
			defer stops.Done()
			e.signal(syscall.SIGTERM)
			if !e.wait(graceS * time.Second) {
				e.signal(syscall.SIGKILL)
				e.wait(time.Second)
			}
			e.start()
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		w.rec.add("from now on, the answers to 3 in 10 writes of the store are lost, for 4.5 s")
		w.store.setLose(func(t transaction, _ string) bool {
			lost := rand.Float64() < 0.3
			if lost {
				w.rec.add("the store does a write and its answer is lost: %d rows, the first %s/%s = %s", len(t.Writes), first(t).Table, first(t).Key, first(t).Value)
			}
			return lost
		})
		time.AfterFunc(4500*time.Millisecond, func() {
			w.store.setLose(nil)
			w.rec.add("no answers of the store are lost any more")
		})
	}
	stops.Wait()
	wait.Wait()
	return anyOverspent(w, programs)
}

func first(t transaction) row {
	for _, r := range append(t.Writes, t.Remove...) {
		return r
	}
	return row{}
}

func init() { cases["budget-herd"] = playBudgetHerd }

// playBudgetHerd kills all nodes at the same moment while the store is down.
func playBudgetHerd(w *world, trouble bool) bool {
	streamWorld(w, 3, false)
	b := w.newBalancer()
	if trouble {
		w.rec.add("the store is down: it answers every call with 503")
		w.store.setMode(storeBusy)
	}
	time.Sleep(500 * time.Millisecond)
	programs, wait := startPrograms(w, b, 12, 6000, 60*time.Millisecond)
	time.Sleep(3600 * time.Millisecond)
	if trouble {
		for _, e := range w.entries {
			e.signal(syscall.SIGKILL)
		}
		time.Sleep(400 * time.Millisecond)
		w.rec.add("the store is back")
		w.store.setMode(storeUp)
		time.Sleep(600 * time.Millisecond)
		for _, e := range w.entries {
			e.start()
		}
	}
	wait.Wait()
	return anyOverspent(w, programs)
}
