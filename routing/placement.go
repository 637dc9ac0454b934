package routing

import (
	"math"
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Defaults of PlacementConfig, and the half-life of demand.
const (
	defaultFetchInterval = 5 * time.Minute
	defaultDwell         = 10 * time.Minute
	defaultMinShortage   = 2 * time.Minute
	defaultMargin        = 1.5
	// demandHalfLife is the half-life of recorded demand.
	demandHalfLife = time.Minute
)

// PlacementConfig limits how often engines change their model; zero fields take the
// defaults.
type PlacementConfig struct {
	// FetchInterval is the least time between two fetches from the weight store, which
	// limits their rate; 5 min by default.
	FetchInterval time.Duration
	// Dwell is the least time for which an engine keeps a model that it was ordered to
	// load; 10 min by default.
	Dwell time.Duration
	// MinShortage is how long a model must be short of engines before it gets another one;
	// 2 min by default.
	MinShortage time.Duration
	// Margin is the factor for a move: the receiving model's demand per engine before the move
	// must exceed Margin times the giving model's after it. Values up to 1 take the default of
	// 1.5.
	Margin float64
}

// PlacementMessage is an input of Placement.Step: Demand, Engines or Tick.
type PlacementMessage interface{ placementMessage() }

// Demand reports that a call of Tokens tokens for a model or adapter has arrived.
type Demand struct {
	Model  string
	Tokens int64
}

// Engines replaces the known loads of all engines.
type Engines struct {
	Loads []structs.Load
}

// Tick asks Placement for a decision.
type Tick struct{}

func (Demand) placementMessage()  {}
func (Engines) placementMessage() {}
func (Tick) placementMessage()    {}

// LoadModel orders an engine to load a model in place of another.
type LoadModel struct {
	Upstream structs.UpstreamID
	Model    string
	Replaces string
	// From is an engine of the same failure domain from which the weights are copied; empty
	// means a fetch from the weight store.
	From structs.UpstreamID
}

// Placement decides which engines serve which model. It moves one engine at a time to the
// model with the most demand per engine, from the model that has the least demand per
// engine afterwards, when the difference is large and lasts. It is not safe for concurrent
// use.
type Placement struct {
	cfg PlacementConfig
	// demand is the decayed number of tokens by model, as of decayedAt.
	demand    map[string]float64
	decayedAt time.Time
	// loads are the loads of all engines, sorted by ID.
	loads []structs.Load
	// changedAt is when each engine was last ordered to load a model.
	changedAt map[structs.UpstreamID]time.Time
	// shortModel is the model that has been short of engines since shortSince, or empty.
	shortModel string
	shortSince time.Time
	// lastFetch is when a fetch from the weight store was last ordered.
	lastFetch time.Time
}

// NewPlacement returns a Placement that knows no engines.
func NewPlacement(cfg PlacementConfig) *Placement {
	setDefault(&cfg.FetchInterval, defaultFetchInterval)
	setDefault(&cfg.Dwell, defaultDwell)
	setDefault(&cfg.MinShortage, defaultMinShortage)
	if cfg.Margin <= 1 {
		cfg.Margin = defaultMargin
	}
	return &Placement{cfg: cfg, demand: make(map[string]float64), changedAt: make(map[structs.UpstreamID]time.Time)}
}

// Step processes one message and returns the orders to send.
func (p *Placement) Step(now time.Time, msg PlacementMessage) []LoadModel {
	p.decay(now)
	switch msg := msg.(type) {
	case Demand:
		p.demand[msg.Model] += float64(msg.Tokens)
	case Engines:
		p.loads = slices.Clone(msg.Loads)
		slices.SortFunc(p.loads, func(a, b structs.Load) int { return compareIDs(a.Upstream, b.Upstream) })
	case Tick:
		return p.decide(now)
	}
	return nil
}

func compareIDs(a, b structs.UpstreamID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// decay applies the half-life to all demand and drops models with less than 1 token.
func (p *Placement) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(p.decayedAt).Seconds() / demandHalfLife.Seconds())
	p.decayedAt = now
	for model, tokens := range p.demand {
		p.demand[model] = tokens * factor
		if p.demand[model] < 1 {
			delete(p.demand, model)
		}
	}
}

