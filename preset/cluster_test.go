package preset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

const (
	tickEvery    = 25 * time.Millisecond
	networkDelay = time.Millisecond
	platform     = structs.NodeID("platform")
)

var epoch = time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)

// node is one process. Its machine is nil while the process is not running.
type node struct {
	machine *Machine
	// starts is the number of starts so far, which is also the incarnation.
	starts uint64
	paused bool
	// inbox holds the messages that arrived while the process was paused.
	inbox []Message
}

// delivery is a message on its way to a node, or an action of the simulated platform.
type delivery struct {
	at time.Time
	// order is the position among the deliveries at the same time.
	order int
	to    structs.NodeID
	// start is the incarnation of the process to which the message is sent; 0 stands for any.
	start uint64
	msg   Message
	// run, if not nil, is called instead of the delivery of msg.
	run func()
}

// cluster runs machines with a simulated table and network, into which tests inject faults.
type cluster struct {
	now   time.Time
	rng   *rand.Rand
	names []structs.NodeID
	// visible lists the entries that a process which starts now sees. If it is empty, all are visible.
	visible []structs.NodeID
	// pollers is the number of pollers, which are also the voters.
	pollers int
	nodes   map[structs.NodeID]*node
	queue   []delivery
	// sent is the number of deliveries queued so far.
	sent int
	// cuts holds the pairs of nodes that cannot reach each other.
	cuts map[[2]structs.NodeID]bool

	// rowVersion and value are the table's version and the value of the row.
	rowVersion int64
	value      []byte
	// outage reports whether all reads and writes fail.
	outage bool
	// loseAnswer is the number of further writes that take effect without an answer.
	loseAnswer int
	// lateWrite, if not 0, is the delay after which the next write takes effect, without an answer.
	lateWrite time.Duration
	// rateLimited is the number of further writes that the platform's rate limit refuses.
	rateLimited int
	// duplicate is the number of further messages that arrive twice.
	duplicate int
	// reorder adds a random delay to each message.
	reorder bool

	// lastID is the ID of the last order. orders and began hold each order and the time at which it
	// was given, by ID.
	lastID uint64
	orders map[uint64]Switch
	began  map[uint64]time.Time
	log    []string
	// nonces holds the version that each written order made, by nonce.
	nonces map[string]uint64
	// presets holds the preset of each version.
	presets map[uint64]string
	// accepted holds the time at which each accepted version was accepted.
	accepted   map[uint64]time.Time
	violations []string
	completed  []completion
}

// completion is an answered switch.
type completion struct {
	order   Switch
	began   time.Time
	ended   time.Time
	version uint64
	code    structs.Code
	outcome structs.Outcome
}

func newCluster(seed uint64, names ...structs.NodeID) *cluster {
	return &cluster{
		now: epoch, pollers: 3, rng: rand.New(rand.NewPCG(seed, 1)), names: names,
		nodes: map[structs.NodeID]*node{}, cuts: map[[2]structs.NodeID]bool{},
		orders: map[uint64]Switch{}, began: map[uint64]time.Time{},
		nonces: map[string]uint64{}, presets: map[uint64]string{}, accepted: map[uint64]time.Time{},
	}
}

func (c *cluster) start(n structs.NodeID) {
	if c.nodes[n] == nil {
		c.nodes[n] = &node{}
	}
	p := c.nodes[n]
	p.starts++
	cfg := DefaultConfig(n, p.starts)
	cfg.Pollers, cfg.Entries = c.pollers, len(c.names)
	cfg.Initial = &structs.Preset{Name: "ordinary"}
	p.machine, p.paused, p.inbox = New(cfg, c.now), false, nil
	known := c.names
	if len(c.visible) > 0 {
		known = c.visible
	}
	c.step(n, Members{Nodes: known})
	c.after(0, delivery{to: n, start: p.starts, msg: Tick{}})
}

func (c *cluster) kill(n structs.NodeID) { c.nodes[n].machine = nil }

func (c *cluster) resume(n structs.NodeID) {
	p := c.nodes[n]
	inbox := p.inbox
	p.paused, p.inbox = false, nil
	for _, msg := range inbox {
		c.step(n, msg)
	}
}

