package program

import (
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
)

// TestScripts runs testdata/*.txt. The verbs are:
//
//	start        open a program; arguments set its budget and the limits
//	submit       turn=N [key=K] [patience=D], content as input
//	attach       turn=N
//	answer       call=T/S [attempt=N] [tokens=prompt,generated]; input: the text, or lines "tool ID NAME ARGUMENTS"
//	result       call=T/S [attempt=N]; input: the tool's result
//	agent        call=T/S [code=C] [charged=tokens,calls]; input: the sub-agent's answer
//	refuse       call=T/S code=C outcome=O [retry-after=D] [final]: a model or tool call fails
//	started      call=T/S: the first token came
//	cancel       end the turn; close: end the program
//	outage       the journal commits nothing; heal: it does again; commit through=N: the first N records
//	kill         lose the home and what is not committed, restore; resume: go on there
//	duplicate    deliver the last message again
//	advance      D: move the clock, with timers; pause D: move it without them
//	checkpoint   replace the log by a checkpoint; handover: by one of a graceful shutdown
//	reorder      put a checkpoint before the records that it covers
//	corrupt      entry=N what=program|filed|digest|before|turn|history|drop|kind|data: damage the log, then kill
//	expect       print the state; history: print the conversation
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{t: t}
		datadriven.RunTest(t, path, s.run)
	})
}

type script struct {
	t *testing.T
	b *bench
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	s.t = t
	if d.Cmd == "start" {
		return s.start(d)
	}
	if !s.faults(d) && !s.calls(d) {
		d.Fatalf(t, "unknown verb %q", d.Cmd)
	}
	return s.b.take()
}

func (s *script) start(d *datadriven.TestData) string {
	var spec structs.ProgramSpec
	var cfg Config
	s.maybe(d, "tokens", &spec.Budget.Tokens)
	s.maybe(d, "calls", &spec.Budget.Calls)
	s.maybe(d, "depth", &spec.Budget.Depth)
	s.maybe(d, "agents", &spec.Budget.Agents)
	s.maybe(d, "system", &spec.System)
	s.maybe(d, "max-tokens", &cfg.MaxTokens)
	s.maybe(d, "max-steps", &cfg.MaxSteps)
	s.maybe(d, "max-history", &cfg.MaxHistoryTokens)
	s.maybe(d, "max-turn-bytes", &cfg.MaxTurnBytes)
	s.maybe(d, "max-tool-bytes", &cfg.MaxToolBytes)
	s.maybe(d, "level", &spec.Depth)
	spec.Budget.ToolTime = s.duration(d, "tool-time")
	s.b = newBench(cfg, spec)
	s.b.open()
	return s.b.take()
}

// maybe reads an argument if it is given.
func (s *script) maybe(d *datadriven.TestData, name string, value any) {
	if !d.HasArg(name) {
		return
	}
	if narrow, is := value.(*uint32); is {
		var wide uint64
		d.ScanArgs(s.t, name, &wide)
		*narrow = uint32(wide)
		return
	}
	d.ScanArgs(s.t, name, value)
}

func (s *script) duration(d *datadriven.TestData, name string) time.Duration {
	text := "0s"
	s.maybe(d, name, &text)
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	return v
}

// faults does the verbs of time, platform and processes.
func (s *script) faults(d *datadriven.TestData) bool {
	b := s.b
	switch d.Cmd {
	case "outage":
		b.outage = true
	case "heal":
		b.outage = false
		b.commit()
	case "commit":
		var n int
		d.ScanArgs(s.t, "through", &n)
		b.commitThrough(n)
	case "kill":
		if err := b.kill(); err != nil {
			b.printf("error: %v", err)
		}
	case "resume":
		b.step(Resume{})
	case "duplicate":
		b.step(b.last)
	case "advance", "pause":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(s.t, "%v", err)
		}
		if d.Cmd == "pause" {
			b.now = b.now.Add(step)
			return true
		}
		b.advance(step)
	case "checkpoint":
		b.log, b.kept = []LogRecord{b.m.Snapshot()}, 1
	case "reorder":
		b.log = append([]LogRecord{b.m.Snapshot()}, b.log...)
		b.kept = len(b.log)
	case "handover":
		b.log, b.kept = []LogRecord{b.m.HandOver()}, 1
	case "corrupt":
		s.corrupt(d)
	default:
		return false
	}
	return true
}

func (s *script) corrupt(d *datadriven.TestData) {
	var i int
	var what string
	d.ScanArgs(s.t, "entry", &i)
	d.ScanArgs(s.t, "what", &what)
	b := s.b
	saved := append([]LogRecord(nil), b.log...)
	e := &b.log[i-1]
	switch what {
	case "program":
		e.Data = []byte(strings.Replace(string(e.Data), string(benchProgram), "e1.2", 1))
	case "filed":
		e.Program = "e1.2"
	case "digest":
		e.Data = []byte(strings.Replace(string(e.Data), `"content":"`, `"content":"!`, 1))
	case "before":
		e.Data = flipDigit(e.Data, `"before":"`)
	case "turn":
		e.Data = []byte(strings.Replace(string(e.Data), `"number":1`, `"number":2`, 1))
	case "history":
		e.Data = flipDigit(e.Data, `"digest":"`)
	case "drop":
		b.log = append(b.log[:i-1:i-1], b.log[i:]...)
		b.kept--
	case "kind":
		e.Kind = "unknown"
	case "data":
		e.Data = e.Data[:len(e.Data)/2]
	}
	if err := b.kill(); err != nil {
		b.printf("error: %v", err)
	}
	b.log, b.kept = saved, len(saved)
}

