package quarantine

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ReportKind is what a CrashReport states.
type ReportKind uint8

const (
	// Crash states that the upstream ended while it ran the request.
	Crash ReportKind = iota + 1
	// Withdrawn states that the upstream's end, if any, was not caused by the request. It takes
	// precedence over Crash.
	Withdrawn
	// Trial states that a refused request is sent once more.
	Trial
)

// String returns the kind's name.
func (k ReportKind) String() string {
	switch k {
	case Crash:
		return "crash"
	case Withdrawn:
		return "withdrawn"
	case Trial:
		return "trial"
	default:
		return "unknown"
	}
}

// CrashReport is a statement about one request. Entries exchange crash reports.
type CrashReport struct {
	Kind ReportKind `json:"kind"`
	// Request is the request's hash as HashCall returns it, Upstream a hash of the upstream's ID
	// and start. Each start counts as another upstream. Upstream is 0 in a report of a trial.
	Request  uint64 `json:"request"`
	Upstream uint64 `json:"upstream,omitempty"`
	// Trial is the number of the trial, from 1, in a report of one; 0 if its sender does not number
	// trials.
	Trial int `json:"trial,omitempty"`
}

// Decision is the answer of CrashCounter.Admit.
type Decision uint8

const (
	// Allowed means that nothing speaks against sending the request.
	Allowed Decision = iota + 1
	// TrialDue means that the request is refused unless its next trial is claimed for this send, in a
	// place that all entries share. The driver must end the claim by BeginTrial or DropClaim.
	TrialDue
	// Refused means that the request must not be sent.
	Refused
)

// CrashCounter counts, by the content of a request, the upstreams that crashed while they
// ran it. It is for calls that an entry only forwards: the entry can't rerun them in
// isolation, and observes only that an answer broke off. A request is refused once
// MaxUpstreams different upstreams have crashed. CrashCounter is not safe for concurrent
// use.
//
// An upstream that ends breaks off all calls that run there, whatever the cause, so a harmless
// request may meet MaxUpstreams crashes too. A refused request is therefore tried again, MaxTrials
// times at most. A request that completes is cleared.
//
// Trials are numbered. All entries see a trial fall due at about the same time, so an entry may send
// one only after it has claimed its number in the table, which accepts each number once.
type CrashCounter struct {
	// MaxUpstreams is the number of crashed upstreams from which on a request is refused.
	MaxUpstreams int
	// ReportTTL is how long a request's crashes count after its latest report.
	ReportTTL time.Duration
	// TrialDelay is the least time from the latest crash or trial to the first trial of a request.
	// It is trialBackoff times as long before each further trial.
	TrialDelay time.Duration
	// MaxTrials is the maximum number of trials of a request, over all entries.
	MaxTrials int
	// MaxRequests is the maximum number of requests that are tracked.
	MaxRequests int

	// requests holds the records by the hash of the request.
	requests map[uint64]*crashRecord
}

// crashRecord holds the crashes of one request.
type crashRecord struct {
	// crashes maps the hash of each upstream to whether its crash counts; one that was withdrawn
	// does not.
	crashes map[uint64]bool
	expires time.Time
	// own reports whether this counter's owner has observed one of the crashes.
	own bool
	// lastCrash is when the latest crash was reported, lastTrial when the latest trial began.
	lastCrash, lastTrial time.Time
	// trials is the number of trials that were claimed, by any entry.
	trials int
	// claiming is set while this counter's owner claims a trial. After a claim that failed, none
	// begins before claimAfter.
	claiming   bool
	claimAfter time.Time
}

// Defaults of CrashCounter.
const (
	// defaultMaxUpstreams is 3 because one broken answer is common and 2 may be a
	// coincidence.
	defaultMaxUpstreams = 3
	// defaultReportTTL covers the period in which callers resend a request.
	defaultReportTTL = 10 * time.Minute
	// defaultTrialDelay is the time in which a crashed upstream usually starts again.
	defaultTrialDelay = 5 * time.Second
	// defaultMaxTrials is the number of times that a request may reach upstreams after it was to be
	// refused.
	defaultMaxTrials = 3
	// trialBackoff puts a minute between two trials.
	trialBackoff = 12
	// claimRetryDelay is the time from a claim that failed to the next one of the same entry.
	claimRetryDelay = time.Second
	// defaultMaxRequests limits the memory of a CrashCounter to a few hundred KB.
	defaultMaxRequests = 4096
)

