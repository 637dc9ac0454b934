package runner

import (
	"container/heap"
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/ring"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/structs"
	"go.opentelemetry.io/otel/trace"
)

// task is one piece of a shard's work. It runs in the shard's duty.
type task func(*shard)

// shard steps the programs that are assigned to it. Its fields belong to its duty, but for tasks.
type shard struct {
	r        *Runner
	tasks    *ring.Ring[task]
	appender *appender
	slots    map[structs.ProgramID]*slot
	// localQueue are messages between programs of this shard.
	localQueue []delivery
	timers     timerHeap
	wakeTimer  *time.Timer
	// dropped says that the shard's programs run elsewhere now.
	dropped bool
}

// delivery is a message to a program of the same shard.
type delivery struct {
	to  structs.ProgramID
	msg program.Message
}

// slot holds one program and what goes on around it.
type slot struct {
	machine *program.Machine
	// turnLogs are the events of turns that somebody may wait for.
	turnLogs map[uint32]*turnLog
	// replies answer the callers whose submissions the machine is deciding on.
	replies map[uint64]chan<- submitResult
	cancels map[structs.CallID]context.CancelFunc
	// parent is the call for which this program is a sub-agent, while its end is awaited.
	parent *parentCall
	// span is that of the caller whose submission came last.
	span        trace.SpanContext
	wakeAt      time.Time
	busy        bool
	turnRunning bool
	// durable is closed when the log holds the program.
	durable chan struct{}
}

type parentCall struct {
	program structs.ProgramID
	call    structs.CallID
	attempt uint32
}

// submitResult is the machine's decision on a submission.
type submitResult struct {
	log     *turnLog
	refusal *structs.Refusal
}

func newSlot(m *program.Machine) *slot {
	return &slot{
		machine:  m,
		turnLogs: map[uint32]*turnLog{},
		replies:  map[uint64]chan<- submitResult{},
		cancels:  map[structs.CallID]context.CancelFunc{},
		durable:  make(chan struct{}),
	}
}

func newShard(r *Runner) *shard {
	s := &shard{
		r:     r,
		tasks: ring.New[task](r.cfg.RingSize),
		slots: map[structs.ProgramID]*slot{},
	}
	s.appender = newAppender(s)
	return s
}

// run is the shard's duty.
func (s *shard) run() {
	s.wakeTimer = time.AfterFunc(time.Hour, func() { _ = s.tasks.Push(s.r.ctx, (*shard).fireTimers) })
	defer s.wakeTimer.Stop()
	for {
		t, err := s.tasks.Pop(s.r.ctx)
		if err != nil {
			return
		}
		t(s)
		s.deliverLocal()
	}
}

// runOn runs f in the shard's duty and returns its result, or an error when it does not come to run.
func runOn[T any](ctx context.Context, s *shard, f func(*shard) T) (T, error) {
	var zero T
	result := make(chan T, 1)
	if err := s.tasks.Push(ctx, func(s *shard) { result <- f(s) }); err != nil {
		return zero, err
	}
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-s.r.ctx.Done():
		return zero, s.r.ctx.Err()
	}
}

// post hands a program a message from another goroutine.
func (s *shard) post(to structs.ProgramID, msg program.Message) {
	_ = s.tasks.Push(s.r.ctx, func(s *shard) { s.step(to, msg) })
}

// deliverLocal steps the programs that others of the shard have messages for.
func (s *shard) deliverLocal() {
	for len(s.localQueue) > 0 {
		d := s.localQueue[0]
		s.localQueue = s.localQueue[1:]
		s.step(d.to, d.msg)
	}
}

func (s *shard) step(id structs.ProgramID, msg program.Message) {
	slot := s.slots[id]
	if slot == nil {
		return
	}
	if call, over := endedCall(msg); over {
		delete(slot.cancels, call)
	}
	s.performEffects(slot, slot.machine.Step(now(), msg))
}

// endedCall returns the call that the message ends.
func endedCall(msg program.Message) (structs.CallID, bool) {
	switch msg := msg.(type) {
	case program.ModelDone:
		return msg.Answer.Call, true
	case program.ModelFailed:
		return msg.Call, true
	case program.ToolDone:
		return msg.Call, true
	case program.ToolFailed:
		return msg.Call, true
	case program.AgentDone:
		return msg.Call, true
	}
	return "", false
}

// performEffects does what the machine asked for and keeps the counts of the runner.
func (s *shard) performEffects(slot *slot, effects []program.Effect) {
	for _, e := range effects {
		s.performEffect(slot, e)
	}
	s.updateCounts(slot, slot.machine.Busy(), slot.machine.Running())
}

// updateCounts keeps the runner's counts of programs that are busy and of turns under way.
func (s *shard) updateCounts(slot *slot, busy, turn bool) {
	if slot.turnRunning != turn {
		slot.turnRunning = turn
		s.r.runningTurns.Add(delta(turn))
	}
	if slot.busy == busy {
		return
	}
	slot.busy = busy
	if s.r.busy.Add(delta(busy)) == 0 {
		select {
		case s.r.idle <- struct{}{}:
		default:
		}
	}
}

func delta(up bool) int64 {
	if up {
		return 1
	}
	return -1
}

// notifyCommitted tells the programs which of their records the journal holds.
func (s *shard) notifyCommitted() {
	for _, d := range s.appender.takeCommitted(s.r.committedThrough.Load()) {
		if slot := s.slots[d.to]; slot != nil && slot.durable != nil {
			close(slot.durable)
			slot.durable = nil
		}
		s.step(d.to, d.msg)
		s.deliverLocal()
	}
}

// timerEntry is a time at which a program asked to be woken.
type timerEntry struct {
	at time.Time
	id structs.ProgramID
}

// timerHeap orders timers by time. Entries that a later SetTimer replaced stay until their time.
type timerHeap []timerEntry

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timerEntry)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func (s *shard) setTimer(slot *slot, at time.Time) {
	slot.wakeAt = at
	if at.IsZero() {
		return
	}
	heap.Push(&s.timers, timerEntry{at: at, id: slot.machine.ID()})
	if s.timers[0].at.Equal(at) {
		s.wakeTimer.Reset(time.Until(at))
	}
}

// fireTimers wakes the programs whose time has come and sets the alarm for the next.
func (s *shard) fireTimers() {
	now := time.Now()
	for len(s.timers) > 0 && !now.Before(s.timers[0].at) {
		e := heap.Pop(&s.timers).(timerEntry)
		slot := s.slots[e.id]
		if slot == nil || !slot.wakeAt.Equal(e.at) {
			continue
		}
		slot.wakeAt = time.Time{}
		s.step(e.id, program.Tick{})
		s.deliverLocal()
	}
	if len(s.timers) > 0 {
		s.wakeTimer.Reset(time.Until(s.timers[0].at))
	}
}
