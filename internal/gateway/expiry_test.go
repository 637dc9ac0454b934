package gateway

import (
	"testing"
	"time"
)

// TestRowsExpireAfterGraceAndAreBounded guards against rows that are deleted while a turn may
// still continue from them, and against an unbounded queue or removal.
func TestRowsExpireAfterGraceAndAreBounded(t *testing.T) {
	e := &expiry{commits: &committer{metrics: newMetrics(noScope())}}
	e.add("turns/0/a", time.Minute)
	e.add("turns/0/b", time.Minute)
	if n := len(e.due(time.Now().Add(time.Minute))); n != 0 {
		t.Fatalf("%d rows expire at the end of their retention, want 0; a turn may still continue from them", n)
	}
	if n := len(e.due(time.Now().Add(time.Minute + expiryGrace + time.Second))); n != 2 {
		t.Fatalf("%d rows expire after retention and grace, want 2", n)
	}
	for range maxExpiring + 10 {
		e.add("turns/0/c", 0)
	}
	if len(e.queue) != maxExpiring {
		t.Fatalf("%d rows are queued, want %d", len(e.queue), maxExpiring)
	}
	if n := len(e.due(time.Now().Add(time.Hour))); n != sweepRows {
		t.Fatalf("%d rows are removed at once, want %d", n, sweepRows)
	}
}
