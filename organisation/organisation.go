// Package organisation holds the organisations that share an entry, and finds the organisation
// of a caller's key. An organisation is a tenant in the terms of the operator's document.
//
// The package uses no goroutine, socket or clock. The package platform decodes organisations from
// the document, and the package internal/gateway applies them to requests.
package organisation

import (
	"crypto/sha256"
	"encoding/hex"
)

// Organisation is an organisation of the document in force. Its keys are secret: it formats as its
// name alone, so that no log line or error contains them.
type Organisation struct {
	Name string
	// Keys are the keys by which callers of the organisation identify it.
	Keys []string
	// Priority is the priority of the organisation's calls, in place of that of their route; 0 is
	// the most urgent. Nil when the organisation has none.
	Priority *int
	// RatePerSecond is the number of requests per second over all entries, and Burst the number
	// beyond it that may be sent at once. There is no limit when RatePerSecond is 0.
	RatePerSecond, Burst float64
	// Scope is the prefix of the organisation's ids; NewTable sets it. See ScopeOf.
	Scope string
}

// String returns the organisation's name.
func (o Organisation) String() string { return o.Name }

// GoString returns the organisation's name. It keeps the keys out of the format %#v.
func (o Organisation) GoString() string { return "organisation " + o.Name }

const (
	// scopeDigits is the number of hexadecimal digits of a scope: with 96 bits, 2 of
	// 13,000 organisations share a scope with a probability of about 1e-21.
	scopeDigits = 24
	scopeEnd    = '/'
	// noScope takes the place of a scope in ids of callers without an organisation that look like
	// those of one. A name with this hash is as unlikely as a collision.
	noScope = "000000000000000000000000/"
)

// ScopeOf returns the prefix of the ids under which entries store the turns, programs and streams
// of the organisation with the name. It depends only on the name, so these outlive a change of
// the organisation's keys.
func ScopeOf(name string) string {
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:scopeDigits/2]) + string(scopeEnd)
}

// ScopedID returns the id under which a caller's id of a turn, program or stream is stored. The
// ids of two organisations never meet. The ids of callers without an organisation, for which o is
// nil, are unchanged unless they begin like a scope: otherwise such a caller could name the ids of
// an organisation. The empty id, for none, stays empty.
func (o *Organisation) ScopedID(id string) string {
	switch {
	case id == "":
		return ""
	case o != nil:
		return o.Scope + id
	case beginsWithScope(id):
		return noScope + id
	default:
		return id
	}
}

// beginsWithScope reports whether an id begins like one that ScopedID returns for an organisation.
func beginsWithScope(id string) bool {
	if len(id) <= scopeDigits || id[scopeDigits] != scopeEnd {
		return false
	}
	for _, c := range []byte(id[:scopeDigits]) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// SharedKey is a key that two organisations of a document have. The document's first one holds it.
type SharedKey struct{ Holder, Other string }

// Table finds organisations by their keys. It is immutable and safe for concurrent use. Its
// lookup takes a single access to a hash map, for the 13,000 organisations with several keys each
// that one deployment has.
type Table struct {
	organisations []Organisation
	byKey         map[string]*Organisation
	shared        []SharedKey
	withoutKeys   []string
}

// NewTable returns the table of a document's organisations. It keeps the slice and sets the scopes
// in it.
func NewTable(organisations []Organisation) *Table {
	n := 0
	for i := range organisations {
		n += len(organisations[i].Keys)
	}
	t := &Table{organisations: organisations, byKey: make(map[string]*Organisation, n)}
	for i := range organisations {
		o := &organisations[i]
		o.Scope = ScopeOf(o.Name)
		usable := 0
		for _, key := range o.Keys {
			if key == "" { // the same as a request without a key
				continue
			}
			usable++
			if holder := t.byKey[key]; holder == nil {
				t.byKey[key] = o
			} else if holder != o {
				t.shared = append(t.shared, SharedKey{holder.Name, o.Name})
			}
		}
		if usable == 0 {
			t.withoutKeys = append(t.withoutKeys, o.Name)
		}
	}
	return t
}

// ByKey returns the organisation that holds the key, or nil.
func (t *Table) ByKey(key string) *Organisation { return t.byKey[key] }

// Len returns the number of organisations. Callers need keys only if there is one.
func (t *Table) Len() int { return len(t.organisations) }

// All returns the organisations in the document's order. The slice must not be changed.
func (t *Table) All() []Organisation { return t.organisations }

// Shared returns the keys that several organisations have, by the organisations' names.
func (t *Table) Shared() []SharedKey { return t.shared }

// WithoutKeys returns the names of the organisations that no caller can identify as.
func (t *Table) WithoutKeys() []string { return t.withoutKeys }
