package standin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

const (
	// defaultAnswerTokens is the length of an answer that no plan step defines.
	defaultAnswerTokens = 40
	// maxAnswerTokens bounds the length of an answer.
	maxAnswerTokens = 16384
	// planPrefix starts the line of a user message that scripts the answers.
	planPrefix = "plan:"
)

// planStep is one scripted answer: a tool call, or a text with a length of tokens.
type planStep struct {
	tool      string
	arguments string
	tokens    int
}

// ScriptedAnswer returns the answer that a model stand-in gives to a conversation.
// The last user message may script it by a line "plan: STEP; STEP; …", where STEP is
// "tool NAME {json}", "loop NAME {json}", "agent TASK" or "answer TOKENS". The number
// of tool messages after it selects the step; a loop step is repeated for ever. A TASK may
// be a JSON string, so that it can contain a plan of its own.
func ScriptedAnswer(messages []structs.Message) structs.Message {
	user, results := lastUser(messages)
	step := selectStep(parsePlan(user), results)
	if step.tool == "" {
		return structs.Message{Role: structs.RoleAssistant, Content: answerText(user, results, step.tokens)}
	}
	call := structs.ToolCall{
		ID:        fmt.Sprintf("call_%d_%016x", results, xxhash.Sum64String(user)),
		Name:      step.tool,
		Arguments: step.arguments,
	}
	return structs.Message{Role: structs.RoleAssistant, ToolCalls: []structs.ToolCall{call}}
}

// lastUser returns the content of the last user message and the number of tool
// messages after it.
func lastUser(messages []structs.Message) (content string, results int) {
	for i := len(messages) - 1; i >= 0; i-- {
		switch messages[i].Role {
		case structs.RoleUser:
			return messages[i].Content, results
		case structs.RoleTool:
			results++
		}
	}
	return "", results
}

// selectStep returns step n of the plan, or an earlier loop step. Past the end of the
// plan it returns a text of the default length.
func selectStep(plan []planStep, n int) planStep {
	for i, step := range plan {
		if i == n || step.tokens == loopForever {
			return step
		}
	}
	return planStep{tokens: defaultAnswerTokens}
}

// loopForever, as planStep.tokens, marks a tool step that is repeated for ever.
const loopForever = -1

// parsePlan returns the steps of the plan in a user message, up to the first step that is
// malformed.
func parsePlan(user string) []planStep {
	var line string
	for l := range strings.Lines(user) {
		if rest, found := strings.CutPrefix(strings.TrimSpace(l), planPrefix); found {
			line = rest
			break
		}
	}
	var plan []planStep
	for {
		line = strings.TrimLeft(line, "; \t")
		if line == "" {
			return plan
		}
		step, rest, ok := parseStep(line)
		if !ok {
			return plan
		}
		plan = append(plan, step)
		line = rest
	}
}

// parseStep parses the first step of a line and returns the rest of the line.
func parseStep(line string) (step planStep, rest string, ok bool) {
	verb, operand, _ := strings.Cut(line, " ")
	switch verb {
	case "tool", "loop":
		name, after, _ := strings.Cut(strings.TrimLeft(operand, " "), " ")
		// "tool NAME;" has no arguments, and the next step follows.
		name, noArguments := strings.CutSuffix(name, ";")
		step = planStep{tool: name, arguments: "{}"}
		if !noArguments {
			step.arguments, after = cutJSON(after, "{}")
		}
		if verb == "loop" {
			step.tokens = loopForever
		}
		return step, after, name != ""
	case "agent":
		task, after := cutTask(strings.TrimLeft(operand, " "))
		arguments, _ := json.Marshal(map[string]string{"task": task})
		return planStep{tool: structs.AgentTool, arguments: string(arguments)}, after, true
	case "answer":
		count, after, _ := strings.Cut(operand, ";")
		n, err := strconv.Atoi(strings.TrimSpace(count))
		return planStep{tokens: min(max(n, 1), maxAnswerTokens)}, after, err == nil
	}
	return planStep{}, "", false
}

// cutJSON returns the JSON object at the start of text, or fallback when there is none, and
// the rest of the text. After malformed JSON the rest is empty, so that the plan ends.
func cutJSON(text, fallback string) (value, rest string) {
	trimmed := strings.TrimLeft(text, " ")
	if !strings.HasPrefix(trimmed, "{") {
		return fallback, trimmed
	}
	decoder := json.NewDecoder(strings.NewReader(trimmed))
	var raw json.RawMessage
	if decoder.Decode(&raw) != nil {
		return fallback, ""
	}
	return string(raw), trimmed[decoder.InputOffset():]
}

// cutTask returns the task at the start of text, a JSON string or the text up to ";", and
// the rest of the text.
func cutTask(text string) (task, rest string) {
	if strings.HasPrefix(text, `"`) {
		decoder := json.NewDecoder(strings.NewReader(text))
		if decoder.Decode(&task) == nil {
			return task, text[decoder.InputOffset():]
		}
	}
	task, rest, _ = strings.Cut(text, ";")
	return strings.TrimSpace(task), rest
}

// answerText returns n tokens of 4 bytes each: 3 pseudo-random letters and a space. They are a
// function of the user message and the step.
func answerText(user string, step, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	state := xxhash.Sum64String(user) + uint64(step)
	out := make([]byte, 0, n*structs.BytesPerToken)
	for range n {
		// A linear congruential generator; the low bits are left out, as they repeat soon.
		state = state*6364136223846793005 + 1442695040888963407
		r := state >> 33
		out = append(out, letters[r%26], letters[r/26%26], letters[r/676%26], ' ')
	}
	return string(out)
}
