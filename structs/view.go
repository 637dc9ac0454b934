package structs

// ProgramView is what a query returns of a program.
type ProgramView struct {
	ID     ProgramID    `json:"id"`
	Spec   ProgramSpec  `json:"spec"`
	State  ProgramState `json:"state"`
	Turns  uint32       `json:"turns"`
	Usage  Usage        `json:"usage"`
	Digest Digest       `json:"digest"`
	// Home is the entry that runs the program.
	Home NodeID `json:"home,omitempty"`
	// History is filled only when it is asked for.
	History []Message `json:"history,omitempty"`
}

// TurnAnswer is the end of a turn that succeeded.
type TurnAnswer struct {
	Turn    uint32 `json:"turn"`
	Content string `json:"content"`
	// Durable says that the answer is in the home log. An answer that is not kept
	// yet may be lost with the home; the caller can ask for it again.
	Durable bool  `json:"kept"`
	Usage   Usage `json:"usage"`
}

// TurnEvent is one event of a turn's stream: text, a step, or the answer.
type TurnEvent struct {
	// Call and Attempt tell the attempts of a call apart: text of a later
	// attempt replaces the text of earlier ones.
	Call    CallID `json:"call,omitempty"`
	Attempt uint32 `json:"attempt,omitempty"`
	// Offset is the number of bytes of this attempt before Text.
	Offset int    `json:"offset,omitempty"`
	Text   string `json:"text,omitempty"`
	// Step names a step that starts, such as "tool search_records".
	Step   string      `json:"step,omitempty"`
	Answer *TurnAnswer `json:"answer,omitempty"`
}
