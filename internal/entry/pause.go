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
	pauseCheckInterval = 100 * time.Millisecond
	// pauseBound is the silence of the pulse that counts as a pause. It is shorter
	// than any suspicion, so that no log is taken over within it.
	pauseThreshold = 700 * time.Millisecond
)

// pulse notices that the process was paused, as by SIGSTOP or a frozen VM. A home
// that wakes does not know yet whether its programs run elsewhere by now: until the
// platform says that its log is unsealed, it answers nothing about them.
type pauseDetector struct {
	// last is the time of the last beat in Unix nanoseconds.
	lastTick    atomic.Int64
	unconfirmed atomic.Bool
	now         func() time.Time
}

func newPauseDetector(now func() time.Time) *pauseDetector {
	p := &pauseDetector{now: now}
	p.lastTick.Store(now().UnixNano())
	return p
}

// beat notes the time; a pause before it makes the home unsure.
func (p *pauseDetector) tick() {
	if p.paused() {
		p.unconfirmed.Store(true)
	}
	p.lastTick.Store(p.now().UnixNano())
}

func (p *pauseDetector) paused() bool {
	return p.now().UnixNano()-p.lastTick.Load() > int64(pauseThreshold)
}

// sure reports whether the process may speak as the home of its programs.
func (p *pauseDetector) ownershipConfirmed() bool { return !p.unconfirmed.Load() && !p.paused() }

// run beats until ctx ends. After a pause it calls confirm at each beat until that
// reports that the home's log is unsealed.
func (p *pauseDetector) run(ctx context.Context, confirm func(context.Context) bool) error {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		p.tick()
		if p.unconfirmed.Load() && confirm(ctx) {
			p.unconfirmed.Store(false)
			p.lastTick.Store(p.now().UnixNano())
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
func errOwnershipUnconfirmed() error {
	r := structs.Refusalf(structs.CodeNotReady, structs.OutcomeNotRun, home.StepAdoption,
		"this process was paused and does not know yet whether it is still the home")
	r.RetryAfter = notReadyRetry
	return r
}
