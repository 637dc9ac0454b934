package program

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"pgregory.net/rapid"
)

// world drives a bench at random and keeps its own account of what must hold.
type world struct {
	*bench
	t *rapid.T
	// spent is what engines, tools and sub-agents have used at all homes.
	spent Amount
	// open are the calls of this home that have not been answered.
	open []structs.CallID
	// actions are the irreversible requests by their key, which names one row.
	actions map[structs.CallID]string
	// results are the results of actions that ran.
	results    map[structs.CallID]string
	started    map[structs.CallID]time.Time
	agentsSeen map[structs.CallID]bool
	// submitted is the content of each turn, kept what callers were told to be kept.
	submitted map[uint32]string
	kept      map[uint32]string
	// prefix is the history that was kept, by its digest.
	prefix []structs.Message
	late   []Message
	gone   bool
}

func newWorld(t *rapid.T) *world {
	spec := structs.ProgramSpec{Budget: structs.Budget{
		Tokens:   rapid.Int64Range(500, 60000).Draw(t, "tokens"),
		Calls:    rapid.Int64Range(1, 40).Draw(t, "calls"),
		ToolTime: time.Duration(rapid.Int64Range(1, 60).Draw(t, "tool seconds")) * time.Second,
		Agents:   rapid.Int64Range(1, 4).Draw(t, "agents"),
		Depth:    1,
	}}
	w := &world{
		bench: newBench(Config{MaxTokens: 300}, spec), t: t,
		actions: map[structs.CallID]string{}, results: map[structs.CallID]string{},
		started: map[structs.CallID]time.Time{}, agentsSeen: map[structs.CallID]bool{},
		submitted: map[uint32]string{}, kept: map[uint32]string{},
	}
	w.seen = w.check
	w.bench.open()
	return w
}

// check holds each effect against the account.
func (w *world) check(e Effect) {
	switch e := e.(type) {
	case CallModel:
		w.open = append(w.open, e.Call.Call)
		w.checkModel(e.Call)
	case CallTool:
		w.open = append(w.open, e.Request.Call)
		w.checkTool(e.Request)
	case StartAgent:
		w.open = append(w.open, e.Call)
		w.checkAgent(e)
	case CancelCall:
		w.answered(e.Call)
	case Answer:
		w.checkAnswer(e)
	case Release:
		w.gone = true
	}
}

// answered ends a call and charges the time that its tool took.
func (w *world) answered(call structs.CallID) {
	if started, isTool := w.started[call]; isTool && slices.Contains(w.open, call) {
		w.spend(Amount{ToolTime: min(w.now.Sub(started), w.tools[call].Timeout)})
	}
	w.open = slices.DeleteFunc(w.open, func(c structs.CallID) bool { return c == call })
}

// spend charges what is used and fails when the budget does not cover it.
func (w *world) spend(a Amount) {
	w.spent = w.spent.add(a)
	b := w.spec.Budget
	limit := Amount{b.Tokens, b.Calls, b.ToolTime, b.Agents}
	if !w.spent.within(limit) {
		w.t.Fatalf("spent %+v of %+v", w.spent, limit)
	}
}

// checkModel charges the call at once, as if it used all that it may.
func (w *world) checkModel(c structs.ModelCall) {
	if got := (structs.Digest{}).AppendAll(c.Messages); got != c.Digest {
		w.t.Fatalf("call %s carries digest %s of messages with %s", c.Call, c.Digest, got)
	}
	if last := c.Messages[len(c.Messages)-1]; last.Role == structs.RoleUser && last.Content != w.submitted[c.Turn] {
		w.t.Fatalf("turn %d asks %q, submitted was %q", c.Turn, last.Content, w.submitted[c.Turn])
	}
	w.spend(Amount{Tokens: int64(structs.Tokens(c.Messages)) + int64(c.MaxTokens), Calls: 1})
}

// checkAgent charges a sub-agent once: another home finds the same one by its key. What
// it used is charged at once, and must lie within its share.
func (w *world) checkAgent(e StartAgent) {
	if budget := e.Spec.Budget; budget.Tokens < agentUse.Tokens || budget.Calls < agentUse.Calls {
		w.t.Fatalf("agent %s has a share of %+v", e.Call, budget)
	}
	if !w.agentsSeen[e.Call] {
		w.agentsSeen[e.Call] = true
		w.spend(agentUse.add(Amount{Agents: 1}))
	}
}

// agentUse is what each sub-agent uses.
var agentUse = Amount{Tokens: 256, Calls: 1}

