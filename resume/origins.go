package resume

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Retention is how long after its first event a stream is remembered at least. It is longer than
	// callers try to complete one answer.
	Retention = 30 * time.Second
	// maxOrigins bounds the streams that are remembered, and with them the memory to about 6 MB. Beyond
	// it the older ones are forgotten sooner.
	maxOrigins = 1 << 15
)

// Key identifies a stream: the hash of the id of the call that brought its first event.
type Key uint64

// KeyOf returns the key of the stream that the call with the id began.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the version of the upstream's software.
	Version string
	// Upstream is the hash of the upstream's id.
	Upstream uint64
}

// record is a stream that is remembered.
type record struct {
	Origin
	at time.Time
	// ambiguous is set once the version is uncertain.
	ambiguous bool
}

// Origins holds the origins of recent streams. It is not safe for concurrent use.
type Origins struct {
	// recent holds the streams since rotatedAt, older those of the time before.
	recent, older map[Key]record
	rotatedAt     time.Time
}

// NewOrigins returns an empty Origins.
func NewOrigins() *Origins { return &Origins{recent: map[Key]record{}, older: map[Key]record{}} }

// Record remembers that a stream has brought its first event. If the stream is known to have begun at
// another service or version, its origin is uncertain from then on.
func (o *Origins) Record(now time.Time, key Key, origin Origin) {
	if now.Sub(o.rotatedAt) >= Retention || len(o.recent) >= maxOrigins/2 {
		o.recent, o.older, o.rotatedAt = make(map[Key]record, len(o.recent)), o.recent, now
	}
	known, found := o.lookup(key)
	r := record{Origin: origin, at: now}
	if found && (known.ambiguous || known.Service != origin.Service || known.Version != origin.Version) {
		r.ambiguous = true
	}
	o.recent[key] = r
}

// Find returns the origin of a stream and how long ago it was recorded. It returns false when the stream
// is not known or its origin is uncertain.
func (o *Origins) Find(now time.Time, key Key) (origin Origin, age time.Duration, known bool) {
	r, found := o.lookup(key)
	if !found || r.ambiguous {
		return Origin{}, 0, false
	}
	return r.Origin, now.Sub(r.at), true
}

func (o *Origins) lookup(key Key) (record, bool) {
	if r, found := o.recent[key]; found {
		return r, true
	}
	r, found := o.older[key]
	return r, found
}

// Doubt marks the streams that were recorded at an upstream since a time as uncertain, unless they were
// recorded with the version, and returns their number: the upstream has started again with software of
// that version, and these streams may have begun at either.
func (o *Origins) Doubt(upstream uint64, version string, since time.Time) int {
	n := 0
	for _, records := range []map[Key]record{o.recent, o.older} {
		for key, r := range records {
			if r.Upstream == upstream && r.Version != version && !r.ambiguous && !r.at.Before(since) {
				r.ambiguous = true
				records[key] = r
				n++
			}
		}
	}
	return n
}
