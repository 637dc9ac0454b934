package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// cluster runs several members over an in-memory network with a simulated clock. Takeovers are
// simulated: the first attempt that reaches the platform gets the log.
type cluster struct {
	cfg     Config
	now     time.Time
	nodes   map[string]*node
	names   []string
	events  []event
	ordinal uint64
	// partitions holds the pairs "X Y" of nodes or domains that cannot reach each other, and
	// the single nodes that can reach no other.
	partitions map[string]bool
	outage     bool
	vms        map[string]platform.VMState
	// takenOver maps each log taken over to its successor, and started each log to its owner.
	takenOver map[structs.LogID]structs.LogID
	started   map[structs.LogID]Member
	// liveTakeovers counts the takeovers of logs whose owner was running while the network had
	// no partition at all.
	liveTakeovers int
	// attempts counts the requested takeovers by log.
	attempts map[structs.LogID]int
	packets  int
	bytes    int
}

// event is a function to run at a time; ordinal orders events of the same time.
type event struct {
	at      time.Time
	ordinal uint64
	run     func()
}

// node is one member of the cluster.
type node struct {
	name    string
	member  Member
	machine *Machine
	wake    time.Time
	dead    bool
	paused  bool
	// offline reports whether the platform is unreachable for this node alone.
	offline    bool
	logsListed bool
	// faults apply to the next packets sent.
	faults []string
	// inbox holds the messages that arrive during a pause.
	inbox []Message
	// output holds the lines not yet printed by a script.
	output   []string
	gates    map[structs.VMID]bool
	isolated bool
}

func newCluster(cfg Config) *cluster {
	return &cluster{
		cfg: cfg, now: time.Unix(0, 0), nodes: map[string]*node{}, partitions: map[string]bool{}, vms: map[string]platform.VMState{},
		takenOver: map[structs.LogID]structs.LogID{}, started: map[structs.LogID]Member{}, attempts: map[structs.LogID]int{},
	}
}

// schedule inserts an event; events are sorted with the next one last.
func (c *cluster) schedule(after time.Duration, run func()) {
	c.ordinal++
	e := event{c.now.Add(after), c.ordinal, run}
	at, _ := slices.BinarySearchFunc(c.events, e, func(a, b event) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(b.ordinal, a.ordinal))
	})
	c.events = slices.Insert(c.events, at, e)
}

// start starts a node with the given name and the log NAME-INCARNATION in the domain.
func (c *cluster) start(name, domain string, incarnation uint64, seeds []string) *node {
	cfg := c.cfg
	cfg.Seeds = seeds
	cfg.Self = Member{
		Node: structs.NodeID(name), Log: structs.LogID(fmt.Sprintf("%s-%d", name, incarnation)), VM: structs.VMID("vm-" + name),
		Domain: structs.FailureDomain(domain), Address: name, Incarnation: incarnation, Ready: true,
	}
	n := &node{name: name, member: cfg.Self, machine: New(cfg), gates: map[structs.VMID]bool{}}
	if c.nodes[name] == nil {
		c.names = append(c.names, name)
		slices.Sort(c.names)
	}
	c.nodes[name] = n
	c.vms["vm-"+name] = platform.VMLive
	c.started[cfg.Self.Log] = cfg.Self
	c.deliver(n, Tick{})
	c.poll(n)
	return n
}

// poll makes a node read the platform's VM list once a second, and the open logs once.
func (c *cluster) poll(n *node) {
	if c.nodes[n.name] != n || n.dead {
		return
	}
	if !c.outage && !n.offline && !n.paused {
		var vms []VM
		for _, id := range sortedKeys(c.vms) {
			vms = append(vms, VM{ID: structs.VMID(id), State: c.vms[id]})
		}
		c.deliver(n, VMsListed{VMs: vms})
		if !n.logsListed {
			n.logsListed = true
			c.deliver(n, LogsListed{c.openLogs()})
		}
	}
	c.schedule(time.Second, func() { c.poll(n) })
}

// openLogs returns the owners of the logs that have not been taken over, as the platform's
// table lists them.
func (c *cluster) openLogs() []Member {
	var members []Member
	for _, log := range sortedKeys(c.started) {
		if _, taken := c.takenOver[log]; !taken {
			members = append(members, c.started[log])
		}
	}
	return members
}

