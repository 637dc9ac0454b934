package gateway

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
)

const (
	// loadBalancerDrainDelay covers a load balancer that checks readiness once a second and stops
	// sending connections after 2 failed checks.
	loadBalancerDrainDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period that is left for the last steps and log
	// lines, before the process is killed.
	shutdownMargin = 700 * time.Millisecond
	// returnTimeout bounds the return of unused tokens to budgets whose rows can't be reached.
	returnTimeout = 2 * time.Second
	// cleanUpInterval is the time between two removals of idle budgets.
	cleanUpInterval = 20 * time.Second
)

// shutdown makes the readiness check fail, waits drainDelay, and lets calls in progress finish
// until shutdownMargin before the end of the grace period. It cuts the remaining calls, returns
// unused tokens to the budgets and closes the sockets.
func (g *Gateway) shutdown(s *servers) {
	started := time.Now()
	g.draining.Store(true)
	g.env.Events.Emit(eventlog.GatewayStopping, eventlog.Fields{Step: "stop", Count: g.inFlight.Load()})
	// No more claims are acknowledged, so that the handover has all of them.
	g.budgetPeers.handOver(context.Background())
	// The entries that own the budgets from now on need the tokens that this one does not use.
	go g.budgets.releaseAll()
	end := started.Add(time.Duration(g.cfg.ShutdownGrace) - shutdownMargin)
	time.Sleep(min(g.drainDelay, time.Until(end)))
	// Shutdown also closes idle connections: a call that arrived on one later could not be
	// finished in time.
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		g.env.Requests.Warn("calls_cut_by_shutdown").Int("count", g.inFlight.Load()).Err(err).End()
	}
	_ = s.callers.Close()
	returning, cancelReturning := context.WithTimeout(ctx, returnTimeout)
	defer cancelReturning()
	g.budgets.returnUnused(returning)
	_ = s.ready.Close()
	_ = s.mesh.Close()
	_ = g.mesh.Close()
}

// cleanUp removes idle budgets at an interval, until ctx ends.
func (g *Gateway) cleanUp(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, cleanUpInterval)
		g.budgets.forgetIdle(time.Now())
		g.updateQuarantineDigest() // records have expired
	}
}
