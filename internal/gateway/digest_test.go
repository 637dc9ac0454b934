package gateway

import (
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/routing"
)

// TestBriefDigests: entries that have heard of another name themselves in each digest for a
// while. After that those that name the sender's life alone are believed, and those of a
// life that is not known are not.
func TestBriefDigests(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries know each other", func() bool { return e.mesh.size() == 2 && other.mesh.size() == 2 })
	seat := e.fleet.Load().byService["llm"][0]
	inFlight := func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		pick, _ := e.balancer.Choose(e.started, []routing.Upstream{seat}, &routing.CallInfo{}, nil)
		return pick.InFlight
	}
	other.mu.Lock()
	other.balancer.Started(seat, &routing.CallInfo{})
	other.mu.Unlock()
	for range 2 * namedEvery {
		if b := other.mesh.digest(); b[0] != packetDigest {
			t.Fatal("a digest right after the entry heard of another does not name it")
		}
	}
	other.mesh.mu.Lock()
	other.mesh.changed = time.Time{}
	other.mesh.mu.Unlock()
	for range namedEvery {
		if b := other.mesh.digest(); b[0] == packetBrief {
			if !e.mesh.packet(b, nil) || inFlight() != 1 {
				t.Fatalf("a brief digest is not believed: %d in flight", inFlight())
			}
			break
		}
	}
	e.mesh.mu.Lock()
	e.mesh.peers["entry-2"].Life = "another"
	e.mesh.mu.Unlock()
	other.mu.Lock()
	other.balancer.Started(seat, &routing.CallInfo{})
	other.mu.Unlock()
	for range namedEvery {
		if b := other.mesh.digest(); b[0] == packetBrief && (!e.mesh.packet(b, nil) || inFlight() != 1) {
			t.Fatalf("a digest of an unknown life is believed: %d in flight", inFlight())
		}
	}
}

// TestOwnersAmongManyEntries: with 300 entries digests are 1.2 s apart; an owner that was
// heard one digest ago still counts budgets, and one that is silent for long does not.
func TestOwnersAmongManyEntries(t *testing.T) {
	m := &mesh{}
	m.interval.Store(int64(intervalAmong(300)))
	now := time.Unix(100, 0)
	if !m.responsive(&peer{lastDigest: now.Add(-1500 * time.Millisecond)}, now) {
		t.Error("an owner that was heard one digest ago counts as dead")
	}
	if m.responsive(&peer{lastDigest: now.Add(-4 * time.Second)}, now) {
		t.Error("an owner that missed three digests counts as alive")
	}
	m.interval.Store(int64(intervalAmong(8)))
	if m.responsive(&peer{lastDigest: now.Add(-1100 * time.Millisecond)}, now) {
		t.Error("among eight entries an owner that is silent for ten digests counts as alive")
	}
}
