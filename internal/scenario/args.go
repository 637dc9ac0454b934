// Package scenario helps tests to read datadriven scripts: arguments of a verb, a
// clock moved by hand, and named nodes on a network with scripted faults. The verbs
// are the same in every package: start, kill, pause, resume, cut, heal, outage,
// lose-answer, duplicate, reorder, late and advance, which this package gives, and
// submit, switch, drain and expect, which each package gives itself.
package scenario

import (
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Args reads the arguments of one verb. A malformed argument ends the test at its line.
type Args struct {
	t *testing.T
	d *datadriven.TestData
}

// NewArgs returns the arguments of a directive.
func NewArgs(t *testing.T, d *datadriven.TestData) Args { return Args{t: t, d: d} }

// Verb returns the name of the directive.
func (a Args) Verb() string { return a.d.Cmd }

// Input returns the lines under the directive.
func (a Args) Input() string { return a.d.Input }

// Word returns the i-th argument without a value, such as "e1" in "kill e1"; the
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

// Has reports whether there is an argument of that name, with or without a value.
func (a Args) Has(name string) bool { return a.d.HasArg(name) }

// Text returns the value of name=value, or fallback.
func (a Args) Text(name, fallback string) string {
	for _, arg := range a.d.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return fallback
}

// Int returns the value of name=value as a number, or fallback.
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

// Fatalf ends the test at the directive's line.
func (a Args) Fatalf(format string, args ...any) { a.d.Fatalf(a.t, format, args...) }

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
