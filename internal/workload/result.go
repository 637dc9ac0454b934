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

// outcome is the outcome of one program. Times are real unless stated otherwise.
type outcome struct {
	programStart time.Time
	// timeLimit is the sum of the timeouts of its turns, in modelled time.
	timeLimit time.Duration
	// latencies has the latency of each answered turn, firstTexts the time to the first text
	// of those that had text before the answer.
	latencies  []time.Duration
	firstTexts []time.Duration
	// waited is the time that the caller waited for answers, without think times.
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

	// Programs counts the programs that were started, Completed those of which every turn
	// was answered within its timeout, Abandoned those whose caller left because an open or
	// a turn timed out or was cut off by the end of the run.
	Programs, Completed, Abandoned int
	// Turns counts the answered turns, Refusals all refusals that callers received.
	Turns, Refusals int
	// Codes counts the programs that callers gave up after a refusal, by the code of the
	// last refusal. A program that the end of the run cut off between two turns counts here
	// too; its code is empty if it had no refusal.
	Codes map[structs.Code]int
}

func newResult(cfg RunConfig) *Result {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	}
	return &Result{cfg: cfg, programs: histogram(), turns: histogram(), firsts: histogram(), Codes: make(map[structs.Code]int)}
}

// add records one program. The latency of a program that was not completed is at least its
// whole time limit, so that refused or lost programs do not improve the latency.
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

// record adds d to the histogram in milliseconds, limited to the histogram's bounds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	ms := min(max(d.Milliseconds(), histogramMin), histogramMax)
	_ = h.RecordValue(ms) // the value is within the histogram's bounds
}

// ProgramLatency returns a percentile, from 0 to 100, of the time that the callers of programs
// waited for answers, in modelled milliseconds. The wait for the first answer counts from the
// intended start of the program.
func (r *Result) ProgramLatency(percentile float64) float64 {
	return float64(r.programs.ValueAtQuantile(percentile))
}

// TurnLatency returns a percentile, from 0 to 100, of the time from the intended start of a
// turn to its answer.
func (r *Result) TurnLatency(percentile float64) float64 {
	return float64(r.turns.ValueAtQuantile(percentile))
}

// FirstToken returns a percentile, from 0 to 100, of the time from the intended start of a turn
// to its first text.
func (r *Result) FirstToken(percentile float64) float64 {
	return float64(r.firsts.ValueAtQuantile(percentile))
}

// Goodput returns the number of completed programs per modelled minute of arrivals.
func (r *Result) Goodput() float64 {
	return float64(r.Completed) / r.cfg.Length.Minutes()
}
