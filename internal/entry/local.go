package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
)

// localHome is the home of this process. It checks readiness, admission and, after a pause,
// the ownership of the log before it passes a request to the runner.
type localHome struct {
	home.Home

	log           structs.LogID
	pauseDetector *pauseDetector
	router        *router
	notReady      func() string
	preset        func() structs.Preset
	turnTimeout   func(kind string) time.Duration
	// openPrograms returns the number of programs whose home is this entry; openLimit bounds it.
	openPrograms func() int
	openLimit    int

	// turnRuns are the goroutines of admitted turns; each runs until its turn has ended.
	turnRuns sync.WaitGroup

	mu sync.Mutex
	// takeovers counts the logs whose programs are being taken over.
	takeovers int
	machine   *admission.Machine
	// turnTimes holds the average duration of turns by program kind.
	turnTimes map[string]time.Duration
}

var _ home.Home = (*localHome)(nil)

// notReadyRetry is the retry delay after a refusal by an entry that takes no new work yet.
const notReadyRetry = time.Second

// Open implements home.Home. It refuses while the process takes no new work.
func (l *localHome) Open(ctx context.Context, spec structs.ProgramSpec) (structs.ProgramID, error) {
	if !l.pauseDetector.ownershipConfirmed() {
		return "", errOwnershipUnconfirmed()
	}
	if reason := l.notReady(); reason != "" {
		return "", errNotReady("open program", reason)
	}
	if open := l.openPrograms(); open >= l.openLimit {
		return "", l.errProgramLimit(open)
	}
	return l.Home.Open(ctx, spec)
}

// programLimitRetry is the retry delay after a refusal by an entry with openLimit programs.
const programLimitRetry = 10 * time.Second

// errProgramLimit returns the refusal of a program beyond openLimit.
func (l *localHome) errProgramLimit(open int) error {
	r := structs.Refusalf(structs.CodeOverloaded, structs.OutcomeNotRun, "open program",
		"%d programs are at home here, the limit is %d", open, l.openLimit)
	r.RetryAfter = programLimitRetry
	return r
}

// errNotReady returns the refusal of new work by an entry that is not ready.
func errNotReady(step, reason string) error {
	r := structs.Refusalf(structs.CodeNotReady, structs.OutcomeNotRun, step, "the entry takes no new work: %s", reason)
	r.RetryAfter = notReadyRetry
	return r
}

// Turn implements home.Home. A new turn must pass admission, unless the policy in force is
// a baseline. A call that attaches to a submitted turn, or repeats it, needs no admission.
func (l *localHome) Turn(ctx context.Context, turn home.Turn, event func(structs.TurnEvent) error) error {
	if !l.pauseDetector.ownershipConfirmed() {
		return errOwnershipUnconfirmed()
	}
	if turn.Attach {
		return l.explainNotFound(turn.Program, l.Home.Turn(ctx, turn, event))
	}
	view, err := l.Home.Read(ctx, home.Read{Program: turn.Program, Organisation: turn.Organisation})
	if err != nil {
		return l.explainNotFound(turn.Program, err)
	}
	if turn.Number != view.Turns+1 || view.State == structs.ProgramRunning {
		return l.Home.Turn(ctx, turn, event)
	}
	if reason := l.notReady(); reason != "" {
		return errNotReady("turn", reason)
	}
	if routing.IsBaseline(l.preset().Policy) {
		return l.Home.Turn(ctx, turn, event)
	}
	if err := l.admit(view, turn); err != nil {
		return err
	}
	return l.runTurn(ctx, view, turn, event)
}

