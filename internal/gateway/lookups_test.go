package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
)

// TestHungLookupsHoldUpNoTurn checks that calls of a plain service whose upstreams hang take nothing that
// turns need: with 60 lookups waiting, more than an upstream's connection limit, a turn is answered
// before the first of them ends.
func TestHungLookupsHoldUpNoTurn(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, neverAnswer, answerEvents(0, 4, false))
	for n := range 2 {
		p.registerUpstream(newScriptedUpstream(t, "app-hung-"+strconv.Itoa(n), neverAnswer), "app", "ready", 1)
	}
	eventually(t, "three upstreams of the plain service are known", func() bool { return len(e.fleet.Load().byService["app"]) == 3 })
	var waiting, ended atomic.Int64
	var lookups sync.WaitGroup
	for range 60 {
		lookups.Go(func() {
			waiting.Add(1)
			e.call("GET", "/read/stock", "", nil)
			ended.Add(1)
		})
	}
	eventually(t, "the lookups wait", func() bool { return waiting.Load() == 60 && e.inFlight.Load() == 60 })
	if r := e.call("POST", "/ask/quote", "x", nil); r.status != http.StatusOK {
		t.Errorf("turn beside hung lookups: %+v", r)
	}
	if n := ended.Load(); n != 0 {
		t.Errorf("%d lookups had ended when the turn was answered; want none, so that it did not wait for them", n)
	}
	lookups.Wait()
}
