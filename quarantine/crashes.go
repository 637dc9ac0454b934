package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// CrashReport records that an upstream crashed while it ran a request. Entries exchange
// crash reports.
type CrashReport struct {
	// Request is the request's hash as HashCall returns it, Upstream a hash of the
	// upstream's ID.
	Request  uint64
	Upstream uint64
}

// CrashCounter counts, by the content of a request, the upstreams that crashed while they
// ran it. It covers the calls that an entry can't run in isolation, because their caller
// drives them and the entry learns only that a response broke off. A request is refused
// once MaxUpstreams different upstreams have crashed. CrashCounter is not safe for
// concurrent use.
type CrashCounter struct {
	// MaxUpstreams is the number of crashed upstreams from which on a request is refused.
	MaxUpstreams int
	// ReportTTL is how long a request's crashes count after its latest report.
	ReportTTL time.Duration
	// MaxRequests is the maximum number of requests that are tracked.
	MaxRequests int

	requests map[uint64]*crashRecord
}

// crashRecord holds the upstreams that crashed while they ran one request.
type crashRecord struct {
	upstreams map[uint64]bool
	expires   time.Time
}

// Defaults of CrashCounter.
const (
	// defaultMaxUpstreams is 3: one lost response is common, and 2 may be a coincidence.
	defaultMaxUpstreams = 3
	// defaultReportTTL covers the period in which callers resend a request.
	defaultReportTTL = 10 * time.Minute
	// defaultMaxRequests limits the memory to a few hundred KB.
	defaultMaxRequests = 4096
)

// NewCrashCounter returns a CrashCounter with the defaults: a request is refused after
// crashes at 3 upstreams with at most 10 min between two reports.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{
		MaxUpstreams: defaultMaxUpstreams, ReportTTL: defaultReportTTL, MaxRequests: defaultMaxRequests,
		requests: map[uint64]*crashRecord{},
	}
}

// HashCall returns a hash of the parts of a call that stay the same when its caller
// resends it: method, path, subject and body.
func HashCall(method, path, about string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, path, about} {
		_, _ = d.WriteString(s) // writes to a hash never fail
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// Add counts a report. It reports whether the upstream was not counted for the request yet.
func (s *CrashCounter) Add(now time.Time, k CrashReport) bool {
	r := s.requests[k.Request]
	if r == nil || now.After(r.expires) {
		s.evict(now)
		r = &crashRecord{upstreams: map[uint64]bool{}}
		s.requests[k.Request] = r
	}
	r.expires = now.Add(s.ReportTTL)
	if r.upstreams[k.Upstream] {
		return false
	}
	r.upstreams[k.Upstream] = true
	return true
}

// evict makes room for one request when the counter is full: it deletes the expired
// records or, when there are none, the one that expires first.
func (s *CrashCounter) evict(now time.Time) {
	if len(s.requests) < s.MaxRequests {
		return
	}
	var first uint64
	var at time.Time
	for id, r := range s.requests {
		if now.After(r.expires) {
			delete(s.requests, id)
			continue
		}
		if at.IsZero() || r.expires.Before(at) {
			first, at = id, r.expires
		}
	}
	if len(s.requests) >= s.MaxRequests {
		delete(s.requests, first)
	}
}

// Refused reports whether a request must not be sent to another upstream.
func (s *CrashCounter) Refused(now time.Time, request uint64) bool {
	r := s.requests[request]
	return r != nil && !now.After(r.expires) && len(r.upstreams) >= s.MaxUpstreams
}

// Count returns the number of upstreams that crashed while they ran a request.
func (s *CrashCounter) Count(now time.Time, request uint64) int {
	r := s.requests[request]
	if r == nil || now.After(r.expires) {
		return 0
	}
	return len(r.upstreams)
}
