package program

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Message is an input of Machine.Step.
type Message interface{ message() }

// SubmitTurn submits a turn. Turns are numbered from 1.
type SubmitTurn struct {
	// Caller is echoed in Accept and Reject.
	Caller uint64
	Number uint32
	// Key is the caller's idempotency key; empty for none.
	Key     string
	Content string
	// Timeout bounds the turn; 0 selects the program's timeout, then the default.
	Timeout time.Duration
}

// Attach subscribes a caller to the answer or refusal of a turn that was submitted before.
type Attach struct {
	// Caller is echoed in Accept and Reject.
	Caller uint64
	Number uint32
}

// ModelStarted reports that an engine began to generate the answer of a model call.
type ModelStarted struct {
	Call    structs.CallID
	Attempt uint32
}

// ModelDone carries the complete answer of a model call.
type ModelDone struct{ Answer structs.ModelAnswer }

// ModelFailed reports that a model call gave no answer.
type ModelFailed struct {
	Call    structs.CallID
	Attempt uint32
	Refusal *structs.Refusal
}

// ToolDone carries the result of a tool call.
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

// AgentDone reports the end of a sub-agent: its answer, or the refusal that ended it.
type AgentDone struct {
	Call    structs.CallID
	Attempt uint32
	Content string
	Refusal *structs.Refusal
	// Usage is what the sub-agent and its descendants used, Charged what counts against the
	// budget.
	Usage   structs.Usage
	Charged Amount
}

// Committed reports that the home log holds all records up to Seq.
type Committed struct{ Seq uint64 }

// Resume continues a turn that was under way when the program was restored.
type Resume struct{}

// Tick reports that the time of the last SetTimer has been reached.
type Tick struct{}

// Cancel ends the turn under way.
type Cancel struct{}

// Close ends the program, and first cancels the turn under way.
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
