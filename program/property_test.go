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

// simulation drives a harness at random and tracks independently what must hold.
type simulation struct {
	*harness
	t *rapid.T
	// spent is what engines, tools and sub-agents have used at all homes.
	spent Amount
	// openCalls are the calls of this home that have no answer yet.
	openCalls []structs.CallID
	// actions maps the key of an irreversible request, which identifies one action row, to its
	// content.
	actions map[structs.CallID]string
	// results are the results of actions that ran.
	results map[structs.CallID]string
	// started holds the time at which each tool call was sent, agentsSeen the calls whose sub-agent
	// is charged already.
	started    map[structs.CallID]time.Time
	agentsSeen map[structs.CallID]bool
	// submitted is the content of each turn, durableAnswers the answers that callers received
	// as durable.
	submitted      map[uint32]string
	durableAnswers map[uint32]string
	// durableHistory is the history at the last time when all records were committed.
	durableHistory []structs.Message
	// sentReplies holds up to 20 replies to calls of this home, lost ones included.
	sentReplies []Message
	released    bool
}

func newSimulation(t *rapid.T) *simulation {
	spec := structs.ProgramSpec{Budget: structs.Budget{
		Tokens:   rapid.Int64Range(500, 60000).Draw(t, "tokens"),
		Calls:    rapid.Int64Range(1, 40).Draw(t, "calls"),
		ToolTime: time.Duration(rapid.Int64Range(1, 60).Draw(t, "tool seconds")) * time.Second,
		Agents:   rapid.Int64Range(1, 4).Draw(t, "agents"),
		Depth:    1,
	}}
	sim := &simulation{
		harness: newHarness(Config{MaxTokens: 300}, spec), t: t,
		actions: map[structs.CallID]string{}, results: map[structs.CallID]string{},
		started: map[structs.CallID]time.Time{}, agentsSeen: map[structs.CallID]bool{},
		submitted: map[uint32]string{}, durableAnswers: map[uint32]string{},
	}
	sim.onEffect = sim.checkEffect
	sim.open()
	return sim
}

// checkEffect checks each effect against the tracked state.
func (sim *simulation) checkEffect(e Effect) {
	switch e := e.(type) {
	case CallModel:
		sim.openCalls = append(sim.openCalls, e.Call.Call)
		sim.checkModel(e.Call)
	case CallTool:
		sim.openCalls = append(sim.openCalls, e.Request.Call)
		sim.checkTool(e.Request)
	case StartAgent:
		sim.openCalls = append(sim.openCalls, e.Call)
		sim.checkAgent(e)
	case CancelCall:
		sim.closeCall(e.Call)
	case Answer:
		sim.checkAnswer(e)
	case Release:
		sim.released = true
	}
}

// closeCall ends a call and charges the time that its tool took.
func (sim *simulation) closeCall(call structs.CallID) {
	if started, isTool := sim.started[call]; isTool && slices.Contains(sim.openCalls, call) {
		sim.spend(Amount{ToolTime: min(sim.now.Sub(started), sim.tools[call].Timeout)})
	}
	sim.openCalls = slices.DeleteFunc(sim.openCalls, func(c structs.CallID) bool { return c == call })
}

// spend charges an amount and fails when the budget does not cover it.
func (sim *simulation) spend(a Amount) {
	sim.spent = sim.spent.add(a)
	b := sim.spec.Budget
	limit := Amount{b.Tokens, b.Calls, b.ToolTime, b.Agents}
	if !sim.spent.within(limit) {
		sim.t.Fatalf("spent %+v, the budget is %+v", sim.spent, limit)
	}
}

// checkModel charges the call at once, as if it used all that it may use.
func (sim *simulation) checkModel(c structs.ModelCall) {
	if got := (structs.ConversationDigest{}).AppendAll(c.Messages); got != c.Digest {
		sim.t.Fatalf("call %s has digest %s, its messages have %s", c.Call, c.Digest, got)
	}
	if last := c.Messages[len(c.Messages)-1]; last.Role == structs.RoleUser && last.Content != sim.submitted[c.Turn] {
		sim.t.Fatalf("turn %d sent %q, submitted was %q", c.Turn, last.Content, sim.submitted[c.Turn])
	}
	sim.spend(Amount{Tokens: int64(structs.Tokens(c.Messages)) + int64(c.MaxTokens), Calls: 1})
}

// checkAgent charges a sub-agent once, since another home finds the same one by its key. What it
// uses is charged at once and must lie within its share.
func (sim *simulation) checkAgent(e StartAgent) {
	if budget := e.Spec.Budget; budget.Tokens < agentUse.Tokens || budget.Calls < agentUse.Calls {
		sim.t.Fatalf("agent %s has a share of %+v", e.Call, budget)
	}
	if !sim.agentsSeen[e.Call] {
		sim.agentsSeen[e.Call] = true
		sim.spend(agentUse.add(Amount{Agents: 1}))
	}
}

// agentUse is what each sub-agent uses.
var agentUse = Amount{Tokens: 256, Calls: 1}

