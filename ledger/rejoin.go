package ledger

import "slices"

// Rejoin decides whom an entry that has started again asks for the claims that its node acknowledged before, and
// when it knows them all. It answers the restart of many entries at once: each peer is asked when it is first seen,
// and once more when it may tell all that its node acknowledged, so that the messages of an entry grow with the number of
// entries but not with the time that the others need.
//
// A claim is acknowledged by two nodes. All claims of this node are from before its start, and a node that is
// synchronised knows all claims that it has acknowledged, so one answer from it after this start is enough.
// Which nodes there are is read from the table: those that an entry has heard of are not all.
type Rejoin struct {
	node string
	// complete contains the nodes that answered while they were synchronised.
	complete map[string]bool
	// answered maps each node to its incarnation that answered last.
	answered map[string]string
	// handedOver contains the processes, NODE/INCARNATION, whose claims an entry that answered had been given.
	handedOver map[string]bool
	// listed is set once the whole list of entries has been read since this one registered; previous is the process
	// that was registered under its name before.
	listed   bool
	previous string
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

// ListRead records that the whole list of entries has been read since this one registered, and the incarnation that was
// registered under its name before, which is empty if none was.
func (r *Rejoin) ListRead(previous string) {
	r.listed = true
	if previous != "" {
		r.previous = r.node + "/" + previous
	}
}

// ShouldAsk reports whether a peer may tell claims that it has not told yet.
func (r *Rejoin) ShouldAsk(p RejoinPeer) bool {
	if r.complete[p.Node] {
		return false
	}
	return p.Synchronised || r.answered[p.Node] != p.Incarnation
}

// Answered records the answer of a peer: whether it is synchronised, and which processes, NODE/INCARNATION, have handed their claims
// over to it. The claims in the answer must be known before.
func (r *Rejoin) Answered(p RejoinPeer, synchronised bool, handedOver []string) {
	r.answered[p.Node] = p.Incarnation
	if synchronised {
		r.complete[p.Node] = true
	}
	for _, process := range handedOver {
		r.handedOver[process] = true
	}
}

// Missing returns, in order, the nodes among the other entries that have not told all claims that they know.
func (r *Rejoin) Missing(peers []RejoinPeer) []string {
	var missing []string
	for _, p := range peers {
		// A node that handed over and has started again since may have acknowledged claims as another process.
		if !r.complete[p.Node] && !r.handedOver[p.Node+"/"+p.Incarnation] {
			missing = append(missing, p.Node)
		}
	}
	slices.Sort(missing)
	return missing
}

// Synchronised returns why the entry knows all claims that its node has acknowledged, given all other entries that
// may know some; an empty string if it does not.
func (r *Rejoin) Synchronised(peers []RejoinPeer) string {
	switch {
	case !r.listed:
		return ""
	case r.previous != "" && r.handedOver[r.previous]:
		return "handed over"
	case len(peers) > 0 && len(r.Missing(peers)) == 0:
		return "all entries asked"
	default:
		return ""
	}
}
