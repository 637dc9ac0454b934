package scenario

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// startTime is the time of the clock at the start of every script.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Clock is the virtual time of a script; only the script advances it.
type Clock struct{ now time.Time }

// Now returns the current time of the clock.
func (c *Clock) Now() time.Time {
	if c.now.IsZero() {
		return startTime
	}
	return c.now
}

// Since returns the time since the start of the script.
func (c *Clock) Since() time.Duration { return c.Now().Sub(startTime) }

// Handler runs one directive and returns its output.
type Handler func(Args) string

// Script runs the directives of a file with the handlers registered for their verbs.
type Script struct {
	Clock
	handlers  map[string]Handler
	onAdvance []func(now time.Time) // called after each advance, in order
}

// New returns a script with the verb "advance DURATION" registered.
func New() *Script {
	s := &Script{handlers: make(map[string]Handler)}
	s.Handle("advance", s.advance)
	return s
}

// Handle registers the handler of a verb and replaces a previous one.
func (s *Script) Handle(verb string, handler Handler) { s.handlers[verb] = handler }

// OnAdvance registers a function that is called each time the clock has advanced.
func (s *Script) OnAdvance(f func(now time.Time)) { s.onAdvance = append(s.onAdvance, f) }

// advance implements the verb "advance DURATION".
func (s *Script) advance(a Args) string {
	d, err := time.ParseDuration(a.Word(0))
	if err != nil || d < 0 {
		a.Fatalf("advance %q: want a duration of at least 0", a.Word(0))
	}
	s.now = s.Now().Add(d)
	for _, f := range s.onAdvance {
		f(s.now)
	}
	return ""
}

// Run runs the script in the file at path.
func (s *Script) Run(t *testing.T, path string) {
	t.Helper()
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		handler, exists := s.handlers[d.Cmd]
		if !exists {
			d.Fatalf(t, "verb %q does not exist", d.Cmd)
		}
		return handler(NewArgs(t, d))
	})
}
