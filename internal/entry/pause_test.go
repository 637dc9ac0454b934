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

// staleHome answers from the state that it had before its process was paused.
type staleHome struct{ home.Home }

func (staleHome) Read(context.Context, home.Read) (structs.ProgramView, error) {
	return structs.ProgramView{Turns: 1}, nil
}

func (staleHome) Turn(context.Context, home.Turn, func(structs.TurnEvent) error) error {
	return structs.Refusalf(structs.CodeTurnOutOfOrder, structs.OutcomeNotRun, "submit turn", "turn 3 is not the next turn 2")
}

func (staleHome) End(context.Context, home.End) error { return nil }

// A home that was paused says nothing of its programs until its log is confirmed: its
// state may be that of before a takeover.
func TestPausedHomeWaitsForItsLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var offset atomic.Int64
		p := newPulse(func() time.Time { return time.Now().Add(time.Duration(offset.Load())) })
		l := &local{Home: staleHome{}, pulse: p}
		var confirmed atomic.Bool
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- p.run(ctx, func(context.Context) bool { return confirmed.Load() }) }()
		time.Sleep(time.Second)

		ask := func() []error {
			_, read := l.Read(ctx, home.Read{Program: "e1-a.1"})
			return []error{
				read,
				l.Turn(ctx, home.Turn{Program: "e1-a.1", Number: 3}, nil),
				l.End(ctx, home.End{Program: "e1-a.1"}),
			}
		}
		unsure := func(err error) bool {
			var r *structs.Refusal
			return errors.As(err, &r) && r.Step == home.StepTakeover
		}
		for _, err := range ask() {
			if unsure(err) {
				t.Errorf("a home that was never paused is unsure: %v", err)
			}
		}
		// The process stands still for five seconds; requests run before its own duties.
		offset.Store(int64(5 * time.Second))
		for _, wait := range []time.Duration{0, time.Second} {
			time.Sleep(wait)
			for i, err := range ask() {
				if !unsure(err) {
					t.Errorf("call %d of a paused home after %s gives %v", i, wait, err)
				}
			}
		}
		confirmed.Store(true)
		time.Sleep(time.Second)
		for _, err := range ask() {
			if unsure(err) {
				t.Errorf("a home whose log is confirmed is unsure: %v", err)
			}
		}
		cancel()
		<-done
	})
}
