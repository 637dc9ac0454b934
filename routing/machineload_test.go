package routing

import (
	"math"
	"testing"
	"time"
)

// observeCalls has an upstream answer calls, one each 200 ms, that take ratio times the usual time of 10 ms
// while its machine reports a slowdown.
func observeCalls(b *Balancer, start time.Time, id string, calls int, ratio, slowdown float64) time.Time {
	now := start
	for range calls {
		now = now.Add(200 * time.Millisecond)
		if slowdown > 0 {
			b.ObserveMachineLoad(now, id, MachineLoad{Slowdown: slowdown})
		}
		b.ObserveDecode(now, "s", id, Decode{Tokens: 30, BatchSize: 1, Elapsed: time.Duration(300*ratio) * time.Millisecond, Undisturbed: time.Duration(10*ratio*1000) * time.Microsecond})
	}
	return now
}

// TestPaceIsToldFromDisturbance guards against an engine that is taken for slow because of its neighbours: one
// that works at half the speed all the time must be known as such also after seconds without calls, and
// one whose machine was disturbed for a while must count as before.
func TestPaceIsToldFromDisturbance(t *testing.T) {
	b, start := NewBalancer(BalancerConfig{}), time.Unix(0, 0)
	for range 20 { // interleaved, so that the service's usual time is that of both
		observeCalls(b, start, "usual", 1, 1, 1)
		observeCalls(b, start, "slow", 1, 2, 1)
		observeCalls(b, start, "disturbed", 1, 1, 1)
		start = start.Add(time.Second)
	}
	now := observeCalls(b, start, "disturbed", 3, 2.5, 2.5)
	if f := b.statsOf("disturbed", 0).slowdown(now); f < 1.8 {
		t.Errorf("during a disturbance of 2.5 the upstream's work is expected to take %.2f times as long", f)
	}
	later := now.Add(5 * time.Second)
	slow, disturbed, usual := b.statsOf("slow", 0).slowdown(later), b.statsOf("disturbed", 0).slowdown(later), b.statsOf("usual", 0).slowdown(later)
	if slow/usual < 1.4 {
		t.Errorf("after 5 s without calls the slow upstream counts as %.2f times as slow as the usual one", slow/usual)
	}
	if math.Abs(disturbed/usual-1) > 0.2 {
		t.Errorf("5 s after a disturbance the upstream counts as %.2f times as slow as the usual one", disturbed/usual)
	}
	slots := func(id string) float64 { return b.places(&Upstream{ID: id, Slots: 16}, b.statsOf(id, 0)) }
	if slots("slow") > 0.75*slots("usual") {
		t.Errorf("the slow upstream counts as %.1f slots, the usual one as %.1f", slots("slow"), slots("usual"))
	}
}

// TestUpstreamsWithoutSlowdownAreChosenAsBefore: deployments whose upstreams don't report a slowdown must be
// served as before.
func TestUpstreamsWithoutSlowdownAreChosenAsBefore(t *testing.T) {
	b := NewBalancer(BalancerConfig{})
	now := observeCalls(b, time.Unix(0, 0), "a", 40, 2, 0)
	s := b.statsOf("a", 0)
	if s.machine.reports() || s.slowdown(now) != s.slowness.now(now) {
		t.Errorf("an upstream without a report has pace %.2f and slowdown %.2f", s.machine.pace, s.slowdown(now))
	}
}

// TestReportedCallsExpire guards against a choice by an old report: the number of calls that an upstream reports
// counts beside those known from digests for about the length of a call, with this entry's own calls since.
func TestReportedCallsExpire(t *testing.T) {
	b, now := NewBalancer(BalancerConfig{}), time.Unix(0, 0)
	u := Upstream{ID: "a", Service: "s", Slots: 8}
	b.ObserveMachineLoad(now, "a", MachineLoad{InFlight: 6, Slowdown: 1})
	b.Started(u, &CallInfo{})
	if n, _ := b.inFlight(now, b.statsOf("a", 0)); n != 7 {
		t.Errorf("%d calls in flight, want the 6 reported and one since", n)
	}
	if n, _ := b.inFlight(now.Add(maxReportAge+time.Millisecond), b.statsOf("a", 0)); n != 1 {
		t.Errorf("%d calls in flight by an old report, want this entry's own call", n)
	}
}
