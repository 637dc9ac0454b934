package resume

import (
	"testing"
	"time"
)

// TestRowsOfAllBuilds: rows of earlier builds are the bare version and must stay readable; a row that can't be
// read must not clear any version.
func TestRowsOfAllBuilds(t *testing.T) {
	for _, want := range []Row{{Named: "v1", Routes: "r"}, {Prepared: "v1", Routes: "r"}, {}} {
		value, err := want.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if got := DecodeRow(value, 0); got != want {
			t.Errorf("%s is decoded as %+v, want %+v", value, got, want)
		}
	}
	if r := DecodeRow([]byte("v1"), 3); r != (Row{Version: 3, Named: "v1"}) {
		t.Errorf("the row of an earlier build is decoded as %+v", r)
	}
	for _, value := range []string{"{", `{"state":"later","version":"v1"}`, `{"state":"named"}`} {
		if r := DecodeRow([]byte(value), 3); r.Named != "" || r.clears("v1", true) {
			t.Errorf("%s is decoded as %+v, which clears a version", value, r)
		}
	}
}

// TestNoCallsWithoutReason: neither a service without streams nor one whose only version is named causes calls
// to the table, and other entries leave a withdrawal to the owner for a while.
func TestNoCallsWithoutReason(t *testing.T) {
	named := map[string]Row{"s": {Version: 1, Named: "v1", Routes: "r"}}
	list := func(versions map[string]bool) Listing {
		return Listing{Registered: map[string]map[string]bool{"s": versions, "plain": {"v1": true, "v2": true}}}
	}
	r := NewRows(false, 100*time.Millisecond)
	r.SetRoutes(start, map[string]string{"s": "r"})
	r.Update(start, list(map[string]bool{"v1": true}))
	r.ReadAll(start, start, named)
	for s := range 200 {
		now := start.Add(time.Duration(s) * time.Second)
		r.Confirm(now)
		for _, service := range []string{"s", "plain"} {
			if a := r.Next(now, service, false); a.Operation != Nothing {
				t.Fatalf("after %d s the row of %q causes %+v", s, service, a)
			}
		}
	}
	now := start.Add(200 * time.Second)
	r.Update(now, list(map[string]bool{"v1": true, "v2": true}))
	if a := r.Next(now, "s", false); a.Operation != Nothing {
		t.Errorf("an entry that does not own the row does %+v at once", a)
	}
	if a := r.Next(now, "s", true); a.Operation != ReadRow {
		t.Errorf("the owner of the row does %+v at once, want a read", a)
	}
	r.Read(now, now, "s", named["s"])
	if a := r.Next(now, "s", true); a.Operation != WriteRow || a.Row != (Row{Version: 1}) {
		t.Errorf("the owner of a row that names another version does %+v, want a withdrawal", a)
	}
}
