package main

import "time"

// Figures of case 6: platform_slow with x = 54 (at most 60 on the site), and how long the killed processes are away.
const (
	slowAnswer = 54 * txTime
	slowFor    = 4500 * time.Millisecond
	killedFor  = 400 * time.Millisecond
)

// rounds is the number of systems that are started one after the other: whether processes that rejoin are early depends on
// when they hear of those that stayed.
const rounds = 8

// rejoinedEarly kills half of the machines while the store is slow, shortly after programs were granted tokens beside their rows,
// and has the programs go on once the processes are back.
func rejoinedEarly(w *world) (bool, error) {
	for round := 1; round <= rounds; round++ {
		w.rec.note("round %d", round)
		broken, err := rejoinOnce(w)
		if broken || err != nil {
			return broken, err
		}
		w.end()
	}
	return false, nil
}

func rejoinOnce(w *world) (bool, error) {
	b, err := startBudgets(w, 50*time.Millisecond)
	if err != nil {
		return false, err
	}
	begun := time.Now()
	if w.trouble {
		w.rec.note("the store is slow, %v an answer", slowAnswer)
		w.store.setDelay(slowAnswer)
		store := w.store
		quick := time.AfterFunc(slowFor, func() {
			w.rec.note("the store is as quick as before")
			store.setDelay(txTime)
		})
		defer quick.Stop()
	}
	time.Sleep(200 * time.Millisecond)
	b.turn(turnsInBudget + 1)
	if w.trouble {
		for _, e := range w.entries[:hit] {
			w.rec.note("%s is killed", e.name)
			_ = e.cmd.Process.Kill()
		}
		time.Sleep(killedFor)
		for _, e := range w.entries[:hit] {
			<-e.exited
			if err := e.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(begun.Add(slowFor - 1500*time.Millisecond)))
	b.turn(turnsInBudget + 2)
	return b.exceeded(), nil
}
