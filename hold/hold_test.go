package hold

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

const step = 250 * time.Millisecond

var epoch = time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)

// home is one entry's log with the programs whose cache it wants held.
type home struct {
	programs map[structs.ProgramID]uint64
	silent   bool
}

// bench is one side between its homes and its engine.
type bench struct {
	now     time.Time
	side    *Machine
	homes   map[structs.LogID]*home
	engine  map[structs.ProgramID]int64
	queue   []Message
	log     []string
	broken  []string
	down    bool
	lose    int
	late    int
	delayed []PinAtEngine
	fence   uint64
	rowDown bool
	// mute engines take pins and never answer; a late list is answered by "deliver".
	mute     bool
	lateList bool
	lists    []Message
	// checks says that the engine refuses old numbers; one that does not may obey an
	// order that it left unanswered up to obeyLate afterwards.
	checks   bool
	unheard  []Order
	unheardT time.Time
	obeyed   uint64
	silent   bool
	// delay keeps what homes send until it is off again.
	delay bool
	kept  []Message
}

// fromHome delivers a home's message, after it what was kept before, or keeps it.
func (b *bench) fromHome(msg Message) {
	if b.delay {
		b.kept = append(b.kept, msg)
		return
	}
	kept := b.kept
	b.kept = nil
	b.step(msg)
	for _, late := range kept {
		b.step(late)
	}
}

// obeyLate is how long after its sending an order may still be obeyed.
const obeyLate = 9 * time.Second

func newBench() *bench {
	b := &bench{now: epoch, homes: map[structs.LogID]*home{}, engine: map[structs.ProgramID]int64{}}
	b.start()
	return b
}

func (b *bench) start() {
	cfg := DefaultConfig("m1")
	cfg.MaxTokens, cfg.MaxLeases = 1000, 4
	cfg.OrderTimeout, cfg.ChecksFence = 2*time.Second, b.checks
	b.side, b.queue = New(cfg, b.now), nil
}

func (b *bench) step(msg Message) {
	if b.side == nil {
		return
	}
	for _, e := range b.side.Step(b.now, msg) {
		b.carryOut(e)
	}
}

func (b *bench) carryOut(e Effect) {
	answer := func(msg Message) { b.queue = append(b.queue, msg) }
	switch e := e.(type) {
	case PinAtEngine:
		switch {
		case b.late > 0:
			b.late--
			b.delayed = append(b.delayed, e)
			answer(EngineAnswered{RequestID: e.RequestID, Failed: true})
		case b.down:
			answer(EngineAnswered{RequestID: e.RequestID, Failed: true})
		default:
			b.engine[e.Program] = 100
			if !b.mute {
				answer(EngineAnswered{RequestID: e.RequestID, Failed: b.loses()})
			}
		}
	case ReleaseAtEngine:
		if !b.down {
			delete(b.engine, e.Program)
		}
		answer(EngineAnswered{RequestID: e.RequestID, Failed: b.down || b.loses()})
	case ListHolds:
		list := EngineList{RequestID: e.RequestID, Failed: b.down}
		for _, p := range sorted(b.engine) {
			list.Holds = append(list.Holds, EngineHold{p, b.engine[p]})
		}
		if b.lateList {
			b.lateList = false
			b.lists = append(b.lists, list)
			return
		}
		answer(list)
	case ReadFence:
		answer(FenceRead{Failed: b.rowDown, Fence: b.fence})
	case SendOrder:
		if b.silent {
			b.unheard, b.unheardT = append(b.unheard, e.Order), b.now
			return
		}
		b.obey(e.Order)
		answer(OrderDone{ID: e.Order.ID})
	default:
		b.note(e)
	}
}

func (b *bench) obey(o Order) {
	if o.Fence < b.obeyed && !b.checks {
		b.broken = append(b.broken, fmt.Sprintf("order with fence %d was obeyed after %d", o.Fence, b.obeyed))
	}
	b.obeyed = max(b.obeyed, o.Fence)
}

// obeyUnheard lets the engine obey, at its latest, what it left unanswered.
func (b *bench) obeyUnheard() {
	if len(b.unheard) == 0 || b.now.Sub(b.unheardT) < obeyLate {
		return
	}
	for _, o := range b.unheard {
		b.obey(o)
	}
	b.unheard = nil
}

