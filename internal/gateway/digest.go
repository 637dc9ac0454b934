package gateway

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/tablerelay"
	"github.com/buckthornroute/buckthornroute/routing"
)

const (
	// maxDigestItem is the maximum size of one item of a digest in bytes.
	maxDigestItem = 24
	// maxQueuedItems is the maximum number of cached prompts that are queued for the next digest.
	maxQueuedItems = 64
	// maxSpeedPercent and maxSpeedCalls bound what another entry may report of an upstream's calls.
	maxSpeedPercent = 10_000
	maxSpeedCalls   = 1 << 10
)

// newMesh returns the mesh of a gateway. Nothing is registered with it yet.
func newMesh(g *Gateway) *mesh.Mesh {
	cfg := g.cfg
	return mesh.New(mesh.Config{
		Self: mesh.Peer{
			Node: string(cfg.Node), Domain: string(cfg.FailureDomain), HTTPAddress: cfg.ListenMesh, UDPAddress: cfg.ListenDigests,
			Incarnation: g.incarnation,
		},
		FirstStart: cfg.FirstStart, Leaving: g.draining.Load,
		Snapshot: func(ctx context.Context, prefix string) ([]platformapi.Row, int64, error) {
			return g.table.Snapshot(ctx, prefix)
		},
		Write: func(ctx context.Context, writes []platformapi.Write) error {
			return g.commits.apply(ctx, nil, writes)
		},
		OnTimeoutChange: func(responsive time.Duration) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.balancer.SetPeerTTL(responsive)
		},
		Events: g.env.Events, Requests: g.env.Requests, PacketErrors: g.metrics.digestErrors,
	})
}

// joinMesh registers what the parts of the gateway tell and ask other entries. Digests have items of these
// kinds, in this order, which is part of the wire format; new ones come last:
//
//	'l' upstream, calls in flight at it from this entry
//	'f' upstream, failed and successful calls since they were last reported
//	'c' upstream, ID and tokens of a prompt part that it has cached
//	'x' hashes of the request and of the upstream of a crash report
//	'o' the same of a crash report that is withdrawn
//	't' hash of a request that is tried once more, and the number of the trial; 0 from earlier builds
//	'q' hash of all refused requests
//	'm' hash of an upstream's incarnation, its limit, and how old that statement is
//	'e' hash of the incarnation of an upstream that leaves
//	's' upstream, mean time of calls out of the ordinary in percent of the predicted one, their number
//	'p' route, observations of its programs; see appendCosts
//	'd' version of the operator's document
//
// Items that do not fit are dropped; only the counts of calls in flight are in the next digest
// again.
func (g *Gateway) joinMesh() {
	g.mesh.AddFlag(mesh.FlagTableReachable, g.table.DirectlyReachable)
	tablerelay.Serve(g.mesh, g.table.Direct())
	g.addCallFields()
	g.cached.join(g)
	g.reports.join()
	g.limits.join()
	g.leaving.join(g)
	g.addSpeedField()
	g.origins.join()
	g.budgetPeers.join()
	g.chains.join()
	g.addCostField()
	g.documents.join()
}

// TableThroughPeer implements tablerelay.Peers.
func (g *Gateway) TableThroughPeer() (platformapi.Watcher, func()) {
	p, markUnreachable := g.mesh.TableRelay()
	if p == nil {
		return nil, nil
	}
	return tablerelay.Through(g.mesh, p.HTTPAddress), markUnreachable
}

