// Package turnlog holds the data structures for the stored turns of retained routes. It
// encodes a turn with its input, its output and the ids of the turns before it, caches
// recent turns, and joins the history that an upstream receives before the next turn.
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
	// Input is the turn's own input, without those before it. Output is the data of its
	// events, each followed by a line feed.
	Input  []byte
	Output []byte
}

// Encode returns the stored form of the turn. It does not contain the id.
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

// Decode decodes the stored form of the turn with the id. The error is ErrBadTurn.
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

// decoder reads the fields of a stored turn; malformed is set at the first that is invalid.
type decoder struct {
	b         []byte
	malformed bool
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 || v > uint64(len(d.b)) {
		d.malformed = true
		return 0
	}
	d.b = d.b[n:]
	return v
}

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

// Cache holds recently used turns up to a total size and evicts the least recently used
// first. It is not safe for concurrent use.
type Cache struct {
	limit int
	size  int
	order *list.List // of *Turn, the most recently used in front
	byID  map[string]*list.Element
}

// NewCache returns an empty cache of at most limit bytes; a single turn may be larger.
func NewCache(limit int) *Cache {
	return &Cache{limit: limit, order: list.New(), byID: map[string]*list.Element{}}
}

// Put adds a turn or marks it as recently used, and evicts others beyond the limit.
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

// turnOverhead is the estimated memory of a cached turn in bytes, without its input and
// output: the structures of this package and the ids.
const turnOverhead = 300

// size returns the estimated memory of a cached turn.
func size(t *Turn) int { return len(t.Input) + len(t.Output) + turnOverhead }

// History returns what an upstream must receive before the input of a turn that
// continues from last: the input and output of each ancestor and of last itself. When
// get returns nil for some ancestors, History returns only their ids, as missing.
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

// NextAncestors returns the ancestors of a turn that continues from last, or none when
// last is nil.
func NextAncestors(last *Turn) []string {
	if last == nil {
		return nil
	}
	return append(append(make([]string, 0, len(last.Ancestors)+1), last.Ancestors...), last.ID)
}
