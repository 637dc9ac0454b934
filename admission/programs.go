package admission

import (
	"math"
	"time"
)

// Programs decides whether new programs may start, for all routes of an entry. It answers an overload
// of minutes: more programs start than can end in time, so that without refusals nearly all are late.
//
// A program may start while the load, with what is promised to programs that the load doesn't show yet, is
// at most what its route tolerates: the load at which its programs still end within their time, see
// ProgramCost. Less urgent routes stop at a lower load, so that the more urgent ones find room. The limits
// of NewProgramPolicy remain in force above that, and decide alone for callers that don't say until when
// their program should end.
//
// It needs no owner. Each entry sees the calls of all entries in their digests, and counts on the
// others to admit as many programs as itself between two digests.
type Programs struct {
	policy NewProgramPolicy
	routes map[string]*routePrograms
	// recent is the decayed number of programs admitted here, as of recentAt.
	recent   float64
	recentAt time.Time
	// expiredAt is when programs that have ended were last forgotten.
	expiredAt time.Time
}

// routePrograms is what is known of a route.
type routePrograms struct {
	cost *ProgramCost
	rank int
	// usedAt is when a program was last decided.
	usedAt time.Time
}

const (
	// timeShare is the share of its time within which a program is planned to end. The rest covers
	// what differs between programs, such as longer answers.
	timeShare = 1.0
	// lessUrgentShare is the share of the limit of the next more urgent routes at which a route stops. It
	// covers how far the load strays between two digests. A lower share refuses programs that would
	// end in time: the less urgent ones hold the load there while the urgent ones alone don't fill the rest.
	lessUrgentShare = 0.9
	// refusedBeforeFactor raises the limit of programs that were refused before. With sizeFactor it
	// stays below the distance to the next more urgent routes.
	refusedBeforeFactor = 1.02
	// minSizeFactor and maxSizeFactor bound the factor for programs that need more or less
	// than others of their urgency: the shorter ones are admitted first.
	minSizeFactor, maxSizeFactor = 0.96, 1.04
	// recentTime is the time over which admitted programs are counted.
	recentTime = 400 * time.Millisecond
	// routeIdle is the time after its last new program for which a route lowers the limits of less
	// urgent ones.
	routeIdle = 30 * time.Second
	// expireInterval is the time between two searches for programs that have ended.
	expireInterval = time.Second
	// maxRoutes bounds the routes that other entries report.
	maxRoutes = 512
	// minRetry and maxRetry bound the time after which a refused program returns.
	minRetry, maxRetry = 250 * time.Millisecond, 2 * time.Second
)

// NewPrograms returns the state of an entry that has seen no program.
func NewPrograms(policy NewProgramPolicy) *Programs {
	return &Programs{policy: policy, routes: map[string]*routePrograms{}}
}

// ProgramStart is the request for the first turn of a program, and the load at that time.
type ProgramStart struct {
	Route, Program string
	// Rank is the number of priorities that are less urgent than the route's.
	Rank int
	// Retried reports whether the program was refused before.
	Retried bool
	// Left is the time until the program should end; zero if unknown. Waited is the time since its first
	// request.
	Left, Waited time.Duration
	// Load is the number of calls in flight per slot, as known from the digests, TotalSlots the number of
	// slots of all engines. Growth is the part by which a turn is expected to grow per unit of load.
	Load, Growth float64
	TotalSlots   int
	// Entries is the number of entries, DigestInterval the time between two digests of each.
	Entries        int
	DigestInterval time.Duration
}

// ProgramDecision is the decision about a ProgramStart, and what it rests on.
type ProgramDecision struct {
	OK bool
	// After is the time after which a refused program should return, before jitter.
	After time.Duration
	// Limit is the load up to which the program may start, Promised the load that is promised to
	// programs and does not show yet.
	Limit, Promised float64
	// Predicted is the predicted time of the program; zero if unknown.
	Predicted time.Duration
	// TooLate reports whether the program can't end in time even on idle engines.
	TooLate bool
}

// Cost returns the estimate of a route's programs.
func (p *Programs) Cost(route string) *ProgramCost { return p.route(route).cost }

// Apply records what another entry has observed of the programs of a route.
func (p *Programs) Apply(route string, s *CostSample) {
	if p.routes[route] == nil && len(p.routes) >= maxRoutes {
		return
	}
	p.route(route).cost.Apply(s)
}

