package structs

import "time"

// Budget bounds what one program may use, its sub-agents included.
// A zero field takes the default of the settings when a program is opened.
type Budget struct {
	// Tokens bounds prompt and generated tokens together.
	Tokens int64 `json:"tokens"`
	// Calls bounds model and tool calls together.
	Calls int64 `json:"calls"`
	// ToolTime bounds the time spent in tools.
	ToolTime time.Duration `json:"tool_time"`
	// Depth bounds the nesting of sub-agents; 0 allows none.
	Depth int `json:"depth"`
	// Agents bounds the number of sub-agents of the whole tree.
	Agents int64 `json:"agents"`
}

// Usage is what a call or a program has used.
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

// Tokens returns the tokens that count against a budget.
func (u Usage) Tokens() int64 { return u.PromptTokens + u.GeneratedTokens }
