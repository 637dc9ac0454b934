package runner

import (
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/structs"
)

// startAgent opens the sub-agent of a call, unless an earlier attempt opened it, and submits
// the task as its first turn. A sub-agent runs on the shard of its parent.
func (s *shard) startAgent(parent *slot, e program.StartAgent) {
	child := s.childOf(e.Call)
	if child == nil {
		child = s.openAgent(e)
	}
	child.parent = &parentCall{program: parent.machine.ID(), call: e.Call, attempt: e.Attempt}
	child.span = parent.span
	id := child.machine.ID()
	parent.cancels[e.Call] = func() { s.closeAgent(e.Call) }
	parent.turnStream(turnOf(parent)).add(structs.TurnEvent{Call: e.Call, Step: "agent " + string(id)})
	s.localQueue = append(s.localQueue, delivery{id, program.SubmitTurn{
		Number:  1,
		Key:     string(e.Call),
		Content: e.Task,
		Timeout: e.Spec.TurnTimeout,
	}})
}

// childOf returns the sub-agent of a call, or nil if none runs on this shard.
func (s *shard) childOf(call structs.CallID) *slot {
	s.r.mu.RLock()
	id, found := s.r.children[call]
	s.r.mu.RUnlock()
	if !found {
		return nil
	}
	return s.slots[id]
}

// openAgent opens a new sub-agent on this shard.
func (s *shard) openAgent(e program.StartAgent) *slot {
	s.r.mu.Lock()
	id := s.r.newID()
	s.r.shardIndex[id] = s.index()
	s.r.children[e.Call] = id
	s.r.mu.Unlock()
	return s.startProgram(id, e.Spec)
}

// index returns the index of the shard in Runner.shards.
func (s *shard) index() int {
	for i, other := range s.r.shards {
		if other == s {
			return i
		}
	}
	return 0
}

// startProgram creates a program and carries out its first effects.
func (s *shard) startProgram(id structs.ProgramID, spec structs.ProgramSpec) *slot {
	machine, effects := program.New(now(), &s.r.cfg.Program, id, spec)
	slot := newSlot(machine)
	s.slots[id] = slot
	s.performEffects(slot, effects)
	return slot
}

// closeAgent ends the sub-agent of a call, and with it all of that program's own sub-agents.
func (s *shard) closeAgent(call structs.CallID) {
	if child := s.childOf(call); child != nil {
		child.parent = nil
		s.localQueue = append(s.localQueue, delivery{child.machine.ID(), program.Close{}})
	}
}

// notifyParent reports the outcome of a sub-agent to its parent, at most once.
func (s *shard) notifyParent(child *slot, done program.AgentDone) {
	parent := child.parent
	child.parent = nil
	done.Call = parent.call
	done.Attempt = parent.attempt
	done.Usage = child.machine.Usage()
	done.Charged = child.machine.Charged()
	s.localQueue = append(s.localQueue, delivery{parent.program, done})
}
