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

// tickInterval is the interval of the simulated ticks, less than a quarter of the lease time.
const tickInterval = 250 * time.Millisecond

var epoch = time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)

// home is one entry with the programs whose holds it renews, and their fencing numbers.
type home struct {
	programs map[structs.ProgramID]uint64
	// paused homes send no renewals.
	paused bool
}

// testbed is one side with simulated homes, a simulated engine and the fence row.
type testbed struct {
	now   time.Time
	side  *Machine
	homes map[structs.LogID]*home
	// engine holds the tokens of the engine's holds, by program.
	engine map[structs.ProgramID]int64
	// queue holds the answers that arrive at the side's next step.
	queue      []Message
	log        []string
	violations []string
	engineDown bool
	// loseAnswers is the number of further holds and releases that the engine executes although
	// their requests fail.
	loseAnswers int
	// holdsToDelay is the number of further holds that the engine executes only in deliverLate,
	// although their requests have failed.
	holdsToDelay int
	delayedHolds []AcquireAtEngine
	// rowFence is the fencing number in the fence row.
	rowFence     uint64
	platformDown bool
	// holdsUnanswered reports whether the engine executes holds and never answers them.
	holdsUnanswered bool
	// delayList delays the answer to the next ListHolds until deliverLate.
	delayList    bool
	delayedLists []Message
	// checksFence reports whether the engine refuses old fencing numbers. One that does not
	// may execute an unanswered order up to lateExecution after it was sent.
	checksFence      bool
	unansweredOrders []Order
	unansweredSince  time.Time
	// highestFence is the highest fencing number of an executed order.
	highestFence     uint64
	ordersUnanswered bool
	// delayHomes delays the messages of homes until it is false again.
	delayHomes      bool
	delayedMessages []Message
}

// fromHome delivers a home's message and after it the delayed ones, or delays the message.
func (b *testbed) fromHome(msg Message) {
	if b.delayHomes {
		b.delayedMessages = append(b.delayedMessages, msg)
		return
	}
	delayed := b.delayedMessages
	b.delayedMessages = nil
	b.step(msg)
	for _, late := range delayed {
		b.step(late)
	}
}

// lateExecution is how long after it was sent an order may still be executed.
const lateExecution = 9 * time.Second

func newTestbed() *testbed {
	b := &testbed{now: epoch, homes: map[structs.LogID]*home{}, engine: map[structs.ProgramID]int64{}}
	b.start()
	return b
}

func (b *testbed) start() {
	cfg := DefaultConfig("m1")
	cfg.MaxTokens, cfg.MaxLeases = 1000, 4
	cfg.OrderTimeout, cfg.ChecksFence = 2*time.Second, b.checksFence
	b.side, b.queue = New(cfg, b.now), nil
}

func (b *testbed) step(msg Message) {
	if b.side == nil {
		return
	}
	for _, e := range b.side.Step(b.now, msg) {
		b.perform(e)
	}
}

func (b *testbed) perform(e Effect) {
	answer := func(msg Message) { b.queue = append(b.queue, msg) }
	switch e := e.(type) {
	case AcquireAtEngine:
		switch {
		case b.holdsToDelay > 0:
			b.holdsToDelay--
			b.delayedHolds = append(b.delayedHolds, e)
			answer(EngineAnswered{RequestID: e.RequestID, Failed: true})
		case b.engineDown:
			answer(EngineAnswered{RequestID: e.RequestID, Failed: true})
		default:
			b.engine[e.Program] = 100
			if !b.holdsUnanswered {
				answer(EngineAnswered{RequestID: e.RequestID, Failed: b.nextAnswerLost()})
			}
		}
	case ReleaseAtEngine:
		if !b.engineDown {
			delete(b.engine, e.Program)
		}
		answer(EngineAnswered{RequestID: e.RequestID, Failed: b.engineDown || b.nextAnswerLost()})
	case ListHolds:
		list := EngineList{RequestID: e.RequestID, Failed: b.engineDown}
		for _, p := range sortedPrograms(b.engine) {
			list.Holds = append(list.Holds, EngineHold{p, b.engine[p]})
		}
		if b.delayList {
			b.delayList = false
			b.delayedLists = append(b.delayedLists, list)
			return
		}
		answer(list)
	case ReadFence:
		answer(FenceRead{Failed: b.platformDown, Fence: b.rowFence})
	case SendOrder:
		if b.ordersUnanswered {
			b.unansweredOrders, b.unansweredSince = append(b.unansweredOrders, e.Order), b.now
			return
		}
		b.execute(e.Order)
		answer(OrderDone{ID: e.Order.ID})
	default:
		b.record(e)
	}
}

