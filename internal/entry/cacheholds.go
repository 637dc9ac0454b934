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
// default lease lasts 3 intervals.
const renewInterval = time.Second

// recomputeShare is the assumed share of evicted tokens that are computed again.
const recomputeShare = 0.5

// pausedCache is the KV cache of one program that is in a tool pause.
type pausedCache struct {
	upstream structs.UpstreamID
	tokens   int64
	// tool is the tool that the program waits for; pausedAt is when the pause began.
	tool     string
	pausedAt time.Time
	// holdUntil is when the hold is released even if the pause has not ended; zero if there
	// is no hold.
	holdUntil time.Time
}

// cacheHolds decides which programs' KV caches are held during a tool pause, and renews
// and releases the leases at the sides.
type cacheHolds struct {
	log     structs.LogID
	links   map[structs.UpstreamID]*sideLink
	preset  func() structs.Preset
	fenceOf func(structs.ProgramID) uint64

	mu        sync.Mutex
	retention *kvcache.RetentionPolicy
	held      map[structs.ProgramID]pausedCache
	// unheld are the tool pauses of programs without a hold. They are tracked since the
	// retention policy estimates the length of future pauses from them.
	unheld map[structs.ProgramID]pausedCache
	// releases and grants are the programs whose hold is to be released or granted at a side
	// with the next request to it; wake triggers that request.
	releases map[structs.UpstreamID][]structs.ProgramID
	grants   map[structs.UpstreamID][]structs.ProgramID
	wake     map[structs.UpstreamID]chan struct{}
}

func newCacheHolds(log structs.LogID, links map[structs.UpstreamID]*sideLink, preset func() structs.Preset, fenceOf func(structs.ProgramID) uint64) *cacheHolds {
	h := &cacheHolds{
		log:       log,
		links:     links,
		preset:    preset,
		fenceOf:   fenceOf,
		retention: kvcache.NewRetentionPolicy(),
		held:      map[structs.ProgramID]pausedCache{},
		unheld:    map[structs.ProgramID]pausedCache{},
		releases:  map[structs.UpstreamID][]structs.ProgramID{},
		grants:    map[structs.UpstreamID][]structs.ProgramID{},
		wake:      map[structs.UpstreamID]chan struct{}{},
	}
	for id := range links {
		h.wake[id] = make(chan struct{}, 1)
	}
	return h
}

// paused decides whether to hold the cache of a program whose answer calls tools.
func (h *cacheHolds) paused(now time.Time, call *structs.ModelCall, answer structs.ModelAnswer, load structs.Load) {
	if len(answer.Message.ToolCalls) == 0 {
		return
	}
	preset := h.preset()
	tool := answer.Message.ToolCalls[0].Name
	cache := pausedCache{
		upstream: answer.Upstream,
		tokens:   answer.Usage.PromptTokens + answer.Usage.GeneratedTokens,
		tool:     tool,
		pausedAt: now,
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.retention.Decide(kvcache.Pause{
		Tool:           tool,
		Tokens:         cache.tokens,
		Load:           load,
		HeldTokens:     load.HeldTokens,
		EvictionAge:    load.EvictionAge,
		RecomputeShare: recomputeShare,
		HoldMax:        preset.HoldMax.Std(),
	})
	if routing.IsBaseline(preset.Policy) || d.Retention != kvcache.RetentionHold {
		h.unheld[call.Program] = cache
		return
	}
	cache.holdUntil = now.Add(d.For)
	h.held[call.Program] = cache
	h.grants[cache.upstream] = append(h.grants[cache.upstream], call.Program)
	h.wakeUp(cache.upstream)
}

// resumed records how long the pause took. The hold stays until the next call has ended.
func (h *cacheHolds) resumed(now time.Time, program structs.ProgramID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cache, ok := h.held[program]
	if !ok {
		cache, ok = h.unheld[program]
	}
	if !ok {
		return
	}
	h.retention.Observe(cache.tool, now.Sub(cache.pausedAt))
	delete(h.unheld, program)
}

// release releases the hold of a program after the call that follows the pause, or when
// the program has ended.
func (h *cacheHolds) release(program structs.ProgramID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.unheld, program)
	h.releaseLocked(program)
}

// releaseLocked queues the release of the program's hold, if there is one. The caller
// holds h.mu.
func (h *cacheHolds) releaseLocked(program structs.ProgramID) {
	cache, ok := h.held[program]
	if !ok {
		return
	}
	delete(h.held, program)
	h.releases[cache.upstream] = append(h.releases[cache.upstream], program)
	h.wakeUp(cache.upstream)
}

// wakeUp makes run send the queued changes of the upstream.
func (h *cacheHolds) wakeUp(upstream structs.UpstreamID) {
	select {
	case h.wake[upstream] <- struct{}{}:
	default:
	}
}

// run sends grants, renewals and releases of holds to one side until ctx ends.
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

// send sends the due changes to the side. It does not repeat them after an error: a lost
// release is made up for by the expiry of the lease at the side, and a program whose grant
// was lost is reported as not held at the next renewal.
func (h *cacheHolds) send(ctx context.Context, upstream structs.UpstreamID, renewal bool) {
	req := h.buildRenewal(time.Now(), upstream, renewal)
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

// buildRenewal takes the queued grants and releases of the upstream, and the renewals of
// all its holds when renewal is set.
func (h *cacheHolds) buildRenewal(now time.Time, upstream structs.UpstreamID, renewal bool) *peerpb.RenewRequest {
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
		req.Releases = append(req.Releases, h.lease(program, pausedCache{}))
	}
	delete(h.releases, upstream)
	return req
}

// expire releases the holds of pauses that last longer than predicted. The pauses are
// tracked further as unheld. The caller holds h.mu.
func (h *cacheHolds) expire(now time.Time) {
	for program, cache := range h.held {
		if now.After(cache.holdUntil) {
			h.releaseLocked(program)
			h.unheld[program] = cache
		}
	}
}

// lease returns the wire form of a program's hold.
func (h *cacheHolds) lease(program structs.ProgramID, cache pausedCache) *peerpb.Hold {
	return &peerpb.Hold{Program: string(program), Fence: h.fenceOf(program), Tokens: cache.tokens}
}

// forget deletes holds that the side reported as not held or fenced.
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
