package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// crashEntry is one entry of a crashCluster.
type crashEntry struct {
	counter *CrashCounter
	sends   *EndedSends
	// cut is set while the entry exchanges nothing with the others.
	cut bool
}

// crashCluster plays entries that send requests to upstreams and exchange what they know of crashes.
type crashCluster struct {
	now     time.Time
	entries []*crashEntry
	// upstreams holds the incarnations that run; started counts all.
	upstreams []uint64
	started   uint64
	// stored holds the records in the platform's table.
	stored map[uint64]CrashRecord
	// crashes counts the upstreams that the crashing request has ended, trials its trials.
	crashes, trials int
}

const (
	crashingRequest = uint64(1000)
	survivedAfter   = 9600 * time.Millisecond
	// trials is the number of times that a request may be sent after it was to be refused.
	trials = 3
)

func newCrashCluster() *crashCluster {
	x := &crashCluster{now: time.Unix(1000, 0), stored: map[uint64]CrashRecord{}}
	for range 6 {
		x.startUpstream()
	}
	for range 3 {
		x.entries = append(x.entries, nil)
		x.startEntry(len(x.entries) - 1)
	}
	return x
}

func (x *crashCluster) startUpstream() {
	x.started++
	x.upstreams = append(x.upstreams, x.started)
}

// startEntry starts an entry without memory; it reads the table.
func (x *crashCluster) startEntry(i int) {
	e := &crashEntry{counter: NewCrashCounter(), sends: NewEndedSends(survivedAfter)}
	for _, r := range x.stored {
		e.counter.Import(x.now, []CrashRecord{r})
	}
	x.entries[i] = e
}

// publish applies reports at an entry and at all others that it reaches, unless they are lost.
func (x *crashCluster) publish(e *crashEntry, lost bool, reports ...CrashReport) {
	for _, r := range reports {
		for _, other := range x.entries {
			if other == e || !lost && !other.cut && !e.cut {
				other.counter.Add(x.now, r)
			}
		}
		if e.counter.Counted(x.now, r.Request) {
			x.store(e, r.Request)
		}
	}
}

// store merges the record of a request with the stored one.
func (x *crashCluster) store(e *crashEntry, request uint64) {
	e.counter.Import(x.now, x.storedRecords(request))
	if record, known := e.counter.ExportOne(x.now, request); known {
		x.stored[request] = record
	}
}

// storedRecords returns the stored record of a request, if there is one.
func (x *crashCluster) storedRecords(request uint64) []CrashRecord {
	if r, stored := x.stored[request]; stored {
		return []CrashRecord{r}
	}
	return nil
}

// claim claims the next trial of a request in the table, unless it fails or another entry has
// claimed that trial.
func (x *crashCluster) claim(e *crashEntry, request uint64, fails bool) bool {
	known := e.counter.TrialState(x.now, request).Trials
	e.counter.Import(x.now, x.storedRecords(request))
	claim, ok := e.counter.TrialClaim(x.now, request)
	if fails || !ok || claim.Trials != known+1 {
		e.counter.DropClaim(x.now, request)
		return false
	}
	x.stored[request] = claim
	return true
}

// endUpstream ends the upstream with the index, which every entry sees in the list, and starts
// another. Requests that ran there break off.
func (x *crashCluster) endUpstream(u int, lost bool) {
	id := x.upstreams[u]
	x.upstreams = append(x.upstreams[:u], x.upstreams[u+1:]...)
	x.startUpstream()
	for _, e := range x.entries {
		x.publish(e, lost, e.sends.UpstreamEnded(x.now, id, false)...)
	}
}

