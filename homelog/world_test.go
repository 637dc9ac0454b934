package homelog

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

const oneWay = time.Millisecond

// world runs several logs against one platform in memory, with a hand-moved clock and
// scripted faults, and checks after every step what must always hold.
type world struct {
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
	// kept are the texts of each program that are acknowledged or handed to a successor, in
	// order; owner is the node that runs it; ended are the programs whose end was submitted.
	kept  map[structs.ProgramID][]string
	owner map[structs.ProgramID]string
	ended map[structs.ProgramID]bool
	// endKept are the programs whose end is acknowledged.
	endKept map[structs.ProgramID]bool
	// broken is the first violation.
	broken string
}

type event struct {
	at      time.Time
	ordinal uint64
	run     func()
}

type node struct {
	name      string
	machine   *Machine
	wake      time.Time
	paused    bool
	dead      bool
	cut       bool
	faults    []string
	inbox     []Message
	submitted []submission
	acked     int
	outcomes  []string
}

type submission struct {
	sequence uint64
	program  structs.ProgramID
	text     string
	end      bool
}

func newWorld(cfg Config) *world {
	return &world{
		cfg: cfg.withDefaults(), now: time.Unix(0, 0), nodes: map[string]*node{}, rows: map[string]Row{}, objects: map[string][]byte{},
		sealed: map[structs.LogID]structs.LogID{}, kept: map[structs.ProgramID][]string{},
		owner: map[structs.ProgramID]string{}, ended: map[structs.ProgramID]bool{},
		endKept: map[structs.ProgramID]bool{},
	}
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func (w *world) schedule(after time.Duration, run func()) {
	w.ordinal++
	w.events = append(w.events, event{w.now.Add(after), w.ordinal, run})
}

// start opens a log named after the node; faults befall its first requests.
func (w *world) start(name string, faults ...string) {
	cfg := w.cfg
	cfg.Log = structs.LogID(name)
	cfg.Seed = uint64(len(w.nodes))
	w.nodes[name] = &node{name: name, machine: New(cfg), faults: faults}
	w.deliver(w.nodes[name], Start{})
}

// submit appends one entry for a program that the node runs or opens.
func (w *world) submit(n *node, p structs.ProgramID, text string, mark Mark) bool {
	owner, known := w.owner[p]
	if n.dead || n.paused || n.machine.stopped || known && owner != n.name || !known && string(p.Log()) != n.name || w.ended[p] {
		return false
	}
	e := Entry{Program: p, Kind: "step", Data: []byte(text), Mark: mark}
	if n.machine.Full() || n.machine.Check([]Entry{e}) != nil {
		return false
	}
	w.owner[p] = n.name
	w.ended[p] = mark == MarkEnd
	n.submitted = append(n.submitted, submission{n.machine.LastSequence() + 1, p, text, mark == MarkEnd})
	w.deliver(n, Append{Entries: []Entry{e}})
	return true
}

// deliver steps a node, or keeps the message while it is paused.
func (w *world) deliver(n *node, msg Message) {
	if n.dead {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, msg)
		return
	}
	if n.machine.stopped {
		n.machine.Step(w.now, msg)
		return
	}
	n.wake = time.Time{}
	for _, e := range n.machine.Step(w.now, msg) {
		switch e := e.(type) {
		case WakeAt:
			n.wake = e.At
		case Committed:
			w.acknowledge(n, e.Through)
		case Stopped:
			n.outcomes = append(n.outcomes, fmt.Sprintf("stopped, successor %q", e.Successor))
		case Retired:
			n.outcomes = append(n.outcomes, "retired")
		case TakeoverDone:
			w.adopted(n, e)
		default:
			w.request(n, e)
		}
	}
}

// acknowledge checks that what is acknowledged goes to the program's one history.
func (w *world) acknowledge(n *node, through uint64) {
	for n.acked < len(n.submitted) && n.submitted[n.acked].sequence <= through {
		s := n.submitted[n.acked]
		n.acked++
		w.endKept[s.program] = w.endKept[s.program] || s.end
		switch {
		case w.owner[s.program] == n.name:
			w.kept[s.program] = append(w.kept[s.program], s.text)
		case !slices.Contains(w.kept[s.program], s.text) && !w.ended[s.program]:
			w.fail("%s accepted %q of program %s, which %s runs", n.name, s.text, s.program, w.owner[s.program])
		}
	}
}

