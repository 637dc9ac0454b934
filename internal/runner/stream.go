package runner

import (
	"context"
	"sync"

	"github.com/buckthornroute/buckthornroute/structs"
)

// maxMergedTextBytes is the size of a text event at which it is no longer extended.
const maxMergedTextBytes = 4 << 10

// turnLog holds the events of one turn. Each caller that waits for the turn gets all of them,
// also when it joins late. The shard and the goroutines of model calls add events concurrently.
type turnLog struct {
	mu     sync.Mutex
	events []structs.TurnEvent
	// delivered is the number of events that at least one caller has received.
	delivered int
	ended     bool
	refusal   *structs.Refusal
	changed   chan struct{}
}

func newTurnLog() *turnLog { return &turnLog{changed: make(chan struct{})} }

// notify wakes the callers that wait for new events. The caller holds the lock.
func (l *turnLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// add appends an event. Text that continues the last event is merged into it, unless a caller
// has received that event.
func (l *turnLog) add(e structs.TurnEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	if last := len(l.events) - 1; last >= l.delivered && continues(l.events[last], e) {
		l.events[last].Text += e.Text
	} else {
		l.events = append(l.events, e)
	}
	l.notify()
}

// continues reports whether e continues the text of last.
func continues(last, e structs.TurnEvent) bool {
	return e.Text != "" && last.Text != "" && len(last.Text) < maxMergedTextBytes &&
		last.Call == e.Call && last.Attempt == e.Attempt && last.Offset+len(last.Text) == e.Offset
}

// end ends the log with the answer as the last event, or with the refusal. Later calls of add
// and end have no effect.
func (l *turnLog) end(answer *structs.TurnAnswer, refusal *structs.Refusal) {
	if answer != nil {
		l.add(structs.TurnEvent{Answer: answer})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	l.refusal = refusal
	l.notify()
}

// eventsFrom returns the events from index i, whether the turn has ended, its refusal, and a
// channel that is closed at the next change.
func (l *turnLog) eventsFrom(i int) ([]structs.TurnEvent, bool, *structs.Refusal, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delivered = max(l.delivered, len(l.events))
	return l.events[i:len(l.events):len(l.events)], l.ended, l.refusal, l.changed
}

// follow passes all events to event until the turn ends. It returns the turn's refusal, the
// error of event or ctx's error.
func (l *turnLog) follow(ctx context.Context, event func(structs.TurnEvent) error) error {
	seen := 0
	for {
		events, ended, refusal, changed := l.eventsFrom(seen)
		for _, e := range events {
			if err := event(e); err != nil {
				return err
			}
		}
		seen += len(events)
		if ended && refusal != nil {
			return refusal
		}
		if ended {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// restartBits is the number of low bits of a text event's attempt that count the restarts of
// the text within one attempt at the call.
const restartBits = 4

func newAttemptText(log *turnLog, call structs.CallID, attempt uint32) *attemptText {
	return &attemptText{log: log, call: call, attempt: attempt << restartBits}
}

// attemptText adds the streamed text of one attempt at a model call to a turn's log. The attempt
// of its events is the call's attempt shifted by restartBits, plus the number of restarts of the
// text. Text after a gap is not streamed; callers receive it with the answer.
type attemptText struct {
	log     *turnLog
	call    structs.CallID
	attempt uint32
	next    int
	hasGap  bool
}

func (t *attemptText) add(offset int, text string) {
	if offset == 0 && t.next > 0 {
		t.attempt++
		t.next, t.hasGap = 0, false
	}
	if t.hasGap || offset != t.next {
		t.hasGap = true
		return
	}
	t.log.add(structs.TurnEvent{Call: t.call, Attempt: t.attempt, Offset: offset, Text: text})
	t.next += len(text)
}