func (b *testbed) execute(o Order) {
	if o.OrderFence < b.highestFence && !b.checksFence {
		b.violations = append(b.violations, fmt.Sprintf("order with fencing number %d was executed after %d", o.OrderFence, b.highestFence))
	}
	b.highestFence = max(b.highestFence, o.OrderFence)
}

// executeUnanswered makes the engine execute its unanswered orders at the latest possible
// time.
func (b *testbed) executeUnanswered() {
	if len(b.unansweredOrders) == 0 || b.now.Sub(b.unansweredSince) < lateExecution {
		return
	}
	for _, o := range b.unansweredOrders {
		b.execute(o)
	}
	b.unansweredOrders = nil
}

func (b *testbed) nextAnswerLost() bool {
	b.loseAnswers--
	return b.loseAnswers >= 0
}

// record logs an effect for the scripts, except a Renewed without refusals. A home stops renewing
// the programs that a Renewed refuses.
func (b *testbed) record(e Effect) {
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
		if h := b.homes[e.HomeLog]; h != nil {
			for _, p := range append(e.NotHeld, e.Fenced...) {
				delete(h.programs, p)
			}
		}
	}
	b.log = append(b.log, fmt.Sprintf("%v %s", b.now.Sub(epoch), text))
}

// advance advances the clock in steps of tickInterval. Homes renew every second, and the engine's
// answers arrive at the next step.
func (b *testbed) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(tickInterval)
		b.executeUnanswered()
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
			b.violations = append(b.violations, "the held tokens exceed the limit")
		}
	}
}

func (b *testbed) renewAll() {
	var ids []structs.LogID
	for id := range b.homes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		h := b.homes[id]
		if h.paused || len(h.programs) == 0 {
			continue
		}
		r := Renew{HomeLog: id}
		for _, p := range sortedPrograms(h.programs) {
			r.Programs = append(r.Programs, Renewal{Program: p, Fence: h.programs[p], Tokens: 100})
		}
		b.fromHome(r)
	}
}

func (b *testbed) submit(id structs.LogID, p structs.ProgramID, fence uint64, tokens int64) {
	if b.homes[id] == nil {
		b.homes[id] = &home{programs: map[structs.ProgramID]uint64{}}
	}
	b.homes[id].programs[p] = fence
	b.fromHome(Hold{Program: p, HomeLog: id, Fence: fence, Tokens: tokens})
}

func (b *testbed) finish(id structs.LogID, p structs.ProgramID) {
	if h := b.homes[id]; h != nil {
		fence := h.programs[p]
		delete(h.programs, p)
		b.fromHome(Release{Program: p, Fence: fence})
	}
}

// deliverLate executes the delayed holds and queues the delayed lists.
func (b *testbed) deliverLate() {
	for _, e := range b.delayedHolds {
		b.engine[e.Program] = 100
	}
	b.delayedHolds = nil
	b.queue = append(b.queue, b.delayedLists...)
	b.delayedLists = nil
}

// order writes the fencing number to the row, as the sender of an order does, and sends the order.
func (b *testbed) order(id string, fence uint64) {
	b.rowFence = max(b.rowFence, fence)
	b.step(Order{ID: id, OrderFence: fence, Kind: "load_model"})
}

// TestScripts runs the scenarios of testdata against the simulated homes and engine. They guard
// against engine memory that is held without a lease, leases without a hold, and orders that
// are executed after a newer one. testdata/guards.md lists which check each scenario guards.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if !strings.HasSuffix(path, ".txt") {
			return
		}
		b := newTestbed()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			b.run(t, d)
			if len(b.violations) > 0 {
				return "VIOLATED " + strings.Join(b.violations, "\n")
			}
			out := strings.Join(b.log, "\n")
			b.log = nil
			if d.Cmd == "expect" && b.side != nil {
				out = fmt.Sprintf("engine %v leases %d tokens %d", sortedPrograms(b.engine), b.side.Leases(), b.side.HeldTokens())
			}
			return out
		})
	})
}

