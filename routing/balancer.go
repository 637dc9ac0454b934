package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/buckthornroute/buckthornroute/limits"
)

// BalancerConfig configures a Balancer; zero fields take the defaults.
type BalancerConfig struct {
	// Entry is the name of this entry. The balancer does not use it.
	Entry string
	// PeerTTL is how long the calls reported by another entry count; 1 s by default,
	// several times the interval of its digests.
	PeerTTL time.Duration
	// Seed seeds the random tie break, so that entries with equal knowledge do not all
	// choose the same upstream.
	Seed uint64
	// NoPrefixAffinity disables the preference for some upstreams per shared first prompt
	// part, for comparisons.
	NoPrefixAffinity bool
}

func (c BalancerConfig) withDefaults() BalancerConfig {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&c.PeerTTL, time.Second)
	return c
}

// Upstream describes an upstream that a call may be sent to.
type Upstream struct {
	ID      string
	Service string
	// Domain is the upstream's failure domain.
	Domain string
	// Version is the version of the upstream's software. The balancer does not use it.
	Version string
	// Slots is the number of calls that the upstream runs at once.
	Slots int
	// CacheTokens is the size of a model engine's cache in tokens; zero for other upstreams.
	CacheTokens int64
	// Hash is HashID of the ID.
	Hash uint64
}

// PromptPart is one part of a prompt. Parts with equal IDs have equal content. The gateway fills
// it from a relay.PromptPart, which has the same fields.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// CallInfo describes a call for which an upstream is to be chosen. A plain call is one
// to a service that is no model.
type CallInfo struct {
	Prompt []PromptPart
	// Tokens is the length of the prompt.
	Tokens int
	// Generate is the expected number of generated tokens; zero for plain calls.
	Generate int
	// LastUpstream is the upstream of the conversation's last turn, which has cached the
	// prompt of that turn.
	LastUpstream string
	// Object names what a plain call is about; upstreams that have seen it answer faster.
	// Choose does not use it.
	Object string
	// Domain is the failure domain of the entry that routes the call.
	Domain string
	// Repeatable reports whether the call may run twice, so that it is sent again after a
	// failure.
	Repeatable bool
	// MaxConnIdle is the longest idle time of a connection on which the call may be sent.
	MaxConnIdle time.Duration
	// Predicted is the predicted time to the end of the answer at the chosen upstream.
	Predicted time.Duration
	// Patience is how long the call may wait for an upstream that is held, see Hold.
	Patience time.Duration
	// Bytes is the approximate number of bytes of the call and its answer on the network.
	Bytes int
}

// Pick is a chosen upstream with the estimates on which the choice is based.
type Pick struct {
	ID string
	// InFlight is the known number of calls of all entries in flight at the upstream. Own is
	// the number of this entry's.
	InFlight int
	Own      int
	Slots    int
	// Cached is the estimated number of prompt tokens that are cached there.
	Cached int
	// Finish is the predicted time to the end of the answer.
	Finish time.Duration
	// FirstEvent is the predicted time to the first event.
	FirstEvent time.Duration
	// FailureRate is the estimated probability that a call fails there.
	FailureRate float64
	// Slowness is what calls take there as a multiple of what they take at other upstreams.
	Slowness float64
	// OldestDigestAge is the age of the oldest digest counted in InFlight.
	OldestDigestAge time.Duration
	// Margin is how much more the next best upstream costs. Alternative reports whether there is one.
	Margin      time.Duration
	Alternative bool
}

// peerCalls is the number of calls that another entry reported at an upstream.
type peerCalls struct {
	calls int
	// at is when the report arrived.
	at time.Time
}

// upstreamStats holds what a Balancer knows of one upstream.
type upstreamStats struct {
	// own is the number of this entry's calls in flight.
	own int
	// peers holds the calls in flight of the other entries, by the name of the entry.
	peers map[string]peerCalls
	// cache estimates the prompt parts that the upstream has cached.
	cache    *prefixSet
	slowness slowness
	machine  machine
	// failureRate is the estimated probability that a call fails, as of failureRateAt. It
	// decays with time, so that calls are sent to a failed upstream again.
	failureRate   float64
	failureRateAt time.Time
	// lastFailure is when the last failure, of this or another entry, was recorded.
	lastFailure time.Time
	// lastFailed reports whether the last recorded outcome, of this or another entry, was a
	// failure.
	lastFailed bool
	// limited reports whether the upstream accepts only limit calls per second from all entries.
	limited bool
	limit   float64
	// heldUntil is the time before which no further call may be sent to a limited upstream, as far
	// as known.
	heldUntil time.Time
	// lastSuccess is when the last successful call of this entry ended, which left an open
	// connection.
	lastSuccess time.Time
	// unreportedFailures and unreportedSuccesses count outcomes that have not been reported
	// to the other entries yet.
	unreportedFailures, unreportedSuccesses int
}

