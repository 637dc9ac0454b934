package structs

// ProgramView is the state of a program as a query returns it.
type ProgramView struct {
	ID     ProgramID          `json:"id"`
	Spec   ProgramSpec        `json:"spec"`
	State  ProgramState       `json:"state"`
	Turns  uint32             `json:"turns"`
	Usage  Usage              `json:"usage"`
	Digest ConversationDigest `json:"digest"`
	// Home is the entry that owns and runs the program.
	Home NodeID `json:"home,omitempty"`
	// History is the conversation; it is filled only on request.
	History []Message `json:"history,omitempty"`
}

// TurnAnswer is the result of a turn that succeeded.
type TurnAnswer struct {
	Turn    uint32 `json:"turn"`
	Content string `json:"content"`
	// Durable reports whether the answer is stored in the home log. An answer that is
	// not yet durable may be lost with the home; the caller can then request it again.
	Durable bool  `json:"kept"`
	Usage   Usage `json:"usage"`
}

// TurnEvent is one event of a turn's stream: a piece of text, the start of a step, or
// the answer.
type TurnEvent struct {
	// Call and Attempt identify the attempt that Text comes from. Text of a later
	// attempt replaces the text of earlier attempts of the same call.
	Call    CallID `json:"call,omitempty"`
	Attempt uint32 `json:"attempt,omitempty"`
	// Offset is the number of bytes of text that this attempt gave before Text.
	Offset int    `json:"offset,omitempty"`
	Text   string `json:"text,omitempty"`
	// Step names the step that starts, such as "tool search_records".
	Step   string      `json:"step,omitempty"`
	Answer *TurnAnswer `json:"answer,omitempty"`
}
