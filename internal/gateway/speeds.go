package gateway

import (
	"time"

	"github.com/buckthornroute/buckthornroute/routing"
)

// reportSpeedChanges logs the upstreams that have turned slow or normal again, with the evidence, and
// sets their metrics.
func (g *Gateway) reportSpeedChanges(now time.Time) {
	var changes []routing.SpeedChange
	g.mu.Lock()
	g.balancer.TakeSpeedChanges(now, func(c routing.SpeedChange) { changes = append(changes, c) })
	g.mu.Unlock()
	for _, c := range changes {
		event := "upstream_normal_again"
		if c.Slow {
			event = "upstream_slow"
			g.metrics.upstreamsSlow.Inc(1)
		}
		g.metrics.slowness(c.ID).Update(c.Slowness)
		g.env.Requests.Warn(event).Str("upstream", c.ID).Int("slowness_percent", int64(100*c.Slowness)).
			Int("calls_of_this_entry", int64(c.Own)).Int("calls_reported", int64(c.Peers)).End()
	}
}