// after queues a delivery for the given time from now.
func (c *cluster) after(d time.Duration, e delivery) {
	c.sent++
	e.at, e.order = c.now.Add(d), c.sent
	c.queue = append(c.queue, e)
}

func (c *cluster) advance(d time.Duration) {
	end := c.now.Add(d)
	for {
		next := -1
		for i, e := range c.queue {
			if e.at.After(end) {
				continue
			}
			if next < 0 || e.at.Before(c.queue[next].at) || (e.at.Equal(c.queue[next].at) && e.order < c.queue[next].order) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		e := c.queue[next]
		c.queue = slices.Delete(c.queue, next, next+1)
		c.now = e.at
		c.deliver(e)
	}
	c.now = end
}

func (c *cluster) deliver(e delivery) {
	if e.run != nil {
		e.run()
		return
	}
	p := c.nodes[e.to]
	if p == nil || p.machine == nil || (p.starts != e.start && e.start != 0) {
		return
	}
	if _, tick := e.msg.(Tick); tick {
		c.after(tickEvery, delivery{to: e.to, start: e.start, msg: Tick{}})
		if p.paused {
			return
		}
	}
	if p.paused {
		p.inbox = append(p.inbox, e.msg)
		return
	}
	c.step(e.to, e.msg)
}

func (c *cluster) step(n structs.NodeID, msg Message) {
	m := c.nodes[n].machine
	before := m.Version()
	for _, e := range m.Step(c.now, msg) {
		c.execute(n, e)
	}
	if m.Version() < before {
		c.addViolation("node %s reverted from version %d to %d", n, before, m.Version())
	}
	for v, at := range c.accepted {
		if m.caughtUp && m.provenAt.After(at) && m.Version() < v {
			c.addViolation("node %s has a freshness proof from after version %d was accepted and is at version %d", n, v, m.Version())
		}
	}
}

func (c *cluster) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *cluster) execute(n structs.NodeID, e Effect) {
	switch e := e.(type) {
	case Read:
		c.read(n, e)
	case Write:
		c.write(n, e)
	case Send:
		c.send(n, e)
	case Apply:
		c.record(e.InForce)
		c.logf("%s applies %d %s", n, e.InForce.Version, e.InForce.Preset.Name)
	case Freshness:
		c.logf("%s fresh=%v", n, e.Fresh)
	case RowInvalid:
		c.logf("%s row invalid", n)
	case Switched:
		c.complete(n, e.ID, completion{version: e.Version}, fmt.Sprintf("version %d accepted=%v missing=%v", e.Version, e.Accepted, e.Missing))
		if e.Accepted {
			c.accepted[e.Version] = c.now
		}
	case SwitchRefused:
		c.complete(n, e.ID, completion{code: e.Refusal.Code, outcome: e.Refusal.Outcome}, fmt.Sprintf("%s %s: %s", e.Refusal.Code, e.Refusal.Outcome, e.Refusal.Detail))
	}
}

// record verifies that each version identifies one preset only.
func (c *cluster) record(p structs.PresetInForce) {
	if other, found := c.presets[p.Version]; found && other != p.Preset.Name {
		c.addViolation("version %d identifies the presets %s and %s", p.Version, other, p.Preset.Name)
	}
	c.presets[p.Version] = p.Preset.Name
}

func (c *cluster) complete(n structs.NodeID, id uint64, done completion, text string) {
	done.order, done.began, done.ended = c.orders[id], c.began[id], c.now
	c.completed = append(c.completed, done)
	c.logf("%s switch %s by %s: %s", n, done.order.Preset.Name, done.order.Operator, text)
}

func (c *cluster) logf(format string, args ...any) {
	at := c.now.Sub(epoch).Truncate(time.Millisecond)
	c.log = append(c.log, fmt.Sprintf("%v ", at)+fmt.Sprintf(format, args...))
}

func (c *cluster) reaches(a, b structs.NodeID) bool { return !c.cuts[pair(a, b)] }

func pair(a, b structs.NodeID) [2]structs.NodeID { return [2]structs.NodeID{min(a, b), max(a, b)} }

func (c *cluster) read(n structs.NodeID, r Read) {
	start := c.nodes[n].starts
	c.after(networkDelay, delivery{run: func() {
		done := ReadDone{Number: r.Number, RowVersion: c.rowVersion, Value: c.value}
		if c.outage || !c.reaches(n, platform) {
			done = ReadDone{Number: r.Number, Failed: true}
		}
		c.after(networkDelay, delivery{to: n, start: start, msg: done})
	}})
}

