package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of case 7. recovery is the recovery-s of the site, and in its last part most turns must be served.
const (
	case7Programs = 60
	case7Entries  = 4
	case7Engines  = 14
	darkEngines   = 2 // srv_crash: share .15
	keptBudget    = 3 * turnTokens
	recovery      = 12 * time.Second
	lastPart      = 4 * time.Second
)

// keptProgram is a program whose turns the system keeps.
type keptProgram struct {
	id, last string
	tokens   int
	// third has the requests of its third turn that were sent before the final fault.
	third []string
	// after is the answer to that turn after the fault.
	after answer
}

// turn sends a turn of the program that continues from its last one.
func (p *keptProgram) turn(at *entry) answer {
	h := map[string]string{
		"X-Program-Id": p.id, "X-Session-Id": "s-" + p.id, "X-Finish-Ms": "30000", "X-Token-Budget": fmt.Sprint(keptBudget),
		"X-Token-Count": fmt.Sprintf("840,%d", turnTokens), "X-Model": "m", "X-Prompt-Prefix": "a1:800," + p.id + ":40",
	}
	if p.last != "" {
		h["X-Previous-Turn"] = p.last
	}
	a := send(at.callers, "POST", "/draft/"+p.id+"/", "input of a turn", h, 3*time.Second, nil)
	p.tokens += a.events * tokensPerEvent
	return a
}

// whole sends a turn until it is answered whole, and reports whether it was within three tries.
func (p *keptProgram) whole(w *world, at *entry) bool {
	for range 3 {
		a := p.turn(at)
		w.rec.note("program %s at %s: request %s, continues %q, status %d, %d events, whole %v, %v", p.id, at.name, a.id, p.last, a.status, a.events, a.whole, a.err)
		if a.status == 200 && a.whole {
			p.last = a.id
			return true
		}
		if a.status == 402 {
			p.after = a
			return false
		}
		time.Sleep(max(a.after, 200*time.Millisecond))
	}
	return false
}

// unsentTurns ends all machines while some turns have tokens of their budgets and have reached no engine, since two engines
// have gone dark.
func unsentTurns(w *world) (bool, error) {
	var engines []*engine
	err := w.startAll(case7Entries, func() error {
		w.store.writeDocument(route{
			Name: "draft", Prefix: "/draft/", Kind: "stream", TimeoutMs: 3000, TargetMs: 200, GapMs: 250, Priority: 0, Service: llmService,
			Attempts: 2, Affinity: true, Retained: true, RetentionS: 60,
		})
		for i := range case7Engines {
			e, err := startEngine(&engine{
				id: fmt.Sprintf("i-llm-%d", i), service: llmService, version: "v1", address: "127.0.0.1:0", tokensPerEvent: tokensPerEvent,
				eventGap: 30 * time.Millisecond, store: w.store, arrivals: w.arrivals,
			}, 0)
			if err != nil {
				return err
			}
			engines = append(engines, e)
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	programs := make([]*keptProgram, case7Programs)
	var wait sync.WaitGroup
	for i := range programs {
		programs[i] = &keptProgram{id: fmt.Sprintf("77d20b%02x", i)}
		wait.Go(func() {
			p, at := programs[i], w.entries[i%len(w.entries)]
			for range 2 {
				p.whole(w, at)
			}
		})
	}
	wait.Wait()
	programs = slices.DeleteFunc(programs, func(p *keptProgram) bool { return p.last == "" || p.tokens != 2*turnTokens })
	w.rec.note("%d programs have two turns of %d tokens in a budget of %d", len(programs), turnTokens, keptBudget)
	if len(programs) < case7Programs/2 {
		return false, fmt.Errorf("%d programs have two whole turns, %d are needed", len(programs), case7Programs/2)
	}
	time.Sleep(1500 * time.Millisecond) // settle-ms and more
	if w.trouble {
		if err := w.finalFault(engines, programs); err != nil {
			return false, err
		}
	}
	back := time.Now()
	stop := make(chan struct{})
	var others sync.WaitGroup
	var tried, served atomic.Int64
	for i := range 4 {
		others.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				p := &keptProgram{id: fmt.Sprintf("0e%02x%04x", i, n)}
				a := p.turn(w.entries[n%len(w.entries)])
				if time.Since(back) > recovery-lastPart {
					tried.Add(1)
					if a.status == 200 && a.whole {
						served.Add(1)
					}
				}
			}
		})
	}
	var goOn sync.WaitGroup
	for i, p := range programs {
		goOn.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			for time.Since(back) < recovery && p.after.status != 402 {
				if p.whole(w, w.entries[i%len(w.entries)]) {
					return
				}
			}
		})
	}
	goOn.Wait()
	time.Sleep(time.Until(back.Add(recovery)))
	close(stop)
	others.Wait()
	w.rec.note("other turns in the last %v of recovery-s: %d of %d served", lastPart, served.Load(), tried.Load())
	reached := map[string]bool{}
	for _, x := range w.arrivals.all() {
		reached[x.request] = true
	}
	lost, owed := 0, 0
	for _, p := range programs {
		before := slices.ContainsFunc(p.third, func(id string) bool { return reached[id] })
		if p.after.status == 402 {
			w.rec.note("program %s: 402 after the fault; %d of %d tokens handed out; its third turn had reached an engine before: %v", p.id, p.tokens, keptBudget, before)
		}
		if !before {
			owed++
			if p.after.status == 402 {
				lost++
			}
		}
	}
	w.rec.note("%d programs whose third turn had reached no engine have room for one more, %d of them reached no engine by recovery-s", owed, lost)
	return lost > 0 && 5*served.Load() >= 4*tried.Load() && tried.Load() > 0, nil
}

// finalFault has two engines go dark, has each program send its third turn, and kills all processes shortly after.
func (w *world) finalFault(engines []*engine, programs []*keptProgram) error {
	for _, e := range engines[:darkEngines] {
		w.rec.note("%s goes dark", e.id)
		if err := e.goDark(); err != nil {
			return err
		}
	}
	var sent sync.WaitGroup
	var mu sync.Mutex
	for i, p := range programs {
		sent.Go(func() {
			a := p.turn(w.entries[i%len(w.entries)])
			w.rec.note("program %s: third turn, request %s, continues %q, status %d, %d events, whole %v, %v", p.id, a.id, p.last, a.status, a.events, a.whole, a.err)
			mu.Lock()
			defer mu.Unlock()
			p.third = append(p.third, a.id)
			if a.status == 200 && a.whole {
				p.last = a.id
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	w.rec.note("all processes are killed")
	for _, e := range w.entries {
		_ = e.cmd.Process.Kill()
	}
	sent.Wait()
	for _, e := range w.entries {
		<-e.exited
	}
	time.Sleep(500 * time.Millisecond)
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	// The platform removes engines that were silent for three heartbeats.
	time.AfterFunc(2*heartbeat, func() {
		for _, e := range engines[:darkEngines] {
			w.store.remove("servers", e.id)
		}
	})
	if err := awaitReady(w.entries); err != nil {
		return err
	}
	w.rec.note("all processes are back")
	return nil
}
