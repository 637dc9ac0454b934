// Package engine has the HTTP clients of upstreams. Model is the client of a model engine,
// which serves OpenAI-style chat completions and a few control requests. Service is the client
// of an application engine or tool service, whose functions are invoked by name.
//
// Every error of Model and Service has a *structs.Refusal in its chain; structs.AsRefusal
// returns it. Its outcome is not_run only when the request was never sent or the upstream
// states that it did not run it. Once a request may have been sent, the outcome is unknown
// unless the upstream states it.
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
	// Priority orders the calls that wait: the lowest number runs first.
	Priority int `json:"priority"`
	// ResumeOffset is the number of bytes of the answer that an earlier attempt delivered.
	ResumeOffset int `json:"resume_offset,omitempty"`
}

// StreamOptions requests the usage on the last chunk of the stream.
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

// ChatChunk is one event of the stream. CallID and Attempt repeat those of the request.
type ChatChunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Model   string         `json:"model"`
	Choices []ChatChoice   `json:"choices"`
	Usage   *ChatUsage     `json:"usage,omitempty"`
	CallID  structs.CallID `json:"call_id"`
	Attempt uint32         `json:"attempt"`
	// Offset is the number of bytes of the answer before this chunk's content.
	Offset int `json:"offset"`
}

// ChatChoice is a choice of a chunk. An engine sends at most one in a chunk, and none in the
// chunk with the usage.
type ChatChoice struct {
	Index        int       `json:"index"`
	Delta        ChatDelta `json:"delta"`
	FinishReason string    `json:"finish_reason,omitempty"`
}

// ChatDelta is the text and the tool calls that a chunk adds to the answer.
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

// PromptDetails is part of ChatUsage. CachedTokens counts the prompt tokens that were read
// from the engine's prefix cache.
type PromptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// ErrorBody is the body of an upstream's answer without a success status.
type ErrorBody struct {
	Code    structs.Code    `json:"code"`
	Outcome structs.Outcome `json:"outcome"`
	Detail  string          `json:"detail"`
}

// CallRef identifies one attempt of a call, for POST /control/cancel.
type CallRef struct {
	CallID  structs.CallID `json:"call_id"`
	Attempt uint32         `json:"attempt"`
}

// ProgramRef identifies a program, for POST /control/hold, /control/release and
// /control/export.
type ProgramRef struct {
	Program structs.ProgramID `json:"program"`
}

// Hold is KV cache that an engine retains for a program. Tokens is its length.
type Hold struct {
	Program structs.ProgramID `json:"program"`
	Tokens  int64             `json:"tokens"`
}

// CacheEvent is one change of an engine's prefix cache. Sequence starts at 1 in
// each incarnation of the engine and increases by 1 with each event.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// CacheEvents is the response body of GET /control/cache_events?after=.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// CacheSnapshot is the response body of GET /control/cache_snapshot: all blocks in the cache
// just after the event with the given sequence number.
type CacheSnapshot struct {
	Incarnation string   `json:"incarnation"`
	Sequence    uint64   `json:"sequence"`
	Blocks      []uint64 `json:"blocks"`
}

// CacheExport is the KV cache of a program, for transfer between engines: its chain of blocks.
type CacheExport struct {
	Program structs.ProgramID `json:"program"`
	Blocks  []uint64          `json:"blocks"`
}

// LoadModelOrder orders an engine to load a model or adapter version. Fence is the fencing
// number of the order.
type LoadModelOrder struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Fence   uint64 `json:"fence"`
}

// RoleOrder orders an engine to change its role to "mixed", "prefill" or "decode". Fence is
// the fencing number of the order.
type RoleOrder struct {
	Role  string `json:"role"`
	Fence uint64 `json:"fence"`
}

// InvokeRequest is the body of POST /invoke/{name}. Key is the idempotency key of the
// execution, by which GET /status finds it.
type InvokeRequest struct {
	Arguments json.RawMessage `json:"arguments,omitempty"`
	Key       string          `json:"key,omitempty"`
}

// InvokeResponse is the response body of POST /invoke/{name}.
type InvokeResponse struct {
	Result string `json:"result"`
}

// ServiceState is the state of the execution with one key, as the service reports it.
type ServiceState string

// States of an execution: it ran to its end, did not run and never will, or is running.
const (
	ServiceDone     ServiceState = "done"
	ServiceNeverRan ServiceState = "never"
	ServiceRunning  ServiceState = "running"
)

// StatusResponse is the response body of GET /status.
type StatusResponse struct {
	State  ServiceState `json:"state"`
	Result string       `json:"result,omitempty"`
}
