package main

import "time"

// outage is how long the store is down the second time; the first outage is shorter.
const outage = 4500 * time.Millisecond

// claimsLost removes the machines that know what a program was granted beside its row in an outage of the store, and has
// the program go on in a second outage, 60 s later.
func claimsLost(w *world) (bool, error) {
	b, err := startBudgets(w, 100*time.Millisecond)
	if err != nil {
		return false, err
	}
	if w.trouble {
		w.rec.note("the store is down")
		w.store.setDown(true)
	}
	removed := time.Now().Add(1200 * time.Millisecond)
	go func() {
		time.Sleep(time.Until(removed))
		if !w.trouble {
			return
		}
		for _, e := range w.entries[:hit] {
			w.rec.note("%s is removed for good", e.name)
			e.kill()
		}
	}()
	time.Sleep(400 * time.Millisecond)
	b.turn(turnsInBudget + 1)
	w.rec.note("the store is back")
	w.store.setDown(false)
	time.Sleep(time.Until(removed.Add(59 * time.Second)))
	if w.trouble {
		w.rec.note("the store is down")
		w.store.setDown(true)
	}
	back := time.AfterFunc(outage, func() {
		w.rec.note("the store is back")
		w.store.setDown(false)
	})
	defer back.Stop()
	time.Sleep(time.Until(removed.Add(60*time.Second + 300*time.Millisecond)))
	b.turn(turnsInBudget + 2)
	return b.exceeded(), nil
}
