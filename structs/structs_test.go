package structs

import (
	"testing"

	"github.com/cockroachdb/errors"
)

// TestProgramID guards against ids from which a wrong log or program is derived, and against
// malformed ids that are accepted.
func TestProgramID(t *testing.T) {
	id := NewProgramID("e1-5f0c2a", 17)
	if id.Log() != "e1-5f0c2a" || NewCallID(id, 3, 2).Program() != id {
		t.Fatalf("program id %q: wrong log %q, or wrong program of its call %q", id, id.Log(), NewCallID(id, 3, 2))
	}
	for _, bad := range []string{"", "x", ".1", "e1.x", "e1-1.1/2"} {
		if _, err := ParseProgramID(bad); !errors.Is(err, ErrBadProgramID) {
			t.Errorf("ParseProgramID(%q) returned %v, want ErrBadProgramID", bad, err)
		}
	}
}

// TestDigestSeparatesFields guards against equal digests of conversations whose text is split
// differently between fields or messages, as they would be without the length before each
// field. It also checks that a digest survives its encoding as text, and that a text of the
// wrong length is rejected.
func TestDigestSeparatesFields(t *testing.T) {
	a := ConversationDigest{}.Append(Message{Role: RoleUser, Content: "ab"})
	b := ConversationDigest{}.Append(Message{Role: RoleUser, Content: "a", ToolCallID: "b"})
	c := ConversationDigest{}.AppendAll([]Message{{Role: RoleUser, Content: "a"}, {Role: RoleUser, Content: "b"}})
	if a == b || a == c || b == c {
		t.Fatal("different conversations have the same digest")
	}
	var decoded ConversationDigest
	if err := decoded.UnmarshalText([]byte(a.String())); err != nil || decoded != a {
		t.Fatalf("digest %s decoded to %s, error %v", a, decoded, err)
	}
	if err := decoded.UnmarshalText([]byte("00")); !errors.Is(err, ErrBadDigest) {
		t.Fatalf("digest of 1 byte gave error %v, want ErrBadDigest", err)
	}
}
