package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/structs"
)

// staleHome is a home that answers from its state before the pause.
type staleHome struct{ home.Home }

func (staleHome) Read(context.Context, home.Read) (structs.ProgramView, error) {
	return structs.ProgramView{Turns: 1}, nil
}

func (staleHome) Turn(context.Context, home.Turn, func(structs.TurnEvent) error) error {
	return structs.Refusalf(structs.CodeTurnOutOfOrder, structs.OutcomeNotRun, "submit turn", "turn 3 is not the next turn 2")
}

func (staleHome) End(context.Context, home.End) error { return nil }

// A home that was paused refuses all requests about its programs until the platform
// confirms that its log is not sealed. Otherwise it could answer from outdated state
// when another entry took over its programs during the pause.
func TestPausedHomeRefusesUntilLogConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var offset atomic.Int64
		detector := newPauseDetector(func() time.Time { return time.Now().Add(time.Duration(offset.Load())) })
		l := &localHome{Home: staleHome{}, pauseDetector: detector}
		var confirmed atomic.Bool
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- detector.run(ctx, func(context.Context) bool { return confirmed.Load() }) }()
		time.Sleep(time.Second)

		callAll := func() []error {
			_, read := l.Read(ctx, home.Read{Program: "e1-a.1"})
			return []error{
				read,
				l.Turn(ctx, home.Turn{Program: "e1-a.1", Number: 3}, nil),
				l.End(ctx, home.End{Program: "e1-a.1"}),
			}
		}
		isUnconfirmed := func(err error) bool {
			var r *structs.Refusal
			return errors.As(err, &r) && r.Step == home.StepTakeover
		}
		for _, err := range callAll() {
			if isUnconfirmed(err) {
				t.Errorf("a home that was never paused refuses as unconfirmed: %v", err)
			}
		}
		// The process is paused for 5 s. Requests run before the detector's next tick.
		offset.Store(int64(5 * time.Second))
		for _, wait := range []time.Duration{0, time.Second} {
			time.Sleep(wait)
			for i, err := range callAll() {
				if !isUnconfirmed(err) {
					t.Errorf("call %d of a paused home after %s: got %v, want the refusal as unconfirmed", i, wait, err)
				}
			}
		}
		confirmed.Store(true)
		time.Sleep(time.Second)
		for _, err := range callAll() {
			if isUnconfirmed(err) {
				t.Errorf("a home whose log was confirmed refuses as unconfirmed: %v", err)
			}
		}
		cancel()
		<-done
	})
}