// currentFailureRate returns the failure rate decayed to now.
func (s *upstreamStats) currentFailureRate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-float64(now.Sub(s.failureRateAt))/float64(failureHalfLife))
}

// observeOutcome updates the failure rate, a moving average, with one outcome.
func (s *upstreamStats) observeOutcome(now time.Time, failed bool) {
	rate, weight, target := s.currentFailureRate(now), outcomeWeight, 0.0
	if failed {
		target, s.lastFailure = 1, now
		if s.lastFailed {
			weight = repeatedFailureWeight
		}
	}
	s.lastFailed = failed
	s.failureRate, s.failureRateAt = rate+weight*(target-rate), now
}

const (
	// failureHalfLife is the half-life of the failure rate. It is somewhat longer than the
	// 1.5 s after which a flapping upstream typically changes between up and down.
	failureHalfLife = 2 * time.Second
	// outcomeWeight is the weight of one outcome in the failure rate,
	// repeatedFailureWeight that of a failure directly after another: one failure among
	// many calls means little, two in a row mean much.
	outcomeWeight         = 0.12
	repeatedFailureWeight = 0.35
	// nonRepeatableFailureCost is the cost in milliseconds of a failure of a non-repeatable
	// call: its program may fail with it. repeatableFailureCost is that of a repeatable call:
	// the wait until it is sent again. Choose adds them, times the failure rate, to the cost
	// of the load, so that an upstream is still used when all fail alike or when it seldom fails.
	nonRepeatableFailureCost = 1500
	repeatableFailureCost    = 400
)

// Balancer chooses the upstream of each call. It tracks the calls in flight at each
// upstream, its own and those reported by other entries, and estimates latencies, failure
// rates and cache content from them. It is not safe for concurrent use.
type Balancer struct {
	cfg       BalancerConfig
	stats     map[string]*upstreamStats
	latencies map[string]*LatencyModel
	affinity  *prefixAffinity
	// returns is when the next caller should return that is refused since all upstreams of a service
	// are held.
	returns map[string]time.Time
	rng     *rand.Rand
	// preferred is the reused result buffer of affinity.appendPreferred.
	preferred []bool
}

// NewBalancer returns a Balancer that knows of no calls.
func NewBalancer(cfg BalancerConfig) *Balancer {
	cfg = cfg.withDefaults()
	return &Balancer{
		cfg:       cfg,
		stats:     map[string]*upstreamStats{},
		latencies: map[string]*LatencyModel{},
		affinity:  newPrefixAffinity(),
		returns:   map[string]time.Time{},
		rng:       rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5bd1e995)),
	}
}

// statsOf returns the stats of an upstream and creates them if there are none. A
// cacheTokens above zero sets the size of its cache.
func (b *Balancer) statsOf(id string, cacheTokens int64) *upstreamStats {
	s := b.stats[id]
	if s == nil {
		s = &upstreamStats{peers: map[string]peerCalls{}, slowness: slowness{value: 1}, cache: newPrefixSet(cacheTokens)}
		b.stats[id] = s
	}
	if cacheTokens > 0 {
		s.cache.limit = cacheTokens
	}
	return s
}

// LatencyModel returns the latency model of a service's upstreams and creates it if there
// is none.
func (b *Balancer) LatencyModel(service string) *LatencyModel {
	m := b.latencies[service]
	if m == nil {
		m = newLatencyModel()
		b.latencies[service] = m
	}
	return m
}

// Retain drops the stats of upstreams for which keep returns false, except those with
// own calls in flight.
func (b *Balancer) Retain(keep func(id string) bool) {
	for id, s := range b.stats {
		if s.own == 0 && !keep(id) {
			delete(b.stats, id)
		}
	}
}

