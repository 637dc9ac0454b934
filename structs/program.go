package structs

import "time"

// ProgramSpec is what a caller asks for when it opens a program.
type ProgramSpec struct {
	Organisation OrganisationID `json:"organisation"`
	// Kind is the program's kind by the settings, such as "question", "draft" or "newsletter".
	Kind   string `json:"kind"`
	Model  string `json:"model"`
	System string `json:"system,omitempty"`
	Budget Budget `json:"budget"`
	// TurnTimeout is how long the caller waits for one turn's answer; zero takes the preset's.
	TurnTimeout time.Duration `json:"patience,omitempty"`
	// Parent is the program whose sub-agent this is; empty for a caller's program.
	Parent ProgramID `json:"parent,omitempty"`
	// Depth is the number of ancestors.
	Depth int `json:"depth,omitempty"`
	// Key is the caller's idempotency key of the open request.
	Key string `json:"key,omitempty"`
}

// ProgramState is the state of a program.
type ProgramState string

// States of a program.
const (
	ProgramIdle    ProgramState = "idle"
	ProgramRunning ProgramState = "running"
	ProgramEnded   ProgramState = "ended"
)

// ModelCall is one call to a model engine.
type ModelCall struct {
	Call    CallID `json:"call"`
	Attempt uint32 `json:"attempt"`
	// HomeAttempt counts the attempts at this call by its home, from 1; 0 counts as 1.
	HomeAttempt  uint32         `json:"try,omitempty"`
	Program      ProgramID      `json:"program"`
	Organisation OrganisationID `json:"organisation"`
	Kind         string         `json:"kind"`
	Model        string         `json:"model"`
	// Messages is the whole conversation.
	Messages []Message `json:"messages"`
	// Digest is the digest of Messages.
	Digest    Digest `json:"digest"`
	MaxTokens int    `json:"max_tokens"`
	// Attained is the service that the program has had: tokens computed for it so far.
	Attained int64 `json:"attained"`
	// Deadline is when the caller's patience ends.
	Deadline time.Time `json:"deadline"`
	// Turn is the turn that the call belongs to; above 1 the program is under way.
	Turn uint32 `json:"turn"`
}

// ModelAnswer is the whole answer to a ModelCall.
type ModelAnswer struct {
	Call    CallID  `json:"call"`
	Attempt uint32  `json:"attempt"`
	Message Message `json:"message"`
	Usage   Usage   `json:"usage"`
	// Upstream served the call.
	Upstream UpstreamID `json:"upstream"`
}

// ToolRequest is one call to a tool service or to a plain service.
type ToolRequest struct {
	Call         CallID         `json:"call"`
	Attempt      uint32         `json:"attempt"`
	Program      ProgramID      `json:"program"`
	Organisation OrganisationID `json:"organisation"`
	Name         string         `json:"name"`
	Arguments    string         `json:"arguments"`
	// Key is the idempotency key shown to the service.
	Key string `json:"key"`
	// Timeout bounds the call.
	Timeout time.Duration `json:"timeout"`
	// NonRepeatable marks an irreversible action.
	NonRepeatable bool `json:"non_repeatable,omitempty"`
	// Resent says that an earlier request with the same key may have been sent, so that
	// "not run" cannot be said of the key without looking at its row.
	Resent bool `json:"resent,omitempty"`
}