func (b *bench) loses() bool {
	b.lose--
	return b.lose >= 0
}

func (b *bench) note(e Effect) {
	if r, ok := e.(Renewed); ok && len(r.NotHeld)+len(r.Fenced) == 0 {
		return
	}
	text := strings.TrimPrefix(fmt.Sprintf("%T%+v", e, e), "hold.")
	switch e := e.(type) {
	case Denied:
		text = fmt.Sprintf("Denied %s: %s %s", e.Program, e.Refusal.Code, e.Refusal.Detail)
	case OrderRefused:
		text = fmt.Sprintf("OrderRefused %s: %s %s %s", e.ID, e.Refusal.Code, e.Refusal.Outcome, e.Refusal.Detail)
	case Renewed:
		if h := b.homes[e.Home]; h != nil {
			for _, p := range append(e.NotHeld, e.Fenced...) {
				delete(h.programs, p)
			}
		}
	}
	b.log = append(b.log, fmt.Sprintf("%v %s", b.now.Sub(epoch), text))
}

// advance lets time pass; homes renew each second, and the engine answers by the next step.
func (b *bench) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(step)
		b.obeyUnheard()
		queue := b.queue
		b.queue = nil
		for _, msg := range queue {
			b.step(msg)
		}
		if b.now.Sub(epoch)%time.Second == 0 {
			b.renewAll()
		}
		b.step(Tick{})
		if b.side != nil && b.side.HeldTokens() > 1000 && len(b.side.orphans) == 0 {
			b.broken = append(b.broken, "more tokens are held than the limit")
		}
	}
}

func (b *bench) renewAll() {
	var ids []structs.LogID
	for id := range b.homes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		h := b.homes[id]
		if h.silent || len(h.programs) == 0 {
			continue
		}
		r := Renew{Home: id}
		for _, p := range sorted(h.programs) {
			r.Programs = append(r.Programs, Renewal{Program: p, Fence: h.programs[p], Tokens: 100})
		}
		b.fromHome(r)
	}
}

func (b *bench) submit(id structs.LogID, p structs.ProgramID, fence uint64, tokens int64) {
	if b.homes[id] == nil {
		b.homes[id] = &home{programs: map[structs.ProgramID]uint64{}}
	}
	b.homes[id].programs[p] = fence
	b.fromHome(Hold{Program: p, Home: id, Fence: fence, Tokens: tokens})
}

func (b *bench) finish(id structs.LogID, p structs.ProgramID) {
	if h := b.homes[id]; h != nil {
		fence := h.programs[p]
		delete(h.programs, p)
		b.fromHome(Release{Program: p, Fence: fence})
	}
}

func (b *bench) deliverLate() {
	for _, e := range b.delayed {
		b.engine[e.Program] = 100
	}
	b.delayed = nil
	b.queue = append(b.queue, b.lists...)
	b.lists = nil
}

func (b *bench) order(id string, fence uint64) {
	b.fence = max(b.fence, fence)
	b.step(Order{ID: id, Fence: fence, Kind: "load_model"})
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if !strings.HasSuffix(path, ".txt") {
			return
		}
		b := newBench()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			b.run(t, d)
			if len(b.broken) > 0 {
				return "BROKEN " + strings.Join(b.broken, "\n")
			}
			out := strings.Join(b.log, "\n")
			b.log = nil
			if d.Cmd == "expect" && b.side != nil {
				out = fmt.Sprintf("engine %v leases %d tokens %d", sorted(b.engine), b.side.Leases(), b.side.HeldTokens())
			}
			return out
		})
	})
}

