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
)

const (
	// entriesPrefix is the prefix of the table rows in which entries register.
	entriesPrefix = "entries//"
	// listInterval is the time between two reads of the list of entries. Digests announce new
	// entries in between.
	listInterval = 5 * time.Second
	// registerRetryDelay is the wait after a registration or a read of the list that failed.
	registerRetryDelay = 300 * time.Millisecond
	// peerTimeout is how long after its last digest a peer counts as live: 30 digests at
	// digestInterval, 10 among 75 entries. scaledTimeout extends it when digests are further apart.
	peerTimeout = 3 * time.Second
	// deadEntryRetention is how long the row of a peer without digests stays in the table.
	deadEntryRetention = 2 * time.Minute
)

// peer is another entry. Its encoded fields are the row with which it registers: its name,
// its failure domain, its addresses, and the incarnation of its process.
//
// By the age of its last digest a peer is live (up to peerTimeout), responsive, which is
// stricter (up to responsiveTimeout), or dead (from deadEntryRetention). scaledTimeout extends the
// first two limits when digests are far apart.
type peer struct {
	Node   string `json:"node"`
	Domain string `json:"domain"`
	// HTTPAddress is its address for messages, UDPAddress for digests and calls.
	HTTPAddress string `json:"mesh"`
	UDPAddress  string `json:"digests"`
	Incarnation string `json:"life"`

	// lastDigest is when its last digest arrived; zero if none has.
	lastDigest time.Time
	// listedAt is when this entry added it to its list.
	listedAt time.Time
	// tableReachable reports whether it reaches the platform's table directly, not through a peer.
	tableReachable bool
	// canOwnBudgets reports whether it may own the budgets of programs.
	canOwnBudgets bool
	// grantsSends reports whether it may grant the sends to limited upstreams.
	grantsSends bool
	// synchronised reports whether it knows the grants that it has to know: it has received those
	// that its peers knew when it started, or all entries started for the first time. A grant is
	// the number of tokens of a program's budget that an incarnation of an entry may hand out to
	// turns.
	synchronised bool
	// leaving reports whether it is shutting down. A leaving peer whose digests have stopped grants
	// nothing more.
	leaving bool
	// udpAddr is UDPAddress, parsed.
	udpAddr netip.AddrPort
	// seq is the sequence number of the newest digest of its incarnation.
	seq uint64
}

// mesh holds this entry's list of the other entries, its peers, and exchanges digests, calls
// and messages with them. A digest is the periodic datagram by which an entry reports its state
// and its calls to its peers. Calls between entries are datagrams too; messages are HTTP requests.
type mesh struct {
	g          *Gateway
	packetConn net.PacketConn
	client     *meshClient
	calls      *peerCalls
	// registered reports whether this entry's row has been written to the table.
	registered atomic.Bool
	// synchronised is peer.synchronised for this entry.
	synchronised atomic.Bool

	// interval is the time in nanoseconds between two digests of each entry.
	interval atomic.Int64

	// quarantineDigest is the digest of the requests that this entry refuses.
	quarantineDigest atomic.Uint64
	// urgent receives a value when a crash report must not wait for the next digest.
	urgent chan struct{}
	// recordsWanted receives the names of peers whose quarantineDigest differs.
	recordsWanted chan string

	mu    sync.Mutex
	peers map[string]*peer
	// lastPeerChange is when this entry started or last added another entry or
	// incarnation to its list.
	lastPeerChange time.Time
	// seq is the sequence number of the last digest sent.
	seq uint64
	// rounds is the number of digests sent to all entries.
	rounds uint64
	// newlyCached are the prompt parts that upstreams have cached in calls of this entry since
	// the last digest.
	newlyCached []cachedPrompt
	// crashReports are the crash reports that the next digests carry.
	crashReports []queuedReport
}

func newMesh(g *Gateway) *mesh {
	m := &mesh{g: g, peers: map[string]*peer{}, client: newMeshClient(), lastPeerChange: time.Now(), recordsWanted: make(chan string, 1), urgent: make(chan struct{}, 1)}
	m.calls = newPeerCalls(m)
	return m
}

