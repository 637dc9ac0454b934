package gateway

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
)

const (
	// leavingRetention is how long an upstream that said that it leaves gets no calls. It outlasts an
	// outage of the table, after which its row may still show it as ready.
	leavingRetention = time.Hour
	// maxLeaving bounds the number of such upstreams; the oldest is dropped first.
	maxLeaving = 4096
	// leavingRepeats is the number of digests that carry that an upstream leaves, since a datagram may
	// be lost.
	leavingRepeats = 3
)

// leavingUpstreams holds the incarnations of upstreams that said in an answer that they leave. It does
// not depend on the table: what an upstream says of itself holds until its process has ended. It is safe
// for concurrent use.
type leavingUpstreams struct {
	mu sync.Mutex
	// since maps incarnations to when this entry learned of it; order holds them, the oldest first.
	since map[uint64]time.Time
	order []uint64
	// repeats is the number of digests that are still to carry an incarnation.
	repeats map[uint64]int
}

func newLeavingUpstreams() *leavingUpstreams {
	return &leavingUpstreams{since: map[uint64]time.Time{}, repeats: map[uint64]int{}}
}

// add records that an incarnation leaves. It returns false if that is known.
func (l *leavingUpstreams) add(now time.Time, incarnation uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.since[incarnation]; known {
		return false
	}
	for len(l.order) > 0 && (len(l.order) >= maxLeaving || now.Sub(l.since[l.order[0]]) > leavingRetention) {
		delete(l.since, l.order[0])
		delete(l.repeats, l.order[0])
		l.order = l.order[1:]
	}
	l.since[incarnation] = now
	l.order = append(l.order, incarnation)
	return true
}

// has reports whether an incarnation leaves.
func (l *leavingUpstreams) has(incarnation uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.since[incarnation]
	return known
}

// announce has the next digests carry that an incarnation leaves.
func (l *leavingUpstreams) announce(incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeats[incarnation] = leavingRepeats
}

// takeAnnounced calls f for the incarnations that the next digest is to carry, until it returns false.
func (l *leavingUpstreams) takeAnnounced(f func(incarnation uint64) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for incarnation, repeats := range l.repeats {
		if !f(incarnation) {
			return
		}
		if l.repeats[incarnation] = repeats - 1; repeats <= 1 {
			delete(l.repeats, incarnation)
		}
	}
}

// join registers that upstreams leave with the digests.
func (l *leavingUpstreams) join(g *Gateway) {
	g.mesh.AddField(mesh.Field{
		Kind: 'e',
		Append: func(b []byte, room int) []byte {
			end := len(b) + room
			l.takeAnnounced(func(incarnation uint64) bool {
				if len(b)+maxDigestItem > end {
					return false
				}
				b = binary.AppendUvarint(append(b, 'e'), incarnation)
				return true
			})
			return b
		},
		Apply: func(from string, r *mesh.Reader) {
			if incarnation := r.Uvarint(); !r.Malformed() {
				g.upstreamLeaves(incarnation, from, false)
			}
		},
	})
}

// upstreamLeaves stops sending calls to an upstream that said that it leaves. from says who told. own is
// set if it was an answer to this entry, which then tells the others.
func (g *Gateway) upstreamLeaves(incarnation uint64, from string, own bool) {
	if !g.leaving.add(time.Now(), incarnation) {
		return
	}
	if own {
		g.leaving.announce(incarnation)
	}
	g.mu.Lock()
	f := g.fleet.Load()
	g.storeFleet(f.registry)
	g.mu.Unlock()
	g.metrics.upstreamsLeaving.Inc(1)
	g.env.Requests.Warn("upstream_leaving").Str("upstream", f.byIncarnation[incarnation]).
		Str("incarnation", contentName(incarnation)).Str("from", from).End()
}
