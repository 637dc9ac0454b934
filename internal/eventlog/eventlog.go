// Package eventlog writes numbered events to the log of a process, through logrus. The events
// are listed in the catalogue of this package, from which docs/EVENTS.md is generated. Lines
// about single requests come from package reqlog and have no number.
package eventlog

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Event is one entry of the catalogue.
type Event struct {
	// Number identifies the event. It is never reused for another meaning.
	Number int
	// Name is a short name in snake case; it is the message of the log line. It stays when the
	// variable of the event is renamed, so the two can differ: WorkerFailed is "duty_failed".
	Name string
	// Level is the level of the log line.
	Level logrus.Level
	// Meaning states what happened and what an operator should do, if anything.
	Meaning string
}

// registry holds the catalogue by number; the files catalogue_*.go fill it.
var registry = map[int]Event{}

// register adds an event to the catalogue and returns it. It panics when the number is already
// used. It runs when the package is initialised, so every program and test that imports the
// package fails at its start if a number is used twice.
func register(number int, name string, level logrus.Level, meaning string) Event {
	if other, found := registry[number]; found {
		panic(fmt.Sprintf("event number %d is used for both %q and %q", number, other.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	registry[number] = e
	return e
}

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Event {
	events := make([]Event, 0, len(registry))
	for _, e := range registry {
		events = append(events, e)
	}
	slices.SortFunc(events, func(a, b Event) int { return a.Number - b.Number })
	return events
}

// Fields are the optional fields of one log line. Fields with the zero value are left out.
type Fields struct {
	// Step is the step in which the event occurred, such as "route" or "commit".
	Step string
	// Peer is the process or service that the step communicates with.
	Peer         string
	Program      structs.ProgramID
	Call         structs.CallID
	Organisation structs.OrganisationID
	// Count is a number; Event.Meaning states of what.
	Count int64
	// Took is a duration: that of the step unless Event.Meaning states otherwise.
	Took time.Duration
	// Trace is the trace id of the request, in hexadecimal.
	Trace string
	// Err is the cause. If its chain has a *structs.Refusal, code and outcome come from the
	// refusal, and so do step and peer if they are empty here.
	Err error
	// Detail is text; Event.Meaning states what it holds.
	Detail string
}

// Logger writes the events of one process. It is safe for concurrent use.
type Logger struct {
	out  *logrus.Logger
	node structs.NodeID
}

// New returns a logger of the node that writes to w, in the format that the settings
// state. It writes events at or above their level.
func New(w io.Writer, node structs.NodeID, s settings.Log) (*Logger, error) {
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", s.Level)
	}
	out := logrus.New()
	out.SetOutput(w)
	out.SetLevel(level)
	out.SetFormatter(formatter(s.Format))
	return &Logger{out: out, node: node}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	out := logrus.New()
	out.SetOutput(io.Discard)
	out.SetLevel(logrus.PanicLevel)
	return &Logger{out: out}
}

// formatter returns the formatter for "text"; any other format means JSON.
func formatter(format string) logrus.Formatter {
	if format == "text" {
		return &logrus.TextFormatter{FullTimestamp: true, TimestampFormat: time.RFC3339Nano}
	}
	return &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}
}

// Enabled reports whether events of this level are written.
func (l *Logger) Enabled(e Event) bool { return l.out.IsLevelEnabled(e.Level) }

// Emit writes one event if its level is enabled.
func (l *Logger) Emit(e Event, f Fields) {
	if !l.Enabled(e) {
		return
	}
	l.out.WithFields(l.fields(e, f)).Log(e.Level, e.Name)
}

// Names of log fields that are used more than once.
const (
	fieldEvent = "event"
	fieldNode  = "node"
	fieldStep  = "step"
	fieldPeer  = "peer"
)

// fields returns the fields of one log line. Step and peer of f replace those of a refusal in f.Err.
func (l *Logger) fields(e Event, f Fields) logrus.Fields {
	out := logrus.Fields{fieldEvent: e.Number, fieldNode: string(l.node)}
	set := func(name, value string) {
		if value != "" {
			out[name] = value
		}
	}
	if f.Err != nil {
		setCause(set, f.Err)
	}
	set(fieldStep, f.Step)
	set(fieldPeer, f.Peer)
	set("program", string(f.Program))
	set("call", string(f.Call))
	set("organisation", string(f.Organisation))
	set("trace", f.Trace)
	set("detail", f.Detail)
	if f.Count != 0 {
		out["count"] = f.Count
	}
	if f.Took != 0 {
		out["took"] = f.Took.String()
	}
	return out
}

// setCause sets the text of err and, if its chain has a refusal, the step, peer, code and
// outcome of the refusal.
func setCause(set func(name, value string), err error) {
	set("error", err.Error())
	var r *structs.Refusal
	if !errors.As(err, &r) {
		return
	}
	set(fieldStep, r.Step)
	set(fieldPeer, r.Peer)
	set("code", string(r.Code))
	set("outcome", string(r.Outcome))
}
