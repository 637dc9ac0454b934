package scenario

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// start is the time at which every script begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Clock is moved by the script alone.
type Clock struct{ now time.Time }

// Now returns the script's time.
func (c *Clock) Now() time.Time {
	if c.now.IsZero() {
		return start
	}
	return c.now
}

// Since returns the time since the script's start.
func (c *Clock) Since() time.Duration { return c.Now().Sub(start) }

// Verb runs one directive and returns its output.
type Verb func(Args) string

// Script runs directives by the verbs that a package registers.
type Script struct {
	Clock
	verbs     map[string]Verb
	onAdvance []func(now time.Time)
}

// New returns a script that knows the verb "advance DURATION".
func New() *Script {
	s := &Script{verbs: make(map[string]Verb)}
	s.Handle("advance", s.advance)
	return s
}

// Handle registers a verb in place of one of the same name.
func (s *Script) Handle(name string, verb Verb) { s.verbs[name] = verb }

// OnAdvance registers what runs each time that the clock has moved.
func (s *Script) OnAdvance(f func(now time.Time)) { s.onAdvance = append(s.onAdvance, f) }

func (s *Script) advance(a Args) string {
	d, err := time.ParseDuration(a.Word(0))
	if err != nil || d < 0 {
		a.Fatalf("advance %q: not a duration", a.Word(0))
	}
	s.now = s.Now().Add(d)
	for _, f := range s.onAdvance {
		f(s.now)
	}
	return ""
}

// Run runs the file at path.
func (s *Script) Run(t *testing.T, path string) {
	t.Helper()
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		verb, exists := s.verbs[d.Cmd]
		if !exists {
			d.Fatalf(t, "verb %q does not exist", d.Cmd)
		}
		return verb(NewArgs(t, d))
	})
}
