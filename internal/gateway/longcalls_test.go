package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestLongRepeatableCallsAreAnswered: repeatable calls take most of the time that their route allows, at every upstream. A
// call that is given up half way to start again can't end at the other one either, so calls are given time to end once
// it is known that others were given up too soon.
func TestLongRepeatableCallsAreAnswered(t *testing.T) {
	const calls, spared = 30, 8
	e, _ := startEntryWithRaw(t, 2, 4, func(r *http.Request, _ int) rawAnswer {
		time.Sleep(2600 * time.Millisecond)
		return rawAnswer{bytes: encodeRaw(byLength, 200, r.Header.Get("X-Request-Id"), plainHeader, "done")}
	})
	var answered atomic.Int64
	for i := range calls / 6 {
		eachParallel(6, func(k int) {
			if r := e.call("GET", fmt.Sprintf("/read/%d-%d", i, k), "", nil); r.status == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	if n := answered.Load(); n < calls-spared {
		t.Errorf("%d of %d calls were answered, want all but those that show what a call takes", n, calls)
	}
}
