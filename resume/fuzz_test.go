package resume

import (
	"strings"
	"testing"
)

// FuzzDecodeRow: a row that can't be read names no version, and none ends the process.
func FuzzDecodeRow(f *testing.F) {
	f.Add([]byte(`{"state":"named","version":"v1","routes":"r"}`))
	f.Add([]byte(`{"state":["named"]}`))
	f.Add([]byte(strings.Repeat("{", 20000)))
	f.Fuzz(func(t *testing.T, value []byte) {
		r := DecodeRow(value, 1)
		if r.Named != "" && r.Prepared != "" {
			t.Fatalf("%q names and prepares a version: %+v", value, r)
		}
		if len(value) > 0 && value[0] == '{' && strings.HasPrefix(r.Named, "{") {
			t.Fatalf("%q names %q", value, r.Named)
		}
	})
}
