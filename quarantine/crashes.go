package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// CrashReport records that an upstream crashed while it ran a request. Entries exchange
// crash reports.
type CrashReport struct {
	// Request is the request's hash as HashCall returns it, Upstream a hash of the upstream's ID
	// and start. Each start counts as another upstream.
	Request  uint64
	Upstream uint64
}

// CrashCounter counts, by the content of a request, the upstreams that crashed while they
// ran it. It is for calls that an entry only forwards: the entry can't rerun them in
// isolation, and observes only that an answer broke off. A request is refused once
// MaxUpstreams different upstreams have crashed. CrashCounter is not safe for concurrent
// use.
type CrashCounter struct {
	// MaxUpstreams is the number of crashed upstreams from which on a request is refused.
	MaxUpstreams int
	// ReportTTL is how long a request's crashes count after its latest report.
	ReportTTL time.Duration
	// MaxRequests is the maximum number of requests that are tracked.
	MaxRequests int

	// requests holds the records by the hash of the request.
	requests map[uint64]*crashRecord
}

// crashRecord holds the upstreams that crashed while they ran one request, by the hashes of
// their IDs.
type crashRecord struct {
	upstreams map[uint64]bool
	expires   time.Time
}

// Defaults of CrashCounter.
const (
	// defaultMaxUpstreams is 3 because one broken answer is common and 2 may be a
	// coincidence.
	defaultMaxUpstreams = 3
	// defaultReportTTL covers the period in which callers resend a request.
	defaultReportTTL = 10 * time.Minute
	// defaultMaxRequests limits the memory of a CrashCounter to a few hundred KB.
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

// HashCall returns a hash of the parts of a call that stay the same when its caller resends it:
// the method, the path, the headers that distinguish calls without a body, and the body.
func HashCall(method, path, headers string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, path, headers} {
		_, _ = d.WriteString(s) // writes to a hash never fail
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// Add counts a report. It reports whether the upstream was not counted for the request yet.
func (c *CrashCounter) Add(now time.Time, report CrashReport) bool {
	r := c.requests[report.Request]
	if r == nil || now.After(r.expires) {
		c.evict(now)
		r = &crashRecord{upstreams: map[uint64]bool{}}
		c.requests[report.Request] = r
	}
	r.expires = now.Add(c.ReportTTL)
	if r.upstreams[report.Upstream] {
		return false
	}
	r.upstreams[report.Upstream] = true
	return true
}

// evict makes room for one request when the counter is full: it deletes the expired
// records or, when there are none, the one that expires first.
func (c *CrashCounter) evict(now time.Time) {
	if len(c.requests) < c.MaxRequests {
		return
	}
	var first uint64
	var at time.Time
	for id, r := range c.requests {
		if now.After(r.expires) {
			delete(c.requests, id)
			continue
		}
		if at.IsZero() || r.expires.Before(at) {
			first, at = id, r.expires
		}
	}
	if len(c.requests) >= c.MaxRequests {
		delete(c.requests, first)
	}
}

// Refused reports whether a request must not be sent to another upstream.
func (c *CrashCounter) Refused(now time.Time, request uint64) bool {
	r := c.requests[request]
	return r != nil && !now.After(r.expires) && len(r.upstreams) >= c.MaxUpstreams
}

// Count returns the number of upstreams that crashed while they ran a request.
func (c *CrashCounter) Count(now time.Time, request uint64) int {
	r := c.requests[request]
	if r == nil || now.After(r.expires) {
		return 0
	}
	return len(r.upstreams)
}
