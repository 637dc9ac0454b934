package action

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// harness simulates the table, the service and the attempts at actions. Tests deliver each answer.
type harness struct {
	now  time.Time
	cfg  Config
	rows map[string]TableRow
	// sealed holds the home logs that are sealed, whose open row is deleted.
	sealed map[structs.LogID]bool
	outage bool
	// runs counts the runs of the service by key; results holds the last result by key.
	runs    map[string]int
	results map[string]string
	// status is what the service reports for requests that it has not run, or "silent" if it
	// reports nothing.
	status   RequestStatus
	attempts map[string]*attempt
	// delayed are the transactions that reach the table later; their senders received no answer.
	delayed []Txn
	nonce   uint64
	out     strings.Builder
}

// attempt is one machine and the effect whose answer it waits for.
type attempt struct {
	name    string
	m       *Machine
	pending Effect
	// delayedAnswer is an answer that the machine has not received yet.
	delayedAnswer Message
	finishes      []Finish
}

func newHarness() *harness {
	return &harness{
		now: time.Unix(1000, 0).UTC(), cfg: Config{}.WithDefaults(), rows: map[string]TableRow{}, sealed: map[structs.LogID]bool{},
		runs: map[string]int{}, results: map[string]string{}, status: StatusNotReceived, attempts: map[string]*attempt{},
	}
}

func (h *harness) printf(format string, args ...any) { fmt.Fprintf(&h.out, format+"\n", args...) }

func (h *harness) takeOutput() string {
	defer h.out.Reset()
	if h.out.Len() == 0 {
		return "ok\n"
	}
	return h.out.String()
}

func (h *harness) start(name string, log structs.LogID, request structs.ToolRequest) *attempt {
	h.nonce++
	owner := Owner{Log: log, Call: request.Call, Attempt: request.Attempt, Nonce: h.nonce}
	a := &attempt{name: name, m: New(h.now, h.cfg, owner, request)}
	h.attempts[name] = a
	h.collect(a, a.m.Start(h.now))
	return a
}

// collect stores the effect whose answer the machine waits for, and prints all effects.
func (h *harness) collect(a *attempt, effects []Effect) {
	for _, e := range effects {
		end, isEnd := e.(Finish)
		if !isEnd {
			a.pending = e
		}
		switch {
		case isEnd:
			a.finishes = append(a.finishes, end)
			h.printf("%s: finish %s", a.name, describeEnd(end))
		default:
			h.printf("%s: %s", a.name, describeEffect(e))
		}
	}
	if a.m.Ended() {
		a.pending = nil
	}
}

func describeEnd(f Finish) string {
	if f.Refusal == nil {
		return fmt.Sprintf("%q", f.Result)
	}
	return fmt.Sprintf("%s (%s) %s", f.Refusal.Code, f.Refusal.Outcome, f.Refusal.Detail)
}

func describeEffect(e Effect) string {
	switch e := e.(type) {
	case Read:
		return "read " + e.Key
	case Apply:
		row, _ := DecodeRow(e.Txn.Writes[0].Value)
		return fmt.Sprintf("apply %s by %s at version %d with %d conditions", row.State, row.Owner.Log, e.Txn.Conditions[0].Version, len(e.Txn.Conditions))
	case Send:
		return "send " + e.Request.Name
	case QueryStatus:
		return "query " + e.Tool
	case Wait:
		return "wait"
	}
	return "?"
}

// step passes the attempt a message: the answer to its pending effect, or Cancel.
func (h *harness) step(a *attempt, msg Message) {
	if _, isCancel := msg.(Cancel); !isCancel {
		a.pending = nil
	}
	h.collect(a, a.m.Step(h.now, msg))
}

// fault is the fault that is injected into one effect.
type fault string

const (
	noFault fault = ""
	// loseAnswer means that the effect takes place and its answer is lost.
	loseAnswer fault = "lose-answer"
	// cut means that the effect does not take place and there is no answer.
	cut fault = "cut"
	// late means that the effect takes place later and there is no answer.
	late fault = "late"
	// refused means that the service or table reports that the effect did not take place.
	refused fault = "refuse"
	// delayAnswer means that the effect takes place, and that its answer arrives at the next step.
	// Only Apply supports it.
	delayAnswer fault = "delay-answer"
	// failed means that the service ran the request and reports that it failed.
	failed fault = "fail"
)

// failedResult is the result that the service reports for a request that ran and failed.
const failedResult = "failed"

// deliver carries out the pending effect with the given fault and passes the answer to the machine. If
// an answer is delayed, it only passes that answer.
func (h *harness) deliver(a *attempt, f fault) {
	if msg := a.delayedAnswer; msg != nil {
		a.delayedAnswer = nil
		h.step(a, msg)
		return
	}
	if apply, is := a.pending.(Apply); is && f == delayAnswer {
		a.delayedAnswer = Applied{Err: h.applyWith(apply.Txn, noFault)}
		return
	}
	switch e := a.pending.(type) {
	case Read:
		h.step(a, h.read(e.Key, f))
	case Apply:
		h.step(a, Applied{Err: h.applyWith(e.Txn, f)})
	case Send:
		h.step(a, h.send(e.Request, f))
	case QueryStatus:
		h.step(a, h.queryStatus(e, f))
	case Wait:
		if e.Until.After(h.now) {
			h.now = e.Until
		}
		h.step(a, Tick{})
	}
}

