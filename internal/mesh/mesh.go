// Package mesh implements what the entries of a deployment tell and ask each other: the list of
// the other entries and which of them are responsive, the choice of one entry for a key by
// rendezvous hashing, digests, questions, and HTTP messages.
//
// A digest is the periodic datagram by which an entry reports its state to the others. Its
// content consists of fields, which other packages register with AddField. A question and its
// answer are one datagram each; other packages register a kind of question with HandleQuestion.
// Messages are HTTP requests; other packages register their paths with HandleMessage. All
// registrations must precede Run, Receive and Handler.
package mesh

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/reqlog"
)

const (
	// EntriesPrefix is the prefix of the table rows in which entries register.
	EntriesPrefix = "entries//"
	// listInterval is the time between two reads of the list of entries. Digests announce new
	// entries in between.
	listInterval = 5 * time.Second
	// listTimeout bounds the read of the list and each write of the rows of entries.
	listTimeout = 2 * time.Second
	// registerRetryDelay is the wait after a registration or a read of the list that failed.
	registerRetryDelay = 300 * time.Millisecond
	// peerTimeout is how long after its last digest a peer counts as live: 30 digests at
	// digestInterval, 10 among 75 entries. scaledTimeout extends it when digests are further apart.
	peerTimeout = 3 * time.Second
	// deadEntryRetention is how long the row of a peer without digests stays in the table.
	deadEntryRetention = 2 * time.Minute
	// responsiveTimeout is the least time without a digest after which a peer no longer
	// counts as responsive. It is a few digest intervals, so that a crashed owner delays few
	// turns.
	responsiveTimeout = time.Second
	// maxMissedDigests is the number of digest intervals that a timeout for a peer's digests
	// lasts at least; see scaledTimeout. It takes effect with many entries, because the interval
	// grows with their number. With 2.5, one digest may be lost and the next be late.
	maxMissedDigests = 2.5
)

// Peer is another entry. Its encoded fields are the row with which it registers: its name,
// its failure domain, its addresses, and the incarnation of its process. The functions of Mesh
// return copies, which do not change.
//
// By the age of its last digest a peer is live (up to peerTimeout), responsive, which is
// stricter (up to responsiveTimeout), or dead (from deadEntryRetention). scaledTimeout extends the
// first two limits when digests are far apart.
type Peer struct {
	Node   string `json:"node"`
	Domain string `json:"domain"`
	// HTTPAddress is its address for messages, UDPAddress for digests and questions.
	HTTPAddress string `json:"mesh"`
	UDPAddress  string `json:"digests"`
	Incarnation string `json:"life"`

	// LastDigest is when its last digest arrived; zero if none has.
	LastDigest time.Time `json:"-"`
	// ListedAt is when this entry added it to its list.
	ListedAt time.Time `json:"-"`
	// Flags are those of its last digest.
	Flags Flags `json:"-"`

	// udpAddr is UDPAddress, parsed.
	udpAddr netip.AddrPort
	// seq is the sequence number of the newest digest of its incarnation.
	seq uint64
}

// Has reports whether all the flags are set.
func (p *Peer) Has(f Flags) bool { return p.Flags&f == f }

// Config holds the identity of this entry and what the mesh needs of the process.
type Config struct {
	// Self has the encoded fields of this entry.
	Self Peer
	// FirstStart is set if no entry has run before.
	FirstStart bool
	// Leaving reports whether this entry is shutting down.
	Leaving func() bool
	// Snapshot reads the rows with a prefix, Write writes rows of the platform's table.
	Snapshot func(ctx context.Context, prefix string) ([]platformapi.Row, int64, error)
	Write    func(ctx context.Context, writes []platformapi.Write) error
	// OnTimeoutChange is called with the time after which a silent peer no longer counts as
	// responsive, when that changes with the number of entries. It may be nil.
	OnTimeoutChange func(responsive time.Duration)
	Events          *eventlog.Logger
	Requests        *reqlog.Logger
	// PacketErrors counts packets that were not sent or were malformed.
	PacketErrors tally.Counter
}

// Mesh holds this entry's list of the other entries, its peers, and exchanges digests, questions
// and messages with them. It is safe for concurrent use.
type Mesh struct {
	cfg        Config
	packetConn net.PacketConn
	http       *http.Client
	questions  *questions
	// registered reports whether this entry's row has been written to the table.
	registered atomic.Bool
	// listComplete reports whether a read of all entries that began after that has succeeded.
	listComplete atomic.Bool
	// previous is the incarnation in this entry's row before it was written.
	previous atomic.Value
	// interval is the time in nanoseconds between two digests of each entry.
	interval atomic.Int64
	// urgent receives a value when the next digest is due at once.
	urgent chan struct{}

	// fields are the fields of digests in the order in which they are sent, byKind the same by
	// the kind of their items. packets, messages and flags hold the other registrations.
	fields   []*Field
	byKind   [256]*Field
	packets  [256]func(r *Reader)
	messages map[string]http.HandlerFunc
	flags    []flagSource

	mu    sync.Mutex
	peers map[string]*Peer
	// lastPeerChange is when this entry started or last added another entry or
	// incarnation to its list.
	lastPeerChange time.Time
	// seq is the sequence number of the last digest sent.
	seq uint64
	// rounds is the number of digests sent to all entries.
	rounds uint64
}

