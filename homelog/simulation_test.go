package homelog

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// oneWayDelay is the delay of a request or an answer on its way.
const oneWayDelay = time.Millisecond

// simulation runs several logs against one in-memory platform, with a simulated clock and
// injected faults, and checks the invariants of the home log after every step.
type simulation struct {
	cfg     Config
	now     time.Time
	nodes   map[string]*node
	rows    map[string]Row
	objects map[string][]byte
	events  []event
	ordinal uint64
	writes  int
	outage  bool
	// sealed maps each log ever sealed to its successor.
	sealed map[structs.LogID]structs.LogID
	// acknowledged are the texts of each program that were acknowledged or passed to a
	// successor, in order; owner names the node that runs each program; ended are the programs
	// whose end was submitted.
	acknowledged map[structs.ProgramID][]string
	owner        map[structs.ProgramID]string
	ended        map[structs.ProgramID]bool
	// endAcknowledged are the programs whose end is acknowledged.
	endAcknowledged map[structs.ProgramID]bool
	// violation describes the first violated invariant.
	violation string
}

// event is a function to run at a time; ordinal orders events of the same time.
type event struct {
	at      time.Time
	ordinal uint64
	run     func()
}

// node is a process with one log. wake is the time of the last WakeAt, faults apply to the next
// requests, inbox holds the messages that arrive during a pause, acked is the number of
// acknowledged submissions, and outcomes are the effects not yet printed by a script.
type node struct {
	name         string
	machine      *Machine
	wake         time.Time
	paused       bool
	dead         bool
	disconnected bool
	faults       []string
	inbox        []Message
	submitted    []submission
	acked        int
	outcomes     []string
}

// submission is an entry that a node has accepted.
type submission struct {
	sequence uint64
	program  structs.ProgramID
	text     string
	end      bool
}

func newSimulation(cfg Config) *simulation {
	return &simulation{
		cfg: cfg.withDefaults(), now: time.Unix(0, 0), nodes: map[string]*node{}, rows: map[string]Row{}, objects: map[string][]byte{},
		sealed: map[structs.LogID]structs.LogID{}, acknowledged: map[structs.ProgramID][]string{},
		owner: map[structs.ProgramID]string{}, ended: map[structs.ProgramID]bool{},
		endAcknowledged: map[structs.ProgramID]bool{},
	}
}

// fail records a violated invariant.
func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// schedule runs a function after a delay.
func (sim *simulation) schedule(after time.Duration, run func()) {
	sim.ordinal++
	sim.events = append(sim.events, event{sim.now.Add(after), sim.ordinal, run})
}

// start opens a log named after the node. The faults apply to its first requests.
func (sim *simulation) start(name string, faults ...string) {
	cfg := sim.cfg
	cfg.Log = structs.LogID(name)
	cfg.Seed = uint64(len(sim.nodes))
	sim.nodes[name] = &node{name: name, machine: New(cfg), faults: faults}
	sim.deliver(sim.nodes[name], Start{})
}

// submit appends one entry for a program that the node runs or opens, and reports whether
// the node accepts it.
func (sim *simulation) submit(n *node, p structs.ProgramID, text string, mark Mark) bool {
	owner, known := sim.owner[p]
	if n.dead || n.paused || n.machine.stopped || known && owner != n.name || !known && string(p.Log()) != n.name || sim.ended[p] {
		return false
	}
	e := Entry{Program: p, Kind: "step", Data: []byte(text), Mark: mark}
	if n.machine.Full() || n.machine.Check([]Entry{e}) != nil {
		return false
	}
	sim.owner[p] = n.name
	sim.ended[p] = mark == MarkEnd
	n.submitted = append(n.submitted, submission{n.machine.LastSequence() + 1, p, text, mark == MarkEnd})
	sim.deliver(n, Append{Entries: []Entry{e}})
	return true
}

// deliver steps a node with the message, or queues the message while the node is paused.
func (sim *simulation) deliver(n *node, msg Message) {
	if n.dead {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, msg)
		return
	}
	if n.machine.stopped {
		n.machine.Step(sim.now, msg)
		return
	}
	n.wake = time.Time{}
	for _, e := range n.machine.Step(sim.now, msg) {
		switch e := e.(type) {
		case WakeAt:
			n.wake = e.At
		case Committed:
			sim.acknowledge(n, e.Through)
		case Stopped:
			n.outcomes = append(n.outcomes, fmt.Sprintf("stopped, successor %q", e.Successor))
		case Retired:
			n.outcomes = append(n.outcomes, "retired")
		case TakeoverDone:
			sim.checkTakeover(n, e)
		default:
			sim.request(n, e)
		}
	}
}

