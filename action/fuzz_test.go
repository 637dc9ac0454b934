package action

import (
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// FuzzDecodeRow gives an attempt a row that a platform could return. Whatever it holds,
// the attempt ends, and sends nothing on a row that it does not own.
func FuzzDecodeRow(f *testing.F) {
	request := structs.ToolRequest{Organisation: "council", Name: "publish", Key: "k", NonRepeatable: true}
	row := New(time.Unix(1, 0), Config{}.WithDefaults(), Owner{Log: "e1"}, request).row
	for _, state := range []State{Intended, Done, InDoubt, NotRun, "other"} {
		row.State = state
		f.Add(row.encode())
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		b := newHarness()
		key := RowKey("council", "key:k")
		b.rows[key] = TableRow{Key: key, Value: value, Version: 1}
		a := b.start("a", "e2", request)
		b.run(a)
		if a.pending != nil || len(a.finishes) != 1 {
			t.Fatalf("row %q: %s", value, b.out.String())
		}
		if got, err := DecodeRow(value); b.runs["k"] > 0 && (err != nil || got.State != NotRun) {
			t.Fatalf("sent on row %q", value)
		}
	})
}
