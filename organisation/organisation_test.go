package organisation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// TestByKey guards against a key that identifies another organisation than the first one that has
// it, and against an empty key that identifies one.
func TestByKey(t *testing.T) {
	table := NewTable([]Organisation{
		{Name: "a", Keys: []string{"a1", "both", "a1"}},
		{Name: "none"},
		{Name: "b", Keys: []string{"both", "b1"}},
		{Name: "empty", Keys: []string{""}},
	})
	for key, want := range map[string]string{"a1": "a", "both": "a", "b1": "b"} {
		if o := table.ByKey(key); o == nil || o.Name != want || o.Scope != ScopeOf(want) {
			t.Errorf("key %q: %v, want organisation %q with its scope", key, o, want)
		}
	}
	for _, key := range []string{"", "a", "A1", "b1 "} {
		if o := table.ByKey(key); o != nil {
			t.Errorf("key %q: %v, want none", key, o)
		}
	}
	if got := table.Shared(); !slices.Equal(got, []SharedKey{{"a", "b"}}) {
		t.Errorf("shared keys %v, want one of a and b", got)
	}
	if got := table.WithoutKeys(); !slices.Equal(got, []string{"none", "empty"}) {
		t.Errorf("without keys %v, want none and empty", got)
	}
}

// TestScopedIDsDoNotMeet guards against ids of one organisation, or of a caller without one, that
// name what belongs to another organisation.
func TestScopedIDsDoNotMeet(t *testing.T) {
	table := NewTable([]Organisation{{Name: "a", Keys: []string{"1"}}, {Name: "b", Keys: []string{"2"}}})
	a, b := table.ByKey("1"), table.ByKey("2")
	var none *Organisation
	if !strings.HasPrefix(a.ScopedID("t"), a.Scope) || len(a.Scope) != 25 || none.ScopedID("t") != "t" || a.ScopedID("") != "" {
		t.Errorf("ids %q of a, %q without organisation, want 24 digits and a slash before the first alone", a.ScopedID("t"), none.ScopedID("t"))
	}
	ids := []string{"t", a.ScopedID("t"), b.ScopedID("t"), noScope + "t", noScope + a.ScopedID("t")}
	seen := map[string]string{}
	for _, o := range []*Organisation{a, b, none} {
		for _, id := range ids {
			if other, ok := seen[o.ScopedID(id)]; ok {
				t.Errorf("id %q of %v is stored as %q, like %s", id, o, o.ScopedID(id), other)
			}
			seen[o.ScopedID(id)] = fmt.Sprintf("id %q of %v", id, o)
		}
	}
}

// TestFormatHidesKeys guards against keys in log lines and errors that print an organisation.
func TestFormatHidesKeys(t *testing.T) {
	o := Organisation{Name: "a", Keys: []string{"secret"}}
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		if text := fmt.Sprintf(format, o) + fmt.Sprintf(format, &o) + fmt.Sprintf(format, []Organisation{o}); strings.Contains(text, "secret") {
			t.Errorf("%s prints %s", format, text)
		}
	}
}

// many returns 13,000 organisations with 3 keys each, the largest deployment.
func many() []Organisation {
	out := make([]Organisation, 13000)
	for i := range out {
		out[i].Name = fmt.Sprintf("organisation-%d", i)
		for k := range 3 {
			out[i].Keys = append(out[i].Keys, fmt.Sprintf("key-%d-%d-0123456789abcdef", i, k))
		}
	}
	return out
}

func BenchmarkNewTable(b *testing.B) {
	organisations := many()
	b.ReportAllocs()
	for b.Loop() {
		NewTable(organisations)
	}
}

func BenchmarkByKey(b *testing.B) {
	organisations := many()
	table := NewTable(organisations)
	for i := 0; b.Loop(); i++ {
		if table.ByKey(organisations[i*7919%len(organisations)].Keys[i%3]) == nil {
			b.Fatal("key not found")
		}
	}
}
