package structs

import (
	"testing"

	"github.com/cockroachdb/errors"
)

func TestProgramID(t *testing.T) {
	id := NewProgramID("e1-5f0c2a", 17)
	if id.Log() != "e1-5f0c2a" || NewCallID(id, 3, 2).Program() != id {
		t.Fatalf("id %q does not name its log and calls", id)
	}
	for _, bad := range []string{"", "x", ".1", "e1.x", "e1-1.1/2"} {
		if _, err := ParseProgramID(bad); !errors.Is(err, ErrBadProgramID) {
			t.Errorf("ParseProgramID(%q) = %v", bad, err)
		}
	}
}

func TestDigestSeparatesFields(t *testing.T) {
	a := Digest{}.Append(Message{Role: RoleUser, Content: "ab"})
	b := Digest{}.Append(Message{Role: RoleUser, Content: "a", ToolCallID: "b"})
	c := Digest{}.AppendAll([]Message{{Role: RoleUser, Content: "a"}, {Role: RoleUser, Content: "b"}})
	if a == b || a == c || b == c {
		t.Fatal("different conversations share a digest")
	}
	var back Digest
	if err := back.UnmarshalText([]byte(a.String())); err != nil || back != a {
		t.Fatalf("round trip of %s gave %s, %v", a, back, err)
	}
	if err := back.UnmarshalText([]byte("00")); !errors.Is(err, ErrBadDigest) {
		t.Fatalf("short digest gave %v", err)
	}
}