// adopted checks that a successor gets every acknowledged entry, in order and once.
func (w *world) adopted(n *node, a TakeoverDone) {
	text := fmt.Sprintf("adopted %s: %d entries", a.Log, len(a.Entries))
	if a.Err != nil {
		text = fmt.Sprintf("adopt %s: %v", a.Log, a.Err)
	}
	n.outcomes = append(n.outcomes, text)
	if _, sealed := w.sealed[structs.LogID(n.name)]; sealed {
		// Its successor has the programs; the node stops at its next record.
		return
	}
	got := map[structs.ProgramID][]string{}
	for _, e := range a.Entries {
		got[e.Program] = append(got[e.Program], string(e.Data))
	}
	for _, p := range sortedKeys(got) {
		from := w.owner[p]
		if w.endKept[p] {
			w.fail("%s adopted program %s, whose end is acknowledged", n.name, p)
		}
		if _, sealed := w.sealed[structs.LogID(from)]; from == n.name || !sealed {
			w.fail("%s adopted program %s, which %s runs", n.name, p, from)
		}
		kept := w.kept[p]
		if len(got[p]) < len(kept) || !slices.Equal(got[p][:len(kept)], kept) {
			w.fail("%s adopted %v of program %s, but %v is acknowledged", n.name, got[p], p, kept)
		}
		if !w.submittedInOrder(w.nodes[from], p, got[p][len(kept):]) {
			w.fail("%s adopted %v of program %s, not in the order of submission", n.name, got[p], p)
		}
		w.kept[p] = got[p]
		w.owner[p] = n.name
		w.ended[p] = false
	}
	if a.Err == nil {
		w.checkNothingLost(n)
	}
}

// submittedInOrder says that the texts are the first ones that the node has submitted for
// the program without an acknowledgement.
func (w *world) submittedInOrder(n *node, p structs.ProgramID, texts []string) bool {
	var open []string
	for _, s := range n.submitted[n.acked:] {
		if s.program == p {
			open = append(open, s.text)
		}
	}
	return len(texts) <= len(open) && slices.Equal(open[:len(texts)], texts)
}

// checkNothingLost checks that no acknowledged program is left with a log that the node
// has taken over.
func (w *world) checkNothingLost(n *node) {
	for _, p := range sortedKeys(w.kept) {
		owner := w.owner[p]
		if _, taken := n.machine.state.adopted[structs.LogID(owner)]; taken && !w.ended[p] && len(w.kept[p]) > 0 {
			w.fail("%s took log %s over without its program %s", n.name, owner, p)
		}
	}
}

// request sends an effect to the platform with the node's next fault.
func (w *world) request(n *node, e Effect) {
	fault := ""
	_, isApply := e.(Apply)
	if len(n.faults) > 0 && (isApply || n.faults[0] == "duplicate" || n.faults[0] == "reorder") {
		fault, n.faults = n.faults[0], n.faults[1:]
	}
	if n.cut || w.outage {
		w.answer(n, 50*oneWay, Result{Call: callOf(e), Outcome: Unknown})
		return
	}
	const late = 300 * time.Millisecond
	switch fault {
	case "lose-answer":
		w.schedule(oneWay, func() { w.perform(e) })
		w.answer(n, 50*oneWay, Result{Call: callOf(e), Outcome: Unknown})
	case "late":
		w.schedule(late, func() { w.perform(e) })
		w.answer(n, 50*oneWay, Result{Call: callOf(e), Outcome: Unknown})
	case "refuse":
		w.answer(n, 2*oneWay, Result{Call: callOf(e), Outcome: NotApplied})
	case "duplicate":
		w.schedule(late, func() { w.answer(n, oneWay, w.perform(e)) })
		w.schedule(oneWay, func() { w.answer(n, oneWay, w.perform(e)) })
	case "reorder":
		w.schedule(oneWay, func() { w.answer(n, 60*oneWay, w.perform(e)) })
	default:
		w.schedule(oneWay, func() { w.answer(n, oneWay, w.perform(e)) })
	}
}

