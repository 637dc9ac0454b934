package faulttrial

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Targets of the trial: the longest times of RecoverySeconds, PresetSeconds and DrainSeconds
// that a Result should have. They are printed with the report; a missed target does not fail
// the trial.
const (
	RecoveryTarget = 3 * time.Second
	PresetTarget   = time.Second
	DrainTarget    = 2 * time.Second
)

// Counts has the counts of one scenario. LostTurns, DoubleActions, FalseNotRun and
// CutRequests must be zero.
type Counts struct {
	// Programs is the number of programs that were opened, Answers the number of answers
	// to turns (a turn that was lost before it was durable and sent again counts twice), and
	// WholeAnswers the number of answers that equal the scripted one.
	Programs     int `json:"programs"`
	Answers      int `json:"answers"`
	WholeAnswers int `json:"whole_answers"`
	// Orders is the number of calls of a plain service, each sent once.
	Orders int `json:"orders"`
	// LostTurns is the number of turns that were acknowledged as durable and are missing or
	// different in the history, or were never answered.
	LostTurns int `json:"lost_turns"`
	// UnansweredTurns is the number of LostTurns that were never answered.
	UnansweredTurns int `json:"unanswered_turns"`
	// DoubleActions is the number of executions of an action beyond its first.
	DoubleActions int `json:"double_actions"`
	// FalseNotRun is the number of turns and orders that ran although they were refused as not
	// run, and of orders that ran although the caller could not connect.
	FalseNotRun int `json:"false_not_run"`
	// CutRequests is the number of attempts of turns, and of orders, whose connection or stream
	// broke during a drain or a graceful shutdown, and of orders not answered within
	// plainTimeout then.
	CutRequests int `json:"cut_requests"`

	// Unopened is the number of programs that were never opened, WrongAnswers the number
	// of answers that differ from the scripted one or from what ran, UnreadHistories the
	// number of programs whose history no entry returned.
	Unopened        int `json:"unopened"`
	WrongAnswers    int `json:"wrong_answers"`
	UnreadHistories int `json:"unread_histories"`
	// LeakedHolds is the number of holds on KV cache that remain for ended programs.
	LeakedHolds int `json:"leaked_holds"`
	// PresetReverts is how often an entry reported a lower preset version than before.
	PresetReverts int `json:"preset_reverts"`
}

func (c *Counts) add(o Counts) {
	c.Programs += o.Programs
	c.Answers += o.Answers
	c.WholeAnswers += o.WholeAnswers
	c.Orders += o.Orders
	c.LostTurns += o.LostTurns
	c.UnansweredTurns += o.UnansweredTurns
	c.DoubleActions += o.DoubleActions
	c.FalseNotRun += o.FalseNotRun
	c.CutRequests += o.CutRequests
	c.Unopened += o.Unopened
	c.WrongAnswers += o.WrongAnswers
	c.UnreadHistories += o.UnreadHistories
	c.LeakedHolds += o.LeakedHolds
	c.PresetReverts += o.PresetReverts
}

// Failed reports whether one of the counts that must be zero is not.
func (c Counts) Failed() bool {
	return c.LostTurns+c.DoubleActions+c.FalseNotRun+c.CutRequests > 0
}

// Result is the outcome of one scenario.
type Result struct {
	Scenario string `json:"scenario"`
	Counts
	// RecoverySeconds has the times until the programs of a killed or stopped entry
	// continued, in ascending order; Stuck is the number of those that did not.
	RecoverySeconds []float64 `json:"recovery_seconds,omitempty"`
	Stuck           int       `json:"stuck,omitempty"`
	// PresetSeconds has the times until a switch was in force everywhere.
	PresetSeconds []float64 `json:"preset_seconds,omitempty"`
	// DrainSeconds has the time from a drain, or from the SIGTERM of a side, to the last start
	// of work at the upstream; negative if no work started after it.
	DrainSeconds []float64 `json:"drain_seconds,omitempty"`
	// ShutdownSeconds has the durations of graceful shutdowns.
	ShutdownSeconds []float64 `json:"shutdown_seconds,omitempty"`
	// EngineCrashes is how often one request crashed an engine; QuarantineSeconds has, for
	// each entry, the time until it first refused that request as quarantined.
	EngineCrashes     int       `json:"engine_crashes,omitempty"`
	QuarantineSeconds []float64 `json:"quarantine_seconds,omitempty"`
	// Seconds is the duration of the scenario.
	Seconds float64 `json:"seconds"`
	// Error is the reason why the scenario did not finish.
	Error string `json:"error,omitempty"`
}

// Report is the outcome of a trial.
type Report struct {
	Total     Counts   `json:"total"`
	Scenarios []Result `json:"scenarios"`
}

// Failed reports whether a scenario did not finish or a count that must be zero is not.
func (r Report) Failed() bool {
	for _, s := range r.Scenarios {
		if s.Error != "" {
			return true
		}
	}
	return r.Total.Failed()
}

func (r *Report) add(result Result) {
	r.Scenarios = append(r.Scenarios, result)
	r.Total.add(result.Counts)
}

// seconds returns the times in seconds, in ascending order.
func seconds(times []time.Duration) []float64 {
	out := make([]float64, len(times))
	for i, t := range times {
		out[i] = t.Seconds()
	}
	slices.Sort(out)
	return out
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) {
	const row = "%-16s %8v %6v %6v %5v %6v %9v %5v %6v %6v %8v %8v %8v\n"
	fmt.Fprintf(w, row, "scenario", "programs", "whole", "wrong", "lost", "double", "false n.r.", "cut", "holds",
		"stuck", "recovery", "preset", "drain")
	for _, s := range r.Scenarios {
		fmt.Fprintf(w, row, s.Scenario, s.Programs, s.WholeAnswers, s.WrongAnswers, s.LostTurns, s.DoubleActions,
			s.FalseNotRun, s.CutRequests, s.LeakedHolds, s.Stuck, longest(s.RecoverySeconds), longest(s.PresetSeconds), longest(s.DrainSeconds))
		if s.EngineCrashes > 0 {
			fmt.Fprintf(w, "  one request crashed engines %d times; quarantined at each entry after %.2f s\n", s.EngineCrashes, s.QuarantineSeconds)
		}
		if s.Error != "" {
			fmt.Fprintf(w, "  %s did not finish: %s\n", s.Scenario, s.Error)
		}
	}
	t := r.Total
	fmt.Fprintf(w, row, "total", t.Programs, t.WholeAnswers, t.WrongAnswers, t.LostTurns, t.DoubleActions,
		t.FalseNotRun, t.CutRequests, t.LeakedHolds, "", "", "", "")
	fmt.Fprintf(w, "targets: recovery %v, preset %v, drain %v; lost, double, false n.r. and cut must be 0\n",
		RecoveryTarget, PresetTarget, DrainTarget)
}

// longest returns the last of the sorted times as text, "-" if there is none.
func longest(times []float64) string {
	if len(times) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2fs", times[len(times)-1])
}
