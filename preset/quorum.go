package preset

import "github.com/buckthornroute/buckthornroute/structs"

// quorum counts the voters that have a version in force, in two rounds. The first
// finds a majority; the second asks the same incarnations once more. So at the
// moment between the rounds the whole majority had the version in force at once, and
// a voter that restarts later learns it from those that did not. With one round, a
// voter that restarted between the answers would count although it has forgotten.
type quorum struct {
	// version is the one that the voters must have in force.
	version uint64
	// incarnations are those that answered in the first round.
	incarnations map[structs.NodeID]uint64
	// after is the last number of a push of the first round; 0 while that goes on.
	after     uint64
	confirmed map[structs.NodeID]bool
}

func newQuorum(version uint64) quorum {
	return quorum{
		version:      version,
		incarnations: make(map[structs.NodeID]uint64),
		confirmed:    make(map[structs.NodeID]bool),
	}
}

// count counts one answer; last is the last number given to a push. It reports
// whether the first round has just ended.
func (q *quorum) count(from structs.NodeID, s PushAck, majority int, last uint64) bool {
	if s.Version < q.version {
		return false
	}
	before, found := q.incarnations[from]
	if found && before != s.Incarnation {
		// The voter restarted: the majority has to be found anew.
		q.after = 0
		clear(q.incarnations)
		clear(q.confirmed)
	}
	_, known := q.incarnations[from]
	if known && q.after > 0 && s.Number > q.after {
		q.confirmed[from] = true
	}
	if !known && q.after > 0 {
		// A voter that joins after the first round needs no place in this majority.
		return false
	}
	q.incarnations[from] = s.Incarnation
	if q.after > 0 || len(q.incarnations) < majority {
		return false
	}
	q.after = last
	return true
}
