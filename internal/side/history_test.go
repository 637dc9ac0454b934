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

// A call must run only with exactly the conversation that its digest names. It is
// refused if the base is not stored or if base and delta give other messages.
func TestHistoryCacheResolvesOnlyStoredConversations(t *testing.T) {
	h, err := newHistoryCache(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	whole := userMessages(5)
	digest := func(n int) structs.ConversationDigest { return structs.ConversationDigest{}.AppendAll(whole[:n]) }
	h.put("e1-a.1", whole[:3], digest(3))

	got, err := h.resolve("e1-a.1", 3, digest(3), whole[3:], digest(5))
	if err != nil || len(got) != 5 || digest(5) != (structs.ConversationDigest{}).AppendAll(got) {
		t.Fatalf("resolve with a stored base = %v, %v", got, err)
	}
	if got, err = h.resolve("e1-a.1", 2, digest(2), whole[2:], digest(5)); err != nil || len(got) != 5 {
		t.Fatalf("resolve with a part of the stored base = %v, %v", got, err)
	}
	for _, c := range []struct {
		name    string
		program structs.ProgramID
		count   int
		base    structs.ConversationDigest
		delta   []structs.Message
		whole   structs.ConversationDigest
		code    structs.Code
	}{
		{"another program's base", "e1-a.2", 3, digest(3), whole[3:], digest(5), structs.CodeHistoryMissing},
		{"a longer base", "e1-a.1", 4, digest(4), whole[4:], digest(5), structs.CodeHistoryMissing},
		{"a base with the digest of other messages", "e1-a.1", 2, digest(3), whole[2:], digest(5), structs.CodeHistoryMissing},
		{"a delta that lacks a message", "e1-a.1", 3, digest(3), whole[4:], digest(5), structs.CodeBadRequest},
		{"a conversation that lacks its first message", "e1-a.1", 0, structs.ConversationDigest{}, whole[1:], digest(5), structs.CodeBadRequest},
	} {
		_, err := h.resolve(c.program, c.count, c.base, c.delta, c.whole)
		var r *structs.Refusal
		if !errors.As(err, &r) || r.Code != c.code || r.Outcome != structs.OutcomeNotRun {
			t.Errorf("%s: %v, want %s", c.name, err, c.code)
		}
	}
}

// The cache must not exceed its limit, and has to drop the least recently used
// conversations first.
func TestHistoryCacheStaysWithinItsLimit(t *testing.T) {
	h, err := newHistoryCache(400)
	if err != nil {
		t.Fatal(err)
	}
	messages := userMessages(3)
	digest := structs.ConversationDigest{}.AppendAll(messages)
	for i := range 100 {
		h.put(structs.NewProgramID("e1-a", uint64(i)), messages, digest)
		if h.used > h.limit {
			t.Fatalf("cache uses %d bytes, limit %d", h.used, h.limit)
		}
	}
	if _, err := h.resolve("e1-a.99", 3, digest, nil, digest); err != nil {
		t.Fatalf("resolve of the newest conversation: %v", err)
	}
	if _, err := h.resolve("e1-a.0", 3, digest, nil, digest); err == nil {
		t.Fatal("the least recently used conversation is still stored, want it dropped")
	}
}
