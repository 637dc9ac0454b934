package quarantine

import (
	"testing"
	"time"
)

// TestRefusedAfterCrashesAtThreeUpstreams checks that repeated reports about the same
// upstream count once, that only the reported request is refused, and that the refusal
// ends when the reports expire.
func TestRefusedAfterCrashesAtThreeUpstreams(t *testing.T) {
	c := NewCrashCounter()
	now := time.Unix(100, 0)
	call := HashCall("POST", "/a/1", "", []byte("body"))
	for i, upstream := range []uint64{1, 1, 2} {
		c.Add(now, CrashReport{Kind: Crash, Request: call, Upstream: upstream})
		if c.Admit(now, call) == Refused {
			t.Fatalf("refused after %d reports of crashes at 2 upstreams or fewer", i+1)
		}
	}
	if !c.Add(now, CrashReport{Kind: Crash, Request: call, Upstream: 3}) || c.Admit(now, call) != Refused {
		t.Fatal("not refused after crashes at 3 upstreams")
	}
	if c.Admit(now, HashCall("POST", "/a/1", "", []byte("other"))) != Allowed {
		t.Fatal("a request with another body is refused")
	}
	if c.Admit(now.Add(c.ReportTTL+time.Second), call) != Allowed {
		t.Fatal("still refused after the reports expired")
	}
}

// TestCrashCounterIsBounded checks that a full counter drops the oldest requests and keeps
// the newest.
func TestCrashCounterIsBounded(t *testing.T) {
	c := NewCrashCounter()
	c.MaxRequests = 10
	now := time.Unix(100, 0)
	for i := range uint64(50) {
		c.Add(now.Add(time.Duration(i)*time.Second), CrashReport{Kind: Crash, Request: i, Upstream: 1})
	}
	if len(c.requests) > c.MaxRequests {
		t.Fatalf("%d requests are tracked, want at most %d", len(c.requests), c.MaxRequests)
	}
	if n := c.Count(now.Add(50*time.Second), 49); n != 1 {
		t.Fatalf("%d upstreams counted for the newest report, want 1", n)
	}
}

// report applies crashes of the upstreams to a request.
func report(c *CrashCounter, now time.Time, request uint64, upstreams ...uint64) {
	for _, u := range upstreams {
		c.Add(now, CrashReport{Kind: Crash, Request: request, Upstream: u})
	}
}

// TestRequestsThatShareCrashesAreTried checks that of two requests with the same crashes each is
// tried, also if the other has caused one more by then.
func TestRequestsThatShareCrashesAreTried(t *testing.T) {
	c := NewCrashCounter()
	now := time.Unix(100, 0)
	const poison, neighbour = 1, 2
	report(c, now, poison, 1, 2, 3)
	report(c, now, neighbour, 1, 2, 3)
	for _, request := range []uint64{poison, neighbour} {
		if got := c.Admit(now.Add(c.TrialDelay-1), request); got != Refused {
			t.Fatalf("request %d: %v before the trial delay, want it refused", request, got)
		}
	}
	now = now.Add(c.TrialDelay)
	if got := c.Admit(now, poison); got != TrialDue {
		t.Fatalf("%v, want a trial of the first request", got)
	}
	trial := c.BeginTrial(now, poison, 1)
	if c.Add(now.Add(time.Second), trial) || c.Add(now.Add(time.Second), CrashReport{Kind: Trial, Request: poison}) {
		t.Fatal("a repeated report of a trial counts as another one")
	}
	if got := c.Admit(now.Add(time.Second), poison); got != Refused {
		t.Fatalf("%v while the trial runs, want the request refused", got)
	}
	now = now.Add(2 * time.Second)
	report(c, now, poison, 4)
	if got := c.Admit(now.Add(trialBackoff*c.TrialDelay-1), poison); got != Refused {
		t.Fatalf("%v after a trial that crashed an upstream, want the request refused for longer", got)
	}
	if got := c.Admit(now, neighbour); got != TrialDue {
		t.Fatalf("%v, want a trial of the neighbour", got)
	}
}

// TestPopularRequestFreesNoCrashingOne checks that a request is tried no more than once, however
// many crashes another, frequent request shares with it.
func TestPopularRequestFreesNoCrashingOne(t *testing.T) {
	c := NewCrashCounter()
	now := time.Unix(100, 0)
	const poison, popular = 1, 2
	sent := 0
	for upstream := uint64(1); upstream < 50; upstream++ {
		report(c, now, popular, upstream)
		decision := c.Admit(now, poison)
		if decision == TrialDue {
			c.BeginTrial(now, poison, c.TrialState(now, poison).Trials+1)
		}
		if decision != Refused {
			sent++
			report(c, now, poison, upstream)
		}
		now = now.Add(time.Second)
	}
	if want := c.MaxUpstreams + 1; sent != want { // the delay of a second trial has not passed
		t.Errorf("the request was sent %d times, want %d", sent, want)
	}
}

