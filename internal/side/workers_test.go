package side

import (
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// The more entries read a side's load, the rarer are its reports.
func TestLoadReportsAreSharedByTheirReaders(t *testing.T) {
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
		s.reported = time.Time{}
		return n
	}
	if n := reports(); n != 112 {
		t.Errorf("without readers %d reports are due in 28s, want each of 112", n)
	}
	for range 14 {
		s.watchers.add()
	}
	// A report is due at the first look after 1.4s, which is the one after 1.5s.
	if n := reports(); n != 19 {
		t.Errorf("with 14 readers %d reports are due in 28s, want 19", n)
	}
}