func (w *world) answer(n *node, after time.Duration, r Result) {
	w.schedule(after, func() { w.deliver(n, r) })
}

func callOf(e Effect) uint64 { r := (&world{rows: map[string]Row{}}).perform(e); return r.Call }

// perform carries out a request at the platform.
func (w *world) perform(e Effect) Result {
	found := func(ok bool) Outcome {
		if ok {
			return Done
		}
		return NotFound
	}
	switch e := e.(type) {
	case Apply:
		return Result{Call: e.Call, Outcome: w.apply(e.Txn)}
	case GetRow:
		row, ok := w.rows[e.Key]
		return Result{Call: e.Call, Outcome: found(ok), Row: row}
	case ScanRows:
		var rows []Row
		for _, key := range sortedKeys(w.rows) {
			if strings.HasPrefix(key, e.Prefix) && key > e.After && len(rows) < e.Limit {
				rows = append(rows, w.rows[key])
			}
		}
		return Result{Call: e.Call, Outcome: Done, Rows: rows}
	case PutObject:
		if w.objects != nil {
			w.objects[e.Key] = e.Value
		}
		return Result{Call: e.Call, Outcome: Done}
	case GetObject:
		value, ok := w.objects[e.Key]
		return Result{Call: e.Call, Outcome: found(ok), Value: value}
	case DeleteObject:
		delete(w.objects, e.Key)
		return Result{Call: e.Call, Outcome: Done}
	}
	return Result{}
}

func (w *world) apply(txn Txn) Outcome {
	if len(txn.Writes) > w.cfg.TxnWrites {
		w.fail("transaction of %d writes", len(txn.Writes))
	}
	for _, c := range txn.Conditions {
		if c.Version != platform.AnyVersion && w.rows[c.Key].Version != c.Version {
			return ConditionFailed
		}
	}
	w.writes++
	for _, write := range txn.Writes {
		if write.Delete {
			delete(w.rows, write.Key)
			continue
		}
		w.rows[write.Key] = Row{Key: write.Key, Value: write.Value, Version: w.rows[write.Key].Version + 1}
		if log, ok := strings.CutPrefix(write.Key, "seal/"); ok {
			w.noteSeal(structs.LogID(log), write.Value)
		}
	}
	return Done
}

func (w *world) noteSeal(log structs.LogID, value []byte) {
	seal, err := DecodeSeal(value)
	if before, sealed := w.sealed[log]; err != nil || sealed {
		w.fail("log %s, sealed for %q, is sealed again: %s", log, before, value)
	}
	w.sealed[log] = seal.Successor
}

// advance moves the clock, running what falls due on the way.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for {
		at, run := w.nextEvent()
		if run == nil || at.After(end) {
			w.now = end
			return
		}
		if at.After(w.now) {
			w.now = at
		}
		run()
	}
}

func (w *world) nextEvent() (time.Time, func()) {
	best := -1
	for i, e := range w.events {
		if best < 0 || e.at.Before(w.events[best].at) || e.at.Equal(w.events[best].at) && e.ordinal < w.events[best].ordinal {
			best = i
		}
	}
	var waker *node
	for _, name := range sortedKeys(w.nodes) {
		n := w.nodes[name]
		if !n.wake.IsZero() && !n.paused && !n.dead && !n.machine.stopped && (waker == nil || n.wake.Before(waker.wake)) {
			waker = n
		}
	}
	switch {
	case waker != nil && (best < 0 || waker.wake.Before(w.events[best].at)):
		return waker.wake, func() { w.deliver(waker, Tick{}) }
	case best >= 0:
		e := w.events[best]
		return e.at, func() {
			w.events = slices.Delete(w.events, best, best+1)
			e.run()
		}
	}
	return time.Time{}, nil
}

// resume hands a paused node what came meanwhile.
func (w *world) resume(n *node) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, msg := range inbox {
		w.deliver(n, msg)
	}
}