// acknowledge records the node's committed entries and checks that an entry is acknowledged
// only by the program's owner, or by a former owner if the successor has the entry.
func (sim *simulation) acknowledge(n *node, through uint64) {
	for n.acked < len(n.submitted) && n.submitted[n.acked].sequence <= through {
		s := n.submitted[n.acked]
		n.acked++
		sim.endAcknowledged[s.program] = sim.endAcknowledged[s.program] || s.end
		switch {
		case sim.owner[s.program] == n.name:
			sim.acknowledged[s.program] = append(sim.acknowledged[s.program], s.text)
		case !slices.Contains(sim.acknowledged[s.program], s.text) && !sim.ended[s.program]:
			sim.fail("%s acknowledged %q of program %s, which %s runs", n.name, s.text, s.program, sim.owner[s.program])
		}
	}
}

// checkTakeover checks that a successor receives every acknowledged entry once and in order.
func (sim *simulation) checkTakeover(n *node, a TakeoverDone) {
	text := fmt.Sprintf("took over %s: %d entries", a.Log, len(a.Entries))
	if a.Err != nil {
		text = fmt.Sprintf("takeover of %s: %v", a.Log, a.Err)
	}
	n.outcomes = append(n.outcomes, text)
	if _, sealed := sim.sealed[structs.LogID(n.name)]; sealed {
		// The node's successor has the programs; the node stops at its next record.
		return
	}
	got := map[structs.ProgramID][]string{}
	for _, e := range a.Entries {
		got[e.Program] = append(got[e.Program], string(e.Data))
	}
	for _, p := range sortedKeys(got) {
		from := sim.owner[p]
		if sim.endAcknowledged[p] {
			sim.fail("%s took over program %s, whose end is acknowledged", n.name, p)
		}
		if _, sealed := sim.sealed[structs.LogID(from)]; from == n.name || !sealed {
			sim.fail("%s took over program %s, which %s runs", n.name, p, from)
		}
		acknowledged := sim.acknowledged[p]
		if len(got[p]) < len(acknowledged) || !slices.Equal(got[p][:len(acknowledged)], acknowledged) {
			sim.fail("%s took over %v of program %s, but %v is acknowledged", n.name, got[p], p, acknowledged)
		}
		if !sim.submittedInOrder(sim.nodes[from], p, got[p][len(acknowledged):]) {
			sim.fail("%s took over %v of program %s, not in the order of submission", n.name, got[p], p)
		}
		sim.acknowledged[p] = got[p]
		sim.owner[p] = n.name
		sim.ended[p] = false
	}
	if a.Err == nil {
		sim.checkNothingLost(n)
	}
}

// submittedInOrder reports whether the texts are the first ones that the node submitted for
// the program and that are not acknowledged.
func (sim *simulation) submittedInOrder(n *node, p structs.ProgramID, texts []string) bool {
	var open []string
	for _, s := range n.submitted[n.acked:] {
		if s.program == p {
			open = append(open, s.text)
		}
	}
	return len(texts) <= len(open) && slices.Equal(open[:len(texts)], texts)
}

// checkNothingLost checks that the node has taken over every program with acknowledged
// entries from the logs that it has taken over.
func (sim *simulation) checkNothingLost(n *node) {
	for _, p := range sortedKeys(sim.acknowledged) {
		owner := sim.owner[p]
		if _, taken := n.machine.state.takenOver[structs.LogID(owner)]; taken && !sim.ended[p] && len(sim.acknowledged[p]) > 0 {
			sim.fail("%s took over log %s without its program %s", n.name, owner, p)
		}
	}
}

// request sends an effect to the platform and applies the node's next fault to it. All faults
// but duplicate and reorder are reserved for transactions. A request that gets no answer ends
// with Unknown after 50 times oneWayDelay.
func (sim *simulation) request(n *node, e Effect) {
	fault := ""
	_, isApply := e.(Apply)
	if len(n.faults) > 0 && (isApply || n.faults[0] == "duplicate" || n.faults[0] == "reorder") {
		fault, n.faults = n.faults[0], n.faults[1:]
	}
	if n.disconnected || sim.outage {
		sim.answer(n, 50*oneWayDelay, Result{Call: callNumber(e), Outcome: Unknown})
		return
	}
	const late = 300 * time.Millisecond
	switch fault {
	case "lose-answer":
		sim.schedule(oneWayDelay, func() { sim.perform(e) })
		sim.answer(n, 50*oneWayDelay, Result{Call: callNumber(e), Outcome: Unknown})
	case "late":
		sim.schedule(late, func() { sim.perform(e) })
		sim.answer(n, 50*oneWayDelay, Result{Call: callNumber(e), Outcome: Unknown})
	case "refuse":
		sim.answer(n, 2*oneWayDelay, Result{Call: callNumber(e), Outcome: NotApplied})
	case "duplicate":
		sim.schedule(late, func() { sim.answer(n, oneWayDelay, sim.perform(e)) })
		sim.schedule(oneWayDelay, func() { sim.answer(n, oneWayDelay, sim.perform(e)) })
	case "reorder":
		sim.schedule(oneWayDelay, func() { sim.answer(n, 60*oneWayDelay, sim.perform(e)) })
	default:
		sim.schedule(oneWayDelay, func() { sim.answer(n, oneWayDelay, sim.perform(e)) })
	}
}