// inFlight returns the number of calls in flight at the upstream, as far as known, and
// the age of the oldest peer report that it includes. Expired reports are dropped.
func (b *Balancer) inFlight(now time.Time, s *upstreamStats) (int, time.Duration) {
	n, oldest := s.own, time.Duration(0)
	for peer, r := range s.peers {
		age := now.Sub(r.at)
		if age > b.cfg.PeerTTL {
			delete(s.peers, peer)
			continue
		}
		n += r.calls
		oldest = max(oldest, age)
	}
	return s.machine.inFlight(now, n), oldest
}

// slowdown returns the expected time of the upstream's work as a multiple of what its service takes.
func (s *upstreamStats) slowdown(now time.Time) float64 {
	return s.slowness.now(now) * s.machine.lastingPace() * s.machine.disturbance(now)
}

// SetPeerTTL sets how long the calls reported by another entry count.
func (b *Balancer) SetPeerTTL(d time.Duration) { b.cfg.PeerTTL = d }

// SetPeerCalls records the number of calls that another entry has in flight at an
// upstream.
func (b *Balancer) SetPeerCalls(now time.Time, peer, id string, calls int) {
	s := b.statsOf(id, 0)
	if calls == 0 {
		delete(s.peers, peer)
		return
	}
	s.peers[peer] = peerCalls{calls: calls, at: now}
}

// AddPeerCached records the prompt parts that an upstream has cached according to
// another entry.
func (b *Balancer) AddPeerCached(id string, parts []PromptPart) { b.statsOf(id, 0).cache.add(parts) }

// EachInFlight calls f for every upstream at which this entry has calls in flight.
func (b *Balancer) EachInFlight(f func(id string, calls int)) {
	for id, s := range b.stats {
		if s.own > 0 {
			f(id, s.own)
		}
	}
}

// Started records that a call is to be sent to an upstream and counts its prompt as cached there; that
// of a call to a limited upstream counts only from Permitted on. Ended must be called when the call
// ends.
func (b *Balancer) Started(u Upstream, call *CallInfo) {
	s := b.statsOf(u.ID, u.CacheTokens)
	s.own++
	s.machine.startedSince++
	if call.Predicted > 0 {
		b.LatencyModel(u.Service).observeFinish(ms(call.Predicted))
	}
	if grown, ok := s.cache.growth(call.Prompt); ok {
		b.LatencyModel(u.Service).observeGrowth(grown)
	}
	if len(call.Prompt) > 0 && !s.limited {
		s.cache.add(call.Prompt)
	}
}

// Permitted records that a call which was started is sent to a limited upstream.
func (b *Balancer) Permitted(id string, call *CallInfo) {
	if len(call.Prompt) > 0 {
		b.statsOf(id, 0).cache.add(call.Prompt)
	}
}

// Outcome classifies a finished call by what it shows about its upstream.
type Outcome uint8

// Outcomes of calls.
const (
	// OutcomeSuccess means that the upstream answered.
	OutcomeSuccess Outcome = iota
	// OutcomeFailure means that the upstream was unreachable, broke the answer off or sent
	// an invalid one.
	OutcomeFailure
	// OutcomeInconclusive means that the call shows nothing about the upstream, for example
	// because its caller cancelled it.
	OutcomeInconclusive
)

// Ended records the end and the outcome of a call.
func (b *Balancer) Ended(now time.Time, id string, outcome Outcome) {
	s := b.statsOf(id, 0)
	s.own = max(0, s.own-1)
	s.machine.endedSince++
	switch outcome {
	case OutcomeSuccess:
		s.lastSuccess = now
		// While the failure rate is 0, a success changes nothing and is not reported.
		if s.failureRate > 0 {
			s.observeOutcome(now, false)
			s.unreportedSuccesses++
		}
	case OutcomeFailure:
		s.observeOutcome(now, true)
		s.unreportedFailures++
	case OutcomeInconclusive:
	}
}

// AddPeerOutcomes records the outcomes of another entry's calls at an upstream.
func (b *Balancer) AddPeerOutcomes(now time.Time, id string, failed, succeeded int) {
	s := b.statsOf(id, 0)
	// The order of the outcomes is not reported. They are applied alternately, so that
	// failures in excess of the successes count as consecutive.
	failed, succeeded = min(failed, maxPeerOutcomes), min(succeeded, maxPeerOutcomes)
	for ; failed > 0 || succeeded > 0; failed, succeeded = failed-1, succeeded-1 {
		if succeeded > 0 {
			s.observeOutcome(now, false)
		}
		if failed > 0 {
			s.observeOutcome(now, true)
		}
	}
}

