package admission

import (
	"math"
	"time"
)

// ProgramCost estimates what the programs of one route need, from the turns that this entry sees. It
// answers an overload that slots don't show: how many calls an engine can run until programs are late
// depends on the time that its callers leave and on how much longer a turn takes per further call, both
// of which differ by a factor of ten between deployments.
//
// Programs move between entries, so an entry need not see all turns of any. Each estimate is therefore
// a mean over what the entries do see, whatever share of the turns that is. Entries report their
// observations to each other as a CostSample, so that all have the same estimate, and soon.
type ProgramCost struct {
	// used is the share of the time given at a program's start that it takes on idle engines.
	used mean
	// given is the mean time given at the start, in ms.
	given mean
	// starts and turns count admitted programs and turns; they decay together.
	starts, turns float64
	// response is how turns lengthen with the load.
	response loadResponse
	// unreported is what other entries have not been told yet.
	unreported CostSample
	// open has the programs of which this entry has seen the start, order their names from the oldest on.
	open  map[string]*openProgram
	order []string
}

// openProgram is a program whose start this entry has seen.
type openProgram struct {
	given     time.Duration
	admitted  time.Time
	predicted time.Duration
	lastEnd   time.Time
	turns     int
	// retried is set if it was refused before it was admitted.
	retried bool
}

const (
	// defaultUsed is the share of a program's time that it needs on idle engines until that is learned.
	// Callers give 1.4 to 1.7 times what it needs, and 200 to 400 ms, so the default leans
	// towards admitting too much.
	defaultUsed = 0.5
	// defaultTurnShare is the share of turns in a program's time until that is learned.
	defaultTurnShare = 0.75
	// minTurnShare and maxTurnShare bound it: pauses and tools take some of each program's time.
	minTurnShare, maxTurnShare = 0.3, 0.95
	// minUsed and maxUsed bound used.
	minUsed, maxUsed = 0.15, 0.95
	// priorCount is the number of observations that a default weighs, meanCount the number over which a
	// mean is taken.
	priorCount, meanCount = 8, 200
	// startsCount is the number of starts over which the turns per program are counted. It covers many
	// times the length of a program also in large systems, since turns follow the starts.
	startsCount = 2000
	// minStarts is the number of programs from which the share of turns is learned.
	minStarts = 8
	// maxOpenPrograms bounds the memory of a route.
	maxOpenPrograms = 2048
	// programIdle is the time after its last turn at which a program counts as ended.
	programIdle = 5 * time.Second
	// completeShare is the share of the mean number of turns that an entry must have seen of a
	// program for its time to be compared with the prediction.
	completeShare = 0.8
)

// NewProgramCost returns the estimate of a route of which nothing is known.
func NewProgramCost() *ProgramCost {
	return &ProgramCost{used: mean{value: defaultUsed, count: priorCount}, open: map[string]*openProgram{}}
}

// Admitted records that a program starts with the time left, and predicted as the time it takes. retried
// reports whether it was refused before.
func (c *ProgramCost) Admitted(now time.Time, program string, left, predicted time.Duration, retried bool) {
	if c.open[program] == nil {
		if len(c.order) >= maxOpenPrograms {
			delete(c.open, c.order[0])
			c.order = c.order[1:]
		}
		c.order = append(c.order, program)
	}
	c.open[program] = &openProgram{given: left, admitted: now, lastEnd: now, predicted: predicted, retried: retried}
	s := CostSample{Starts: 1, Turns: 1}
	if !retried {
		s.Given.add(float64(left.Milliseconds()))
	}
	c.observe(&s)
}

// Sum is a number of observations and their sum.
type Sum struct {
	Count int
	Sum   float64
}

func (s *Sum) add(v float64) {
	s.Count++
	s.Sum += v
}

// CostSample holds observations of the programs of a route by one entry.
type CostSample struct {
	// Starts and Turns are numbers of admitted programs and of turns. Turns holds those that start
	// a program too.
	Starts, Turns int
	// Given has the times in ms that programs had at their starts, Used the shares of them that they take
	// on idle engines.
	Given, Used Sum
	// Responses has the times of turns by ranges of the load.
	Responses []ResponseSample
}

// ResponseSample holds the turns in a range of the load: their number, and the sums of their loads and of
// their times in ms.
type ResponseSample struct {
	Range, Count int
	Load, Ms     float64
}

// merge adds the observations of o.
func (s *CostSample) merge(o *CostSample) {
	s.Starts += o.Starts
	s.Turns += o.Turns
	s.Given = Sum{s.Given.Count + o.Given.Count, s.Given.Sum + o.Given.Sum}
	s.Used = Sum{s.Used.Count + o.Used.Count, s.Used.Sum + o.Used.Sum}
next:
	for _, q := range o.Responses {
		for i := range s.Responses {
			if t := &s.Responses[i]; t.Range == q.Range {
				t.Count, t.Load, t.Ms = t.Count+q.Count, t.Load+q.Load, t.Ms+q.Ms
				continue next
			}
		}
		s.Responses = append(s.Responses, q)
	}
}

