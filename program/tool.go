package program

import (
	"fmt"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

// newBatch makes the calls of a batch from the tool calls of a model answer.
func (m *Machine) newBatch(asked []structs.ToolCall) {
	t := m.current
	t.batch = make([]*call, 0, len(asked))
	for _, tool := range asked {
		t.step++
		c := &call{id: structs.NewCallID(m.id, t.number, t.step), kind: callTool, tool: tool}
		if tool.Name == structs.AgentTool {
			c.kind = callAgent
		}
		c.irreversible = m.cfg.Tools[tool.Name].Irreversible
		t.batch = append(t.batch, c)
	}
}

// advanceBatch starts the calls of the batch that may start: tool calls run one after the
// other, consecutive sub-agents in parallel. After the last result it continues with the model.
func (m *Machine) advanceBatch(now time.Time) {
	t := m.current
	for i, c := range t.batch {
		if c.state != callNew {
			continue
		}
		if !mayStart(t.batch[:i], c) {
			break
		}
		m.prepare(now, c)
		if m.current != t {
			return
		}
	}
	m.launchReady(now)
	for _, c := range t.batch {
		if c.state != callDone {
			return
		}
	}
	m.finishBatch(now)
}

// mayStart reports whether a call may start while calls before it have no result yet: only
// sub-agents run in parallel, and only with each other.
func mayStart(before []*call, c *call) bool {
	for _, b := range before {
		if b.state != callDone && (b.kind != callAgent || c.kind != callAgent) {
			return false
		}
	}
	return true
}

// prepare checks a new call of the batch and reserves what it may use.
func (m *Machine) prepare(now time.Time, c *call) {
	if c.kind == callAgent {
		m.prepareAgent(now, c)
		return
	}
	policy, known := m.cfg.Tools[c.tool.Name]
	if !known {
		m.fail(now, c, structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, toolStep(c), "tool %q does not exist", c.tool.Name))
		return
	}
	c.timeout = policy.Timeout
	setDefault(&c.timeout, m.cfg.ToolTimeout)
	c.timeout = min(c.timeout, m.ledger.free().ToolTime)
	if c.timeout <= 0 {
		m.refuse(now, structs.CodeBudgetExhausted, toolStep(c), "budget of %s of tool time is used up", m.spec.Budget.ToolTime)
		return
	}
	if !m.reserve(c, Amount{Calls: 1, ToolTime: c.timeout}) {
		m.refuse(now, structs.CodeBudgetExhausted, toolStep(c), "budget of %d calls is used up", m.spec.Budget.Calls)
		return
	}
	// An irreversible call waits for the commit of all records made so far.
	if c.irreversible {
		c.needSeq = m.seq
	}
}

// toolStep returns the Step of a refusal of the call.
func toolStep(c *call) string { return "tool " + c.tool.Name }

func (m *Machine) launchTool(now time.Time, c *call) {
	if c.irreversible {
		m.mayHaveActed = true
	} else {
		c.deadline = now.Add(c.timeout)
	}
	m.emit(CallTool{Request: structs.ToolRequest{
		Call:         c.id,
		Attempt:      c.attemptNumber,
		Program:      m.id,
		Organisation: m.spec.Organisation,
		Name:         c.tool.Name,
		Arguments:    c.tool.Arguments,
		Key:          string(c.id),
		Timeout:      c.timeout,
		Irreversible: c.irreversible,
		Resent:       c.resent,
	}})
}

func (m *Machine) toolDone(now time.Time, msg ToolDone) {
	c := m.active(msg.Call, msg.Attempt)
	if c == nil || c.kind != callTool {
		return
	}
	m.settleTool(now, c)
	if len(msg.Result) > m.cfg.MaxToolBytes {
		m.fail(now, c, structs.Refusalf(structs.CodeTooLarge, structs.OutcomeRan, toolStep(c),
			"result has %d bytes of at most %d", len(msg.Result), m.cfg.MaxToolBytes))
	} else {
		m.succeed(c, msg.Result)
	}
	m.advanceIfRunning(now)
}

// settleTool charges the time since the call was sent, but at most the timeout, since the service
// gets no more time than that. An irreversible call may take longer, as it also waits for its action
// row; that excess is not charged.
func (m *Machine) settleTool(now time.Time, c *call) {
	elapsed := min(max(now.Sub(c.started), 0), c.timeout)
	m.settle(c, Amount{Calls: 1, ToolTime: elapsed})
	m.addUsage(structs.Usage{Calls: 1, ToolTime: elapsed})
}

func (m *Machine) toolFailed(now time.Time, msg ToolFailed) {
	c := m.active(msg.Call, msg.Attempt)
	if c == nil || c.kind != callTool {
		return
	}
	refusal := structs.AsRefusal(msg.Refusal)
	if refusal.Outcome == structs.OutcomeNotRun {
		m.releaseReservation(c)
	} else {
		m.settleTool(now, c)
	}
	m.fail(now, c, refusal)
	m.advanceIfRunning(now)
}

