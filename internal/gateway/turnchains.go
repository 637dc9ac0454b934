package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/mesh"
	"github.com/buckthornroute/buckthornroute/turnlog"
)

// storedTurn is a turn as entries send it to each other. Value is what turnlog.Turn.Encode returns.
type storedTurn struct {
	ID    string `json:"id"`
	Value []byte `json:"value"`
}

// chainCall asks for the chain of a turn: the turn, followed by its ancestors. Turns is set in the
// answer: the turn itself, then those of its ancestors that the entry has in memory, up to
// maxChainBytes. It is empty if the entry does not have the turn.
type chainCall struct {
	ID    string       `json:"id"`
	Turns []storedTurn `json:"turns,omitempty"`
}

// maxChainBytes is the maximum total size in bytes of the encoded turns in one answer. It leaves
// room for their encoding in JSON. The asking entry reads missing turns from the table.
const maxChainBytes = mesh.MaxMessageSize / 2

// turnChains asks other entries for turns that they have in memory, and answers them.
type turnChains struct{ g *Gateway }

var _ turnPeers = turnChains{}

func (c turnChains) join() { c.g.mesh.HandleMessage("/chain", c.serve) }

// serve answers with the chain of a turn as far as this entry has it in memory.
func (c turnChains) serve(w http.ResponseWriter, r *http.Request) {
	var call chainCall
	if !c.g.mesh.ReadMessage(w, r, &call) {
		return
	}
	size := 0
	for _, turn := range c.g.turns.cachedChain(call.ID) {
		value := turn.Encode()
		if size += len(value); size > maxChainBytes {
			break
		}
		call.Turns = append(call.Turns, storedTurn{turn.ID, value})
	}
	c.g.mesh.WriteAnswer(w, r, call)
}

const (
	// turnPeerTimeout is the timeout of the search for a turn in the memory of other entries.
	turnPeerTimeout = 120 * time.Millisecond
	// turnPeerConcurrency is the maximum number of entries that are asked at the same time.
	turnPeerConcurrency = 12
)

// chainFromPeer implements turnPeers. It returns the chain of the turn from the peer with the
// incarnation, if that peer is responsive.
func (c turnChains) chainFromPeer(ctx context.Context, incarnation, id string) []*turnlog.Turn {
	p := c.g.mesh.ByIncarnation(incarnation)
	if p == nil || p.HTTPAddress == "" || !c.g.mesh.Responsive(p, time.Now()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, turnPeerTimeout)
	defer cancel()
	return c.fetchChain(ctx, p.HTTPAddress, id)
}

// chainFromAnyPeer implements turnPeers. It returns the first chain found. Any peer may have it,
// because a caller's turns may arrive at different entries. The search takes at most
// turnPeerTimeout; the cancellation of ctx does not end it.
func (c turnChains) chainFromAnyPeer(ctx context.Context, id string) []*turnlog.Turn {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), turnPeerTimeout)
	defer cancel()
	peers := c.g.mesh.LivePeers()
	found := make(chan []*turnlog.Turn, len(peers))
	slots := make(chan struct{}, turnPeerConcurrency)
	for _, p := range peers {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			found <- c.fetchChain(ctx, p.HTTPAddress, id)
		}()
	}
	for range peers {
		if chain := <-found; len(chain) > 0 {
			return chain
		}
	}
	return nil
}

// fetchChain asks one entry for the chain of a turn. It returns nil if the entry does not answer,
// does not have the turn, or sends a malformed one.
func (c turnChains) fetchChain(ctx context.Context, address, id string) []*turnlog.Turn {
	var answer chainCall
	if err := c.g.mesh.Post(ctx, address, "/chain", chainCall{ID: id}, &answer); err != nil {
		c.g.metrics.chainQueriesFailed.Inc(1)
		return nil
	}
	chain := make([]*turnlog.Turn, 0, len(answer.Turns))
	for _, stored := range answer.Turns {
		turn, err := turnlog.Decode(stored.ID, stored.Value)
		if err != nil {
			c.g.env.Requests.Warn("turn_malformed").Str("turn", stored.ID).Str("peer", address).Err(err).End()
			return nil
		}
		chain = append(chain, turn)
	}
	if len(chain) > 0 && chain[0].ID != id {
		return nil
	}
	return chain
}