// TestRequestWithCrashesOfItsOwnIsTried checks that a request is tried also if no other one shares
// its crashes: its upstreams may have ended for other reasons. A trial that completes clears it.
func TestRequestWithCrashesOfItsOwnIsTried(t *testing.T) {
	c := NewCrashCounter()
	now := time.Unix(100, 0)
	report(c, now, 1, 1, 2, 3)
	if got := c.Admit(now.Add(c.TrialDelay-1), 1); got != Refused {
		t.Fatalf("%v before the trial delay, want the request refused", got)
	}
	now = now.Add(c.TrialDelay)
	if got := c.Admit(now, 1); got != TrialDue {
		t.Fatalf("%v, want a trial", got)
	}
	c.BeginTrial(now, 1, 1)
	c.Completed(now, 1)
	if got := c.Admit(now, 1); got != Allowed {
		t.Fatalf("%v after a trial that completed, want the request allowed", got)
	}
}

// TestWithdrawnCrashStaysWithdrawn checks that reports may arrive in any order.
func TestWithdrawnCrashStaysWithdrawn(t *testing.T) {
	now := time.Unix(100, 0)
	reports := []CrashReport{{Kind: Crash, Request: 1, Upstream: 1}, {Kind: Withdrawn, Request: 1, Upstream: 1}, {Kind: Crash, Request: 1, Upstream: 2}}
	for range 3 {
		reports = append(reports[1:], reports[0])
		c := NewCrashCounter()
		for _, r := range reports {
			c.Add(now, r)
		}
		if n := c.Count(now, 1); n != 1 {
			t.Errorf("%d crashes count after %v, want 1", n, reports)
		}
	}
}

// TestEndedSends checks which sends without a complete answer count as crashes: those whose
// upstream ended while it may have run them, without having announced that.
func TestEndedSends(t *testing.T) {
	const after = 6 * time.Second
	begin := time.Unix(100, 0)
	until := begin.Add(2 * time.Second)
	for _, c := range []struct {
		name string
		send EndedSend
		// ended is when the upstream ends; 0 when it does not. leaving is as in UpstreamEnded.
		ended   time.Duration
		leaving bool
		// gap is when the list of upstreams was last not followed.
		gap time.Duration
		// atOnce and later report whether the send counts at its end, and 10 s later.
		atOnce, later bool
	}{
		{name: "broken, upstream ends", send: EndedSend{Broken: true}, ended: 4 * time.Second, atOnce: true, later: true},
		{name: "broken, upstream survives", send: EndedSend{Broken: true}, atOnce: true},
		{name: "broken, list lost", send: EndedSend{Broken: true}, gap: 5 * time.Second, atOnce: true, later: true},
		{name: "broken by a leaving upstream", send: EndedSend{Broken: true}, ended: time.Second, leaving: true, atOnce: true},
		{name: "silent, upstream ends", send: EndedSend{RunsUntil: until}, ended: 4 * time.Second, later: true},
		{name: "silent, upstream ends later", send: EndedSend{RunsUntil: until}, ended: 9 * time.Second},
		{name: "silent, upstream survives", send: EndedSend{RunsUntil: until}},
		{name: "silent, upstream leaves", send: EndedSend{RunsUntil: until}, ended: time.Second, leaving: true},
		{name: "upstream had ended before", send: EndedSend{RunsUntil: until, UpstreamEnded: true}, atOnce: true, later: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, counter := NewEndedSends(after), NewCrashCounter()
			c.send.Request, c.send.Upstream = 1, 2
			if r, counts := s.Add(begin, c.send); counts {
				counter.Add(begin, r)
			}
			if got := counter.Count(begin, 1) == 1; got != c.atOnce {
				t.Errorf("counts at once: %v, want %v", got, c.atOnce)
			}
			for d := time.Duration(0); d <= 10*time.Second; d += 500 * time.Millisecond {
				now := begin.Add(d)
				var reports []CrashReport
				if c.ended > 0 && d == c.ended {
					reports = s.UpstreamEnded(now, 2, c.leaving)
				}
				for _, r := range append(reports, s.Check(now, begin.Add(c.gap))...) {
					counter.Add(now, r)
				}
			}
			if got := counter.Count(begin, 1) == 1; got != c.later {
				t.Errorf("counts in the end: %v, want %v", got, c.later)
			}
			if len(s.sends) > 0 && c.gap == 0 {
				t.Errorf("%d sends are still tracked", len(s.sends))
			}
		})
	}
}