// Expire forgets programs that have ended, see ProgramCost.Expire.
func (p *Programs) Expire(now time.Time, f func(route string, ended []PredictionError)) {
	if now.Sub(p.expiredAt) < expireInterval {
		return
	}
	p.expiredAt = now
	for name, r := range p.routes {
		if ended := r.cost.Expire(now); len(ended) > 0 {
			f(name, ended)
		}
	}
}

// EachCost calls f for each route.
func (p *Programs) EachCost(f func(route string, c *ProgramCost)) {
	for name, r := range p.routes {
		f(name, r.cost)
	}
}

func (p *Programs) route(name string) *routePrograms {
	r := p.routes[name]
	if r == nil {
		r = &routePrograms{cost: NewProgramCost()}
		p.routes[name] = r
	}
	return r
}

// Start decides about a program and records the decision.
func (p *Programs) Start(now time.Time, s ProgramStart) ProgramDecision {
	if s.Left <= 0 || s.TotalSlots <= 0 {
		var d ProgramDecision
		d.OK, d.After = p.policy.Admit(s.Load, s.Rank, s.Retried)
		return d
	}
	r := p.route(s.Route)
	r.rank, r.usedAt = s.Rank, now
	r.cost.SetExpectedGrowth(s.Growth)
	d := p.decide(now, r, &s)
	if !d.OK {
		return d
	}
	r.cost.Admitted(now, s.Program, s.Left, d.Predicted, s.Retried)
	p.recent, p.recentAt = p.recentNow(now)+1, now
	return d
}

// decide decides about a program without recording the decision.
func (p *Programs) decide(now time.Time, r *routePrograms, s *ProgramStart) ProgramDecision {
	given := s.Left + s.Waited
	d := ProgramDecision{Promised: p.promised(now, s)}
	load := s.Load + d.Promised
	d.Predicted = r.cost.Predict(given, load)
	d.Limit = p.limit(now, r, s)
	// A program that has waited has less time left than the limit of its route assumes.
	inTime := s.Waited <= 0 || d.Predicted <= s.Left
	d.TooLate = r.cost.Predict(given, 0) > s.Left
	capped, after := p.policy.Admit(s.Load, s.Rank, s.Retried)
	d.OK = capped && load <= d.Limit && inTime && !d.TooLate
	if !d.OK {
		d.After = p.retryAfter(&d, load, s.Left, after)
	}
	return d
}

// limit returns the load up to which programs of the route may start. It is at most what the more urgent
// routes tolerate, less a share for each step, so that a more urgent route is never refused at a load at
// which a less urgent one is admitted.
func (p *Programs) limit(now time.Time, r *routePrograms, s *ProgramStart) float64 {
	limit := r.cost.LoadLimit(timeShare)
	work, others, n := r.cost.Work(), 0.0, 0.0
	steps := map[int]bool{}
	for _, o := range p.routes {
		if now.Sub(o.usedAt) > routeIdle {
			continue
		}
		if o.rank > r.rank {
			steps[o.rank] = true
			limit = math.Min(limit, o.cost.LoadLimit(timeShare))
		}
		if o.rank == r.rank && o.cost.Work() > 0 {
			others += o.cost.Work()
			n++
		}
	}
	limit *= math.Pow(lessUrgentShare, float64(len(steps)))
	if work > 0 && n > 1 {
		limit *= clamp(math.Pow(others/n/work, 0.1), minSizeFactor, maxSizeFactor)
	}
	if s.Retried {
		limit *= refusedBeforeFactor
	}
	return limit
}

// recentNow returns the decayed number of programs admitted here.
func (p *Programs) recentNow(now time.Time) float64 {
	if p.recentAt.IsZero() {
		return 0
	}
	return p.recent * math.Exp(-float64(max(0, now.Sub(p.recentAt)))/float64(recentTime))
}

// promised returns the load of programs that the other entries have probably admitted since their last
// digests, which are half an interval old on average.
func (p *Programs) promised(now time.Time, s *ProgramStart) float64 {
	perEntry := p.recentNow(now) * float64(s.DigestInterval) / 2 / float64(recentTime)
	return perEntry * float64(max(0, s.Entries-1)) / float64(s.TotalSlots)
}

// retryAfter returns when there will be room: programs end at the rate of those in progress over their
// time, and the load must fall to the limit. Callers wait at most a third of the time that they have left, so
// a longer wait would not be kept.
func (p *Programs) retryAfter(d *ProgramDecision, load float64, left, after time.Duration) time.Duration {
	excess := 1 - d.Limit/math.Max(load, 1e-9)
	wait := max(after, minRetry, time.Duration(float64(d.Predicted)*excess))
	return min(wait, maxRetry, max(left/3, minRetry))
}
