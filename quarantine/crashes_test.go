package quarantine

import (
	"testing"
	"time"
)

// TestRefusedAfterCrashesAtThreeUpstreams checks that repeated reports about the same
// upstream count once, that only the reported request is refused, and that the refusal
// ends when the reports expire.
func TestRefusedAfterCrashesAtThreeUpstreams(t *testing.T) {
	c := NewCrashCounter()
	now := time.Unix(100, 0)
	call := HashCall("POST", "/a/1", "", []byte("body"))
	for i, upstream := range []uint64{1, 1, 2} {
		c.Add(now, CrashReport{call, upstream})
		if c.Refused(now, call) {
			t.Fatalf("refused after %d reports of crashes at 2 upstreams or fewer", i+1)
		}
	}
	if !c.Add(now, CrashReport{call, 3}) || !c.Refused(now, call) {
		t.Fatal("not refused after crashes at 3 upstreams")
	}
	if c.Refused(now, HashCall("POST", "/a/1", "", []byte("other"))) {
		t.Fatal("a request with another body is refused")
	}
	if c.Refused(now.Add(c.ReportTTL+time.Second), call) {
		t.Fatal("still refused after the reports expired")
	}
}

// TestCrashCounterIsBounded checks that a full counter drops the oldest requests and keeps
// the newest.
func TestCrashCounterIsBounded(t *testing.T) {
	c := NewCrashCounter()
	c.MaxRequests = 10
	now := time.Unix(100, 0)
	for i := range uint64(50) {
		c.Add(now.Add(time.Duration(i)*time.Second), CrashReport{i, 1})
	}
	if len(c.requests) > c.MaxRequests {
		t.Fatalf("%d requests are tracked, want at most %d", len(c.requests), c.MaxRequests)
	}
	if n := c.Count(now.Add(50*time.Second), 49); n != 1 {
		t.Fatalf("%d upstreams counted for the newest report, want 1", n)
	}
}