func (b *testbed) run(t *testing.T, d *datadriven.TestData) {
	arg := func(i int) string { return d.CmdArgs[i].Key }
	number := func(key string) (n uint64) {
		d.ScanArgs(t, key, &n)
		return n
	}
	switch d.Cmd {
	case "start":
		b.checksFence = d.HasArg("checks")
		b.start()
	case "kill":
		if arg(0) == "side" {
			b.side, b.queue = nil, nil
		} else {
			b.homes[structs.LogID(arg(0))].paused = true
		}
	case "resume":
		b.homes[structs.LogID(arg(0))].paused = false
	case "restart-engine":
		clear(b.engine)
		if !d.HasArg("unnoticed") {
			b.step(EngineRestarted{})
		}
	case "outage":
		b.holdsUnanswered = arg(0) == "answers"
		b.engineDown, b.platformDown, b.ordersUnanswered = arg(0) == "engine", arg(0) == "platform", arg(0) == "orders"
	case "heal":
		b.engineDown, b.platformDown, b.ordersUnanswered, b.holdsUnanswered = false, false, false, false
	case "lose-answer":
		b.loseAnswers = 1
	case "late":
		b.holdsToDelay, b.delayList = 1, d.HasArg("list")
		if b.delayList {
			b.holdsToDelay = 0
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
		b.step(Hold{Program: structs.ProgramID(arg(1)), HomeLog: structs.LogID(arg(0)), Fence: number("fence"), Tokens: 100})
	case "finish":
		b.finish(structs.LogID(arg(0)), structs.ProgramID(arg(1)))
	case "order":
		b.order(arg(0), number("fence"))
	case "expect":
	default:
		d.Fatalf(t, "unknown verb %q", d.Cmd)
	}
}

// TestAnyInterleaving guards against engine memory that stays held for programs that are
// gone, against orders executed in the wrong sequence, and against holds above the token
// limit. It draws holds, ends of programs, faults and restarts in any order; after all homes
// have stopped and the engine answers again, the engine must hold nothing.
func TestAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestbed()
		fences := map[structs.ProgramID]uint64{}
		for range rapid.IntRange(5, 40).Draw(rt, "events") {
			p := structs.ProgramID(fmt.Sprintf("e1-1.%d", rapid.IntRange(1, 6).Draw(rt, "program")))
			id := structs.LogID(rapid.SampledFrom([]string{"e1-1", "e2-1"}).Draw(rt, "home"))
			switch rapid.IntRange(0, 12).Draw(rt, "verb") {
			case 0, 1, 2:
				fences[p] += rapid.Uint64Range(0, 1).Draw(rt, "taken over")
				b.submit(id, p, fences[p], 100)
			case 3:
				b.finish(id, p)
			case 4:
				if h := b.homes[id]; h != nil {
					h.paused = !h.paused
				}
			case 5:
				b.checksFence = false
				b.start()
			case 6:
				clear(b.engine)
				b.step(EngineRestarted{})
			case 7:
				b.engineDown = !b.engineDown
			case 8:
				b.loseAnswers, b.holdsToDelay = 1, rapid.IntRange(0, 1).Draw(rt, "late")
			case 9:
				b.deliverLate()
			case 10:
				b.platformDown, b.ordersUnanswered = !b.platformDown, rapid.Bool().Draw(rt, "orders unanswered")
			case 12:
				b.delayHomes = !b.delayHomes
			case 11:
				f := rapid.Uint64Range(0, b.rowFence+1).Draw(rt, "fence")
				b.order(fmt.Sprint("o", f), f)
			}
			b.advance(tickInterval * time.Duration(rapid.IntRange(1, 12).Draw(rt, "steps")))
		}
		b.engineDown, b.loseAnswers, b.holdsToDelay = false, 0, 0
		b.deliverLate()
		clear(b.homes)
		b.advance(15 * time.Second)
		if len(b.engine) > 0 || b.side.HeldTokens() != 0 || len(b.violations) > 0 {
			rt.Fatalf("engine still holds %v, side counts %d held tokens, violations %v\n%s", b.engine, b.side.HeldTokens(), b.violations, strings.Join(b.log, "\n"))
		}
	})
}

// BenchmarkRenew renews 512 leases of one home, the default maximum of a side. The engine has
// not confirmed them.
func BenchmarkRenew(b *testing.B) {
	cfg := DefaultConfig("m1")
	cfg.MaxLeases, cfg.MaxTokens = 1<<20, 1<<40
	m := New(cfg, epoch)
	m.listRead = true
	r := Renew{HomeLog: "e1-1"}
	for i := range 512 {
		p := structs.NewProgramID("e1-1", uint64(i))
		m.Step(epoch, Hold{Program: p, HomeLog: "e1-1", Fence: 1, Tokens: 100})
		r.Programs = append(r.Programs, Renewal{Program: p, Fence: 1, Tokens: 100})
	}
	b.ReportAllocs()
	for b.Loop() {
		m.Step(epoch, r)
	}
}
