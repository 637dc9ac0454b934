package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

// State is the state of a request.
type State uint8

// States of a request. Within one episode a greater state replaces a smaller one.
const (
	Suspect State = iota + 1
	Cleared
	Quarantined
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Cleared:
		return "cleared"
	case Quarantined:
		return "quarantined"
	default:
		return "unknown"
	}
}

// Record is the state of one request, as entries exchange it.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Episode is incremented when a cleared request becomes a suspect again.
	Episode uint32 `json:"episode"`
	State   State  `json:"state"`
	// Owner is the entry that runs the suspect's trial. Claim is incremented when another
	// entry takes the trial over.
	Claim uint32         `json:"claim,omitempty"`
	Owner structs.NodeID `json:"owner,omitempty"`
	// Avoid is the upstream that crashed; the trial runs on another one.
	Avoid structs.UpstreamID `json:"avoid,omitempty"`
	// TTL is the remaining lifetime of the record.
	TTL time.Duration `json:"lasts"`
}

// ttlPerHop is subtracted from a record's TTL each time that it is sent on. It exceeds the
// time that a hop takes, so that a record that has expired at all entries and is still in
// transit does not return.
const ttlPerHop = time.Second

// valid reports whether a record received from a peer can be stored.
func (r Record) valid() bool {
	return r.Episode > 0 && r.State >= Suspect && r.State <= Quarantined && r.TTL > ttlPerHop
}

// supersedes reports whether r replaces than, a record of the same request. All entries
// order records in the same way: by episode, state and claim. Of two owners with the same
// claim the one whose name sorts first wins.
func (r Record) supersedes(than Record) bool {
	if r.Episode != than.Episode {
		return r.Episode > than.Episode
	}
	if r.State != than.State {
		return r.State > than.State
	}
	if r.Claim != than.Claim {
		return r.Claim > than.Claim
	}
	return r.Owner < than.Owner
}

// row is a record with the times at which this entry received it and drops it.
type row struct {
	Record
	receivedAt time.Time
	expires    time.Time
}

// table is a bounded set of records by fingerprint.
type table struct {
	limit int
	rows  map[Fingerprint]*row
	// digest is the XOR of the records' hashes. It covers which requests are suspect or
	// quarantined, and is equal on entries with the same records.
	digest uint64
}

func newTable(limit int) *table {
	return &table{limit: limit, rows: make(map[Fingerprint]*row)}
}

// hash returns the record's part of the table's digest. It is 0 for a cleared record, which
// expires too soon to be worth an exchange.
func (r Record) hash() uint64 {
	if r.State == Cleared {
		return 0
	}
	var b [len(r.Fingerprint) + 5]byte
	copy(b[:], r.Fingerprint[:])
	binary.BigEndian.PutUint32(b[len(r.Fingerprint):], r.Episode)
	b[len(b)-1] = byte(r.State)
	return xxhash.Sum64(b[:])
}

// sorted returns the fingerprints in ascending order.
func (t *table) sorted() []Fingerprint {
	out := make([]Fingerprint, 0, len(t.rows))
	for f := range t.rows {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return out
}

// put stores a record, and evicts another one when the table is full.
func (t *table) put(r Record, now time.Time, ttl time.Duration) {
	if t.rows[r.Fingerprint] == nil && len(t.rows) >= t.limit {
		t.evict()
	}
	t.remove(r.Fingerprint)
	t.digest ^= r.hash()
	t.rows[r.Fingerprint] = &row{Record: r, receivedAt: now, expires: now.Add(ttl)}
}

func (t *table) remove(f Fingerprint) {
	if r := t.rows[f]; r != nil {
		t.digest ^= r.hash()
		delete(t.rows, f)
	}
}

// evict deletes the least valuable record: a cleared one before a suspect, a suspect before
// a quarantined one, and among equals the one that expires first.
func (t *table) evict() {
	order := t.sorted()
	if len(order) == 0 {
		return
	}
	least := slices.MinFunc(order, func(a, b Fingerprint) int {
		ra, rb := t.rows[a], t.rows[b]
		return cmp.Or(
			cmp.Compare(ra.evictionRank(), rb.evictionRank()),
			ra.expires.Compare(rb.expires),
			bytes.Compare(a[:], b[:]),
		)
	})
	t.remove(least)
}

// evictionRank returns the order of eviction by state; lower ranks are evicted first.
func (r *row) evictionRank() int {
	switch r.State {
	case Cleared:
		return 0
	case Suspect:
		return 1
	default:
		return 2
	}
}

// expire deletes the records whose TTL has passed.
func (t *table) expire(now time.Time) {
	for f, r := range t.rows {
		if !now.Before(r.expires) {
			t.remove(f)
		}
	}
}

// export returns records in the form in which peers receive them, with their remaining TTL.
func (t *table) export(now time.Time, of []Fingerprint) []Record {
	out := make([]Record, 0, len(of))
	for _, f := range of {
		r := t.rows[f].Record
		r.TTL = t.rows[f].expires.Sub(now)
		out = append(out, r)
	}
	return out
}
