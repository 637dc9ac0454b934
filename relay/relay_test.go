package relay

import (
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/organisation"
)

// TestMatchLongestPrefix: the longest matching prefix must win, and a prefix must end at a slash of
// the path, so that /one/ doesn't match /oneself/.
func TestMatchLongestPrefix(t *testing.T) {
	routes := NewRouteTable(&Document{Routes: []Route{
		{Name: "a", Host: "x.example", Prefix: "/one/"},
		{Name: "b", Host: "x.example", Prefix: "/one/two/"},
		{Name: "c", Host: "y.example", Prefix: "/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"x.example", "/one/2f", "a"},
		{"x.example", "/one/two/2f", "b"},
		{"X.example:8080", "/one/two", "a"},
		{"x.example", "/one", ""},
		{"x.example", "/oneself/", ""},
		{"x.example", "/two/", ""},
		{"y.example", "/anything", "c"},
		{"z.example", "/one/", ""},
	} {
		got := ""
		if r := routes.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestMayRepeat: a call that must run at most once must never count as repeatable, even if its
// route is marked resumable.
func TestMayRepeat(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Repeatable}, true},
		{Route{Kind: AtMostOnce}, false},
		{Route{Kind: AtMostOnce, Resumable: true}, false},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
	} {
		if got := c.route.MayRepeat(); got != c.want {
			t.Errorf("%v route, resumable %v: MayRepeat %v, want %v", c.route.Kind, c.route.Resumable, got, c.want)
		}
	}
}

// TestRegistryIgnoresOlderRegistrations: rows can arrive out of order, and a restarted upstream
// keeps its id. An older row must not replace a newer one, of the same start or of a later one. A
// removal must change only the new registry.
func TestRegistryIgnoresOlderRegistrations(t *testing.T) {
	registration := func(startedAtMs, seq int64, draining bool) *Upstream {
		return &Upstream{ID: "i", Service: "s", StartedAtMs: startedAtMs, Seq: seq, Draining: draining}
	}
	r := NewRegistry().Apply(1, []RegistryChange{{ID: "i", Upstream: registration(100, 5, true)}})
	if got := r.Apply(2, []RegistryChange{{ID: "i", Upstream: registration(100, 4, false)}}).Get("i"); !got.Draining {
		t.Error("an older registration of the same incarnation replaced a newer one")
	}
	if got := r.Apply(2, []RegistryChange{{ID: "i", Upstream: registration(200, 1, false)}}).Get("i"); got.Draining || got.StartedAtMs != 200 {
		t.Error("the registration of a new incarnation under the same id was ignored")
	}
	if got := r.Apply(2, []RegistryChange{{ID: "i", Upstream: registration(50, 9, false)}}).Get("i"); got.StartedAtMs != 100 {
		t.Error("the registration of an earlier incarnation replaced the current one")
	}
	gone := r.Apply(3, []RegistryChange{{ID: "i"}})
	if gone.Get("i") != nil || len(gone.ByService("s")) != 0 || r.Get("i") == nil {
		t.Error("the removal was not applied, or it changed the old registry")
	}
}

// TestCallerSilenceTimeout: the timeout must be the one that callers use, the longest of its 3
// terms.
func TestCallerSilenceTimeout(t *testing.T) {
	for _, c := range []struct{ target, gap, want time.Duration }{
		{0, 0, 2 * time.Second},
		{200 * time.Millisecond, 300 * time.Millisecond, 2400 * time.Millisecond},
		{time.Second, 100 * time.Millisecond, 4 * time.Second},
	} {
		if got := (&Route{LatencyTarget: c.target, GapTarget: c.gap}).CallerSilenceTimeout(); got != c.want {
			t.Errorf("latency target %v, gap target %v: caller silence timeout %v, want %v", c.target, c.gap, got, c.want)
		}
	}
}

// TestPriorityOfOrganisation: the priority of an organisation must replace that of the route, and
// priorities that no call has must not count in the rank.
func TestPriorityOfOrganisation(t *testing.T) {
	urgent, late := 1, 7
	doc := &Document{
		Routes:        []Route{{Host: "h", Prefix: "/a/", Kind: Stream, Priority: 3}, {Host: "h", Prefix: "/b/", Kind: Stream, Priority: 9}},
		Organisations: []organisation.Organisation{{Name: "u", Priority: &urgent}, {Name: "l", Priority: &late}},
	}
	table := NewRouteTable(doc)
	for i, want := range []int{1, 0} {
		if p := Priority(&doc.Routes[0], &doc.Organisations[i]); table.Rank(p) != want {
			t.Errorf("%s: priority %d has rank %d, want %d", doc.Organisations[i].Name, p, table.Rank(p), want)
		}
	}
	doc.Organisations = append(doc.Organisations, organisation.Organisation{Name: "none"})
	table = NewRouteTable(doc)
	for _, c := range []struct {
		o    *organisation.Organisation
		want int
	}{{&doc.Organisations[0], 3}, {&doc.Organisations[2], 2}, {nil, 2}, {&doc.Organisations[1], 1}} {
		if p := Priority(&doc.Routes[0], c.o); table.Rank(p) != c.want {
			t.Errorf("%v: priority %d has rank %d, want %d", c.o, p, table.Rank(p), c.want)
		}
	}
}
