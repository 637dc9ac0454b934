package runner

import (
	"context"
	"slices"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// TakeOver takes over the programs of another home and resumes their unfinished turns. The
// entries are those of the programs' records and are already committed to this process's log.
// Programs that run here already are skipped. Programs whose entries are inconsistent are left
// out, and the error names each of them.
func (r *Runner) TakeOver(ctx context.Context, entries []homelog.Entry) error {
	machines, failures := r.restore(entries)
	shards := map[int][]*program.Machine{}
	r.mu.Lock()
	for _, id := range sortedIDs(machines) {
		if _, running := r.shardIndex[id]; running {
			continue
		}
		i := r.assignShard(root(machines, id))
		r.register(id, i, machines[id].Spec())
		shards[i] = append(shards[i], machines[id])
	}
	r.mu.Unlock()
	for i, s := range r.shards {
		if len(shards[i]) == 0 {
			continue
		}
		refusal, err := runOn(ctx, s, func(s *shard) *structs.Refusal { return s.takeOver(shards[i]) })
		if err == nil && refusal != nil {
			err = refusal
		}
		failures = errors.CombineErrors(failures, err)
	}
	return failures
}

// restore rebuilds the machines of the programs from their entries. It leaves out the programs
// that have ended, and those that cannot be restored, which the error names.
func (r *Runner) restore(entries []homelog.Entry) (map[structs.ProgramID]*program.Machine, error) {
	grouped := map[structs.ProgramID][]program.LogRecord{}
	for _, e := range entries {
		grouped[e.Program] = append(grouped[e.Program], program.LogRecord{Program: e.Program, Kind: e.Kind, Data: e.Data})
	}
	machines := map[structs.ProgramID]*program.Machine{}
	var failures error
	for _, id := range sortedIDs(grouped) {
		machine, err := program.Restore(&r.cfg.Program, id, grouped[id])
		if err != nil {
			failures = errors.CombineErrors(failures, err)
			continue
		}
		if !machine.Ended() {
			machines[id] = machine
		}
	}
	return machines, failures
}

// root returns the program's farthest ancestor among the machines. A program and all of its
// sub-agents run on the shard of their root.
func root(machines map[structs.ProgramID]*program.Machine, id structs.ProgramID) structs.ProgramID {
	// The bound ends the search even if entries name each other as parents.
	for range len(machines) {
		parent := machines[id].Spec().Parent
		if machines[parent] == nil {
			return id
		}
		id = parent
	}
	return id
}

// register records the shard of a program, and the idempotency key or the parent's call that
// opened it. The caller holds the lock.
func (r *Runner) register(id structs.ProgramID, shard int, spec structs.ProgramSpec) {
	r.shardIndex[id] = shard
	if spec.Parent != "" {
		r.children[structs.CallID(spec.Key)] = id
		return
	}
	key := openKey{spec.Organisation, spec.Key}
	if _, found := r.openKeys[key]; !found && spec.Key != "" {
		r.openKeys[key] = openedProgram{id, spec}
	}
}

// takeOver resumes the machines on this shard. Sub-agents resume before their parents, because
// a parent that resumes repeats its calls, which then join the running sub-agents. Sub-agents
// that no parent needs are closed. A shard that has dropped its programs refuses: the entries
// are committed to this process's log, from which its successor takes the programs over.
func (s *shard) takeOver(machines []*program.Machine) *structs.Refusal {
	// The machines get slots even if the shard refuses, so that dropAll removes their registration.
	for _, m := range machines {
		slot := newSlot(m)
		slot.durable = nil // the entries are committed already
		s.slots[m.ID()] = slot
	}
	if s.dropped {
		refusal := s.r.newWorkRefusal("adopt")
		s.dropAll(refusal)
		return refusal
	}
	slices.SortStableFunc(machines, func(a, b *program.Machine) int { return b.Spec().Depth - a.Spec().Depth })
	for _, m := range machines {
		s.step(m.ID(), program.Resume{})
		s.deliverLocal()
	}
	for _, m := range machines {
		if slot := s.slots[m.ID()]; slot != nil && m.Spec().Parent != "" && !s.neededByParent(slot) {
			s.step(m.ID(), program.Close{})
			s.deliverLocal()
		}
	}
	return nil
}

// neededByParent reports whether the parent's current step includes the call to this sub-agent.
func (s *shard) neededByParent(child *slot) bool {
	spec := child.machine.Spec()
	parent := s.slots[spec.Parent]
	return parent != nil && parent.machine.IsCurrentCall(structs.CallID(spec.Key))
}
