package ledger

import "slices"

// Rejoin decides whom an entry that has started again asks for the claims that its node acknowledged before, and
// when it knows them all. It answers the restart of many entries at once: each peer is asked when it is first seen,
// and once more when it may tell all that its node acknowledged, so that the messages of an entry grow with the number of
// entries but not with the time that the others need.
//
// A claim is acknowledged by two nodes. All claims of this node are from before its start, and a node that is
// synchronised knows all claims that it has acknowledged, so one answer from it after this start is enough.
type Rejoin struct {
	node string
	// complete contains the nodes that answered while they were synchronised.
	complete map[string]bool
	// answered maps each node to its incarnation that answered last.
	answered map[string]string
	// handedOver contains the nodes whose claims an entry that answered had been given.
	handedOver map[string]bool
}

// RejoinPeer is another entry as its digests show it.
type RejoinPeer struct {
	Node, Incarnation string
	Synchronised      bool
}

// NewRejoin returns the state of an entry of the node that has asked nobody.
func NewRejoin(node string) *Rejoin {
	return &Rejoin{node: node, complete: map[string]bool{}, answered: map[string]string{}, handedOver: map[string]bool{}}
}

// ShouldAsk reports whether a peer may tell claims that it has not told yet.
func (r *Rejoin) ShouldAsk(p RejoinPeer) bool {
	if r.complete[p.Node] {
		return false
	}
	return p.Synchronised || r.answered[p.Node] != p.Incarnation
}

// Answered records the answer of a peer: whether it is synchronised, and which nodes have handed their claims over
// to it. The claims in the answer must be known before.
func (r *Rejoin) Answered(p RejoinPeer, synchronised bool, handedOver []string) {
	r.answered[p.Node] = p.Incarnation
	if synchronised {
		r.complete[p.Node] = true
	}
	for _, node := range handedOver {
		r.handedOver[node] = true
	}
}

// Synchronised returns why the entry knows all claims that its node has acknowledged, given all other entries that
// may know some; an empty string if it does not.
func (r *Rejoin) Synchronised(peers []RejoinPeer) string {
	if r.handedOver[r.node] {
		return "handed over"
	}
	unknown := func(p RejoinPeer) bool { return !r.complete[p.Node] && !r.handedOver[p.Node] }
	if len(peers) > 0 && !slices.ContainsFunc(peers, unknown) {
		return "all entries asked"
	}
	return ""
}
