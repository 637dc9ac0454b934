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

// local is the home of this process: the runner behind readiness and admission.
type local struct {
	home.Home

	log      structs.LogID
	pulse    *pulse
	router   *router
	notReady func() string
	preset   func() structs.Preset
	patience func(kind string) time.Duration
	// open returns the number of programs at home here, which openLimit bounds.
	open      func() int
	openLimit int

	// followers are the turns that are followed to their end.
	followers sync.WaitGroup

	// adopting counts the logs whose programs are being taken over.
	mu        sync.Mutex
	adopting  int
	machine   *admission.Machine
	turnTimes map[string]time.Duration
}

var _ home.Home = (*local)(nil)

// readyRetry is when to come back to an entry that takes no new work yet.
const readyRetry = time.Second

// Open implements home.Home. It refuses while the process takes no new work.
func (l *local) Open(ctx context.Context, spec structs.ProgramSpec) (structs.ProgramID, error) {
	if !l.pulse.sure() {
		return "", errUnsure()
	}
	if reason := l.notReady(); reason != "" {
		return "", errNotReady("open program", reason)
	}
	if open := l.open(); open >= l.openLimit {
		return "", l.full(open)
	}
	return l.Home.Open(ctx, spec)
}

// fullRetry is when to come back to an entry that has its fill of programs.
const fullRetry = 10 * time.Second

func (l *local) full(open int) error {
	r := structs.Refusalf(structs.CodeOverloaded, structs.OutcomeNotRun, "open program",
		"%d programs are at home here, the limit is %d", open, l.openLimit)
	r.RetryAfter = fullRetry
	return r
}

func errNotReady(step, reason string) error {
	r := structs.Refusalf(structs.CodeNotReady, structs.OutcomeNotRun, step, "the entry takes no new work: %s", reason)
	r.RetryAfter = readyRetry
	return r
}

// Turn implements home.Home. A turn that is new work passes admission; one that
// was submitted before is joined in any case.
func (l *local) Turn(ctx context.Context, turn home.Turn, event func(structs.TurnEvent) error) error {
	if !l.pulse.sure() {
		return errUnsure()
	}
	if turn.Attach {
		return l.present(turn.Program, l.Home.Turn(ctx, turn, event))
	}
	view, err := l.Home.Read(ctx, home.Read{Program: turn.Program, Organisation: turn.Organisation})
	if err != nil {
		return l.present(turn.Program, err)
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
	return l.follow(ctx, view, turn, event)
}

// follow runs an admitted turn to its end, also when its caller leaves before,
// and then gives its admission back.
func (l *local) follow(ctx context.Context, view structs.ProgramView, turn home.Turn, event func(structs.TurnEvent) error) error {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	events := make(chan structs.TurnEvent)
	done := make(chan error, 1)
	l.followers.Go(func() {
		started := time.Now()
		err := l.Home.Turn(context.WithoutCancel(ctx), turn, func(e structs.TurnEvent) error {
			select {
			case events <- e:
			case <-ctx.Done():
			}
			return nil
		})
		l.ended(view, err, time.Since(started))
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
func (l *local) End(ctx context.Context, end home.End) error {
	if !l.pulse.sure() {
		return errUnsure()
	}
	return l.present(end.Program, l.Home.End(ctx, end))
}

// Read implements home.Home.
func (l *local) Read(ctx context.Context, read home.Read) (structs.ProgramView, error) {
	if !l.pulse.sure() {
		return structs.ProgramView{}, errUnsure()
	}
	view, err := l.Home.Read(ctx, read)
	return view, l.present(read.Program, err)
}

// present returns err, but says that a program of another log may still be on its
// way while logs are being taken over.
func (l *local) present(id structs.ProgramID, err error) error {
	var r *structs.Refusal
	if !errors.As(err, &r) || r.Code != structs.CodeNotFound || id.Log() == l.log {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.adopting == 0 {
		return err
	}
	late := structs.Refusalf(structs.CodeNotReady, structs.OutcomeNotRun, home.StepTakeover,
		"program %q may be among those that are being taken over", id)
	late.RetryAfter = readyRetry
	return late
}

func (l *local) beginAdoption() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adopting++
}

func (l *local) endAdoption() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adopting--
}

// admit asks the admission machine for one turn.
func (l *local) admit(view structs.ProgramView, turn home.Turn) error {
	now := time.Now()
	offer := admission.Offer{
		Program:      view.ID,
		Organisation: view.Spec.Organisation,
		Kind:         view.Spec.Kind,
		Started:      turn.Number > 1,
		Deadline:     now.Add(l.patienceOf(view.Spec)),
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

// patienceOf returns how long the program's caller waits for a turn.
func (l *local) patienceOf(spec structs.ProgramSpec) time.Duration {
	if spec.TurnTimeout != 0 {
		return spec.TurnTimeout
	}
	return l.patience(spec.Kind)
}

// Turns that an entry lets in for each call that the engines run at once: most
// turns pause for tools or wait in a queue at any moment. The engines are shared
// with the other entries, but each entry alone must be able to carry a rush.
const (
	turnsPerSlot = 4
	minTurns     = 64
)

// capacity returns the number of turns that may be under way at this entry.
func (l *local) capacity(now time.Time) int { return max(minTurns, turnsPerSlot*l.router.slots(now)) }

// predict returns the time until an upstream starts the turn's first call, and
// until the turn's answer by what turns of its kind took lately.
func (l *local) predict(now time.Time, view structs.ProgramView, turn home.Turn) (wait, whole time.Duration) {
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

// turnSmoothing is the weight of the newest turn in the time that a kind's turns take.
const turnSmoothing = 0.05

// maxKinds bounds the program kinds whose turn times are kept.
const maxKinds = 256

func (l *local) ended(view structs.ProgramView, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Step(time.Now(), admission.Ended{Program: view.ID, Late: took > l.patienceOf(view.Spec)})
	if err != nil {
		return
	}
	kind := view.Spec.Kind
	known, ok := l.turnTimes[kind]
	if !ok && len(l.turnTimes) >= maxKinds {
		return
	}
	if !ok {
		known = took
	}
	l.turnTimes[kind] = known + time.Duration(turnSmoothing*float64(took-known))
}

func (l *local) setPreset(p structs.Preset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Step(time.Now(), admission.Switch{Preset: p})
}

// running returns the number of admitted turns under way.
func (l *local) running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Running()
}