// send sends a request through an entry and reports whether it was sent. breaks is set if the
// upstream's connection breaks off, which the crashing request always causes.
func (x *crashCluster) send(e *crashEntry, request uint64, u int, breaks, lost bool) bool {
	switch e.counter.Admit(x.now, request) {
	case Refused:
		return false
	case TrialDue:
		if !x.claim(e, request, lost && e.cut) {
			return false
		}
		if request == crashingRequest {
			x.trials++
		}
		x.publish(e, lost, e.counter.BeginTrial(x.now, request, x.stored[request].Trials))
	}
	id := x.upstreams[u]
	if !breaks && request != crashingRequest {
		x.publish(e, lost, e.counter.Completed(x.now, request)...)
		return true
	}
	if report, counts := e.sends.Add(x.now, EndedSend{Request: request, Upstream: id, Broken: true}); counts {
		x.publish(e, lost, report)
	}
	if request == crashingRequest {
		x.crashes++
		x.endUpstream(u, lost)
	}
	return true
}

// advance lets time pass; entries check their sends, and exchange records if their digests differ.
func (x *crashCluster) advance(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); x.now = x.now.Add(500 * time.Millisecond) {
		for _, e := range x.entries {
			x.publish(e, false, e.sends.Check(x.now, time.Time{})...)
			for request := range x.stored {
				e.counter.Import(x.now, x.storedRecords(request))
			}
		}
		for _, e := range x.entries {
			for _, other := range x.entries {
				if !e.cut && !other.cut && e.counter.Digest(x.now) != other.counter.Digest(x.now) {
					e.counter.Import(x.now, other.counter.Export(x.now))
				}
			}
		}
	}
}

// TestCrashingRequestStopsWhateverIsLost sends a crashing request and harmless ones through entries
// that restart, are cut off and lose reports, while other answers break off. Once the entries reach
// each other, the crashing request may end three more upstreams, and one in each of three trials;
// the harmless ones must be served.
func TestCrashingRequestStopsWhateverIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newCrashCluster()
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			i := rapid.IntRange(0, len(x.entries)-1).Draw(rt, "entry")
			u := rapid.IntRange(0, len(x.upstreams)-1).Draw(rt, "upstream")
			lost := rapid.Bool().Draw(rt, "lost")
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0, 1, 2:
				x.send(x.entries[i], crashingRequest, u, true, lost)
			case 3, 4, 5:
				// Some requests run beside the crashing one, so they break off with it.
				harmless := uint64(rapid.IntRange(1, 4).Draw(rt, "harmless"))
				if x.send(x.entries[i], harmless, u, true, lost) && rapid.Bool().Draw(rt, "beside") {
					x.send(x.entries[i], crashingRequest, u, true, lost)
				}
			case 6:
				x.send(x.entries[i], uint64(rapid.IntRange(1, 4).Draw(rt, "completed")), u, false, lost)
			case 7:
				x.startEntry(i)
			case 8:
				x.entries[i].cut = !x.entries[i].cut
			case 9:
				x.endUpstream(u, lost)
			}
			x.advance(time.Duration(rapid.IntRange(0, 8).Draw(rt, "steps")) * 500 * time.Millisecond)
		}
		for _, e := range x.entries {
			e.cut = false
		}
		x.advance(5 * time.Second)
		before := x.crashes
		for i := range 300 {
			x.send(x.entries[i%3], crashingRequest, i%len(x.upstreams), true, false)
			x.advance(500 * time.Millisecond)
		}
		if n := x.crashes - before; n > defaultMaxUpstreams+trials {
			rt.Fatalf("the crashing request ended %d more upstreams, want %d at most", n, defaultMaxUpstreams+trials)
		}
		if x.trials > trials {
			rt.Fatalf("the crashing request was tried %d times, want %d at most", x.trials, trials)
		}
		for request := uint64(1); request <= 4; request++ {
			served := false
			for i := 0; i < 200 && !served; i++ {
				served = x.send(x.entries[i%3], request, 0, false, false)
				x.advance(500 * time.Millisecond)
			}
			if !served {
				rt.Fatalf("harmless request %d is not served", request)
			}
		}
	})
}
