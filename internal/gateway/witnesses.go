package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	"github.com/buckthornroute/buckthornroute/ledger"
)

// The witnesses of a program are the entries that rank first for it. Each claim is known to a
// majority of them until the program's row shows it; see docs/design/budget.md.

// Values of an answer to callGrantsFor. Builds before answered 0, so that they don't count.
const (
	witnessIncomplete uint64 = iota
	witnessComplete
)

// isWitness reports whether this entry may acknowledge claims.
func (o *budgetPeers) isWitness() bool { return o.synchronised.Load() && !o.g.draining.Load() }

// witnesses returns the witnesses of a program among the entries that sent a digest or were listed
// within recentOwnerWindow. nil stands for this entry.
func (o *budgetPeers) witnesses(program string) []*mesh.Peer {
	now := time.Now()
	return o.g.mesh.RankedAmong(program, ledger.Witnesses, func(p *mesh.Peer) bool {
		return now.Sub(p.LastDigest) < recentOwnerWindow || now.Sub(p.ListedAt) < recentOwnerWindow
	})
}

// askWitnesses implements budgetOwners.
func (o *budgetPeers) askWitnesses(ctx context.Context, program string, notice *grantNotice) (ledger.Grants, bool) {
	witnesses := o.witnesses(program)
	need, answered := ledger.Quorum(len(witnesses)), 0
	answers := make(chan ledger.Grants, len(witnesses))
	asked := 0
	for _, p := range witnesses {
		if p == nil {
			if o.isWitness() {
				answered++
			}
			continue
		}
		asked++
		go func() { answers <- o.askWitness(ctx, p, program, notice) }()
	}
	known := ledger.Grants{}
	for ; asked > 0 && answered < need; asked-- {
		if theirs := <-answers; theirs != nil {
			known.Merge(theirs)
			answered++
		}
	}
	return known, answered >= need
}

// askWitness sends a notice to one witness and asks it for the claims that it knows. It returns nil
// unless the witness acknowledges claims. The order matters: of two claimants, one finds the
// notice of the other.
func (o *budgetPeers) askWitness(ctx context.Context, p *mesh.Peer, program string, notice *grantNotice) ledger.Grants {
	if notice != nil {
		if _, err := o.g.mesh.Ask(ctx, p, peerCallTimeout, callGrantNotice, notice.appendTo(make([]byte, 0, 48))); err != nil {
			return nil
		}
	}
	v, err := o.g.mesh.Ask(ctx, p, peerCallTimeout, callGrantsFor, mesh.AppendText(nil, program))
	if err != nil || v.Value != witnessComplete {
		return nil
	}
	return decodeGrants(v.Text)
}

// announce implements budgetOwners. It sends the notice to the responsive witnesses and does not
// wait for them all to answer.
func (o *budgetPeers) announce(ctx context.Context, n grantNotice) {
	now := time.Now()
	for _, p := range o.witnesses(n.Program) {
		if p == nil || !o.g.mesh.Responsive(p, now) {
			continue
		}
		go func() {
			if _, err := o.g.mesh.Ask(ctx, p, peerCallTimeout, callGrantNotice, n.appendTo(make([]byte, 0, 48))); err != nil {
				o.g.metrics.noticesLost.Inc(1)
			}
		}()
	}
}

// claimsRequest asks for all claims that an entry knows.
type claimsRequest struct {
	// Node is the name of the entry that asks, which has started.
	Node string `json:"node"`
}

// claimsAnswer is the answer to a claimsRequest.
type claimsAnswer struct {
	// Synchronised reports whether the entry knows all claims that its node has acknowledged.
	Synchronised bool `json:"synchronised"`
	// HandedOverBy lists the processes, NODE/INCARNATION, that handed their claims over to the entry when they stopped.
	// HandedOver lists their nodes, for builds before.
	HandedOverBy []string      `json:"handed_over_by"`
	HandedOver   []string      `json:"handed_over"`
	Claims       []grantNotice `json:"claims"`
}

// claimsHandover tells an entry all claims that a node knows, which stops now.
type claimsHandover struct {
	Node string `json:"node"`
	// Incarnation is that of the process; builds before don't name it.
	Incarnation string        `json:"life"`
	Claims      []grantNotice `json:"claims"`
}

// joinClaims registers the messages about all claims of an entry.
func (o *budgetPeers) joinClaims() {
	m := o.g.mesh
	m.HandleMessage("/claims", func(w http.ResponseWriter, r *http.Request) {
		var q claimsRequest
		if m.ReadMessage(w, r, &q) {
			a := claimsAnswer{Synchronised: o.synchronised.Load()}
			a.HandedOver, a.HandedOverBy = o.takeHandedOver(q.Node)
			a.Claims = o.g.budgets.allGrants()
			m.WriteAnswer(w, r, a)
		}
	})
	m.HandleMessage("/claims/handover", func(w http.ResponseWriter, r *http.Request) {
		var h claimsHandover
		if !m.ReadMessage(w, r, &h) {
			return
		}
		for _, n := range h.Claims {
			o.g.budgets.applyNotice(n)
		}
		o.mu.Lock()
		o.handedOver[h.Node] = handover{incarnation: h.Incarnation, at: time.Now()}
		o.mu.Unlock()
		m.WriteAnswer(w, r, struct{}{})
	})
}

