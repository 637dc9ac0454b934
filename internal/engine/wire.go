// Package engine holds the clients of upstreams: model engines that speak
// OpenAI-style chat completions with a few control calls, and application
// engines and tool services that are invoked by name.
//
// Every error is a *structs.Refusal, reachable by structs.AsRefusal, whose
// outcome is true: not_run only when the request was never sent or the upstream
// itself says that it did not start it, unknown for anything else after the send.
package engine

import (
	"encoding/json"

	"github.com/buckthornroute/buckthornroute/structs"
)

// ChatRequest is the body of POST /v1/chat/completions.
// The fields after StreamOptions extend the OpenAI form.
type ChatRequest struct {
	Model         string         `json:"model"`
	Messages      []ChatMessage  `json:"messages"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
	Stream        bool           `json:"stream"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`

	CallID  structs.CallID    `json:"call_id"`
	Attempt uint32            `json:"attempt"`
	Program structs.ProgramID `json:"program,omitempty"`
	// Priority orders waiting calls: the lowest runs first.
	Priority int `json:"priority"`
	// ResumeOffset is the number of answer bytes that the caller already holds.
	ResumeOffset int `json:"resume_offset,omitempty"`
}

// StreamOptions asks for usage on the last chunk.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ChatMessage is one message in OpenAI form.
type ChatMessage struct {
	Role       string         `json:"role"`
	Content    string         `json:"content"`
	ToolCalls  []ChatToolCall `json:"tool_calls,omitempty"`
	ToolCallID string         `json:"tool_call_id,omitempty"`
}

// ChatToolCall is a tool call in OpenAI form; Index is set in stream deltas.
type ChatToolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function ChatFunction `json:"function"`
}

// ChatFunction is the function of a tool call.
type ChatFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// ChatChunk is one event of the stream. CallID and Attempt echo the request's.
type ChatChunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Model   string         `json:"model"`
	Choices []ChatChoice   `json:"choices"`
	Usage   *ChatUsage     `json:"usage,omitempty"`
	CallID  structs.CallID `json:"call_id"`
	Attempt uint32         `json:"attempt"`
	// Offset is the number of answer bytes before this chunk's content.
	Offset int `json:"offset"`
}

// ChatChoice is the only choice of a chunk.
type ChatChoice struct {
	Index        int       `json:"index"`
	Delta        ChatDelta `json:"delta"`
	FinishReason string    `json:"finish_reason,omitempty"`
}

// ChatDelta is what a chunk adds to the answer.
type ChatDelta struct {
	Role      string         `json:"role,omitempty"`
	Content   string         `json:"content,omitempty"`
	ToolCalls []ChatToolCall `json:"tool_calls,omitempty"`
}

// ChatUsage counts the tokens of a call.
type ChatUsage struct {
	PromptTokens        int64         `json:"prompt_tokens"`
	CompletionTokens    int64         `json:"completion_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails counts the prompt tokens that the engine's prefix cache served.
type PromptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// ErrorBody is the body of every answer of an upstream that is not a success.
type ErrorBody struct {
	Code    structs.Code    `json:"code"`
	Outcome structs.Outcome `json:"outcome"`
	Detail  string          `json:"detail"`
}

// CallRef names one attempt of a call, for POST /control/cancel.
type CallRef struct {
	CallID  structs.CallID `json:"call_id"`
	Attempt uint32         `json:"attempt"`
}

// ProgramRef names a program, for hold, release and export.
type ProgramRef struct {
	Program structs.ProgramID `json:"program"`
}

// Hold is KV cache that an engine keeps for a program.
type Hold struct {
	Program structs.ProgramID `json:"program"`
	Tokens  int64             `json:"tokens"`
}

// CacheEvent is one change of an engine's prefix cache. Sequence starts at 1 in
// each incarnation of the engine and grows by one with each event.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// CacheEvents is the answer of GET /control/cache_events?after=.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// CacheSnapshot is the answer of GET /control/cache_snapshot: all blocks cached
// after the event with the given sequence.
type CacheSnapshot struct {
	Incarnation string   `json:"incarnation"`
	Sequence    uint64   `json:"sequence"`
	Blocks      []uint64 `json:"blocks"`
}

// CacheExport is KV cache in transit between engines: the block chain of a program.
type CacheExport struct {
	Program structs.ProgramID `json:"program"`
	Blocks  []uint64          `json:"blocks"`
}

// LoadModelOrder orders an engine to load a model or adapter version.
type LoadModelOrder struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Fence   uint64 `json:"fence"`
}

// RoleOrder orders an engine to change its role: "mixed", "prefill" or "decode".
type RoleOrder struct {
	Role  string `json:"role"`
	Fence uint64 `json:"fence"`
}

// InvokeRequest is the body of POST /invoke/{name}.
type InvokeRequest struct {
	Arguments json.RawMessage `json:"arguments,omitempty"`
	Key       string          `json:"key,omitempty"`
}

// InvokeAnswer is the answer of POST /invoke/{name}.
type InvokeAnswer struct {
	Result string `json:"result"`
}

// ServiceState is what a service knows of the execution of one key.
type ServiceState string

// States of an execution.
const (
	ServiceDone     ServiceState = "done"
	ServiceNeverRan ServiceState = "never"
	ServiceRunning  ServiceState = "running"
)

// StatusAnswer is the answer of GET /status.
type StatusAnswer struct {
	State  ServiceState `json:"state"`
	Result string       `json:"result,omitempty"`
}