// maxPeerOutcomes limits the failures, and the successes, of an upstream that one digest
// may add.
const maxPeerOutcomes = 8

// TakeUnreportedOutcomes calls f with the counts of outcomes since TakeUnreportedOutcomes was
// last called: for every upstream with failures among them, and for those with successes
// alone whose failure rate is above reportThreshold. It resets the counts of all upstreams.
func (b *Balancer) TakeUnreportedOutcomes(now time.Time, f func(id string, failed, succeeded int)) {
	for id, s := range b.stats {
		if s.unreportedFailures > 0 || s.unreportedSuccesses > 0 && s.currentFailureRate(now) > reportThreshold {
			f(id, s.unreportedFailures, s.unreportedSuccesses)
		}
		s.unreportedFailures, s.unreportedSuccesses = 0, 0
	}
}

// reportThreshold is the failure rate above which entries report successes to each other when
// there are no failures to report.
const reportThreshold = 0.05

// ResetUpstream resets the cache content, slowness and failure rate of an upstream, for
// example after its restart.
func (b *Balancer) ResetUpstream(id string) {
	s := b.statsOf(id, 0)
	s.cache = newPrefixSet(s.cache.limit)
	s.slowness, s.failureRate, s.lastFailure = slowness{value: 1}, 0, time.Time{}
	s.machine = machine{}
	s.limited, s.heldUntil = false, time.Time{}
}

// LastFailure returns when the last failure of a call at an upstream was recorded, of this or another
// entry; the zero time if none was.
func (b *Balancer) LastFailure(id string) time.Time {
	if s := b.stats[id]; s != nil {
		return s.lastFailure
	}
	return time.Time{}
}

// Decode is how an upstream generated the tokens of an answer.
type Decode struct {
	// Tokens is the number of tokens that were generated in the time Elapsed, in a batch of
	// BatchSize calls.
	Tokens, BatchSize int
	Elapsed           time.Duration
	// Undisturbed is the time of a token in the quicker part of the answer, in which no other prompt was
	// computed.
	Undisturbed time.Duration
}

// ObserveDecode records how an upstream generated an answer.
func (b *Balancer) ObserveDecode(now time.Time, service, id string, d Decode) {
	if d.Tokens <= 0 || d.Elapsed <= 0 {
		return
	}
	m, s := b.LatencyModel(service), b.statsOf(id, 0)
	slow := s.slowdown(now)
	m.observeStep(ms(d.Elapsed)/float64(d.Tokens)/m.batchFactor(d.BatchSize), slow)
	// Events that arrive together, such as two in a packet, say nothing of the time between them.
	if d.Undisturbed < d.Elapsed/time.Duration(d.Tokens*maxDisturbance) {
		return
	}
	alone := ms(d.Undisturbed) / m.batchFactor(d.BatchSize)
	if !m.observeUndisturbed(alone, slow) {
		return
	}
	ratio := s.machine.observePace(now, alone/m.undisturbed)
	s.slowness.observe(now, ratio, slownessWeight)
	s.slowness.own++
	s.slowness.report(ratio)
}

// maxDisturbance is the largest ratio of the mean time of a token to the undisturbed one that can be due
// to prompts which are computed meanwhile.
const maxDisturbance = 10

// ObserveFirstEvent records the time to the first event of a call that was sent with the estimates of
// pick. Calls of whose prompt nothing is known to be cached are left out, since another entry may
// have had it cached there, and so are those to slow upstreams.
func (b *Balancer) ObserveFirstEvent(now time.Time, service string, call *CallInfo, pick *Pick, took time.Duration) {
	if pick.Cached <= 0 || pick.Cached >= call.Tokens || b.statsOf(pick.ID, 0).slowdown(now) > maxMeasuredSlowness {
		return
	}
	b.LatencyModel(service).observePrefill(call.Tokens-pick.Cached, ms(took))
}

// maxMeasuredSlowness is the slowness above which an upstream's calls don't count for the prefill
// rate of its service.
const maxMeasuredSlowness = 1.5

// ObserveCall records the duration of a plain call at an upstream.
func (b *Balancer) ObserveCall(now time.Time, service, id string, elapsed time.Duration) {
	m := b.LatencyModel(service)
	s := b.statsOf(id, 0)
	m.observeCall(ms(elapsed) / (s.machine.lastingPace() * s.machine.disturbance(now)))
	ratio := s.machine.observePace(now, ms(elapsed)/m.call)
	s.slowness.observe(now, ratio, slownessWeight/2)
}

