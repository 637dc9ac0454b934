package action

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// RequestStatus is a service's own account of a request.
type RequestStatus string

// Accounts of a request.
const (
	StatusDone        RequestStatus = "done"
	StatusRunning     RequestStatus = "running"
	StatusNotReceived RequestStatus = "never"
)

// Message is an input of Machine.Step.
type Message interface{ message() }

// RowRead answers Read. Found is false when there is no such row; Err is set when the table did not say.
type RowRead struct {
	Row   TableRow
	Found bool
	Err   error
}

// Applied answers Apply with the table's error.
type Applied struct{ Err error }

// Sent answers Send with the result, or with the refusal when there is none.
type Sent struct {
	Result  string
	Refusal *structs.Refusal
}

// StatusQueried answers Ask. Err is set when the service did not say.
type StatusQueried struct {
	State  RequestStatus
	Result string
	Err    error
}

// Tick answers Wait.
type Tick struct{}

// Cancel asks to give up; it has no effect once the request is sent.
type Cancel struct{}

func (RowRead) message()       {}
func (Applied) message()       {}
func (Sent) message()          {}
func (StatusQueried) message() {}
func (Tick) message()          {}
func (Cancel) message()        {}

// Effect is an output of Machine.Step. Beside Finish there is at most one, and the next
// message but Cancel answers it. After a step without another effect the machine is at its end.
type Effect interface{ effect() }

// Read asks for a table row.
type Read struct{ Key string }

// Apply asks for a table transaction.
type Apply struct{ Txn Txn }

// Send asks that the request be sent, once.
type Send struct{ Request structs.ToolRequest }

// QueryStatus asks the service for its account of a request.
type QueryStatus struct{ Tool, Key string }

// Wait asks for a Tick at a time.
type Wait struct{ Until time.Time }

// Finish gives the end of the action to the caller: its result, or a refusal. The machine
// may go on after it, so that the row comes to hold the end.
type Finish struct {
	Result  string
	Refusal *structs.Refusal
}

func (Read) effect()        {}
func (Apply) effect()       {}
func (Send) effect()        {}
func (QueryStatus) effect() {}
func (Wait) effect()        {}
func (Finish) effect()      {}
