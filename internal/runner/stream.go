package runner

import (
	"context"
	"sync"

	"github.com/buckthornroute/buckthornroute/structs"
)

// maxMergedTextBytes is the size of a text event at which it is no longer extended.
const maxMergedTextBytes = 4 << 10

// turnStream holds the events of one turn for its callers. They are kept in memory only, not in the
// home log. Each caller that waits for the turn gets all of them, also when it joins late. The shard
// and the goroutines of model calls add events concurrently.
type turnStream struct {
	mu     sync.Mutex
	events []structs.TurnEvent
	// delivered is the number of events that at least one caller has received.
	delivered int
	ended     bool
	refusal   *structs.Refusal
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newTurnStream() *turnStream { return &turnStream{changed: make(chan struct{})} }

// notify wakes the callers that wait for new events. The caller holds the lock.
func (s *turnStream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// add appends an event. Text that continues the last event is merged into it, unless a caller
// has received that event.
func (s *turnStream) add(e structs.TurnEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	if last := len(s.events) - 1; last >= s.delivered && continues(s.events[last], e) {
		s.events[last].Text += e.Text
	} else {
		s.events = append(s.events, e)
	}
	s.notify()
}

// continues reports whether e continues the text of last.
func continues(last, e structs.TurnEvent) bool {
	return e.Text != "" && last.Text != "" && len(last.Text) < maxMergedTextBytes &&
		last.Call == e.Call && last.Attempt == e.Attempt && last.Offset+len(last.Text) == e.Offset
}

// end ends the stream with the answer as the last event, or with the refusal. Later calls of add
// and end have no effect.
func (s *turnStream) end(answer *structs.TurnAnswer, refusal *structs.Refusal) {
	if answer != nil {
		s.add(structs.TurnEvent{Answer: answer})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	s.refusal = refusal
	s.notify()
}

// eventsFrom returns the events from index i, whether the turn has ended, its refusal, and a
// channel that is closed at the next change.
func (s *turnStream) eventsFrom(i int) ([]structs.TurnEvent, bool, *structs.Refusal, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delivered = max(s.delivered, len(s.events))
	return s.events[i:len(s.events):len(s.events)], s.ended, s.refusal, s.changed
}

// follow passes all events to event until the turn ends. It returns the turn's refusal, the
// error of event or ctx's error.
func (s *turnStream) follow(ctx context.Context, event func(structs.TurnEvent) error) error {
	seen := 0
	for {
		events, ended, refusal, changed := s.eventsFrom(seen)
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

func newAttemptText(stream *turnStream, call structs.CallID, attempt uint32) *attemptText {
	return &attemptText{stream: stream, call: call, attempt: attempt << restartBits}
}

// attemptText adds the streamed text of one attempt at a model call to a turn's stream. The attempt
// of its events is the call's attempt shifted by restartBits, plus the number of restarts of the
// text. Text after a gap is not streamed; callers receive it with the answer.
type attemptText struct {
	stream  *turnStream
	call    structs.CallID
	attempt uint32
	// next is the number of bytes streamed since the last restart. hasGap reports whether text
	// was missing since then.
	next   int
	hasGap bool
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
	t.stream.add(structs.TurnEvent{Call: t.call, Attempt: t.attempt, Offset: offset, Text: text})
	t.next += len(text)
}
