package workload

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// ProgramRef names an open program and its organisation.
type ProgramRef struct {
	ID           structs.ProgramID
	Organisation structs.OrganisationID
}

// System is what a workload is run against. Errors are *structs.Refusal or the
// context's own.
type System interface {
	Open(ctx context.Context, spec structs.ProgramSpec) (structs.ProgramID, error)
	// Turn runs one turn to its answer; it calls first when text first arrives.
	Turn(ctx context.Context, program ProgramRef, number uint32, key, content string, first func()) error
	Close(ctx context.Context, program ProgramRef) error
}

// RunConfig sets up a run.
type RunConfig struct {
	// TimeScale is the real time of one modelled second.
	TimeScale float64
	// Length is the time over which programs start.
	Length time.Duration
	// Drain is how long programs may go on after the last start.
	Drain time.Duration
}

// maxTurnTries bounds how often a refused turn is submitted.
const maxTurnTries = 4

// Run drives the programs against the system and returns what was measured. Programs
// start at their intended moments; a caller whose patience ends leaves its program.
func Run(ctx context.Context, system System, programs []Program, cfg RunConfig) *Result {
	r := &run{system: system, cfg: cfg, result: newResult(cfg), started: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, r.real(cfg.Length+cfg.Drain))
	defer cancel()
	var running sync.WaitGroup
	for i := range programs {
		if !sleep(ctx, time.Until(r.started.Add(r.real(programs[i].Start)))) {
			break
		}
		running.Go(func() { r.program(ctx, i, &programs[i]) })
	}
	running.Wait()
	return r.result
}

type run struct {
	system  System
	cfg     RunConfig
	started time.Time
	result  *Result
}

// real turns modelled time into real time, modelled the other way round.
func (r *run) real(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.cfg.TimeScale)
}

func (r *run) modelled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / r.cfg.TimeScale)
}

// program runs one program to its end and records it.
func (r *run) program(ctx context.Context, n int, p *Program) {
	intended := r.started.Add(r.real(p.Start))
	o := outcome{programStart: intended, patience: p.Spec.TurnTimeout * time.Duration(len(p.Turns))}
	r.turns(ctx, n, p, intended, &o)
	r.result.add(r, o)
}

func (r *run) turns(ctx context.Context, n int, p *Program, intended time.Time, o *outcome) {
	spec := p.Spec
	spec.TurnTimeout = r.real(spec.TurnTimeout)
	spec.Key = fmt.Sprintf("program-%d", n)
	id, ok := r.open(ctx, spec, intended, o)
	if !ok {
		return
	}
	program := ProgramRef{ID: id, Organisation: spec.Organisation}
	defer func() { _ = r.system.Close(context.WithoutCancel(ctx), program) }() // a program that cannot be closed ends by its lease
	for i, t := range p.Turns {
		if i > 0 {
			if !sleep(ctx, r.real(t.Think)) {
				return
			}
			intended = time.Now()
		}
		if !r.turn(ctx, program, uint32(i+1), t, intended, spec.TurnTimeout, o) {
			return
		}
	}
	o.completed = true
}

// open opens a program, and again when it was refused, until the patience ends.
func (r *run) open(ctx context.Context, spec structs.ProgramSpec, intended time.Time, o *outcome) (structs.ProgramID, bool) {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(spec.TurnTimeout))
	defer cancel()
	for range maxTurnTries {
		id, err := r.system.Open(ctx, spec)
		if err == nil {
			return id, true
		}
		if !r.comeBack(ctx, err, o) {
			break
		}
	}
	return "", false
}

// turn runs one turn; it reports whether the answer came within the patience.
func (r *run) turn(ctx context.Context, program ProgramRef, number uint32, t Turn, intended time.Time, patience time.Duration, o *outcome) bool {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(patience))
	defer cancel()
	var first time.Time
	key := fmt.Sprintf("turn-%d", number)
	for range maxTurnTries {
		err := r.system.Turn(ctx, program, number, key, t.Content, func() {
			if first.IsZero() {
				first = time.Now()
			}
		})
		if err == nil {
			o.turn(intended, first)
			return true
		}
		if !r.comeBack(ctx, err, o) {
			break
		}
	}
	o.waited += time.Since(intended)
	return false
}

// comeBack waits as a refusal asks; it reports whether to try again.
func (r *run) comeBack(ctx context.Context, err error, o *outcome) bool {
	if ctx.Err() != nil {
		o.abandoned = true
		return false
	}
	refusal := structs.AsRefusal(err)
	o.refusals++
	o.lastRefusal = refusal.Code
	if refusal.RetryAfter <= 0 {
		return false
	}
	if !sleep(ctx, refusal.RetryAfter) {
		o.abandoned = true
		return false
	}
	return true
}

// sleep waits for d; it reports whether ctx still runs.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
