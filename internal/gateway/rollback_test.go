package gateway

import (
	"net/http"
	"testing"
	"time"
)

// TestStreamOfRolledBackVersionIsNotResumed guards against a stream whose text comes from two software
// versions: an upstream of a second version serves for a moment, a stream begins there, and all entries
// end at once; then the new version is rolled back. An entry that starts must not resume that stream at
// the version that the table names as the only one.
func TestStreamOfRolledBackVersionIsNotResumed(t *testing.T) {
	const rounds = 4
	for range rounds {
		v := startVersionedEntries(t, 2, 1)
		old := newScriptedUpstream(t, "llm-1", answerEvents(1, 2, false))
		v.register(old, "v1")
		eventually(t, "the version is recorded", func() bool {
			row, err := v.p.standin.Table.Get(t.Context(), settledPrefix+"llm")
			return err == nil && len(row.Value) > 0
		})
		started := newScriptedUpstream(t, "llm-2", answerEvents(0, 0, true))
		v.register(started, "v2")
		first := beginAt(v, started)
		for _, e := range v.entries {
			e.stop()
		}
		v.p.removeUpstream(started)
		e := v.startAgain("entry-1")
		r := e.takeUp(first)
		if r.status != http.StatusServiceUnavailable {
			t.Errorf("a stream that began at v2 went on at v1: %+v", r)
		}
		e.stop()
	}
}

// beginAt sends calls to the entries until one has begun a stream at the upstream, and returns its id. It
// fails the test if none has within the time in which an entry may wait for the table.
func beginAt(v *versionedEntries, u *scriptedUpstream) string {
	v.t.Helper()
	const patience = 3 * time.Second
	for start, i := time.Now(), 0; time.Since(start) < patience; i++ {
		id := newID()
		v.entries[i%len(v.entries)].call("POST", "/ask/1", "x", map[string]string{"X-Request-Id": id})
		for _, r := range u.requests() {
			if r.header.Get("X-Request-Id") == id {
				return id
			}
		}
	}
	v.t.Fatal("no stream began at " + u.id)
	return ""
}
