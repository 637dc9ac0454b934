package ledger

import (
	"fmt"
	"testing"
	"time"
)

// TestRejoinAsksEachPeerTwice: all entries start again at once and look at their peers every 400 ms, for the two minutes after which
// an entry is synchronised by its uptime. No entry asks another more than twice.
func TestRejoinAsksEachPeerTwice(t *testing.T) {
	const interval, uptime = 400 * time.Millisecond, 2 * time.Minute
	for _, n := range []int{34, 300, 1000} {
		r := NewRejoin("entry-0")
		asks := map[string]int{}
		reason := ""
		for now := time.Duration(0); reason == "" && now < 2*uptime; now += interval {
			peers := make([]RejoinPeer, 0, n-1)
			for i := 1; i < n; i++ {
				up := uptime + time.Duration(i)*time.Millisecond
				peers = append(peers, RejoinPeer{fmt.Sprint("entry-", i), "life", now > up})
			}
			for _, p := range peers {
				if r.ShouldAsk(p) {
					asks[p.Node]++
					r.Answered(p, p.Synchronised, nil)
				}
			}
			reason = r.Synchronised(peers)
		}
		if reason != "all entries asked" {
			t.Errorf("%d entries: synchronised because of %q", n, reason)
		}
		for node, k := range asks {
			if k > 2 {
				t.Errorf("%d entries: %s was asked %d times, want at most 2", n, node, k)
			}
		}
	}
}

// TestRejoinNeedsEveryNode: an entry is synchronised only once each other node has told all its claims, or has handed them over.
func TestRejoinNeedsEveryNode(t *testing.T) {
	sound, restarted := RejoinPeer{"a", "a1", true}, RejoinPeer{"b", "b1", false}
	r := NewRejoin("e")
	check := func(want string, peers ...RejoinPeer) {
		t.Helper()
		if got := r.Synchronised(peers); got != want {
			t.Errorf("synchronised because of %q, want %q", got, want)
		}
	}
	check("") // without peers nothing shows that there are none
	check("", sound, restarted)
	r.Answered(sound, true, nil)
	check("", sound, restarted)
	r.Answered(restarted, false, nil)
	check("", sound, restarted)
	if r.ShouldAsk(restarted) {
		t.Error("a peer that has told what it knows is asked again")
	}
	restarted.Incarnation = "b2"
	if !r.ShouldAsk(restarted) {
		t.Error("a peer that has started again is not asked")
	}
	restarted.Synchronised = true
	r.Answered(restarted, true, nil)
	check("all entries asked", sound, restarted)
	// A node that told all its claims may start again: it has acknowledged none for this entry's node since.
	check("all entries asked", sound, RejoinPeer{"b", "b3", false})

	r = NewRejoin("e")
	r.Answered(sound, true, []string{"b"})
	check("all entries asked", sound, RejoinPeer{"b", "b1", false})
	r = NewRejoin("e")
	r.Answered(restarted, false, []string{"e"})
	check("handed over", sound, restarted)
}
