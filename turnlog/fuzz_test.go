package turnlog

import "testing"

// FuzzDecode: a stored turn that decodes can be encoded and decoded again, and no other ends the process.
func FuzzDecode(f *testing.F) {
	f.Add((&Turn{ID: "t", Ancestors: []string{"a", "b"}, Input: []byte("in"), Output: []byte("out")}).Encode())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, value []byte) {
		turn, err := Decode("t", value)
		if err != nil {
			return
		}
		if again, err := Decode("t", turn.Encode()); err != nil || len(again.Ancestors) != len(turn.Ancestors) {
			t.Fatalf("decoded %+v, and %+v with error %v", turn, again, err)
		}
	})
}
