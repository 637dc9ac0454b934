package program

import (
	"fmt"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// bench drives one program by hand: its clock, its home log and the calls it made.
type bench struct {
	cfg  Config
	spec structs.ProgramSpec
	now  time.Time
	m    *Machine
	// log holds all records made at this home and before, the first kept of which are committed.
	log    []LogRecord
	kept   int
	outage bool
	timer  time.Time
	// models, tools and agents are the calls sent, also those of earlier homes.
	models map[structs.CallID]structs.ModelCall
	tools  map[structs.CallID]structs.ToolRequest
	agents map[structs.CallID]StartAgent
	homes  uint32
	last   Message
	out    strings.Builder
	seen   func(Effect)
}

const benchProgram structs.ProgramID = "e1.1"

func newBench(cfg Config, spec structs.ProgramSpec) *bench {
	if cfg.Tools == nil {
		cfg.Tools = map[string]Tool{"search": {Timeout: 5 * time.Second}, "publish": {NonRepeatable: true, Timeout: 5 * time.Second}}
	}
	return &bench{
		cfg: cfg.WithDefaults(), spec: spec, now: time.Unix(1000, 0).UTC(), homes: 1,
		models: map[structs.CallID]structs.ModelCall{},
		tools:  map[structs.CallID]structs.ToolRequest{},
		agents: map[structs.CallID]StartAgent{},
	}
}

func (b *bench) open() {
	m, effects := New(b.now, &b.cfg, benchProgram, b.spec)
	b.m = m
	b.carryOut(effects)
	b.commit()
}

// step gives the machine a message, and the commits that follow unless the platform is down.
func (b *bench) step(msg Message) {
	b.last = msg
	b.carryOut(b.m.Step(b.now, msg))
	b.commit()
}

func (b *bench) commit() {
	for !b.outage && b.kept < len(b.log) {
		b.commitThrough(len(b.log))
	}
}

func (b *bench) commitThrough(n int) {
	b.kept = n
	b.carryOut(b.m.Step(b.now, Committed{Seq: b.m.seq - uint64(len(b.log)-n)}))
}

// kill loses the home and all that is not committed, and restores the program elsewhere.
func (b *bench) kill() error {
	b.log = b.log[:b.kept]
	b.homes++
	b.cfg.AttemptBase = b.homes * 100
	b.timer = time.Time{}
	m, err := Restore(&b.cfg, benchProgram, b.log)
	if err == nil {
		b.m = m
	}
	return err
}

// advance moves the clock and wakes the machine whenever it asked to be.
func (b *bench) advance(d time.Duration) {
	end := b.now.Add(d)
	for !b.timer.IsZero() && !b.timer.After(end) {
		if b.timer.After(b.now) {
			b.now = b.timer
		}
		b.timer = time.Time{}
		b.step(Tick{})
	}
	b.now = end
}

func (b *bench) carryOut(effects []Effect) {
	for _, e := range effects {
		if b.seen != nil {
			b.seen(e)
		}
		b.print(e)
		switch e := e.(type) {
		case AppendRecord:
			b.log = append(b.log, LogRecord{Program: benchProgram, Kind: e.Kind, Data: e.Data})
		case CallModel:
			b.models[e.Call.Call] = e.Call
		case CallTool:
			b.tools[e.Request.Call] = e.Request
		case StartAgent:
			b.agents[e.Call] = e
		case SetTimer:
			b.timer = e.At
		}
	}
}

func (b *bench) printf(format string, args ...any) { fmt.Fprintf(&b.out, format+"\n", args...) }

func (b *bench) print(e Effect) {
	switch e := e.(type) {
	case AppendRecord:
		b.printf("record %d %s", e.Seq, e.Kind)
	case CallModel:
		b.printf("call model %s attempt %d: %d messages, at most %d tokens", short(e.Call.Call), e.Call.Attempt, len(e.Call.Messages), e.Call.MaxTokens)
	case CallTool:
		again := map[bool]string{true: " again"}[e.Request.Resent]
		b.printf("call tool %s attempt %d%s: %s %s within %s", short(e.Request.Call), e.Request.Attempt, again, e.Request.Name, e.Request.Arguments, e.Request.Timeout)
	case StartAgent:
		budget := e.Spec.Budget
		b.printf("start agent %s attempt %d: %q with %d tokens, %d calls, %s, %d agents", short(e.Call), e.Attempt, e.Task,
			budget.Tokens, budget.Calls, budget.ToolTime, budget.Agents)
	case CloseAgent:
		b.printf("close agent %s", short(e.Call))
	case CancelCall:
		b.printf("cancel call %s attempt %d", short(e.Call), e.Attempt)
	case Accept:
		b.printf("accept caller %d: turn %d", e.Caller, e.Turn)
	case Reject:
		b.printf("reject caller %d: %s", e.Caller, describe(e.Refusal))
	case Answer:
		b.printf("answer turn %d: %q kept=%t final=%t", e.Turn, e.Content, e.Durable, e.Final)
	case Refuse:
		b.printf("refuse turn %d: %s", e.Turn, describe(e.Refusal))
	case Release:
		b.printf("release acted=%t", e.MayHaveActions)
	}
}

func short(c structs.CallID) string { return strings.TrimPrefix(string(c), string(benchProgram)+"/") }

func describe(r *structs.Refusal) string {
	text := fmt.Sprintf("%s (%s) %s", r.Code, r.Outcome, r.Detail)
	if r.RetryAfter > 0 {
		text += fmt.Sprintf("; retry after %s", r.RetryAfter)
	}
	return text
}

func (b *bench) take() string {
	defer b.out.Reset()
	if b.out.Len() == 0 {
		return "ok\n"
	}
	return b.out.String()
}
