package program

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Message is an input of Machine.Step.
type Message interface{ message() }

// SubmitTurn asks for a turn. Turns count from 1.
type SubmitTurn struct {
	// Caller is echoed in Accept and Reject.
	Caller  uint64
	Number  uint32
	Key     string
	Content string
	// Timeout bounds the turn; zero takes the program's, then the default.
	Timeout time.Duration
}

// Attach asks for the events of a turn that was submitted before.
type Attach struct {
	// Caller is echoed in Accept and Reject.
	Caller uint64
	Number uint32
}

// ModelStarted reports that an engine began to generate.
type ModelStarted struct {
	Call    structs.CallID
	Attempt uint32
}

// ModelDone gives the whole answer of a model call.
type ModelDone struct{ Answer structs.ModelAnswer }

// ModelFailed reports that a model call gave no answer.
type ModelFailed struct {
	Call    structs.CallID
	Attempt uint32
	Refusal *structs.Refusal
}

// ToolDone gives the result of a tool call.
type ToolDone struct {
	Call    structs.CallID
	Attempt uint32
	Result  string
}

// ToolFailed reports that a tool call gave no result.
type ToolFailed struct {
	Call    structs.CallID
	Attempt uint32
	Refusal *structs.Refusal
}

// AgentDone gives the end of a sub-agent: its answer, or the refusal that ended it.
type AgentDone struct {
	Call    structs.CallID
	Attempt uint32
	Content string
	Refusal *structs.Refusal
	// Usage is what the sub-agent's tree used, Charged what counts against the budget.
	Usage   structs.Usage
	Charged Amount
}

// Committed reports that the journal holds all records up to Seq.
type Committed struct{ Seq uint64 }

// Resume continues a half-done turn after Restore.
type Resume struct{}

// Tick reports that the time of the last SetTimer has come.
type Tick struct{}

// Cancel ends the turn under way.
type Cancel struct{}

// Close ends the program.
type Close struct{}

func (SubmitTurn) message()   {}
func (Attach) message()       {}
func (ModelStarted) message() {}
func (ModelDone) message()    {}
func (ModelFailed) message()  {}
func (ToolDone) message()     {}
func (ToolFailed) message()   {}
func (AgentDone) message()    {}
func (Committed) message()    {}
func (Resume) message()       {}
func (Tick) message()         {}
func (Cancel) message()       {}
func (Close) message()        {}
