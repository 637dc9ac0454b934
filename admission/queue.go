package admission

import (
	"cmp"
	"container/heap"
	"math/bits"
	"slices"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

const (
	// firstLevel is the attained service, in tokens, at which a program leaves level 0;
	// each level above takes twice as much.
	firstLevel = 1024
	// levels is the number of levels of attained service.
	levels = 10
	// attainedShare is the part of a call's patience by which the highest level is put back.
	attainedShare = 0.5
	// newShare is the part of its patience by which a new program's call is put back.
	newShare = 0.4
	// unboundedPatience stands in for a deadline that is not set.
	unboundedPatience = time.Minute
)

// WaitingCall is one call that waits at an upstream.
type WaitingCall struct {
	Call    structs.CallID
	Attempt uint32
	Program structs.ProgramID
	// Attained is the service that the program has had, in tokens.
	Attained int64
	// Turn is the turn that the call belongs to.
	Turn uint32
	// Deadline is when the caller's patience ends; zero sets none.
	Deadline time.Time
	// PrefillTokens are the prompt tokens to compute.
	PrefillTokens int64
}

// NewWaitingCall returns the entry of a call with so many prompt tokens to compute.
func NewWaitingCall(call *structs.ModelCall, prefillTokens int64) WaitingCall {
	return WaitingCall{
		Call:          call.Call,
		Attempt:       call.Attempt,
		Program:       call.Program,
		Attained:      call.Attained,
		Turn:          call.Turn,
		Deadline:      call.Deadline,
		PrefillTokens: prefillTokens,
	}
}

// Queue orders waiting calls by a fixed moment for each: its arrival, put back by a
// part of its patience that grows with the service that its program has had and for
// programs not yet under way. So programs with the least service come first, short
// patience and near deadlines lift a call, and none starves, since every call's
// moment lies before its deadline. The zero value is an empty queue.
type Queue struct {
	heap    waitingHeap
	index   map[waitingKey]*waitingItem
	arrived uint64
	prefill int64
}

type waitingKey struct {
	call    structs.CallID
	attempt uint32
}

type waitingItem struct {
	WaitingCall
	moment  time.Time
	arrival uint64
	place   int
}

// Push adds a call. A call that waits already is left in its place, and false returned.
func (q *Queue) Push(now time.Time, w WaitingCall) bool {
	key := waitingKey{w.Call, w.Attempt}
	if _, ok := q.index[key]; ok {
		return false
	}
	if q.index == nil {
		q.index = make(map[waitingKey]*waitingItem)
	}
	q.arrived++
	item := &waitingItem{WaitingCall: w, moment: moment(now, w), arrival: q.arrived}
	q.index[key] = item
	heap.Push(&q.heap, item)
	q.prefill += w.PrefillTokens
	return true
}

// Pop removes and returns the call to serve next; false when none waits.
func (q *Queue) Pop() (WaitingCall, bool) {
	if len(q.heap) == 0 {
		return WaitingCall{}, false
	}
	return q.take(q.heap[0]), true
}

// Remove takes a call out, such as one whose caller left; false when it does not wait.
func (q *Queue) Remove(call structs.CallID, attempt uint32) bool {
	item, ok := q.index[waitingKey{call, attempt}]
	if ok {
		q.take(item)
	}
	return ok
}

// Expire removes and returns the calls whose deadline has passed, in order of arrival.
func (q *Queue) Expire(now time.Time) []WaitingCall {
	var expired []*waitingItem
	for _, item := range q.heap {
		if item.expired(now) {
			expired = append(expired, item)
		}
	}
	slices.SortFunc(expired, func(a, b *waitingItem) int { return cmp.Compare(a.arrival, b.arrival) })
	out := make([]WaitingCall, 0, len(expired))
	for _, item := range expired {
		out = append(out, q.take(item))
	}
	return out
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.heap) }

// PrefillTokens returns the sum over the waiting calls.
func (q *Queue) PrefillTokens() int64 { return q.prefill }

func (q *Queue) take(item *waitingItem) WaitingCall {
	heap.Remove(&q.heap, item.place)
	delete(q.index, waitingKey{item.Call, item.Attempt})
	q.prefill -= item.PrefillTokens
	return item.WaitingCall
}

func (i *waitingItem) expired(now time.Time) bool {
	return !i.Deadline.IsZero() && now.After(i.Deadline)
}

// moment returns the time by which the call is ordered.
func moment(now time.Time, w WaitingCall) time.Time {
	patience := unboundedPatience
	if !w.Deadline.IsZero() {
		patience = max(0, w.Deadline.Sub(now))
	}
	share := attainedShare * float64(level(w.Attained)) / levels
	if w.Attained == 0 && w.Turn <= 1 {
		share += newShare
	}
	return now.Add(time.Duration(share * float64(patience)))
}

// level returns the level of attained service, 0 to levels.
func level(attained int64) int {
	if attained <= 0 {
		return 0
	}
	return min(levels, bits.Len64(uint64(attained)/firstLevel))
}

// waitingHeap implements heap.Interface.
type waitingHeap []*waitingItem

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	if !h[i].moment.Equal(h[j].moment) {
		return h[i].moment.Before(h[j].moment)
	}
	return h[i].arrival < h[j].arrival
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place = i
	h[j].place = j
}

// Push implements heap.Interface.
func (h *waitingHeap) Push(x any) {
	item := x.(*waitingItem)
	item.place = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *waitingHeap) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	old[last] = nil
	*h = old[:last]
	return item
}
