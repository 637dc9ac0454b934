package side

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/structs"
)

func userMessages(n int) []structs.Message {
	var out []structs.Message
	for i := range n {
		out = append(out, structs.Message{Role: structs.RoleUser, Content: strings.Repeat("x", i+1)})
	}
	return out
}

func TestHistoriesResolveOnlyWhatTheyHold(t *testing.T) {
	h, err := newHistories(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	whole := userMessages(5)
	digest := func(n int) structs.Digest { return structs.Digest{}.AppendAll(whole[:n]) }
	h.put("e1-a.1", whole[:3], digest(3))

	got, err := h.resolve("e1-a.1", 3, digest(3), whole[3:], digest(5))
	if err != nil || len(got) != 5 || digest(5) != (structs.Digest{}).AppendAll(got) {
		t.Fatalf("resolve of a held base = %v, %v", got, err)
	}
	if got, err = h.resolve("e1-a.1", 2, digest(2), whole[2:], digest(5)); err != nil || len(got) != 5 {
		t.Fatalf("resolve of a shorter base = %v, %v", got, err)
	}
	for _, c := range []struct {
		name    string
		program structs.ProgramID
		count   int
		base    structs.Digest
		delta   []structs.Message
		whole   structs.Digest
		code    structs.Code
	}{
		{"another program's base", "e1-a.2", 3, digest(3), whole[3:], digest(5), structs.CodeHistoryMissing},
		{"a longer base", "e1-a.1", 4, digest(4), whole[4:], digest(5), structs.CodeHistoryMissing},
		{"a base of other messages", "e1-a.1", 2, digest(3), whole[2:], digest(5), structs.CodeHistoryMissing},
		{"a delta of other messages", "e1-a.1", 3, digest(3), whole[4:], digest(5), structs.CodeBadRequest},
		{"a whole of other messages", "e1-a.1", 0, structs.Digest{}, whole[1:], digest(5), structs.CodeBadRequest},
	} {
		_, err := h.resolve(c.program, c.count, c.base, c.delta, c.whole)
		var r *structs.Refusal
		if !errors.As(err, &r) || r.Code != c.code || r.Outcome != structs.OutcomeNotRun {
			t.Errorf("%s: %v, want %s", c.name, err, c.code)
		}
	}
}

func TestHistoriesStayInTheirBound(t *testing.T) {
	h, err := newHistories(400)
	if err != nil {
		t.Fatal(err)
	}
	messages := userMessages(3)
	digest := structs.Digest{}.AppendAll(messages)
	for i := range 100 {
		h.put(structs.NewProgramID("e1-a", uint64(i)), messages, digest)
		if h.used > h.limit {
			t.Fatalf("%d bytes are used, the limit is %d", h.used, h.limit)
		}
	}
	if _, err := h.resolve("e1-a.99", 3, digest, nil, digest); err != nil {
		t.Fatalf("the newest conversation is gone: %v", err)
	}
	if _, err := h.resolve("e1-a.0", 3, digest, nil, digest); err == nil {
		t.Fatal("the oldest conversation is still held")
	}
}
