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

// bench is a table, a service and the attempts at actions, all moved by hand.
type bench struct {
	now  time.Time
	cfg  Config
	rows map[string]TableRow
	// sealed are the logs whose open row is gone.
	sealed map[structs.LogID]bool
	down   bool
	// ran counts the runs of the service by key, seen holds their results.
	ran  map[string]int
	seen map[string]string
	// account is what the service says of requests that it has not run; "mute" says nothing.
	account  RequestStatus
	attempts map[string]*attempt
	// delayed are transactions on their way to the table; their senders saw no answer.
	delayed []Txn
	nonce   uint64
	out     strings.Builder
}

// attempt is one machine and the effect that it waits for.
type attempt struct {
	name    string
	m       *Machine
	pending Effect
	// held is an answer that the attempt has not looked at yet.
	held Message
	ends []Finish
}

func newBench() *bench {
	return &bench{
		now: time.Unix(1000, 0).UTC(), cfg: Config{}.WithDefaults(), rows: map[string]TableRow{}, sealed: map[structs.LogID]bool{},
		ran: map[string]int{}, seen: map[string]string{}, account: StatusNotReceived, attempts: map[string]*attempt{},
	}
}

func (b *bench) printf(format string, args ...any) { fmt.Fprintf(&b.out, format+"\n", args...) }

func (b *bench) take() string {
	defer b.out.Reset()
	if b.out.Len() == 0 {
		return "ok\n"
	}
	return b.out.String()
}

func (b *bench) start(name string, log structs.LogID, request structs.ToolRequest) *attempt {
	b.nonce++
	owner := Owner{Log: log, Call: request.Call, Attempt: request.Attempt, Nonce: b.nonce}
	a := &attempt{name: name, m: New(b.now, b.cfg, owner, request)}
	b.attempts[name] = a
	b.took(a, a.m.Start(b.now))
	return a
}

