package kvcache

// Event is one change of an engine's cache. An Event without blocks is a heartbeat.
type Event struct {
	// Incarnation identifies one run of the publisher; a restart gives it a new value.
	Incarnation string `json:"incarnation"`
	// Sequence increases by 1 with each event that has blocks. A heartbeat repeats the last
	// number.
	Sequence uint64 `json:"sequence"`
	// Stored are the hashes of blocks added to the cache, each after its parent.
	Stored []uint64 `json:"stored,omitempty"`
	// Removed are the hashes of blocks removed from the cache.
	Removed []uint64 `json:"removed,omitempty"`
}

// Empty reports whether the event has no blocks.
func (e Event) Empty() bool { return len(e.Stored) == 0 && len(e.Removed) == 0 }

// Snapshot is the complete content of an engine's cache after the event with number
// Sequence.
type Snapshot struct {
	Incarnation string   `json:"incarnation"`
	Sequence    uint64   `json:"sequence"`
	Blocks      []uint64 `json:"blocks"`
}