// checkTool checks that one action row never stands for two requests, and that no irreversible
// request is made on a history that a restart would not find.
func (sim *simulation) checkTool(r structs.ToolRequest) {
	sim.started[r.Call] = sim.now
	sim.spend(Amount{Calls: 1})
	if !r.Irreversible {
		return
	}
	request := r.Name + r.Arguments
	if old, found := sim.actions[r.Call]; found && old != request {
		sim.t.Fatalf("action %s changed from %q to %q", r.Call, old, request)
	}
	sim.actions[r.Call] = request
	restored, err := Restore(&sim.cfg, testProgram, sim.log[:sim.committed])
	if err != nil || restored.current == nil || !strings.HasPrefix(string(r.Call), fmt.Sprintf("%s/%d/", testProgram, restored.current.number)) {
		sim.t.Fatalf("action %s runs on records that are not committed: %v", r.Call, err)
	}
}

// checkAnswer checks that an answer belongs to its turn and that a restart finds a durable one.
func (sim *simulation) checkAnswer(a Answer) {
	if want := "re: " + sim.submitted[a.Turn]; a.Content != want {
		sim.t.Fatalf("turn %d is answered %q, want %q", a.Turn, a.Content, want)
	}
	if !a.Durable {
		return
	}
	restored, err := Restore(&sim.cfg, testProgram, sim.log[:sim.committed])
	if err != nil || uint32(len(restored.turns)) < a.Turn {
		sim.t.Fatalf("the answer of turn %d was sent as durable, a restart finds %d turns: %v", a.Turn, len(restored.turns), err)
	}
	sim.durableAnswers[a.Turn] = a.Content
}

// checkHistory checks that the durable history is unchanged and in the order of the turns.
func (sim *simulation) checkHistory(*rapid.T) {
	ms, err := sim.m.History().Messages()
	if err != nil {
		sim.t.Fatalf("history: %v", err)
	}
	if len(ms) < len(sim.durableHistory) || !slices.EqualFunc(sim.durableHistory, ms[:len(sim.durableHistory)], sameMessage) {
		sim.t.Fatalf("durable history of %d messages was lost or changed", len(sim.durableHistory))
	}
	if sim.m.committed == sim.m.seq {
		sim.durableHistory = slices.Clone(ms)
	}
	turn := uint32(0)
	for _, m := range ms {
		if m.Role != structs.RoleUser {
			continue
		}
		if turn++; m.Content != sim.submitted[turn] {
			sim.t.Fatalf("turn %d of the history is %q, submitted was %q", turn, m.Content, sim.submitted[turn])
		}
	}
	sim.checkCalls(ms)
	for number, content := range sim.durableAnswers {
		if past := sim.m.turns[number-1]; past.refusal != nil || ms[past.answer].Content != content {
			sim.t.Fatalf("turn %d lost its durable answer %q", number, content)
		}
	}
}

// checkCalls checks that each tool call of an idle program has its result, since engines refuse
// other conversations.
func (sim *simulation) checkCalls(ms []structs.Message) {
	var open []structs.ToolCall
	for i, m := range ms {
		switch {
		case len(open) > 0 && (m.Role != structs.RoleTool || m.ToolCallID != open[0].ID):
			sim.t.Fatalf("message %d of role %q follows call %q without its result", i, m.Role, open[0].ID)
		case len(open) > 0:
			open = open[1:]
		default:
			open = m.ToolCalls
		}
	}
	if len(open) > 0 && sim.m.current == nil {
		sim.t.Fatalf("the program is idle and call %q has no result", open[0].ID)
	}
}

func sameMessage(a, b structs.Message) bool {
	return a.Role == b.Role && a.Content == b.Content && a.ToolCallID == b.ToolCallID && slices.Equal(a.ToolCalls, b.ToolCalls)
}

func (sim *simulation) submit(t *rapid.T) {
	number := uint32(len(sim.m.turns)) + uint32(rapid.IntRange(0, 2).Draw(t, "ahead"))
	content := fmt.Sprintf("turn %d %d", number, rapid.IntRange(0, 1).Draw(t, "payload"))
	next := uint32(len(sim.m.turns)) + 1
	if number == next && !sim.m.pendingTurn(number) && !sim.m.Ended() &&
		(sim.m.unconsumed.seq <= sim.m.committed || sim.m.unconsumed.payload == digestPayload(content)) {
		sim.submitted[number] = content
	}
	sim.step(SubmitTurn{Number: number, Key: fmt.Sprint("key", number), Content: content, Timeout: time.Minute})
}

// answer replies to one open call, with a result or an error. One reply in ten is lost; the step
// "late" may deliver it afterwards, or deliver another reply twice.
func (sim *simulation) answer(t *rapid.T) {
	if len(sim.openCalls) == 0 {
		t.Skip("no open call")
	}
	call := rapid.SampledFrom(sim.openCalls).Draw(t, "call")
	msg := sim.reply(t, call)
	if len(sim.sentReplies) < 20 {
		sim.sentReplies = append(sim.sentReplies, msg)
	}
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		return
	}
	sim.closeCall(call)
	sim.step(msg)
}

