package side

import (
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// The traffic of load reports must not grow with the number of watchers: the more there
// are, the longer is the interval between two reports.
func TestLoadReportIntervalGrowsWithWatchers(t *testing.T) {
	s, err := New(Config{Kind: structs.KindApplication, BatchLimit: 1, QueueLimit: 1})
	if err != nil {
		t.Fatal(err)
	}
	reports := func() int {
		n := 0
		start := time.Unix(0, 0)
		for at := time.Duration(0); at < 28*time.Second; at += 250 * time.Millisecond {
			if s.reportDue(start.Add(at)) {
				n++
			}
		}
		s.lastReport = time.Time{}
		return n
	}
	if n := reports(); n != 112 {
		t.Errorf("without watchers %d of 112 reports are due in 28s, want all", n)
	}
	for range 14 {
		s.watchers.add()
	}
	// Checks are 250ms apart, so an interval of 1.4s ends at the check after 1.5s.
	if n := reports(); n != 19 {
		t.Errorf("with 14 watchers %d reports are due in 28s, want 19", n)
	}
}
