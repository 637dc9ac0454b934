// Package scenario supports tests that run datadriven scripts: it parses the arguments of
// a directive and provides a clock that the script advances and a simulated network of
// named nodes with scripted faults. The name of a directive is its verb.
//
// Script implements the verb advance. Network implements start, kill, pause, resume, cut,
// heal, outage, lose-answer, duplicate, reorder and late. A test package adds its own verbs,
// by convention submit, switch, drain and expect; it can also use Args without Script. Test
// packages with a network of their own have other verbs for cut: partition or disconnect.
package scenario

import (
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Args parses the arguments of one directive. A malformed argument fails the test at the
// line of the directive.
type Args struct {
	t *testing.T
	d *datadriven.TestData
}

// NewArgs returns the Args of a directive.
func NewArgs(t *testing.T, d *datadriven.TestData) Args { return Args{t: t, d: d} }

// Verb returns the verb of the directive.
func (a Args) Verb() string { return a.d.Cmd }

// Input returns the lines under the directive.
func (a Args) Input() string { return a.d.Input }

// Word returns the i-th argument (from 0) that has no value, such as "e1" in "kill e1"; the
// test fails when there is none.
func (a Args) Word(i int) string {
	words := a.Words()
	if i >= len(words) {
		a.d.Fatalf(a.t, "%s needs %d words", a.d.Cmd, i+1)
	}
	return words[i]
}

// Words returns the arguments without values.
func (a Args) Words() []string {
	var words []string
	for _, arg := range a.d.CmdArgs {
		if len(arg.Vals) == 0 {
			words = append(words, arg.Key)
		}
	}
	return words
}

// Has reports whether the directive has an argument of that name, with or without a value.
func (a Args) Has(name string) bool { return a.d.HasArg(name) }

// Text returns the value of the argument name=value, or fallback when there is none.
func (a Args) Text(name, fallback string) string {
	for _, arg := range a.d.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return fallback
}

// Int returns the value of name=value as an integer, or fallback.
func (a Args) Int(name string, fallback int) int {
	return parseArg(a, name, fallback, strconv.Atoi)
}

// Float returns the value of name=value as a number, or fallback.
func (a Args) Float(name string, fallback float64) float64 {
	return parseArg(a, name, fallback, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
}

// Duration returns the value of name=value, such as "1.5s", or fallback.
func (a Args) Duration(name string, fallback time.Duration) time.Duration {
	return parseArg(a, name, fallback, time.ParseDuration)
}

// Fatalf fails the test at the line of the directive.
func (a Args) Fatalf(format string, args ...any) { a.d.Fatalf(a.t, format, args...) }

// parseArg parses the value of name=value; without one it returns fallback.
func parseArg[T any](a Args, name string, fallback T, parse func(string) (T, error)) T {
	text := a.Text(name, "")
	if text == "" {
		return fallback
	}
	value, err := parse(text)
	if err != nil {
		a.d.Fatalf(a.t, "%s: argument %s: %v", a.d.Cmd, name, err)
	}
	return value
}
