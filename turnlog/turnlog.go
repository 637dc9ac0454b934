// Package turnlog encodes, caches and joins the stored turns of conversations. It encodes a
// turn with its input, its output and the ids of the turns before it, and assembles the
// history that is sent to an upstream before the input of the next turn.
//
// It starts no goroutine, opens no socket and reads no clock.
package turnlog

import (
	"container/list"
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// ErrBadTurn is returned for a stored turn that can't be decoded.
var ErrBadTurn = errors.New("malformed turn")

// Turn is one complete turn of a conversation.
type Turn struct {
	ID string
	// Ancestors are the ids of the earlier turns that the turn follows, the oldest first.
	Ancestors []string
	// Input is the body of the turn's request, without history. Output is the data of the
	// answer's events, each followed by a line feed.
	Input  []byte
	Output []byte
}

// Encode returns the stored form of the turn. The id is not encoded, since it is part of
// the row's key.
func (t *Turn) Encode() []byte {
	b := make([]byte, 0, 16+len(t.Input)+len(t.Output)+24*len(t.Ancestors))
	b = binary.AppendUvarint(b, uint64(len(t.Ancestors)))
	for _, a := range t.Ancestors {
		b = appendBytes(b, []byte(a))
	}
	b = appendBytes(b, t.Input)
	return appendBytes(b, t.Output)
}

// appendBytes appends the length of v and then v.
func appendBytes(b, v []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

// Decode decodes the stored form of the turn with the id. Its errors wrap ErrBadTurn. The
// turn shares memory with b.
func Decode(id string, b []byte) (*Turn, error) {
	d := decoder{b: b}
	t := &Turn{ID: id}
	for n := d.uvarint(); n > 0 && !d.malformed; n-- {
		t.Ancestors = append(t.Ancestors, string(d.bytes()))
	}
	t.Input, t.Output = d.bytes(), d.bytes()
	if d.malformed || len(d.b) != 0 {
		return nil, errors.Wrapf(ErrBadTurn, "%q, %d bytes", id, len(b))
	}
	return t, nil
}

// decoder reads the fields of a stored turn; malformed is set once a field is invalid.
type decoder struct {
	b         []byte
	malformed bool
}

// uvarint reads a count or length. A value above the number of remaining bytes is invalid.
func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 || v > uint64(len(d.b)) {
		d.malformed = true
		return 0
	}
	d.b = d.b[n:]
	return v
}

// bytes reads a field that begins with its length.
func (d *decoder) bytes() []byte {
	n := d.uvarint()
	if d.malformed || n > uint64(len(d.b)) {
		d.malformed = true
		return nil
	}
	v := d.b[:n:n]
	d.b = d.b[n:]
	return v
}

// Cache holds the most recently used turns up to a limit of estimated bytes. It is not safe
// for concurrent use.
type Cache struct {
	// size is the estimated number of bytes that the turns use; limit bounds it.
	limit int
	size  int
	order *list.List // of *Turn, the most recently used in front
	byID  map[string]*list.Element
}

// NewCache returns an empty cache of at most limit bytes; a single turn may be larger.
func NewCache(limit int) *Cache {
	return &Cache{limit: limit, order: list.New(), byID: map[string]*list.Element{}}
}

// Put adds the turn or, when its id is cached already, only marks it as recently used. It
// evicts the least recently used turns beyond the limit.
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

// Get returns the turn and marks it as recently used, or returns nil.
func (c *Cache) Get(id string) *Turn {
	e := c.byID[id]
	if e == nil {
		return nil
	}
	c.order.MoveToFront(e)
	return e.Value.(*Turn)
}

// turnOverhead is the estimated size in bytes of a cached turn besides its input and
// output: the structures of this package and the ids. It does not grow with the number of
// ancestors.
const turnOverhead = 300

// size returns the estimated memory of a cached turn.
func size(t *Turn) int { return len(t.Input) + len(t.Output) + turnOverhead }

// History returns the input and output of each ancestor of last and of last itself, the
// oldest first: what an upstream receives before the input of a turn that continues from
// last. If get returns nil for any ancestor, History returns no history and the missing
// ids.
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

// NextAncestors returns the ancestors of a turn that continues from last in a new slice, or
// none when last is nil.
func NextAncestors(last *Turn) []string {
	if last == nil {
		return nil
	}
	return append(append(make([]string, 0, len(last.Ancestors)+1), last.Ancestors...), last.ID)
}
