package structs

import "time"

// Budget is the maximum that one program, with its sub-agents, may use. A field that is
// zero when a program is opened takes the default of the settings.
type Budget struct {
	// Tokens is the maximum sum of prompt and generated tokens.
	Tokens int64 `json:"tokens"`
	// Calls is the maximum number of model and tool calls together.
	Calls int64 `json:"calls"`
	// ToolTime is the maximum total time spent in tools.
	ToolTime time.Duration `json:"tool_time"`
	// Depth is the maximum nesting of sub-agents. After defaults are filled in, 0 allows
	// none.
	Depth int `json:"depth"`
	// Agents is the maximum number of sub-agents in the whole tree.
	Agents int64 `json:"agents"`
}

// Usage is what a call or a program has used. PromptTokens includes CachedTokens.
type Usage struct {
	PromptTokens    int64         `json:"prompt_tokens"`
	CachedTokens    int64         `json:"cached_tokens"`
	GeneratedTokens int64         `json:"generated_tokens"`
	Calls           int64         `json:"calls"`
	ToolTime        time.Duration `json:"tool_time"`
	Agents          int64         `json:"agents"`
}

// Add returns the sum of u and v.
func (u Usage) Add(v Usage) Usage {
	return Usage{
		PromptTokens:    u.PromptTokens + v.PromptTokens,
		CachedTokens:    u.CachedTokens + v.CachedTokens,
		GeneratedTokens: u.GeneratedTokens + v.GeneratedTokens,
		Calls:           u.Calls + v.Calls,
		ToolTime:        u.ToolTime + v.ToolTime,
		Agents:          u.Agents + v.Agents,
	}
}

// Tokens returns the number of tokens that count against a budget: prompt and generated
// tokens, cached ones included.
func (u Usage) Tokens() int64 { return u.PromptTokens + u.GeneratedTokens }
