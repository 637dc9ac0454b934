package relay

import (
	"testing"
	"time"
)

func TestMatchLongestPrefix(t *testing.T) {
	table := NewRouteTable(&Document{Routes: []Route{
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
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

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
			t.Errorf("%v resumable %v: %v", c.route.Kind, c.route.Resumable, got)
		}
	}
}

func TestRegistryNeverGoesBack(t *testing.T) {
	up := func(born, seq int64, draining bool) *Upstream {
		return &Upstream{ID: "i", Service: "s", StartedAtMs: born, Seq: seq, Draining: draining}
	}
	r := NewRegistry().Apply(1, []RegistryChange{{ID: "i", Upstream: up(100, 5, true)}})
	if got := r.Apply(2, []RegistryChange{{ID: "i", Upstream: up(100, 4, false)}}).Get("i"); !got.Draining {
		t.Error("an older registration of the same life replaced a newer one")
	}
	if got := r.Apply(2, []RegistryChange{{ID: "i", Upstream: up(200, 1, false)}}).Get("i"); got.Draining || got.StartedAtMs != 200 {
		t.Error("a new life under the same id was not taken")
	}
	if got := r.Apply(2, []RegistryChange{{ID: "i", Upstream: up(50, 9, false)}}).Get("i"); got.StartedAtMs != 100 {
		t.Error("an earlier life came back")
	}
	gone := r.Apply(3, []RegistryChange{{ID: "i"}})
	if gone.Get("i") != nil || len(gone.ByService("s")) != 0 || r.Get("i") == nil {
		t.Error("removal must change the new registry alone")
	}
}

func TestSilence(t *testing.T) {
	for _, c := range []struct{ target, gap, want time.Duration }{
		{0, 0, 2 * time.Second},
		{200 * time.Millisecond, 300 * time.Millisecond, 2400 * time.Millisecond},
		{time.Second, 100 * time.Millisecond, 4 * time.Second},
	} {
		if got := (&Route{LatencyTarget: c.target, GapTarget: c.gap}).SilenceTimeout(); got != c.want {
			t.Errorf("target %v, gap %v: %v, want %v", c.target, c.gap, got, c.want)
		}
	}
}
