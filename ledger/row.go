package ledger

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrBadRow reports a budget row that does not decode.
var ErrBadRow = errors.New("malformed budget row")

// drawDivisor sets the size of a block: a draw takes 1/drawDivisor of the remaining tokens, or
// those of turnsAhead turns if that is more.
const drawDivisor = 2

// Keys of Row.Drawn that are not the name of a block's holder. Such a name contains a slash
// and begins with a node name.
const (
	// turnPrefix precedes the id of a turn whose tokens are reserved or claimed by the owner of the budget.
	turnPrefix = "turn:"
	// standInPrefix precedes the id of a turn whose tokens are reserved or claimed by an entry that does not reach
	// the owner. The owner may have reserved tokens for the same turn, and forgets it once it hears of that.
	standInPrefix = "over:"
	// settledKey holds the tokens that ended reservations have used.
	settledKey = "settled"
)

// turnKey returns the key of the turn with the id, at the owner or at an entry in its place.
func turnKey(id string, standIn bool) string {
	if standIn {
		return standInPrefix + id
	}
	return turnPrefix + id
}

// TurnOf returns the id of the turn that a key stands for; empty for other keys.
func TurnOf(key string) string {
	for _, prefix := range []string{turnPrefix, standInPrefix} {
		if id, ok := strings.CutPrefix(key, prefix); ok {
			return id
		}
	}
	return ""
}

// Usage is the number of tokens that the caller of a stored turn received, with where they were reserved.
type Usage struct {
	Tokens int
	// StandIn is set if the turn's tokens were reserved in place of an owner out of reach.
	StandIn bool
}

// Of returns the tokens that count under a key of the turn. A turn may have a second key, of an owner whose answer
// came too late; no tokens count there.
func (u Usage) Of(key string) int {
	if strings.HasPrefix(key, standInPrefix) != u.StandIn {
		return 0
	}
	return u.Tokens
}

// Row is the budget row of one program in the platform's table.
type Row struct {
	// Total is the budget in tokens.
	Total int `json:"total"`
	// Drawn is the number of tokens by key: what the holder of a block has drawn and not
	// returned, or what a key of the constants above stands for. The values are absolute, so that a
	// repeated write changes nothing.
	Drawn map[string]int `json:"drawn"`
	// Pending maps the keys of the reservations whose turns have not begun to the processes that serve them. Builds
	// before drop it when they write the row; such a reservation counts as begun.
	Pending map[string]string `json:"pending,omitempty"`
}

// MaxTokens bounds each number of tokens in rows and messages, so that sums of them don't overflow.
const MaxTokens = 1 << 40

