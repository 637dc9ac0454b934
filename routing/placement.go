package routing

import (
	"math"
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Defaults of PlacementConfig.
const (
	defaultFetchInterval = 5 * time.Minute
	defaultDwell         = 10 * time.Minute
	defaultMinShortage   = 2 * time.Minute
	defaultMargin        = 1.5
	// demandHalfLife is how fast demand is forgotten.
	demandHalfLife = time.Minute
)

// PlacementConfig bounds how often engines change their model; zero fields take the
// defaults.
type PlacementConfig struct {
	// FetchInterval is the time between two fetches that the weight store allows; 5 min.
	FetchInterval time.Duration
	// Dwell is how long an engine keeps a model; 10 min.
	Dwell time.Duration
	// MinShortage is how long a model must be short of engines before one is given to it; 2 min.
	MinShortage time.Duration
	// Margin is how many times the load of an engine that gives must stay below that of
	// the engines that get help; 1.5.
	Margin float64
}

// PlacementMessage is an input of Placement.
type PlacementMessage interface{ placementMessage() }

// Demand says that a call of so many tokens came for a model or adapter.
type Demand struct {
	Model  string
	Tokens int64
}

// Engines replaces what is known of the engines, as Candidates returned them.
type Engines struct {
	Loads []structs.Load
}

// Tick lets Placement decide.
type Tick struct{}

func (Demand) placementMessage()  {}
func (Engines) placementMessage() {}
func (Tick) placementMessage()    {}

// LoadModel orders an engine to load a model in place of another.
type LoadModel struct {
	Upstream structs.UpstreamID
	Model    string
	Replaces string
	// From is an engine of the same failure domain that has the weights; empty fetches
	// them from the weight store.
	From structs.UpstreamID
}

// Placement decides which engines serve which model, one change at a time: engines of
// the model with the least load go to that with the most, when the difference is large
// and lasts. It is not safe for concurrent use.
type Placement struct {
	cfg        PlacementConfig
	demand     map[string]float64
	decayedAt  time.Time
	loads      []structs.Load
	changedAt  map[structs.UpstreamID]time.Time
	shortModel string
	shortSince time.Time
	lastFetch  time.Time
}

// NewPlacement returns a Placement that knows no engine.
func NewPlacement(cfg PlacementConfig) *Placement {
	setDefault(&cfg.FetchInterval, defaultFetchInterval)
	setDefault(&cfg.Dwell, defaultDwell)
	setDefault(&cfg.MinShortage, defaultMinShortage)
	if cfg.Margin <= 1 {
		cfg.Margin = defaultMargin
	}
	return &Placement{cfg: cfg, demand: make(map[string]float64), changedAt: make(map[structs.UpstreamID]time.Time)}
}

// Step takes one message and returns the orders to give.
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

// decay halves all demand each half-life and forgets what is next to nothing.
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
	giver, ok := p.donor(now, least)
	if !ok {
		return nil
	}
	order := LoadModel{Upstream: giver.Upstream, Model: most, Replaces: least, From: p.weightSource(giver, most)}
	if order.From == "" {
		if now.Sub(p.lastFetch) < p.cfg.FetchInterval {
			return nil
		}
		p.lastFetch = now
	}
	p.changedAt[giver.Upstream] = now
	p.shortModel = ""
	return []LoadModel{order}
}

// extremes returns the model whose engines have the most demand each, and the one that
// can spare an engine best. It returns false when the difference is within the margin.
func (p *Placement) extremes() (most, least string, ok bool) {
	highest, lowest := 0.0, math.Inf(1)
	for _, model := range p.models() {
		n := float64(p.engineCount(model))
		if each := p.demand[model] / max(n, 0.5); each > highest {
			most, highest = model, each
		}
		if after := p.loadAfterGiving(model, n); after < lowest {
			least, lowest = model, after
		}
	}
	return most, least, most != least && lowest*p.cfg.Margin < highest
}

// loadAfterGiving returns the demand on each engine of a model that gave one away. The last
// engine of a model with demand is never given.
func (p *Placement) loadAfterGiving(model string, engines float64) float64 {
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

func (p *Placement) engineCount(model string) int {
	n := 0
	for i := range p.loads {
		if !p.loads[i].Draining && serves(&p.loads[i], model) {
			n++
		}
	}
	return n
}

// donor returns the idlest engine that serves the model alone and has kept it long enough.
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

// weightSource returns an engine of the giver's failure domain that has the weights.
func (p *Placement) weightSource(giver structs.Load, model string) structs.UpstreamID {
	for i := range p.loads {
		if p.loads[i].Domain == giver.Domain && serves(&p.loads[i], model) {
			return p.loads[i].Upstream
		}
	}
	return ""
}
