package embedded

import (
	"context"
	"encoding/json"
	"time"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
)

// program is one program or sub-agent. Its turns run one after another.
type program struct {
	id         structs.ProgramID
	spec       structs.ProgramSpec
	entry      *entry
	messages   []structs.Message
	chain      kvcache.Chain
	attained   int64  // tokens computed for it so far
	steps      uint32 // model calls so far, without repeated attempts
	holder     *gate  // engine that holds its cache, nil without a hold
	held       int64  // tokens of the hold
	lastServed *gate  // engine of its last call
}

func newProgram(id structs.ProgramID, spec structs.ProgramSpec, e *entry) *program {
	p := &program{id: id, spec: spec, entry: e}
	p.append(structs.Message{Role: structs.RoleSystem, Content: spec.System})
	return p
}

func (p *program) append(m structs.Message) {
	p.messages = append(p.messages, m)
	p.chain.Append(m)
}

// run runs a turn to its answer if it is admitted. A refused turn changes nothing.
func (p *program) run(ctx context.Context, number uint32, content string, first func()) error {
	messages, chain := p.messages, p.chain.Clone()
	p.append(structs.Message{Role: structs.RoleUser, Content: content})
	if err := p.admit(ctx, number); err != nil {
		p.messages, p.chain = messages, chain
		return err
	}
	err := p.answer(ctx, number, first)
	p.entry.ended(p.id, err != nil)
	return err
}

// admit offers the turn to the admission control of the entry. The baselines admit every turn.
func (p *program) admit(ctx context.Context, number uint32) error {
	if routing.IsBaseline(p.entry.system.cfg.Preset.Policy) {
		return nil
	}
	call := p.call(ctx, number)
	d, ok := p.entry.preview(call, p.chain.Blocks())
	if !ok {
		return p.overloaded()
	}
	refusal := p.entry.offer(admission.Offer{
		Program: p.id, Organisation: p.spec.Organisation, Kind: p.spec.Kind, Started: number > 1,
		Deadline: call.Deadline, Predicted: d.Finish(), Wait: d.Wait,
	})
	if refusal != nil {
		return refusal
	}
	return nil
}

// overloaded returns the refusal of a call that no engine can take now.
func (p *program) overloaded() *structs.Refusal {
	r := structs.Refusalf(structs.CodeOverloaded, structs.OutcomeNotRun, "route", "no engine takes program %q", p.id)
	r.RetryAfter = p.entry.system.real(retryMin)
	return r
}

// call returns a model call of the turn that has the whole conversation as its messages. Its id
// contains the number of the current step.
func (p *program) call(ctx context.Context, turn uint32) *structs.ModelCall {
	deadline, _ := ctx.Deadline()
	return &structs.ModelCall{
		Call: structs.NewCallID(p.id, turn, p.steps), Program: p.id, Organisation: p.spec.Organisation,
		Kind: p.spec.Kind, Model: p.spec.Model, Messages: p.messages, Attained: p.attained,
		Deadline: deadline, Turn: turn,
	}
}

// answer runs the steps of a turn until the model answers without a tool call.
func (p *program) answer(ctx context.Context, turn uint32, first func()) error {
	for {
		message, err := p.step(ctx, turn, first)
		if err != nil {
			return err
		}
		p.append(message)
		if len(message.ToolCalls) == 0 {
			p.releaseHold()
			return nil
		}
		if err := p.tools(ctx, message.ToolCalls); err != nil {
			return err
		}
	}
}

// maxAttempts is the maximum number of attempts of one model call.
const maxAttempts = 4

// step runs one model call with up to maxAttempts attempts. Each chooses an engine anew.
func (p *program) step(ctx context.Context, turn uint32, first func()) (structs.Message, error) {
	p.steps++
	call := p.call(ctx, turn)
	blocks := p.chain.Blocks()
	var err error
	for attempt := range uint32(maxAttempts) {
		call.Attempt = attempt
		d, ok := p.entry.send(call, blocks)
		if !ok {
			err = p.overloaded()
			if !sleep(ctx, p.entry.system.real(retryMin)) {
				return structs.Message{}, ctx.Err()
			}
			continue
		}
		var message structs.Message
		if message, err = p.attempt(ctx, call, d, first); err == nil {
			return message, nil
		}
		if ctx.Err() != nil {
			return structs.Message{}, ctx.Err()
		}
	}
	return structs.Message{}, err
}