// deliver steps a node with the message and carries out the effects, or queues the message while
// the node is paused.
func (c *cluster) deliver(n *node, msg Message) {
	if n.dead {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, msg)
		return
	}
	for _, e := range n.machine.Step(c.now, msg) {
		switch e := e.(type) {
		case WakeAt:
			n.wake = e.At
		case Send:
			c.send(n, e)
		case AttemptTakeover:
			c.takeOver(n, e)
		case IsolationChanged:
			n.isolated = e.Isolated
			c.note(n, fmt.Sprintf("isolated %v", e.Isolated))
		case Superseded:
			c.note(n, fmt.Sprintf("superseded by %s", e.Successor))
		case GateChanged:
			n.gates[e.VM] = e.Closed
			c.note(n, fmt.Sprintf("gate of %s closed %v", e.VM, e.Closed))
		case ReportEvent:
			c.note(n, strings.TrimRight(fmt.Sprintf("%s %s%s", e.Event, e.Log, e.VM), " "))
		}
	}
}

// note adds a line with the time to the output of a node.
func (c *cluster) note(n *node, text string) {
	n.output = append(n.output, fmt.Sprintf("%5.2fs %s", c.now.Sub(time.Unix(0, 0)).Seconds(), text))
}

// send delivers a packet over the network in its encoded form, with the next fault of the
// sender applied.
func (c *cluster) send(from *node, s Send) {
	b := s.Packet.Encode()
	c.packets++
	c.bytes += len(b)
	fault := ""
	if len(from.faults) > 0 {
		fault, from.faults = from.faults[0], from.faults[1:]
	}
	delays := []time.Duration{time.Millisecond}
	switch fault {
	case "lose":
		delays = nil
	case "late":
		delays = []time.Duration{700 * time.Millisecond}
	case "reorder":
		delays = []time.Duration{50 * time.Millisecond}
	case "duplicate":
		delays = []time.Duration{time.Millisecond, 300 * time.Millisecond}
	}
	for _, d := range delays {
		c.schedule(d, func() {
			to := c.nodes[s.Address]
			if to == nil || c.partitioned(from, to) {
				return
			}
			p, err := DecodePacket(b)
			if err != nil {
				panic(err)
			}
			c.deliver(to, Received{p})
		})
	}
}

// partitioned reports whether the network between two nodes is partitioned, by node or by
// domain.
func (c *cluster) partitioned(a, b *node) bool {
	for _, x := range []string{a.name, string(a.member.Domain)} {
		for _, y := range []string{b.name, string(b.member.Domain)} {
			if c.partitions[x+" "+y] || c.partitions[y+" "+x] {
				return true
			}
		}
	}
	return c.partitions[a.name] || c.partitions[b.name]
}

// takeOver attempts a takeover that takes 100 ms and fails while the platform is unreachable.
func (c *cluster) takeOver(n *node, a AttemptTakeover) {
	c.note(n, fmt.Sprintf("take over %s: %s", a.Log, a.Reason))
	c.attempts[a.Log]++
	c.schedule(100*time.Millisecond, func() {
		if c.outage || n.offline || n.dead {
			return
		}
		if _, done := c.takenOver[a.Log]; !done {
			c.takenOver[a.Log] = n.member.Log
			c.countLiveTakeovers(a.Log)
		}
		c.deliver(n, TakenOver{Log: a.Log, Successor: c.takenOver[a.Log]})
	})
}

// countLiveTakeovers updates liveTakeovers when a log is taken over.
func (c *cluster) countLiveTakeovers(log structs.LogID) {
	for _, n := range c.nodes {
		if n.member.Log == log && !n.dead && !n.paused && len(c.partitions) == 0 {
			c.liveTakeovers++
		}
	}
}

// advance moves the clock and runs what becomes due in the meantime.
func (c *cluster) advance(d time.Duration) {
	end := c.now.Add(d)
	for {
		due := event{at: end}
		if last := len(c.events) - 1; last >= 0 && !c.events[last].at.After(end) {
			due = c.events[last]
		}
		waker := c.nextWake(due.at)
		switch {
		case waker != nil:
			c.now = latest(c.now, waker.wake)
			waker.wake = time.Time{}
			c.deliver(waker, Tick{})
		case due.run != nil:
			c.now = latest(c.now, due.at)
			c.events = c.events[:len(c.events)-1]
			due.run()
		default:
			c.now = end
			return
		}
	}
}

// nextWake returns the node with the earliest wake time before the given time, if any.
func (c *cluster) nextWake(before time.Time) *node {
	var first *node
	for _, name := range c.names {
		n := c.nodes[name]
		if !n.dead && !n.paused && !n.wake.IsZero() && n.wake.Before(before) && (first == nil || n.wake.Before(first.wake)) {
			first = n
		}
	}
	return first
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// resume ends the pause of a node and delivers the messages that arrived during it.
func (c *cluster) resume(n *node) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, msg := range inbox {
		c.deliver(n, msg)
	}
	c.deliver(n, Tick{})
}
