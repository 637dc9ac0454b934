package gateway

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"testing"
	"time"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
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
		eventually(t, "the entries list each other", func() bool { return e.mesh.size() == count })
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
