package ledger

import (
	"strings"
	"testing"
)

// TestOddRowsAreRefused: a row with numbers that no entry writes must not decode. A negative one would hand tokens
// out twice.
func TestOddRowsAreRefused(t *testing.T) {
	for _, value := range []string{
		`{"total":1000,"drawn":{"a":-1}}`, `{"total":1000,"drawn":{"a":9000000000000000000,"b":9000000000000000000}}`, `{"total":1e999}`,
		`{"total":9000000000000000000}`, `{"total":1000,"drawn":[1]}`, `{"total":1000,"drawn":{"a":1.5}}`, `{"total":1000,"drawn":` + strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20001),
	} {
		if row, err := DecodeRow([]byte(value)); err == nil {
			t.Errorf("%.60s: decoded as %+v", value, row)
		}
	}
}

// FuzzDecodeRow: a row that decodes survives a change, and the tokens that are left stay in its bounds.
func FuzzDecodeRow(f *testing.F) {
	f.Add([]byte(`{"total":1000,"drawn":{"a/1/1":300,"turn:t":100,"settled":20}}`))
	f.Add([]byte(`{"total":1,"drawn":{"":1}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := DecodeRow(value)
		if err != nil {
			return
		}
		p := NewProgram(row.Total, "h/1/1")
		p.MarkKept()
		res := row.Apply(p.Change("t", 10, nil))
		if res.Reserved && row.Drawn[turnKey("t", false)] < 10 && res.Row.Remaining() < 0 {
			t.Fatalf("reserved beyond the budget: %+v", res.Row)
		}
		if _, err := DecodeRow(res.Row.Encode()); err != nil && res.Row.Drawn[settledKey] <= MaxTokens {
			t.Fatalf("the changed row does not decode: %v", err)
		}
	})
}
