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
	eventually(t, "the entries list each other", func() bool { return e.mesh.Size() == 2 && other.mesh.Size() == 2 })
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
	const fullDigest, briefDigest, fullDigestEvery = 1, 4, 8
	for range 2 * fullDigestEvery {
		if b := other.mesh.Digest(); b[0] != fullDigest {
			t.Fatal("a digest sent right after the entry learned of another one is brief")
		}
	}
	var brief []byte
	eventually(t, "the period in which all digests are full ends", func() bool {
		brief = other.mesh.Digest()
		return brief[0] == briefDigest
	})
	if !e.mesh.HandlePacket(brief, nil) || inFlight() != 1 {
		t.Fatalf("a brief digest was not applied: %d calls in flight, want 1", inFlight())
	}
	// The entry now lists another incarnation, so the second call must not be counted.
	another := *e.mesh.Named("entry-2")
	another.Incarnation = "another"
	setPeer(t, e.Gateway, another)
	other.mu.Lock()
	other.balancer.Started(upstream, &routing.CallInfo{})
	other.mu.Unlock()
	for range fullDigestEvery {
		if b := other.mesh.Digest(); b[0] == briefDigest && (!e.mesh.HandlePacket(b, nil) || inFlight() != 1) {
			t.Fatalf("a brief digest of an unknown incarnation was applied: %d calls in flight, want 1", inFlight())
		}
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
	short := len(e.mesh.FrequentDigest())
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
	eventually(t, "the entries list each other", func() bool { return e.mesh.Size() == 2 && other.mesh.Size() == 2 })
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
