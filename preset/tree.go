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
	self   structs.NodeID
	order  []structs.NodeID
	voters int
	// position is that of self in order; -1 when self is no entry.
	position int
}

func hashOf(n structs.NodeID) uint64 { return xxhash.Sum64String("preset voter " + string(n)) }

func newTree(self structs.NodeID, nodes []structs.NodeID, voters int) tree {
	order := slices.Clone(nodes)
	slices.Sort(order)
	order = slices.Compact(order)
	slices.SortStableFunc(order, func(a, b structs.NodeID) int {
		switch ha, hb := hashOf(a), hashOf(b); {
		case ha > hb:
			return -1
		case ha < hb:
			return 1
		default:
			return 0
		}
	})
	return tree{
		self:     self,
		order:    order,
		voters:   min(voters, len(order)),
		position: slices.Index(order, self),
	}
}

// electors returns the voters in order.
func (t tree) electors() []structs.NodeID { return t.order[:t.voters] }

// votes reports whether the node is a voter.
func (t tree) votes(n structs.NodeID) bool { return slices.Contains(t.electors(), n) }

// majority is the number of voters that decide.
func (t tree) majority() int { return t.voters/2 + 1 }

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
