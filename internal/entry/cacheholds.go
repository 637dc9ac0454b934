package entry

import (
	"context"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/kvcache"
	"github.com/buckthornroute/buckthornroute/routing"
	"github.com/buckthornroute/buckthornroute/structs"
)

// renewInterval is the time between two renewals of the holds at one side. The
// default lease lasts three of them.
const renewInterval = time.Second

// expectedReuse is the share of evicted tokens that are computed again.
const expectedReuse = 0.5

// heldCache is one program's hold at an upstream.
type heldCache struct {
	upstream structs.UpstreamID
	tokens   int64
	// tool is the tool that the program pauses for, since the pause's begin.
	tool  string
	since time.Time
	// until is when the hold is given up.
	until time.Time
}

// cacheHolds decides which programs' KV cache is held over a tool pause, and keeps
// the leases at the sides.
type cacheHolds struct {
	log     structs.LogID
	links   map[structs.UpstreamID]*sideLink
	preset  func() structs.Preset
	fenceOf func(structs.ProgramID) uint64

	mu     sync.Mutex
	keeper *kvcache.RetentionPolicy
	held   map[structs.ProgramID]heldCache
	// pauses are the tool pauses of programs without a hold, to learn their length.
	pauses   map[structs.ProgramID]heldCache
	releases map[structs.UpstreamID][]structs.ProgramID
	grants   map[structs.UpstreamID][]structs.ProgramID
	wake     map[structs.UpstreamID]chan struct{}
}

func newCacheHolds(log structs.LogID, links map[structs.UpstreamID]*sideLink, preset func() structs.Preset, fenceOf func(structs.ProgramID) uint64) *cacheHolds {
	h := &cacheHolds{
		log:      log,
		links:    links,
		preset:   preset,
		fenceOf:  fenceOf,
		keeper:   kvcache.NewRetentionPolicy(),
		held:     map[structs.ProgramID]heldCache{},
		pauses:   map[structs.ProgramID]heldCache{},
		releases: map[structs.UpstreamID][]structs.ProgramID{},
		grants:   map[structs.UpstreamID][]structs.ProgramID{},
		wake:     map[structs.UpstreamID]chan struct{}{},
	}
	for id := range links {
		h.wake[id] = make(chan struct{}, 1)
	}
	return h
}

// paused decides about a program whose answer asks for tools.
func (h *cacheHolds) paused(now time.Time, call *structs.ModelCall, answer structs.ModelAnswer, load structs.Load) {
	if len(answer.Message.ToolCalls) == 0 {
		return
	}
	preset := h.preset()
	tool := answer.Message.ToolCalls[0].Name
	cache := heldCache{
		upstream: answer.Upstream,
		tokens:   answer.Usage.PromptTokens + answer.Usage.GeneratedTokens,
		tool:     tool,
		since:    now,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.keeper.Decide(kvcache.Pause{
		Tool:           tool,
		Tokens:         cache.tokens,
		Load:           load,
		HeldTokens:     load.HeldTokens,
		EvictionAge:    load.EvictionAge,
		RecomputeShare: expectedReuse,
		HoldMax:        preset.HoldMax.Std(),
	})
	if routing.IsBaseline(preset.Policy) || d.Retention != kvcache.RetentionHold {
		h.pauses[call.Program] = cache
		return
	}
	cache.until = now.Add(d.For)
	h.held[call.Program] = cache
	h.grants[cache.upstream] = append(h.grants[cache.upstream], call.Program)
	h.wakeUp(cache.upstream)
}

// resumed learns how long the pause took. The hold stays until the call is done.
func (h *cacheHolds) resumed(now time.Time, program structs.ProgramID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cache, ok := h.held[program]
	if !ok {
		cache, ok = h.pauses[program]
	}
	if !ok {
		return
	}
	h.keeper.Observe(cache.tool, now.Sub(cache.since))
	delete(h.pauses, program)
}

// done releases the hold of a program whose next call has ended, or that has ended itself.
func (h *cacheHolds) done(program structs.ProgramID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pauses, program)
	h.drop(program)
}

func (h *cacheHolds) drop(program structs.ProgramID) {
	cache, ok := h.held[program]
	if !ok {
		return
	}
	delete(h.held, program)
	h.releases[cache.upstream] = append(h.releases[cache.upstream], program)
	h.wakeUp(cache.upstream)
}

func (h *cacheHolds) wakeUp(upstream structs.UpstreamID) {
	select {
	case h.wake[upstream] <- struct{}{}:
	default:
	}
}

// run keeps the leases at one side until ctx ends.
func (h *cacheHolds) run(ctx context.Context, upstream structs.UpstreamID) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		renewal := false
		select {
		case <-ctx.Done():
			return nil
		case <-h.wake[upstream]:
		case <-ticker.C:
			renewal = true
		}
		h.send(ctx, upstream, renewal)
	}
}

// send sends what is due to the side. Releases that are lost lapse there.
func (h *cacheHolds) send(ctx context.Context, upstream structs.UpstreamID, renewal bool) {
	req := h.collect(time.Now(), upstream, renewal)
	if len(req.GetGrants())+len(req.GetRenewals())+len(req.GetReleases()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	reply, err := h.links[upstream].client.Renew(ctx, req)
	if err != nil {
		return
	}
	h.forget(upstream, reply.GetNotHeld())
	h.forget(upstream, reply.GetFenced())
}

func (h *cacheHolds) collect(now time.Time, upstream structs.UpstreamID, renewal bool) *peerpb.RenewRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	req := &peerpb.RenewRequest{Log: string(h.log)}
	for _, program := range h.grants[upstream] {
		if cache, ok := h.held[program]; ok {
			req.Grants = append(req.Grants, h.lease(program, cache))
		}
	}
	delete(h.grants, upstream)
	if renewal {
		h.expire(now)
		for program, cache := range h.held {
			if cache.upstream == upstream {
				req.Renewals = append(req.Renewals, h.lease(program, cache))
			}
		}
	}
	for _, program := range h.releases[upstream] {
		req.Releases = append(req.Releases, h.lease(program, heldCache{}))
	}
	delete(h.releases, upstream)
	return req
}

// expire gives up the holds of pauses that last longer than predicted.
func (h *cacheHolds) expire(now time.Time) {
	for program, cache := range h.held {
		if now.After(cache.until) {
			h.drop(program)
			h.pauses[program] = cache
		}
	}
}

func (h *cacheHolds) lease(program structs.ProgramID, cache heldCache) *peerpb.Hold {
	return &peerpb.Hold{Program: string(program), Fence: h.fenceOf(program), Tokens: cache.tokens}
}

// forget drops holds that the side does not have.
func (h *cacheHolds) forget(upstream structs.UpstreamID, programs []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, text := range programs {
		program := structs.ProgramID(text)
		if cache, ok := h.held[program]; ok && cache.upstream == upstream {
			delete(h.held, program)
		}
	}
}
