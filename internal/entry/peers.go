package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/internal/ring"
	"github.com/buckthornroute/buckthornroute/membership"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
)

// peers is the driver of the membership machine. The machine tracks the other entries,
// detects logs whose owners are gone, and distributes the admission gates of VMs.
type peers struct {
	entry *entry
	inbox *ring.Ring[membership.Message]

	isolated atomic.Bool
	view     atomic.Pointer[memberView]

	mu      sync.Mutex
	machine *membership.Machine
}

// memberView is a snapshot of all known members.
type memberView struct {
	// all holds the members in the order of their logs, this process included.
	all   []membership.View
	byLog map[structs.LogID]membership.View
	// byNode holds the latest incarnation of each node.
	byNode map[structs.NodeID]membership.View
}

// peersInboxSize bounds the messages that wait for the membership machine. Packets that
// find it full are dropped; the sender repeats them.
const peersInboxSize = 1024

// initPeers creates the driver of the membership machine.
func (e *entry) initPeers() {
	p := &peers{
		entry: e,
		inbox: ring.New[membership.Message](peersInboxSize),
		machine: membership.New(membership.Config{
			Self: membership.Member{
				Node:        e.cfg.Node,
				Log:         e.log,
				VM:          e.cfg.VM,
				Domain:      e.cfg.FailureDomain,
				Address:     e.cfg.AdvertisePeer,
				Incarnation: e.started,
			},
			Seeds:             e.cfg.Peers,
			HeartbeatInterval: e.cfg.Membership.Heartbeat.Std(),
			SuspicionTimeout:  e.cfg.Membership.Suspicion.Std(),
			IsolationTimeout:  e.cfg.PresetSpread.CutOffAfter.Std(),
		}),
	}
	p.refresh()
	e.peers = p
}

// run passes messages and ticks to the machine until ctx ends.
func (p *peers) run(ctx context.Context) error {
	wake := time.Now()
	for ctx.Err() == nil {
		msg := p.next(ctx, wake)
		wake = p.carryOut(p.step(msg), wake)
		p.refresh()
	}
	return nil
}

// next returns the next message, or a Tick at the time wake.
func (p *peers) next(ctx context.Context, wake time.Time) membership.Message {
	ctx, cancel := context.WithDeadline(ctx, wake)
	defer cancel()
	msg, err := p.inbox.Pop(ctx)
	if err != nil {
		return membership.Tick{}
	}
	return msg
}

func (p *peers) step(msg membership.Message) []membership.Effect {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Step(time.Now(), msg)
}

// carryOut carries out the effects of the machine and returns when to wake it next, which
// stays wake unless an effect changes it.
func (p *peers) carryOut(effects []membership.Effect, wake time.Time) time.Time {
	for _, effect := range effects {
		switch e := effect.(type) {
		case membership.Send:
			p.entry.sender.send(e.Address, &peerpb.Envelope{
				Machine: machineMembership,
				Kind:    kindPacket,
				Body:    e.Packet.Encode(),
			})
		case membership.AttemptTakeover:
			publish(p.entry.bus, topicOrphaned, orphaned{Log: e.Log, Reason: string(e.Reason)})
		case membership.IsolationChanged:
			p.isolated.Store(e.Isolated)
		case membership.GateChanged:
			publish(p.entry.bus, topicGate, gateChange{VM: e.VM, Closed: e.Closed})
		case membership.Superseded:
			publish(p.entry.bus, topicSuperseded, superseded{Successor: e.Successor})
		case membership.ReportEvent:
			p.logEvent(e)
		case membership.WakeAt:
			wake = e.At
		}
	}
	return wake
}

// eventOf maps the machine's events to the events of the log catalogue.
var eventOf = map[membership.Event]eventlog.Event{
	membership.EventJoined:       eventlog.PeerJoined,
	membership.EventSuspected:    eventlog.PeerSuspected,
	membership.EventUnresponsive: eventlog.PeerConfirmedSilent,
	membership.EventRecovered:    eventlog.PeerRecovered,
	membership.EventRestarted:    eventlog.PeerRestarted,
	membership.EventGone:         eventlog.PeerGone,
	membership.EventVMLeaving:    eventlog.VMLeaving,
	membership.EventVMGone:       eventlog.VMGone,
	membership.EventListStale:    eventlog.VMListStale,
}

func (p *peers) logEvent(e membership.ReportEvent) {
	p.entry.env.Log.Emit(eventOf[e.Event], eventlog.Fields{
		Step:   "membership",
		Peer:   string(e.Node),
		Detail: cmp.Or(string(e.Log), string(e.VM)),
	})
}

// refresh stores a new view of the members.
func (p *peers) refresh() {
	p.mu.Lock()
	all := p.machine.Members()
	p.mu.Unlock()
	v := &memberView{
		all:    all,
		byLog:  make(map[structs.LogID]membership.View, len(all)),
		byNode: make(map[structs.NodeID]membership.View, len(all)),
	}
	for _, m := range all {
		v.byLog[m.Log] = m
		if other, ok := v.byNode[m.Node]; !ok || other.Incarnation < m.Incarnation {
			v.byNode[m.Node] = m
		}
	}
	p.view.Store(v)
}