// checkTool makes sure that one action row never stands for two requests, and that no
// irreversible request is made on a history that a restart would not find.
func (w *world) checkTool(r structs.ToolRequest) {
	w.started[r.Call] = w.now
	w.spend(Amount{Calls: 1})
	if !r.NonRepeatable {
		return
	}
	request := r.Name + r.Arguments
	if old, found := w.actions[r.Call]; found && old != request {
		w.t.Fatalf("action %s was %q and is %q", r.Call, old, request)
	}
	w.actions[r.Call] = request
	restored, err := Restore(&w.cfg, benchProgram, w.log[:w.bench.kept])
	if err != nil || restored.current == nil || !strings.HasPrefix(string(r.Call), fmt.Sprintf("%s/%d/", benchProgram, restored.current.number)) {
		w.t.Fatalf("action %s runs on records that are not committed: %v", r.Call, err)
	}
}

// checkAnswer makes sure that an answer is its own turn's and that a kept one never changes.
func (w *world) checkAnswer(a Answer) {
	if want := "re: " + w.submitted[a.Turn]; a.Content != want {
		w.t.Fatalf("turn %d is answered %q, want %q", a.Turn, a.Content, want)
	}
	if !a.Durable {
		return
	}
	restored, err := Restore(&w.cfg, benchProgram, w.log[:w.bench.kept])
	if err != nil || uint32(len(restored.turns)) < a.Turn {
		w.t.Fatalf("turn %d is called kept; a restart finds %d turns, %v", a.Turn, len(restored.turns), err)
	}
	w.kept[a.Turn] = a.Content
}

// checkHistory makes sure that kept history is still there, in the order of the turns.
func (w *world) checkHistory(*rapid.T) {
	ms, err := w.m.History().Messages()
	if err != nil {
		w.t.Fatalf("history: %v", err)
	}
	if len(ms) < len(w.prefix) || !slices.EqualFunc(w.prefix, ms[:len(w.prefix)], sameMessage) {
		w.t.Fatalf("kept history of %d messages was lost or changed", len(w.prefix))
	}
	if w.m.committed == w.m.seq {
		w.prefix = slices.Clone(ms)
	}
	turn := uint32(0)
	for _, m := range ms {
		if m.Role != structs.RoleUser {
			continue
		}
		if turn++; m.Content != w.submitted[turn] {
			w.t.Fatalf("turn %d of the history is %q, submitted was %q", turn, m.Content, w.submitted[turn])
		}
	}
	w.checkCalls(ms)
	for number, content := range w.kept {
		if past := w.m.turns[number-1]; past.refusal != nil || ms[past.answer].Content != content {
			w.t.Fatalf("turn %d was kept with %q and is lost", number, content)
		}
	}
}

// checkCalls makes sure that each tool call of an idle program has its result, since
// engines refuse other conversations.
func (w *world) checkCalls(ms []structs.Message) {
	var open []structs.ToolCall
	for i, m := range ms {
		switch {
		case len(open) > 0 && (m.Role != structs.RoleTool || m.ToolCallID != open[0].ID):
			w.t.Fatalf("message %d of role %q follows call %q without its result", i, m.Role, open[0].ID)
		case len(open) > 0:
			open = open[1:]
		default:
			open = m.ToolCalls
		}
	}
	if len(open) > 0 && w.m.current == nil {
		w.t.Fatalf("the program is idle and call %q has no result", open[0].ID)
	}
}

func sameMessage(a, b structs.Message) bool {
	return a.Role == b.Role && a.Content == b.Content && a.ToolCallID == b.ToolCallID && slices.Equal(a.ToolCalls, b.ToolCalls)
}

func (w *world) submit(t *rapid.T) {
	number := uint32(len(w.m.turns)) + uint32(rapid.IntRange(0, 2).Draw(t, "ahead"))
	content := fmt.Sprintf("turn %d %d", number, rapid.IntRange(0, 1).Draw(t, "payload"))
	next := uint32(len(w.m.turns)) + 1
	if number == next && !w.m.pendingTurn(number) && !w.m.Ended() &&
		(w.m.freed.seq <= w.m.committed || w.m.freed.payload == digestPayload(content)) {
		w.submitted[number] = content
	}
	w.step(SubmitTurn{Number: number, Key: fmt.Sprint("key", number), Content: content, Timeout: time.Minute})
}

// answer answers one open call, whole, with an error, or as another call's.
func (w *world) answer(t *rapid.T) {
	if len(w.open) == 0 {
		t.Skip("nothing is asked")
	}
	call := rapid.SampledFrom(w.open).Draw(t, "call")
	msg := w.reply(t, call)
	if len(w.late) < 20 {
		w.late = append(w.late, msg)
	}
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		return
	}
	w.answered(call)
	w.step(msg)
}

