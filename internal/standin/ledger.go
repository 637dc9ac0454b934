package standin

import (
	"fmt"
	"sync"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/cockroachdb/errors"
)

// maxExecutions bounds the keys that a ledger stores.
const maxExecutions = 1 << 20

// executionKey identifies what must run at most once: the name of a service and the
// idempotency key of the request. With action set, key is the action id that the test put
// into the arguments.
type executionKey struct {
	name, key string
	action    bool
}

// execution records the executions of one key.
type execution struct {
	count   int // executions begun
	running int // executions in progress
	result  string
	// withdrawn reports whether a status query was answered "never"; a withdrawn key must
	// not run any more.
	withdrawn bool
}

// Ledger records the executions of the services that share it. It counts duplicate
// executions and does not suppress them. Safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	executions map[executionKey]*execution
	order      []executionKey // oldest first
	total      uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{executions: make(map[executionKey]*execution)} }

// Duplicate is an idempotency key, or an action id of a test, that was executed more than
// once.
type Duplicate struct {
	Name   string `json:"name"`
	Key    string `json:"key"`
	Action bool   `json:"action"`
	Count  int    `json:"count"`
}

// Duplicates returns the keys and action ids executed more than once, in the order in which
// they were first recorded.
func (l *Ledger) Duplicates() []Duplicate {
	l.mu.Lock()
	defer l.mu.Unlock()
	duplicates := []Duplicate{}
	for _, key := range l.order {
		if n := l.executions[key].count; n > 1 {
			duplicates = append(duplicates, Duplicate{Name: key.name, Key: key.key, Action: key.action, Count: n})
		}
	}
	return duplicates
}

// Total returns the number of executions.
func (l *Ledger) Total() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// ActionExecutions returns how often the action with a test's action id was executed.
func (l *Ledger) ActionExecutions(name, actionID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.executions[executionKey{name: name, key: actionID, action: true}]; e != nil {
		return e.count
	}
	return 0
}

// record returns the record of a key and creates it when there is none. The record of an
// empty key is not stored. When the ledger is full, the record created first is dropped.
func (l *Ledger) record(key executionKey) *execution {
	if key.key == "" {
		return &execution{}
	}
	if e := l.executions[key]; e != nil {
		return e
	}
	if len(l.order) == maxExecutions {
		delete(l.executions, l.order[0])
		l.order = l.order[1:]
	}
	e := &execution{}
	l.executions[key] = e
	l.order = append(l.order, key)
	return e
}

// begin records the start of an execution; it refuses a withdrawn key.
func (l *Ledger) begin(name, key, actionID string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.record(executionKey{name: name, key: key})
	if e.withdrawn {
		return errors.Wrapf(ErrWithdrawn, "%q", key)
	}
	l.total++
	e.running++
	e.count++
	e.result = fmt.Sprintf("%s done, number %d", name, l.total)
	l.record(executionKey{name: name, key: actionID, action: true}).count++
	return nil
}

// end records the end of an execution and returns the result of the key's last execution.
func (l *Ledger) end(name, key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.record(executionKey{name: name, key: key})
	e.running--
	if e.result == "" { // the key is empty or its record was dropped
		return name + " done"
	}
	return e.result
}

// Status returns the state of a key. It withdraws a key that has never run.
func (l *Ledger) Status(name, key string) engine.StatusResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.record(executionKey{name: name, key: key})
	switch {
	case e.running > 0:
		return engine.StatusResponse{State: engine.ServiceRunning}
	case e.count > 0:
		return engine.StatusResponse{State: engine.ServiceDone, Result: e.result}
	}
	e.withdrawn = true
	return engine.StatusResponse{State: engine.ServiceNeverRan}
}