func (c *cluster) write(n structs.NodeID, w Write) {
	start := c.nodes[n].starts
	answer := func(r WriteResult) { c.after(networkDelay, delivery{to: n, start: start, msg: WriteDone{w.Number, r}}) }
	c.after(networkDelay, delivery{run: func() {
		switch {
		case c.lateWrite > 0:
			c.after(c.lateWrite, delivery{run: func() { c.apply(w) }})
			c.lateWrite = 0
			answer(WriteUnknown)
		case c.rateLimited > 0:
			c.rateLimited--
			answer(WriteNotApplied)
		case c.outage || !c.reaches(n, platform):
			answer(WriteUnknown)
		case !c.apply(w):
			answer(WriteConflict)
		case c.loseAnswer > 0:
			c.loseAnswer--
			answer(WriteUnknown)
		default:
			answer(WriteApplied)
		}
	}})
}

func (c *cluster) apply(w Write) bool {
	if w.ExpectedRowVersion != c.rowVersion {
		return false
	}
	c.rowVersion++
	c.value = w.Value
	row, err := DecodeRow(w.Value)
	if err != nil {
		c.addViolation("the written row does not decode: %v", err)
		return true
	}
	last := row.Recent[len(row.Recent)-1]
	if v := c.nonces[last.Nonce]; v != 0 {
		c.addViolation("switch %s was written twice, as versions %d and %d", last.Nonce, v, last.Version)
	}
	c.nonces[last.Nonce] = last.Version
	return true
}

func (c *cluster) send(from structs.NodeID, s Send) {
	p := c.nodes[s.To]
	if p == nil || !c.reaches(from, s.To) {
		return
	}
	copies := 1
	if c.duplicate > 0 {
		c.duplicate--
		copies = 2
	}
	for i := range copies {
		// The second copy arrives 300 ms after the first.
		d := networkDelay * time.Duration(1+i*300)
		if c.reorder {
			d += time.Duration(c.rng.Int64N(int64(400 * time.Millisecond)))
		}
		c.after(d, delivery{to: s.To, msg: Received{From: from, Message: s.Message}})
	}
}

func (c *cluster) order(n structs.NodeID, operator, name string, expected uint64, nonce string) {
	p := c.nodes[n]
	if p == nil || p.machine == nil {
		return
	}
	c.lastID++
	if nonce == "" {
		nonce = fmt.Sprintf("order-%d", c.lastID)
	}
	s := Switch{ID: c.lastID, Operator: operator, Nonce: nonce, Preset: structs.Preset{Name: name}, ExpectedVersion: expected}
	c.orders[s.ID], c.began[s.ID] = s, c.now
	c.after(0, delivery{to: n, start: p.starts, msg: s})
}

// verify checks the invariants that hold at any time and returns the violations.
func (c *cluster) verify() []string {
	out := c.violations
	for _, d := range c.completed {
		written := c.nonces[d.order.Nonce]
		if d.outcome == structs.OutcomeNotRun && written != 0 && !c.repeated(d.order.Nonce) {
			out = append(out, fmt.Sprintf("switch %s was refused as not run, but was written as version %d", d.order.Nonce, written))
		}
		if d.version != 0 && written != d.version {
			out = append(out, fmt.Sprintf("switch %s was answered with version %d, but was written as version %d", d.order.Nonce, d.version, written))
		}
	}
	return out
}

// repeated reports whether the order with the given nonce was given more than once.
func (c *cluster) repeated(nonce string) bool {
	n := 0
	for _, s := range c.orders {
		if s.Nonce == nonce {
			n++
		}
	}
	return n > 1
}

func (c *cluster) state() string {
	var b strings.Builder
	for _, n := range c.names {
		p := c.nodes[n]
		switch {
		case p == nil || p.machine == nil:
			fmt.Fprintf(&b, "%s dead\n", n)
		default:
			in := p.machine.InForce()
			fmt.Fprintf(&b, "%s version=%d preset=%s fresh=%v\n", n, in.Version, in.Preset.Name, p.machine.Fresh(c.now))
		}
	}
	return b.String()
}