func (b *bench) run(t *testing.T, d *datadriven.TestData) {
	arg := func(i int) string { return d.CmdArgs[i].Key }
	number := func(key string) (n uint64) {
		d.ScanArgs(t, key, &n)
		return n
	}
	switch d.Cmd {
	case "start":
		b.checks = d.HasArg("checks")
		b.start()
	case "kill":
		if arg(0) == "side" {
			b.side, b.queue = nil, nil
		} else {
			b.homes[structs.LogID(arg(0))].silent = true
		}
	case "resume":
		b.homes[structs.LogID(arg(0))].silent = false
	case "restart-engine":
		clear(b.engine)
		if !d.HasArg("unheard") {
			b.step(EngineRestarted{})
		}
	case "outage":
		b.mute = arg(0) == "answers"
		b.down, b.rowDown, b.silent = arg(0) == "engine", arg(0) == "platform", arg(0) == "orders"
	case "heal":
		b.down, b.rowDown, b.silent, b.mute = false, false, false, false
	case "lose-answer":
		b.lose = 1
	case "late":
		b.late, b.lateList = 1, d.HasArg("list")
		if b.lateList {
			b.late = 0
		}
	case "deliver":
		b.deliverLate()
	case "advance":
		v, err := time.ParseDuration(arg(0))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		b.advance(v)
	case "submit":
		tokens := int64(100)
		if d.HasArg("tokens") {
			tokens = int64(number("tokens"))
		}
		b.submit(structs.LogID(arg(0)), structs.ProgramID(arg(1)), number("fence"), tokens)
	case "duplicate":
		b.step(Hold{Program: structs.ProgramID(arg(1)), Home: structs.LogID(arg(0)), Fence: number("fence"), Tokens: 100})
	case "finish":
		b.finish(structs.LogID(arg(0)), structs.ProgramID(arg(1)))
	case "order":
		b.order(arg(0), number("fence"))
	case "expect":
	default:
		d.Fatalf(t, "unknown verb %q", d.Cmd)
	}
}

// TestAnyInterleaving draws holds, ends, faults and restarts in any order; once all
// homes are gone and the engine answers, the engine holds nothing.
func TestAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench()
		fences := map[structs.ProgramID]uint64{}
		for range rapid.IntRange(5, 40).Draw(rt, "events") {
			p := structs.ProgramID(fmt.Sprintf("e1-1.%d", rapid.IntRange(1, 6).Draw(rt, "program")))
			id := structs.LogID(rapid.SampledFrom([]string{"e1-1", "e2-1"}).Draw(rt, "home"))
			switch rapid.IntRange(0, 12).Draw(rt, "verb") {
			case 0, 1, 2:
				fences[p] += rapid.Uint64Range(0, 1).Draw(rt, "adopted")
				b.submit(id, p, fences[p], 100)
			case 3:
				b.finish(id, p)
			case 4:
				if h := b.homes[id]; h != nil {
					h.silent = !h.silent
				}
			case 5:
				b.checks = false
				b.start()
			case 6:
				clear(b.engine)
				b.step(EngineRestarted{})
			case 7:
				b.down = !b.down
			case 8:
				b.lose, b.late = 1, rapid.IntRange(0, 1).Draw(rt, "late")
			case 9:
				b.deliverLate()
			case 10:
				b.rowDown, b.silent = !b.rowDown, rapid.Bool().Draw(rt, "silent")
			case 12:
				b.delay = !b.delay
			case 11:
				f := rapid.Uint64Range(0, b.fence+1).Draw(rt, "fence")
				b.order(fmt.Sprint("o", f), f)
			}
			b.advance(step * time.Duration(rapid.IntRange(1, 12).Draw(rt, "steps")))
		}
		b.down, b.lose, b.late = false, 0, 0
		b.deliverLate()
		clear(b.homes)
		b.advance(15 * time.Second)
		if len(b.engine) > 0 || b.side.HeldTokens() != 0 || len(b.broken) > 0 {
			rt.Fatalf("engine holds %v, side %d tokens, broken %v\n%s", b.engine, b.side.HeldTokens(), b.broken, strings.Join(b.log, "\n"))
		}
	})
}

func BenchmarkRenew(b *testing.B) {
	cfg := DefaultConfig("m1")
	cfg.MaxLeases, cfg.MaxTokens = 1<<20, 1<<40
	m := New(cfg, epoch)
	m.listed = true
	r := Renew{Home: "e1-1"}
	for i := range 512 {
		p := structs.NewProgramID("e1-1", uint64(i))
		m.Step(epoch, Hold{Program: p, Home: "e1-1", Fence: 1, Tokens: 100})
		r.Programs = append(r.Programs, Renewal{Program: p, Fence: 1, Tokens: 100})
	}
	b.ReportAllocs()
	for b.Loop() {
		m.Step(epoch, r)
	}
}