// handover tells which process of a node handed its claims over to this entry, and when.
type handover struct {
	incarnation string
	at          time.Time
}

// takeHandedOver returns the nodes whose claims were handed over to this entry within
// recentOwnerWindow, and their processes. It forgets the node that asks, which is to become a witness by its own means from
// now on.
func (o *budgetPeers) takeHandedOver(asks string) (nodes, processes []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for node, h := range o.handedOver {
		if time.Since(h.at) < recentOwnerWindow {
			nodes = append(nodes, node)
			processes = append(processes, node+"/"+h.incarnation)
		}
	}
	delete(o.handedOver, asks)
	return nodes, processes
}

// handOver sends the claims that this entry knows to the entries that rank first for its name, so that
// its successor can be a witness at once. This entry must acknowledge no more claims.
func (o *budgetPeers) handOver(ctx context.Context) {
	h := claimsHandover{Node: string(o.g.cfg.Node), Incarnation: o.g.incarnation, Claims: o.g.budgets.allGrants()}
	if !o.synchronised.Load() {
		return // its successor would miss the same claims
	}
	for _, p := range o.g.mesh.Ranked(h.Node, ledger.Witnesses+1) {
		if p == nil {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, claimsTimeout)
			defer cancel()
			err := o.g.mesh.Post(ctx, p.HTTPAddress, "/claims/handover", h, &struct{}{})
			o.g.env.Requests.Info("budget_claims_handed_over").Str("peer", p.Node).Int("claims", int64(len(h.Claims))).Err(err).End()
		}()
	}
}

// synchronise makes this entry a synchronised one. With FirstStart set there are no earlier claims.
// Otherwise it collects those of the other entries, or waits until programs that it has not
// heard of can't return.
func (o *budgetPeers) synchronise(ctx context.Context) {
	reason, rejoin := "first start", ledger.NewRejoin(string(o.g.cfg.Node))
	waitsFor := ""
	for !o.g.cfg.FirstStart && ctx.Err() == nil {
		sleep(ctx, synchroniseInterval)
		if o.g.mesh.CanOwn() {
			var missing string
			if reason, missing = o.collectClaims(ctx, rejoin); reason != "" {
				break
			}
			if missing != waitsFor {
				waitsFor = missing
				o.g.env.Requests.Info("budget_witness_waits").Str("for", missing).Int("after_ms", time.Since(o.g.started).Milliseconds()).End()
			}
		}
		if time.Since(o.g.started) > budgetIdle {
			reason = "uptime"
			break
		}
	}
	if ctx.Err() == nil {
		o.synchronised.Store(true)
		o.g.env.Requests.Info("budget_witness").Str("reason", reason).Int("after_ms", time.Since(o.g.started).Milliseconds()).End()
	}
}

// maxNamedPeers bounds the nodes that a log line names.
const maxNamedPeers = 8

// collectClaims asks the other entries that may know more claims than they have told. It returns why this entry
// is synchronised now, or else an empty string and what it waits for.
func (o *budgetPeers) collectClaims(ctx context.Context, rejoin *ledger.Rejoin) (reason, waitsFor string) {
	now := time.Now()
	listed := o.g.mesh.ListComplete()
	if listed { // before the peers are taken from the list
		rejoin.ListRead(o.g.mesh.Previous())
	}
	peers := o.g.mesh.Peers(func(p *mesh.Peer) bool {
		return now.Sub(p.LastDigest) < recentOwnerWindow || now.Sub(p.ListedAt) < recentOwnerWindow
	})
	all := make([]ledger.RejoinPeer, 0, len(peers))
	for _, p := range peers {
		known := ledger.RejoinPeer{Node: p.Node, Incarnation: p.Incarnation, Synchronised: p.Has(mesh.FlagSynchronised)}
		all = append(all, known)
		if !rejoin.ShouldAsk(known) || !o.g.mesh.Responsive(p, now) {
			continue
		}
		var a claimsAnswer
		ctx, cancel := context.WithTimeout(ctx, claimsTimeout)
		err := o.g.mesh.Post(ctx, p.HTTPAddress, "/claims", claimsRequest{Node: string(o.g.cfg.Node)}, &a)
		cancel()
		o.g.metrics.claimsAsked.Inc(1)
		if err != nil {
			o.g.env.Requests.Info("budget_claims_not_read").Str("peer", p.Node).Err(err).End()
			continue
		}
		for _, n := range a.Claims {
			o.g.budgets.applyNotice(n)
		}
		rejoin.Answered(known, a.Synchronised, a.HandedOverBy)
	}
	if reason = rejoin.Synchronised(all); reason != "" {
		return reason, ""
	}
	if !listed {
		return "", "the list of entries"
	}
	missing := rejoin.Missing(all)
	return "", strings.Join(missing[:min(len(missing), maxNamedPeers)], " ")
}
