// Package turnlog keeps the turns of retained routes: what went in, what came out,
// and which turn each continues from. It is pure: no goroutine, socket or clock.
package turnlog

import (
	"container/list"
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// ErrBadTurn reports a stored turn that does not decode.
var ErrBadTurn = errors.New("malformed turn")

// Turn is one whole turn.
type Turn struct {
	ID string
	// Ancestors are the ids of the turns before it, the oldest first.
	Ancestors []string
	// Input is the turn's own input, Output the data of its events, each with a line feed.
	Input  []byte
	Output []byte
}

// Encode returns the bytes to store under the turn's id.
func (t *Turn) Encode() []byte {
	b := make([]byte, 0, 16+len(t.Input)+len(t.Output)+24*len(t.Ancestors))
	b = binary.AppendUvarint(b, uint64(len(t.Ancestors)))
	for _, a := range t.Ancestors {
		b = appendBytes(b, []byte(a))
	}
	b = appendBytes(b, t.Input)
	return appendBytes(b, t.Output)
}

func appendBytes(b, v []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

// Decode reads the turn stored under an id. Errors are ErrBadTurn.
func Decode(id string, b []byte) (*Turn, error) {
	r := reader{b: b}
	t := &Turn{ID: id}
	for n := r.uvarint(); n > 0 && !r.bad; n-- {
		t.Ancestors = append(t.Ancestors, string(r.bytes()))
	}
	t.Input, t.Output = r.bytes(), r.bytes()
	if r.bad || len(r.b) != 0 {
		return nil, errors.Wrapf(ErrBadTurn, "%q, %d bytes", id, len(b))
	}
	return t, nil
}

type reader struct {
	b   []byte
	bad bool
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > uint64(len(r.b)) {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.uvarint()
	if r.bad || n > uint64(len(r.b)) {
		r.bad = true
		return nil
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v
}

// Cache holds recent turns up to a number of bytes; the least recently used leave
// first. It is not safe for concurrent use.
type Cache struct {
	limit int
	size  int
	order *list.List // of *Turn, the most recently used in front
	byID  map[string]*list.Element
}

// NewCache returns a cache of at most limit bytes of inputs and outputs.
func NewCache(limit int) *Cache {
	return &Cache{limit: limit, order: list.New(), byID: map[string]*list.Element{}}
}

// Put adds a turn.
func (c *Cache) Put(t *Turn) {
	if e := c.byID[t.ID]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.byID[t.ID] = c.order.PushFront(t)
	c.size += size(t)
	for c.size > c.limit && c.order.Len() > 1 {
		last := c.order.Back()
		old := c.order.Remove(last).(*Turn)
		delete(c.byID, old.ID)
		c.size -= size(old)
	}
}

// Get returns the turn, or nil.
func (c *Cache) Get(id string) *Turn {
	e := c.byID[id]
	if e == nil {
		return nil
	}
	c.order.MoveToFront(e)
	return e.Value.(*Turn)
}

// turnOverhead is the memory in bytes of a turn beside its input and output: the
// structures of this package and the ids, estimated.
const turnOverhead = 300

func size(t *Turn) int { return len(t.Input) + len(t.Output) + turnOverhead }

// History returns what an upstream is to receive before the input of a turn that
// continues from last: for each turn of the chain its input and output. missing are
// the ids that the lookup does not have.
func History(last *Turn, get func(id string) *Turn) (history []byte, missing []string) {
	chain := make([]*Turn, 0, len(last.Ancestors)+1)
	total := 0
	for _, id := range last.Ancestors {
		t := get(id)
		if t == nil {
			missing = append(missing, id)
			continue
		}
		chain = append(chain, t)
		total += len(t.Input) + len(t.Output)
	}
	if len(missing) > 0 {
		return nil, missing
	}
	chain = append(chain, last)
	history = make([]byte, 0, total+len(last.Input)+len(last.Output))
	for _, t := range chain {
		history = append(append(history, t.Input...), t.Output...)
	}
	return history, nil
}

// Next returns the ancestors of a turn that continues from last; nil starts a chain.
func Next(last *Turn) []string {
	if last == nil {
		return nil
	}
	return append(append(make([]string, 0, len(last.Ancestors)+1), last.Ancestors...), last.ID)
}
