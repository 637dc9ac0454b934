package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/settings"
)

// TestRestartedEntriesAskForClaimsOnce: all entries have started again, so that none knows all claims. Each asks each
// other once, not at each interval until they do.
func TestRestartedEntriesAskForClaimsOnce(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	p.registerUpstream(newScriptedUpstream(t, "app-1", answerNotRun), "app", "ready", 1)
	const n = 3
	var entries []*testEntry
	for i := range n {
		entries = append(entries, startEntryChanged(t, fmt.Sprint("entry-", i+1), p.standin.Table, func(s *settings.Gateway) { s.FirstStart = false }))
	}
	asked := func(e *testEntry) int64 { return e.scope.Snapshot().Counters()["gateway.budget_claims_asked+"].Value() }
	for _, e := range entries {
		eventually(t, "the entry has asked the others", func() bool { return asked(e) >= n-1 })
	}
	time.Sleep(5 * synchroniseInterval)
	for _, e := range entries {
		if k := asked(e); k != n-1 {
			t.Errorf("%s asked %d times, want each of %d others once", e.cfg.Node, k, n-1)
		}
	}
}