// kindPacket is the kind of the membership machine's messages.
const kindPacket = "packet"

// receive queues a packet from another entry. It drops the packet if the inbox is full.
func (p *peers) receive(env *peerpb.Envelope) error {
	packet, err := membership.DecodePacket(env.GetBody())
	if err != nil {
		return err
	}
	p.inbox.TryPush(membership.Received{Packet: packet})
	return nil
}

// notify passes a message to the machine. It blocks while the inbox is full.
func (p *peers) notify(ctx context.Context, msg membership.Message) {
	_ = p.inbox.Push(ctx, msg) // fails only when the process ends
}

// syncInterval is the time between two checks for changes that syncState passes on.
const syncInterval = 100 * time.Millisecond

// syncState passes changes of readiness and of the preset version to the membership
// machine, and changes of the members to the presets and the committer, until ctx ends.
func (p *peers) syncState(ctx context.Context) error {
	var ready bool
	var version uint64
	var known []structs.NodeID
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		e := p.entry
		r, v := e.notReady() == "", e.presets.inForce.Load().Version
		if r != ready || v != version {
			ready, version = r, v
			p.notify(ctx, membership.SelfChanged{Ready: r, Preset: v})
		}
		if nodes := p.nodes(); !slices.Equal(nodes, known) {
			known = nodes
			e.presets.setMembers(nodes)
			_ = e.committer.SetNodes(ctx, len(nodes)) // fails only when the process ends
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// nodes returns the names of all known entries, this one included, sorted.
func (p *peers) nodes() []structs.NodeID {
	var out []structs.NodeID
	for node := range p.view.Load().byNode {
		out = append(out, node)
	}
	slices.Sort(out)
	return out
}

// others returns the names of the other entries, sorted.
func (p *peers) others() []structs.NodeID {
	own := p.entry.cfg.Node
	return slices.DeleteFunc(p.nodes(), func(n structs.NodeID) bool { return n == own })
}

// Address implements home.Members.
func (p *peers) Address(log structs.LogID) (string, bool) {
	m, ok := p.view.Load().byLog[log]
	return m.Address, ok && m.Address != ""
}

// maxRelays bounds the entries that are offered as relays for one call.
const maxRelays = 3

// Relays implements home.Members. It returns first the members that are known to receive
// messages from the log's owner, then others that are not suspected.
func (p *peers) Relays(log structs.LogID) []string {
	p.mu.Lock()
	out := p.machine.Relays(log)
	p.mu.Unlock()
	for _, m := range p.ranked(string(log)) {
		if len(out) >= maxRelays {
			break
		}
		if m.Log != log && !m.Suspected && !slices.Contains(out, m.Address) {
			out = append(out, m.Address)
		}
	}
	return out[:min(len(out), maxRelays)]
}

// PeerAddresses implements home.Members.
func (p *peers) PeerAddresses() []string {
	var out []string
	for _, m := range p.ranked("") {
		out = append(out, m.Address)
	}
	return out
}

// OwnerLogForKey implements home.Members. It returns the log of the entry with the greatest
// rendezvous weight among those that take new work, or the log of this entry if there is none.
func (p *peers) OwnerLogForKey(organisation structs.OrganisationID, key string) structs.LogID {
	best, maxWeight := p.entry.log, uint64(0)
	for _, m := range p.view.Load().all {
		if m.Suspected || m.State != membership.Up || !m.Ready {
			continue
		}
		weight := routing.Rendezvous(string(organisation)+"\x00"+key, string(m.Node))
		if weight > maxWeight {
			best, maxWeight = m.Log, weight
		}
	}
	return best
}

// ranked returns the other members that are up, in descending order of their rendezvous
// weight for the key.
func (p *peers) ranked(key string) []membership.View {
	var out []membership.View
	for _, m := range p.view.Load().all {
		if m.Log != p.entry.log && m.State == membership.Up && m.Address != "" {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b membership.View) int {
		return cmp.Or(
			cmp.Compare(routing.Rendezvous(key, string(b.Node)), routing.Rendezvous(key, string(a.Node))),
			cmp.Compare(a.Log, b.Log))
	})
	return out
}

// takeoverCandidates returns the addresses of the entries that may take over the log, in
// order of preference.
func (p *peers) takeoverCandidates(log structs.LogID) []string {
	var out []string
	for _, m := range p.ranked(string(log)) {
		if !m.Suspected && m.Ready {
			out = append(out, m.Address)
		}
	}
	return out
}

// sendTo sends a machine's message to an entry. It drops a message to an unknown entry.
func (e *entry) sendTo(to structs.NodeID, env *peerpb.Envelope) {
	if m, ok := e.peers.view.Load().byNode[to]; ok && m.Address != "" {
		e.sender.send(m.Address, env)
	}
}

// gate returns the known state of a VM's admission gate.
func (p *peers) gate(vm structs.VMID) membership.Gate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Gate(vm)
}
