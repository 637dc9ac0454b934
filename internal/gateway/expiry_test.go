package gateway

import (
	"testing"
	"time"
)

func TestRowsExpireInOrderAndAreBounded(t *testing.T) {
	e := &expiry{commits: &committer{metrics: newMetrics(noScope())}}
	e.add("turns/0/a", time.Minute)
	e.add("turns/0/b", time.Minute)
	if n := len(e.due(time.Now().Add(time.Minute))); n != 0 {
		t.Fatalf("%d rows expire at the end of their retention; a chain may go on", n)
	}
	if n := len(e.due(time.Now().Add(time.Minute + chainTime + time.Second))); n != 2 {
		t.Fatalf("%d rows expire at their end, want 2", n)
	}
	for range maxExpiring + 10 {
		e.add("turns/0/c", 0)
	}
	if len(e.queue) != maxExpiring {
		t.Fatalf("%d rows are remembered", len(e.queue))
	}
	if n := len(e.due(time.Now().Add(time.Hour))); n != sweepRows {
		t.Fatalf("%d rows go at once", n)
	}
}
