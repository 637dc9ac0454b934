package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// CrashReport is one crash of an upstream while it ran a request, told between entries.
type CrashReport struct {
	// Request is the request's fingerprint by OfCall, Upstream a hash of the upstream.
	Request  uint64
	Upstream uint64
}

// CrashCounter counts, by content, the crashes of upstreams for calls that can't be tried
// alone: a caller drives them, and the entry learns only that an answer broke off. A
// request is refused after strikes at MaxStrikes upstreams. It is not safe for
// concurrent use.
type CrashCounter struct {
	// MaxStrikes is the number of upstreams whose crash is enough.
	MaxStrikes int
	// StrikeFor is how long a strike counts.
	StrikeFor time.Duration
	// MaxRequests bounds the table.
	MaxRequests int

	requests map[uint64]*struck
}

type struck struct {
	upstreams map[uint64]bool
	until     time.Time
}

// Defaults of Strikes.
const (
	// defaultMaxStrikes: one lost answer is common and two are chance.
	defaultMaxStrikes = 3
	// defaultStrikeFor covers the time in which callers send a request again.
	defaultStrikeFor = 10 * time.Minute
	// defaultMaxRequests bounds the memory to some hundred KB.
	defaultMaxRequests = 4096
)

// NewCrashCounter returns a table with the defaults: three strikes within 10 min.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{
		MaxStrikes: defaultMaxStrikes, StrikeFor: defaultStrikeFor, MaxRequests: defaultMaxRequests,
		requests: map[uint64]*struck{},
	}
}

// HashCall returns the fingerprint of a call by what its caller sends again: method, path,
// what it is about, and body.
func HashCall(method, path, about string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, path, about} {
		_, _ = d.WriteString(s) // a digest's writes never fail
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// Add counts a strike. It reports whether it is new.
func (s *CrashCounter) Add(now time.Time, k CrashReport) bool {
	r := s.requests[k.Request]
	if r == nil || now.After(r.until) {
		s.makeRoom(now)
		r = &struck{upstreams: map[uint64]bool{}}
		s.requests[k.Request] = r
	}
	r.until = now.Add(s.StrikeFor)
	if r.upstreams[k.Upstream] {
		return false
	}
	r.upstreams[k.Upstream] = true
	return true
}

// makeRoom drops what has expired, or else what expires first.
func (s *CrashCounter) makeRoom(now time.Time) {
	if len(s.requests) < s.MaxRequests {
		return
	}
	var first uint64
	var at time.Time
	for id, r := range s.requests {
		if now.After(r.until) {
			delete(s.requests, id)
			continue
		}
		if at.IsZero() || r.until.Before(at) {
			first, at = id, r.until
		}
	}
	if len(s.requests) >= s.MaxRequests {
		delete(s.requests, first)
	}
}

// Refused reports whether a request must not be sent to a further upstream.
func (s *CrashCounter) Refused(now time.Time, request uint64) bool {
	r := s.requests[request]
	return r != nil && !now.After(r.until) && len(r.upstreams) >= s.MaxStrikes
}

// Count returns the strikes of a request.
func (s *CrashCounter) Count(now time.Time, request uint64) int {
	r := s.requests[request]
	if r == nil || now.After(r.until) {
		return 0
	}
	return len(r.upstreams)
}
