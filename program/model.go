package program

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

const (
	// reserveBytesPerToken is the number of bytes per token used to reserve tokens for a
	// prompt; low, so that the reservation is large enough.
	reserveBytesPerToken = 2
	// firstBackoff is the wait before the second attempt at a model call; it doubles with each
	// further attempt.
	firstBackoff = 100 * time.Millisecond
)

// startModel starts the next model call of the turn.
func (m *Machine) startModel(now time.Time) {
	t := m.current
	if t.step >= m.cfg.MaxSteps {
		m.refuse(now, structs.CodeLoopDetected, stepModel, "turn %d has taken %d steps", t.number, t.step)
		return
	}
	if _, err := m.history.all(); err != nil {
		m.refuse(now, structs.CodeInternal, stepModel, "history of %q: %v", m.id, err)
		return
	}
	prompt := m.promptTokens()
	maxTokens := min(int64(m.cfg.MaxTokens), m.ledger.free().Tokens-prompt)
	if maxTokens < 1 {
		m.refuse(now, structs.CodeBudgetExhausted, stepModel,
			"budget of %d tokens leaves %d for a prompt of up to %d", m.spec.Budget.Tokens, m.ledger.free().Tokens, prompt)
		return
	}
	t.step++
	c := &call{id: structs.NewCallID(m.id, t.number, t.step), kind: callModel, maxTokens: int(maxTokens)}
	t.model = c
	if !m.reserve(c, Amount{Tokens: prompt + maxTokens, Calls: 1}) {
		m.refuse(now, structs.CodeBudgetExhausted, stepModel, "budget of %d calls is used up", m.spec.Budget.Calls)
		return
	}
	m.launchReady(now)
}

// promptTokens estimates the tokens of the next prompt, meant to be too high: the engine's own
// count of the messages that it has processed, and an upper estimate of the rest.
func (m *Machine) promptTokens() int64 {
	t := m.current
	rest := m.history.bytes - m.contextBytes
	if !t.inHistory {
		rest += int64(len(t.content))
	}
	return m.context + (rest+reserveBytesPerToken-1)/reserveBytesPerToken + promptOverhead
}

// nextCallTokens estimates the tokens that the next model call reserves: the present history, an
// eighth more, and two answers of MaxTokens.
func (m *Machine) nextCallTokens() int64 {
	const growthDivisor = 8
	rest := (m.history.bytes - m.contextBytes) / structs.BytesPerToken
	prompt := m.context + rest
	return prompt + prompt/growthDivisor + 2*int64(m.cfg.MaxTokens)
}

// promptOverhead estimates the tokens that an engine adds around the messages of a prompt.
const promptOverhead = 64

// launchModel asks for the model call. Until the history holds the turn's message, that message is
// added to the prompt only.
func (m *Machine) launchModel(c *call) {
	t := m.current
	messages := m.history.expandedMessages()
	digest := m.history.digest
	if !t.inHistory {
		own := structs.Message{Role: structs.RoleUser, Content: t.content}
		messages = append(messages, own)
		digest = digest.Append(own)
	}
	m.emit(CallModel{Call: structs.ModelCall{
		Call:         c.id,
		Attempt:      c.attemptNumber,
		HomeAttempt:  uint32(c.attempts),
		Program:      m.id,
		Organisation: m.spec.Organisation,
		Kind:         m.spec.Kind,
		Model:        m.spec.Model,
		Messages:     messages,
		Digest:       digest,
		MaxTokens:    c.maxTokens,
		Attained:     m.usage.Tokens(),
		Deadline:     t.deadline,
		Turn:         t.number,
	}})
}

// modelStarted records the turn as soon as an engine works on it.
func (m *Machine) modelStarted(msg ModelStarted) {
	if m.active(msg.Call, msg.Attempt) != nil {
		m.recordTurn()
	}
}