// observe records an observation of this entry.
func (c *ProgramCost) observe(s *CostSample) {
	c.Apply(s)
	c.unreported.merge(s)
}

// Apply records the observations of another entry.
func (c *ProgramCost) Apply(s *CostSample) {
	c.starts += float64(s.Starts)
	c.turns += float64(s.Turns)
	if c.starts > startsCount {
		c.starts, c.turns = c.starts/2, c.turns/2
	}
	c.given.observe(s.Given)
	c.used.observe(s.Used)
	for _, q := range s.Responses {
		c.response.observe(&q)
	}
}

// UnreportedRanges returns the number of ranges of the load in what other entries have not been told yet.
func (c *ProgramCost) UnreportedRanges() int { return len(c.unreported.Responses) }

// Growth returns by what part of its time on idle engines a turn grows per unit of load.
func (c *ProgramCost) Growth() float64 { return c.response.growth() }

// TakeUnreported returns the observations that other entries have not been told yet. It reports false if
// there are none.
func (c *ProgramCost) TakeUnreported() (CostSample, bool) {
	s := c.unreported
	c.unreported = CostSample{}
	return s, s.Turns > 0 || len(s.Responses) > 0
}

// Turn records that a further turn of a program in progress arrives with the time left, at a load.
//
// The turns of a program are spread evenly over its time, so the share of the time given that has
// passed at a further turn is on average half of the share that the whole program takes.
func (c *ProgramCost) Turn(program string, left time.Duration, load float64) {
	s := CostSample{Turns: 1}
	defer func() { c.observe(&s) }()
	p := c.open[program]
	if p == nil || p.retried || p.given <= 0 || left > p.given {
		return
	}
	passed := 1 - float64(max(0, left))/float64(p.given)
	a := c.TurnShare()
	s.Used.add(clamp(2*passed/(1-a+a*c.response.stretch(load)), 0, 1.5))
}

// TurnEnded records that a turn took a time, at a mean load between its start and its end, in calls per slot.
func (c *ProgramCost) TurnEnded(now time.Time, program string, took time.Duration, load float64) {
	ms := float64(took) / float64(time.Millisecond)
	if total := &c.response.total; total.count > 30 {
		// A turn far longer than others, such as one that was resumed, changes little.
		ms = math.Min(ms, 5*total.value)
	}
	c.observe(&CostSample{Responses: []ResponseSample{{Range: rangeOf(load), Count: 1, Load: load, Ms: ms}}})
	if p := c.open[program]; p != nil {
		p.turns++
		p.lastEnd = now
	}
}

// PredictionError compares the predicted time of a program that has ended with what it took.
type PredictionError struct {
	Program             string
	Predicted, Observed time.Duration
}

// Expire forgets the programs that have had no turn for a while. It returns the prediction errors of
// those of which this entry has probably seen all turns.
func (c *ProgramCost) Expire(now time.Time) []PredictionError {
	var out []PredictionError
	kept := c.order[:0]
	for _, name := range c.order {
		p := c.open[name]
		if p == nil {
			continue
		}
		if now.Sub(p.lastEnd) < programIdle {
			kept = append(kept, name)
			continue
		}
		delete(c.open, name)
		if p.predicted > 0 && float64(p.turns) >= completeShare*c.Turns() {
			out = append(out, PredictionError{Program: name, Predicted: p.predicted, Observed: p.lastEnd.Sub(p.admitted)})
		}
	}
	c.order = kept
	return out
}

// Turns returns the mean number of turns of a program.
func (c *ProgramCost) Turns() float64 { return c.turns / math.Max(1, c.starts) }

// Used returns the share of the time given that a program takes on idle engines.
func (c *ProgramCost) Used() float64 { return clamp(c.used.value, minUsed, maxUsed) }

// TurnShare returns the share of a program's time on idle engines that its turns take.
func (c *ProgramCost) TurnShare() float64 {
	if c.starts < minStarts || c.given.value <= 0 || !c.response.known() {
		return defaultTurnShare
	}
	return clamp(c.Turns()*c.response.idle()/(c.Used()*c.given.value), minTurnShare, maxTurnShare)
}

// Work returns the time in ms that the turns of a mean program take on idle engines; zero while that is
// unknown.
func (c *ProgramCost) Work() float64 {
	if c.starts < minStarts || !c.response.known() {
		return 0
	}
	return c.Turns() * c.response.idle()
}

// SetExpectedGrowth sets by what part of its time on idle engines a turn is expected to grow per unit of
// load, for as long as few turns have been observed.
func (c *ProgramCost) SetExpectedGrowth(growth float64) { c.response.prior = growth }

// Predict returns the time that a program takes at a load; given is what it had at its first request.
func (c *ProgramCost) Predict(given time.Duration, load float64) time.Duration {
	a := c.TurnShare()
	return time.Duration(float64(given) * c.Used() * (1 - a + a*c.response.stretch(load)))
}

// LoadLimit returns the load at which a program takes a share of the time that it was given.
func (c *ProgramCost) LoadLimit(share float64) float64 {
	a := c.TurnShare()
	return c.response.loadAt((share/c.Used() - (1 - a)) / a)
}

