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
		r.ListRead("before")
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
	r := newRejoin()
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

	r = newRejoin()
	r.Answered(sound, true, []string{"b/b1"})
	check("all entries asked", sound, RejoinPeer{"b", "b1", false})
	r = newRejoin()
	r.Answered(restarted, false, []string{"e/e1"})
	check("handed over", sound, restarted)
}

// newRejoin returns the state of an entry of node e that replaces its process e1 and has read the list of entries.
func newRejoin() *Rejoin {
	r := NewRejoin("e")
	r.ListRead("e1")
	return r
}

// TestRejoinNeedsTheList reproduces review case 6: three of six processes were killed, and the list of entries was slow. A process that
// started again had heard only of those that stayed, asked them all, and took itself for synchronised, though the
// other two that were killed had acknowledged claims with it.
func TestRejoinNeedsTheList(t *testing.T) {
	r := NewRejoin("e")
	stayed, killed := RejoinPeer{"a", "a1", true}, RejoinPeer{"b", "b2", false}
	r.Answered(stayed, true, nil)
	if reason := r.Synchronised([]RejoinPeer{stayed}); reason != "" {
		t.Errorf("synchronised because of %q before the list of entries was read", reason)
	}
	r.ListRead("e1")
	if reason := r.Synchronised([]RejoinPeer{stayed, killed}); reason != "" {
		t.Errorf("synchronised because of %q though a listed entry has told nothing", reason)
	}
	r.Answered(killed, true, nil)
	if reason := r.Synchronised([]RejoinPeer{stayed, killed}); reason == "" {
		t.Error("not synchronised after all listed entries have told what they know")
	}
}

// TestRejoinIgnoresAnOldHandover: a process handed its claims over and was replaced by one that was killed. What was handed over says nothing of the
// claims that the killed one has acknowledged, neither at the next process of its node nor at others.
func TestRejoinIgnoresAnOldHandover(t *testing.T) {
	peer := RejoinPeer{"a", "a1", false}
	r := newRejoin()
	r.Answered(peer, false, []string{"e/e0"})
	if reason := r.Synchronised([]RejoinPeer{peer}); reason != "" {
		t.Errorf("synchronised because of %q, handed over by a process before the last", reason)
	}
	r = newRejoin()
	r.Answered(peer, true, []string{"b/b0"})
	if reason := r.Synchronised([]RejoinPeer{peer, {"b", "b1", false}}); reason != "" {
		t.Errorf("synchronised because of %q, another node's process has told nothing", reason)
	}
}
