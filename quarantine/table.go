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

// State is what is known of a request.
type State uint8

// States of requests, in the order in which they follow each other in one episode.
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

// Record is what entries tell each other of one request.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Episode grows when a cleared request becomes a suspect again.
	Episode uint32 `json:"episode"`
	State   State  `json:"state"`
	// Claim grows when another entry takes the suspect's try over; Owner makes it.
	Claim uint32         `json:"claim,omitempty"`
	Owner structs.NodeID `json:"owner,omitempty"`
	// Avoid is the upstream that crashed.
	Avoid structs.UpstreamID `json:"avoid,omitempty"`
	// TTL is how long the record lasts from now.
	TTL time.Duration `json:"lasts"`
}

// ttlPerHop is taken off a record's time with each hop, and exceeds the time that a hop
// takes. So a record that has expired everywhere but on the wire does not come back.
const ttlPerHop = time.Second

// valid reports whether a record from a peer can be used.
func (r Record) valid() bool {
	return r.Episode > 0 && r.State >= Suspect && r.State <= Quarantined && r.TTL > ttlPerHop
}

// supersedes orders the records of one request, the same on each entry: by episode, state
// and claim; of two owners at once the first by name is it.
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

// row is a record with its times here.
type row struct {
	Record
	receivedAt time.Time
	expires    time.Time
}

// table is a bounded set of records.
type table struct {
	limit int
	rows  map[Fingerprint]*row
	// digest sums up which requests are suspected or quarantined; it is the same on
	// entries with the same records.
	digest uint64
}

func newTable(limit int) *table {
	return &table{limit: limit, rows: make(map[Fingerprint]*row)}
}

// hash is the record's part of the table's digest. A cleared one has none: it lasts
// too short to be worth an exchange.
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

// sorted returns the fingerprints in sorted.
func (t *table) sorted() []Fingerprint {
	out := make([]Fingerprint, 0, len(t.rows))
	for f := range t.rows {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return out
}

func (t *table) put(r Record, now time.Time, lasts time.Duration) {
	if t.rows[r.Fingerprint] == nil && len(t.rows) >= t.limit {
		t.evict()
	}
	t.remove(r.Fingerprint)
	t.digest ^= r.hash()
	t.rows[r.Fingerprint] = &row{Record: r, receivedAt: now, expires: now.Add(lasts)}
}

func (t *table) remove(f Fingerprint) {
	if r := t.rows[f]; r != nil {
		t.digest ^= r.hash()
		delete(t.rows, f)
	}
}

// evict drops the record that is missed least: a quarantined one last, then that
// which expires first.
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

func (t *table) expire(now time.Time) {
	for f, r := range t.rows {
		if !now.Before(r.expires) {
			t.remove(f)
		}
	}
}

// export returns the records as peers get them.
func (t *table) export(now time.Time, of []Fingerprint) []Record {
	out := make([]Record, 0, len(of))
	for _, f := range of {
		r := t.rows[f].Record
		r.TTL = t.rows[f].expires.Sub(now)
		out = append(out, r)
	}
	return out
}
