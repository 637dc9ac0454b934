package gateway

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/limits"
)

const (
	// limitNotice is the time from the first answer that names a limit until it must hold.
	limitNotice = 3 * time.Second
	// limitWindow is the time over which the requests are counted.
	limitWindow = 4 * time.Second
)

// limitedUpstream is an upstream whose answers name a limit while it is set.
type limitedUpstream struct {
	*scriptedUpstream

	mu sync.Mutex
	// limit is the text that the answers name; empty for none.
	limit string
	// namedAt is when it was first named, arrivals are the times of all requests.
	namedAt  time.Time
	arrivals []time.Time
}

func newLimitedUpstream(t *testing.T, id, limit string, answer answerFunc) *limitedUpstream {
	u := &limitedUpstream{limit: limit}
	u.scriptedUpstream = newScriptedUpstream(t, id, func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		if u.limit != "" {
			w.Header().Set("Server-Limit", u.limit)
			if u.namedAt.IsZero() {
				u.namedAt = time.Now()
			}
		}
		u.arrivals = append(u.arrivals, time.Now())
		u.mu.Unlock()
		answer(w, r)
	})
	return u
}

func (u *limitedUpstream) setLimit(limit string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = limit
}

// busiest returns the largest number of requests in limitWindow, from limitNotice after the limit was
// first named.
func (u *limitedUpstream) busiest() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most, from := 0, u.namedAt.Add(limitNotice)
	for i, at := range u.arrivals {
		if at.Before(from) {
			continue
		}
		end := sort.Search(len(u.arrivals), func(k int) bool { return u.arrivals[k].After(at.Add(limitWindow)) })
		most = max(most, end-i)
	}
	return most
}

// checkLimit checks that the upstream got no more requests than its limit allows.
func (u *limitedUpstream) checkLimit(t *testing.T) {
	t.Helper()
	perSecond, err := strconv.ParseFloat(u.limit, 64)
	if err != nil {
		t.Fatal(err)
	}
	if allowed := int(1.5*perSecond*limitWindow.Seconds()) + 5; u.busiest() > allowed {
		t.Errorf("upstream %s with a limit of %s per second got %d requests in %v, %d are allowed", u.id, u.limit, u.busiest(), limitWindow, allowed)
	}
}

// startEntries starts entries that list each other.
func startEntries(t *testing.T, table platformapi.Watcher, count int) []*testEntry {
	t.Helper()
	var entries []*testEntry
	for i := range count {
		entries = append(entries, startEntry(t, fmt.Sprintf("entry-%d", i), table))
	}
	for _, e := range entries {
		eventually(t, "the entries list each other", func() bool { return e.mesh.Size() == count })
	}
	return entries
}

// load sends calls through all entries at a rate until stopped. It returns a function that stops it
// and returns the replies.
func load(entries []*testEntry, perSecond int, path string, header map[string]string) func() []reply {
	done := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	wg.Add(1)
	go func() {
		defer wg.Done()
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				r := entries[i%len(entries)].call("POST", path, fmt.Sprint("body-", i), header)
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
			}()
		}
	}()
	return func() []reply {
		close(done)
		wg.Wait()
		return replies
	}
}

// count returns the number of replies with the status.
func count(replies []reply, status int) int {
	n := 0
	for _, r := range replies {
		if r.status == status {
			n++
		}
	}
	return n
}

// TestLimitHoldsOverAllEntries sends calls through more entries than the limited upstreams accept
// requests per second: their limits must hold over all entries together, for first sends and those
// after an upstream has not run the call, and all calls must be answered by the other upstream.
func TestLimitHoldsOverAllEntries(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer answerFunc
	}{
		{"in answers", answerEvents(0, 1, false)},
		{"in refusals", answerNotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newTestPlatform(t)
			p.writeDocument(1)
			limited := []*limitedUpstream{newLimitedUpstream(t, "llm-1", "2", c.answer), newLimitedUpstream(t, "llm-2", "1.1", c.answer)}
			for _, u := range limited {
				p.registerUpstream(u.scriptedUpstream, "llm", "ready", 1)
			}
			p.registerUpstream(newScriptedUpstream(t, "llm-3", answerEvents(0, 1, false)), "llm", "ready", 1)
			entries := startEntries(t, p.standin.Table, 8)
			stop := load(entries, 60, "/ask/1", nil)
			<-time.After(limitNotice + limitWindow + time.Second)
			replies := stop()
			for _, u := range limited {
				u.checkLimit(t)
				if u.namedAt.IsZero() {
					t.Error("the limited upstream got no request")
				}
			}
			if n := count(replies, http.StatusOK); n < len(replies)*95/100 {
				t.Errorf("%d of %d calls were answered, want 95%% or more", n, len(replies))
			}
		})
	}
}