func (h *harness) read(key string, f fault) RowRead {
	if h.outage || f != noFault {
		return RowRead{Err: platform.ErrUnavailable}
	}
	row, found := h.rows[key]
	return RowRead{Row: row, Found: found}
}

// applyWith applies a transaction with the given fault and returns the error that its sender receives.
func (h *harness) applyWith(txn Txn, f fault) error {
	switch {
	case f == refused:
		return platform.ErrNotApplied
	case f == late:
		h.delayed = append(h.delayed, txn)
		return platform.ErrUnavailable
	case h.outage || f == cut:
		return platform.ErrUnavailable
	}
	err := h.apply(txn)
	if f == loseAnswer {
		return platform.ErrUnavailable
	}
	return err
}

// apply applies a transaction if its conditions hold.
func (h *harness) apply(txn Txn) error {
	for _, c := range txn.Conditions {
		if h.version(c.Key) != c.Version {
			return platform.ErrConditionFailed
		}
	}
	for _, w := range txn.Writes {
		if w.Delete {
			delete(h.rows, w.Key)
			continue
		}
		h.rows[w.Key] = TableRow{Key: w.Key, Value: w.Value, Version: h.rows[w.Key].Version + 1}
	}
	return nil
}

// version returns the version of a row, 0 if there is none. The open row of a home log exists
// until the log is sealed.
func (h *harness) version(key string) int64 {
	if log, open := strings.CutPrefix(key, homelog.OpenPrefix); open {
		if h.sealed[structs.LogID(log)] {
			return platform.Absent
		}
		return 1
	}
	return h.rows[key].Version
}

func (h *harness) send(r structs.ToolRequest, f fault) Sent {
	refusal := structs.Refusalf(structs.CodeUpstreamFailed, structs.OutcomeUnknown, "send", "no answer")
	switch f {
	case cut:
		return Sent{Refusal: refusal}
	case refused:
		refusal.Outcome = structs.OutcomeNotRun
		return Sent{Refusal: refusal}
	}
	h.runs[r.Key]++
	h.results[r.Key] = fmt.Sprintf("run %d of %s%s", h.runs[r.Key], r.Name, r.Arguments)
	switch f {
	case loseAnswer, late:
		return Sent{Refusal: refusal}
	case failed:
		refusal.Outcome = structs.OutcomeRan
		h.results[r.Key] = failedResult
		return Sent{Refusal: refusal}
	}
	return Sent{Result: h.results[r.Key]}
}

func (h *harness) queryStatus(e QueryStatus, f fault) StatusQueried {
	switch {
	case f != noFault || h.status == "silent":
		return StatusQueried{Err: errors.New("no status")}
	case h.runs[e.Key] > 0 && h.status != StatusRunning:
		return StatusQueried{Status: StatusDone, Result: h.results[e.Key]}
	}
	return StatusQueried{Status: h.status}
}

// run delivers without faults until the attempt ends, for 200 steps at most. It prints repeated
// lines, such as those of polling, only once.
func (h *harness) run(a *attempt) {
	before := h.out.String()
	h.out.Reset()
	for range 200 {
		if a.pending != nil {
			h.deliver(a, noFault)
		}
	}
	lines := strings.SplitAfter(h.out.String(), "\n")
	h.out.Reset()
	h.out.WriteString(before)
	printed := map[string]bool{}
	for _, line := range lines {
		if !printed[line] {
			h.out.WriteString(line)
		}
		printed[line] = true
	}
	if a.pending != nil {
		h.printf("%s: still running", a.name)
	}
}

// seal seals a home log: its open row is gone, and the seal row exists.
func (h *harness) seal(log structs.LogID) {
	h.sealed[log] = true
	h.rows[SealKey(log)] = TableRow{Key: SealKey(log), Version: 1}
}

// forget deletes the seal row, as happens when the last program of a sealed log has ended.
func (h *harness) forget(log structs.LogID) { delete(h.rows, SealKey(log)) }

// settle lets an operator settle an action.
func (h *harness) settle(org structs.OrganisationID, key string, ran bool) error {
	txn, _, err := Settle(h.now, h.rows[RowKey(org, key)], "operator", ran, "result from the operator")
	if err != nil {
		return err
	}
	return h.apply(txn)
}

// printRows prints the action rows and their index rows.
func (h *harness) printRows() {
	var keys []string
	for key := range h.rows {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if !strings.HasPrefix(key, rowPrefix) {
			h.printf("%s", key)
			continue
		}
		row, err := DecodeRow(h.rows[key].Value)
		h.printf("%s version %d: %s by %s, result %q, %q %v", key, h.rows[key].Version, row.State, row.Owner.Log, row.Result, row.Detail, errText(err))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
