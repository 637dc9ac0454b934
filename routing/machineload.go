package routing

import (
	"math"
	"time"
)

// Engines that share their machines with others report with each answer how long work takes there at that
// moment. This file uses that report. It answers the load of unlike engines: some of one service work at
// about half the speed of others all the time, and on some machines work takes 2.5 times as long for about
// half a second at a time.
//
// The two are told apart by the report. A call that took long while its machine reported a disturbance says
// nothing of the engine, so the reported slowdown is divided out before the engine's pace is learned. The
// pace follows slowly and does not decay, unlike the slowness, which answers engines that turn slow. The
// disturbance itself counts only while the report is recent, since it ends sooner than most of its calls.
//
// Upstreams that report no slowdown have a pace of 1 and are chosen as before.

// MachineLoad is what an upstream reports of its machine with an answer.
type MachineLoad struct {
	// InFlight is the number of calls of all entries that it holds, running or waiting.
	InFlight int
	// Slowdown is the time that work takes there, as a multiple of the usual one.
	Slowdown float64
}

const (
	// disturbanceHalfLife is the time in which the reported slowdown loses half of its weight: a
	// disturbance of 0.6 s is in its middle, in the mean, when it is reported.
	disturbanceHalfLife = 300 * time.Millisecond
	// maxReportAge is how long the reported number of calls is used: about the length of a call.
	maxReportAge = 200 * time.Millisecond
	// maxSlowdown bounds a reported slowdown, so that one malformed report does not ban an upstream.
	maxSlowdown = 10
	// paceTime is the time constant with which the pace follows the observations. An engine that turns
	// slow for some seconds must not keep a mark of that.
	paceTime = 10 * time.Second
	// maxPaceStep bounds the time that one observation may stand for.
	maxPaceStep = time.Second
	// minPace and maxPace bound the pace. Slower calls are those of an engine that has turned slow.
	minPace = 0.5
	maxPace = 2.5
)

// machine is what is known of the machine of an upstream that reports its load. The zero value is that of
// an upstream that has reported none.
type machine struct {
	load MachineLoad
	at   time.Time
	// startedSince and endedSince count this entry's calls since the report.
	startedSince, endedSince int
	// pace is the lasting time of the upstream's work as a multiple of that of its service, without
	// disturbances; zero until it is known.
	pace   float64
	paceAt time.Time
}

// ObserveMachineLoad records the load that an upstream has reported with an answer.
func (b *Balancer) ObserveMachineLoad(now time.Time, id string, load MachineLoad) {
	load.Slowdown = clamp(load.Slowdown, minPace, maxSlowdown)
	m := &b.statsOf(id, 0).machine
	m.load, m.at, m.startedSince, m.endedSince = load, now, 0, 0
	if m.pace == 0 {
		m.pace, m.paceAt = 1, now
	}
}

// reports reports whether the upstream has reported its machine's load.
func (m *machine) reports() bool { return m.pace > 0 }

// lastingPace returns the pace; 1 when the upstream reports no load.
func (m *machine) lastingPace() float64 {
	if !m.reports() {
		return 1
	}
	return m.pace
}

// disturbance returns the slowdown that is expected now; 1 when none was reported recently.
func (m *machine) disturbance(now time.Time) float64 {
	if !m.reports() || m.load.Slowdown <= 1 {
		return 1
	}
	return 1 + (m.load.Slowdown-1)*math.Exp2(-float64(max(0, now.Sub(m.at)))/float64(disturbanceHalfLife))
}

// inFlight returns the number of calls in flight, given the number that digests account for. A recent
// report includes calls of which no digest has arrived.
func (m *machine) inFlight(now time.Time, known int) int {
	if !m.reports() || now.Sub(m.at) > maxReportAge {
		return known
	}
	return max(known, m.load.InFlight+m.startedSince-m.endedSince)
}

// observePace updates the pace with the time of a call as a multiple of the predicted one, and returns that
// ratio without the upstream's pace and disturbance.
func (m *machine) observePace(now time.Time, ratio float64) float64 {
	if !m.reports() {
		return ratio
	}
	undisturbed := ratio / m.disturbance(now)
	weight := 1 - math.Exp(-float64(min(maxPaceStep, max(0, now.Sub(m.paceAt))))/float64(paceTime))
	rest := undisturbed / m.pace
	m.pace = clamp(m.pace+weight*(clamp(undisturbed, minPace, maxPace)-m.pace), minPace, maxPace)
	m.paceAt = now
	return rest
}
