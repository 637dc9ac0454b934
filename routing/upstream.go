package routing

import (
	"math"
	"time"

	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/structs"
)

const (
	// engineSlownessWeight is the weight of one observation in the slowness.
	engineSlownessWeight = 0.25
	// minSlowness and maxSlowness bound one observation.
	minSlowness = 0.25
	maxSlowness = 20
	// maxFailureDoublings bounds the exponent of the exclusion.
	maxFailureDoublings = 16
)

// change is an own send (+1) or end (-1) that a report may not cover yet.
type change struct {
	at      time.Time
	calls   int
	prefill int
}

// engineState is what an entry knows of one engineState.
type engineState struct {
	cfg                Config
	load               structs.Load
	reportedAt         time.Time
	asOf               time.Time
	changes            []change
	outstanding        int
	cache              *kvcache.View
	step               StepModel
	slowness           float64
	slownessUpdated    time.Time
	failures           int
	excludedUntil      time.Time
	probing            bool
	draining           bool
	drainedIncarnation string
}

func newEngineState(cfg Config) *engineState {
	return &engineState{cfg: cfg, cache: kvcache.NewView(cfg.Cache), slowness: 1}
}

// report takes a load whose figures were true at asOf. An older one is ignored.
func (u *engineState) report(now time.Time, load structs.Load, asOf time.Time) {
	same := load.Incarnation == u.load.Incarnation
	if same && load.Sequence < u.load.Sequence {
		return
	}
	if u.draining && load.Incarnation != u.drainedIncarnation {
		u.draining = false
	}
	u.load = load
	u.reportedAt = now
	if asOf.After(u.asOf) {
		u.asOf = asOf
	}
	u.step.Observe(load.Running, load.StepTime)
	u.dropCovered()
}

// dropCovered drops the changes that the last report covers.
func (u *engineState) dropCovered() {
	kept := u.changes[:0]
	for _, c := range u.changes {
		if c.at.After(u.asOf) {
			kept = append(kept, c)
		}
	}
	u.changes = kept
}

func (u *engineState) sent(now time.Time, prefill int) {
	u.outstanding++
	u.changes = append(u.changes, change{at: now, calls: 1, prefill: prefill})
	if u.failures > 0 {
		u.probing = true
	}
}

// ended takes off a call that was sent at sentAt.
func (u *engineState) ended(now, sentAt time.Time) {
	u.outstanding--
	for i := range u.changes {
		if u.changes[i].calls > 0 && u.changes[i].at.Equal(sentAt) {
			u.changes[i].prefill = 0
			break
		}
	}
	u.changes = append(u.changes, change{at: now, calls: -1})
}

func (u *engineState) done(now time.Time, sent sentCall, r Result) {
	u.ended(now, sent.at)
	if r.Inconclusive || r.Failed {
		u.cache.Shrink(sent.blocks, sent.decision.CachedTokens/kvcache.BlockTokens)
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

// recordOutcome counts failures in a row and excludes the upstream longer with each.
func (u *engineState) recordOutcome(now time.Time, failed bool) {
	u.probing = false
	if !failed {
		u.failures = 0
		return
	}
	pause := u.cfg.FailureMin << min(u.failures, maxFailureDoublings)
	u.failures++
	u.excludedUntil = now.Add(min(pause, u.cfg.FailureMax))
}

// observeDuration compares how long a call took with what the decision predicted for its length.
func (u *engineState) observeDuration(now time.Time, sent sentCall, usage structs.Usage) {
	d := sent.decision
	d.Generate = int(usage.GeneratedTokens)
	predicted := d.Finish().Seconds() / max(1, u.slownessAt(sent.at))
	if predicted <= 0 {
		return
	}
	ratio := now.Sub(sent.at).Seconds() / predicted
	ratio = min(max(ratio, minSlowness), maxSlowness)
	u.slowness = u.slownessAt(now)*(1-engineSlownessWeight) + ratio*engineSlownessWeight
	u.slownessUpdated = now
}

// slownessAt returns the slowness with the time since the last observation taken off.
func (u *engineState) slownessAt(now time.Time) float64 {
	if u.slowness <= 1 || u.slownessUpdated.IsZero() {
		return u.slowness
	}
	halves := now.Sub(u.slownessUpdated).Seconds() / u.cfg.SlownessHalfLife.Seconds()
	return 1 + (u.slowness-1)*math.Exp2(-max(0, halves))
}

func (u *engineState) candidate(now time.Time) Candidate {
	c := Candidate{
		Load:        u.load,
		Cache:       u.cache,
		Slowness:    u.slownessAt(now),
		Excluded:    u.excludedAt(now),
		Step:        u.step,
		Outstanding: u.outstanding,
	}
	c.Load.Draining = c.Load.Draining || u.draining
	u.addChanges(&c.Load)
	return c
}

// excludedAt reports whether failures or silence keep calls away. After the exclusion
// one call at a time goes there until one succeeds.
func (u *engineState) excludedAt(now time.Time) bool {
	if now.Sub(u.reportedAt) > u.cfg.ReportTimeout {
		return true
	}
	if u.failures == 0 {
		return false
	}
	return u.probing || now.Before(u.excludedUntil)
}

// addChanges adds the own sends and ends since the report. Whatever an upstream
// reports, it has at least the entry's own calls.
func (u *engineState) addChanges(l *structs.Load) {
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
