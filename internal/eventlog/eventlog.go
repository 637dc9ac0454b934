// Package eventlog writes the log of the programs: numbered events by logrus,
// each from the catalogue of this package, which docs/EVENTS.md lists.
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

// Event is one line of the catalogue.
type Event struct {
	// Number is stable; it is never used again for another meaning.
	Number int
	// Name is a short name in snake case.
	Name  string
	Level logrus.Level
	// Meaning says what happened and what an operator should do, if anything.
	Meaning string
}

// registry holds the catalogue by number; the catalogue files fill it.
var registry = map[int]Event{}

// register adds an event to the catalogue and returns it. It panics when a number
// stands twice, which the package's own test would show first.
func register(number int, name string, level logrus.Level, meaning string) Event {
	if other, found := registry[number]; found {
		panic(fmt.Sprintf("event number %d stands for both %q and %q", number, other.Name, name))
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

// Fields are what one emission carries beside its event. Empty fields are left out.
type Fields struct {
	// Step is the step at which the event arose, such as "route" or "commit".
	Step string
	// Peer is the process or service at the other end.
	Peer         string
	Program      structs.ProgramID
	Call         structs.CallID
	Organisation structs.OrganisationID
	// Count is a number that the event's meaning explains.
	Count int64
	// Took is how long the step took.
	Took time.Duration
	// Trace is the trace id of the hop, in hexadecimal.
	Trace string
	// Err is the cause; the step, peer, code and outcome of a *structs.Refusal in
	// its chain fill the fields that are empty.
	Err error
	// Detail names things and their values.
	Detail string
}

// Logger writes events for one process. It is safe for concurrent use.
type Logger struct {
	out  *logrus.Logger
	node structs.NodeID
}

// New returns a logger that writes to w for the node in the form that the settings ask for.
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

func formatter(format string) logrus.Formatter {
	if format == "text" {
		return &logrus.TextFormatter{FullTimestamp: true, TimestampFormat: time.RFC3339Nano}
	}
	return &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}
}

// Enabled reports whether the event's level is written.
func (l *Logger) Enabled(e Event) bool { return l.out.IsLevelEnabled(e.Level) }

// Emit writes one event.
func (l *Logger) Emit(e Event, f Fields) {
	if !l.Enabled(e) {
		return
	}
	l.out.WithFields(l.fields(e, f)).Log(e.Level, e.Name)
}

// Names of the fields that each emission may carry.
const (
	fieldEvent = "event"
	fieldNode  = "node"
	fieldStep  = "step"
	fieldPeer  = "peer"
)

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

// setCause sets the error and what a refusal in its chain says of it.
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
