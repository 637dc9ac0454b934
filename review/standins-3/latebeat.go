package main

import (
	"fmt"
	"time"
)

func init() { cases["latebeat"] = latebeat }

// latebeat has the store do the last beat of an engine late, without an answer. The engine's entry is removed meanwhile.
func latebeat(t *trial) (bool, error) {
	for i := range 3 {
		if _, err := t.startEngine(fmt.Sprintf("i-%d", i), "app", "zone-a", 0, 0); err != nil {
			return false, err
		}
	}
	e := t.engines[0]
	t.config(read, appService)
	if err := t.startEntries(3); err != nil {
		return false, err
	}
	end := t.load(24)
	if t.trouble {
		e.lateBeat(5900 * time.Millisecond)
	}
	// From now on the store answers all calls. It is stable once contact has passed.
	time.Sleep(contact + 100*time.Millisecond)
	acked := e.remove()
	// The engine has never reported that it is draining. It serves for drainTime and some seconds more.
	time.Sleep(drainTime + 5*time.Second)
	end()
	late, last := lateRuns(e, acked)
	t.rec.add("%d requests reached the engine later than %v after the store had acknowledged that it is gone; the last %v after it", late, drainTime, last)
	return late > 0, nil
}
