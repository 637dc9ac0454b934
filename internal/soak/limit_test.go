package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// limitNotice is the time from the first answer that names a limit until it must hold, and for
	// which an entry that was disturbed is excused.
	limitNotice = 3 * time.Second
	// limitWindow is the time over which the requests are counted.
	limitWindow = 4 * time.Second
)

// limiter has an upstream name a limit in its answers, and records what it gets.
type limiter struct {
	mu sync.Mutex
	// perSecond is the limit; 0 for none.
	perSecond float64
	namedAt   time.Time
	arrivals  []arrival
}

// arrival is a request that reached a limited upstream.
type arrival struct {
	id string
	at time.Time
}

// begin starts to name a limit.
func (l *limiter) begin(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perSecond = perSecond
}

// name names the limit in an answer, if there is one.
func (l *limiter) name(w http.ResponseWriter, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perSecond == 0 {
		return
	}
	w.Header().Set("Server-Limit", strconv.FormatFloat(l.perSecond, 'f', 2, 64))
	if l.namedAt.IsZero() {
		l.namedAt = time.Now()
	}
	l.arrivals = append(l.arrivals, arrival{id, time.Now()})
}

// restarted forgets what the process before got.
func (l *limiter) restarted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.namedAt, l.arrivals = time.Time{}, nil
}

// busiest returns the largest number of requests in limitWindow after limitNotice. sound reports
// whether a request came from an entry that is not excused.
func (l *limiter) busiest(sound func(arrival) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counted []time.Time
	for _, a := range l.arrivals {
		if a.at.After(l.namedAt.Add(limitNotice)) && sound(a) {
			counted = append(counted, a.at)
		}
	}
	most := 0
	for i, from := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at.Sub(from) <= limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// checkLimits checks that the limited upstreams got no more requests than their limits allow.
func (x *trial) checkLimits() {
	for _, u := range x.llm {
		if u.limiter.perSecond == 0 {
			continue
		}
		n := u.limiter.busiest(func(a arrival) bool {
			e, known := x.callers.via.Load(a.id)
			return known && !e.(*entry).disturbedAt(a.at)
		})
		allowed := int(1.5*u.limiter.perSecond*limitWindow.Seconds()) + 5
		x.t.Logf("%s with a limit of %.2f per second got %d requests in %v, %d are allowed", u.id, u.limiter.perSecond, n, limitWindow, allowed)
		if n > allowed {
			x.t.Errorf("%s with a limit of %.2f per second got %d requests in %v, %d are allowed", u.id, u.limiter.perSecond, n, limitWindow, allowed)
		}
	}
}

// limitSome has two of the upstreams name limits.
func (x *trial) limitSome() {
	for _, u := range x.llm[:2] {
		u.limiter.begin(0.5 + 9*rand.Float64())
	}
}