// took keeps the effect that the machine waits for and prints what it asked for.
func (b *bench) took(a *attempt, effects []Effect) {
	for _, e := range effects {
		end, isEnd := e.(Finish)
		if !isEnd {
			a.pending = e
		}
		switch {
		case isEnd:
			a.ends = append(a.ends, end)
			b.printf("%s: finish %s", a.name, describeEnd(end))
		default:
			b.printf("%s: %s", a.name, describeEffect(e))
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
		return "ask " + e.Tool
	case Wait:
		return "wait"
	}
	return "?"
}

// step gives the attempt the answer to its pending effect.
func (b *bench) step(a *attempt, msg Message) {
	if _, isCancel := msg.(Cancel); !isCancel {
		a.pending = nil
	}
	b.took(a, a.m.Step(b.now, msg))
}

// fault is what befalls one effect on its way.
type fault string

const (
	noFault fault = ""
	// lost: the effect takes place and its answer is lost.
	lost fault = "lose-answer"
	// cut: the effect does not take place and there is no answer.
	cut fault = "cut"
	// late: the effect takes place later and there is no answer.
	late fault = "late"
	// refused: the service or table says that the effect did not take place.
	refused fault = "refuse"
	// hold: the effect takes place, and its answer is seen at the next step only.
	hold fault = "hold"
	// failed: the service ran the request and says that it failed.
	failed fault = "fail"
)

// failedResult is the service's account of a request that it ran without success.
const failedResult = "failed"

// deliver carries out the pending effect and steps the machine with the answer.
func (b *bench) deliver(a *attempt, f fault) {
	if msg := a.held; msg != nil {
		a.held = nil
		b.step(a, msg)
		return
	}
	if apply, is := a.pending.(Apply); is && f == hold {
		a.held = Applied{Err: b.applyWith(apply.Txn, noFault)}
		return
	}
	switch e := a.pending.(type) {
	case Read:
		b.step(a, b.read(e.Key, f))
	case Apply:
		b.step(a, Applied{Err: b.applyWith(e.Txn, f)})
	case Send:
		b.step(a, b.send(e.Request, f))
	case QueryStatus:
		b.step(a, b.ask(e, f))
	case Wait:
		if e.Until.After(b.now) {
			b.now = e.Until
		}
		b.step(a, Tick{})
	}
}

func (b *bench) read(key string, f fault) RowRead {
	if b.down || f != noFault {
		return RowRead{Err: platform.ErrUnavailable}
	}
	row, found := b.rows[key]
	return RowRead{Row: row, Found: found}
}

func (b *bench) applyWith(txn Txn, f fault) error {
	switch {
	case f == refused:
		return platform.ErrNotApplied
	case f == late:
		b.delayed = append(b.delayed, txn)
		return platform.ErrUnavailable
	case b.down || f == cut:
		return platform.ErrUnavailable
	}
	err := b.apply(txn)
	if f == lost {
		return platform.ErrUnavailable
	}
	return err
}

func (b *bench) apply(txn Txn) error {
	for _, c := range txn.Conditions {
		if b.version(c.Key) != c.Version {
			return platform.ErrConditionFailed
		}
	}
	for _, w := range txn.Writes {
		if w.Delete {
			delete(b.rows, w.Key)
			continue
		}
		b.rows[w.Key] = TableRow{Key: w.Key, Value: w.Value, Version: b.rows[w.Key].Version + 1}
	}
	return nil
}

// version returns the version of a row; 0 says that there is none. The open row of a
// log is there until the log is sealed.
func (b *bench) version(key string) int64 {
	if log, open := strings.CutPrefix(key, homelog.OpenPrefix); open {
		if b.sealed[structs.LogID(log)] {
			return platform.Absent
		}
		return 1
	}
	return b.rows[key].Version
}

func (b *bench) send(r structs.ToolRequest, f fault) Sent {
	refusal := structs.Refusalf(structs.CodeUpstreamFailed, structs.OutcomeUnknown, "send", "no answer")
	switch f {
	case cut:
		return Sent{Refusal: refusal}
	case refused:
		refusal.Outcome = structs.OutcomeNotRun
		return Sent{Refusal: refusal}
	}
	b.ran[r.Key]++
	b.seen[r.Key] = fmt.Sprintf("run %d of %s%s", b.ran[r.Key], r.Name, r.Arguments)
	switch f {
	case lost, late:
		return Sent{Refusal: refusal}
	case failed:
		refusal.Outcome = structs.OutcomeRan
		b.seen[r.Key] = failedResult
		return Sent{Refusal: refusal}
	}
	return Sent{Result: b.seen[r.Key]}
}

func (b *bench) ask(e QueryStatus, f fault) StatusQueried {
	switch {
	case f != noFault || b.account == "mute":
		return StatusQueried{Err: errors.New("no account")}
	case b.ran[e.Key] > 0 && b.account != StatusRunning:
		return StatusQueried{State: StatusDone, Result: b.seen[e.Key]}
	}
	return StatusQueried{State: b.account}
}

// run delivers without faults until the attempt ends, at most for a while. A line that it
// printed before, as of polling, it leaves out.
func (b *bench) run(a *attempt) {
	before := b.out.String()
	b.out.Reset()
	for range 200 {
		if a.pending != nil {
			b.deliver(a, noFault)
		}
	}
	lines := strings.SplitAfter(b.out.String(), "\n")
	b.out.Reset()
	b.out.WriteString(before)
	seen := map[string]bool{}
	for _, line := range lines {
		if !seen[line] {
			b.out.WriteString(line)
		}
		seen[line] = true
	}
	if a.pending != nil {
		b.printf("%s: still at work", a.name)
	}
}

func (b *bench) seal(log structs.LogID) {
	b.sealed[log] = true
	b.rows[SealKey(log)] = TableRow{Key: SealKey(log), Version: 1}
}

// forget removes the seal row, as when the last program of a sealed log has ended.
func (b *bench) forget(log structs.LogID) { delete(b.rows, SealKey(log)) }

// settle records an operator's word.
func (b *bench) settle(org structs.OrganisationID, key string, ran bool) error {
	txn, _, err := Settle(b.now, b.rows[RowKey(org, key)], "operator", ran, "as the operator says")
	if err != nil {
		return err
	}
	return b.apply(txn)
}

// printRows prints the action rows and their index rows.
func (b *bench) printRows() {
	var keys []string
	for key := range b.rows {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if !strings.HasPrefix(key, rowPrefix) {
			b.printf("%s", key)
			continue
		}
		row, err := DecodeRow(b.rows[key].Value)
		b.printf("%s version %d: %s by %s, result %q, %q %v", key, b.rows[key].Version, row.State, row.Owner.Log, row.Result, row.Detail, errText(err))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
