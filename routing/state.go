package routing

import (
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Defaults of Config.
const (
	defaultReportLag     = 500 * time.Millisecond
	defaultRoundTrip     = 2 * time.Millisecond
	defaultSilence       = 5 * time.Second
	defaultFailureMin    = 500 * time.Millisecond
	defaultFailureMax    = 30 * time.Second
	defaultSlownessDecay = 10 * time.Second
)

// Config bounds what a State believes; zero fields take the defaults.
type Config struct {
	// ReportLag is the age of a report's figures when it arrives; 500 ms by default.
	ReportLag time.Duration
	// RoundTrip is the age of the exact figures on a reply; 2 ms by default.
	RoundTrip time.Duration
	// ReportTimeout is how long after the last report an upstream gets no calls; 5 s by default.
	ReportTimeout time.Duration
	// FailureMin and FailureMax bound how long failures exclude an upstream; each
	// failure in a row doubles it from 500 ms up to 30 s by default.
	FailureMin, FailureMax time.Duration
	// SlownessHalfLife halves the distrust of an upstream that gets no calls; 10 s by default.
	SlownessHalfLife time.Duration
	// Cache bounds the believed caches.
	Cache kvcache.ViewConfig
}

// State is what one entry knows of its upstreams. It is not safe for concurrent use.
type State struct {
	cfg       Config
	upstreams map[structs.UpstreamID]*engineState
	order     []structs.UpstreamID
	calls     map[attempt]sentCall
	buffer    []Candidate
}

// attempt names one attempt of one call.
type attempt struct {
	call   structs.CallID
	number uint32
}

// sentCall is a call under way.
type sentCall struct {
	at       time.Time
	decision Decision
	blocks   []uint64
}

// Result is how a call ended.
type Result struct {
	// Failed says that the upstream failed it; a cancelled or refused call is Void.
	Failed bool
	// Inconclusive says that the end tells nothing of the upstream.
	Inconclusive bool
	// Usage is the engine's count.
	Usage structs.Usage
}

// NewState returns a State without upstreams.
func NewState(cfg Config) *State {
	setDefault(&cfg.ReportLag, defaultReportLag)
	setDefault(&cfg.RoundTrip, defaultRoundTrip)
	setDefault(&cfg.ReportTimeout, defaultSilence)
	setDefault(&cfg.FailureMin, defaultFailureMin)
	setDefault(&cfg.FailureMax, defaultFailureMax)
	setDefault(&cfg.SlownessHalfLife, defaultSlownessDecay)
	return &State{
		cfg:       cfg,
		upstreams: make(map[structs.UpstreamID]*engineState),
		calls:     make(map[attempt]sentCall),
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Report takes a load report that is ReportLag old.
func (s *State) Report(now time.Time, load structs.Load) {
	s.take(now, load, now.Add(-s.cfg.ReportLag))
}

// ReportWithReply takes the load that a side sent with a reply.
func (s *State) ReportWithReply(now time.Time, load structs.Load) {
	s.take(now, load, now.Add(-s.cfg.RoundTrip))
}

func (s *State) take(now time.Time, load structs.Load, asOf time.Time) {
	u, ok := s.upstreams[load.Upstream]
	if !ok {
		u = newUpstream(s.cfg)
		s.upstreams[load.Upstream] = u
		i, _ := slices.BinarySearch(s.order, load.Upstream)
		s.order = slices.Insert(s.order, i, load.Upstream)
	}
	u.report(now, load, asOf)
}

// Sent records that an attempt of call went out as decided, with its cache blocks.
func (s *State) Sent(now time.Time, call *structs.ModelCall, blocks []uint64, d Decision) {
	u, ok := s.upstreams[d.Upstream]
	if !ok {
		return
	}
	s.calls[attempt{call.Call, call.Attempt}] = sentCall{at: now, decision: d, blocks: blocks}
	u.sent(now, d.PrefillTokens)
	u.cache.Expect(now, blocks)
}

// Done records the end of an attempt. One that was never Sent is ignored.
func (s *State) Done(now time.Time, call structs.CallID, number uint32, r Result) {
	key := attempt{call, number}
	sent, ok := s.calls[key]
	if !ok {
		return
	}
	delete(s.calls, key)
	u, ok := s.upstreams[sent.decision.Upstream]
	if !ok {
		return
	}
	u.done(now, sent, r)
}

// SentService records a call to an application engine, DoneService its end.
func (s *State) SentService(now time.Time, id structs.UpstreamID) {
	if u, ok := s.upstreams[id]; ok {
		u.sent(now, 0)
	}
}

// DoneService records the end of a call to an application engine.
func (s *State) DoneService(now time.Time, id structs.UpstreamID, failed bool) {
	if u, ok := s.upstreams[id]; ok {
		u.ended(now, time.Time{})
		u.outcome(now, failed)
	}
}

// Drain closes an upstream to new calls until a new incarnation of its side reports.
func (s *State) Drain(id structs.UpstreamID) {
	if u, ok := s.upstreams[id]; ok {
		u.drained = u.load.Incarnation
		u.draining = true
	}
}

// Remove forgets an upstream that is gone.
func (s *State) Remove(id structs.UpstreamID) {
	if _, ok := s.upstreams[id]; !ok {
		return
	}
	delete(s.upstreams, id)
	i, _ := slices.BinarySearch(s.order, id)
	s.order = slices.Delete(s.order, i, i+1)
}

// Cache returns the believed cache of an upstream, nil for an unknown one.
func (s *State) Cache(id structs.UpstreamID) *kvcache.View {
	if u, ok := s.upstreams[id]; ok {
		return u.cache
	}
	return nil
}

// Upstreams returns the known upstreams in order.
func (s *State) Upstreams() []structs.UpstreamID { return slices.Clone(s.order) }

// Candidates returns all known upstreams of the kind in order of their ids. The slice
// is valid until the next call.
func (s *State) Candidates(now time.Time, kind structs.UpstreamKind) []Candidate {
	s.buffer = s.buffer[:0]
	for _, id := range s.order {
		u := s.upstreams[id]
		if u.load.Kind == kind {
			s.buffer = append(s.buffer, u.candidate(now))
		}
	}
	return s.buffer
}
