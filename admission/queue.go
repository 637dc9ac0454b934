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
	// firstLevelTokens is the attained service at which a program leaves level 0. Each further
	// level needs twice as much.
	firstLevelTokens = 1024
	// maxLevel is the highest level of attained service; the lowest is 0.
	maxLevel = 10
	// attainedDelayShare is the fraction of the time until its deadline by which a call of the
	// highest level is delayed; lower levels are delayed in proportion.
	attainedDelayShare = 0.5
	// newDelayShare is the fraction of the time until its deadline by which a call of a new
	// program (no attained service, first turn) is delayed.
	newDelayShare = 0.4
	// defaultTimeLeft is the time until the deadline that is assumed for calls without one.
	defaultTimeLeft = time.Minute
)

// WaitingCall is a call that waits at an upstream.
type WaitingCall struct {
	Call    structs.CallID
	Attempt uint32
	Program structs.ProgramID
	// Attained is the program's attained service: the number of tokens processed for it so far.
	Attained int64
	// Turn is the turn that the call belongs to.
	Turn uint32
	// Deadline is the caller's deadline; zero when there is none.
	Deadline time.Time
	// PrefillTokens is the number of prompt tokens to compute.
	PrefillTokens int64
}

// NewWaitingCall returns the queue entry of a call with prefillTokens prompt tokens to compute.
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

// Queue orders waiting calls by a time that is fixed when a call arrives: its arrival plus a
// fraction of the time until its deadline. That fraction grows with the attained service of the
// call's program, and a new program's call has the fixed fraction newDelayShare. So, of started
// programs with equal deadlines, those with the least attained service come first, a near deadline
// moves a call forward, and later calls cannot overtake a call for ever, since its order time is
// never after its deadline. The zero value is an empty queue.
type Queue struct {
	heap  waitingHeap
	index map[waitingKey]*waitingItem
	// arrivals is the number of calls pushed so far.
	arrivals uint64
	// prefill is the sum of PrefillTokens over the waiting calls.
	prefill int64
}

// waitingKey identifies a waiting attempt of a call.
type waitingKey struct {
	call    structs.CallID
	attempt uint32
}

// waitingItem is a waiting call with its place in the queue.
type waitingItem struct {
	WaitingCall
	orderTime time.Time
	// arrival is the number of the call in order of arrival; it orders calls with equal
	// orderTime.
	arrival uint64
	// heapIndex is the position in the heap.
	heapIndex int
}

// Push adds a call and returns true. A call that already waits keeps its place; Push then
// returns false.
func (q *Queue) Push(now time.Time, w WaitingCall) bool {
	key := waitingKey{w.Call, w.Attempt}
	if _, ok := q.index[key]; ok {
		return false
	}
	if q.index == nil {
		q.index = make(map[waitingKey]*waitingItem)
	}
	q.arrivals++
	item := &waitingItem{WaitingCall: w, orderTime: orderTime(now, w), arrival: q.arrivals}
	q.index[key] = item
	heap.Push(&q.heap, item)
	q.prefill += w.PrefillTokens
	return true
}

// Pop removes and returns the call to serve next, or returns false when none waits.
func (q *Queue) Pop() (WaitingCall, bool) {
	if len(q.heap) == 0 {
		return WaitingCall{}, false
	}
	return q.remove(q.heap[0]), true
}

// Remove removes a call, such as one whose caller disconnected. It reports whether the call was
// waiting.
func (q *Queue) Remove(call structs.CallID, attempt uint32) bool {
	item, ok := q.index[waitingKey{call, attempt}]
	if ok {
		q.remove(item)
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
		out = append(out, q.remove(item))
	}
	return out
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.heap) }

// PrefillTokens returns the sum of the prompt tokens to compute over the waiting calls.
func (q *Queue) PrefillTokens() int64 { return q.prefill }

func (q *Queue) remove(item *waitingItem) WaitingCall {
	heap.Remove(&q.heap, item.heapIndex)
	delete(q.index, waitingKey{item.Call, item.Attempt})
	q.prefill -= item.PrefillTokens
	return item.WaitingCall
}

func (i *waitingItem) expired(now time.Time) bool {
	return !i.Deadline.IsZero() && now.After(i.Deadline)
}

// orderTime returns the time by which a call that arrives now is ordered.
func orderTime(now time.Time, w WaitingCall) time.Time {
	timeLeft := defaultTimeLeft
	if !w.Deadline.IsZero() {
		timeLeft = max(0, w.Deadline.Sub(now))
	}
	share := attainedDelayShare * float64(level(w.Attained)) / maxLevel
	if w.Attained == 0 && w.Turn <= 1 {
		share += newDelayShare
	}
	return now.Add(time.Duration(share * float64(timeLeft)))
}

// level returns the level of an attained service, from 0 to maxLevel.
func level(attained int64) int {
	if attained <= 0 {
		return 0
	}
	return min(maxLevel, bits.Len64(uint64(attained)/firstLevelTokens))
}

// waitingHeap implements heap.Interface. The call to serve next is its first item.
type waitingHeap []*waitingItem

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	if !h[i].orderTime.Equal(h[j].orderTime) {
		return h[i].orderTime.Before(h[j].orderTime)
	}
	return h[i].arrival < h[j].arrival
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *waitingHeap) Push(x any) {
	item := x.(*waitingItem)
	item.heapIndex = len(*h)
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
