package gateway

import (
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/routing"
)

// TestSlowCallerMakesNoUpstreamSlow: events arrive every 10 ms, and one caller takes 100 ms to read each of
// them. The upstream must not count as slow for it, here or at the entries that are told.
func TestSlowCallerMakesNoUpstreamSlow(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	upstream := e.fleet.Load().byService["llm"][0]
	serve := func(reads time.Duration) {
		m := decodeMeter{g: e.Gateway, j: &job{service: "llm", pick: routing.Pick{ID: upstream.ID}}, upstream: upstream.ID, sentAt: time.Unix(1000, 0)}
		at := m.sentAt
		for range 10 {
			at = at.Add(10 * time.Millisecond)
			m.event(at, at.Add(reads))
			at = at.Add(reads)
		}
		m.report()
	}
	for range 200 {
		serve(0)
	}
	for range 20 {
		serve(100 * time.Millisecond)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if v := e.balancer.Slowness(time.Unix(1000, 0), upstream.ID); v > 1.2 {
		t.Errorf("slowness %.2f after calls of a caller that reads slowly", v)
	}
	e.balancer.TakeUnreportedSpeeds(func(string, float64, int) bool { t.Error("its calls are reported as slow"); return true })
}