// callOf returns the tool call that a reply belongs to, or "" for other replies.
func callOf(msg Message) structs.CallID {
	switch msg := msg.(type) {
	case ToolDone:
		return msg.Call
	case ToolFailed:
		return msg.Call
	}
	return ""
}

func (sim *simulation) reply(t *rapid.T, call structs.CallID) Message {
	failed := rapid.IntRange(0, 5).Draw(t, "failed") == 0
	outcome := rapid.SampledFrom([]structs.Outcome{structs.OutcomeRan, structs.OutcomeUnknown}).Draw(t, "outcome")
	refusal := structs.Refusalf(structs.CodeUpstreamFailed, outcome, "call", "drawn")
	if model, isModel := sim.models[call]; isModel {
		if failed {
			return ModelFailed{Call: call, Attempt: model.Attempt, Refusal: refusal}
		}
		return ModelDone{Answer: sim.modelAnswer(t, model)}
	}
	if tool, isTool := sim.tools[call]; isTool {
		if failed && sim.results[call] == "" {
			return ToolFailed{Call: call, Attempt: tool.Attempt, Refusal: refusal}
		}
		if tool.Irreversible {
			sim.results[call] = "ran"
		}
		return ToolDone{Call: call, Attempt: tool.Attempt, Result: fmt.Sprint("result ", rapid.IntRange(0, 3).Draw(t, "result"))}
	}
	return AgentDone{Call: call, Attempt: sim.agents[call].Attempt, Content: "agent's", Charged: agentUse}
}

func (sim *simulation) modelAnswer(t *rapid.T, c structs.ModelCall) structs.ModelAnswer {
	a := structs.ModelAnswer{Call: c.Call, Attempt: c.Attempt}
	a.Message = structs.Message{Role: structs.RoleAssistant, Content: "re: " + sim.submitted[c.Turn]}
	a.Usage = structs.Usage{PromptTokens: int64(structs.Tokens(c.Messages)), GeneratedTokens: int64(c.MaxTokens)}
	for i := range rapid.IntRange(0, 3).Draw(t, "tool calls") {
		name := rapid.SampledFrom([]string{"search", "publish", structs.AgentTool, "missing"}).Draw(t, "tool")
		arguments := fmt.Sprintf(`{"task":"%d"}`, rapid.IntRange(0, 2).Draw(t, "arguments"))
		a.Message.ToolCalls = append(a.Message.ToolCalls, structs.ToolCall{ID: fmt.Sprint(i), Name: name, Arguments: arguments})
	}
	return a
}

// chargeOpenCalls charges the open calls of a home that crashes: their tools may run until their
// timeouts.
func (sim *simulation) chargeOpenCalls() {
	for _, call := range sim.openCalls {
		sim.spend(Amount{ToolTime: sim.tools[call].Timeout})
	}
	sim.openCalls, sim.sentReplies = nil, nil
	clear(sim.models)
	clear(sim.tools)
	clear(sim.agents)
	clear(sim.started)
}

// TestInterleavings guards against broken invariants under random interleavings of submissions,
// answers, commits and faults: turns run in order, durable history is never lost, the budget
// holds across crashes, one action row stands for one request, and each answer belongs to its
// own request. A step whose name ends in a number is an additional entry for the same step, so that
// it is drawn more often.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  sim.submit,
			"submit2": sim.submit,
			"answer":  sim.answer,
			"answer2": sim.answer,
			"answer3": sim.answer,
			"late": func(t *rapid.T) {
				if len(sim.sentReplies) == 0 {
					t.Skip("no reply was made")
				}
				msg := rapid.SampledFrom(sim.sentReplies).Draw(t, "late")
				sim.closeCall(callOf(msg))
				sim.step(msg)
			},
			"outage": func(*rapid.T) { sim.outage = true },
			"heal": func(*rapid.T) {
				sim.outage = false
				sim.commit()
			},
			"commit": func(t *rapid.T) {
				sim.commitThrough(rapid.IntRange(sim.committed, len(sim.log)).Draw(t, "through"))
			},
			"advance": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
			},
			"checkpoint": func(*rapid.T) {
				if sim.committed == len(sim.log) {
					sim.log, sim.committed = []LogRecord{sim.m.Snapshot()}, 1
				}
			},
			"cancel": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
					sim.step(Cancel{})
				}
			},
			"kill": func(*rapid.T) {
				sim.chargeOpenCalls()
				if err := sim.kill(); err != nil {
					sim.t.Fatalf("restore: %v", err)
				}
				if charged := sim.m.ledger.taken(); !sim.spent.within(charged) {
					sim.t.Fatalf("a restart charges %+v, spent was %+v", charged, sim.spent)
				}
				sim.step(Resume{})
			},
			"": sim.checkHistory,
		})
	})
}
