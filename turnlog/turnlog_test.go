package turnlog

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// TestHistoryOrder guards against a history whose turns are out of order or incomplete.
func TestHistoryOrder(t *testing.T) {
	first := &Turn{ID: "a", Input: []byte("in1 "), Output: []byte("out1\n")}
	second := &Turn{ID: "b", Ancestors: NextAncestors(first), Input: []byte("in2 "), Output: []byte("out2\n")}
	third := &Turn{ID: "c", Ancestors: NextAncestors(second), Input: []byte{0, 0xff}, Output: nil}
	c := NewCache(1 << 20)
	c.Put(first)
	if _, missing := History(third, c.Get); len(missing) != 1 || missing[0] != "b" {
		t.Fatalf("missing %v", missing)
	}
	c.Put(second)
	got, missing := History(third, c.Get)
	if len(missing) != 0 || !bytes.Equal(got, []byte("in1 out1\nin2 out2\n\x00\xff")) {
		t.Fatalf("history %q, missing %v", got, missing)
	}
}

// TestNextAncestorsAreCopies guards against two turns that continue from the same one and
// overwrite each other's ancestors in a shared array.
func TestNextAncestorsAreCopies(t *testing.T) {
	last := &Turn{ID: "b", Ancestors: make([]string, 1, 8)}
	one, two := NextAncestors(last), NextAncestors(last)
	one[0] = "changed"
	if two[0] == "changed" || last.Ancestors[0] == "changed" {
		t.Fatal("a change of one turn's ancestors changes those of another")
	}
}

// TestCacheEvictsLeastRecentlyUsed guards against a full cache that evicts a turn other
// than the least recently used one.
func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := NewCache(3 * (turnOverhead + 10))
	for _, id := range []string{"a", "b", "c", "a", "d"} {
		c.Put(&Turn{ID: id, Input: make([]byte, 10)})
	}
	if c.Get("b") != nil || c.Get("a") == nil || c.Get("d") == nil {
		t.Fatal("a turn other than the least recently used one was evicted")
	}
}

// TestDecode guards against turns whose input, output or number of ancestors changes when
// they are stored and read, and against truncated ones that decode without an error.
func TestDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turn := &Turn{
			ID:        "x",
			Ancestors: rapid.SliceOfN(rapid.String(), 0, 5).Draw(t, "ancestors"),
			Input:     rapid.SliceOf(rapid.Byte()).Draw(t, "input"),
			Output:    rapid.SliceOf(rapid.Byte()).Draw(t, "output"),
		}
		b := turn.Encode()
		got, err := Decode("x", b)
		if err != nil || !bytes.Equal(got.Input, turn.Input) || !bytes.Equal(got.Output, turn.Output) || len(got.Ancestors) != len(turn.Ancestors) {
			t.Fatalf("%+v, %v", got, err)
		}
		for length := range b {
			if _, err := Decode("x", b[:length]); !errors.Is(err, ErrBadTurn) {
				t.Fatalf("a turn truncated to %d bytes decodes, error %v", length, err)
			}
		}
	})
}
