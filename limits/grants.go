package limits

import "time"

// ShareBesideAnother is the share of a limit that an entry grants while another one may grant the whole.
// Together with their bursts they stay below one and a half times the limit.
const ShareBesideAnother = 1.0 / 3

const (
	// burst is the time for which sends that nobody asked for may be granted later, at once.
	burst = 500 * time.Millisecond
	// Horizon is the longest time ahead for which a send is granted.
	Horizon = 500 * time.Millisecond
	// minPerSecond is the rate at which sends to an upstream are granted whose limit is lower, so that
	// the end of the limit is noticed.
	minPerSecond = 0.5
	// maxRetry bounds the time after which a refused entry may ask again.
	maxRetry = 5 * time.Second
	// maxSchedules bounds the number of upstreams for which sends are scheduled.
	maxSchedules = 4096
)

// Grant is the answer to an entry that wants to send a call to a limited upstream.
type Grant struct {
	// Granted reports whether it may send one call, after Wait.
	Granted bool
	Wait    time.Duration
	// Retry is the time after which it may ask again, if the call was not granted. Each entry that
	// asks gets another time, so that they return at the rate of the limit.
	Retry time.Duration
}

// Grants schedules the sends of all entries to limited upstreams, evenly at the rate of the limit. It
// is for the entry that grants them; it is not safe for concurrent use.
type Grants struct {
	schedules map[uint64]*schedule
}

// schedule is the schedule of the sends to one upstream.
type schedule struct {
	// next is when the next send may be made, and returning when the next entry that was not granted
	// one may ask again.
	next, returning time.Time
	// interval is the time between two sends at the limit that was granted last.
	interval time.Duration
}

// NewGrants returns a Grants without schedules.
func NewGrants() *Grants { return &Grants{schedules: map[uint64]*schedule{}} }

// Reserve grants a send within maxWait, if one is free by then, at a share of the limit. The first one
// for an upstream is not free before Horizon, nor before the time between two sends: another entry may
// have granted a send within that.
func (g *Grants) Reserve(now time.Time, upstream uint64, perSecond, share float64, maxWait time.Duration) Grant {
	interval := time.Duration(float64(time.Second) / (share * max(perSecond, minPerSecond)))
	s := g.schedules[upstream]
	if s == nil {
		if len(g.schedules) >= maxSchedules {
			return Grant{Retry: maxRetry}
		}
		s = &schedule{next: now.Add(max(Horizon, interval)), interval: interval}
		g.schedules[upstream] = s
	}
	if s.interval != interval { // the queue was made for another limit
		s.interval, s.returning = interval, now
	}
	s.next = clampTime(s.next, now.Add(-burst), now.Add(Horizon+interval))
	wait := max(0, s.next.Sub(now))
	if wait <= min(maxWait, Horizon) {
		s.next = s.next.Add(interval)
		return Grant{Granted: true, Wait: wait}
	}
	s.returning = clampTime(s.returning, s.next.Add(-min(maxWait, Horizon)), now.Add(maxRetry))
	retry := s.returning.Sub(now)
	s.returning = s.returning.Add(interval)
	return Grant{Retry: retry}
}

// Drop drops the schedule of an upstream whose sends another entry grants now.
func (g *Grants) Drop(upstream uint64) { delete(g.schedules, upstream) }

// Retain drops the schedules of upstreams for which keep returns false.
func (g *Grants) Retain(keep func(upstream uint64) bool) {
	for upstream := range g.schedules {
		if !keep(upstream) {
			delete(g.schedules, upstream)
		}
	}
}

func clampTime(t, least, most time.Time) time.Time {
	switch {
	case t.Before(least):
		return least
	case t.After(most):
		return most
	default:
		return t
	}
}

// Places returns the mean number of calls that run at once at an upstream with the limit and a number
// of slots, if each call takes duration.
func Places(slots int, perSecond float64, duration time.Duration) float64 {
	return min(float64(slots), perSecond*duration.Seconds())
}
