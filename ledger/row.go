package ledger

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrBadRow reports a budget row that does not decode.
var ErrBadRow = errors.New("malformed budget row")

// drawDivisor sets the size of a block: one draw takes 1/drawDivisor of the remaining
// tokens. With half, a program that moves to another entry can draw as much again there.
const drawDivisor = 2

// Row is the budget row of one program in the platform's table.
type Row struct {
	// Total is the budget in tokens.
	Total int `json:"total"`
	// Drawn is the number of tokens that each incarnation of an entry has drawn.
	Drawn map[string]int `json:"drawn"`
}

// DecodeRow decodes a stored row. Its errors wrap ErrBadRow.
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

// Remaining returns the number of tokens that no entry has drawn.
func (r Row) Remaining() int {
	remaining := r.Total
	for _, n := range r.Drawn {
		remaining -= n
	}
	return remaining
}

// Unrecorded returns the number of tokens that are known to be granted to other
// incarnations and that the row does not show.
func (r Row) Unrecorded(others Grants) int {
	missing := 0
	for holder, n := range others {
		missing += max(0, n-r.Drawn[holder])
	}
	return missing
}

// Draw returns the row after holder has drawn a block of at least d.Need tokens, and the
// size of that block. The block is 0 when the row does not hold enough tokens beside
// those that are granted but unrecorded.
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

// RecordGrants returns the row with grants of other incarnations recorded under their
// names, and reports whether that changes the row.
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

// Return returns the row after holder has returned tokens that it had drawn.
func (r Row) Return(holder string, tokens int) Row {
	next := Row{Total: r.Total, Drawn: make(map[string]int, len(r.Drawn))}
	for h, n := range r.Drawn {
		next.Drawn[h] = n
	}
	next.Drawn[holder] = max(0, next.Drawn[holder]-tokens)
	return next
}
