package ledger

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrBadRow reports a row that does not decode.
var ErrBadRow = errors.New("malformed budget row")

// lumpShare is the part of what is left that one draw takes: half, so that a program
// which moves to another entry finds as much again.
const lumpShare = 2

// Row is what the platform's table holds of one program's budget.
type Row struct {
	// Total is the budget in tokens.
	Total int `json:"total"`
	// Drawn is the tokens drawn by each life of an entry.
	Drawn map[string]int `json:"drawn"`
}

// DecodeRow reads a row. Errors are ErrBadRow.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil || r.Total <= 0 {
		return Row{}, errors.Wrapf(ErrBadRow, "%d bytes: %v", len(value), err)
	}
	return r, nil
}

// Encode returns the bytes to store.
func (r Row) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil { // a map of integers always encodes
		panic(err)
	}
	return b
}

// Remaining returns the tokens that nobody has drawn.
func (r Row) Remaining() int {
	left := r.Total
	for _, n := range r.Drawn {
		left -= n
	}
	return left
}

// Unrecorded returns the tokens that other lives of entries are known to have been
// granted and that the row does not show.
func (r Row) Unrecorded(others Grants) int {
	missing := 0
	for holder, n := range others {
		missing += max(0, n-r.Drawn[holder])
	}
	return missing
}

// Draw returns the row after holder has drawn what it needs or more, and how many tokens
// that is. It returns zero when the row does not hold them beside what is unrecorded.
func (r Row) Draw(holder string, d Drawing) (Row, int) {
	left := r.Remaining() - r.Unrecorded(d.Others)
	if left < d.Need {
		return r, 0
	}
	lump := max(d.Need, left/lumpShare)
	next := Row{Total: r.Total, Drawn: make(map[string]int, len(r.Drawn)+1)}
	for h, n := range r.Drawn {
		next.Drawn[h] = n
	}
	next.Drawn[holder] += lump
	return next, lump
}

// Witness returns the row after what lives of entries are known to have been granted is
// in it under their names, and whether that changes it.
func (r Row) Witness(granted Grants) (Row, bool) {
	if r.Unrecorded(granted) == 0 {
		return r, false
	}
	next := Row{Total: r.Total, Drawn: make(map[string]int, len(r.Drawn)+len(granted))}
	for h, n := range r.Drawn {
		next.Drawn[h] = n
	}
	Grants(next.Drawn).Merge(granted)
	return next, true
}

// Return returns the row after holder has given back tokens that it had drawn.
func (r Row) Return(holder string, tokens int) Row {
	next := Row{Total: r.Total, Drawn: make(map[string]int, len(r.Drawn))}
	for h, n := range r.Drawn {
		next.Drawn[h] = n
	}
	next.Drawn[holder] = max(0, next.Drawn[holder]-tokens)
	return next
}
