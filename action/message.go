package action

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// RequestStatus is the status of a request as its service reports it.
type RequestStatus string

// Statuses of a request. StatusNotReceived is not final: the request may still arrive.
const (
	StatusDone        RequestStatus = "done"
	StatusRunning     RequestStatus = "running"
	StatusNotReceived RequestStatus = "never"
)

// Message is an input of Machine.Step.
type Message interface{ message() }

// RowRead answers Read. Found reports whether the row exists. Err is set if the table did not answer.
type RowRead struct {
	Row   TableRow
	Found bool
	Err   error
}

// Applied answers Apply with the table's error, nil if the transaction took effect.
type Applied struct{ Err error }

// Sent answers Send. Result holds the service's answer if Refusal is nil.
type Sent struct {
	Result  string
	Refusal *structs.Refusal
}

// StatusQueried answers QueryStatus. Err is set if the service did not report a status.
type StatusQueried struct {
	Status RequestStatus
	Result string
	Err    error
}

// Tick answers Wait.
type Tick struct{}

// Cancel gives the action up on behalf of the caller. It has no effect once the request is sent.
type Cancel struct{}

func (RowRead) message()       {}
func (Applied) message()       {}
func (Sent) message()          {}
func (StatusQueried) message() {}
func (Tick) message()          {}
func (Cancel) message()        {}

// Effect is an output of Machine.Step. A step returns at most one effect besides Finish, and the
// next message other than Cancel is the answer to it. If there is no such effect and none is
// outstanding, the machine has ended.
type Effect interface{ effect() }

// Read requests a row of the table.
type Read struct{ Key string }

// Apply requests a transaction of the table.
type Apply struct{ Txn Txn }

// Send requests that the tool request be sent, once.
type Send struct{ Request structs.ToolRequest }

// QueryStatus requests the status of a request from its service.
type QueryStatus struct{ Tool, Key string }

// Wait requests a Tick at the given time.
type Wait struct{ Until time.Time }

// Finish is the answer to the caller: a result or a refusal. It is emitted once. The machine may
// continue afterwards to store the outcome in the row.
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