// NewCrashCounter returns a CrashCounter with the defaults: a request is refused after
// crashes at 3 upstreams with at most 10 min between two reports.
func NewCrashCounter() *CrashCounter {
	return &CrashCounter{
		MaxUpstreams: defaultMaxUpstreams, ReportTTL: defaultReportTTL, TrialDelay: defaultTrialDelay,
		MaxTrials: defaultMaxTrials, MaxRequests: defaultMaxRequests, requests: map[uint64]*crashRecord{},
	}
}

// HashCall returns a hash of what an upstream runs: the method, the path with its query, the ID of
// the turn that the call continues from, and the body. It leaves out headers that differ when a
// request comes again, such as those of its program.
func HashCall(method, path, previous string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, path, previous} {
		_, _ = d.WriteString(s) // writes to a hash never fail
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// Add applies a report. It returns false if the report changes nothing.
func (c *CrashCounter) Add(now time.Time, report CrashReport) bool {
	r := c.ensure(now, report.Request)
	r.expires = now.Add(c.ReportTTL)
	switch report.Kind {
	case Crash:
		if _, known := r.crashes[report.Upstream]; known {
			return false
		}
		r.crashes[report.Upstream] = true
		r.lastCrash = now
	case Withdrawn:
		if counts, known := r.crashes[report.Upstream]; known && !counts {
			return false
		}
		r.withdraw(report.Upstream)
	case Trial:
		return c.addTrial(now, r, report.Trial)
	default:
		return false
	}
	return true
}

// addTrial records that another entry has claimed a trial. It returns false if that is known.
func (c *CrashCounter) addTrial(now time.Time, r *crashRecord, number int) bool {
	if number == 0 { // earlier builds repeat the report of a trial within TrialDelay
		if now.Sub(r.lastTrial) < c.TrialDelay {
			return false
		}
		number = r.trials + 1
	}
	return r.setTrials(now, number)
}

// AddOwn is Add for a report of the counter's owner.
func (c *CrashCounter) AddOwn(now time.Time, report CrashReport) bool {
	changed := c.Add(now, report)
	c.requests[report.Request].own = true
	return changed
}

// Own reports whether AddOwn was called for a request.
func (c *CrashCounter) Own(request uint64) bool {
	r := c.requests[request]
	return r != nil && r.own
}

// ensure returns the record of a request. It creates one if there is none or it has expired.
func (c *CrashCounter) ensure(now time.Time, request uint64) *crashRecord {
	r := c.record(now, request)
	if r == nil {
		c.evict(now)
		r = &crashRecord{crashes: map[uint64]bool{}}
		c.requests[request] = r
	}
	return r
}

// record returns the record of a request, or nil if there is none or it has expired.
func (c *CrashCounter) record(now time.Time, request uint64) *crashRecord {
	r := c.requests[request]
	if r == nil || now.After(r.expires) {
		return nil
	}
	return r
}

// Completed clears a request that an upstream has run to its end. It returns the reports that
// withdraw the request's crashes.
func (c *CrashCounter) Completed(now time.Time, request uint64) []CrashReport {
	r := c.record(now, request)
	if r == nil {
		return nil
	}
	var out []CrashReport
	for upstream, counts := range r.crashes {
		if counts {
			r.withdraw(upstream)
			out = append(out, CrashReport{Kind: Withdrawn, Request: request, Upstream: upstream})
		}
	}
	return out
}

// evict makes room for one request when the counter is full: it deletes the expired records or,
// when there are none, one that is not refused rather than one that is, and of these the one that
// expires first.
func (c *CrashCounter) evict(now time.Time) {
	if len(c.requests) < c.MaxRequests {
		return
	}
	var least uint64
	var leastRecord *crashRecord
	for id, r := range c.requests {
		if now.After(r.expires) {
			delete(c.requests, id)
			continue
		}
		if leastRecord == nil || c.evictBefore(r, leastRecord) {
			least, leastRecord = id, r
		}
	}
	if len(c.requests) >= c.MaxRequests {
		delete(c.requests, least)
	}
}

// evictBefore reports whether a makes room before b.
func (c *CrashCounter) evictBefore(a, b *crashRecord) bool {
	refusedA, refusedB := a.count() >= c.MaxUpstreams, b.count() >= c.MaxUpstreams
	if refusedA != refusedB {
		return refusedB
	}
	return a.expires.Before(b.expires)
}

// Admit decides whether a request may be sent to an upstream.
func (c *CrashCounter) Admit(now time.Time, request uint64) Decision {
	r := c.record(now, request)
	switch {
	case r == nil || r.count() < c.MaxUpstreams:
		return Allowed
	case c.trialDue(now, r):
		r.claiming = true
		return TrialDue
	default:
		return Refused
	}
}

// trialDue reports whether a trial of the request may be claimed.
func (c *CrashCounter) trialDue(now time.Time, r *crashRecord) bool {
	if r.trials >= c.MaxTrials || r.claiming || now.Before(r.claimAfter) {
		return false
	}
	delay := c.TrialDelay
	if r.trials > 0 {
		delay *= trialBackoff
	}
	return now.Sub(r.lastCrash) >= delay && now.Sub(r.lastTrial) >= delay
}

// TrialClaim returns the record to store for the claim of a request's next trial. It returns false
// if the record has expired.
func (c *CrashCounter) TrialClaim(now time.Time, request uint64) (CrashRecord, bool) {
	record, known := c.ExportOne(now, request)
	record.Trials++
	return record, known
}

// BeginTrial records that the owner has claimed a trial, and returns the report for the other entries.
func (c *CrashCounter) BeginTrial(now time.Time, request uint64, number int) CrashReport {
	r := c.ensure(now, request)
	r.claiming = false
	r.setTrials(now, number)
	return CrashReport{Kind: Trial, Request: request, Trial: number}
}

// DropClaim records that the owner could not claim the trial that Admit found due.
func (c *CrashCounter) DropClaim(now time.Time, request uint64) {
	if r := c.record(now, request); r != nil {
		r.claiming, r.claimAfter = false, now.Add(claimRetryDelay)
	}
}

// setTrials raises the number of trials. It returns false if it is not lower already.
func (r *crashRecord) setTrials(now time.Time, number int) bool {
	if number <= r.trials {
		return false
	}
	r.trials, r.lastTrial = number, now
	return true
}

// withdraw stops counting the crash of an upstream. A request without any has had no trial either:
// it has shown itself harmless.
func (r *crashRecord) withdraw(upstream uint64) {
	r.crashes[upstream] = false
	if r.count() == 0 {
		r.trials = 0
	}
}

// count returns the number of crashes that count.
func (r *crashRecord) count() int {
	n := 0
	for _, counts := range r.crashes {
		if counts {
			n++
		}
	}
	return n
}

// Count returns the number of upstreams that crashed while they ran a request, without those
// that were withdrawn.
func (c *CrashCounter) Count(now time.Time, request uint64) int {
	if r := c.record(now, request); r != nil {
		return r.count()
	}
	return 0
}

// TrialState is what the decision on a refused request rests on.
type TrialState struct {
	// Crashes is the number of crashes that count, Trials that of the trials that were claimed.
	Crashes, Trials int
	// SinceCrash and SinceTrial are the times since the latest crash and the latest trial were
	// learned of; 0 when there was none.
	SinceCrash, SinceTrial time.Duration
}

// TrialState returns the state of a request's trials.
func (c *CrashCounter) TrialState(now time.Time, request uint64) TrialState {
	r := c.record(now, request)
	if r == nil {
		return TrialState{}
	}
	s := TrialState{Crashes: r.count(), Trials: r.trials}
	if !r.lastCrash.IsZero() {
		s.SinceCrash = now.Sub(r.lastCrash)
	}
	if !r.lastTrial.IsZero() {
		s.SinceTrial = now.Sub(r.lastTrial)
	}
	return s
}

// CrashRecord is what is known of one request, as entries exchange and store it.
type CrashRecord struct {
	Request uint64 `json:"request"`
	// Crashes and Withdrawn are the hashes of the upstreams whose crashes count, and of those whose
	// crashes were withdrawn.
	Crashes   []uint64 `json:"crashes,omitempty"`
	Withdrawn []uint64 `json:"withdrawn,omitempty"`
	// Trials is the number of trials that were claimed. Earlier builds store under this name those
	// that have crashed an upstream.
	Trials int `json:"failed_trials,omitempty"`
	// TTL is the remaining lifetime of the record.
	TTL time.Duration `json:"lasts"`
}

// Export returns all records, in no particular order.
func (c *CrashCounter) Export(now time.Time) []CrashRecord {
	out := make([]CrashRecord, 0, len(c.requests))
	for request := range c.requests {
		if r, known := c.ExportOne(now, request); known {
			out = append(out, r)
		}
	}
	return out
}

// ExportOne returns the record of one request. It returns false if there is none.
func (c *CrashCounter) ExportOne(now time.Time, request uint64) (CrashRecord, bool) {
	r := c.record(now, request)
	if r == nil {
		return CrashRecord{}, false
	}
	out := CrashRecord{Request: request, TTL: r.expires.Sub(now), Trials: r.trials}
	for upstream, counts := range r.crashes {
		if counts {
			out.Crashes = append(out.Crashes, upstream)
		} else {
			out.Withdrawn = append(out.Withdrawn, upstream)
		}
	}
	return out, true
}

// Import adds records that Export returned elsewhere and returns the number of those that changed
// this counter. It reduces their TTL by ttlPerHop.
func (c *CrashCounter) Import(now time.Time, records []CrashRecord) int {
	changes := 0
	for _, in := range records {
		ttl := min(in.TTL-ttlPerHop, c.ReportTTL)
		if ttl > 0 && c.importOne(now, in, now.Add(ttl)) {
			changes++
		}
	}
	return changes
}

// importOne merges one record. It reports whether the record changed.
func (c *CrashCounter) importOne(now time.Time, in CrashRecord, expires time.Time) bool {
	r := c.ensure(now, in.Request)
	if expires.After(r.expires) {
		r.expires = expires
	}
	changed := false
	for _, upstream := range in.Withdrawn {
		if counts, known := r.crashes[upstream]; counts || !known {
			r.withdraw(upstream)
			changed = true
		}
	}
	for _, upstream := range in.Crashes {
		if _, known := r.crashes[upstream]; !known {
			r.crashes[upstream] = true
			r.lastCrash = now
			changed = true
		}
	}
	// Without a crash that counts, in comes from an entry that has not seen the request complete.
	if r.count() > 0 && r.setTrials(now, in.Trials) {
		changed = true
	}
	return changed
}

// Covers reports whether the record holds all that another one of the same request does, and lasts
// nearly as long.
func (in CrashRecord) Covers(other CrashRecord) bool {
	for _, upstream := range other.Crashes {
		if !slices.Contains(in.Crashes, upstream) && !slices.Contains(in.Withdrawn, upstream) {
			return false
		}
	}
	for _, upstream := range other.Withdrawn {
		if !slices.Contains(in.Withdrawn, upstream) {
			return false
		}
	}
	return in.Trials >= other.Trials && in.TTL >= other.TTL-ttlSlack
}

// ttlSlack is the part of a record's lifetime for which its row is not written again.
const ttlSlack = 30 * time.Second

// Digest returns a hash of the requests that have caused MaxUpstreams crashes, with the number of
// their crashes and trials. Entries compare it to detect that one of them has missed reports.
func (c *CrashCounter) Digest(now time.Time) uint64 {
	digest := uint64(0)
	for request := range c.requests {
		r := c.record(now, request)
		if r == nil || r.count() < c.MaxUpstreams {
			continue
		}
		var b [10]byte // the request, its crashes and trials, both up to 255
		binary.BigEndian.PutUint64(b[:], request)
		b[8], b[9] = byte(min(r.count(), math.MaxUint8)), byte(min(r.trials, math.MaxUint8))
		digest ^= xxhash.Sum64(b[:])
	}
	return digest
}

// Counted reports whether a request has caused MaxUpstreams crashes, alone or with others.
func (c *CrashCounter) Counted(now time.Time, request uint64) bool {
	return c.Count(now, request) >= c.MaxUpstreams
}
