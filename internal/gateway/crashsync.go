package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/buckthornroute/buckthornroute/quarantine"
)

const (
	// recordsInterval is the least time between two requests for the crash records of peers.
	recordsInterval = time.Second
	// firstRecordsInterval is recordsInterval until the first request of an entry that has started
	// has been answered.
	firstRecordsInterval = 50 * time.Millisecond
	// recordsTimeout is the timeout of a request for the crash records of one peer.
	recordsTimeout = 500 * time.Millisecond
)

// requestRecords asks for the crash records of a peer whose digest of them differs, unless others
// are being asked for.
func (m *mesh) requestRecords(peer string) {
	select {
	case m.recordsWanted <- peer:
	default:
	}
}

// synchroniseRecords fetches the crash records of one peer at the start, and later those of peers
// whose digests differ: one of the two has missed reports, because it was paused, cut off or not
// started yet. It returns when ctx ends.
func (m *mesh) synchroniseRecords(ctx context.Context) {
	fetched := m.g.cfg.FirstStart
	for ctx.Err() == nil && !fetched {
		for _, address := range m.recentPeerAddresses() {
			fetched = fetched || m.fetchRecords(ctx, address)
		}
		sleep(ctx, firstRecordsInterval)
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case name := <-m.recordsWanted:
			m.fetchRecords(ctx, m.peerNamed(name))
		}
		sleep(ctx, recordsInterval)
	}
}

// peerNamed returns the HTTP address of a peer; empty if it is not listed.
func (m *mesh) peerNamed(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[name]; p != nil {
		return p.HTTPAddress
	}
	return ""
}

// fetchRecords merges the crash records of the peer at the address with those of this entry. It
// reports whether the peer has answered.
func (m *mesh) fetchRecords(ctx context.Context, address string) bool {
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	var records []quarantine.CrashRecord
	if err := m.client.post(ctx, address, "/crashes", struct{}{}, &records); err != nil {
		m.g.env.Requests.Info("crash_records_not_fetched").Str("peer", address).Err(err).End()
		return false
	}
	m.g.importRecords(address, records)
	return true
}

// serveRecords answers a peer with the crash records of this entry.
func (m *mesh) serveRecords(w http.ResponseWriter, r *http.Request) {
	m.g.mu.Lock()
	records := m.g.crashes.Export(time.Now())
	m.g.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(records); err != nil {
		m.g.env.Requests.Info("mesh_answer_lost").Str("peer", r.RemoteAddr).Err(err).End()
	}
}

// importRecords merges crash records from a peer or the table with those of this entry.
func (g *Gateway) importRecords(from string, records []quarantine.CrashRecord) {
	now := time.Now()
	g.mu.Lock()
	changed := g.crashes.Import(now, records)
	g.mu.Unlock()
	g.updateQuarantineDigest()
	g.quarantine.markKnown()
	if changed > 0 {
		g.env.Requests.Warn("crash_records_merged").Str("from", from).Int("records", int64(len(records))).Int("changed", int64(changed)).End()
	}
}

// updateQuarantineDigest recomputes the digest that entries compare. g.mu must not be held.
func (g *Gateway) updateQuarantineDigest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mesh.quarantineDigest.Store(g.crashes.Digest(time.Now()))
}
