package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
)

// router makes the routing state safe for concurrent use and chooses upstreams by the
// policy of the preset in force.
type router struct {
	mu       sync.Mutex
	state    *routing.State
	policy   routing.Policy
	services *routing.Services
	seed     uint64
	// closedVMs are the VMs that take no new work according to the membership.
	closedVMs map[structs.VMID]bool
}

func newRouter(cfg routing.Config, preset structs.Preset, seed uint64) (*router, error) {
	policy, err := routing.NewPolicy(preset, seed)
	if err != nil {
		return nil, err
	}
	return &router{
		state:     routing.NewState(cfg),
		policy:    policy,
		services:  routing.NewServices(seed),
		seed:      seed,
		closedVMs: map[structs.VMID]bool{},
	}, nil
}

// setPreset applies the policy and weights of the preset in force. If its policy is
// unknown, setPreset returns an error and the policy does not change.
func (r *router) setPreset(preset structs.Preset) error {
	policy, err := routing.NewPolicy(preset, r.seed)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy = policy
	return nil
}

// report records a load that arrived on the stream of a side.
func (r *router) report(now time.Time, load *structs.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Report(now, *load)
}

// reportWithAnswer records a load that a side sent with its answer to a call.
func (r *router) reportWithAnswer(now time.Time, load structs.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.ReportWithAnswer(now, load)
}

// cacheEvent applies an event to the upstream's cache view and reports whether the view
// now needs a snapshot.
func (r *router) cacheEvent(now time.Time, id structs.UpstreamID, e kvcache.Event) (needsSnapshot bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.state.Cache(id)
	if view == nil {
		return false
	}
	view.Apply(now, e)
	return view.NeedsSnapshot(now)
}

// cacheSnapshot replaces the upstream's cache view by a snapshot.
func (r *router) cacheSnapshot(now time.Time, id structs.UpstreamID, s kvcache.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if view := r.state.Cache(id); view != nil {
		view.Resync(now, s)
	}
}

// choose decides where an attempt of a call runs and records it as sent. Upstreams in
// avoided are chosen only when there is no other; those for which allows returns false
// are never chosen.
func (r *router) choose(now time.Time, call *structs.ModelCall, blocks []uint64, avoided map[structs.UpstreamID]bool, allows func(structs.UpstreamID) bool) (routing.Decision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.candidates(now, structs.KindModel)
	all = slices.DeleteFunc(all, func(c routing.Candidate) bool { return !allows(c.Load.Upstream) })
	d, ok := r.policy.Choose(now, call, blocks, without(all, avoided))
	if !ok && len(avoided) > 0 {
		d, ok = r.policy.Choose(now, call, blocks, all)
	}
	if ok {
		r.state.Sent(now, call, blocks, d)
	}
	return d, ok
}

// predict returns the decision that choose would make now, without recording it.
func (r *router) predict(now time.Time, call *structs.ModelCall, blocks []uint64) (routing.Decision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.Choose(now, call, blocks, r.candidates(now, structs.KindModel))
}

// without returns the candidates that are not in excluded.
func without(all []routing.Candidate, excluded map[structs.UpstreamID]bool) []routing.Candidate {
	if len(excluded) == 0 {
		return all
	}
	var out []routing.Candidate
	for _, c := range all {
		if !excluded[c.Load.Upstream] {
			out = append(out, c)
		}
	}
	return out
}

// done records the result of an attempt.
func (r *router) done(now time.Time, call *structs.ModelCall, result routing.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Done(now, call.Call, call.Attempt, result)
}

// chooseService chooses an upstream that offers the service and is not in tried, and
// records the call as sent.
func (r *router) chooseService(now time.Time, name string, tried map[structs.UpstreamID]bool) (structs.UpstreamID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.candidates(now, structs.KindApplication)
	id, ok := r.services.Choose(name, without(all, tried))
	if ok {
		r.state.SentService(now, id)
	}
	return id, ok
}

// doneService records the end of a service call.
func (r *router) doneService(now time.Time, id structs.UpstreamID, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.DoneService(now, id, failed)
}

// modelLoads returns the loads of the model engines.
func (r *router) modelLoads(now time.Time) []structs.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []structs.Load
	for _, c := range r.candidates(now, structs.KindModel) {
		out = append(out, c.Load)
	}
	return out
}

// batchSlots returns the number of calls that the model engines can run at once, without
// draining and excluded engines.
func (r *router) batchSlots(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, c := range r.candidates(now, structs.KindModel) {
		if !c.Load.Draining && !c.Excluded {
			n += c.Load.BatchLimit
		}
	}
	return n
}

// upstreamLoads returns the loads of all upstreams that have reported one, model engines first.
func (r *router) upstreamLoads(now time.Time) []structs.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []structs.Load
	for _, kind := range []structs.UpstreamKind{structs.KindModel, structs.KindApplication} {
		for _, c := range r.candidates(now, kind) {
			out = append(out, c.Load)
		}
	}
	return out
}

// candidates returns the upstreams of a kind; those on closed VMs are marked as draining.
// The caller holds r.mu.
func (r *router) candidates(now time.Time, kind structs.UpstreamKind) []routing.Candidate {
	all := r.state.Candidates(now, kind)
	for i := range all {
		if r.closedVMs[all[i].Load.VM] {
			all[i].Load.Draining = true
		}
	}
	return all
}

// remove deletes the state of an upstream that the entry no longer watches.
func (r *router) remove(id structs.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Remove(id)
}

// setGate closes a VM to new work or opens it again.
func (r *router) setGate(vm structs.VMID, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if closed {
		r.closedVMs[vm] = true
		return
	}
	delete(r.closedVMs, vm)
}