// New returns a mesh that knows no other entries.
func New(cfg Config) *Mesh {
	m := &Mesh{
		cfg: cfg, http: newClient(), urgent: make(chan struct{}, 1), messages: map[string]http.HandlerFunc{},
		peers: map[string]*Peer{}, lastPeerChange: time.Now(),
	}
	m.questions = newQuestions(m)
	return m
}

// SetConn sets the socket for datagrams. It must be called before Run and Receive.
func (m *Mesh) SetConn(c net.PacketConn) { m.packetConn = c }

// Close closes the socket for datagrams.
func (m *Mesh) Close() error { return m.packetConn.Close() }

// Self returns this entry as its peers see it.
func (m *Mesh) Self() Peer { return m.cfg.Self }

// Size returns the number of live entries, including this one.
func (m *Mesh) Size() int { return m.countLive(func(*Peer) bool { return true }) }

// nearSize returns the number of live entries of this entry's failure domain, including this one.
func (m *Mesh) nearSize() int {
	return m.countLive(func(p *Peer) bool { return p.Domain == m.cfg.Self.Domain })
}

// countLive returns one plus the number of live peers that are included.
func (m *Mesh) countLive(include func(*Peer) bool) int {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, p := range m.peers {
		if include(p) && m.isLive(p, now) {
			n++
		}
	}
	return n
}

// isLive reports whether the peer's last digest is younger than scaledTimeout(peerTimeout), or the
// peer was added too recently for one to be expected.
func (m *Mesh) isLive(p *Peer, now time.Time) bool {
	return now.Sub(p.LastDigest) < m.scaledTimeout(peerTimeout) || now.Sub(p.ListedAt) < m.scaledTimeout(peerTimeout)
}

// Responsive reports whether the last digest of a peer is recent enough to send it questions.
func (m *Mesh) Responsive(p *Peer, now time.Time) bool {
	return now.Sub(p.LastDigest) < m.scaledTimeout(responsiveTimeout)
}

// scaledTimeout returns minimum, or maxMissedDigests digest intervals if that is longer.
func (m *Mesh) scaledTimeout(minimum time.Duration) time.Duration {
	return max(minimum, time.Duration(maxMissedDigests*float64(m.interval.Load())))
}

// AnySilent reports whether a listed peer that is not leaving no longer counts as responsive.
func (m *Mesh) AnySilent(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if !p.Has(FlagLeaving) && !m.Responsive(p, now) {
			return true
		}
	}
	return false
}

// InMinority reports whether of the entries that sent a digest within the window and are not
// leaving, this one included, only half or fewer are responsive.
func (m *Mesh) InMinority(window time.Duration) bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	responsive, all := 1, 1
	for _, p := range m.peers {
		if p.Has(FlagLeaving) || now.Sub(p.LastDigest) >= window {
			continue
		}
		all++
		if m.Responsive(p, now) {
			responsive++
		}
	}
	return all > 1 && 2*responsive <= all
}

// Peers returns the peers that are included. include is called with the list locked and must not
// call the mesh, except for Responsive.
func (m *Mesh) Peers(include func(*Peer) bool) []*Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*Peer
	for _, p := range m.peers {
		if include(p) {
			out = append(out, p.copied())
		}
	}
	return out
}

// LivePeers returns the peers whose last digest is younger than scaledTimeout(peerTimeout).
func (m *Mesh) LivePeers() []*Peer {
	now := time.Now()
	return m.Peers(func(p *Peer) bool { return now.Sub(p.LastDigest) < m.scaledTimeout(peerTimeout) })
}

// Named returns the peer with the name; nil if it is not listed.
func (m *Mesh) Named(node string) *Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peers[node].copied()
}

// ByIncarnation returns the peer with the incarnation; nil if there is none.
func (m *Mesh) ByIncarnation(incarnation string) *Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.Incarnation == incarnation {
			return p.copied()
		}
	}
	return nil
}

func (p *Peer) copied() *Peer {
	if p == nil {
		return nil
	}
	out := *p
	return &out
}

// TableRelay returns a live peer that reaches the table: one of this failure domain if there is
// any, and of these the one with the latest digest; nil if there is none. The function returned
// marks that peer as unable to reach the table, until its next digest.
func (m *Mesh) TableRelay() (*Peer, func()) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *Peer
	for _, p := range m.peers {
		if !p.Has(FlagTableReachable) || now.Sub(p.LastDigest) > m.scaledTimeout(peerTimeout) {
			continue
		}
		if best == nil || m.preferred(p, best) {
			best = p
		}
	}
	if best == nil {
		return nil, nil
	}
	return best.copied(), func() {
		m.mu.Lock()
		best.Flags &^= FlagTableReachable
		m.mu.Unlock()
	}
}

