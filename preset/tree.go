package preset

import (
	"slices"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

// treeDegree is the number of children of each node. With 12, 750 nodes are within 3 hops of the root.
const treeDegree = 12

// tree orders the entries by a hash of their names. The order is the same on all nodes that know the
// same entries. The first entries are the voters. The order also defines a complete tree, along which
// versions are pushed.
type tree struct {
	self  structs.NodeID
	order []structs.NodeID
	// voterCount is the number of voters, including those whose names are not known yet.
	voterCount int
	// votersCertain reports whether each known voter is certainly a voter, that is, whether no entry
	// whose name is unknown could take its place.
	votersCertain bool
	// position is the index of self in order, or -1 if self is not an entry.
	position int
}

func voterHash(n structs.NodeID) uint64 { return xxhash.Sum64String("preset voter " + string(n)) }

// newTree returns the tree of the given entries. Entries with equal hashes are in the order of their
// names.
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
		self:       cfg.Node,
		order:      order,
		voterCount: min(cfg.Pollers, max(cfg.Entries, len(order))),
		// If there are no more entries than pollers, every entry is a voter.
		votersCertain: len(order) >= cfg.Entries || cfg.Entries <= cfg.Pollers,
		position:      slices.Index(order, cfg.Node),
	}
}

// retainMembers returns the members and, up to the number of entries of the deployment, those of the
// former members that are no longer visible.
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

// knownVoters returns the voters whose names are known, in the order of the tree.
func (t tree) knownVoters() []structs.NodeID { return t.order[:min(t.voterCount, len(t.order))] }

// isVoter reports whether the node is a known voter.
func (t tree) isVoter(n structs.NodeID) bool { return slices.Contains(t.knownVoters(), n) }

// majority returns the number of voters that make a majority.
func (t tree) majority() int { return t.voterCount/2 + 1 }

// parent returns the parent of self, or "" for the root and for a node that is not an entry.
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
