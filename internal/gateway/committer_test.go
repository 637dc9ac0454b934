package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
)

// TestBatchedWritesOfOneRowDoNotOverwrite: changes of one row that expect the same version wait together beyond the
// rate. One of them may succeed: in one transaction the conditions of all would hold, and the last would
// silently replace what the others wrote.
func TestBatchedWritesOfOneRowDoNotOverwrite(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	e.commits.setRate(1) // minWriteRate in force: the commits below share transactions
	const n = 20
	var applied atomic.Int64
	var wait sync.WaitGroup
	for i := range n {
		wait.Add(1)
		go func() {
			defer wait.Done()
			err := e.commits.apply(t.Context(), []platformapi.Condition{{Key: "budgets/0/p", Version: platformapi.Absent}},
				[]platformapi.Write{{Key: "budgets/0/p", Value: fmt.Append(nil, i)}})
			if err == nil {
				applied.Add(1)
			}
		}()
	}
	wait.Wait()
	if k := applied.Load(); k != 1 {
		t.Errorf("%d of %d writes that each expect the row to be absent were applied, want 1", k, n)
	}
}
