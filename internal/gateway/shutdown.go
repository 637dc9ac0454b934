package gateway

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
)

const (
	// balancerDrainDelay fits a balancer that asks once a second and wants two refusals.
	balancerDrainDelay = 2500 * time.Millisecond
	// shutdownMargin before the end by force leaves time for the last lines.
	shutdownMargin = 700 * time.Millisecond
	// housekeepInterval is the time between two searches for what is no longer needed.
	housekeepInterval = 20 * time.Second
)

// shutdown lets the balancer turn away, finishes the calls under way and closes.
func (g *Gateway) shutdown(s *servers) {
	begun := time.Now()
	g.draining.Store(true)
	g.env.Events.Emit(eventlog.GatewayStopping, eventlog.Fields{Step: "stop", Count: g.inFlight.Load()})
	end := begun.Add(time.Duration(g.cfg.ShutdownGrace) - shutdownMargin)
	time.Sleep(min(g.drainDelay, time.Until(end)))
	// From here on resting connections are closed: a call that came on one later could
	// not be finished in time.
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		g.env.Requests.Warn("calls_cut_by_shutdown").Int("count", g.inFlight.Load()).Err(err).End()
	}
	_ = s.callers.Close()
	g.budgets.returnUnused(ctx)
	_ = s.ready.Close()
	_ = s.mesh.Close()
	_ = g.mesh.packetConn.Close()
}

// housekeep drops what is no longer needed until ctx ends.
func (g *Gateway) housekeep(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, housekeepInterval)
		g.budgets.forgetIdle(time.Now())
	}
}
