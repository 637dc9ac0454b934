package program

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Effect is an output of Machine.Step.
type Effect interface{ effect() }

// AppendRecord asks that an entry be appended to the home log. Records of one program are
// numbered from 1; Committed answers with the number.
type AppendRecord struct {
	Seq  uint64
	Kind string
	Data []byte
}

// CallModel asks for a model call.
type CallModel struct{ Call structs.ModelCall }

// CallTool asks for a tool call.
type CallTool struct{ Request structs.ToolRequest }

// StartAgent asks that a sub-agent be opened, or found by Spec.Key when the log
// already holds it, and given Task as its first turn.
type StartAgent struct {
	Call    structs.CallID
	Attempt uint32
	Spec    structs.ProgramSpec
	Task    string
}

// CloseAgent asks that the sub-agent of a finished call be closed.
type CloseAgent struct{ Call structs.CallID }

// CancelCall asks that a call in flight be given up; a sub-agent is closed.
type CancelCall struct {
	Call    structs.CallID
	Attempt uint32
}

// Accept tells that the caller's submission is, or was, the turn given.
type Accept struct {
	Caller uint64
	Turn   uint32
}

// Reject tells a caller that its submission is not taken.
type Reject struct {
	Caller  uint64
	Refusal *structs.Refusal
}

// Answer gives the answer of a turn to all that wait for it.
type Answer struct {
	Turn    uint32
	Content string
	Usage   structs.Usage
	// Durable says that the journal holds the answer.
	Durable bool
	// Final says that no other Answer of this turn follows, unless it is asked for again.
	Final bool
}

// Refuse ends a turn without an answer.
type Refuse struct {
	Turn    uint32
	Refusal *structs.Refusal
}

// SetTimer asks for a Tick at a time and replaces the last SetTimer; a zero time asks for none.
type SetTimer struct{ At time.Time }

// Release tells that the program ended and that the log holds its end.
type Release struct {
	// MayHaveActions says that the program may have asked for irreversible actions, whose rows are
	// needed no more.
	MayHaveActions bool
}

func (AppendRecord) effect() {}
func (CallModel) effect()    {}
func (CallTool) effect()     {}
func (StartAgent) effect()   {}
func (CloseAgent) effect()   {}
func (CancelCall) effect()   {}
func (Accept) effect()       {}
func (Reject) effect()       {}
func (Answer) effect()       {}
func (Refuse) effect()       {}
func (SetTimer) effect()     {}
func (Release) effect()      {}