// timeOut cancels a tool call that has reached its timeout and is not irreversible.
func (m *Machine) timeOut(now time.Time, c *call) {
	m.emit(CancelCall{Call: c.id, Attempt: c.attemptNumber})
	m.settleTool(now, c)
	m.fail(now, c, structs.Refusalf(structs.CodeToolTimeout, structs.OutcomeUnknown, toolStep(c), "no result within %s", c.timeout))
	m.advanceIfRunning(now)
}

// advanceIfRunning continues the batch unless the turn has ended.
func (m *Machine) advanceIfRunning(now time.Time) {
	if m.current != nil && m.current.batch != nil {
		m.advanceBatch(now)
	}
}

func (m *Machine) succeed(c *call, result string) {
	c.state = callDone
	c.result = result
}

// fail gives the call an error message for the model in place of a result. It ends the turn when the
// outcome of an action is in doubt, when the home is fenced, or after too many failures.
func (m *Machine) fail(now time.Time, c *call, refusal *structs.Refusal) {
	c.state = callDone
	c.result = failedResult(c, refusal)
	t := m.current
	t.toolFailures++
	switch {
	case refusal.Code == structs.CodeFenced:
		m.endTurn(now, refusal)
	case c.irreversible && refusal.Outcome == structs.OutcomeUnknown:
		m.refuse(now, structs.CodeActionInDoubt, toolStep(c), "action %q: %s: %s", c.id, refusal.Code, refusal.Detail)
	case t.toolFailures >= m.cfg.ToolFailures:
		m.refuse(now, turnCode(refusal.Code), toolStep(c), "%d calls of the turn failed, the last: %s", t.toolFailures, refusal.Detail)
	}
}

// turnCode returns the code of the refusal of a turn that a failed call ends. An invalid request by
// the model is not the caller's fault, so its code is replaced by CodeUpstreamFailed.
func turnCode(code structs.Code) structs.Code {
	switch code {
	case structs.CodeNotFound, structs.CodeBadRequest, structs.CodeTooLarge:
		return structs.CodeUpstreamFailed
	default:
		return code
	}
}

// failedResult returns the error message that the model receives for a failed call.
func failedResult(c *call, r *structs.Refusal) string {
	return fmt.Sprintf("error: %s gave no result: %s (%s): %s", toolStep(c), r.Code, r.Outcome, r.Detail)
}

// abandonedResult returns the message that stands in the history for a call whose turn ended
// before its result.
func abandonedResult(c *call, r *structs.Refusal) string {
	outcome := structs.OutcomeNotRun
	if c.mayHaveRun() {
		outcome = structs.OutcomeUnknown
	}
	return fmt.Sprintf("error: %s gave no result: the turn ended with %s (%s)", toolStep(c), r.Code, outcome)
}

func toolMessage(c *call) structs.Message {
	return structs.Message{Role: structs.RoleTool, Content: c.result, ToolCallID: c.tool.ID}
}

// finishBatch adds the results to the history and continues with the model.
func (m *Machine) finishBatch(now time.Time) {
	t := m.current
	results := make([]structs.Message, 0, len(t.batch))
	for _, c := range t.batch {
		results = append(results, toolMessage(c))
	}
	m.recordStep(m.extend(results...), false)
	m.ledger.closeBatch()
	m.closeAgents(t.batch)
	looping := m.countRepeats(t.batch)
	t.batch = nil
	if looping != nil {
		m.refuse(now, structs.CodeLoopDetected, toolStep(looping),
			"called %d times with the same arguments and result", m.cfg.RepeatedCalls)
		return
	}
	m.startModel(now)
}

// repeatKey identifies a tool call together with its result.
type repeatKey uint64

func newRepeatKey(tool structs.ToolCall, result string) repeatKey {
	h := xxhash.New()
	for _, part := range []string{tool.Name, tool.Arguments, result} {
		// Writing to a hash does not fail.
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return repeatKey(h.Sum64())
}

// countRepeats counts the equal calls of the turn. It returns a call that has reached the
// limit, or nil.
func (m *Machine) countRepeats(batch []*call) *call {
	var looping *call
	for _, c := range batch {
		if m.countRepeat(c.tool, c.result) >= m.cfg.RepeatedCalls {
			looping = c
		}
	}
	return looping
}

func (m *Machine) countRepeat(tool structs.ToolCall, result string) int {
	t := m.current
	if t.repeats == nil {
		t.repeats = make(map[repeatKey]int)
	}
	key := newRepeatKey(tool, result)
	t.repeats[key]++
	return t.repeats[key]
}
