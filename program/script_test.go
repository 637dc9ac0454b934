package program

import (
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
)

// TestScripts guards against turns that run twice or out of order, lost or mixed histories,
// irreversible calls made twice or without committed records, and spending beyond the budget.
// The scripts in testdata/scripts combine submissions with late, lost and failed answers,
// outages and crashes. The verbs are:
//
//	start        open a program; arguments set its budget and the limits
//	submit       turn=N [key=K] [timeout=D], content as input
//	attach       turn=N
//	answer       call=T/S [attempt=N] [tokens=prompt,generated]; input: the text, or lines "tool ID NAME ARGUMENTS"
//	result       call=T/S [attempt=N]; input: the result of the tool
//	agent        call=T/S [code=C] [charged=tokens,calls]; input: the answer of the sub-agent
//	fail         call=T/S code=C outcome=O [retry-after=D] [final]: a model or tool call fails
//	started      call=T/S: the engine generated the first token
//	cancel       end the turn
//	close        end the program
//	outage       stop committing records
//	heal         commit again
//	commit       through=N: commit the first N records
//	kill         drop the home and all records that are not committed, and restore the program
//	resume       continue the restored program
//	duplicate    deliver the last message again
//	advance      D: move the clock and send the ticks
//	pause        D: move the clock without ticks
//	checkpoint   replace the log by a checkpoint
//	handover     replace the log by the checkpoint of a graceful shutdown
//	reorder      put a checkpoint before the records that it covers
//	corrupt      record=N what=W: damage the log, then kill. W is the program in the record (program) or
//	             beside it (owner), a message (digest), the digest before a delta (before), the number
//	             of a turn (turn), the digest of a checkpoint (history), the kind (kind), a missing
//	             record (drop) or a truncated one (data)
//	expect       print the state
//	history      print the conversation
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{t: t}
		datadriven.RunTest(t, path, s.run)
	})
}

type script struct {
	t *testing.T
	h *harness
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	s.t = t
	if d.Cmd == "start" {
		return s.start(d)
	}
	if !s.runFaultVerb(d) && !s.runCallVerb(d) {
		d.Fatalf(t, "unknown verb %q", d.Cmd)
	}
	return s.h.takeOutput()
}

func (s *script) start(d *datadriven.TestData) string {
	var spec structs.ProgramSpec
	var cfg Config
	s.scanOptional(d, "tokens", &spec.Budget.Tokens)
	s.scanOptional(d, "calls", &spec.Budget.Calls)
	s.scanOptional(d, "depth", &spec.Budget.Depth)
	s.scanOptional(d, "agents", &spec.Budget.Agents)
	s.scanOptional(d, "system", &spec.System)
	s.scanOptional(d, "max-tokens", &cfg.MaxTokens)
	s.scanOptional(d, "max-steps", &cfg.MaxSteps)
	s.scanOptional(d, "max-history", &cfg.MaxHistoryTokens)
	s.scanOptional(d, "max-turn-bytes", &cfg.MaxTurnBytes)
	s.scanOptional(d, "max-tool-bytes", &cfg.MaxToolBytes)
	s.scanOptional(d, "program-depth", &spec.Depth)
	spec.Budget.ToolTime = s.duration(d, "tool-time")
	s.h = newHarness(cfg, spec)
	s.h.open()
	return s.h.takeOutput()
}

// scanOptional reads an argument if it is given.
func (s *script) scanOptional(d *datadriven.TestData, name string, value any) {
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
	s.scanOptional(d, name, &text)
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	return v
}

// runFaultVerb runs the verbs that control time, the platform and processes.
func (s *script) runFaultVerb(d *datadriven.TestData) bool {
	h := s.h
	switch d.Cmd {
	case "outage":
		h.outage = true
	case "heal":
		h.outage = false
		h.commit()
	case "commit":
		var n int
		d.ScanArgs(s.t, "through", &n)
		h.commitThrough(n)
	case "kill":
		if err := h.kill(); err != nil {
			h.printf("error: %v", err)
		}
	case "resume":
		h.step(Resume{})
	case "duplicate":
		h.step(h.lastMessage)
	case "advance", "pause":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(s.t, "%v", err)
		}
		if d.Cmd == "pause" {
			h.now = h.now.Add(step)
			return true
		}
		h.advance(step)
	case "checkpoint":
		h.log, h.committed = []LogRecord{h.m.Snapshot()}, 1
	case "reorder":
		h.log = append([]LogRecord{h.m.Snapshot()}, h.log...)
		h.committed = len(h.log)
	case "handover":
		h.log, h.committed = []LogRecord{h.m.HandOver()}, 1
	case "corrupt":
		s.corrupt(d)
	default:
		return false
	}
	return true
}

