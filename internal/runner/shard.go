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

// task is a function that the goroutine of a shard runs.
type task func(*shard)

// shard steps the programs that are assigned to it. Only its own goroutine accesses its
// fields, except for tasks and appender, which are safe for concurrent use.
type shard struct {
	r *Runner
	// tasks is the queue that run executes.
	tasks    *ring.Ring[task]
	appender *appender
	slots    map[structs.ProgramID]*slot
	// localQueue holds messages between programs of this shard.
	localQueue []delivery
	timers     timerHeap
	// wakeTimer fires at the earliest of timers.
	wakeTimer *time.Timer
	// dropped reports whether the shard has dropped its programs because this process no
	// longer runs them.
	dropped bool
}

// delivery is a message for a program of the shard.
type delivery struct {
	to  structs.ProgramID
	msg program.Message
}

// slot holds the machine of one program and the state that the shard needs to drive it.
type slot struct {
	machine *program.Machine
	// turnStreams holds the streams of the turns that callers may still wait for, by turn number.
	turnStreams map[uint32]*turnStream
	// replies are the channels of the callers whose submissions the machine has neither
	// accepted nor rejected, by caller number.
	replies map[uint64]chan<- submitResult
	// cancels holds the cancel functions of the calls in flight.
	cancels map[structs.CallID]context.CancelFunc
	// parent is the call that this program serves as a sub-agent. It is nil for other programs,
	// and after the outcome was reported to the parent.
	parent *parentCall
	// span is the trace span of the latest submission.
	span trace.SpanContext
	// wakeAt is the time of the program's timer; zero when it has none.
	wakeAt time.Time
	// busy and turnRunning report whether Runner.busy and Runner.runningTurns include the program.
	busy        bool
	turnRunning bool
	// durable is closed when the program's first record is committed, and nil after that.
	durable chan struct{}
}

// parentCall identifies the attempt at a call of a parent that a sub-agent serves.
type parentCall struct {
	program structs.ProgramID
	call    structs.CallID
	attempt uint32
}

// submitResult is the result of a submission: the turn's stream if it was accepted, or the refusal.
type submitResult struct {
	stream  *turnStream
	refusal *structs.Refusal
}

func newSlot(m *program.Machine) *slot {
	return &slot{
		machine:     m,
		turnStreams: map[uint32]*turnStream{},
		replies:     map[uint64]chan<- submitResult{},
		cancels:     map[structs.CallID]context.CancelFunc{},
		durable:     make(chan struct{}),
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

// run executes the tasks of the shard, and the local messages that each causes, until the
// runner is closed.
func (s *shard) run() {
	// The hour is arbitrary: setTimer resets the timer to the first wake time.
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

// runOn runs f in the shard's goroutine and returns its result. It returns an error when ctx
// ends or the runner is closed before that.
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

// post queues a message for a program. The shard's own goroutine must not call it, because it
// would block when the queue is full.
func (s *shard) post(to structs.ProgramID, msg program.Message) {
	_ = s.tasks.Push(s.r.ctx, func(s *shard) { s.step(to, msg) })
}

// deliverLocal delivers the queued messages between programs of the shard.
func (s *shard) deliverLocal() {
	for len(s.localQueue) > 0 {
		d := s.localQueue[0]
		s.localQueue = s.localQueue[1:]
		s.step(d.to, d.msg)
	}
}

// step passes a message to a program, if it runs on this shard, and carries out the effects.
func (s *shard) step(id structs.ProgramID, msg program.Message) {
	slot := s.slots[id]
	if slot == nil {
		return
	}
	if call, ended := endedCall(msg); ended {
		delete(slot.cancels, call)
	}
	s.performEffects(slot, slot.machine.Step(now(), msg))
}

// endedCall returns the call whose end the message reports, and whether it reports one.
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

// performEffects carries out the effects of one step and updates the runner's counts.
func (s *shard) performEffects(slot *slot, effects []program.Effect) {
	for _, e := range effects {
		s.performEffect(slot, e)
	}
	s.updateCounts(slot, slot.machine.Busy(), slot.machine.Running())
}

// updateCounts updates the runner's counts of busy programs and running turns.
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

// notifyCommitted notifies the programs of their newly committed records.
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

// timerEntry is a time at which a program is due for a tick.
type timerEntry struct {
	at time.Time
	id structs.ProgramID
}

// timerHeap orders timers by time. An entry that a later SetTimer replaced stays in the heap
// until its time, and is skipped then.
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

// setTimer replaces the timer of a program. A zero time removes it.
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

// fireTimers sends a tick to the programs whose timers are due and resets wakeTimer for the next one.
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
