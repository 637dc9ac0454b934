package routing

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Defaults of Config.
const (
	defaultReportLag        = 500 * time.Millisecond
	defaultRoundTrip        = 2 * time.Millisecond
	defaultReportTimeout    = 5 * time.Second
	defaultFailureMin       = 500 * time.Millisecond
	defaultFailureMax       = 30 * time.Second
	defaultSlownessHalfLife = 10 * time.Second
)

// Config configures a State; zero fields take the defaults.
type Config struct {
	// ReportLag is the age of a periodic load report when it arrives; 500 ms by default.
	ReportLag time.Duration
	// RoundTrip is the age of the load that a side sends with its answer to a call; 2 ms by
	// default.
	RoundTrip time.Duration
	// ReportTimeout is the time without reports after which an upstream is excluded; 5 s by
	// default.
	ReportTimeout time.Duration
	// FailureMin and FailureMax bound how long an upstream is excluded after a failure. The
	// time doubles with each consecutive failure, from 500 ms up to 30 s by default.
	FailureMin, FailureMax time.Duration
	// SlownessHalfLife is the half-life with which a slowness above 1 returns to 1 while an
	// upstream gets no calls; 10 s by default.
	SlownessHalfLife time.Duration
	// Cache configures the estimated caches.
	Cache kvcache.ViewConfig
}

// State holds what one entry knows of its upstreams: their load reports, its own calls
// there and the estimated cache content. It is not safe for concurrent use.
type State struct {
	cfg       Config
	upstreams map[structs.UpstreamID]*upstreamState
	// order holds the IDs of the upstreams, sorted.
	order []structs.UpstreamID
	// attempts holds the attempts of model calls in flight.
	attempts map[attemptID]sentAttempt
	// candidates is the reused result buffer of Candidates.
	candidates []Candidate
}

// attemptID identifies one attempt of a call.
type attemptID struct {
	call    structs.CallID
	attempt uint32
}

// sentAttempt is an attempt of a model call in flight.
type sentAttempt struct {
	at       time.Time
	decision Decision
	blocks   []uint64
}

// Result classifies a finished attempt by what it shows about its upstream.
type Result struct {
	// Failed reports whether the upstream caused the call to fail.
	Failed bool
	// Inconclusive reports whether the call shows nothing about the upstream, because it was
	// cancelled or refused. It takes precedence over Failed.
	Inconclusive bool
	// Usage is the token usage counted by the engine.
	Usage structs.Usage
}

// NewState returns a State without upstreams.
func NewState(cfg Config) *State {
	setDefault(&cfg.ReportLag, defaultReportLag)
	setDefault(&cfg.RoundTrip, defaultRoundTrip)
	setDefault(&cfg.ReportTimeout, defaultReportTimeout)
	setDefault(&cfg.FailureMin, defaultFailureMin)
	setDefault(&cfg.FailureMax, defaultFailureMax)
	setDefault(&cfg.SlownessHalfLife, defaultSlownessHalfLife)
	return &State{
		cfg:       cfg,
		upstreams: make(map[structs.UpstreamID]*upstreamState),
		attempts:  make(map[attemptID]sentAttempt),
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Report applies a periodic load report, which is ReportLag old.
func (s *State) Report(now time.Time, load structs.Load) {
	s.applyReport(now, load, now.Add(-s.cfg.ReportLag))
}

// ReportWithAnswer applies the exact load that a side sent with its answer to a call, which is
// RoundTrip old.
func (s *State) ReportWithAnswer(now time.Time, load structs.Load) {
	s.applyReport(now, load, now.Add(-s.cfg.RoundTrip))
}

// applyReport applies a load that was accurate at time asOf and adds an unknown upstream.
func (s *State) applyReport(now time.Time, load structs.Load, asOf time.Time) {
	u, ok := s.upstreams[load.Upstream]
	if !ok {
		u = newUpstreamState(s.cfg)
		s.upstreams[load.Upstream] = u
		i, _ := slices.BinarySearch(s.order, load.Upstream)
		s.order = slices.Insert(s.order, i, load.Upstream)
	}
	u.report(now, load, asOf)
}

// Sent records that an attempt of call is sent as decided in d. blocks are the cache blocks
// of the call's messages. An unknown upstream is ignored.
func (s *State) Sent(now time.Time, call *structs.ModelCall, blocks []uint64, d Decision) {
	u, ok := s.upstreams[d.Upstream]
	if !ok {
		return
	}
	s.attempts[attemptID{call.Call, call.Attempt}] = sentAttempt{at: now, decision: d, blocks: blocks}
	u.sent(now, d.PrefillTokens)
	u.cache.Expect(now, blocks)
}

// Done records the end of an attempt. It ignores attempts that were not recorded by Sent
// and those at an upstream that has been removed.
func (s *State) Done(now time.Time, call structs.CallID, attempt uint32, r Result) {
	key := attemptID{call, attempt}
	sent, ok := s.attempts[key]
	if !ok {
		return
	}
	delete(s.attempts, key)
	u, ok := s.upstreams[sent.decision.Upstream]
	if !ok {
		return
	}
	u.done(now, sent, r)
}

// SentService records that a call is sent to an application engine. An unknown upstream is
// ignored.
func (s *State) SentService(now time.Time, id structs.UpstreamID) {
	if u, ok := s.upstreams[id]; ok {
		u.sent(now, 0)
	}
}

// DoneService records the end of a call to an application engine. An unknown upstream is
// ignored.
func (s *State) DoneService(now time.Time, id structs.UpstreamID, failed bool) {
	if u, ok := s.upstreams[id]; ok {
		u.ended(now, time.Time{})
		u.recordOutcome(now, failed)
	}
}

// Drain excludes an upstream from new calls until a new incarnation of its side reports.
func (s *State) Drain(id structs.UpstreamID) {
	if u, ok := s.upstreams[id]; ok {
		u.drainedIncarnation = u.load.Incarnation
		u.draining = true
	}
}

// Remove drops an upstream.
func (s *State) Remove(id structs.UpstreamID) {
	if _, ok := s.upstreams[id]; !ok {
		return
	}
	delete(s.upstreams, id)
	i, _ := slices.BinarySearch(s.order, id)
	s.order = slices.Delete(s.order, i, i+1)
}

// Cache returns the estimated cache content of an upstream, or nil if the upstream is
// unknown.
func (s *State) Cache(id structs.UpstreamID) *kvcache.View {
	if u, ok := s.upstreams[id]; ok {
		return u.cache
	}
	return nil
}

// Upstreams returns the known upstreams sorted by ID.
func (s *State) Upstreams() []structs.UpstreamID { return slices.Clone(s.order) }

// Candidates returns all known upstreams of the kind sorted by ID. The slice is valid
// until the next call of Candidates.
func (s *State) Candidates(now time.Time, kind structs.UpstreamKind) []Candidate {
	s.candidates = s.candidates[:0]
	for _, id := range s.order {
		u := s.upstreams[id]
		if u.load.Kind == kind {
			s.candidates = append(s.candidates, u.candidate(now))
		}
	}
	return s.candidates
}
