package standin

import (
	"container/list"
	"sort"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/structs"
)

const (
	// maxEvents bounds the cache events that are available to readers.
	maxEvents = 8192
	// maxEventsAnswer bounds the events of one answer.
	maxEventsAnswer = 1024
	// maxChains bounds the programs whose last block chain an engine stores.
	maxChains = 8192
)

// timedEvent is a cache event and the time at which it occurred.
type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// eventLog stores the most recent cache events of one incarnation of an engine.
type eventLog struct {
	incarnation string
	sequence    uint64
	events      []timedEvent
}

func newEventLog(incarnation string) *eventLog { return &eventLog{incarnation: incarnation} }

// add appends an event; when the log is full, it first drops the older half.
func (l *eventLog) add(now time.Time, stored, removed []uint64) {
	l.sequence++
	event := engine.CacheEvent{Sequence: l.sequence, Stored: stored, Removed: removed}
	if len(l.events) == maxEvents {
		l.events = append(l.events[:0:0], l.events[maxEvents/2:]...)
	}
	l.events = append(l.events, timedEvent{at: now, event: event})
}

// after returns the events with a greater sequence number that are at least lag old,
// at most maxEventsAnswer of them.
func (l *eventLog) after(sequence uint64, now time.Time, lag time.Duration) []engine.CacheEvent {
	var out []engine.CacheEvent
	first := sort.Search(len(l.events), func(i int) bool { return l.events[i].event.Sequence > sequence })
	for _, e := range l.events[first:] {
		if now.Sub(e.at) < lag || len(out) == maxEventsAnswer {
			break
		}
		out = append(out, e.event)
	}
	return out
}

// recentChains stores the last block chain of each of the most recently served programs.
type recentChains struct {
	entries map[structs.ProgramID]*list.Element
	order   *list.List // of chainEntry; front is the most recent
}

type chainEntry struct {
	program structs.ProgramID
	chain   []uint64
}

func newRecentChains() *recentChains {
	return &recentChains{entries: make(map[structs.ProgramID]*list.Element), order: list.New()}
}

func (c *recentChains) put(program structs.ProgramID, chain []uint64) {
	c.remove(program)
	if c.order.Len() == maxChains {
		c.remove(c.order.Back().Value.(chainEntry).program)
	}
	c.entries[program] = c.order.PushFront(chainEntry{program: program, chain: chain})
}

func (c *recentChains) get(program structs.ProgramID) []uint64 {
	if e := c.entries[program]; e != nil {
		return e.Value.(chainEntry).chain
	}
	return nil
}

func (c *recentChains) remove(program structs.ProgramID) {
	if e := c.entries[program]; e != nil {
		c.order.Remove(e)
		delete(c.entries, program)
	}
}