// preferred reports whether a is a better way to the table than b: entries of this failure
// domain come first, then the later digest.
func (m *Mesh) preferred(a, b *Peer) bool {
	own := m.cfg.Self.Domain
	if (a.Domain == own) != (b.Domain == own) {
		return a.Domain == own
	}
	return a.LastDigest.After(b.LastDigest)
}

// Run registers this entry, keeps the list of peers up to date and sends them digests, until ctx
// ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.sendDigests(ctx)
	defer m.http.CloseIdleConnections()
	for ctx.Err() == nil {
		if !m.cfg.FirstStart && m.previous.Load() == nil && m.refreshPeers(ctx) != nil {
			sleep(ctx, registerRetryDelay)
			continue
		}
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

// register writes this entry's row to the table.
func (m *Mesh) register(ctx context.Context) error {
	value, err := json.Marshal(m.cfg.Self)
	if err != nil {
		return errors.Wrap(err, "encode entry")
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return m.cfg.Write(ctx, []platformapi.Write{{Key: EntriesPrefix + m.cfg.Self.Node, Value: value}})
}

// refreshPeers adds the registered entries to the list and removes dead peers from the list and
// from the table.
func (m *Mesh) refreshPeers(ctx context.Context) error {
	registered := m.registered.Load()
	rows, _, err := m.cfg.Snapshot(ctx, EntriesPrefix)
	if err != nil {
		return err
	}
	previous, unreadable := "", 0
	for _, r := range rows {
		var p Peer
		err := json.Unmarshal(r.Value, &p)
		switch {
		case err != nil:
		case p.Node == m.cfg.Self.Node:
			previous = p.Incarnation
		default:
			err = m.addPeer(p)
		}
		if err != nil {
			unreadable++
			m.cfg.Events.Emit(eventlog.GatewayRowMalformed, eventlog.Fields{Step: "entries", Detail: r.Key, Count: r.Version, Err: err})
		}
	}
	if !registered {
		m.previous.CompareAndSwap(nil, previous)
	} else if unreadable == 0 && m.listComplete.CompareAndSwap(false, true) {
		m.cfg.Requests.Info("entries_listed").Int("entries", int64(len(rows))).Str("previous", m.Previous()).End()
	}
	m.removeDeadPeers(ctx)
	return nil
}

// ListComplete reports whether this entry has read the whole list of entries since it wrote its own row. Before that it
// knows only the entries whose digests it has heard.
func (m *Mesh) ListComplete() bool { return m.listComplete.Load() }

// Previous returns the incarnation of the process that was registered under this entry's name before it; empty if there was none, or if
// this is the first start.
func (m *Mesh) Previous() string {
	previous, _ := m.previous.Load().(string)
	return previous
}

// addPeer adds a peer to the list unless it is there already. An entry under a known name
// replaces the earlier incarnation. This entry itself is ignored. It returns an error for a peer without a name or a valid UDP address.
func (m *Mesh) addPeer(p Peer) error {
	address, err := netip.ParseAddrPort(p.UDPAddress)
	switch {
	case err != nil:
		return errors.Wrapf(err, "address of entry %q", p.Node)
	case p.Node == "":
		return errors.Newf("the entry at %s has no name", p.UDPAddress)
	case p.Node == m.cfg.Self.Node:
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.peers[p.Node]; old != nil && old.Incarnation == p.Incarnation {
		return nil
	}
	p.udpAddr, p.ListedAt = address, time.Now()
	m.lastPeerChange = p.ListedAt
	m.peers[p.Node] = &p
	m.cfg.Requests.Info("entry_listed").Str("peer", p.Node).Str("domain", p.Domain).Str("life", p.Incarnation).End()
	return nil
}

// SetPeer lists a peer as given, with the times of its last digest and of its listing. Only tests
// need it: those of packages that use the mesh, and its own.
func (m *Mesh) SetPeer(p Peer) error {
	address, err := netip.ParseAddrPort(p.UDPAddress)
	if err != nil {
		return errors.Wrapf(err, "address of entry %q", p.Node)
	}
	p.udpAddr = address
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[p.Node] = &p
	return nil
}

// removeDeadPeers removes dead peers from the list, and their rows from the table.
func (m *Mesh) removeDeadPeers(ctx context.Context) {
	now := time.Now()
	var gone []platformapi.Write
	m.mu.Lock()
	for name, p := range m.peers {
		if now.Sub(p.LastDigest) > deadEntryRetention && now.Sub(p.ListedAt) > deadEntryRetention {
			delete(m.peers, name)
			gone = append(gone, platformapi.Write{Key: EntriesPrefix + name, Delete: true})
		}
	}
	m.mu.Unlock()
	if len(gone) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if err := m.cfg.Write(ctx, gone); err != nil {
		m.cfg.Requests.Info("entry_rows_kept").Int("count", int64(len(gone))).Err(err).End()
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
