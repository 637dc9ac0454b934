package action

import (
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// FuzzDecodeRow lets an attempt find an arbitrary row. It guards against a row that keeps the
// attempt running for ever, and against a request that is sent although the row is not in the state
// "not run".
func FuzzDecodeRow(f *testing.F) {
	request := structs.ToolRequest{Organisation: "council", Name: "publish", Key: "k", Irreversible: true}
	row := New(time.Unix(1, 0), Config{}.WithDefaults(), Owner{Log: "e1"}, request).row
	for _, state := range []State{Intended, Done, InDoubt, NotRun, "other"} {
		row.State = state
		f.Add(row.encode())
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		h := newHarness()
		key := RowKey("council", "key:k")
		h.rows[key] = TableRow{Key: key, Value: value, Version: 1}
		a := h.start("a", "e2", request)
		h.run(a)
		if a.pending != nil || len(a.finishes) != 1 {
			t.Fatalf("row %q: the attempt did not end exactly once: %s", value, h.out.String())
		}
		if got, err := DecodeRow(value); h.runs["k"] > 0 && (err != nil || got.State != NotRun) {
			t.Fatalf("the attempt sent its request on row %q", value)
		}
	})
}
