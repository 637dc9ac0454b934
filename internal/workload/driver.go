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

// System is the system under load. The driver counts every error as a refusal, unless the
// context has ended. It retries only after a *structs.Refusal with a RetryAfter.
type System interface {
	// Open opens a program. A retry has the same spec.Key.
	Open(ctx context.Context, spec structs.ProgramSpec) (structs.ProgramID, error)
	// Turn runs one turn to its answer and calls first when the first text arrives. It may
	// call first again for later text. A retry has the same key.
	Turn(ctx context.Context, program ProgramRef, number uint32, key, content string, first func()) error
	// Close ends a program.
	Close(ctx context.Context, program ProgramRef) error
}

// RunConfig configures a run.
type RunConfig struct {
	// TimeScale is the number of real seconds in one modelled second.
	TimeScale float64
	// Length is the modelled time during which programs start.
	Length time.Duration
	// Drain is the modelled time after Length during which programs may still complete.
	Drain time.Duration
}

// maxAttempts is the maximum number of attempts to open a program or to run a turn.
const maxAttempts = 4

// Run runs the programs against the system and returns the measurements. Programs start at
// their intended times. A caller gives up its program when an open or a turn times out or
// is refused without a further attempt.
func Run(ctx context.Context, system System, programs []Program, cfg RunConfig) *Result {
	r := &run{system: system, cfg: cfg, result: newResult(cfg), started: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, r.real(cfg.Length+cfg.Drain))
	defer cancel()
	var running sync.WaitGroup
	for i := range programs {
		if !sleep(ctx, time.Until(r.started.Add(r.real(programs[i].Start)))) {
			break
		}
		running.Go(func() { r.runProgram(ctx, i, &programs[i]) })
	}
	running.Wait()
	return r.result
}

// run is the state of one call of Run.
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

// runProgram runs the n-th program to its end and records its outcome.
func (r *run) runProgram(ctx context.Context, n int, p *Program) {
	intended := r.started.Add(r.real(p.Start))
	o := outcome{programStart: intended, timeLimit: p.Spec.TurnTimeout * time.Duration(len(p.Turns))}
	r.runTurns(ctx, n, p, intended, &o)
	r.result.add(r, o)
}

// runTurns opens the program, runs its turns one after another and closes the program. It stops
// at the first turn that is not answered.
func (r *run) runTurns(ctx context.Context, n int, p *Program, intended time.Time, o *outcome) {
	spec := p.Spec
	spec.TurnTimeout = r.real(spec.TurnTimeout)
	spec.Key = fmt.Sprintf("program-%d", n)
	id, ok := r.open(ctx, spec, intended, o)
	if !ok {
		return
	}
	program := ProgramRef{ID: id, Organisation: spec.Organisation}
	defer func() { _ = r.system.Close(context.WithoutCancel(ctx), program) }() // a program that cannot be closed stays open
	for i, t := range p.Turns {
		if i > 0 {
			if !sleep(ctx, r.real(t.Think)) {
				return
			}
			intended = time.Now() // a later turn is due after the think time
		}
		if !r.runTurn(ctx, program, uint32(i+1), t, intended, spec.TurnTimeout, o) {
			return
		}
	}
	o.completed = true
}

// open opens a program, with up to maxAttempts attempts within one turn timeout. It reports
// whether the program was opened.
func (r *run) open(ctx context.Context, spec structs.ProgramSpec, intended time.Time, o *outcome) (structs.ProgramID, bool) {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(spec.TurnTimeout))
	defer cancel()
	for range maxAttempts {
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

// runTurn runs one turn, with up to maxAttempts attempts, and reports whether it was answered
// within the timeout.
func (r *run) runTurn(ctx context.Context, program ProgramRef, number uint32, t Turn, intended time.Time, timeout time.Duration, o *outcome) bool {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(timeout))
	defer cancel()
	var first time.Time
	key := fmt.Sprintf("turn-%d", number)
	for range maxAttempts {
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

// waitToRetry records the refusal in err, waits for its RetryAfter and reports whether to retry.
// If ctx ends, it records that the caller left.
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

// sleep waits for d. It reports false if ctx ended first.
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
