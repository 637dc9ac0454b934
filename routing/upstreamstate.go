package routing

import (
	"math"
	"time"

	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
)

const (
	// sampleWeight is the weight of one observation in the slowness of an upstream.
	sampleWeight = 0.25
	// minSlownessSample and maxSlownessSample bound one observation of the slowness.
	minSlownessSample = 0.25
	maxSlownessSample = 20
	// maxFailureDoublings limits how often the exclusion time doubles, to prevent an
	// overflow.
	maxFailureDoublings = 16
)

// loadChange is the start (+1) or end (-1) of one of this entry's calls that the last load
// report may not include yet.
type loadChange struct {
	at    time.Time
	calls int
	// prefill is the number of uncached prompt tokens of a call that started and has not
	// ended; otherwise zero.
	prefill int
}

// upstreamState holds what an entry knows of one upstream.
type upstreamState struct {
	cfg Config
	// load is the last load report, which arrived at reportedAt.
	load       structs.Load
	reportedAt time.Time
	// asOf is the latest time for which a report was accurate.
	asOf time.Time
	// changes holds this entry's calls that started or ended after asOf.
	changes []loadChange
	// outstanding is the number of this entry's calls in flight.
	outstanding int
	cache       *kvcache.View
	step        StepModel
	// slowness is the moving average that Candidate.Slowness describes, as of
	// slownessUpdated.
	slowness        float64
	slownessUpdated time.Time
	// failures is the number of consecutive failures. They exclude the upstream until
	// excludedUntil.
	failures      int
	excludedUntil time.Time
	// probing is set when a call is sent after a failure. It is reset when any call to the
	// upstream ends.
	probing bool
	// draining reports whether Drain was called, when the side's incarnation was
	// drainedIncarnation.
	draining           bool
	drainedIncarnation string
}

func newUpstreamState(cfg Config) *upstreamState {
	return &upstreamState{cfg: cfg, cache: kvcache.NewView(cfg.Cache), slowness: 1}
}

// report applies a load report that was accurate at time asOf. A report with a lower
// sequence number than the last one is ignored.
func (u *upstreamState) report(now time.Time, load structs.Load, asOf time.Time) {
	same := load.Incarnation == u.load.Incarnation
	if same && load.Sequence < u.load.Sequence {
		return
	}
	if u.draining && load.Incarnation != u.drainedIncarnation {
		u.draining = false
	}
	u.load = load
	u.reportedAt = now
	// A periodic report counts as ReportLag old, which may be before the time of a load that
	// arrived earlier with an answer.
	if asOf.After(u.asOf) {
		u.asOf = asOf
	}
	u.step.Observe(load.Running, load.StepTime)
	u.dropCovered()
}

// dropCovered drops the changes that the last report includes.
func (u *upstreamState) dropCovered() {
	uncovered := u.changes[:0]
	for _, c := range u.changes {
		if c.at.After(u.asOf) {
			uncovered = append(uncovered, c)
		}
	}
	u.changes = uncovered
}

// sent records the start of a call; prefill is its number of uncached prompt tokens.
func (u *upstreamState) sent(now time.Time, prefill int) {
	u.outstanding++
	u.changes = append(u.changes, loadChange{at: now, calls: 1, prefill: prefill})
	if u.failures > 0 { // no further call until one ends, see excludedAt
		u.probing = true
	}
}

// ended records the end of the call that was sent at sentAt. Its prefill then no longer
// counts as queued. A zero sentAt matches no call.
func (u *upstreamState) ended(now, sentAt time.Time) {
	u.outstanding--
	for i := range u.changes {
		if u.changes[i].calls > 0 && u.changes[i].at.Equal(sentAt) {
			u.changes[i].prefill = 0
			break
		}
	}
	u.changes = append(u.changes, loadChange{at: now, calls: -1})
}

// done records the end of a model call. If the call did not complete, the blocks that it
// was expected to add to the cache are removed again from the estimate.
func (u *upstreamState) done(now time.Time, sent sentAttempt, r Result) {
	u.ended(now, sent.at)
	if r.Inconclusive || r.Failed {
		u.cache.Truncate(sent.blocks, sent.decision.CachedTokens/kvcache.BlockTokens)
	}
	if r.Inconclusive {
		u.probing = false
		return
	}
	u.recordOutcome(now, r.Failed)
	if !r.Failed {
		u.observeDuration(now, sent, r.Usage)
		u.cache.Expect(now, sent.blocks)
	}
}

// recordOutcome counts consecutive failures and excludes the upstream for twice as long
// after each of them.
func (u *upstreamState) recordOutcome(now time.Time, failed bool) {
	u.probing = false
	if !failed {
		u.failures = 0
		return
	}
	exclusion := u.cfg.FailureMin << min(u.failures, maxFailureDoublings)
	u.failures++
	u.excludedUntil = now.Add(min(exclusion, u.cfg.FailureMax))
}

// observeDuration updates the slowness with the ratio of a call's duration to the predicted
// one. The prediction is for the number of tokens that the call generated, and without the
// slowness: the slowness that the decision included is divided out.
func (u *upstreamState) observeDuration(now time.Time, sent sentAttempt, usage structs.Usage) {
	d := sent.decision
	d.Generate = int(usage.GeneratedTokens)
	predicted := d.Finish().Seconds() / max(1, u.slownessAt(sent.at))
	if predicted <= 0 {
		return
	}
	ratio := now.Sub(sent.at).Seconds() / predicted
	ratio = min(max(ratio, minSlownessSample), maxSlownessSample)
	u.slowness = u.slownessAt(now)*(1-sampleWeight) + ratio*sampleWeight
	u.slownessUpdated = now
}

// slownessAt returns the slowness at time now. A slowness above 1 decays towards 1 since the
// last observation.
func (u *upstreamState) slownessAt(now time.Time) float64 {
	if u.slowness <= 1 || u.slownessUpdated.IsZero() {
		return u.slowness
	}
	halves := now.Sub(u.slownessUpdated).Seconds() / u.cfg.SlownessHalfLife.Seconds()
	return 1 + (u.slowness-1)*math.Exp2(-max(0, halves))
}

// candidate returns the upstream as a Candidate at time now.
func (u *upstreamState) candidate(now time.Time) Candidate {
	c := Candidate{
		Load:        u.load,
		Cache:       u.cache,
		Slowness:    u.slownessAt(now),
		Excluded:    u.excludedAt(now),
		StepModel:   u.step,
		Outstanding: u.outstanding,
	}
	c.Load.Draining = c.Load.Draining || u.draining
	u.addChanges(&c.Load)
	return c
}

// excludedAt reports whether the upstream gets no calls because of failures or missing
// reports. After the exclusion time the upstream gets one call, and the next only when a call
// has ended, until one succeeds.
func (u *upstreamState) excludedAt(now time.Time) bool {
	if now.Sub(u.reportedAt) > u.cfg.ReportTimeout {
		return true
	}
	if u.failures == 0 {
		return false
	}
	return u.probing || now.Before(u.excludedUntil)
}

// addChanges adds this entry's calls that started or ended after the report. The result
// has at least the calls that this entry has in flight, whatever the upstream reports.
func (u *upstreamState) addChanges(l *structs.Load) {
	calls, prefill := 0, 0
	for _, c := range u.changes {
		calls += c.calls
		prefill += c.prefill
	}
	total := max(l.Running+l.Queued+calls, u.outstanding, 0)
	limit := batchLimit(l)
	l.Running = min(total, limit)
	l.Queued = total - l.Running
	l.QueuedPrefillTokens = max(0, l.QueuedPrefillTokens+int64(prefill))
}
