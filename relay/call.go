package relay

import "time"

// PromptPart is one part of a prompt. Calls share parts; the last one belongs to the call
// or its line of turns.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Call is what a caller says of its request beside method, path and body.
type Call struct {
	// ID is the id of this attempt of the caller.
	ID string
	// Timeout is how long the caller waits; zero when it does not say.
	Timeout time.Duration
	// AffinityKey names what the call is about on routes with affinity; may be empty.
	AffinityKey string
	// Model is set for calls of model engines.
	Model        string
	PromptTokens int
	// MaxTokens is the most that the call generates.
	MaxTokens int
	// LengthHint is the caller's guess of the tokens generated; zero says none.
	LengthHint int
	Prompt     []PromptPart
	// LastEvent is the id of the last event that the caller has, for a stream that it
	// goes on with; nil starts from the beginning.
	LastEvent *int64

	Program string
	// Conversation names the line of turns within the program.
	Conversation string
	// ProgramTimeout is the time until the program should be finished; zero says none.
	ProgramTimeout time.Duration
	// TokenBudget is the number of tokens that all turns of the program may generate;
	// zero says none.
	TokenBudget int
	// Previous is the id of the turn that this one continues from; may be empty.
	Previous string
}
