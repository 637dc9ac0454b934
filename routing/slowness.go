package routing

import (
	"math"
	"time"
)

// The slowness of an upstream is the moving average of the time that it takes for a token, as a multiple
// of what the upstreams of its service take in a batch of that size; that of a plain service, of the time
// of a call. It answers engines that turn slow while others stay quick.
//
// Only the quicker part of an answer counts. A prompt that is computed in the batch stalls all of its
// calls, on some engines for longer than their answers take. If that counted, entries would send
// conversations away from the engines that have cached them, where their prompts stall other batches.
//
// Among many entries each one sends an engine a call every few seconds, so that a slow one would be
// found by each entry for itself, one late call after the other. Entries therefore report to each
// other what is out of the ordinary: calls that took slowReport times as long or longer, and all
// calls at an upstream that is known to be slow, so that its recovery shows too.

const (
	// slownessWeight is the weight of one model call in an upstream's slowness; a plain call has
	// half of it. The slowness thus averages over about 8 model calls, and one long call changes
	// it little.
	slownessWeight = 0.12
	// slownessHalfLife is the time in which a slowness above 1 halves its distance to 1 without
	// further calls. An upstream that gets none for being slow gets some again, a few more as
	// time passes.
	slownessHalfLife = 2 * time.Second
	// slowReport is the ratio from which the time of a single call is reported to the other
	// entries. knownSlow is the slowness from which all are.
	slowReport = 1.8
	knownSlow  = 1.4
	// maxPeerSpeeds limits the calls of an upstream that one digest may report.
	maxPeerSpeeds = 8
	// slowAbove is the slowness from which an upstream is reported to operators as slow and no longer
	// preferred for shared prompt parts, normalBelow that below which it is reported as normal.
	slowAbove   = 2
	normalBelow = 1.3
	// minSlowness and maxSlowness bound the slowness of an upstream.
	minSlowness = 0.5
	maxSlowness = 10
)

// slowness is an upstream's slowness; see above.
type slowness struct {
	value float64
	// at is when value was last observed.
	at time.Time
	// ratios is the sum of the observations that have not been reported yet, calls their number.
	ratios float64
	calls  int
	// slow reports whether operators were told that the upstream is slow. own and peers count the
	// observations of this entry and of others since it was last normal.
	slow       bool
	own, peers int
}

// now returns the slowness decayed to the time now.
func (s *slowness) now(now time.Time) float64 {
	if s.value <= 1 || s.at.IsZero() {
		return s.value
	}
	return 1 + (s.value-1)*math.Exp2(-float64(max(0, now.Sub(s.at)))/float64(slownessHalfLife))
}

// observe adds the time of a call, as a multiple of the predicted one.
func (s *slowness) observe(now time.Time, ratio, weight float64) {
	v := s.now(now)
	s.value, s.at = clamp(v+weight*(clamp(ratio, 0, maxSlowness)-v), minSlowness, maxSlowness), now
}

// report queues the time of a model call for the other entries if it is out of the ordinary.
func (s *slowness) report(ratio float64) {
	if ratio >= slowReport || s.value >= knownSlow {
		s.ratios += clamp(ratio, minSlowness, maxSlowness)
		s.calls++
	}
}

// Slowness returns the slowness of an upstream.
func (b *Balancer) Slowness(now time.Time, id string) float64 {
	if s := b.stats[id]; s != nil {
		return s.slowness.now(now)
	}
	return 1
}

// SpeedChange reports that an upstream has turned slow, or is no longer slow.
type SpeedChange struct {
	ID   string
	Slow bool
	// Slowness is what calls take there, as a multiple of what they take at other upstreams.
	Slowness float64
	// Own and Peers count the calls of this entry and the reported ones of others on which it
	// rests, since the upstream was last normal.
	Own, Peers int
}

// TakeSpeedChanges calls f for every upstream that has turned slow, or normal again, since it was last
// called.
func (b *Balancer) TakeSpeedChanges(now time.Time, f func(SpeedChange)) {
	for id, stats := range b.stats {
		s := &stats.slowness
		v := s.now(now)
		if v >= slowAbove && !s.slow || v < normalBelow && s.slow {
			s.slow = !s.slow
			f(SpeedChange{ID: id, Slow: s.slow, Slowness: v, Own: s.own, Peers: s.peers})
		}
		if v < normalBelow {
			s.own, s.peers = 0, 0
		}
	}
}

// TakeUnreportedSpeeds calls f for every upstream with calls to report: the mean of their times as
// a multiple of the predicted ones, and their number. What f does not take is reported later.
func (b *Balancer) TakeUnreportedSpeeds(f func(id string, ratio float64, calls int) (taken bool)) {
	for id, s := range b.stats {
		if n := s.slowness.calls; n > 0 && f(id, s.slowness.ratios/float64(n), n) {
			s.slowness.ratios, s.slowness.calls = 0, 0
		}
	}
}

// AddPeerSpeeds records calls of another entry at an upstream, which took ratio times the predicted
// time on average.
func (b *Balancer) AddPeerSpeeds(now time.Time, id string, ratio float64, calls int) {
	s := b.statsOf(id, 0)
	for range min(calls, maxPeerSpeeds) {
		s.slowness.observe(now, ratio, slownessWeight)
		s.slowness.peers++
	}
}