// attempt runs the call on the chosen engine and records its result at the entry. A call that
// ended with ctx says nothing about the engine.
func (p *program) attempt(ctx context.Context, call *structs.ModelCall, d routing.Decision, first func()) (structs.Message, error) {
	g := p.entry.system.byID[d.Upstream]
	message, usage, err := g.run(ctx, call, int64(d.PrefillTokens), first)
	p.entry.done(call, routing.Result{Failed: err != nil && ctx.Err() == nil, Inconclusive: ctx.Err() != nil, Usage: usage}, g.load())
	if err != nil {
		return message, err
	}
	p.attained += usage.PromptTokens - usage.CachedTokens + usage.GeneratedTokens
	p.lastServed = g
	if p.holder != nil && p.holder != g {
		p.releaseHold()
	}
	return message, nil
}

// tools runs the tool calls one after another and appends their results to the conversation.
func (p *program) tools(ctx context.Context, calls []structs.ToolCall) error {
	for _, c := range calls {
		p.hold(c.Name)
		started := time.Now()
		result, err := p.tool(ctx, c)
		if err != nil {
			return err
		}
		p.entry.observePause(c.Name, time.Since(started))
		p.append(structs.Message{Role: structs.RoleTool, Content: result, ToolCallID: c.ID})
	}
	return nil
}

// tool runs a tool call, whose duration is in its arguments, or a sub-agent.
func (p *program) tool(ctx context.Context, c structs.ToolCall) (string, error) {
	var arguments struct {
		PauseMS float64 `json:"pause_ms"`
		Task    string  `json:"task"`
	}
	if err := json.Unmarshal([]byte(c.Arguments), &arguments); err != nil {
		return "", err
	}
	if c.Name != structs.AgentTool {
		wait := p.entry.system.real(time.Duration(arguments.PauseMS * float64(time.Millisecond)))
		if !sleep(ctx, wait) {
			return "", ctx.Err()
		}
		return c.Name + " done", nil
	}
	// A sub-agent is part of its parent's turn, so it is not offered to the admission control.
	agent := newProgram(p.entry.system.newID(), p.spec, p.entry)
	agent.append(structs.Message{Role: structs.RoleUser, Content: arguments.Task})
	defer agent.release()
	if err := agent.answer(ctx, 1, func() {}); err != nil {
		return "", err
	}
	return agent.messages[len(agent.messages)-1].Content, nil
}

// hold makes the engine of the last call hold the program's cache during a tool call if the
// retention policy decides so. The baselines hold nothing.
func (p *program) hold(tool string) {
	if p.lastServed == nil || routing.IsBaseline(p.entry.system.cfg.Preset.Policy) {
		return
	}
	l := p.lastServed.load()
	d := p.entry.decideRetention(kvcache.Pause{
		Tool: tool, Tokens: int64(p.chain.Tokens()), Load: l, HeldTokens: p.lastServed.heldTokens(), EvictionAge: p.lastServed.evictionAge(),
		RecomputeShare: recomputeShare, HoldMax: time.Duration(p.entry.system.cfg.Preset.HoldMax),
	})
	if d.Retention != kvcache.RetentionHold {
		return
	}
	p.releaseHold()
	p.held = p.lastServed.hold(p.id)
	p.holder = p.lastServed
}

// recomputeShare is the expected share of evicted tokens that have to be computed again.
const recomputeShare = 0.5

// releaseHold ends the program's hold, if it has one.
func (p *program) releaseHold() {
	if p.holder != nil {
		p.holder.release(p.id, p.held)
		p.holder = nil
	}
}

// release frees the resources of a program that has ended.
func (p *program) release() { p.releaseHold() }

// sleep waits for d. It reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
