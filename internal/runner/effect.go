package runner

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/structs"
)

// effect does one thing that a program's machine asked for.
func (s *shard) effect(slot *slot, e program.Effect) {
	switch e := e.(type) {
	case program.AppendRecord:
		s.record(slot, e)
	case program.CallModel:
		s.callModel(slot, e.Call)
	case program.CallTool:
		s.callTool(slot, e.Request)
	case program.StartAgent:
		s.startAgent(slot, e)
	case program.CloseAgent:
		s.closeAgent(e.Call)
	case program.CancelCall:
		s.cancelCall(slot, e.Call)
	case program.Accept:
		s.accept(slot, e)
	case program.Reject:
		s.reply(slot, e.Caller, submitted{refusal: e.Refusal})
	case program.Answer:
		s.answer(slot, e)
	case program.Refuse:
		s.refuse(slot, e)
	case program.SetTimer:
		s.setTimer(slot, e.At)
	case program.Release:
		s.release(slot, e.MayHaveActions)
	}
}

func (s *shard) record(slot *slot, e program.AppendRecord) {
	s.records.add(record{entry: entryOf(slot.machine.ID(), e.Kind, e.Data), seq: e.Seq})
}

// entryOf returns the journal entry of a record.
func entryOf(id structs.ProgramID, kind string, data []byte) homelog.Entry {
	entry := homelog.Entry{Program: id, Kind: kind, Data: data}
	switch kind {
	case program.KindCheckpoint:
		entry.Mark = homelog.MarkReset
	case program.KindClosed:
		entry.Mark = homelog.MarkEnd
	}
	return entry
}

// log returns the events of a turn, which it begins when there are none.
func (s *slot) log(turn uint32) *turnLog {
	l := s.logs[turn]
	if l == nil {
		l = newTurnLog()
		s.logs[turn] = l
	}
	return l
}

func (s *shard) accept(slot *slot, e program.Accept) {
	s.reply(slot, e.Caller, submitted{log: slot.log(e.Turn)})
}

func (s *shard) reply(slot *slot, caller uint64, answer submitted) {
	reply := slot.replies[caller]
	delete(slot.replies, caller)
	if reply != nil {
		reply <- answer
		return
	}
	if answer.refusal != nil && slot.parent != nil {
		s.agentDone(slot, program.AgentDone{Refusal: answer.refusal})
	}
}

func (s *shard) answer(slot *slot, e program.Answer) {
	if slot.parent != nil {
		s.agentDone(slot, program.AgentDone{Content: e.Content})
	}
	if !e.Final {
		return
	}
	answer := &structs.TurnAnswer{Turn: e.Turn, Content: e.Content, Durable: e.Durable, Usage: e.Usage}
	s.endLog(slot, e.Turn, answer, nil)
}

func (s *shard) refuse(slot *slot, e program.Refuse) {
	if slot.parent != nil {
		s.agentDone(slot, program.AgentDone{Refusal: e.Refusal})
	}
	s.endLog(slot, e.Turn, nil, e.Refusal)
}

func (s *shard) endLog(slot *slot, turn uint32, answer *structs.TurnAnswer, refusal *structs.Refusal) {
	slot.log(turn).end(answer, refusal)
	delete(slot.logs, turn)
}

// callModel makes a model call in a goroutine of its own.
func (s *shard) callModel(slot *slot, call structs.ModelCall) {
	ctx, cancel := context.WithDeadline(inTrace(s.r.ctx, slot.span), call.Deadline)
	slot.cancels[call.Call] = cancel
	log := slot.log(call.Turn)
	log.add(structs.TurnEvent{Call: call.Call, Step: "model " + call.Model})
	s.r.duties.Go(func() {
		defer cancel()
		s.post(call.Program, s.askEngine(ctx, call, log))
	})
}

// askEngine returns what the program is told of the call. An answer to another call or
// attempt is no answer to this one.
func (s *shard) askEngine(ctx context.Context, call structs.ModelCall, log *turnLog) program.Message {
	text := newTextOf(log, call.Call, call.Attempt)
	started := false
	answer, err := s.r.cfg.Engines.Call(ctx, call, func(offset int, chunk string) {
		if !started {
			started = true
			s.post(call.Program, program.ModelStarted{Call: call.Call, Attempt: call.Attempt})
		}
		text.add(offset, chunk)
	})
	if err == nil && (answer.Call != call.Call || answer.Attempt != call.Attempt) {
		err = structs.Refusalf(structs.CodeUpstreamFailed, structs.OutcomeUnknown, "model call",
			"the answer belongs to attempt %d of call %q", answer.Attempt, answer.Call)
	}
	if err != nil {
		return program.ModelFailed{Call: call.Call, Attempt: call.Attempt, Refusal: structs.AsRefusal(err)}
	}
	return program.ModelDone{Answer: answer}
}

