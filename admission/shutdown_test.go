package admission

import (
	"testing"
	"time"
)

func TestShutdownAdmits(t *testing.T) {
	begin := time.Unix(0, 0)
	s := Shutdown{DrainedAt: begin.Add(2 * time.Second), End: begin.Add(7 * time.Second)}
	for _, c := range []struct {
		name      string
		at        time.Duration
		timeout   time.Duration
		predicted time.Duration
		want      bool
	}{
		{"ends in time whatever happens", time.Second, 3 * time.Second, time.Minute, true},
		{"ends just in time", 4 * time.Second, 3 * time.Second, time.Minute, true},
		{"long timeout, short call, before callers know", time.Second, time.Minute, time.Second, true},
		{"long timeout, long call, before callers know", time.Second, time.Minute, 3 * time.Second, false},
		{"long timeout, short call, after the drain delay", 2 * time.Second, time.Minute, time.Millisecond, false},
		{"late in the grace", 6800 * time.Millisecond, 3 * time.Second, time.Millisecond, false},
		{"after the end", 8 * time.Second, time.Second, 0, false},
	} {
		now := begin.Add(c.at)
		got := s.Admits(now, ShutdownCall{Deadline: now.Add(c.timeout), Predicted: c.predicted})
		if got != c.want {
			t.Errorf("%s: admitted %v, want %v", c.name, got, c.want)
		}
	}
}