// corrupt damages a record, restores the program from the damaged log and prints the error. The log
// is whole again afterwards.
func (s *script) corrupt(d *datadriven.TestData) {
	var i int
	var what string
	d.ScanArgs(s.t, "record", &i)
	d.ScanArgs(s.t, "what", &what)
	h := s.h
	saved := append([]LogRecord(nil), h.log...)
	e := &h.log[i-1]
	switch what {
	case "program":
		e.Data = []byte(strings.Replace(string(e.Data), string(testProgram), "e1.2", 1))
	case "owner":
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
		h.log = append(h.log[:i-1:i-1], h.log[i:]...)
		h.committed--
	case "kind":
		e.Kind = "unknown"
	case "data":
		e.Data = e.Data[:len(e.Data)/2]
	}
	if err := h.kill(); err != nil {
		h.printf("error: %v", err)
	}
	h.log, h.committed = saved, len(saved)
}

// flipDigit replaces the hexadecimal digit that follows the prefix by another one.
func flipDigit(data []byte, prefix string) []byte {
	out := []byte(string(data))
	i := strings.Index(string(data), prefix) + len(prefix)
	out[i] = "10"[(out[i]-'0')%2]
	if out[i] == data[i] {
		out[i] = '7'
	}
	return out
}

// runCallVerb runs the verbs of callers, engines, tools and sub-agents.
func (s *script) runCallVerb(d *datadriven.TestData) bool {
	h := s.h
	switch d.Cmd {
	case "submit":
		msg := SubmitTurn{Caller: 1, Content: d.Input, Timeout: s.duration(d, "timeout")}
		s.scanOptional(d, "caller", &msg.Caller)
		s.scanOptional(d, "turn", &msg.Number)
		s.scanOptional(d, "key", &msg.Key)
		h.step(msg)
	case "attach":
		msg := Attach{Caller: 9}
		s.scanOptional(d, "turn", &msg.Number)
		h.step(msg)
	case "answer":
		h.step(ModelDone{Answer: s.answer(d)})
	case "started":
		call, attempt := s.call(d)
		h.step(ModelStarted{Call: call, Attempt: attempt})
	case "result":
		call, attempt := s.call(d)
		h.step(ToolDone{Call: call, Attempt: attempt, Result: d.Input})
	case "agent":
		h.step(s.agent(d))
	case "fail":
		s.fail(d)
	case "cancel":
		h.step(Cancel{})
	case "close":
		h.step(Close{})
	case "expect":
		s.expect()
	case "history":
		ms, err := h.m.History().Messages()
		for _, m := range ms {
			h.printf("%s: %q %v", m.Role, m.Content, m.ToolCalls)
		}
		if err != nil {
			h.printf("error: %v", err)
		}
	default:
		return false
	}
	return true
}

// call returns the named call and its last attempt, unless the script gives an attempt.
func (s *script) call(d *datadriven.TestData) (structs.CallID, uint32) {
	var name string
	d.ScanArgs(s.t, "call", &name)
	id := testProgram + structs.ProgramID("/"+name)
	call := structs.CallID(id)
	attempt := s.h.models[call].Attempt + s.h.tools[call].Attempt + s.h.agents[call].Attempt
	s.scanOptional(d, "attempt", &attempt)
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

// parseAnswer parses lines "tool ID NAME ARGUMENTS" as tool calls, and other input as text.
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
	s.scanOptional(d, "code", &code)
	if code != "" {
		done.Refusal = structs.Refusalf(structs.Code(code), structs.OutcomeRan, "turn", "the sub-agent's own")
	}
	return done
}

func (s *script) fail(d *datadriven.TestData) {
	call, attempt := s.call(d)
	var code, outcome string
	d.ScanArgs(s.t, "code", &code)
	d.ScanArgs(s.t, "outcome", &outcome)
	refusal := structs.Refusalf(structs.Code(code), structs.Outcome(outcome), "call", "scripted")
	refusal.RetryAfter = s.duration(d, "retry-after")
	refusal.Final = d.HasArg("final")
	if _, isModel := s.h.models[call]; isModel {
		s.h.step(ModelFailed{Call: call, Attempt: attempt, Refusal: refusal})
		return
	}
	s.h.step(ToolFailed{Call: call, Attempt: attempt, Refusal: refusal})
}

func (s *script) expect() {
	st := s.h.m.State()
	l := s.h.m.ledger
	s.h.printf("%s, %d turns, turn %d under way, durable=%t", st.State, st.Turns, st.Current, st.Durable)
	s.h.printf("used %d tokens, %d calls, %s of tools, %d agents", st.Usage.Tokens(), st.Usage.Calls, st.Usage.ToolTime, st.Usage.Agents)
	s.h.printf("charged %v reserved %v drawn %v", l.spent, l.reserved, l.usable())
}