// callTool makes a tool call in a goroutine of its own.
func (s *shard) callTool(slot *slot, request structs.ToolRequest) {
	ctx, cancel := context.WithCancel(inTrace(s.r.ctx, slot.span))
	slot.cancels[request.Call] = cancel
	slot.log(turnOf(slot)).add(structs.TurnEvent{Call: request.Call, Step: "tool " + request.Name})
	s.r.duties.Go(func() {
		defer cancel()
		s.runTool(ctx, request, func(result string, err error) {
			if err != nil {
				s.post(request.Program, program.ToolFailed{
					Call: request.Call, Attempt: request.Attempt, Refusal: structs.AsRefusal(err),
				})
				return
			}
			s.post(request.Program, program.ToolDone{Call: request.Call, Attempt: request.Attempt, Result: result})
		})
	})
}

// runTool gives the end of a tool call to done.
func (s *shard) runTool(ctx context.Context, request structs.ToolRequest, done func(string, error)) {
	if request.NonRepeatable {
		s.r.runAction(ctx, request, done)
		return
	}
	done(s.r.runOnce(ctx, request))
}

// runOnce sends the request within its timeout.
func (r *Runner) runOnce(ctx context.Context, request structs.ToolRequest) (string, error) {
	if request.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.Timeout)
		defer cancel()
	}
	result, err := r.cfg.Tools.Run(ctx, request)
	if err != nil && ctx.Err() != nil {
		return "", structs.Refusalf(structs.CodeToolTimeout, structs.OutcomeUnknown, "tool "+request.Name,
			"no result within %s", request.Timeout)
	}
	return result, err
}

// turnOf returns the number of the turn under way.
func turnOf(slot *slot) uint32 { return slot.machine.Turn() }

// cancelCall ends a call in flight; of a sub-agent the whole program.
func (s *shard) cancelCall(slot *slot, call structs.CallID) {
	if cancel := slot.cancels[call]; cancel != nil {
		cancel()
		delete(slot.cancels, call)
	}
}

// release forgets a program whose end the log holds.
func (s *shard) release(slot *slot, acted bool) {
	id := slot.machine.ID()
	organisation := slot.machine.Spec().Organisation
	s.forget(slot)
	if acted {
		s.r.duties.Go(func() { s.r.forgetSteps(organisation, id) })
	}
	if s.r.cfg.OnReleased != nil {
		s.r.cfg.OnReleased(id)
	}
}

// forget removes a program from this process.
func (s *shard) forget(slot *slot) {
	id := slot.machine.ID()
	spec := slot.machine.Spec()
	s.count(slot, false, false)
	delete(s.slots, id)
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	delete(s.r.where, id)
	if spec.Parent != "" {
		delete(s.r.children, structs.CallID(spec.Key))
		return
	}
	key := openKey{spec.Organisation, spec.Key}
	if s.r.keys[key].program == id {
		delete(s.r.keys, key)
	}
}

// dropAll ends all that goes on here: the programs run elsewhere now.
func (s *shard) dropAll(refusal *structs.Refusal) {
	s.dropped = true
	for _, id := range sortedIDs(s.slots) {
		s.drop(s.slots[id], refusal)
	}
}

func (s *shard) drop(slot *slot, refusal *structs.Refusal) {
	for _, cancel := range slot.cancels {
		cancel()
	}
	for _, reply := range slot.replies {
		reply <- submitted{refusal: refusal}
	}
	for _, log := range slot.logs {
		log.end(nil, refusal)
	}
	s.forget(slot)
}

// handOver returns the whole states of the programs and drops them.
func (s *shard) handOver(refusal *structs.Refusal) []homelog.Entry {
	var entries []homelog.Entry
	for _, id := range sortedIDs(s.slots) {
		machine := s.slots[id].machine
		if !machine.Ended() {
			e := machine.HandOver()
			entries = append(entries, entryOf(e.Program, e.Kind, e.Data))
		}
	}
	s.dropAll(refusal)
	return entries
}

// now is the time by which machines are stepped.
func now() time.Time { return time.Now() }
