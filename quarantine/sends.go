package quarantine

import "time"

// EndedSend is a send of a request that an upstream may have run, and that ended without a
// complete answer.
type EndedSend struct {
	// Request and Upstream are as in CrashReport.
	Request, Upstream uint64
	// Broken reports whether the upstream's side of the connection ended first. Otherwise the
	// caller left or a timeout passed while the upstream may still have run the request.
	Broken bool
	// RunsUntil is when the upstream stops running the request, unless Broken is set.
	RunsUntil time.Time
	// UpstreamEnded reports whether the upstream is known to have ended.
	UpstreamEnded bool
}

// EndedSends tracks sends without a complete answer until it is known whether their upstreams
// ended. A broken connection counts as a crash at once, and is withdrawn if the upstream is
// still listed SurvivedAfter later. Any other end counts only if the upstream ends while it may
// have run the request. EndedSends is not safe for concurrent use.
type EndedSends struct {
	// SurvivedAfter is the time in which an upstream that ended is removed from the list of
	// upstreams, or listed with a later start.
	SurvivedAfter time.Duration
	// MaxSends is the maximum number of sends that are tracked; the oldest is dropped first.
	MaxSends int

	// sends is ordered by the time of the end.
	sends []trackedSend
}

type trackedSend struct {
	EndedSend
	at time.Time
}

// defaultMaxSends covers the sends that end within SurvivedAfter when half of the calls of an
// entry fail.
const defaultMaxSends = 1024

// NewEndedSends returns an EndedSends that tracks at most 1024 sends.
func NewEndedSends(survivedAfter time.Duration) *EndedSends {
	return &EndedSends{SurvivedAfter: survivedAfter, MaxSends: defaultMaxSends}
}

// Add tracks a send that has ended. It returns a report if the send counts as a crash now.
func (s *EndedSends) Add(now time.Time, e EndedSend) (CrashReport, bool) {
	if !e.UpstreamEnded {
		if len(s.sends) >= s.MaxSends {
			s.sends = s.sends[1:]
		}
		s.sends = append(s.sends, trackedSend{EndedSend: e, at: now})
	}
	return e.report(Crash), e.Broken || e.UpstreamEnded
}

func (e *EndedSend) report(kind ReportKind) CrashReport {
	return CrashReport{Kind: kind, Request: e.Request, Upstream: e.Upstream}
}

// UpstreamEnded returns the reports that follow from the end of an upstream. leaving is set if
// the upstream had announced that it would end.
func (s *EndedSends) UpstreamEnded(now time.Time, upstream uint64, leaving bool) []CrashReport {
	var out []CrashReport
	s.sends = filter(s.sends, func(e *trackedSend) bool {
		switch {
		case e.Upstream != upstream:
			return true
		case e.Broken && leaving:
			out = append(out, e.report(Withdrawn))
		case !e.Broken && !leaving && !now.After(e.RunsUntil.Add(s.SurvivedAfter)):
			out = append(out, e.report(Crash))
		}
		return false
	})
	return out
}

// Check returns the reports that withdraw the crashes of upstreams that are still listed, and
// drops sends whose upstreams can't have run them any more. now is the time of the list of upstreams;
// listedSince is since when the list has been followed without a gap.
func (s *EndedSends) Check(now, listedSince time.Time) []CrashReport {
	var out []CrashReport
	s.sends = filter(s.sends, func(e *trackedSend) bool {
		if !e.Broken {
			return !now.After(e.RunsUntil.Add(s.SurvivedAfter))
		}
		since := e.at
		if listedSince.After(since) {
			since = listedSince
		}
		if now.Sub(since) < s.SurvivedAfter {
			return true
		}
		out = append(out, e.report(Withdrawn))
		return false
	})
	return out
}

// filter keeps the sends for which keep returns true, in place.
func filter(sends []trackedSend, keep func(*trackedSend) bool) []trackedSend {
	kept := sends[:0]
	for i := range sends {
		if keep(&sends[i]) {
			kept = append(kept, sends[i])
		}
	}
	return kept
}
