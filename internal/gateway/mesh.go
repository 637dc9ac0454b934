package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/quarantine"
)

const (
	// entriesPrefix is where entries register in the table.
	entriesPrefix = "entries//"
	// registerInterval is the time between two readings of the list of entries; digests
	// tell of new entries meanwhile.
	registerInterval = 5 * time.Second
	// registerRetry is the wait after a registration that failed.
	registerRetry = 300 * time.Millisecond
	// entrySilence is how long after its last digest an entry counts as gone: some ten
	// digests.
	entrySilence = 3 * time.Second
	// entryForgotten is how long a silent entry's row stays in the table.
	entryForgotten = 2 * time.Minute
)

// peer is another entry.
type peer struct {
	Node        string `json:"node"`
	Domain      string `json:"domain"`
	HTTPAddress string `json:"mesh"`
	Digests     string `json:"digests"`
	Life        string `json:"life"`

	// lastDigest is when its last digest came; zero when none has.
	lastDigest time.Time
	// listedAt is when the table first listedAt it here.
	listedAt time.Time
	// tableReachable says that it reaches the table.
	tableReachable bool
	// canOwnBudgets says that it counts budgets.
	canOwnBudgets bool
	// synchronised says that it has heard of all grants that it should have.
	synchronised bool
	// leaving says that it shuts down: once silent it grants nothing any more.
	leaving bool
	address netip.AddrPort
	// seq is the newest digest of its life.
	seq uint64
}

// mesh is what this entry knows of the others, and its ways to them.
type mesh struct {
	g          *Gateway
	packetConn net.PacketConn
	client     *meshClient
	calls      *calls
	// registered says that this entry is in the list of entries.
	registered atomic.Bool
	// synchronised says that this entry has heard of all grants that it should have heard of.
	synchronised atomic.Bool

	// interval is the time between two digests of each entry.
	interval atomic.Int64

	mu    sync.Mutex
	peers map[string]*peer
	// changed is when this entry started or last heard of another life.
	changed time.Time
	seq     uint64
	// fresh are the prompt parts that upstreams have newly read through this entry.
	fresh []cachedParts
	// strikes are crashes to tell of.
	strikes []quarantine.CrashReport
}

func newMesh(g *Gateway) *mesh {
	m := &mesh{g: g, peers: map[string]*peer{}, client: newMeshClient(), changed: time.Now()}
	m.calls = newCalls(m)
	return m
}

// size returns the number of entries that live, this one too.
func (m *mesh) size() int {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, p := range m.peers {
		if m.lives(p, now) {
			n++
		}
	}
	return n
}

// lives reports whether a peer was heard lately, or was listed too lately to be heard.
func (m *mesh) lives(p *peer, now time.Time) bool {
	return now.Sub(p.lastDigest) < m.maxSilence(entrySilence) || now.Sub(p.listedAt) < m.maxSilence(entrySilence)
}

// tableThroughPeer implements tablePeers: the entry heard last among those that reach the
// table, those of this failure domain first.
func (m *mesh) tableThroughPeer() (platformapi.Watcher, func()) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *peer
	for _, p := range m.peers {
		if !p.tableReachable || now.Sub(p.lastDigest) > m.maxSilence(entrySilence) {
			continue
		}
		if best == nil || m.nearer(p, best) {
			best = p
		}
	}
	if best == nil {
		return nil, nil
	}
	return &remoteTable{client: m.client, address: best.HTTPAddress}, func() {
		m.mu.Lock()
		best.tableReachable = false
		m.mu.Unlock()
	}
}

func (m *mesh) nearer(a, b *peer) bool {
	own := string(m.g.cfg.FailureDomain)
	if (a.Domain == own) != (b.Domain == own) {
		return a.Domain == own
	}
	return a.lastDigest.After(b.lastDigest)
}

// run registers this entry, follows the list of the others and tells them of its load
// until ctx ends.
func (m *mesh) run(ctx context.Context) {
	go m.sendDigests(ctx)
	go m.synchronise(ctx)
	defer m.client.close()
	for ctx.Err() == nil {
		if !m.registered.Load() {
			m.registered.Store(m.register(ctx) == nil)
		}
		if !m.registered.Load() || m.list(ctx) != nil {
			sleep(ctx, registerRetry)
			continue
		}
		sleep(ctx, registerInterval)
	}
}

func (m *mesh) self() peer {
	cfg := m.g.cfg
	return peer{Node: string(cfg.Node), Domain: string(cfg.FailureDomain), HTTPAddress: cfg.ListenMesh, Digests: cfg.ListenDigests, Life: m.g.incarnation}
}

func (m *mesh) register(ctx context.Context) error {
	value, err := json.Marshal(m.self())
	if err != nil {
		return errors.Wrap(err, "encode entry")
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return m.g.commits.apply(ctx, nil, []platformapi.Write{{Key: entriesPrefix + string(m.g.cfg.Node), Value: value}})
}

// list reads the registered entries and drops the rows of those silent for long.
func (m *mesh) list(ctx context.Context) error {
	rows, _, err := m.g.table.Snapshot(ctx, entriesPrefix)
	if err != nil {
		return err
	}
	for _, r := range rows {
		var p peer
		if err := json.Unmarshal(r.Value, &p); err != nil {
			m.g.env.Events.Emit(eventlog.GatewayRowMalformed, eventlog.Fields{Step: "entries", Detail: r.Key, Count: r.Version, Err: err})
			continue
		}
		m.add(p)
	}
	m.dropForgotten(ctx)
	return nil
}

// add records an entry; one under a known name replaces an earlier life.
func (m *mesh) add(p peer) {
	address, err := netip.ParseAddrPort(p.Digests)
	if err != nil || p.Node == "" || p.Node == string(m.g.cfg.Node) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.peers[p.Node]; old != nil && old.Life == p.Life {
		return
	}
	p.address, p.listedAt = address, time.Now()
	m.changed = p.listedAt
	m.peers[p.Node] = &p
	m.g.env.Requests.Info("entry_listed").Str("peer", p.Node).Str("domain", p.Domain).Str("life", p.Life).End()
}

func (m *mesh) dropForgotten(ctx context.Context) {
	now := time.Now()
	var gone []platformapi.Write
	m.mu.Lock()
	for name, p := range m.peers {
		if now.Sub(p.lastDigest) > entryForgotten && now.Sub(p.listedAt) > entryForgotten {
			delete(m.peers, name)
			gone = append(gone, platformapi.Write{Key: entriesPrefix + name, Delete: true})
		}
	}
	m.mu.Unlock()
	if len(gone) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if err := m.g.commits.apply(ctx, nil, gone); err != nil {
		m.g.env.Requests.Info("entry_rows_kept").Int("count", int64(len(gone))).Err(err).End()
	}
}
