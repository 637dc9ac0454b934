package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Timing of the pause detection.
const (
	// pauseCheckInterval is the time between two ticks.
	pauseCheckInterval = 100 * time.Millisecond
	// pauseThreshold is the time without a tick that counts as a pause. It is shorter
	// than the default suspicion timeout of 1 s, so no log is taken over during a pause
	// that is too short to be detected. Nothing checks that membership.suspicion in the
	// settings is longer than it.
	pauseThreshold = 700 * time.Millisecond
)

// pauseDetector detects that the process was paused, for example by SIGSTOP or a frozen
// VM. After a pause a home cannot know whether its programs were taken over meanwhile.
// Until the platform confirms that its log is not sealed, it refuses requests about them.
type pauseDetector struct {
	// lastTick is the time of the last tick in Unix nanoseconds.
	lastTick    atomic.Int64
	unconfirmed atomic.Bool
	now         func() time.Time
}

func newPauseDetector(now func() time.Time) *pauseDetector {
	p := &pauseDetector{now: now}
	p.lastTick.Store(now().UnixNano())
	return p
}

// tick records the time. After a pause it marks the ownership as unconfirmed.
func (p *pauseDetector) tick() {
	if p.paused() {
		p.unconfirmed.Store(true)
	}
	p.lastTick.Store(p.now().UnixNano())
}

// paused reports whether the last tick is more than pauseThreshold ago.
func (p *pauseDetector) paused() bool {
	return p.now().UnixNano()-p.lastTick.Load() > int64(pauseThreshold)
}

// ownershipConfirmed reports whether the process may answer as the home of its programs.
func (p *pauseDetector) ownershipConfirmed() bool { return !p.unconfirmed.Load() && !p.paused() }

// run ticks every pauseCheckInterval until ctx ends. After a pause it calls confirm at
// each tick until that reports that the log of the home is not sealed.
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

// confirmOwnLog reports whether the platform confirms that the log of this process is not
// sealed. It stops the home when the log is sealed.
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

// errOwnershipUnconfirmed returns the refusal of a home that was paused. Its step makes
// the directory of the calling entry look up the home again.
func errOwnershipUnconfirmed() error {
	r := structs.Refusalf(structs.CodeNotReady, structs.OutcomeNotRun, home.StepTakeover,
		"this process was paused and does not know yet whether it is still the home")
	r.RetryAfter = notReadyRetry
	return r
}
