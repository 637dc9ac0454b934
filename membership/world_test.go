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

// world runs several members over a network in memory, with a hand-moved clock. Adoption is
// a stand-in for the journal's seal: the first to ask has the log.
type world struct {
	cfg     Config
	now     time.Time
	nodes   map[string]*node
	names   []string
	events  []event
	ordinal uint64
	cuts    map[string]bool
	outage  bool
	vms     map[string]platform.VMState
	taken   map[structs.LogID]structs.LogID
	started map[structs.LogID]Member
	// wrong counts the adoptions of logs whose holder lived and was cut off from nobody.
	wrong int
	// attempts counts the adoptions asked for, by log.
	attempts map[structs.LogID]int
	packets  int
	bytes    int
}

type event struct {
	at      time.Time
	ordinal uint64
	run     func()
}

type node struct {
	name    string
	member  Member
	machine *Machine
	wake    time.Time
	dead    bool
	paused  bool
	// offline says that the platform is out of reach for this node alone.
	offline bool
	learned bool
	faults  []string
	inbox   []Message
	log     []string
	gates   map[structs.VMID]bool
	cut     bool
}

func newWorld(cfg Config) *world {
	return &world{
		cfg: cfg, now: time.Unix(0, 0), nodes: map[string]*node{}, cuts: map[string]bool{}, vms: map[string]platform.VMState{},
		taken: map[structs.LogID]structs.LogID{}, started: map[structs.LogID]Member{}, attempts: map[structs.LogID]int{},
	}
}

// schedule keeps the events sorted, the next one last.
func (w *world) schedule(after time.Duration, run func()) {
	w.ordinal++
	e := event{w.now.Add(after), w.ordinal, run}
	at, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(b.ordinal, a.ordinal))
	})
	w.events = slices.Insert(w.events, at, e)
}

// start starts a node "name" with the log "name-incarnation" in the domain.
func (w *world) start(name, domain string, incarnation uint64, seeds []string) *node {
	cfg := w.cfg
	cfg.Seeds = seeds
	cfg.Self = Member{
		Node: structs.NodeID(name), Log: structs.LogID(fmt.Sprintf("%s-%d", name, incarnation)), VM: structs.VMID("vm-" + name),
		Domain: structs.FailureDomain(domain), Address: name, Incarnation: incarnation, Ready: true,
	}
	n := &node{name: name, member: cfg.Self, machine: New(cfg), gates: map[structs.VMID]bool{}}
	if w.nodes[name] == nil {
		w.names = append(w.names, name)
		slices.Sort(w.names)
	}
	w.nodes[name] = n
	w.vms["vm-"+name] = platform.VMLive
	w.started[cfg.Self.Log] = cfg.Self
	w.deliver(n, Tick{})
	w.poll(n)
	return n
}

// poll has a node read the platform's list once a second.
func (w *world) poll(n *node) {
	if w.nodes[n.name] != n || n.dead {
		return
	}
	if !w.outage && !n.offline && !n.paused {
		var vms []VM
		for _, id := range sortedKeys(w.vms) {
			vms = append(vms, VM{ID: structs.VMID(id), State: w.vms[id]})
		}
		w.deliver(n, VMsListed{VMs: vms})
		if !n.learned {
			n.learned = true
			w.deliver(n, LogsListed{w.open()})
		}
	}
	w.schedule(time.Second, func() { w.poll(n) })
}

// open returns the holders of the logs not taken over, as the platform's table gives them.
func (w *world) open() []Member {
	var members []Member
	for _, log := range sortedKeys(w.started) {
		if _, taken := w.taken[log]; !taken {
			members = append(members, w.started[log])
		}
	}
	return members
}

func (w *world) deliver(n *node, msg Message) {
	if n.dead {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, msg)
		return
	}
	for _, e := range n.machine.Step(w.now, msg) {
		switch e := e.(type) {
		case WakeAt:
			n.wake = e.At
		case Send:
			w.send(n, e)
		case AttemptTakeover:
			w.adopt(n, e)
		case IsolationChanged:
			n.cut = e.Isolated
			w.note(n, fmt.Sprintf("isolated %v", e.Isolated))
		case Superseded:
			w.note(n, fmt.Sprintf("superseded by %s", e.Successor))
		case GateChanged:
			n.gates[e.VM] = e.Closed
			w.note(n, fmt.Sprintf("gate of %s closed %v", e.VM, e.Closed))
		case ReportEvent:
			w.note(n, strings.TrimRight(fmt.Sprintf("%s %s%s", e.Event, e.Log, e.VM), " "))
		}
	}
}

func (w *world) note(n *node, text string) {
	n.log = append(n.log, fmt.Sprintf("%5.2fs %s", w.now.Sub(time.Unix(0, 0)).Seconds(), text))
}

// send carries a packet over the network, in its encoded form.
func (w *world) send(from *node, s Send) {
	b := s.Packet.Encode()
	w.packets++
	w.bytes += len(b)
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
		w.schedule(d, func() {
			to := w.nodes[s.Address]
			if to == nil || w.isCut(from, to) {
				return
			}
			p, err := DecodePacket(b)
			if err != nil {
				panic(err)
			}
			w.deliver(to, Received{p})
		})
	}
}

// isCut says whether the network between two nodes is cut, node by node or domain by domain.
func (w *world) isCut(a, b *node) bool {
	for _, x := range []string{a.name, string(a.member.Domain)} {
		for _, y := range []string{b.name, string(b.member.Domain)} {
			if w.cuts[x+" "+y] || w.cuts[y+" "+x] {
				return true
			}
		}
	}
	return w.cuts[a.name] || w.cuts[b.name]
}

// adopt takes a log over after a while, unless the platform is out of reach.
func (w *world) adopt(n *node, a AttemptTakeover) {
	w.note(n, fmt.Sprintf("adopt %s: %s", a.Log, a.Reason))
	w.attempts[a.Log]++
	w.schedule(100*time.Millisecond, func() {
		if w.outage || n.offline || n.dead {
			return
		}
		if _, done := w.taken[a.Log]; !done {
			w.taken[a.Log] = n.member.Log
			w.countWrong(a.Log)
		}
		w.deliver(n, TakenOver{Log: a.Log, Successor: w.taken[a.Log]})
	})
}

func (w *world) countWrong(log structs.LogID) {
	for _, h := range w.nodes {
		if h.member.Log == log && !h.dead && !h.paused && len(w.cuts) == 0 {
			w.wrong++
		}
	}
}

// advance moves the clock, running what falls due on the way.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for {
		due := event{at: end}
		if last := len(w.events) - 1; last >= 0 && !w.events[last].at.After(end) {
			due = w.events[last]
		}
		waker := w.waker(due.at)
		switch {
		case waker != nil:
			w.now = latest(w.now, waker.wake)
			waker.wake = time.Time{}
			w.deliver(waker, Tick{})
		case due.run != nil:
			w.now = latest(w.now, due.at)
			w.events = w.events[:len(w.events)-1]
			due.run()
		default:
			w.now = end
			return
		}
	}
}

// waker returns the node that wakes first before the time, if any.
func (w *world) waker(before time.Time) *node {
	var first *node
	for _, name := range w.names {
		n := w.nodes[name]
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

func (w *world) resume(n *node) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, msg := range inbox {
		w.deliver(n, msg)
	}
	w.deliver(n, Tick{})
}
