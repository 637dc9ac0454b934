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

// outcome is the outcome of one program.
type outcome struct {
	programStart time.Time
	// timeLimit is the sum of the timeouts of its turns, in modelled time.
	timeLimit  time.Duration
	latencies  []time.Duration
	firstTexts []time.Duration
	// waited is the real time that the caller waited for answers.
	waited      time.Duration
	refusals    int
	lastRefusal structs.Code
	abandoned   bool
	completed   bool
}

// addTurn adds a turn whose answer has just been received. first is the time of its first
// text, zero if no text was received before the answer.
func (o *outcome) addTurn(intended, first time.Time) {
	latency := time.Since(intended)
	o.latencies = append(o.latencies, latency)
	o.waited += latency
	if !first.IsZero() {
		o.firstTexts = append(o.firstTexts, first.Sub(intended))
	}
}

// Result has the measurements of a run. Times are in modelled milliseconds.
type Result struct {
	cfg RunConfig

	mu       sync.Mutex
	programs *hdrhistogram.Histogram
	turns    *hdrhistogram.Histogram
	firsts   *hdrhistogram.Histogram

	// Programs counts all programs, Completed those of which every turn was answered
	// within its timeout, Abandoned those whose caller left before.
	Programs, Completed, Abandoned int
	// Turns counts the answered turns, Refusals all refusals that callers received.
	Turns, Refusals int
	// Codes counts the programs that callers gave up after a refusal, by the code of the
	// last refusal.
	Codes map[structs.Code]int
}

func newResult(cfg RunConfig) *Result {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	}
	return &Result{cfg: cfg, programs: histogram(), turns: histogram(), firsts: histogram(), Codes: make(map[structs.Code]int)}
}

// add records one program. A program that was not completed counts with its whole time
// limit, so that refused or lost programs do not improve the latency.
func (r *Result) add(run *run, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Programs++
	r.Refusals += o.refusals
	r.Turns += len(o.latencies)
	for _, latency := range o.latencies {
		record(r.turns, run.modelled(latency))
	}
	for _, first := range o.firstTexts {
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
		latency = max(latency, o.timeLimit)
	}
	record(r.programs, latency)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	ms := min(max(d.Milliseconds(), histogramMin), histogramMax)
	_ = h.RecordValue(ms) // the value is within the histogram's bounds
}

// ProgramLatency returns a percentile of the time that programs waited for answers, counted
// from the intended starts, in modelled milliseconds.
func (r *Result) ProgramLatency(quantile float64) float64 {
	return float64(r.programs.ValueAtQuantile(quantile))
}

// TurnLatency returns a percentile of the time from the start of a turn to its answer.
func (r *Result) TurnLatency(quantile float64) float64 {
	return float64(r.turns.ValueAtQuantile(quantile))
}

// FirstToken returns a percentile of the time from the start of a turn to its first text.
func (r *Result) FirstToken(quantile float64) float64 {
	return float64(r.firsts.ValueAtQuantile(quantile))
}

// Goodput returns the number of completed programs per modelled minute of arrivals.
func (r *Result) Goodput() float64 {
	return float64(r.Completed) / r.cfg.Length.Minutes()
}
