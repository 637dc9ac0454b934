package workload

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// ProgramRef identifies an open program and its organisation.
type ProgramRef struct {
	ID           structs.ProgramID
	Organisation structs.OrganisationID
}

// System is the system under load. Its methods return a *structs.Refusal or the error of
// the context.
type System interface {
	Open(ctx context.Context, spec structs.ProgramSpec) (structs.ProgramID, error)
	// Turn runs one turn to its answer and calls first when the first text arrives. It may
	// call first again for later text.
	Turn(ctx context.Context, program ProgramRef, number uint32, key, content string, first func()) error
	Close(ctx context.Context, program ProgramRef) error
}

// RunConfig configures a run.
type RunConfig struct {
	// TimeScale is the real time of one modelled second.
	TimeScale float64
	// Length is the modelled time during which programs start.
	Length time.Duration
	// Drain is how long programs may continue after Length, in modelled time.
	Drain time.Duration
}

// maxTurnAttempts is the maximum number of attempts of an open or a turn that is refused.
const maxTurnAttempts = 4

// Run runs the programs against the system and returns the measurements. Programs start at
// their intended times; a caller gives up its program when a turn times out.
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

// real converts modelled time to real time.
func (r *run) real(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.cfg.TimeScale)
}

// modelled converts real time to modelled time.
func (r *run) modelled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / r.cfg.TimeScale)
}

// program runs one program to its end and records its outcome.
func (r *run) program(ctx context.Context, n int, p *Program) {
	intended := r.started.Add(r.real(p.Start))
	o := outcome{programStart: intended, timeLimit: p.Spec.TurnTimeout * time.Duration(len(p.Turns))}
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
	defer func() { _ = r.system.Close(context.WithoutCancel(ctx), program) }() // a program that cannot be closed ends when its lease expires
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

// open opens a program, with up to maxTurnAttempts attempts within one turn timeout.
func (r *run) open(ctx context.Context, spec structs.ProgramSpec, intended time.Time, o *outcome) (structs.ProgramID, bool) {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(spec.TurnTimeout))
	defer cancel()
	for range maxTurnAttempts {
		id, err := r.system.Open(ctx, spec)
		if err == nil {
			return id, true
		}
		if !r.waitToRetry(ctx, err, o) {
			break
		}
	}
	return "", false
}

// turn runs one turn, with up to maxTurnAttempts attempts, and reports whether it was
// answered within the timeout.
func (r *run) turn(ctx context.Context, program ProgramRef, number uint32, t Turn, intended time.Time, timeout time.Duration, o *outcome) bool {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(timeout))
	defer cancel()
	var first time.Time
	key := fmt.Sprintf("turn-%d", number)
	for range maxTurnAttempts {
		err := r.system.Turn(ctx, program, number, key, t.Content, func() {
			if first.IsZero() {
				first = time.Now()
			}
		})
		if err == nil {
			o.addTurn(intended, first)
			return true
		}
		if !r.waitToRetry(ctx, err, o) {
			break
		}
	}
	o.waited += time.Since(intended)
	return false
}

// waitToRetry waits for the RetryAfter of a refusal and reports whether to retry.
func (r *run) waitToRetry(ctx context.Context, err error, o *outcome) bool {
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

// sleep waits for d and reports false if ctx ended before.
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
