package workload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Bounds of the histograms, in modelled milliseconds.
const (
	histogramMin    = 1
	histogramMax    = 3_600_000
	histogramDigits = 3
)

// outcome is what became of one program.
type outcome struct {
	programStart time.Time
	// patience is the sum over its turns, in modelled time.
	patience    time.Duration
	latencies   []time.Duration
	firsts      []time.Duration
	waited      time.Duration
	refusals    int
	lastRefusal structs.Code
	abandoned   bool
	completed   bool
}

// turn adds a turn that was answered just now; first is zero when no text was seen
// before the whole answer.
func (o *outcome) turn(intended, first time.Time) {
	latency := time.Since(intended)
	o.latencies = append(o.latencies, latency)
	o.waited += latency
	if !first.IsZero() {
		o.firsts = append(o.firsts, first.Sub(intended))
	}
}

// Result is what a run measured. Times are modelled milliseconds.
type Result struct {
	cfg RunConfig

	mu       sync.Mutex
	programs *hdrhistogram.Histogram
	turns    *hdrhistogram.Histogram
	firsts   *hdrhistogram.Histogram

	// Programs counts all programs, Completed those whose every turn was answered
	// within the patience, Abandoned those whose caller left.
	Programs, Completed, Abandoned int
	// Turns counts the turns answered, Refusals all refusals that callers saw.
	Turns, Refusals int
	// Codes counts the programs that were given up by the code of the last refusal.
	Codes map[structs.Code]int
}

func newResult(cfg RunConfig) *Result {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	}
	return &Result{cfg: cfg, programs: histogram(), turns: histogram(), firsts: histogram(), Codes: make(map[structs.Code]int)}
}

// add records one program. One that was not completed counts with its whole patience,
// so that refusing or losing programs never looks fast.
func (r *Result) add(run *run, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Programs++
	r.Refusals += o.refusals
	r.Turns += len(o.latencies)
	for _, latency := range o.latencies {
		record(r.turns, run.modelled(latency))
	}
	for _, first := range o.firsts {
		record(r.firsts, run.modelled(first))
	}
	latency := run.modelled(o.waited)
	switch {
	case o.completed:
		r.Completed++
	case o.abandoned:
		r.Abandoned++
	default:
		r.Codes[o.lastRefusal]++
	}
	if !o.completed {
		latency = max(latency, o.patience)
	}
	record(r.programs, latency)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	ms := min(max(d.Milliseconds(), histogramMin), histogramMax)
	_ = h.RecordValue(ms) // the value is within the histogram's bounds
}

// ProgramLatency returns a quantile of the time that programs waited for answers, from
// the intended start, in modelled milliseconds.
func (r *Result) ProgramLatency(quantile float64) float64 {
	return float64(r.programs.ValueAtQuantile(quantile))
}

// TurnLatency returns a quantile over turns, FirstToken one of the time to first text.
func (r *Result) TurnLatency(quantile float64) float64 {
	return float64(r.turns.ValueAtQuantile(quantile))
}

// FirstToken returns a quantile of the time from a turn's start to its first text.
func (r *Result) FirstToken(quantile float64) float64 {
	return float64(r.firsts.ValueAtQuantile(quantile))
}

// Goodput returns the programs completed for each modelled minute of arrivals.
func (r *Result) Goodput() float64 {
	return float64(r.Completed) / r.cfg.Length.Minutes()
}