func callOf(msg Message) structs.CallID {
	switch msg := msg.(type) {
	case ToolDone:
		return msg.Call
	case ToolFailed:
		return msg.Call
	}
	return ""
}

func (w *world) reply(t *rapid.T, call structs.CallID) Message {
	failed := rapid.IntRange(0, 5).Draw(t, "failed") == 0
	outcome := rapid.SampledFrom([]structs.Outcome{structs.OutcomeRan, structs.OutcomeUnknown}).Draw(t, "outcome")
	refusal := structs.Refusalf(structs.CodeUpstreamFailed, outcome, "call", "drawn")
	if model, isModel := w.models[call]; isModel {
		if failed {
			return ModelFailed{Call: call, Attempt: model.Attempt, Refusal: refusal}
		}
		return ModelDone{Answer: w.modelAnswer(t, model)}
	}
	if tool, isTool := w.tools[call]; isTool {
		if failed && w.results[call] == "" {
			return ToolFailed{Call: call, Attempt: tool.Attempt, Refusal: refusal}
		}
		if tool.NonRepeatable {
			w.results[call] = "ran"
		}
		return ToolDone{Call: call, Attempt: tool.Attempt, Result: fmt.Sprint("result ", rapid.IntRange(0, 3).Draw(t, "result"))}
	}
	return AgentDone{Call: call, Attempt: w.agents[call].Attempt, Content: "agent's", Charged: agentUse}
}

func (w *world) modelAnswer(t *rapid.T, c structs.ModelCall) structs.ModelAnswer {
	a := structs.ModelAnswer{Call: c.Call, Attempt: c.Attempt}
	a.Message = structs.Message{Role: structs.RoleAssistant, Content: "re: " + w.submitted[c.Turn]}
	a.Usage = structs.Usage{PromptTokens: int64(structs.Tokens(c.Messages)), GeneratedTokens: int64(c.MaxTokens)}
	for i := range rapid.IntRange(0, 3).Draw(t, "tool calls") {
		name := rapid.SampledFrom([]string{"search", "publish", structs.AgentTool, "missing"}).Draw(t, "tool")
		arguments := fmt.Sprintf(`{"task":"%d"}`, rapid.IntRange(0, 2).Draw(t, "arguments"))
		a.Message.ToolCalls = append(a.Message.ToolCalls, structs.ToolCall{ID: fmt.Sprint(i), Name: name, Arguments: arguments})
	}
	return a
}

// forsake charges the calls of a home that dies: its tools may run to their timeouts.
func (w *world) forsake() {
	for _, call := range w.open {
		w.spend(Amount{ToolTime: w.tools[call].Timeout})
	}
	w.open, w.late = nil, nil
	clear(w.models)
	clear(w.tools)
	clear(w.agents)
	clear(w.started)
}

// TestInterleavings draws interleavings of callers, answers, commits and faults. Nothing of
// what must hold may break: order, kept history, budget over crashes, one request for each
// action row, answers to their own requests.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  w.submit,
			"submit2": w.submit,
			"answer":  w.answer,
			"answer2": w.answer,
			"answer3": w.answer,
			"late": func(t *rapid.T) {
				if len(w.late) == 0 {
					t.Skip("nothing was answered")
				}
				msg := rapid.SampledFrom(w.late).Draw(t, "late")
				w.answered(callOf(msg))
				w.step(msg)
			},
			"outage": func(*rapid.T) { w.outage = true },
			"heal": func(*rapid.T) {
				w.outage = false
				w.commit()
			},
			"commit": func(t *rapid.T) {
				w.commitThrough(rapid.IntRange(w.bench.kept, len(w.log)).Draw(t, "through"))
			},
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
			},
			"checkpoint": func(*rapid.T) {
				if w.bench.kept == len(w.log) {
					w.log, w.bench.kept = []LogRecord{w.m.Snapshot()}, 1
				}
			},
			"cancel": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
					w.step(Cancel{})
				}
			},
			"kill": func(*rapid.T) {
				w.forsake()
				if err := w.kill(); err != nil {
					w.t.Fatalf("restore: %v", err)
				}
				if charged := w.m.ledger.taken(); !w.spent.within(charged) {
					w.t.Fatalf("a restart charges %+v, spent was %+v", charged, w.spent)
				}
				w.step(Resume{})
			},
			"": w.checkHistory,
		})
	})
}
