package relay

import "time"

// PromptPart is a part of a prompt, with its length. Calls can share parts; the last part is
// specific to the call or its conversation.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Call holds what a caller's request states beside its method, path and body.
type Call struct {
	// ID identifies this attempt of the caller.
	ID string
	// Timeout is how long the caller waits for the answer; zero when not stated.
	Timeout time.Duration
	// AffinityKey names the object that the call works on, for routes with affinity; may be
	// empty.
	AffinityKey string
	// Model is the model that the call is for; empty for calls of other engines.
	Model        string
	PromptTokens int
	// MaxTokens is the largest number of tokens that the call may generate.
	MaxTokens int
	// LengthHint is the number of tokens that the caller expects to be generated; zero when
	// not stated.
	LengthHint int
	Prompt     []PromptPart
	// LastEvent is the id of the last event that the caller received of a stream that it
	// resumes; nil starts the stream from its beginning.
	LastEvent *int64

	Program string
	// Conversation names the sequence of turns within the program that the turn belongs to.
	Conversation string
	// ProgramTimeout is the time until the whole program should be finished; zero when not
	// stated.
	ProgramTimeout time.Duration
	// TokenBudget is the number of tokens that all turns of the program together may
	// generate; zero when not stated.
	TokenBudget int
	// Previous is the id of the turn that this one continues; may be empty.
	Previous string
}