func (m *Machine) modelDone(now time.Time, msg ModelDone) {
	answer := msg.Answer
	c := m.active(answer.Call, answer.Attempt)
	if c == nil || c.kind != callModel {
		return
	}
	t := m.current
	used := Amount{Tokens: answer.Usage.Tokens(), Calls: 1}
	// An engine that reports no usage is charged the whole reservation.
	if used.Tokens <= 0 {
		used.Tokens = c.reserved.Tokens
	}
	m.settle(c, used)
	t.model = nil
	answer.Usage.Calls = 1
	m.addUsage(answer.Usage)
	m.recordTurn()
	message := answer.Message
	message.Role = structs.RoleAssistant
	if len(message.ToolCalls) > m.cfg.MaxToolCalls {
		m.refuse(now, structs.CodeLoopDetected, stepModel,
			"the model asked for %d tool calls of at most %d", len(message.ToolCalls), m.cfg.MaxToolCalls)
		return
	}
	d := m.extend(message)
	if answer.Usage.Tokens() > 0 {
		m.context, m.contextBytes = answer.Usage.Tokens(), m.history.bytes
	}
	final := len(message.ToolCalls) == 0
	// After its answer the turn reserves no more, so the step record returns the unused draw.
	if final {
		m.ledger.lower()
	}
	seq := m.recordStep(d, final)
	if final {
		m.finish(now, seq)
		return
	}
	m.newBatch(message.ToolCalls)
	m.advanceBatch(now)
}

func (m *Machine) addUsage(u structs.Usage) {
	m.usage = m.usage.Add(u)
	m.current.usage = m.current.usage.Add(u)
}

// recordStep records the messages of the steps made since the last record.
func (m *Machine) recordStep(d delta, final bool) uint64 {
	t := m.current
	t.recordedStep = t.step
	step := stepRecord{Turn: t.number, Step: t.step, Delta: d, Usage: t.usage, Final: final}
	if m.contextBytes == m.history.bytes {
		step.Context = m.context
	}
	return m.record(step)
}

func (m *Machine) modelFailed(now time.Time, msg ModelFailed) {
	c := m.active(msg.Call, msg.Attempt)
	if c == nil || c.kind != callModel {
		return
	}
	t := m.current
	refusal := structs.AsRefusal(msg.Refusal)
	if refusal.Outcome == structs.OutcomeNotRun {
		t.launched--
	}
	wait, retry := m.retryDelay(now, c, refusal)
	if !retry {
		m.settleFailed(c, refusal)
		c.state = callDone
		m.endTurn(now, refusal)
		return
	}
	if refusal.Outcome != structs.OutcomeNotRun && !m.chargeAttempt(c) {
		m.refuse(now, structs.CodeBudgetExhausted, stepModel, "no budget for another attempt after %s", refusal.Code)
		return
	}
	c.state = callBackoff
	c.deadline = now.Add(wait)
}

// settleFailed charges the whole reservation of a failed call unless the call did not run.
func (m *Machine) settleFailed(c *call, refusal *structs.Refusal) {
	if refusal.Outcome == structs.OutcomeNotRun {
		m.releaseReservation(c)
		return
	}
	m.settle(c, c.reserved)
}

// chargeAttempt charges the whole reservation of a failed attempt and reserves the same amount
// again. It returns false when the budget does not suffice.
func (m *Machine) chargeAttempt(c *call) bool {
	need := c.reserved
	m.settle(c, need)
	return m.reserve(c, need)
}

// retryDelay returns the wait before the next attempt at a failed model call, and whether there is
// one. A model call may be repeated whatever its outcome, but the wait must end before the turn's
// deadline. When engines are full or not ready, the first
// model call of a turn is not attempted again, so that the turn is refused at once; a later model
// call is.
func (m *Machine) retryDelay(now time.Time, c *call, r *structs.Refusal) (time.Duration, bool) {
	if c.attempts >= m.cfg.ModelAttempts || r.Final {
		return 0, false
	}
	switch r.Code {
	case structs.CodeUpstreamFailed, structs.CodeDraining, structs.CodeHistoryMissing, structs.CodeHomeUnreachable:
	case structs.CodeOverloaded, structs.CodeNotReady:
		if !m.current.inHistory {
			return 0, false
		}
	default:
		return 0, false
	}
	wait := max(r.RetryAfter, firstBackoff<<(c.attempts-1))
	return wait, now.Add(wait).Before(m.current.deadline)
}
