package structs

import "time"

// ProgramSpec describes the program that a caller opens.
type ProgramSpec struct {
	Organisation OrganisationID `json:"organisation"`
	// Kind is one of the kinds that the settings define, such as "question", "draft" or
	// "newsletter".
	Kind string `json:"kind"`
	// Model is the name of the model that the program calls.
	Model string `json:"model"`
	// System is the system message with which the conversation begins; empty for none.
	System string `json:"system,omitempty"`
	Budget Budget `json:"budget"`
	// TurnTimeout is how long the caller waits for the answer to one turn; zero takes the
	// value of the preset.
	TurnTimeout time.Duration `json:"patience,omitempty"`
	// Parent is the program that started this one as a sub-agent; empty for a program
	// that a caller opened.
	Parent ProgramID `json:"parent,omitempty"`
	// Depth is the number of ancestors of a sub-agent.
	Depth int `json:"depth,omitempty"`
	// Key is the idempotency key of the caller's request that opened the program.
	Key string `json:"key,omitempty"`
}

// ProgramState is the state of a program.
type ProgramState string

// States of a program.
const (
	// ProgramIdle means that no turn is in progress.
	ProgramIdle ProgramState = "idle"
	// ProgramRunning means that a turn is in progress.
	ProgramRunning ProgramState = "running"
	// ProgramEnded means that the program accepts no more turns.
	ProgramEnded ProgramState = "ended"
)

// ModelCall is one call to a model engine.
type ModelCall struct {
	Call CallID `json:"call"`
	// Attempt identifies this attempt among all attempts of the program, also across a
	// takeover by another home.
	Attempt uint32 `json:"attempt"`
	// HomeAttempt counts the attempts at this call that its present home has made, this one
	// included; 0 is read as 1.
	HomeAttempt  uint32         `json:"try,omitempty"`
	Program      ProgramID      `json:"program"`
	Organisation OrganisationID `json:"organisation"`
	Kind         string         `json:"kind"`
	Model        string         `json:"model"`
	// Messages is the whole conversation.
	Messages []Message `json:"messages"`
	// Digest is the digest of Messages.
	Digest    ConversationDigest `json:"digest"`
	MaxTokens int                `json:"max_tokens"`
	// Attained is the number of tokens computed for the program so far. Admission queues
	// prefer programs with few of them (least attained service).
	Attained int64 `json:"attained"`
	// Deadline is when the caller stops waiting for the turn.
	Deadline time.Time `json:"deadline"`
	// Turn is the number of the turn that the call belongs to. An admission queue treats a
	// program in turn 1 without attained service as new.
	Turn uint32 `json:"turn"`
}

// ModelAnswer is the complete answer to a ModelCall.
type ModelAnswer struct {
	Call    CallID  `json:"call"`
	Attempt uint32  `json:"attempt"`
	Message Message `json:"message"`
	Usage   Usage   `json:"usage"`
	// Upstream is the model engine that served the call.
	Upstream UpstreamID `json:"upstream"`
}

// ToolRequest is one call to a tool service or to another service.
type ToolRequest struct {
	Call    CallID `json:"call"`
	Attempt uint32 `json:"attempt"`
	// Program is empty for a request that a caller makes without a program.
	Program      ProgramID      `json:"program"`
	Organisation OrganisationID `json:"organisation"`
	// Name is the name of the tool or service.
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
	// Key is the idempotency key that is sent to the service.
	Key string `json:"key"`
	// Timeout is the maximum duration of the call.
	Timeout time.Duration `json:"timeout"`
	// Irreversible marks a request for an irreversible action, which must not run twice.
	Irreversible bool `json:"non_repeatable,omitempty"`
	// Resent reports whether an earlier request with the same key may have been sent. Then
	// OutcomeNotRun is certain only after the stored row of the key has been read.
	Resent bool `json:"resent,omitempty"`
}
