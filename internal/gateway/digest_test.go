package gateway

import (
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/routing"
)

// TestBriefDigests guards against two failures: an entry that has just added another one sends
// it brief digests, whose sender the other can't identify yet; and the counts of an earlier
// incarnation are applied to its successor. Later brief digests must be applied.
func TestBriefDigests(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries list each other", func() bool { return e.mesh.size() == 2 && other.mesh.size() == 2 })
	upstream := e.fleet.Load().byService["llm"][0]
	inFlight := func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		pick, _ := e.balancer.Choose(e.started, []routing.Upstream{upstream}, &routing.CallInfo{}, nil)
		return pick.InFlight
	}
	other.mu.Lock()
	other.balancer.Started(upstream, &routing.CallInfo{})
	other.mu.Unlock()
	for range 2 * fullDigestEvery {
		if b := other.mesh.digest(); b[0] != packetDigest {
			t.Fatal("a digest sent right after the entry learned of another one is brief")
		}
	}
	// The period in which all digests are full ends.
	other.mesh.mu.Lock()
	other.mesh.lastPeerChange = time.Time{}
	other.mesh.mu.Unlock()
	for range fullDigestEvery {
		if b := other.mesh.digest(); b[0] == packetBrief {
			if !e.mesh.handlePacket(b, nil) || inFlight() != 1 {
				t.Fatalf("a brief digest was not applied: %d calls in flight, want 1", inFlight())
			}
			break
		}
	}
	// The entry now lists another incarnation, so the second call must not be counted.
	e.mesh.mu.Lock()
	e.mesh.peers["entry-2"].Incarnation = "another"
	e.mesh.mu.Unlock()
	other.mu.Lock()
	other.balancer.Started(upstream, &routing.CallInfo{})
	other.mu.Unlock()
	for range fullDigestEvery {
		if b := other.mesh.digest(); b[0] == packetBrief && (!e.mesh.handlePacket(b, nil) || inFlight() != 1) {
			t.Fatalf("a brief digest of an unknown incarnation was applied: %d calls in flight, want 1", inFlight())
		}
	}
}

// TestOwnerTimeoutWithManyEntries guards against a fixed timeout for owners of budgets. With 300
// entries digests are 1.2 s apart: an owner whose last digest is 1.5 s old must still be asked,
// and one that has been silent for 4 s must not. With 8 entries the limit is 1 s.
func TestOwnerTimeoutWithManyEntries(t *testing.T) {
	m := &mesh{}
	m.interval.Store(int64(digestIntervalFor(300)))
	now := time.Unix(100, 0)
	if !m.responsive(&peer{lastDigest: now.Add(-1500 * time.Millisecond)}, now) {
		t.Error("with 300 entries an owner that missed one digest counts as unresponsive")
	}
	if m.responsive(&peer{lastDigest: now.Add(-4 * time.Second)}, now) {
		t.Error("with 300 entries an owner that missed 3 digests counts as responsive")
	}
	m.interval.Store(int64(digestIntervalFor(8)))
	if m.responsive(&peer{lastDigest: now.Add(-1100 * time.Millisecond)}, now) {
		t.Error("with 8 entries an owner that missed 10 digests counts as responsive")
	}
}

// TestCallDigestsStayInTheDomain guards against entries that know the calls of others only when these
// have ended: with 84 entries digests to all are 336 ms apart, and those to the 17 of the own
// domain must be 112 ms apart. Up to 25 entries one interval is enough for both.
func TestCallDigestsStayInTheDomain(t *testing.T) {
	for _, c := range []struct{ entries, near, digests int }{{8, 3, 1}, {25, 9, 1}, {33, 11, 1}, {84, 17, 3}, {300, 60, 5}, {300, 300, 1}} {
		if got := callDigestsFor(digestIntervalFor(c.entries), c.near); got != c.digests {
			t.Errorf("%d entries, %d of them in the domain: %d digests an interval, want %d", c.entries, c.near, got, c.digests)
		}
	}
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entry lists the other", func() bool { return e.mesh.size() == 2 && other.mesh.size() == 2 })
	e.mesh.mu.Lock()
	far := *e.mesh.peers["entry-2"]
	far.Node, far.Domain = "entry-3", "elsewhere"
	e.mesh.peers[far.Node] = &far
	e.mesh.mu.Unlock()
	if near, all := e.mesh.digestTargets(true), e.mesh.digestTargets(false); len(all) != len(near)+1 {
		t.Errorf("%d near and %d targets in all, want one more in all", len(near), len(all))
	}
}

// TestCallDigestKeepsReports guards against call digests that take along what must reach all entries: the
// digest after one must still carry the cached prompts and the speeds.
func TestCallDigestKeepsReports(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	upstream := e.fleet.Load().byService["llm"][0]
	e.mu.Lock()
	usualSpeed(e)
	for range 3 {
		e.balancer.ObserveDecode(time.Now(), "llm", upstream.ID, routing.Decode{Tokens: 10, BatchSize: 1, Elapsed: 40 * time.Millisecond, Undisturbed: 4 * time.Millisecond})
	}
	e.mu.Unlock()
	short := len(e.mesh.callDigest())
	reports := 0
	e.mu.Lock()
	e.balancer.TakeUnreportedSpeeds(func(string, float64, int) bool { reports++; return false })
	e.mu.Unlock()
	if reports != 1 {
		t.Fatalf("%d upstreams with speeds to report after a call digest of %d bytes, want 1", reports, short)
	}
}

// TestSlowUpstreamIsKnownToAllEntries sends the digest of an entry that has seen three slow calls to
// another entry, which must then take the upstream for slow as well.
func TestSlowUpstreamIsKnownToAllEntries(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries list each other", func() bool { return e.mesh.size() == 2 && other.mesh.size() == 2 })
	upstream := e.fleet.Load().byService["llm"][0]
	slowness := func(g *testEntry) float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		pick, _ := g.balancer.Choose(time.Now(), []routing.Upstream{upstream}, &routing.CallInfo{}, nil)
		return pick.Slowness
	}
	other.mu.Lock()
	usualSpeed(other)
	for range 3 {
		other.balancer.ObserveDecode(time.Now(), "llm", upstream.ID, routing.Decode{Tokens: 10, BatchSize: 1, Elapsed: 100 * time.Millisecond, Undisturbed: 10 * time.Millisecond})
	}
	other.mu.Unlock()
	eventually(t, "the other entry's slow calls count", func() bool { return slowness(e) > 1.5 })
}

// usualSpeed records calls at another upstream, with which those under test are compared. The entry must be
// locked.
func usualSpeed(e *testEntry) {
	for range 30 {
		e.balancer.ObserveDecode(time.Now(), "llm", "another", routing.Decode{Tokens: 10, BatchSize: 1, Elapsed: 10 * time.Millisecond, Undisturbed: time.Millisecond})
	}
}
