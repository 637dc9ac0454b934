package program

import (
	"fmt"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// harness drives one program. It holds the clock, the home log and the calls that the program made.
type harness struct {
	cfg  Config
	spec structs.ProgramSpec
	now  time.Time
	m    *Machine
	// log holds the records of all homes in their order; the field committed is the number of
	// committed records at its start.
	log       []LogRecord
	committed int
	outage    bool
	timer     time.Time
	// models, tools and agents are the calls sent, including those of earlier homes.
	models      map[structs.CallID]structs.ModelCall
	tools       map[structs.CallID]structs.ToolRequest
	agents      map[structs.CallID]StartAgent
	homes       uint32
	lastMessage Message
	out         strings.Builder
	onEffect    func(Effect)
}

const testProgram structs.ProgramID = "e1.1"

func newHarness(cfg Config, spec structs.ProgramSpec) *harness {
	if cfg.Tools == nil {
		cfg.Tools = map[string]Tool{"search": {Timeout: 5 * time.Second}, "publish": {Irreversible: true, Timeout: 5 * time.Second}}
	}
	return &harness{
		cfg: cfg.WithDefaults(), spec: spec, now: time.Unix(1000, 0).UTC(), homes: 1,
		models: map[structs.CallID]structs.ModelCall{},
		tools:  map[structs.CallID]structs.ToolRequest{},
		agents: map[structs.CallID]StartAgent{},
	}
}

func (h *harness) open() {
	m, effects := New(h.now, &h.cfg, testProgram, h.spec)
	h.m = m
	h.carryOut(effects)
	h.commit()
}

// step passes a message to the machine, then the commits that follow unless there is an outage.
func (h *harness) step(msg Message) {
	h.lastMessage = msg
	h.carryOut(h.m.Step(h.now, msg))
	h.commit()
}

// commit commits all records unless there is an outage. A commit may produce further records.
func (h *harness) commit() {
	for !h.outage && h.committed < len(h.log) {
		h.commitThrough(len(h.log))
	}
}

// commitThrough commits the first n records of the log.
func (h *harness) commitThrough(n int) {
	h.committed = n
	h.carryOut(h.m.Step(h.now, Committed{Seq: h.m.seq - uint64(len(h.log)-n)}))
}

// kill drops the home and all records that are not committed, and restores the program at
// another home.
func (h *harness) kill() error {
	h.log = h.log[:h.committed]
	h.homes++
	// Unlike a real base, this one does not leave the lower AttemptBits bits 0.
	h.cfg.AttemptBase = h.homes * 100
	h.timer = time.Time{}
	m, err := Restore(&h.cfg, testProgram, h.log)
	if err == nil {
		h.m = m
	}
	return err
}

// advance moves the clock and sends a Tick at each timer.
func (h *harness) advance(d time.Duration) {
	end := h.now.Add(d)
	for !h.timer.IsZero() && !h.timer.After(end) {
		if h.timer.After(h.now) {
			h.now = h.timer
		}
		h.timer = time.Time{}
		h.step(Tick{})
	}
	h.now = end
}

// carryOut prints the effects and stores records, calls and the timer.
func (h *harness) carryOut(effects []Effect) {
	for _, e := range effects {
		if h.onEffect != nil {
			h.onEffect(e)
		}
		h.print(e)
		switch e := e.(type) {
		case AppendRecord:
			h.log = append(h.log, LogRecord{Program: testProgram, Kind: e.Kind, Data: e.Data})
		case CallModel:
			h.models[e.Call.Call] = e.Call
		case CallTool:
			h.tools[e.Request.Call] = e.Request
		case StartAgent:
			h.agents[e.Call] = e
		case SetTimer:
			h.timer = e.At
		}
	}
}

func (h *harness) printf(format string, args ...any) { fmt.Fprintf(&h.out, format+"\n", args...) }

func (h *harness) print(e Effect) {
	switch e := e.(type) {
	case AppendRecord:
		h.printf("record %d %s", e.Seq, e.Kind)
	case CallModel:
		h.printf("call model %s attempt %d: %d messages, at most %d tokens", short(e.Call.Call), e.Call.Attempt, len(e.Call.Messages), e.Call.MaxTokens)
	case CallTool:
		resent := map[bool]string{true: " resent"}[e.Request.Resent]
		h.printf("call tool %s attempt %d%s: %s %s within %s", short(e.Request.Call), e.Request.Attempt, resent, e.Request.Name, e.Request.Arguments, e.Request.Timeout)
	case StartAgent:
		budget := e.Spec.Budget
		h.printf("start agent %s attempt %d: %q with %d tokens, %d calls, %s, %d agents", short(e.Call), e.Attempt, e.Task,
			budget.Tokens, budget.Calls, budget.ToolTime, budget.Agents)
	case CloseAgent:
		h.printf("close agent %s", short(e.Call))
	case CancelCall:
		h.printf("cancel call %s attempt %d", short(e.Call), e.Attempt)
	case Accept:
		h.printf("accept caller %d: turn %d", e.Caller, e.Turn)
	case Reject:
		h.printf("reject caller %d: %s", e.Caller, describe(e.Refusal))
	case Answer:
		h.printf("answer turn %d: %q durable=%t final=%t", e.Turn, e.Content, e.Durable, e.Final)
	case Refuse:
		h.printf("refuse turn %d: %s", e.Turn, describe(e.Refusal))
	case Release:
		h.printf("release actions=%t", e.MayHaveActions)
	}
}

func short(c structs.CallID) string { return strings.TrimPrefix(string(c), string(testProgram)+"/") }

func describe(r *structs.Refusal) string {
	text := fmt.Sprintf("%s (%s) %s", r.Code, r.Outcome, r.Detail)
	if r.RetryAfter > 0 {
		text += fmt.Sprintf("; retry after %s", r.RetryAfter)
	}
	return text
}

func (h *harness) takeOutput() string {
	defer h.out.Reset()
	if h.out.Len() == 0 {
		return "ok\n"
	}
	return h.out.String()
}
