package runner

import (
	"context"
	"sync"

	"github.com/buckthornroute/buckthornroute/structs"
)

// maxMergedTextBytes is the size of a text event below which following text is added to it.
const maxMergedTextBytes = 4 << 10

// turnLog holds the events of one turn for all callers that wait for it, whenever they come.
// Engines' goroutines add text to it beside the shard.
type turnLog struct {
	mu     sync.Mutex
	events []structs.TurnEvent
	// delivered is the number of events that some caller has seen.
	delivered int
	ended     bool
	refusal   *structs.Refusal
	changed   chan struct{}
}

func newTurnLog() *turnLog { return &turnLog{changed: make(chan struct{})} }

// notify lets the callers look again.
func (l *turnLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// add appends an event, or adds its text to the last one that no caller has seen.
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

// end appends the answer, or keeps the refusal, as the last word.
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

// eventsFrom returns the events from index i on, whether the turn has ended, its refusal, and
// what is closed when there is more.
func (l *turnLog) eventsFrom(i int) ([]structs.TurnEvent, bool, *structs.Refusal, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delivered = max(l.delivered, len(l.events))
	return l.events[i:len(l.events):len(l.events)], l.ended, l.refusal, l.changed
}

// follow passes all events on until the turn ends. It returns the turn's refusal, event's
// error or ctx's error.
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

// restartBits leaves room to number the texts of one attempt.
const restartBits = 4

func newAttemptText(log *turnLog, call structs.CallID, attempt uint32) *attemptText {
	return &attemptText{log: log, call: call, attempt: attempt << restartBits}
}

// attemptText adds the text of one attempt at a model call to a turn's log. Text that starts
// anew becomes a further attempt; text that does not continue is left to the answer.
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
