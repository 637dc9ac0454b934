package quarantine

import (
	"testing"
	"time"
)

func TestThreeUpstreamsCrashed(t *testing.T) {
	s := NewCrashCounter()
	now := time.Unix(100, 0)
	call := HashCall("POST", "/a/1", "", []byte("body"))
	for i, upstream := range []uint64{1, 1, 2} {
		s.Add(now, CrashReport{call, upstream})
		if s.Refused(now, call) {
			t.Fatalf("refused after %d strikes at two upstreams", i+1)
		}
	}
	if !s.Add(now, CrashReport{call, 3}) || !s.Refused(now, call) {
		t.Fatal("not refused after three upstreams crashed")
	}
	if s.Refused(now, HashCall("POST", "/a/1", "", []byte("other"))) {
		t.Fatal("another body is refused")
	}
	if s.Refused(now.Add(s.StrikeFor+time.Second), call) {
		t.Fatal("refused for ever")
	}
}

func TestStrikesAreBounded(t *testing.T) {
	s := NewCrashCounter()
	s.MaxRequests = 10
	now := time.Unix(100, 0)
	for i := range uint64(50) {
		s.Add(now.Add(time.Duration(i)*time.Second), CrashReport{i, 1})
	}
	if len(s.requests) > s.MaxRequests {
		t.Fatalf("%d requests", len(s.requests))
	}
	if s.Count(now.Add(50*time.Second), 49) != 1 {
		t.Fatal("the newest strike is gone")
	}
}
