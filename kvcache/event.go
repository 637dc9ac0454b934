package kvcache

// Event is one change of an engine's cache, or a sign of life when it has no blocks.
type Event struct {
	// Incarnation tells restarts of the publisher apart.
	Incarnation string `json:"incarnation"`
	// Sequence grows by one with each event that has blocks; a sign of life repeats the last.
	Sequence uint64 `json:"sequence"`
	// Stored are blocks that entered the cache, parents first.
	Stored []uint64 `json:"stored,omitempty"`
	// Removed are blocks that left the cache.
	Removed []uint64 `json:"removed,omitempty"`
}

// Empty reports whether the event changes nothing.
func (e Event) Empty() bool { return len(e.Stored) == 0 && len(e.Removed) == 0 }

// Snapshot is the whole content of an engine's cache after event Sequence.
type Snapshot struct {
	Incarnation string   `json:"incarnation"`
	Sequence    uint64   `json:"sequence"`
	Blocks      []uint64 `json:"blocks"`
}
