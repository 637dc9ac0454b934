package runner

import (
	"context"
	"slices"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// TakeOver takes over the programs of another home from their entries, which the own log
// holds already, and goes on with their half-done turns. Programs whose entries do not fit
// together are left out; the error names each of them.
func (r *Runner) TakeOver(ctx context.Context, entries []homelog.Entry) error {
	machines, failures := r.restore(entries)
	shards := map[int][]*program.Machine{}
	r.mu.Lock()
	for _, id := range sortedIDs(machines) {
		if _, running := r.where[id]; running {
			continue
		}
		i := r.place(root(machines, id))
		r.register(id, i, machines[id].Spec())
		shards[i] = append(shards[i], machines[id])
	}
	r.mu.Unlock()
	for i, s := range r.shards {
		if len(shards[i]) == 0 {
			continue
		}
		refusal, err := ask(ctx, s, func(s *shard) *structs.Refusal { return s.adopt(shards[i]) })
		if err == nil && refusal != nil {
			err = refusal
		}
		failures = errors.CombineErrors(failures, err)
	}
	return failures
}

// restore rebuilds the programs of the entries.
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

// root returns the program's farthest ancestor among the machines, so that a tree shares one shard.
func root(machines map[structs.ProgramID]*program.Machine, id structs.ProgramID) structs.ProgramID {
	for range len(machines) {
		parent := machines[id].Spec().Parent
		if machines[parent] == nil {
			return id
		}
		id = parent
	}
	return id
}

// register notes where a program runs and what opened it. The caller holds the lock.
func (r *Runner) register(id structs.ProgramID, shard int, spec structs.ProgramSpec) {
	r.where[id] = shard
	if spec.Parent != "" {
		r.children[structs.CallID(spec.Key)] = id
		return
	}
	key := openKey{spec.Organisation, spec.Key}
	if _, found := r.keys[key]; !found && spec.Key != "" {
		r.keys[key] = opened{id, spec}
	}
}

// adopt runs the machines on this shard. Sub-agents go on before their parents, which then
// find them; those that no parent asks for are closed. A shard that has handed its programs
// over takes none: the next home finds them in the same log.
func (s *shard) adopt(machines []*program.Machine) *structs.Refusal {
	for _, m := range machines {
		slot := newSlot(m)
		slot.kept = nil
		s.slots[m.ID()] = slot
	}
	if s.dropped {
		refusal := s.r.closedToNew("adopt")
		s.dropAll(refusal)
		return refusal
	}
	slices.SortStableFunc(machines, func(a, b *program.Machine) int { return b.Spec().Depth - a.Spec().Depth })
	for _, m := range machines {
		s.step(m.ID(), program.Resume{})
		s.deliverLocal()
	}
	for _, m := range machines {
		if slot := s.slots[m.ID()]; slot != nil && m.Spec().Parent != "" && !s.wanted(slot) {
			s.step(m.ID(), program.Close{})
			s.deliverLocal()
		}
	}
	return nil
}

// wanted reports whether the parent's present step asks for this sub-agent.
func (s *shard) wanted(child *slot) bool {
	spec := child.machine.Spec()
	parent := s.slots[spec.Parent]
	return parent != nil && parent.machine.IsCurrentCall(structs.CallID(spec.Key))
}