// TestLimitHoldsWhenItsGrantorEnds ends entries one after the other while upstreams are limited, among
// them those that grant the sends.
func TestLimitHoldsWhenItsGrantorEnds(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t)
	p.writeDocument(1)
	limited := newLimitedUpstream(t, "llm-1", "2", answerEvents(0, 1, false))
	p.registerUpstream(limited.scriptedUpstream, "llm", "ready", 1)
	p.registerUpstream(newScriptedUpstream(t, "llm-2", answerEvents(0, 1, false)), "llm", "ready", 1)
	entries := startEntries(t, p.standin.Table, 6)
	stop := load(entries[4:], 40, "/ask/1", nil)
	<-time.After(limitNotice)
	for _, e := range entries[:4] {
		e.stop()
		<-time.After(time.Second)
	}
	<-time.After(limitWindow)
	stop()
	limited.checkLimit(t)
}

// TestLimitHoldsWithoutTheTable checks that limits hold while no entry reaches the table.
func TestLimitHoldsWithoutTheTable(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t)
	p.writeDocument(1)
	limited := newLimitedUpstream(t, "llm-1", "1.5", answerEvents(0, 1, false))
	p.registerUpstream(limited.scriptedUpstream, "llm", "ready", 1)
	p.registerUpstream(newScriptedUpstream(t, "llm-2", answerEvents(0, 1, false)), "llm", "ready", 1)
	table := &switchTable{}
	table.set(p.standin.Table)
	entries := startEntries(t, table, 4)
	table.set(refusingTable{})
	stop := load(entries, 40, "/ask/1", nil)
	<-time.After(limitNotice + limitWindow + time.Second)
	stop()
	limited.checkLimit(t)
}

// TestCallsReturnWhenTheirUpstreamsAccept checks that calls are refused at once while all upstreams have
// used up their limits, with a Retry-After that is true: callers that keep to it are served at the
// rate of the limit.
func TestCallsReturnWhenTheirUpstreamsAccept(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t)
	p.writeDocument(1)
	limited := newLimitedUpstream(t, "llm-1", "4", answerEvents(0, 1, false))
	p.registerUpstream(limited.scriptedUpstream, "llm", "ready", 1)
	entries := startEntries(t, p.standin.Table, 2)
	entries[0].call("POST", "/draft/1", "first", nil)
	<-time.After(time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	served, early := 0, 0
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for try := range 6 {
				began := time.Now()
				r := entries[i%2].call("POST", "/draft/1", fmt.Sprint("body-", i), nil)
				mu.Lock()
				if r.status == http.StatusOK {
					served++
					mu.Unlock()
					return
				}
				if took := time.Since(began); took > 400*time.Millisecond {
					t.Errorf("a refusal took %v, want it at once", took)
				}
				if try > 0 {
					early++
				}
				mu.Unlock()
				after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
				if err != nil {
					t.Errorf("%+v, want a Retry-After", r)
					return
				}
				<-time.After(time.Duration(after * float64(time.Second)))
			}
		}()
	}
	wg.Wait()
	if served < 12 {
		t.Errorf("%d of 12 calls were served, want all", served)
	}
	if early > 12 {
		t.Errorf("%d calls were refused again after their Retry-After, want one each at most", early)
	}
	limited.checkLimit(t)
}

// TestLimitEndsWithItsAnswers checks that an upstream gets calls as before once its answers name no
// limit any more, also if its limit was 0.
func TestLimitEndsWithItsAnswers(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t)
	p.writeDocument(1)
	limited := newLimitedUpstream(t, "llm-1", "0", answerEvents(0, 1, false))
	p.registerUpstream(limited.scriptedUpstream, "llm", "ready", 1)
	p.registerUpstream(newScriptedUpstream(t, "llm-2", func(w http.ResponseWriter, r *http.Request) {
		<-time.After(150 * time.Millisecond) // so that the limited upstream would be faster
		answerEvents(0, 1, false)(w, r)
	}), "llm", "ready", 1)
	entries := startEntries(t, p.standin.Table, 2)
	stop := load(entries, 40, "/ask/1", nil)
	<-time.After(limitNotice + limitWindow)
	limited.checkLimit(t)
	limited.setLimit("")
	before := len(limited.requests())
	<-time.After(6 * time.Second) // one call in 2 s reaches it until then
	stop()
	if n := len(limited.requests()) - before; n < 15 {
		t.Errorf("the upstream got %d calls after its limit had ended, want 15 or more", n)
	}
}

// TestLimitEndsWithItsProcess checks that a limit does not hold for an upstream that has started again
// under the same id.
func TestLimitEndsWithItsProcess(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	u := newScriptedUpstream(t, "llm-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Limit", "0")
		answerEvents(0, 1, false)(w, r)
	}, answerEvents(0, 1, false))
	row := func(born int) string {
		return fmt.Sprintf(`{"service":"llm","address":%q,"zone":"z","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"seq":1,"born":%d}`,
			strings.TrimPrefix(u.server.URL, "http://"), born)
	}
	p.write("servers//llm-1", row(1))
	e := startEntry(t, "entry-1", p.standin.Table)
	e.call("POST", "/draft/1", "first", nil)
	for range 2 { // the permit for the time before the limit was known
		e.call("POST", "/draft/1", "second", nil)
	}
	if r := e.call("POST", "/draft/1", "third", nil); r.status != http.StatusServiceUnavailable {
		t.Fatalf("%+v, want the limit of 0 to hold", r)
	}
	p.write("servers//llm-1", row(2))
	eventually(t, "the upstream is listed again", func() bool { return e.fleet.Load().registry.Get("llm-1").StartedAtMs == 2 })
	for range 5 {
		if r := e.call("POST", "/draft/1", "fourth", nil); r.status != http.StatusOK {
			t.Fatalf("%+v, want the call to be sent", r)
		}
	}
}

