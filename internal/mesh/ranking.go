package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/routing"
)

// ShareWindow is how long after its last digest an entry that has fallen silent may still grant
// parts of a limit to others: most partitions end within it.
const ShareWindow = 15 * time.Second

// CanOwn reports whether this entry is eligible as an owner: it is listed in the table and is
// not shutting down.
func (m *Mesh) CanOwn() bool { return m.registered.Load() && !m.cfg.Leaving() }

// Owner returns the entry that owns a key: by rendezvous hashing over the responsive entries
// with FlagOwner. It returns nil when this entry does, or when no entry is eligible.
func (m *Mesh) Owner(key string) *Peer {
	p, _ := m.OwnerAmong(FlagOwner, key, time.Now())
	return p
}

// OwnerAmong is Owner among the entries with another flag, which this entry has while CanOwn
// holds. eligible reports whether it does.
func (m *Mesh) OwnerAmong(flag Flags, key string, now time.Time) (owner *Peer, eligible bool) {
	weight := uint64(0)
	if eligible = m.CanOwn(); eligible {
		weight = routing.Rendezvous(key, m.cfg.Self.Node)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *Peer
	for name, p := range m.peers {
		if !p.Has(flag) || !m.Responsive(p, now) {
			continue
		}
		if w := routing.Rendezvous(key, name); w > weight {
			best, weight = p, w
		}
	}
	return best.copied(), eligible
}

// SilentBefore reports whether an entry with the flag that ranks before this one for the key
// has fallen silent within ShareWindow. That one may still act as the key's owner.
func (m *Mesh) SilentBefore(flag Flags, key string, now time.Time) bool {
	own := routing.Rendezvous(key, m.cfg.Self.Node)
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		silent := p.Has(flag) && !p.Has(FlagLeaving) && !m.Responsive(p, now)
		if silent && now.Sub(p.LastDigest) < ShareWindow && routing.Rendezvous(key, name) > own {
			return true
		}
	}
	return false
}

// Share returns the share of a limit over all entries that this entry may grant as the owner of
// the key among the entries with the flag: the responsive ones divided by those heard from
// within ShareWindow, itself included in both. It is 0 if this entry is not the owner. In a
// partition the shares of all sides add up to at most 1, until ShareWindow has passed. Entries
// that are leaving don't count. Those listed within ShareWindow from which no digest has arrived
// count as silent, since an entry that starts during a partition has heard from none of the
// other side.
func (m *Mesh) Share(flag Flags, key string, now time.Time) float64 {
	if p, eligible := m.OwnerAmong(flag, key, now); p != nil || !eligible {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	responsive, all := 1, 1
	for _, p := range m.peers {
		listed := p.LastDigest.IsZero() && now.Sub(p.ListedAt) < ShareWindow
		heard := p.Has(flag) && !p.Has(FlagLeaving) && now.Sub(p.LastDigest) < ShareWindow
		if !listed && !heard {
			continue
		}
		all++
		if m.Responsive(p, now) {
			responsive++
		}
	}
	return float64(responsive) / float64(all)
}

// Ranked returns at most n entries in descending order of their rendezvous weight for the key, of
// the responsive ones and this entry. nil stands for this entry.
func (m *Mesh) Ranked(key string, n int) []*Peer {
	now := time.Now()
	return m.RankedAmong(key, n, func(p *Peer) bool { return m.Responsive(p, now) })
}

// RankedAmong is Ranked of this entry, which is always a candidate, and the peers that are
// included. include is called with the list locked and must not call the mesh, except for
// Responsive.
func (m *Mesh) RankedAmong(key string, n int, include func(*Peer) bool) []*Peer {
	type candidate struct {
		p      *Peer
		weight uint64
	}
	all := []candidate{{nil, routing.Rendezvous(key, m.cfg.Self.Node)}}
	m.mu.Lock()
	for name, p := range m.peers {
		if include(p) {
			all = append(all, candidate{p, routing.Rendezvous(key, name)})
		}
	}
	m.mu.Unlock()
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*Peer, 0, n)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range all[:min(n, len(all))] {
		out = append(out, c.p.copied())
	}
	return out
}