// decide returns the order to move an engine, if one is due.
func (p *Placement) decide(now time.Time) []LoadModel {
	most, least, ok := p.extremes()
	if !ok {
		p.shortModel = ""
		return nil
	}
	if p.shortModel != most {
		p.shortModel, p.shortSince = most, now
	}
	if now.Sub(p.shortSince) < p.cfg.MinShortage {
		return nil
	}
	donor, ok := p.donor(now, least)
	if !ok {
		return nil
	}
	order := LoadModel{Upstream: donor.Upstream, Model: most, Replaces: least, From: p.weightSource(donor, most)}
	if order.From == "" {
		if now.Sub(p.lastFetch) < p.cfg.FetchInterval {
			return nil
		}
		p.lastFetch = now
	}
	p.changedAt[donor.Upstream] = now
	p.shortModel = "" // a further move needs a further shortage of MinShortage
	return []LoadModel{order}
}

// extremes returns the model with the most demand per engine, and the model that would
// have the least after giving an engine away. A model without engines counts as having half
// an engine. It returns false when the difference is within the margin.
func (p *Placement) extremes() (most, least string, ok bool) {
	highest, lowest := 0.0, math.Inf(1)
	for _, model := range p.models() {
		n := float64(p.engineCount(model))
		if each := p.demand[model] / max(n, 0.5); each > highest {
			most, highest = model, each
		}
		if after := p.demandAfterRemoval(model, n); after < lowest {
			least, lowest = model, after
		}
	}
	return most, least, most != least && lowest*p.cfg.Margin < highest
}

// demandAfterRemoval returns the demand per engine of a model after it has given an engine
// away. It is infinite for a model without engines, and for a model with demand and one
// engine, which is never given away.
func (p *Placement) demandAfterRemoval(model string, engines float64) float64 {
	switch {
	case engines == 0:
		return math.Inf(1)
	case engines == 1 && p.demand[model] > 0:
		return math.Inf(1)
	case engines == 1:
		return 0
	}
	return p.demand[model] / (engines - 1)
}

// models returns all models with demand or an engine, sorted.
func (p *Placement) models() []string {
	var out []string
	for model := range p.demand {
		out = append(out, model)
	}
	for i := range p.loads {
		out = append(out, p.loads[i].Models...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// engineCount returns the number of engines that serve the model and are not draining.
func (p *Placement) engineCount(model string) int {
	n := 0
	for i := range p.loads {
		if !p.loads[i].Draining && serves(&p.loads[i], model) {
			n++
		}
	}
	return n
}

// donor returns the least loaded engine that serves only this model, is not draining and
// has not changed its model within the dwell time.
func (p *Placement) donor(now time.Time, model string) (structs.Load, bool) {
	var best *structs.Load
	for i := range p.loads {
		l := &p.loads[i]
		if l.Draining || len(l.Models) != 1 || l.Models[0] != model {
			continue
		}
		if at, ok := p.changedAt[l.Upstream]; ok && now.Sub(at) < p.cfg.Dwell {
			continue
		}
		if best == nil || l.Running+l.Queued < best.Running+best.Queued {
			best = l
		}
	}
	if best == nil {
		return structs.Load{}, false
	}
	return *best, true
}

// weightSource returns an engine in the donor's failure domain that has the model's
// weights, or an empty ID.
func (p *Placement) weightSource(donor structs.Load, model string) structs.UpstreamID {
	for i := range p.loads {
		if p.loads[i].Domain == donor.Domain && serves(&p.loads[i], model) {
			return p.loads[i].Upstream
		}
	}
	return ""
}
