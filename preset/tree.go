package preset

import (
	"slices"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

// treeDegree is the number of children of each node: 750 nodes are within 3 steps of the root.
const treeDegree = 12

// tree orders the entries by a hash of their names, the same on each node that knows
// the same entries. The first ones are the voters; the order is also that of a
// complete tree along which versions are pushed.
type tree struct {
	self  structs.NodeID
	order []structs.NodeID
	// voterCount is the number of voterCount, also of those whose names are not known yet.
	voterCount int
	// votersKnown says that each voter's name is known.
	votersKnown bool
	// position is that of self in order; -1 when self is no entry.
	position int
}

func voterHash(n structs.NodeID) uint64 { return xxhash.Sum64String("preset voter " + string(n)) }

func newTree(cfg Config, nodes []structs.NodeID) tree {
	order := slices.Clone(nodes)
	slices.Sort(order)
	order = slices.Compact(order)
	slices.SortStableFunc(order, func(a, b structs.NodeID) int {
		switch ha, hb := voterHash(a), voterHash(b); {
		case ha > hb:
			return -1
		case ha < hb:
			return 1
		default:
			return 0
		}
	})
	return tree{
		self:        cfg.Node,
		order:       order,
		voterCount:  min(cfg.Pollers, max(cfg.Entries, len(order))),
		votersKnown: len(order) >= cfg.Entries || cfg.Entries <= cfg.Pollers,
		position:    slices.Index(order, cfg.Node),
	}
}

// retainMembers returns the members, and of the former ones those that are out of sight now,
// up to the number of entries of the deployment.
func retainMembers(members, former []structs.NodeID, entries int) []structs.NodeID {
	out := slices.Clone(members)
	former = slices.Sorted(slices.Values(former))
	for _, n := range former {
		if len(out) < entries && !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}

// knownVoters returns the voters whose names are known, in order.
func (t tree) knownVoters() []structs.NodeID { return t.order[:min(t.voterCount, len(t.order))] }

// isVoter reports whether the node is a voter.
func (t tree) isVoter(n structs.NodeID) bool { return slices.Contains(t.knownVoters(), n) }

// majority is the number of voters that decide.
func (t tree) majority() int { return t.voterCount/2 + 1 }

// parent returns the node above self; empty for the root.
func (t tree) parent() structs.NodeID {
	if t.position <= 0 {
		return ""
	}
	return t.order[(t.position-1)/treeDegree]
}

// neighbours returns the parent and the children of self.
func (t tree) neighbours() []structs.NodeID {
	if t.position < 0 {
		return nil
	}
	var out []structs.NodeID
	if p := t.parent(); p != "" {
		out = append(out, p)
	}
	first := min(t.position*treeDegree+1, len(t.order))
	last := min(first+treeDegree, len(t.order))
	return append(out, t.order[first:last]...)
}
