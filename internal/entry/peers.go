package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/internal/query"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
)

// member is what is known of one entry.
type member struct {
	Node    structs.NodeID        `json:"node"`
	Log     structs.LogID         `json:"log"`
	Address string                `json:"address"`
	VM      structs.VMID          `json:"vm"`
	Domain  structs.FailureDomain `json:"domain"`
	// Preset is the version in force there, Ready whether it takes new work.
	Preset uint64 `json:"preset"`
	Ready  bool   `json:"ready"`

	heard time.Time
}

// peers knows the other entries.
type peers struct {
	entry *entry

	mu      sync.Mutex
	members map[structs.NodeID]member
}

func (e *entry) newPeers() {
	e.peers = &peers{entry: e, members: map[structs.NodeID]member{}}
}

const kindHello = "hello"

// run greets the other entries at each heartbeat until ctx ends.
func (p *peers) run(ctx context.Context) error {
	ticker := time.NewTicker(p.entry.cfg.Membership.Heartbeat.Std())
	defer ticker.Stop()
	for {
		p.greet()
		p.entry.presets.members(p.nodes())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *peers) own() member {
	e := p.entry
	return member{
		Node:    e.cfg.Node,
		Log:     e.log,
		Address: e.cfg.AdvertisePeer,
		VM:      e.cfg.VM,
		Domain:  e.cfg.FailureDomain,
		Preset:  e.presets.inForce.Load().Version,
		Ready:   e.notReady() == "",
	}
}

func (p *peers) greet() {
	env, err := envelope(machineMembership, kindHello, p.own())
	if err != nil {
		return
	}
	for _, address := range p.entry.cfg.Peers {
		p.entry.mail.send(address, env)
	}
}

// receive takes a message of another entry's membership.
func (p *peers) receive(from structs.NodeID, env *peerpb.Envelope) error {
	var m member
	if err := json.Unmarshal(env.GetBody(), &m); err != nil {
		return errors.Wrapf(err, "hello of %q", from)
	}
	m.heard = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members[m.Node] = m
	return nil
}

// silent is the number of heartbeats after which an entry counts as absent.
const silent = 10

// live returns the entries heard lately, this one among them, in node order.
func (p *peers) live() []member {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []member{p.own()}
	bound := silent * p.entry.cfg.Membership.Heartbeat.Std()
	for _, m := range p.members {
		if time.Since(m.heard) < bound {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b member) int {
		if a.Node < b.Node {
			return -1
		}
		return 1
	})
	return out
}

func (p *peers) nodes() []structs.NodeID {
	var out []structs.NodeID
	for _, m := range p.live() {
		out = append(out, m.Node)
	}
	return out
}

// Address implements home.Members.
func (p *peers) Address(log structs.LogID) (string, bool) {
	for _, m := range p.live() {
		if m.Log == log {
			return m.Address, true
		}
	}
	return "", false
}

// Relays implements home.Members.
func (p *peers) Relays(log structs.LogID) []string {
	var out []string
	for _, m := range p.live() {
		if m.Log != log && m.Node != p.entry.cfg.Node {
			out = append(out, m.Address)
		}
	}
	return out
}

// Place implements home.Members.
func (p *peers) Place(organisation structs.OrganisationID, key string) structs.LogID {
	best, most := p.entry.log, uint64(0)
	for _, m := range p.live() {
		weight := routing.Rendezvous(string(organisation)+"\x00"+key, string(m.Node))
		if weight >= most {
			best, most = m.Log, weight
		}
	}
	return best
}

// successors returns the addresses of the entries that may take over a log, the
// first choice first.
func (p *peers) successors(log structs.LogID) []string {
	live := p.live()
	slices.SortFunc(live, func(a, b member) int {
		if routing.Rendezvous(string(log), string(a.Node)) > routing.Rendezvous(string(log), string(b.Node)) {
			return -1
		}
		return 1
	})
	var out []string
	for _, m := range live {
		if m.Log != log {
			out = append(out, m.Address)
		}
	}
	return out
}

// sendTo sends a machine's message to an entry; one to an unknown entry is lost.
func (e *entry) sendTo(to structs.NodeID, env *peerpb.Envelope) {
	e.peers.mu.Lock()
	m, ok := e.peers.members[to]
	e.peers.mu.Unlock()
	if ok {
		e.mail.send(m.Address, env)
	}
}

// Nodes implements query.System.
func (o operators) Nodes(context.Context) ([]query.Node, error) {
	var out []query.Node
	for _, m := range o.peers.live() {
		out = append(out, query.Node{
			Node:          m.Node,
			Kind:          "entry",
			VM:            m.VM,
			Domain:        m.Domain,
			State:         "live",
			PresetVersion: m.Preset,
			Ready:         m.Ready,
		})
	}
	return out, nil
}

// Status implements query.System.
func (o operators) Status(context.Context) (query.Status, error) {
	inForce := o.presets.inForce.Load()
	upstreams, draining := o.router.counts(time.Now())
	journal := o.committer.Status()
	reason := o.notReady()
	return query.Status{
		Node:          o.cfg.Node,
		Log:           o.log,
		Ready:         reason == "",
		NotReady:      reason,
		Preset:        inForce.Preset.Name,
		PresetVersion: inForce.Version,
		Programs:      journal.Programs,
		Upstreams:     upstreams,
		Draining:      draining,
		PendingBytes:  journal.PendingBytes,
	}, nil
}