// DecodeRow decodes a stored row. Its errors wrap ErrBadRow.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil || r.Total <= 0 || r.Total > MaxTokens {
		return Row{}, errors.Wrapf(ErrBadRow, "%d bytes, total %d: %v", len(value), r.Total, err)
	}
	for key, n := range r.Drawn {
		if n < 0 || n > MaxTokens {
			return Row{}, errors.Wrapf(ErrBadRow, "%d tokens under %q", n, key)
		}
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

// Remaining returns the number of tokens that are not drawn, reserved or used. It is negative
// when recorded claims have taken the row beyond its total.
func (r Row) Remaining() int {
	remaining := r.Total
	for _, n := range r.Drawn {
		remaining -= n
	}
	return remaining
}

// clone returns a copy of the row that shares no memory with it.
func (r Row) clone() Row {
	next := Row{Total: r.Total, Drawn: make(map[string]int, len(r.Drawn)+1)}
	maps.Copy(next.Drawn, r.Drawn)
	if len(r.Pending) > 0 {
		next.Pending = maps.Clone(r.Pending)
	}
	return next
}

// Record returns the row with the claims recorded, and reports whether that changes it. A claim
// that the row has already stays as it is, since its end may have been recorded since. Grants of
// the build before have the names of holders, and their greater count holds.
func (r Row) Record(claims Grants) (Row, bool) {
	next, changed := r, false
	for key, n := range claims {
		have, ok := r.Drawn[key]
		_, pending := r.Pending[key]
		pending = pending && n > 0 // nothing is handed out for a claim that was withdrawn
		if ok && !pending && (TurnOf(key) != "" || have >= n) {
			continue
		}
		if !changed {
			next, changed = r.clone(), true
		}
		delete(next.Pending, key) // a claimed turn begins without a record
		if !ok || TurnOf(key) == "" {
			next.Drawn[key] = n
		}
	}
	return next, changed
}

// settle records in place that a turn has ended with used tokens. The key of a reservation that this
// entry made itself is removed; another one stays, so that nobody records the claim again. settle reports
// whether that changes the row.
func (r Row) settle(key string, e End) bool {
	have, ok := r.Drawn[key]
	_, pending := r.Pending[key]
	delete(r.Pending, key)
	switch {
	case !ok:
		return pending
	case e.Keep:
		r.Drawn[key] = min(have, e.Used)
		return pending || e.Used < have
	default:
		delete(r.Drawn, key)
		r.Drawn[settledKey] += e.Used
		return true
	}
}

// lower reduces in place what a holder has drawn to what it retains. It reports whether that
// changes the row.
func (r Row) lower(holder string, retained int) bool {
	if r.Drawn[holder] <= retained {
		return false
	}
	r.Drawn[holder] = retained
	if retained == 0 {
		delete(r.Drawn, holder)
	}
	return true
}

// End is the end of a turn that used a number of tokens. Keep is set if its key is to stay in the row.
type End struct {
	Used int
	Keep bool
}

// Change is a change of a row, planned by Program.Change. Apply may be called again for a newer
// version of the row if a write failed or its outcome is unknown: what a former write did is recognised.
type Change struct {
	// Claims holds the claims to record, by key.
	Claims Grants
	// Ended maps the keys of turns to their ends.
	Ended map[string]End
	// Retained maps holders to what they retain of their blocks.
	Retained map[string]int
	// Own contains the keys of the reservations in progress at this entry.
	Own map[string]bool
	// Turn is the key of the turn to reserve Tokens for, served by Process; empty for none. Without a
	// Process the reservation counts as begun.
	Turn    string
	Tokens  int
	Process string
	// Begin maps the keys of the turns that begin to their tokens.
	Begin map[string]int
	// Unwritten is the number of tokens that are reserved in memory, which the turn must leave.
	Unwritten int
	// Gone lists the processes that have ended, of those in Result.PendingAt. Reservations that they served and
	// that have not begun are dropped if too few tokens are left.
	Gone []string
	// endsRead is set once the ends of unresolved turns have been read.
	endsRead bool
	// Block is the draw of a block by Holder; nil for none.
	Block  *DrawRequest
	Holder string
	// Force writes the row even if nothing changes, so that an earlier write whose answer was lost
	// can't be applied any more.
	Force bool
}

// Result is the outcome of Row.Apply.
type Result struct {
	// Row is the row to write, if Write is set.
	Row   Row
	Write bool
	// Reserved reports whether the turn is reserved.
	Reserved bool
	// Drawn is the size of the block.
	Drawn int
	// Short reports whether too few tokens are left for the turn or the block.
	Short bool
	// Holders holds, in order, the names of the other holders of blocks.
	Holders []string
	// Unresolved holds, in order, the keys of reservations and claims that other entries made and
	// whose end the row may not show.
	Unresolved []string
	// PendingAt holds, in order, the processes that serve reservations which have not begun.
	PendingAt []string
	// Begun and Dropped hold, in order, the keys of the turns that have begun as asked for by Change.Begin, and of the
	// pending reservations that were dropped.
	Begun, Dropped []string
}

// Apply returns what a change does to the row.
func (r Row) Apply(c Change) Result {
	next, write := r.Record(c.Claims)
	if !write {
		next = r.clone()
	}
	for key, end := range c.Ended {
		write = next.settle(key, end) || write
	}
	for holder, n := range c.Retained {
		write = next.lower(holder, n) || write
	}
	var res Result
	for _, key := range slices.Sorted(maps.Keys(c.Begin)) {
		begun, changed := next.begin(key, c.Begin[key])
		if write = write || changed; begun {
			res.Begun = append(res.Begun, key)
		}
	}
	res.Unresolved, res.PendingAt, res.Holders = next.unresolved(c.Own), next.pendingProcesses(), next.holders(c.Holder)
	switch {
	case c.Turn != "":
		have := next.Drawn[c.Turn]
		if res.Reserved = next.reserve(c.Turn, c.Tokens, c.Unwritten); !res.Reserved && c.endsRead {
			res.Dropped = next.dropPending(c)
			res.Reserved = next.reserve(c.Turn, c.Tokens, c.Unwritten)
		}
		if res.Reserved && have == 0 && c.Process != "" { // an earlier run of the turn may have used what the row has
			next.setPending(c.Turn, c.Process)
		}
		write = write || len(res.Dropped) > 0 || res.Reserved && have < c.Tokens
		res.Short = !res.Reserved
	case c.Block != nil:
		drawn, known := next.Drawn[c.Holder], c.Block.KnownDrawn
		if drawn > known && !c.Force { // the answer to an earlier draw was lost
			res.Drawn = drawn - known
			break
		}
		next.Drawn[c.Holder] = known // also if the row was deleted while the program ran
		var block int
		if next, block = next.Draw(c.Holder, *c.Block); block > 0 {
			res.Drawn, write = block, true
		}
		res.Short = block == 0
		if next.Drawn[c.Holder] == 0 {
			delete(next.Drawn, c.Holder)
		}
	}
	res.Row, res.Write = next, write || c.Force
	return res
}

// reserve reserves tokens for a turn in place and reports whether they are reserved. The row may have the key
// already, from an earlier write or from a claim that others have recorded and that is not confirmed: only
// tokens within the budget are reserved, and so that a number of tokens is left.
func (r Row) reserve(key string, tokens, left int) bool {
	have := r.Drawn[key]
	if r.Remaining()+have < tokens+left {
		return false
	}
	r.Drawn[key] = max(have, tokens)
	return true
}

// unresolved returns the keys of the reservations and unsettled claims that are not own ones.
func (r Row) unresolved(own map[string]bool) []string {
	var keys []string
	for key, n := range r.Drawn {
		if TurnOf(key) != "" && n > 0 && !own[key] {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// holders returns the names of the holders of blocks other than own.
func (r Row) holders(own string) []string {
	var names []string
	for key, n := range r.Drawn {
		if n > 0 && key != own && key != settledKey && TurnOf(key) == "" {
			names = append(names, key)
		}
	}
	slices.Sort(names)
	return names
}

// Draw returns the row after holder has drawn a block of at least d.Need tokens, and the
// size of that block. The block is 0 when the row has too few tokens left.
func (r Row) Draw(holder string, d DrawRequest) (Row, int) {
	remaining := r.Remaining()
	if remaining < d.Need || d.Need <= 0 {
		return r, 0
	}
	block := max(d.Need, remaining/drawDivisor, min(remaining, d.Ahead))
	next := r.clone()
	next.Drawn[holder] += block
	return next, block
}

// Lower returns the row in which holder has drawn at most the tokens that it retains.
func (r Row) Lower(holder string, retained int) Row {
	next := r.clone()
	next.lower(holder, retained)
	return next
}