// TestEntryStartedLaterKnowsLimits checks that an entry which starts while an upstream is limited keeps
// to the limit before it has received an answer itself.
func TestEntryStartedLaterKnowsLimits(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	limited := newLimitedUpstream(t, "llm-1", "3", answerEvents(0, 1, false))
	p.registerUpstream(limited.scriptedUpstream, "llm", "ready", 1)
	first := startEntry(t, "entry-1", p.standin.Table)
	first.call("POST", "/draft/1", "first", nil)
	first.call("POST", "/draft/1", "second", nil) // its permit makes the entry repeat the limit
	later := startEntry(t, "entry-2", p.standin.Table)
	incarnation := incarnationHash(later.fleet.Load().registry.Get("llm-1"))
	eventually(t, "the other entry knows the limit", func() bool {
		s, known := later.limits.statement(incarnation)
		return known && s.PerSecond == 3
	})
}

// receiveEmptyDigest has the entry receive a digest with the flags and no items from another one.
func receiveEmptyDigest(t *testing.T, e *testEntry, from string, flags mesh.Flags) {
	t.Helper()
	b := []byte{1, byte(flags)}
	for _, text := range []string{from, "z", "127.0.0.1:9", "127.0.0.1:9", "life-of-" + from} {
		b = mesh.AppendText(b, text)
	}
	if !e.mesh.HandlePacket(append(b, 1), nil) {
		t.Fatal("the digest is malformed")
	}
}

// TestRepeatedPermitQuestionTakesOnePermit checks that a question which is sent again because its
// answer was lost gets the same answer, and that entries of earlier builds are not asked.
func TestRepeatedPermitQuestionTakesOnePermit(t *testing.T) {
	p := newTestPlatform(t)
	p.writeDocument(1)
	p.registerUpstream(newScriptedUpstream(t, "llm-1", answerEvents(0, 1, false)), "llm", "ready", 1)
	e := startEntry(t, "entry-1", p.standin.Table)
	eventually(t, "the entry grants sends", func() bool { return e.mesh.CanOwn() })
	incarnation := incarnationHash(e.fleet.Load().registry.Get("llm-1"))
	s := limits.Statement{Limited: true, PerSecond: 4, At: time.Now()}
	ask := func(question string) uint64 {
		return e.limits.answerPermit(question, "entry-2", incarnation, s, limits.Horizon).Value & (1<<permitBits - 1)
	}
	if a, b, c := ask("1"), ask("1"), ask("2"); a != permitGranted || b != permitGranted || c != permitDenied {
		t.Errorf("answers %d, %d and %d, want a permit, the same again, and none", a, b, c)
	}
	for i := range 20 {
		receiveEmptyDigest(t, e, fmt.Sprint("old-", i), mesh.FlagTableReachable|mesh.FlagOwner)
	}
	if p, eligible := e.limits.grantor(time.Now(), incarnation); p != nil || !eligible {
		t.Errorf("%+v grants the sends, want this entry", p)
	}
}

// TestShareBesideSilentGrantor checks that an entry grants a part of a limit only while one that ranks
// before it is silent, and all of it once that has been silent for long.
func TestShareBesideSilentGrantor(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	for i := range 20 {
		receiveEmptyDigest(t, e, fmt.Sprint("peer-", i), mesh.FlagGrants)
	}
	now := time.Now()
	if p, _ := e.limits.grantor(now, 1); p == nil {
		t.Fatal("this entry ranks first of 21")
	}
	for after, want := range map[time.Duration]float64{2 * time.Second: limits.ShareBesideAnother, mesh.ShareWindow + time.Second: 1} {
		if p, _ := e.limits.grantor(now.Add(after), 1); p != nil {
			t.Errorf("after %v of silence: %q grants the sends, want this entry", after, p.Node)
		}
		if got := e.limits.grantShare(now.Add(after), 1); got != want {
			t.Errorf("after %v of silence: share %v, want %v", after, got, want)
		}
	}
}

// TestGrantorThatDoesNotListTheUpstream checks that an entry keeps to a limit that it is asked to grant
// also if it does not list the upstream, as after a start while the table is down.
func TestGrantorThatDoesNotListTheUpstream(t *testing.T) {
	_, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	eventually(t, "the entry grants sends", func() bool { return e.mesh.CanOwn() })
	s := limits.Statement{Limited: true, PerSecond: 4, At: time.Now()}
	granted := 0
	for i := range 20 {
		if e.limits.answerPermit(fmt.Sprint(i), "entry-2", 12345, s, limits.Horizon).Value&(1<<permitBits-1) == permitGranted {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d of 20 sends at once were granted at a limit of 4 per second, want 1", granted)
	}
}