// TestExchangedRecordsAgree checks that counters which exchange their records in either order hold
// the same, that a trial that failed at one is not repeated at the other, and that records do not
// outlive their TTL by being exchanged.
func TestExchangedRecordsAgree(t *testing.T) {
	now := time.Unix(100, 0)
	a, b := NewCrashCounter(), NewCrashCounter()
	report(a, now, 1, 1, 2, 3)
	report(b, now, 1, 3, 4)
	report(a, now, 2, 1, 2, 3, 4)
	b.Add(now, CrashReport{Kind: Withdrawn, Request: 1, Upstream: 1})
	now = now.Add(a.TrialDelay)
	a.Add(now, CrashReport{Kind: Trial, Request: 2})
	report(a, now.Add(time.Second), 2, 5)
	now = now.Add(2 * time.Second)
	for range 2 {
		a.Import(now, b.Export(now))
		b.Import(now, a.Export(now))
	}
	for request, want := range map[uint64]int{1: 3, 2: 5} {
		if na, nb := a.Count(now, request), b.Count(now, request); na != want || nb != want {
			t.Errorf("request %d has %d and %d crashes, want %d at both", request, na, nb, want)
		}
	}
	if a.Digest(now) != b.Digest(now) || a.Digest(now) == NewCrashCounter().Digest(now) {
		t.Errorf("digests %x and %x, want the same and not that of an empty counter", a.Digest(now), b.Digest(now))
	}
	if got := b.Admit(now.Add(2*b.TrialDelay), 2); got != Refused {
		t.Errorf("%v after a trial that failed elsewhere, want the request refused for longer", got)
	}
	for end := now.Add(2 * a.ReportTTL); now.Before(end); now = now.Add(time.Second) {
		a.Import(now, b.Export(now))
		b.Import(now, a.Export(now))
	}
	if a.Count(now, 1) != 0 || b.Count(now, 1) != 0 {
		t.Error("records outlive their TTL")
	}
}

// TestFullCounterKeepsRefusedRequests checks that requests with fewer crashes make room first.
func TestFullCounterKeepsRefusedRequests(t *testing.T) {
	c := NewCrashCounter()
	c.MaxRequests = 10
	now := time.Unix(100, 0)
	report(c, now, 1, 1, 2, 3)
	for i := range uint64(50) {
		report(c, now.Add(time.Duration(i)*time.Second), 100+i, 1)
	}
	if got := c.Admit(now.Add(time.Minute), 1); got == Allowed {
		t.Fatalf("%v after 50 requests with one crash each, want the request with 3 refused", got)
	}
}

// TestLostTrialReportIsNoticed checks that entries which refuse the same requests notice that one of
// them has missed a trial, or its crash: it would try the request too.
func TestLostTrialReportIsNoticed(t *testing.T) {
	a, b := NewCrashCounter(), NewCrashCounter()
	now := time.Unix(100, 0)
	report(a, now, 1, 1, 2, 3)
	report(b, now, 1, 1, 2, 3)
	now = now.Add(a.TrialDelay)
	a.BeginTrial(now, 1, 1)
	if a.Digest(now) == b.Digest(now) {
		t.Fatal("the digests are the same")
	}
	b.Import(now, a.Export(now))
	if a.Digest(now) != b.Digest(now) {
		t.Fatal("the digests differ after the exchange")
	}
	if got := b.Admit(now.Add(2*b.TrialDelay), 1); got != Refused {
		t.Errorf("%v after a trial that failed elsewhere, want the request refused for longer", got)
	}
}

// TestTrialIsClaimedOnceAtATime checks that an entry claims one trial at a time, that a failed claim
// is repeated after a pause, and that no more than MaxTrials trials begin.
func TestTrialIsClaimedOnceAtATime(t *testing.T) {
	c := NewCrashCounter()
	c.TrialDelay = time.Second
	now := time.Unix(100, 0)
	report(c, now, 1, 1, 2, 3)
	want := func(after time.Duration, want Decision) {
		t.Helper()
		now = now.Add(after)
		if got := c.Admit(now, 1); got != want {
			t.Fatalf("%v, want %v", got, want)
		}
	}
	want(c.TrialDelay, TrialDue)
	want(10*time.Second, Refused) // the first claim has not ended
	c.DropClaim(now, 1)
	want(claimRetryDelay-1, Refused)
	want(1, TrialDue)
	c.BeginTrial(now, 1, 1)
	want(trialBackoff*c.TrialDelay-1, Refused)
	want(1, TrialDue)
	c.BeginTrial(now, 1, 2)
	want(trialBackoff*c.TrialDelay, TrialDue)
	c.BeginTrial(now, 1, 3)
	want(c.ReportTTL/2, Refused)
}

// TestCompletedRequestHasNoTrials checks that a request which was cleared starts with its first trial
// again, at entries that learn of it by records too.
func TestCompletedRequestHasNoTrials(t *testing.T) {
	a, b := NewCrashCounter(), NewCrashCounter()
	now := time.Unix(100, 0)
	report(a, now, 1, 1, 2, 3)
	a.BeginTrial(now, 1, 1)
	b.Import(now, a.Export(now))
	a.Completed(now, 1)
	b.Import(now, a.Export(now))
	a.Import(now, b.Export(now))
	for _, c := range []*CrashCounter{a, b} {
		report(c, now, 1, 4, 5, 6)
		if got := c.Admit(now.Add(c.TrialDelay), 1); got != TrialDue {
			t.Errorf("%v, want a trial", got)
		}
	}
}
