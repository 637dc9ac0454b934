package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lost-budget"] = playLostBudget }

const (
	// keptBudget is the budget of a program: it holds two turns at their most, as on the sites.
	keptBudget = 2 * maxTokens
	// recovery is recovery-s, lastSpan the span at its end in which other turns must be served.
	recovery = 12 * time.Second
	lastSpan = 4 * time.Second
)

// conversation is a program on a route that keeps turns.
type conversation struct {
	program string
	// previous is its last turn that was answered whole, handed the tokens handed to it.
	previous string
	turns    int
	handed   int
}

// attempt sends the next turn of the conversation once.
func (c *conversation) attempt(w *world, e *entry, id string) answer {
	h := map[string]string{
		"X-Program-Id": c.program, "X-Session-Id": c.program + "-s", "X-Finish-Ms": "9000", "X-Token-Budget": strconv.Itoa(keptBudget),
		"X-Token-Count": fmt.Sprintf("1840,%d", maxTokens), "X-Model": "m", "X-Prompt-Prefix": "5c1e07a2:800",
	}
	if c.previous != "" {
		h["X-Previous-Turn"] = c.previous
	}
	a := w.send(e, request{method: http.MethodPost, host: "desk.example", path: "/query/1", id: id, body: "input of " + id, headers: h, patience: 3 * time.Second})
	c.handed += len(a.events) * tokensPerEvent
	if a.err == nil && a.status == 200 {
		c.previous = id
		c.turns++
	}
	return a
}

// playLostBudget kills all nodes at once. Conversations that were kept before go on at the end of recovery-s.
func playLostBudget(w *world, trouble bool) bool {
	streamWorld(w, 3, true)
	b := w.newBalancer()
	conversations := make([]*conversation, 12)
	for i := range conversations {
		c := &conversation{program: fmt.Sprintf("p%d", i)}
		conversations[i] = c
		for n := 0; c.turns < 2 && n < 10; n++ {
			c.attempt(w, b.pick(), fmt.Sprintf("%s-t%d", c.program, n))
			time.Sleep(60 * time.Millisecond)
		}
		if c.turns < 2 {
			check(fmt.Errorf("program %s got no turns before the fault", c.program))
		}
	}
	time.Sleep(time.Second)
	if trouble {
		for _, e := range w.entries {
			e.signal(syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		for _, e := range w.entries {
			e.start()
		}
	}
	back := time.Now()
	// The programs return, as those that loop do: a turn that is answered 402 is sent twice more. Meanwhile new
	// programs begin.
	tries, ran := make([]int, len(conversations)), make([]bool, len(conversations))
	var wait sync.WaitGroup
	for i, c := range conversations {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Until(back.Add(recovery - lastSpan + time.Duration(200+100*i)*time.Millisecond)))
			for n := range 3 {
				id := fmt.Sprintf("%s-after%d", c.program, n)
				a := c.attempt(w, b.pick(), id)
				tries[i]++
				if ran[i] = len(w.runsOf(id)) > 0; ran[i] || a.status != http.StatusPaymentRequired {
					break
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	served, sent := 0, 0
	for n := 0; time.Since(back) < recovery; n++ {
		c := &conversation{program: fmt.Sprintf("new%d", n)}
		late := time.Since(back) > recovery-lastSpan
		c.attempt(w, b.pick(), c.program+"-t0")
		if late {
			sent++
			served += c.turns
		}
		time.Sleep(200 * time.Millisecond)
	}
	wait.Wait()
	w.rec.add("in the last %v, %d of %d first turns of new programs were served", lastSpan, served, sent)
	broken := false
	for i, c := range conversations {
		lost := !ran[i] && served*5 >= sent*4
		w.rec.add("program %s: %d tokens handed of a budget of %d, the most of one turn is %d; %d tries after the fault, one reached an engine: %v, broken: %v; row of the budget: %s",
			c.program, c.handed, keptBudget, maxTokens, tries[i], ran[i], lost, w.store.rowValue("budgets", c.program))
		broken = broken || lost
	}
	return broken
}