// runTurn runs an admitted turn to its end, even if its caller disconnects earlier, and then
// reports the end to the admission machine.
func (l *localHome) runTurn(ctx context.Context, view structs.ProgramView, turn home.Turn, event func(structs.TurnEvent) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan structs.TurnEvent)
	done := make(chan error, 1)
	l.turnRuns.Go(func() {
		started := time.Now()
		err := l.Home.Turn(context.WithoutCancel(ctx), turn, func(e structs.TurnEvent) error {
			select {
			case events <- e:
			case <-ctx.Done():
			}
			return nil
		})
		l.turnEnded(view, err, time.Since(started))
		done <- err
	})
	for {
		select {
		case e := <-events:
			if err := event(e); err != nil {
				return err
			}
		case err := <-done:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// End implements home.Home.
func (l *localHome) End(ctx context.Context, end home.End) error {
	if !l.pauseDetector.ownershipConfirmed() {
		return errOwnershipUnconfirmed()
	}
	return l.explainNotFound(end.Program, l.Home.End(ctx, end))
}

// Read implements home.Home.
func (l *localHome) Read(ctx context.Context, read home.Read) (structs.ProgramView, error) {
	if !l.pauseDetector.ownershipConfirmed() {
		return structs.ProgramView{}, errOwnershipUnconfirmed()
	}
	view, err := l.Home.Read(ctx, read)
	return view, l.explainNotFound(read.Program, err)
}

// explainNotFound returns err, or a retryable refusal in place of "not found" for a
// program of another log: while logs are being taken over, it may not have arrived yet.
func (l *localHome) explainNotFound(id structs.ProgramID, err error) error {
	var r *structs.Refusal
	if !errors.As(err, &r) || r.Code != structs.CodeNotFound || id.Log() == l.log {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.takeovers == 0 {
		return err
	}
	refusal := structs.Refusalf(structs.CodeNotReady, structs.OutcomeNotRun, home.StepTakeover,
		"program %q may be among those that are being taken over", id)
	refusal.RetryAfter = notReadyRetry
	return refusal
}

// beginTakeover and endTakeover enclose the takeover of a log, see explainNotFound.
func (l *localHome) beginTakeover() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takeovers++
}

func (l *localHome) endTakeover() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takeovers--
}

// admit offers one turn to the admission machine and returns its refusal, if any.
func (l *localHome) admit(view structs.ProgramView, turn home.Turn) error {
	now := time.Now()
	offer := admission.Offer{
		Program:      view.ID,
		Organisation: view.Spec.Organisation,
		Kind:         view.Spec.Kind,
		Started:      turn.Number > 1,
		Deadline:     now.Add(l.turnTimeoutOf(view.Spec)),
	}
	offer.Wait, offer.Predicted = l.predict(now, view, turn)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Step(now, admission.Resize{Capacity: l.capacity(now)})
	for _, effect := range l.machine.Step(now, offer) {
		if refuse, ok := effect.(admission.Refuse); ok {
			return refuse.Refusal
		}
	}
	return nil
}

// turnTimeoutOf returns how long the program's caller waits for a turn.
func (l *localHome) turnTimeoutOf(spec structs.ProgramSpec) time.Duration {
	if spec.TurnTimeout != 0 {
		return spec.TurnTimeout
	}
	return l.turnTimeout(spec.Kind)
}

// Limits of the turns that run at an entry at the same time.
const (
	// turnsPerSlot is the number of admitted turns per batch slot of the model engines.
	// Most turns wait for tools or in a queue at any moment. The slots count in full at
	// each entry, although all entries share the engines: a burst may arrive at one entry.
	turnsPerSlot = 4
	// minTurns is the limit while few or no engines are known.
	minTurns = 64
)

// capacity returns the number of turns that may run at this entry at the same time.
func (l *localHome) capacity(now time.Time) int {
	return max(minTurns, turnsPerSlot*l.router.batchSlots(now))
}

// predict returns the expected wait until an upstream starts the turn's first call, and
// the expected total time until the turn's answer: the greater of the time until the first
// call ends and of the wait plus the average duration of turns of its kind. Both are 0 when
// no upstream is available.
func (l *localHome) predict(now time.Time, view structs.ProgramView, turn home.Turn) (wait, total time.Duration) {
	call := structs.ModelCall{
		Program:      view.ID,
		Organisation: view.Spec.Organisation,
		Kind:         view.Spec.Kind,
		Model:        view.Spec.Model,
		Turn:         turn.Number,
		Messages: []structs.Message{
			{Role: structs.RoleSystem, Content: view.Spec.System},
			{Role: structs.RoleUser, Content: turn.Content},
		},
	}
	d, ok := l.router.predict(now, &call, kvcache.Blocks(call.Messages))
	if !ok {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return d.Wait, max(d.Finish(), d.Wait+l.turnTimes[view.Spec.Kind])
}

// turnSmoothing is the weight of the newest turn in the moving average of turn durations.
const turnSmoothing = 0.05

// maxKinds bounds the program kinds whose turn durations are tracked.
const maxKinds = 256

// turnEnded reports the end of a turn to the admission machine and updates the average
// duration of turns of its kind.
func (l *localHome) turnEnded(view structs.ProgramView, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Step(time.Now(), admission.Ended{Program: view.ID, Late: took > l.turnTimeoutOf(view.Spec)})
	if err != nil {
		return
	}
	kind := view.Spec.Kind
	average, ok := l.turnTimes[kind]
	if !ok && len(l.turnTimes) >= maxKinds {
		return
	}
	if !ok {
		average = took
	}
	l.turnTimes[kind] = average + time.Duration(turnSmoothing*float64(took-average))
}

// setPreset passes the preset in force to the admission machine.
func (l *localHome) setPreset(p structs.Preset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Step(time.Now(), admission.Switch{Preset: p})
}

// running returns the number of admitted turns that are running.
func (l *localHome) running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Running()
}
