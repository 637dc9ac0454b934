package relay

import "time"

// PromptPart is a part of a prompt. ID identifies its content and Tokens is its length. Calls can
// share leading parts; the last part is specific to the call or its conversation.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Call holds the decoded headers of a caller's request.
type Call struct {
	// ID identifies one request. Each attempt of a caller at the same call has an ID of its own.
	// A turn has the ID of its request.
	ID string
	// Timeout is how long the caller waits for the answer; zero when not given.
	Timeout time.Duration
	// AffinityKey names the object that the call works on, for routes with affinity; may be
	// empty.
	AffinityKey string
	// Model is the model that the call is for; empty when it is not for a model engine. The
	// package internal/gateway does not read it.
	Model string
	// PromptTokens is the length of the prompt; zero when not given.
	PromptTokens int
	// MaxTokens is the largest number of tokens that the call may generate; zero when not given.
	MaxTokens int
	// LengthHint is the number of tokens that the caller expects to be generated; zero when
	// not given.
	LengthHint int
	Prompt     []PromptPart
	// LastEvent is the id of the last event that the caller received, when it resumes a stream;
	// otherwise nil.
	LastEvent *int64
	// Resumes is the id of the call that brought the first event of the stream that this one
	// resumes; empty when not given.
	Resumes string

	// Program is the id of the program that the call belongs to; may be empty.
	Program string
	// Conversation is the id of the conversation, a sequence of turns of the program.
	Conversation string
	// ProgramTimeout is the time left until the whole program should finish; zero when not
	// given.
	ProgramTimeout time.Duration
	// TokenBudget is the number of tokens that all turns of the program together may
	// generate; zero when not given.
	TokenBudget int
	// Previous is the id of the turn that this one continues; may be empty.
	Previous string
}
