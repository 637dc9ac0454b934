package preset

import "github.com/buckthornroute/buckthornroute/structs"

// quorum counts the voters that have a version in force, in two rounds. The first round finds a
// majority; the second asks the same incarnations again. So when the first round ends, the whole
// majority has the version in force at the same time: each voter had it before and has not restarted
// since. A voter that restarts later receives it from the others. With one round, a voter that
// restarted between the answers would count although it has lost the version.
type quorum struct {
	// version is the version that the voters must have in force.
	version uint64
	// incarnations holds the incarnations of the voters that answered in the first round.
	incarnations map[structs.NodeID]uint64
	// firstRoundEnd is the last message number assigned in the first round, 0 until that has ended.
	firstRoundEnd uint64
	// confirmed holds the voters that answered in the second round.
	confirmed map[structs.NodeID]bool
}

func newQuorum(version uint64) quorum {
	return quorum{
		version:      version,
		incarnations: make(map[structs.NodeID]uint64),
		confirmed:    make(map[structs.NodeID]bool),
	}
}

// count counts one answer and reports whether it ended the first round. last is the last message
// number assigned so far: only answers to later pushes belong to the second round.
func (q *quorum) count(from structs.NodeID, ack PushAck, majority int, last uint64) bool {
	if ack.Version < q.version {
		return false
	}
	before, found := q.incarnations[from]
	if found && before != ack.Incarnation {
		// The voter restarted, so the first round begins again.
		q.firstRoundEnd = 0
		clear(q.incarnations)
		clear(q.confirmed)
	}
	_, known := q.incarnations[from]
	if known && q.firstRoundEnd > 0 && ack.Number > q.firstRoundEnd {
		q.confirmed[from] = true
	}
	if !known && q.firstRoundEnd > 0 {
		// A voter whose first answer comes after the first round is not counted.
		return false
	}
	q.incarnations[from] = ack.Incarnation
	if q.firstRoundEnd > 0 || len(q.incarnations) < majority {
		return false
	}
	q.firstRoundEnd = last
	return true
}