// answer delivers a result to the node after the delay.
func (sim *simulation) answer(n *node, after time.Duration, r Result) {
	sim.schedule(after, func() { sim.deliver(n, r) })
}

// callNumber returns the call number of a request. It performs the request on an empty platform,
// because each type of request holds the number in a field of its own.
func callNumber(e Effect) uint64 {
	r := (&simulation{rows: map[string]Row{}}).perform(e)
	return r.Call
}

// perform carries out a request on the simulated platform.
func (sim *simulation) perform(e Effect) Result {
	found := func(ok bool) Outcome {
		if ok {
			return Done
		}
		return NotFound
	}
	switch e := e.(type) {
	case Apply:
		return Result{Call: e.Call, Outcome: sim.apply(e.Txn)}
	case GetRow:
		row, ok := sim.rows[e.Key]
		return Result{Call: e.Call, Outcome: found(ok), Row: row}
	case ScanRows:
		var rows []Row
		for _, key := range sortedKeys(sim.rows) {
			if strings.HasPrefix(key, e.Prefix) && key > e.After && len(rows) < e.Limit {
				rows = append(rows, sim.rows[key])
			}
		}
		return Result{Call: e.Call, Outcome: Done, Rows: rows}
	case PutObject:
		if sim.objects != nil {
			sim.objects[e.Key] = e.Value
		}
		return Result{Call: e.Call, Outcome: Done}
	case GetObject:
		value, ok := sim.objects[e.Key]
		return Result{Call: e.Call, Outcome: found(ok), Value: value}
	case DeleteObject:
		delete(sim.objects, e.Key)
		return Result{Call: e.Call, Outcome: Done}
	}
	return Result{}
}

// apply applies a transaction and counts it as one write.
func (sim *simulation) apply(txn Txn) Outcome {
	if len(txn.Writes) > sim.cfg.TxnWrites {
		sim.fail("transaction has %d writes, want at most %d", len(txn.Writes), sim.cfg.TxnWrites)
	}
	for _, c := range txn.Conditions {
		if c.Version != platform.AnyVersion && sim.rows[c.Key].Version != c.Version {
			return ConditionFailed
		}
	}
	sim.writes++
	for _, write := range txn.Writes {
		if write.Delete {
			delete(sim.rows, write.Key)
			continue
		}
		sim.rows[write.Key] = Row{Key: write.Key, Value: write.Value, Version: sim.rows[write.Key].Version + 1}
		if log, ok := strings.CutPrefix(write.Key, "seal/"); ok {
			sim.recordSeal(structs.LogID(log), write.Value)
		}
	}
	return Done
}

// recordSeal records the successor of a log and checks that the log is sealed only once.
func (sim *simulation) recordSeal(log structs.LogID, value []byte) {
	seal, err := DecodeSeal(value)
	if before, sealed := sim.sealed[log]; err != nil || sealed {
		sim.fail("log %s, sealed for %q, is sealed again: %s", log, before, value)
	}
	sim.sealed[log] = seal.Successor
}

// advance moves the clock by d and runs the events that become due, in order.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for {
		at, run := sim.nextEvent()
		if run == nil || at.After(end) {
			sim.now = end
			return
		}
		if at.After(sim.now) {
			sim.now = at
		}
		run()
	}
}

// nextEvent returns the earliest event or wake-up of a node, or nil.
func (sim *simulation) nextEvent() (time.Time, func()) {
	best := -1
	for i, e := range sim.events {
		if best < 0 || e.at.Before(sim.events[best].at) || e.at.Equal(sim.events[best].at) && e.ordinal < sim.events[best].ordinal {
			best = i
		}
	}
	var waker *node
	for _, name := range sortedKeys(sim.nodes) {
		n := sim.nodes[name]
		if !n.wake.IsZero() && !n.paused && !n.dead && !n.machine.stopped && (waker == nil || n.wake.Before(waker.wake)) {
			waker = n
		}
	}
	switch {
	case waker != nil && (best < 0 || waker.wake.Before(sim.events[best].at)):
		return waker.wake, func() { sim.deliver(waker, Tick{}) }
	case best >= 0:
		e := sim.events[best]
		return e.at, func() {
			sim.events = slices.Delete(sim.events, best, best+1)
			e.run()
		}
	}
	return time.Time{}, nil
}

// resume delivers to a paused node the messages that arrived meanwhile.
func (sim *simulation) resume(n *node) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, msg := range inbox {
		sim.deliver(n, msg)
	}
}