// flipDigit changes the hexadecimal digit behind the prefix.
func flipDigit(data []byte, prefix string) []byte {
	out := []byte(string(data))
	i := strings.Index(string(data), prefix) + len(prefix)
	out[i] = "10"[(out[i]-'0')%2]
	if out[i] == data[i] {
		out[i] = '7'
	}
	return out
}

// calls does the verbs of callers, engines, tools and sub-agents.
func (s *script) calls(d *datadriven.TestData) bool {
	b := s.b
	switch d.Cmd {
	case "submit":
		msg := SubmitTurn{Caller: 1, Content: d.Input, Timeout: s.duration(d, "patience")}
		s.maybe(d, "caller", &msg.Caller)
		s.maybe(d, "turn", &msg.Number)
		s.maybe(d, "key", &msg.Key)
		b.step(msg)
	case "attach":
		msg := Attach{Caller: 9}
		s.maybe(d, "turn", &msg.Number)
		b.step(msg)
	case "answer":
		b.step(ModelDone{Answer: s.answer(d)})
	case "started":
		call, attempt := s.call(d)
		b.step(ModelStarted{Call: call, Attempt: attempt})
	case "result":
		call, attempt := s.call(d)
		b.step(ToolDone{Call: call, Attempt: attempt, Result: d.Input})
	case "agent":
		b.step(s.agent(d))
	case "refuse":
		s.refuse(d)
	case "cancel":
		b.step(Cancel{})
	case "close":
		b.step(Close{})
	case "expect":
		s.expect()
	case "history":
		ms, err := b.m.History().Messages()
		for _, m := range ms {
			b.printf("%s: %q %v", m.Role, m.Content, m.ToolCalls)
		}
		if err != nil {
			b.printf("error: %v", err)
		}
	default:
		return false
	}
	return true
}

// call returns the call named and, unless one is given, its last attempt.
func (s *script) call(d *datadriven.TestData) (structs.CallID, uint32) {
	var name string
	d.ScanArgs(s.t, "call", &name)
	id := benchProgram + structs.ProgramID("/"+name)
	call := structs.CallID(id)
	attempt := s.b.models[call].Attempt + s.b.tools[call].Attempt + s.b.agents[call].Attempt
	s.maybe(d, "attempt", &attempt)
	return call, attempt
}

func (s *script) answer(d *datadriven.TestData) structs.ModelAnswer {
	call, attempt := s.call(d)
	answer := structs.ModelAnswer{Call: call, Attempt: attempt}
	answer.Usage = structs.Usage{PromptTokens: 10, GeneratedTokens: 5}
	if d.HasArg("tokens") {
		d.ScanArgs(s.t, "tokens", &answer.Usage.PromptTokens, &answer.Usage.GeneratedTokens)
	}
	answer.Message = parseAnswer(d.Input)
	return answer
}

// parseAnswer reads lines "tool ID NAME ARGUMENTS" as tool calls, and other input as text.
func parseAnswer(input string) structs.Message {
	m := structs.Message{Role: structs.RoleAssistant}
	for _, line := range strings.Split(input, "\n") {
		words := strings.SplitN(line, " ", 4)
		if words[0] != "tool" {
			m.Content = input
			return m
		}
		m.ToolCalls = append(m.ToolCalls, structs.ToolCall{ID: words[1], Name: words[2], Arguments: words[3]})
	}
	return m
}

func (s *script) agent(d *datadriven.TestData) AgentDone {
	call, attempt := s.call(d)
	done := AgentDone{Call: call, Attempt: attempt, Content: d.Input}
	if d.HasArg("charged") {
		d.ScanArgs(s.t, "charged", &done.Charged.Tokens, &done.Charged.Calls)
	}
	var code string
	s.maybe(d, "code", &code)
	if code != "" {
		done.Refusal = structs.Refusalf(structs.Code(code), structs.OutcomeRan, "turn", "the sub-agent's own")
	}
	return done
}

func (s *script) refuse(d *datadriven.TestData) {
	call, attempt := s.call(d)
	var code, outcome string
	d.ScanArgs(s.t, "code", &code)
	d.ScanArgs(s.t, "outcome", &outcome)
	refusal := structs.Refusalf(structs.Code(code), structs.Outcome(outcome), "call", "scripted")
	refusal.RetryAfter = s.duration(d, "retry-after")
	refusal.Final = d.HasArg("final")
	if _, isModel := s.b.models[call]; isModel {
		s.b.step(ModelFailed{Call: call, Attempt: attempt, Refusal: refusal})
		return
	}
	s.b.step(ToolFailed{Call: call, Attempt: attempt, Refusal: refusal})
}

func (s *script) expect() {
	st := s.b.m.State()
	l := s.b.m.ledger
	s.b.printf("%s, %d turns, turn %d under way, kept=%t", st.State, st.Turns, st.Current, st.Kept)
	s.b.printf("used %d tokens, %d calls, %s of tools, %d agents", st.Usage.Tokens(), st.Usage.Calls, st.Usage.ToolTime, st.Usage.Agents)
	s.b.printf("charged %v reserved %v drawn %v", l.spent, l.reserved, l.usable())
}
