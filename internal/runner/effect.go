package runner

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/structs"
)

// performEffect carries out one effect of a program's machine.
func (s *shard) performEffect(slot *slot, e program.Effect) {
	switch e := e.(type) {
	case program.AppendRecord:
		s.appendRecord(slot, e)
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
		s.reply(slot, e.Caller, submitResult{refusal: e.Refusal})
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

func (s *shard) appendRecord(slot *slot, e program.AppendRecord) {
	s.appender.add(pendingRecord{entry: entryOf(slot.machine.ID(), e.Kind, e.Data), seq: e.Seq})
}

// entryOf returns the home log entry of a record. A checkpoint is marked as the replacement of
// the program's earlier entries, and the end of a program as its last entry.
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

// turnStream returns the stream of a turn, and creates it if it does not exist.
func (s *slot) turnStream(turn uint32) *turnStream {
	stream := s.turnStreams[turn]
	if stream == nil {
		stream = newTurnStream()
		s.turnStreams[turn] = stream
	}
	return stream
}

// accept gives the caller of an accepted submission the turn's stream.
func (s *shard) accept(slot *slot, e program.Accept) {
	s.reply(slot, e.Caller, submitResult{stream: slot.turnStream(e.Turn)})
}

// reply sends the result of a submission to its caller. A submission without a caller is the
// task of a sub-agent; its refusal is reported to the parent.
func (s *shard) reply(slot *slot, caller uint64, result submitResult) {
	reply := slot.replies[caller]
	delete(slot.replies, caller)
	if reply != nil {
		reply <- result
		return
	}
	if result.refusal != nil && slot.parent != nil {
		s.notifyParent(slot, program.AgentDone{Refusal: result.refusal})
	}
}

// answer reports an answer to the program's parent, if any, even before its record is committed.
// A final answer, which follows the commit or the timeout of the wait for it, ends the turn's
// stream.
func (s *shard) answer(slot *slot, e program.Answer) {
	if slot.parent != nil {
		s.notifyParent(slot, program.AgentDone{Content: e.Content})
	}
	if !e.Final {
		return
	}
	answer := &structs.TurnAnswer{Turn: e.Turn, Content: e.Content, Durable: e.Durable, Usage: e.Usage}
	s.endStream(slot, e.Turn, answer, nil)
}

// refuse reports the refusal of a turn to the program's parent, if any, and ends the turn's
// stream.
func (s *shard) refuse(slot *slot, e program.Refuse) {
	if slot.parent != nil {
		s.notifyParent(slot, program.AgentDone{Refusal: e.Refusal})
	}
	s.endStream(slot, e.Turn, nil, e.Refusal)
}

// endStream ends the stream of a turn. The callers that follow it still receive the rest of it.
func (s *shard) endStream(slot *slot, turn uint32, answer *structs.TurnAnswer, refusal *structs.Refusal) {
	slot.turnStream(turn).end(answer, refusal)
	delete(slot.turnStreams, turn)
}

// callModel runs a model call in its own goroutine.
func (s *shard) callModel(slot *slot, call structs.ModelCall) {
	ctx, cancel := context.WithDeadline(inTrace(s.r.ctx, slot.span), call.Deadline)
	slot.cancels[call.Call] = cancel
	stream := slot.turnStream(call.Turn)
	stream.add(structs.TurnEvent{Call: call.Call, Step: "model " + call.Model})
	s.r.goroutines.Go(func() {
		defer cancel()
		s.post(call.Program, s.runModelCall(ctx, call, stream))
	})
}

// runModelCall makes the call and returns the message that reports its result to the program.
// An answer that carries another call or attempt fails the call.
func (s *shard) runModelCall(ctx context.Context, call structs.ModelCall, stream *turnStream) program.Message {
	text := newAttemptText(stream, call.Call, call.Attempt)
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

// callTool runs a tool call in its own goroutine.
func (s *shard) callTool(slot *slot, request structs.ToolRequest) {
	ctx, cancel := context.WithCancel(inTrace(s.r.ctx, slot.span))
	slot.cancels[request.Call] = cancel
	slot.turnStream(turnOf(slot)).add(structs.TurnEvent{Call: request.Call, Step: "tool " + request.Name})
	s.r.goroutines.Go(func() {
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

// runTool runs a tool call and passes its outcome to done. An irreversible call runs as an
// action, which is executed at most once.
func (s *shard) runTool(ctx context.Context, request structs.ToolRequest, done func(string, error)) {
	if request.Irreversible {
		s.r.runAction(ctx, request, done)
		return
	}
	done(s.r.runOnce(ctx, request))
}

// runOnce sends the request once, with its timeout if it has one.
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

// turnOf returns the number of the running turn.
func turnOf(slot *slot) uint32 { return slot.machine.Turn() }

// cancelCall cancels a call in flight. The cancel function of a call to a sub-agent closes the
// sub-agent.
func (s *shard) cancelCall(slot *slot, call structs.CallID) {
	if cancel := slot.cancels[call]; cancel != nil {
		cancel()
		delete(slot.cancels, call)
	}
}

// release removes a program whose end is committed. If the program may have action rows, those of
// resolved actions are deleted in the background.
func (s *shard) release(slot *slot, mayHaveActions bool) {
	id := slot.machine.ID()
	organisation := slot.machine.Spec().Organisation
	s.remove(slot)
	if mayHaveActions {
		s.r.goroutines.Go(func() { s.r.deleteActionRows(organisation, id) })
	}
	if s.r.cfg.OnEnded != nil {
		s.r.cfg.OnEnded(id)
	}
}

// remove deletes a program, and the idempotency key or the parent's call that opened it, from this
// process.
func (s *shard) remove(slot *slot) {
	id := slot.machine.ID()
	spec := slot.machine.Spec()
	s.updateCounts(slot, false, false)
	delete(s.slots, id)
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	delete(s.r.shardIndex, id)
	if spec.Parent != "" {
		// The key of a sub-agent is the parent's call that opened it.
		delete(s.r.children, structs.CallID(spec.Key))
		return
	}
	key := openKey{spec.Organisation, spec.Key}
	if s.r.openKeys[key].program == id {
		delete(s.r.openKeys, key)
	}
}

// dropAll drops all programs of the shard, because this process no longer runs them.
func (s *shard) dropAll(refusal *structs.Refusal) {
	s.dropped = true
	for _, id := range sortedIDs(s.slots) {
		s.drop(s.slots[id], refusal)
	}
}

// drop cancels a program's calls, ends its turns and submissions with the refusal and removes it.
func (s *shard) drop(slot *slot, refusal *structs.Refusal) {
	for _, cancel := range slot.cancels {
		cancel()
	}
	for _, reply := range slot.replies {
		reply <- submitResult{refusal: refusal}
	}
	for _, stream := range slot.turnStreams {
		stream.end(nil, refusal)
	}
	s.remove(slot)
}

// handOver returns a checkpoint of each program that has not ended, and drops all programs.
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

// now returns the time with which machines are stepped.
func now() time.Time { return time.Now() }