func clamp(v, low, high float64) float64 { return math.Max(low, math.Min(high, v)) }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ClearPeerCalls drops all calls reported by another entry. It is called before a new
// digest of that entry is applied, because a digest leaves out upstreams at which its
// sender has no calls.
func (b *Balancer) ClearPeerCalls(peer string) {
	for _, s := range b.stats {
		delete(s.peers, peer)
	}
}

// heldLoad is the time for which all upstreams are held that adds 1 to the load.
const heldLoad = 250 * time.Millisecond

// Load returns the number of calls in flight at the upstreams divided by the number of
// their slots. A limited upstream has no more slots than its limit fills. While all are held, the load
// is above 1 by the time until the first of them is free.
func (b *Balancer) Load(now time.Time, upstreams []Upstream) float64 {
	calls, places := 0, 0.0
	free, leastHeld := len(upstreams) == 0, time.Duration(math.MaxInt64)
	for i := range upstreams {
		u := &upstreams[i]
		s := b.stats[u.ID]
		if s == nil {
			places += max(1, float64(u.Slots))
			free = true
			continue
		}
		n, _ := b.inFlight(now, s)
		calls += n
		places += b.places(u, s)
		held := s.heldUntil.Sub(now)
		free = free || held <= 0
		leastHeld = min(leastHeld, held)
	}
	load := float64(calls) / max(1, places)
	if free {
		return load
	}
	return max(load, 1+float64(leastHeld)/float64(heldLoad))
}

// OldestPeerReport returns the age of the oldest report of another entry that Load counts.
func (b *Balancer) OldestPeerReport(now time.Time, upstreams []Upstream) time.Duration {
	oldest := time.Duration(0)
	for i := range upstreams {
		if s := b.stats[upstreams[i].ID]; s != nil {
			_, age := b.inFlight(now, s)
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// places returns the number of calls that an upstream can run at once at the usual pace of its service.
func (b *Balancer) places(u *Upstream, s *upstreamStats) float64 {
	if !s.limited {
		return max(1, float64(u.Slots)/s.machine.lastingPace())
	}
	return limits.Places(u.Slots, s.limit, fromMs(b.LatencyModel(u.Service).finish))
}

// SetLimit records the number of calls per second that a limited upstream accepts from all entries.
func (b *Balancer) SetLimit(id string, perSecond float64) {
	s := b.statsOf(id, 0)
	s.limited, s.limit = true, perSecond
}

// RemoveLimit records that an upstream is not limited any more.
func (b *Balancer) RemoveLimit(id string) {
	s := b.statsOf(id, 0)
	s.limited, s.heldUntil = false, time.Time{}
}

// Hold records that no further call may be sent to a limited upstream before a time.
func (b *Balancer) Hold(id string, until time.Time) { b.statsOf(id, 0).heldUntil = until }

// RetryAfter returns the time after which the caller of a call should return that no upstream accepts
// now. Callers that get one of these times return one after the other, at this entry's part of what
// the held upstreams accept from all entries. Those in tried are left out. It returns false when none
// is held.
func (b *Balancer) RetryAfter(now time.Time, upstreams []Upstream, tried []string, entries int) (time.Duration, bool) {
	first, perSecond, service := time.Time{}, 0.0, ""
	for i := range upstreams {
		s := b.stats[upstreams[i].ID]
		if s == nil || !now.Before(s.heldUntil) || contains(tried, upstreams[i].ID) {
			continue
		}
		if first.IsZero() || s.heldUntil.Before(first) {
			first = s.heldUntil
		}
		perSecond += s.limit
		service = upstreams[i].Service
	}
	if first.IsZero() {
		return 0, false
	}
	at := b.returns[service]
	if at.Before(first) {
		at = first
	}
	at = earlierOf(at, now.Add(maxRetryAfter))
	gap := maxRetryAfter
	if rate := perSecond / float64(max(1, entries)); rate > 0 {
		gap = min(gap, time.Duration(float64(time.Second)/rate))
	}
	b.returns[service] = at.Add(gap)
	return at.Sub(now), true
}

// maxRetryAfter bounds the time after which a caller is told to return.
const maxRetryAfter = 5 * time.Second

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// RandomFloat returns a random number in [0, 1).
func (b *Balancer) RandomFloat() float64 { return b.rng.Float64() }