// mean is a moving average in which the first observations weigh more.
type mean struct {
	value, count float64
}

func (m *mean) observe(s Sum) {
	if s.Count <= 0 {
		return
	}
	n := float64(min(s.Count, meanCount))
	m.count = math.Min(m.count+n, meanCount)
	m.value += (s.Sum/float64(s.Count) - m.value) * n / m.count
}

// loadResponse fits how the time of a turn grows with the load. Calls that share an engine stall each
// other by their prefills and lengthen each other's steps, both in proportion to their number, so a
// line describes it.
//
// Each range of loads has its own mean, which later turns at other loads don't displace. Under an
// overload that lasts, the time of a turn on idle engines would be forgotten otherwise, and the time of
// an overloaded one be taken for usual. What was seen at higher loads is forgotten while the load is
// lower: it would forbid these loads for good if it was seen while engines worked off a backlog.
type loadResponse struct {
	ranges [LoadRanges]loadRange
	// prior is the growth that is expected, relative to the time on idle engines per unit of load.
	prior float64
	// total is the mean time of the latest turns at any load.
	total mean
}

// loadRange holds the means of the turns in a range of loads.
type loadRange struct {
	count, load, ms float64
}

const (
	// LoadRanges is the number of ranges in which turns are counted, lowestRange the upper end of the first. Each further one
	// ends at rangeFactor times the load, so that the last begins at a load of about 3.
	LoadRanges  = 24
	lowestRange = 0.01
	rangeFactor = 1.3
	// rangeCount is the number of turns over which a range takes its means. It covers several times the
	// length of a turn also in large systems: the short turns end first after the load has entered a
	// range, and only long ones are left when it has moved on. A window of 100 turns, 0.1 s there, was left
	// at twice the true time, so the growth was overestimated and the limit fell to half.
	rangeCount = 1000
	// higherDecay is the factor by which each turn lowers the weight of what was seen at higher loads.
	higherDecay = 1 - 1./2000
	// responsePrior is the weight of the expected growth, as the sum of squared deviations of the load:
	// that of 3 turns at loads that differ by 0.1. The expectation rises by half or more under an
	// overload, so it must not outweigh a few hundred observed turns at loads that differ little.
	responsePrior = 0.03
	// minIdleShare bounds the time of a turn on idle engines as a share of the mean time of turns.
	minIdleShare = 0.1
)

// rangeOf returns the index of the range of a load.
func rangeOf(load float64) int {
	if load <= lowestRange {
		return 0
	}
	return min(LoadRanges-1, 1+int(math.Log(load/lowestRange)/math.Log(rangeFactor)))
}

func (r *loadResponse) observe(s *ResponseSample) {
	if s.Range < 0 || s.Range >= LoadRanges || s.Count <= 0 {
		return
	}
	n := float64(min(s.Count, rangeCount))
	for i := s.Range + 2; i < LoadRanges; i++ {
		r.ranges[i].count *= math.Pow(higherDecay, n)
	}
	r.total.observe(Sum{s.Count, s.Ms})
	g := &r.ranges[s.Range]
	g.count = math.Min(g.count+n, rangeCount)
	g.load += (s.Load/float64(s.Count) - g.load) * n / g.count
	g.ms += (s.Ms/float64(s.Count) - g.ms) * n / g.count
}

// known reports whether a turn has been observed.
func (r *loadResponse) known() bool { return r.total.count > 0 }

// line returns the time on idle engines and its growth with the load.
func (r *loadResponse) line() (idle, slope float64) {
	var n, x, y, xx, xy float64
	for i := range r.ranges {
		g := &r.ranges[i]
		n += g.count
		x += g.count * g.load
		y += g.count * g.ms
		xx += g.count * g.load * g.load
		xy += g.count * g.load * g.ms
	}
	if n == 0 {
		return 0, 0
	}
	slope = (xy - x*y/n + r.prior*responsePrior*y/n) / (xx - x*x/n + responsePrior + r.prior*responsePrior*x/n)
	slope = math.Max(0, slope)
	x, y = x/n, y/n
	if idle = y - slope*x; idle < minIdleShare*y {
		idle = minIdleShare * y
		if x > 0 {
			slope = (y - idle) / x
		}
	}
	return idle, slope
}

func (r *loadResponse) idle() float64 {
	idle, _ := r.line()
	return idle
}

// growth returns by what part of its time on idle engines a turn grows per unit of load.
func (r *loadResponse) growth() float64 {
	idle, slope := r.line()
	if idle <= 0 {
		return r.prior
	}
	return slope / idle
}

// stretch returns the time of a turn at a load as a multiple of that on idle engines.
func (r *loadResponse) stretch(load float64) float64 { return 1 + r.growth()*load }

// loadAt returns the load at which turns take a multiple of their time on idle engines.
func (r *loadResponse) loadAt(stretch float64) float64 {
	growth := r.growth()
	if growth <= 0 {
		return math.Inf(1)
	}
	return math.Max(0, stretch-1) / growth
}

func clamp(v, low, high float64) float64 { return math.Max(low, math.Min(high, v)) }
