package gateway

import (
	"encoding/binary"
	"time"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/internal/mesh"
)

// admit decides whether a program that has not started yet may start at the present load.
// If not, after is the wait before its caller should send the turn again. A turn of a program that has
// started is always admitted, and shows what the programs of its route need.
func (g *Gateway) admit(j *job, reserved *reservation) (after time.Duration, ok bool) {
	upstreams := g.fleet.Load().byService[j.service]
	entries := g.mesh.Size()
	now := time.Now()
	left := time.Duration(0) // decided by the calls per slot alone
	if g.cfg.ProgramCostAdmission && j.call.ProgramTimeout > 0 {
		left = max(time.Millisecond, j.call.ProgramTimeout-now.Sub(j.start))
	}
	g.mu.Lock()
	j.load = g.balancer.Load(now, upstreams)
	if reserved.stage == programStarted {
		if left > 0 {
			g.programs.Cost(j.route.Name).Turn(j.call.Program, left, j.load)
		}
		g.mu.Unlock()
		return 0, true
	}
	s := admission.ProgramStart{
		Route: j.route.Name, Program: j.call.Program, Rank: j.rank, Retried: reserved.stage == programRetried,
		Left: left, Waited: reserved.waited, Load: j.load, Entries: entries, DigestInterval: mesh.DigestInterval(entries),
	}
	for i := range upstreams {
		s.TotalSlots += upstreams[i].Slots
	}
	if n := len(upstreams); n > 0 {
		s.Growth = g.balancer.LatencyModel(j.service).Growth(j.info.Generate) * float64(s.TotalSlots) / float64(n)
	}
	d := g.programs.Start(now, s)
	age := g.balancer.OldestPeerReport(now, upstreams)
	var cost admission.ProgramCost
	if left > 0 {
		cost = *g.programs.Cost(j.route.Name)
	}
	g.mu.Unlock()
	g.logAdmission(j, &s, &d, &cost, age)
	return d.After, d.OK
}

// logAdmission logs the decision about a program, and what it rests on.
func (g *Gateway) logAdmission(j *job, s *admission.ProgramStart, d *admission.ProgramDecision, cost *admission.ProgramCost, age time.Duration) {
	if d.OK {
		g.metrics.programsAdmitted.Inc(1)
	} else {
		g.metrics.programsRefused.Inc(1)
	}
	if s.Left <= 0 {
		return // the line of the request has the load, on which alone the decision rests
	}
	decision := "admitted"
	switch {
	case d.TooLate:
		decision = "too_late"
	case !d.OK:
		decision = "refused"
	}
	ln := g.requestLog("program_start", j).Str("program", s.Program).Str("route", s.Route).Str("decision", decision).
		Int("rank", int64(s.Rank)).Ms("left_ms", s.Left).Ms("waited_ms", s.Waited).Ms("predicted_ms", d.Predicted).
		Int("load_permille", int64(1000*s.Load)).Int("promised_permille", int64(1000*d.Promised)).Int("limit_permille", int64(1000*min(d.Limit, maxLoggedLimit))).
		Ms("peers_age_ms", age).Int("entries", int64(s.Entries)).
		Int("used_percent", int64(100*cost.Used())).Int("turns_percent", int64(100*cost.TurnShare())).Int("growth_percent", int64(100*cost.Growth()))
	if d.After > 0 {
		ln.Ms("retry_after_ms", d.After)
	}
	ln.End()
}

// maxLoggedLimit bounds the limit in log lines: it is infinite while turns are not known to grow with
// the load.
const maxLoggedLimit = 1000

// turnEnded records what a complete turn of a program took.
func (g *Gateway) turnEnded(j *job) {
	if !g.cfg.ProgramCostAdmission || j.call.ProgramTimeout <= 0 || j.call.Program == "" || j.call.LastEvent != nil {
		return // a resumed stream is only a part of a turn
	}
	now := time.Now()
	upstreams := g.fleet.Load().byService[j.service]
	g.mu.Lock()
	defer g.mu.Unlock()
	load := (j.load + g.balancer.Load(now, upstreams)) / 2
	g.programs.Cost(j.route.Name).TurnEnded(now, j.call.Program, now.Sub(j.start)-j.storeTime, load)
}

