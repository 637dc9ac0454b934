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

// State is the quarantine state of a request.
type State uint8

// States of a request. Within one episode the state only increases, in this order.
const (
	// Suspect is the state of a request whose upstream crashed, until its trial has ended.
	Suspect State = iota + 1
	// Cleared is the state of a suspect that completed its trial.
	Cleared
	// Quarantined is the state of a suspect that was alone on an upstream that crashed.
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
	// Episode begins at 1 and is incremented when a cleared request becomes a suspect again.
	Episode uint32 `json:"episode"`
	State   State  `json:"state"`
	// Claim is incremented when another entry takes the suspect's trial over.
	Claim uint32 `json:"claim,omitempty"`
	// Owner is the owner of the suspect's trial: the entry that runs it.
	Owner structs.NodeID `json:"owner,omitempty"`
	// Avoid is the upstream that crashed; the trial runs on another one.
	Avoid structs.UpstreamID `json:"avoid,omitempty"`
	// TTL is the remaining lifetime of the record.
	TTL time.Duration `json:"lasts"`
}

// ttlPerHop is subtracted from a record's TTL on receipt. It exceeds the time in transit, so that
// a record that has expired at all entries can't be stored again from a message that is still
// in transit.
const ttlPerHop = time.Second

// valid reports whether a record received from a peer can be stored.
func (r Record) valid() bool {
	return r.Episode > 0 && r.State >= Suspect && r.State <= Quarantined && r.TTL > ttlPerHop
}

// supersedes reports whether r replaces other, a record of the same request. All entries order
// records in the same way: by episode, state and claim. Of two owners with the same claim the
// one whose name sorts first wins.
func (r Record) supersedes(other Record) bool {
	if r.Episode != other.Episode {
		return r.Episode > other.Episode
	}
	if r.State != other.State {
		return r.State > other.State
	}
	if r.Claim != other.Claim {
		return r.Claim > other.Claim
	}
	return r.Owner < other.Owner
}

// storedRecord is a record with the time at which this entry stored it and the time at which it
// expires. Its TTL field is not kept up to date; the remaining lifetime follows from expires.
type storedRecord struct {
	Record
	storedAt time.Time
	expires  time.Time
}

// table is a bounded set of records by fingerprint.
type table struct {
	// limit is the maximum number of records.
	limit   int
	records map[Fingerprint]*storedRecord
	// digest is the XOR of the hashes of the suspect and quarantined records, each by fingerprint,
	// episode and state. Entries compare digests to detect that their tables differ.
	digest uint64
}

func newTable(limit int) *table {
	return &table{limit: limit, records: make(map[Fingerprint]*storedRecord)}
}

// hash returns the record's part of the table's digest. It is 0 for a cleared record: these expire
// too soon to be worth an exchange.
func (r Record) hash() uint64 {
	if r.State == Cleared {
		return 0
	}
	var b [len(r.Fingerprint) + 5]byte // fingerprint, 4 bytes of episode, 1 byte of state
	copy(b[:], r.Fingerprint[:])
	binary.BigEndian.PutUint32(b[len(r.Fingerprint):], r.Episode)
	b[len(b)-1] = byte(r.State)
	return xxhash.Sum64(b[:])
}

// sortedFingerprints returns the fingerprints of the records in ascending order.
func (t *table) sortedFingerprints() []Fingerprint {
	out := make([]Fingerprint, 0, len(t.records))
	for f := range t.records {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return out
}

// put stores a record. It replaces the record of the same request; if there is none and the
// table is full, another record is evicted.
func (t *table) put(r Record, now time.Time, ttl time.Duration) {
	if t.records[r.Fingerprint] == nil && len(t.records) >= t.limit {
		t.evict()
	}
	t.remove(r.Fingerprint)
	t.digest ^= r.hash()
	t.records[r.Fingerprint] = &storedRecord{Record: r, storedAt: now, expires: now.Add(ttl)}
}

// remove deletes the record of a request if there is one.
func (t *table) remove(f Fingerprint) {
	if r := t.records[f]; r != nil {
		t.digest ^= r.hash()
		delete(t.records, f)
	}
}

// evict deletes one record: a cleared one before a suspect, a suspect before a quarantined one,
// and among equals the one that expires first.
func (t *table) evict() {
	order := t.sortedFingerprints()
	if len(order) == 0 {
		return
	}
	least := slices.MinFunc(order, func(a, b Fingerprint) int {
		ra, rb := t.records[a], t.records[b]
		return cmp.Or(
			cmp.Compare(ra.evictionRank(), rb.evictionRank()),
			ra.expires.Compare(rb.expires),
			bytes.Compare(a[:], b[:]),
		)
	})
	t.remove(least)
}

// evictionRank returns the order of eviction by state; lower ranks are evicted first.
func (r *storedRecord) evictionRank() int {
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
	for f, r := range t.records {
		if !now.Before(r.expires) {
			t.remove(f)
		}
	}
}

// export returns the records of the fingerprints with their remaining TTL, to be sent to peers.
func (t *table) export(now time.Time, fingerprints []Fingerprint) []Record {
	out := make([]Record, 0, len(fingerprints))
	for _, f := range fingerprints {
		r := t.records[f].Record
		r.TTL = t.records[f].expires.Sub(now)
		out = append(out, r)
	}
	return out
}
