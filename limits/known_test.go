package limits

import (
	"testing"
	"time"
)

// TestLatestStatementCounts checks that a limit changes and ends by later statements only, in
// whatever order they arrive, and that an answer to a request sent before the limit was named does not
// end it.
func TestLatestStatementCounts(t *testing.T) {
	k := NewKnown()
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	for i, c := range []struct {
		s    Statement
		want Change
	}{
		{Statement{At: at(0)}, Unchanged},
		{Statement{Limited: true, PerSecond: 4, At: at(10)}, Begun},
		{Statement{Limited: true, PerSecond: 4, At: at(20)}, Unchanged},
		{Statement{At: at(15)}, Unchanged}, // its request was sent before
		{Statement{Limited: true, PerSecond: 8, At: at(12)}, Unchanged},
		{Statement{Limited: true, PerSecond: 0, At: at(30)}, Altered},
		{Statement{At: at(30)}, Unchanged},
		{Statement{At: at(40)}, Ended},
		{Statement{Limited: true, PerSecond: 4, At: at(35)}, Unchanged}, // told late by another entry
		{Statement{Limited: true, PerSecond: 4, At: at(50)}, Begun},
	} {
		if got := k.Observe(1, c.s); got != c.want {
			t.Fatalf("statement %d: %v, want %v", i, got, c.want)
		}
	}
	if s, ok := k.Limit(1); !ok || s.PerSecond != 4 {
		t.Fatalf("%+v, %v, want a limit of 4 per second", s, ok)
	}
	if _, ok := k.Limit(2); ok {
		t.Fatal("another upstream is limited")
	}
	k.Retain(func(uint64, Statement) bool { return false })
	if _, ok := k.Limit(1); ok {
		t.Fatal("an upstream that has gone is limited")
	}
}