// size returns the number of live entries, including this one.
func (m *mesh) size() int {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, p := range m.peers {
		if m.isLive(p, now) {
			n++
		}
	}
	return n
}

// isLive reports whether the peer's last digest is younger than scaledTimeout(peerTimeout), or the
// peer was added too recently for one to be expected.
func (m *mesh) isLive(p *peer, now time.Time) bool {
	return now.Sub(p.lastDigest) < m.scaledTimeout(peerTimeout) || now.Sub(p.listedAt) < m.scaledTimeout(peerTimeout)
}

// tableThroughPeer implements tablePeers. It returns the table as accessed through a live peer
// that reaches it: one of this failure domain if there is any, and of these the one with the
// latest digest. The function returned marks that peer as unable to reach the table.
func (m *mesh) tableThroughPeer() (platformapi.Watcher, func()) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *peer
	for _, p := range m.peers {
		if !p.tableReachable || now.Sub(p.lastDigest) > m.scaledTimeout(peerTimeout) {
			continue
		}
		if best == nil || m.preferred(p, best) {
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

// preferred reports whether a is a better way to the table than b: entries of this failure
// domain come first, then the later digest.
func (m *mesh) preferred(a, b *peer) bool {
	own := string(m.g.cfg.FailureDomain)
	if (a.Domain == own) != (b.Domain == own) {
		return a.Domain == own
	}
	return a.lastDigest.After(b.lastDigest)
}

// run registers this entry, fetches the grants that its peers know, keeps the list of peers up
// to date and sends them digests, until ctx ends.
func (m *mesh) run(ctx context.Context) {
	go m.sendDigests(ctx)
	go m.synchronise(ctx)
	go m.synchroniseRecords(ctx)
	defer m.client.close()
	for ctx.Err() == nil {
		if !m.registered.Load() {
			m.registered.Store(m.register(ctx) == nil)
		}
		if !m.registered.Load() || m.refreshPeers(ctx) != nil {
			sleep(ctx, registerRetryDelay)
			continue
		}
		sleep(ctx, listInterval)
	}
}

// selfPeer returns this entry as its peers see it.
func (m *mesh) selfPeer() peer {
	cfg := m.g.cfg
	return peer{Node: string(cfg.Node), Domain: string(cfg.FailureDomain), HTTPAddress: cfg.ListenMesh, UDPAddress: cfg.ListenDigests, Incarnation: m.g.incarnation}
}

// register writes this entry's row to the table.
func (m *mesh) register(ctx context.Context) error {
	value, err := json.Marshal(m.selfPeer())
	if err != nil {
		return errors.Wrap(err, "encode entry")
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return m.g.commits.apply(ctx, nil, []platformapi.Write{{Key: entriesPrefix + string(m.g.cfg.Node), Value: value}})
}

// refreshPeers adds the registered entries to the list and removes dead peers from the list and
// from the table.
func (m *mesh) refreshPeers(ctx context.Context) error {
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
		m.addPeer(p)
	}
	m.removeDeadPeers(ctx)
	return nil
}

// addPeer adds a peer to the list unless it is there already. An entry under a known name
// replaces the earlier incarnation. This entry itself, and a peer without a name or a valid UDP
// address, are ignored.
func (m *mesh) addPeer(p peer) {
	address, err := netip.ParseAddrPort(p.UDPAddress)
	if err != nil || p.Node == "" || p.Node == string(m.g.cfg.Node) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.peers[p.Node]; old != nil && old.Incarnation == p.Incarnation {
		return
	}
	p.udpAddr, p.listedAt = address, time.Now()
	m.lastPeerChange = p.listedAt
	m.peers[p.Node] = &p
	m.g.env.Requests.Info("entry_listed").Str("peer", p.Node).Str("domain", p.Domain).Str("life", p.Incarnation).End()
}

// removeDeadPeers removes dead peers from the list, and their rows from the table.
func (m *mesh) removeDeadPeers(ctx context.Context) {
	now := time.Now()
	var gone []platformapi.Write
	m.mu.Lock()
	for name, p := range m.peers {
		if now.Sub(p.lastDigest) > deadEntryRetention && now.Sub(p.listedAt) > deadEntryRetention {
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
