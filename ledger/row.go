package ledger

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrBadRow reports a budget row that does not decode.
var ErrBadRow = errors.New("malformed budget row")

// drawDivisor sets the size of a block: a draw takes 1/drawDivisor of the remaining tokens,
// or what the turn needs if that is more. With a divisor of 2, as much as was taken remains
// for the entry that the program moves to.
const drawDivisor = 2

// Row is the budget row of one program in the platform's table.
type Row struct {
	// Total is the budget in tokens.
	Total int `json:"total"`
	// Drawn is the number of tokens that each holder has drawn and not returned. A holder is
	// the name of an incarnation of an entry.
	Drawn map[string]int `json:"drawn"`
}

// DecodeRow decodes a stored row. Its errors wrap ErrBadRow.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil || r.Total <= 0 {
		return Row{}, errors.Wrapf(ErrBadRow, "%d bytes, total %d: %v", len(value), r.Total, err)
	}
	return r, nil
}

// Encode encodes the row for the table.
func (r Row) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil { // a map of integers always encodes
		panic(err)
	}
	return b
}

// Remaining returns the number of tokens that no holder has drawn.
func (r Row) Remaining() int {
	remaining := r.Total
	for _, n := range r.Drawn {
		remaining -= n
	}
	return remaining
}

// Unrecorded returns the number of tokens that are known to be granted to others and that
// the row does not record.
func (r Row) Unrecorded(others Grants) int {
	missing := 0
	for holder, n := range others {
		missing += max(0, n-r.Drawn[holder])
	}
	return missing
}

// Draw returns the row after holder has drawn a block of at least d.Need tokens, and the
// size of that block. The block is 0 when the row has too few tokens left besides those
// that are granted but unrecorded.
func (r Row) Draw(holder string, d DrawRequest) (Row, int) {
	remaining := r.Remaining() - r.Unrecorded(d.Others)
	if remaining < d.Need {
		return r, 0
	}
	block := max(d.Need, remaining/drawDivisor)
	next := Row{Total: r.Total, Drawn: make(map[string]int, len(r.Drawn)+1)}
	for h, n := range r.Drawn {
		next.Drawn[h] = n
	}
	next.Drawn[holder] += block
	return next, block
}

// RecordGrants returns the row with the grants of other holders recorded under their names,
// and reports whether that changes the row.
func (r Row) RecordGrants(granted Grants) (Row, bool) {
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

// Return returns the row after holder has returned tokens, at most those that it had drawn.
func (r Row) Return(holder string, tokens int) Row {
	next := Row{Total: r.Total, Drawn: make(map[string]int, len(r.Drawn))}
	for h, n := range r.Drawn {
		next.Drawn[h] = n
	}
	next.Drawn[holder] = max(0, next.Drawn[holder]-tokens)
	return next
}
