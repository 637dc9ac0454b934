package workload

import (
	"cmp"
	"slices"
)

// Trial is the result of one run with one policy and one seed. Times are in modelled
// milliseconds.
type Trial struct {
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Seed       uint64  `json:"seed"`
	Load       float64 `json:"load"`
	Fault      string  `json:"fault,omitempty"`
	Measures
}

// Measures has the figures of a run, or their medians over the seeds.
type Measures struct {
	ProgramLatencyP50 float64 `json:"program_latency_p50_ms"`
	ProgramLatencyP95 float64 `json:"program_latency_p95_ms"`
	ProgramLatencyP99 float64 `json:"program_latency_p99_ms"`
	TurnLatencyP95    float64 `json:"turn_latency_p95_ms"`
	FirstTokenP50     float64 `json:"first_token_p50_ms"`
	FirstTokenP95     float64 `json:"first_token_p95_ms"`
	// RecomputedTokens is the number of prompt tokens computed again although some engine
	// had computed them before.
	RecomputedTokens float64 `json:"recomputed_tokens"`
	// WastedCacheRatio is the share of RecomputedTokens in all prompt tokens.
	WastedCacheRatio float64 `json:"wasted_cache_ratio"`
	Programs         float64 `json:"programs"`
	Completed        float64 `json:"completed"`
	Refusals         float64 `json:"refusals"`
	Abandoned        float64 `json:"abandoned"`
	// Goodput is the number of programs completed within their timeouts per modelled minute.
	Goodput float64 `json:"goodput"`
}

// NewMeasures returns the figures of a run from its result and its cache counts.
func NewMeasures(r *Result, c CacheCounts) Measures {
	return Measures{
		ProgramLatencyP50: r.ProgramLatency(50),
		ProgramLatencyP95: r.ProgramLatency(95),
		ProgramLatencyP99: r.ProgramLatency(99),
		TurnLatencyP95:    r.TurnLatency(95),
		FirstTokenP50:     r.FirstToken(50),
		FirstTokenP95:     r.FirstToken(95),
		RecomputedTokens:  float64(c.Recomputed),
		WastedCacheRatio:  c.WastedRatio(),
		Programs:          float64(r.Programs),
		Completed:         float64(r.Completed),
		Refusals:          float64(r.Refusals),
		Abandoned:         float64(r.Abandoned),
		Goodput:           r.Goodput(),
	}
}

// fields returns pointers to all figures, so that medians are computed for each in the same
// way.
func (m *Measures) fields() []*float64 {
	return []*float64{
		&m.ProgramLatencyP50, &m.ProgramLatencyP95, &m.ProgramLatencyP99, &m.TurnLatencyP95,
		&m.FirstTokenP50, &m.FirstTokenP95, &m.RecomputedTokens, &m.WastedCacheRatio,
		&m.Programs, &m.Completed, &m.Refusals, &m.Abandoned, &m.Goodput,
	}
}

// Summary has the medians of one policy over the seeds.
type Summary struct {
	Policy string `json:"policy"`
	Seeds  int    `json:"seeds"`
	Measures
	// LatencyRatio compares the p95 program latency of this policy with that of the best
	// baseline, WasteRatio the wasted cache ratio. Each is the median over the seeds of the
	// ratio between the two runs with the same seed. The best baseline is chosen separately
	// for each of the two figures.
	LatencyRatio float64 `json:"program_latency_p95_ratio"`
	WasteRatio   float64 `json:"wasted_cache_ratio_ratio"`
}

// Summarise returns one summary for each policy, in the order in which the policies first
// occur in the trials. The ratios are relative to the baseline with the lowest median.
func Summarise(trials []Trial, baselines []string) []Summary {
	var out []Summary
	for _, t := range trials {
		if !slices.ContainsFunc(out, func(s Summary) bool { return s.Policy == t.Policy }) {
			out = append(out, medians(trials, t.Policy))
		}
	}
	latency := bestBaseline(out, baselines, func(s Summary) float64 { return s.ProgramLatencyP95 })
	waste := bestBaseline(out, baselines, func(s Summary) float64 { return s.WastedCacheRatio })
	for i := range out {
		out[i].LatencyRatio = pairedRatio(trials, out[i].Policy, latency, func(t Trial) float64 { return t.ProgramLatencyP95 })
		out[i].WasteRatio = pairedRatio(trials, out[i].Policy, waste, func(t Trial) float64 { return t.WastedCacheRatio })
	}
	return out
}

// medians returns the median of each figure over the trials of the policy.
func medians(trials []Trial, policy string) Summary {
	s := Summary{Policy: policy}
	var values [][]float64
	for _, t := range trials {
		if t.Policy != policy {
			continue
		}
		s.Seeds++
		for i, f := range t.fields() {
			if s.Seeds == 1 {
				values = append(values, nil)
			}
			values[i] = append(values[i], *f)
		}
	}
	for i, f := range s.fields() {
		*f = median(values[i])
	}
	return s
}

// bestBaseline returns the baseline with the lowest figure, or "" if no baseline has a summary.
func bestBaseline(all []Summary, baselines []string, figure func(Summary) float64) string {
	name := ""
	lowest := 0.0
	for _, s := range all {
		if slices.Contains(baselines, s.Policy) && (name == "" || figure(s) < lowest) {
			name, lowest = s.Policy, figure(s)
		}
	}
	return name
}

// pairedRatio returns the median, over the seeds that both policies ran, of the ratio of the
// figure of policy to that of baseline. Seeds for which the baseline's figure is 0 are left out.
func pairedRatio(trials []Trial, policy, baseline string, figure func(Trial) float64) float64 {
	var ratios []float64
	for _, a := range trials {
		for _, b := range trials {
			if a.Policy == policy && b.Policy == baseline && a.Seed == b.Seed && figure(b) > 0 {
				ratios = append(ratios, figure(a)/figure(b))
			}
		}
	}
	return median(ratios)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.SortedFunc(slices.Values(values), cmp.Compare[float64])
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