// reportPredictions logs how the predicted times of programs that have ended compare with what they took.
func (g *Gateway) reportPredictions(now time.Time) {
	ended := map[string][]admission.PredictionError{}
	g.mu.Lock()
	g.programs.Expire(now, func(route string, e []admission.PredictionError) { ended[route] = e })
	g.mu.Unlock()
	for route, list := range ended {
		for _, e := range list {
			g.metrics.predictionError.RecordValue(float64(e.Observed) / float64(e.Predicted))
			g.env.Requests.Info("program_ended").Str("program", e.Program).Str("route", route).Ms("predicted_ms", e.Predicted).Ms("took_ms", e.Observed).End()
		}
	}
}

const (
	// usedScale and loadScale are the factors by which shares and loads are encoded in digests.
	usedScale, loadScale = 1000, 10000
	// maxSampleValue bounds each number of a sample in a digest.
	maxSampleValue = 1 << 32
	// costItemBytes bounds the bytes of a number in a sample.
	costItemBytes = 5
)

// addCostField registers what the entries observe of the programs of each route. After each digest it logs
// how predictions compare with what programs took.
func (g *Gateway) addCostField() {
	g.mesh.AddField(mesh.Field{
		Kind: 'p',
		Append: func(b []byte, room int) []byte {
			b = g.appendCosts(b, room)
			g.reportPredictions(time.Now())
			return b
		},
		Apply: func(_ string, r *mesh.Reader) {
			route, sample := readCostSample(r)
			if r.Malformed() {
				return
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			g.programs.Apply(route, &sample)
		},
	})
}

// appendCosts appends to a digest what this entry has observed of the programs of each route, as far as
// it fits.
func (g *Gateway) appendCosts(b []byte, room int) []byte {
	end := len(b) + room
	g.mu.Lock()
	defer g.mu.Unlock()
	g.programs.EachCost(func(route string, c *admission.ProgramCost) {
		size := 1 + 2 + len(route) + costItemBytes*(7+4*c.UnreportedRanges())
		if len(b)+size > end {
			return // the next digest has it
		}
		s, ok := c.TakeUnreported()
		if !ok {
			return
		}
		b = mesh.AppendText(append(b, 'p'), route)
		for _, v := range []float64{
			float64(s.Starts), float64(s.Turns), float64(s.Given.Count), s.Given.Sum,
			float64(s.Used.Count), usedScale * s.Used.Sum, float64(len(s.Responses)),
		} {
			b = binary.AppendUvarint(b, uint64(min(v, maxSampleValue)))
		}
		for _, r := range s.Responses {
			b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(r.Range)), uint64(r.Count))
			b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(min(loadScale*r.Load, maxSampleValue))), uint64(min(r.Ms, maxSampleValue)))
		}
	})
	return b
}

// readCostSample reads what another entry has observed of the programs of a route.
func readCostSample(r *mesh.Reader) (route string, s admission.CostSample) {
	route = r.Text()
	number := func() int {
		v := r.Uvarint()
		if v > maxSampleValue {
			r.Fail()
		}
		return int(min(v, maxSampleValue))
	}
	s.Starts, s.Turns = number(), number()
	s.Given = admission.Sum{Count: number(), Sum: float64(number())}
	s.Used = admission.Sum{Count: number(), Sum: float64(number()) / usedScale}
	n := number()
	if n > admission.LoadRanges {
		r.Fail()
	}
	for range n {
		if r.Malformed() {
			break
		}
		s.Responses = append(s.Responses, admission.ResponseSample{Range: number(), Count: number(), Load: float64(number()) / loadScale, Ms: float64(number())})
	}
	return route, s
}
