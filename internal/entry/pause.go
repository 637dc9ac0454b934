package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Times of the watch over pauses of the process itself.
const (
	pulseInterval = 100 * time.Millisecond
	// pauseBound is the silence of the pulse that counts as a pause. It is shorter
	// than any suspicion, so that no log is taken over within it.
	pauseBound = 700 * time.Millisecond
)

// pulse notices that the process was paused, as by SIGSTOP or a frozen VM. A home
// that wakes does not know yet whether its programs run elsewhere by now: until the
// platform says that its log is unsealed, it answers nothing about them.
type pulse struct {
	// last is the time of the last beat in Unix nanoseconds.
	last   atomic.Int64
	unsure atomic.Bool
	now    func() time.Time
}

func newPulse(now func() time.Time) *pulse {
	p := &pulse{now: now}
	p.last.Store(now().UnixNano())
	return p
}

// beat notes the time; a pause before it makes the home unsure.
func (p *pulse) beat() {
	if p.paused() {
		p.unsure.Store(true)
	}
	p.last.Store(p.now().UnixNano())
}

func (p *pulse) paused() bool {
	return p.now().UnixNano()-p.last.Load() > int64(pauseBound)
}

// sure reports whether the process may speak as the home of its programs.
func (p *pulse) sure() bool { return !p.unsure.Load() && !p.paused() }

// run beats until ctx ends. After a pause it calls confirm at each beat until that
// reports that the home's log is unsealed.
func (p *pulse) run(ctx context.Context, confirm func(context.Context) bool) error {
	ticker := time.NewTicker(pulseInterval)
	defer ticker.Stop()
	for {
		p.beat()
		if p.unsure.Load() && confirm(ctx) {
			p.unsure.Store(false)
			p.last.Store(p.now().UnixNano())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// confirmOwnLog asks the platform whether the own log is unsealed, and stops the
// home when it is not.
func (e *entry) confirmOwnLog(ctx context.Context) bool {
	if err := e.checkOwnLog(ctx, superseded{}); err != nil {
		return false
	}
	select {
	case <-e.sealed:
		return false
	default:
		return true
	}
}

// errUnsure is the refusal of a home that was paused. Directories look for the home anew.
func errUnsure() error {
	r := structs.Refusalf(structs.CodeNotReady, structs.OutcomeNotRun, home.StepTakeover,
		"this process was paused and does not know yet whether it is still the home")
	r.RetryAfter = readyRetry
	return r
}
