package program

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Effect is an output of Machine.Step for the driver to carry out.
type Effect interface{ effect() }

// AppendRecord asks the driver to append a record to the home log. The records of one program
// are numbered from 1; the message Committed reports this number back.
type AppendRecord struct {
	Seq  uint64
	Kind string
	Data []byte
}

// CallModel asks for a model call. ModelStarted, ModelDone and ModelFailed report on it.
type CallModel struct{ Call structs.ModelCall }

// CallTool asks for a tool call. ToolDone or ToolFailed reports its end.
type CallTool struct{ Request structs.ToolRequest }

// StartAgent asks the driver to open a sub-agent, or to find it by Spec.Key when the home log
// already holds it, and to submit Task as its first turn. AgentDone reports its end.
type StartAgent struct {
	Call    structs.CallID
	Attempt uint32
	Spec    structs.ProgramSpec
	Task    string
}

// CloseAgent asks the driver to close the sub-agent of a finished call.
type CloseAgent struct{ Call structs.CallID }

// CancelCall asks the driver to cancel a call in flight; a sub-agent is closed.
type CancelCall struct {
	Call    structs.CallID
	Attempt uint32
}

// Accept reports to a caller that its submission was accepted as the given turn.
type Accept struct {
	Caller uint64
	Turn   uint32
}

// Reject reports to a caller that its submission was refused.
type Reject struct {
	Caller  uint64
	Refusal *structs.Refusal
}

// Answer delivers the answer of a turn to all callers that wait for it.
type Answer struct {
	Turn    uint32
	Content string
	Usage   structs.Usage
	// Durable reports whether the home log holds the answer.
	Durable bool
	// Final reports whether this is the last Answer of the turn, unless a caller asks again.
	Final bool
}

// Refuse ends a turn without an answer.
type Refuse struct {
	Turn    uint32
	Refusal *structs.Refusal
}

// SetTimer asks for a Tick at the given time and replaces the previous SetTimer; a zero time
// cancels it.
type SetTimer struct{ At time.Time }

// Release reports that the program has ended and that the home log holds its end.
type Release struct {
	// MayHaveActions reports whether the program may have asked for irreversible actions. Their
	// rows are no longer needed.
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