// addCallFields registers the calls in flight at each upstream and the outcomes of calls. The peer's
// counts of calls in flight are replaced by those of its digest at once. Items of unknown upstreams are
// ignored.
func (g *Gateway) addCallFields() {
	g.mesh.AddField(mesh.Field{
		Kind: 'l', Frequent: true,
		Append: func(b []byte, room int) []byte {
			end := len(b) + room
			g.mu.Lock()
			defer g.mu.Unlock()
			g.balancer.EachInFlight(func(id string, calls int) {
				if len(b)+maxDigestItem < end {
					b = binary.AppendUvarint(appendUpstream(append(b, 'l'), id), uint64(calls))
				}
			})
			return b
		},
		Begin: func(from string) (item func(*mesh.Reader), done func()) {
			type count struct {
				id    string
				calls int
			}
			var counts []count
			names := g.fleet.Load().byHash
			item = func(r *mesh.Reader) {
				id, calls := names[r.Uint32()], int(r.Uvarint())
				if !r.Malformed() && id != "" {
					counts = append(counts, count{id, calls})
				}
			}
			done = func() {
				now := time.Now()
				g.mu.Lock()
				defer g.mu.Unlock()
				g.balancer.ClearPeerCalls(from)
				for _, c := range counts {
					g.balancer.SetPeerCalls(now, from, c.id, c.calls)
				}
			}
			return item, done
		},
	})
	g.mesh.AddField(mesh.Field{
		Kind: 'f',
		Append: func(b []byte, room int) []byte {
			end := len(b) + room
			g.mu.Lock()
			defer g.mu.Unlock()
			g.balancer.TakeUnreportedOutcomes(time.Now(), func(id string, failed, succeeded int) {
				if len(b)+maxDigestItem < end {
					b = appendUpstream(append(b, 'f'), id)
					b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(failed)), uint64(succeeded))
				}
			})
			return b
		},
		Apply: func(_ string, r *mesh.Reader) {
			id, failed, succeeded := g.readUpstream(r), int(r.Uvarint()), int(r.Uvarint())
			if r.Malformed() || id == "" {
				return
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			g.balancer.AddPeerOutcomes(time.Now(), id, failed, succeeded)
		},
	})
}

// addSpeedField registers what calls took at upstreams that are slow or may be. After each digest it logs
// which have turned slow or normal again.
func (g *Gateway) addSpeedField() {
	g.mesh.AddField(mesh.Field{
		Kind: 's',
		Append: func(b []byte, room int) []byte {
			end := len(b) + room
			g.mu.Lock()
			g.balancer.TakeUnreportedSpeeds(func(id string, ratio float64, calls int) bool {
				if len(b)+maxDigestItem > end {
					return false
				}
				b = appendUpstream(append(b, 's'), id)
				b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(100*ratio)), uint64(calls))
				return true
			})
			g.mu.Unlock()
			g.reportSpeedChanges(time.Now())
			return b
		},
		Apply: func(_ string, r *mesh.Reader) {
			id, percent, calls := g.readUpstream(r), r.Uvarint(), r.Uvarint()
			if r.Malformed() || id == "" {
				return
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			g.balancer.AddPeerSpeeds(time.Now(), id, float64(min(percent, maxSpeedPercent))/100, int(min(calls, maxSpeedCalls)))
		},
	})
}

// cachedPrompts holds the prompt parts that upstreams have cached in calls of this entry since the last
// digest, so that the other entries know. It is safe for concurrent use.
type cachedPrompts struct {
	mu    sync.Mutex
	queue []cachedPrompt
}

// cachedPrompt is the first part of a prompt that an upstream has cached. Many programs share that part.
type cachedPrompt struct {
	upstream string
	part     routing.PromptPart
}

// add queues the first part of a prompt for the next digest.
func (c *cachedPrompts) add(upstream string, prompt []routing.PromptPart) {
	if len(prompt) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) < maxQueuedItems {
		c.queue = append(c.queue, cachedPrompt{upstream, prompt[0]})
	}
}

func (c *cachedPrompts) join(g *Gateway) {
	g.mesh.AddField(mesh.Field{
		Kind: 'c',
		Append: func(b []byte, room int) []byte {
			end := len(b) + room
			c.mu.Lock()
			queued := c.queue
			c.queue = nil
			c.mu.Unlock()
			for _, p := range queued {
				if len(b)+maxDigestItem < end {
					b = appendUpstream(append(b, 'c'), p.upstream)
					b = binary.AppendUvarint(binary.AppendUvarint(b, p.part.ID), uint64(p.part.Tokens))
				}
			}
			return b
		},
		Apply: func(_ string, r *mesh.Reader) {
			id, part, tokens := g.readUpstream(r), r.Uvarint(), int(r.Uvarint())
			if r.Malformed() || id == "" {
				return
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			g.balancer.AddPeerCached(id, []routing.PromptPart{{ID: part, Tokens: tokens}})
		},
	})
}

// appendUpstream appends the short hash that stands for an upstream.
func appendUpstream(b []byte, id string) []byte {
	return binary.BigEndian.AppendUint32(b, uint32(routing.HashID(id)))
}

// readUpstream reads the short hash of an upstream and returns its ID; empty if it is not known.
func (g *Gateway) readUpstream(r *mesh.Reader) string { return g.fleet.Load().byHash[r.Uint32()] }
